"""An upstream's load as Prometheus text, reported with a delay."""

import collections
import dataclasses

import prometheus_client

from lagoonrun_core import clock as clock_lib

_KEPT_SAMPLES = 4096


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Load and state that an upstream reports.

    Parameters
    ----------
    models
        Loaded models; None if the upstream serves any model.
    """

    running: int = 0
    waiting: int = 0
    kv_usage_ratio: float = 0.0
    leaving: bool = False
    models: tuple[str, ...] | None = None


class LoadReport:
    """Records load samples and reports them with a lag.

    Parameters
    ----------
    clock
        Timestamps the samples.
    lag_seconds
        Minimum age of the reported sample.
    """

    def __init__(
        self, *, clock: clock_lib.Clock, lag_seconds: float = 0.0
    ) -> None:
        self.lag_seconds = lag_seconds
        self._clock = clock
        self._started_wall = clock.wall()
        self._samples: collections.deque[tuple[float, Load]] = (
            collections.deque(maxlen=_KEPT_SAMPLES)
        )

    def record(self, load: Load) -> None:
        """Record a sample if it differs from the last one."""
        if not self._samples or self._samples[-1][1] != load:
            self._samples.append((self._clock.monotonic(), load))

    def delayed_sample(self) -> Load:
        """Return the newest sample that is at least as old as the lag."""
        limit = self._clock.monotonic() - self.lag_seconds
        for recorded_at, load in reversed(self._samples):
            if recorded_at <= limit:
                return load
        return Load()

    def text(self) -> bytes:
        """Return the load in the Prometheus text format."""
        load = self.delayed_sample()
        registry = prometheus_client.CollectorRegistry()
        values = {
            "engine_requests_running": load.running,
            "engine_requests_waiting": load.waiting,
            "engine_kv_cache_usage_ratio": load.kv_usage_ratio,
            "engine_leaving": int(load.leaving),
            "process_start_time_seconds": self._started_wall,
        }
        for name, value in values.items():
            gauge = prometheus_client.Gauge(name, name, registry=registry)
            gauge.set(value)
        if load.models is not None:
            _report_models(registry, load.models)
        return prometheus_client.generate_latest(registry)


def _report_models(
    registry: prometheus_client.CollectorRegistry, models: tuple[str, ...]
) -> None:
    count = prometheus_client.Gauge(
        "engine_models_loaded", "Number of models.", registry=registry
    )
    count.set(len(models))
    loaded = prometheus_client.Gauge(
        "engine_model_loaded", "1 if loaded.", ["model"], registry=registry
    )
    for model in models:
        loaded.labels(model).set(1)
