"""Counts of calls that another part keeps, as a Prometheus metric."""

from collections.abc import Callable, Iterator, Mapping

from prometheus_client import core, registry

ReadCounts = Callable[[], Mapping[str, int]]

_KIND = "kind"


class CallCounts(registry.Collector):
    """A counter by kind of call, read whenever the metrics are asked for.

    Parameters
    ----------
    name, text
        Of the metric; the suffix `_total` is added.
    """

    label_names = (_KIND,)

    def __init__(self, *, name: str, text: str) -> None:
        self._name = name
        self._text = text
        self._read: ReadCounts = dict

    def set_function(self, read: ReadCounts) -> None:
        """Take the counts by kind from `read`."""
        self._read = read

    def describe(self) -> Iterator[core.CounterMetricFamily]:
        """Yield the metric without values, so that it is not read yet."""
        yield self._family()

    def collect(self) -> Iterator[core.CounterMetricFamily]:
        """Yield the metric with its values of now."""
        family = self._family()
        for kind, count in sorted(self._read().items()):
            family.add_metric([kind], count)
        yield family

    def _family(self) -> core.CounterMetricFamily:
        return core.CounterMetricFamily(
            self._name, self._text, labels=self.label_names
        )
