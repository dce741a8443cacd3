"""Prometheus metrics of one daemon."""

import prometheus_client

from lagoonrun_config import model
from lagoonrun_core import outcomes

_LATENCY_BUCKETS_SECONDS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
    120.0,
)


class DaemonMetrics:
    """Counters and histograms; one registry a daemon, so tests stay apart."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.endings = prometheus_client.Counter(
            "lagoonrun_requests_ended",
            "Requests that ended, by profile, outcome and reason.",
            ("profile", "outcome", "reason"),
            registry=self.registry,
        )
        self.within_target = prometheus_client.Counter(
            "lagoonrun_requests_within_target",
            "Complete requests that met their profile's target.",
            ("profile",),
            registry=self.registry,
        )
        self.rejected = prometheus_client.Counter(
            "lagoonrun_requests_rejected",
            "Requests that could not be served as they stood, by status.",
            ("status",),
            registry=self.registry,
        )
        self.seconds = prometheus_client.Histogram(
            "lagoonrun_request_seconds",
            "Time from arrival to the end of the answer.",
            ("profile",),
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )
        self.revision = prometheus_client.Gauge(
            "lagoonrun_configuration_revision",
            "Revision of the configuration in force.",
            registry=self.registry,
        )

    def count_ending(
        self,
        *,
        profile: model.Profile,
        ending: outcomes.Ending,
        seconds: float,
    ) -> None:
        """Count one ended request.

        Parameters
        ----------
        seconds
            Time from arrival to the end.
        """
        self.endings.labels(
            profile.name, ending.outcome.value, ending.reason.value
        ).inc()
        self.seconds.labels(profile.name).observe(seconds)
        # A repeated arrival is told of another's end, and is no answer.
        complete = (
            ending.outcome is outcomes.Outcome.COMPLETE
            and ending.reason is not outcomes.Reason.CLAIM_TAKEN
        )
        if complete and seconds <= profile.target_seconds:
            self.within_target.labels(profile.name).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
