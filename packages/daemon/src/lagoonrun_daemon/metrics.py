"""Prometheus metrics of one daemon, explained in docs/runbook.md."""

import dataclasses
from collections.abc import Callable

import prometheus_client

from lagoonrun_config import model
from lagoonrun_core import outcomes, types
from lagoonrun_daemon import call_counts

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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Latencies:
    """Times of one request, in seconds from its arrival.

    Parameters
    ----------
    first_token_seconds
        Until the first part of a streamed response was sent to the caller; 0
        if none was.
    total_seconds
        Until the end of the request.
    """

    first_token_seconds: float = 0.0
    total_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProfileTotals:
    """Request counts of one profile since the start of the process."""

    profile: types.ProfileName
    ended: int
    within_target: int
    not_run: int
    in_flight: int


class DaemonMetrics:
    """Counters, gauges and histograms of one daemon.

    Each daemon has its own registry, so that tests do not share counts.
    """

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self._count_requests()
        self._count_attempts()
        self._gauge_process()
        self._totals_by_profile: dict[types.ProfileName, ProfileTotals] = {}

    def _count_requests(self) -> None:
        self.endings = self._counter(
            "lagoonrun_requests_ended",
            "Requests that ended, by profile, outcome and reason.",
            ("profile", "outcome", "reason"),
        )
        self.within_target = self._counter(
            "lagoonrun_requests_within_target",
            "Complete requests that met their profile's target, on the first "
            "token or in total as the profile says.",
            ("profile",),
        )
        self.rejected = self._counter(
            "lagoonrun_requests_rejected",
            "Requests that could not be served as they stood, by status.",
            ("status",),
        )
        self.in_flight = self._gauge(
            "lagoonrun_requests_in_flight",
            "Requests between arrival and end, by profile.",
            ("profile",),
        )
        self.seconds = self._histogram(
            "lagoonrun_request_seconds",
            "Time from arrival to the end of the answer.",
            ("profile",),
        )
        self.first_token_seconds = self._histogram(
            "lagoonrun_first_token_seconds",
            "Time from arrival to the first part of a streamed answer.",
            ("profile",),
        )

    def _count_attempts(self) -> None:
        self.permit_wait_seconds = self._histogram(
            "lagoonrun_permit_wait_seconds",
            "Time that a request waited for a permit or its refusal.",
            ("profile",),
        )
        self.lost_attempts = self._counter(
            "lagoonrun_attempts_lost",
            "Attempts at an upstream that brought no whole answer, by reason; "
            "cuts are among them.",
            ("profile", "reason"),
        )
        self.retries = self._counter(
            "lagoonrun_retries",
            "Attempts after a lost one, before the caller got anything.",
            ("profile",),
        )
        self.resumes = self._counter(
            "lagoonrun_resumes",
            "Attempts that go on after the events already delivered.",
            ("profile",),
        )
        self.upstream_seconds = self._counter(
            "lagoonrun_upstream_seconds",
            "Time that attempts spent at upstreams, by their outcome; all but "
            "complete is wasted work, save what a resume went on from.",
            ("profile", "outcome"),
        )
        self.upstream_tokens = self._counter(
            "lagoonrun_upstream_tokens",
            "Streamed events that upstreams produced, by outcome of the "
            "attempt.",
            ("profile", "outcome"),
        )

    def _gauge_process(self) -> None:
        self.revision = self._gauge(
            "lagoonrun_configuration_revision",
            "Revision of the configuration in force.",
        )
        self.configuration_age = self._gauge(
            "lagoonrun_configuration_age_seconds",
            "Time since the revision came into force here.",
        )
        self.platform_reachable = self._gauge(
            "lagoonrun_platform_reachable",
            "1 while the platform answered the last call, else 0.",
        )
        self.platform_calls = self._call_counts(
            "lagoonrun_platform_calls",
            "Calls to the platform, by kind; a watch is one call.",
        )
        self.platform_failures = self._call_counts(
            "lagoonrun_platform_call_failures",
            "Calls to the platform that were not answered, or held back by "
            "the budget of calls.",
        )
        self.ready = self._gauge(
            "lagoonrun_ready", "1 while callers should be sent here, else 0."
        )
        self.orderer = self._gauge(
            "lagoonrun_orderer",
            "1 while this entry VM orders its domain's upstreams, else 0.",
        )
        self.pending_claims = self._gauge(
            "lagoonrun_claims_pending",
            "Ends and releases of claims that the platform has not taken yet.",
        )
        self.live_members = self._gauge(
            "lagoonrun_members_live",
            "Entry VMs that are believed alive, this one included.",
        )
        self.leaving_upstreams = self._gauge(
            "lagoonrun_upstreams_leaving",
            "Upstreams that get no new work.",
        )
        self.ejected_upstreams = self._gauge(
            "lagoonrun_upstreams_ejected",
            "Upstreams of the shards dispatched here that failed out of "
            "service.",
        )
        self.owned_shards = self._gauge(
            "lagoonrun_shards_dispatched", "Shards that are dispatched here."
        )

    def observe_with(
        self, gauge: prometheus_client.Gauge, read: Callable[[], float]
    ) -> None:
        """Let a gauge call `read` at each scrape."""
        gauge.set_function(read)

    def count_ending(
        self,
        *,
        profile: model.Profile,
        ending: outcomes.Ending,
        latencies: Latencies,
    ) -> None:
        """Record one ended request."""
        met = _met_target(profile, ending, latencies)
        self.endings.labels(
            profile.name, ending.outcome.value, ending.reason.value
        ).inc()
        self.seconds.labels(profile.name).observe(latencies.total_seconds)
        if latencies.first_token_seconds > 0:
            self.first_token_seconds.labels(profile.name).observe(
                latencies.first_token_seconds
            )
        if met:
            self.within_target.labels(profile.name).inc()
        self._add_to_totals(profile.name, ending, met=met)

    def count_attempt(
        self,
        *,
        profile: types.ProfileName,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
        seconds: float,
        tokens: int,
    ) -> None:
        """Record one attempt at an upstream."""
        self.upstream_seconds.labels(profile, outcome.value).inc(seconds)
        self.upstream_tokens.labels(profile, outcome.value).inc(tokens)
        if outcome is not outcomes.Outcome.COMPLETE:
            self.lost_attempts.labels(profile, reason.value).inc()

    def begin(self, profile: types.ProfileName) -> None:
        """Count a request as in flight."""
        self.in_flight.labels(profile).inc()
        totals = self._totals_of(profile)
        self._totals_by_profile[profile] = dataclasses.replace(
            totals, in_flight=totals.in_flight + 1
        )

    def finish(self, profile: types.ProfileName) -> None:
        """Count a request as no longer in flight."""
        self.in_flight.labels(profile).dec()
        totals = self._totals_of(profile)
        self._totals_by_profile[profile] = dataclasses.replace(
            totals, in_flight=totals.in_flight - 1
        )

    def totals(self) -> tuple[ProfileTotals, ...]:
        """Return the totals of all profiles, ordered by name."""
        names = sorted(self._totals_by_profile)
        return tuple(self._totals_by_profile[name] for name in names)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)

    def _add_to_totals(
        self,
        profile: types.ProfileName,
        ending: outcomes.Ending,
        *,
        met: bool,
    ) -> None:
        totals = self._totals_of(profile)
        not_run = ending.outcome is outcomes.Outcome.NOT_RUN
        self._totals_by_profile[profile] = dataclasses.replace(
            totals,
            ended=totals.ended + 1,
            within_target=totals.within_target + int(met),
            not_run=totals.not_run + int(not_run),
        )

    def _totals_of(self, profile: types.ProfileName) -> ProfileTotals:
        return self._totals_by_profile.get(profile) or ProfileTotals(
            profile=profile, ended=0, within_target=0, not_run=0, in_flight=0
        )

    def _counter(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            name, text, labels, registry=self.registry
        )

    def _gauge(
        self, name: str, text: str, labels: tuple[str, ...] = ()
    ) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            name, text, labels, registry=self.registry
        )

    def _call_counts(self, name: str, text: str) -> call_counts.CallCounts:
        counts = call_counts.CallCounts(name=name, text=text)
        self.registry.register(counts)
        return counts

    def _histogram(
        self, name: str, text: str, labels: tuple[str, ...]
    ) -> prometheus_client.Histogram:
        return prometheus_client.Histogram(
            name,
            text,
            labels,
            buckets=_LATENCY_BUCKETS_SECONDS,
            registry=self.registry,
        )


def _met_target(
    profile: model.Profile, ending: outcomes.Ending, latencies: Latencies
) -> bool:
    """Return whether the response met the target of the profile.

    The first token of a response that was not streamed counts as sent at its
    end.
    """
    if ending.outcome is not outcomes.Outcome.COMPLETE:
        return False
    if ending.reason is outcomes.Reason.CLAIM_TAKEN:
        # A repeated request only gets the outcome of the earlier one.
        return False
    counted = latencies.total_seconds
    on_first = profile.target_kind is model.TargetKind.FIRST_TOKEN
    if on_first and latencies.first_token_seconds > 0:
        counted = latencies.first_token_seconds
    return counted <= profile.target_seconds
