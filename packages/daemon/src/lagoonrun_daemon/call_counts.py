"""Prometheus counter over call counts that another component keeps."""

from collections.abc import Callable, Iterator, Mapping

from prometheus_client import core, registry

ReadCounts = Callable[[], Mapping[str, int]]

_KIND = "kind"


class CallCounts(registry.Collector):
    """Counter by kind of call, read at each scrape of the metrics.

    Parameters
    ----------
    name, text
        Name and help text of the metric; `_total` is appended to the name.
    """

    label_names = (_KIND,)

    def __init__(self, *, name: str, text: str) -> None:
        self._name = name
        self._text = text
        self._read: ReadCounts = dict

    def set_function(self, read: ReadCounts) -> None:
        """Read the counts by kind from `read`."""
        self._read = read

    def describe(self) -> Iterator[core.CounterMetricFamily]:
        """Yield the metric without values, so that nothing is read."""
        yield self._family()

    def collect(self) -> Iterator[core.CounterMetricFamily]:
        """Yield the metric with its current values."""
        family = self._family()
        for kind, count in sorted(self._read().items()):
            family.add_metric([kind], count)
        yield family

    def _family(self) -> core.CounterMetricFamily:
        return core.CounterMetricFamily(
            self._name, self._text, labels=self.label_names
        )
