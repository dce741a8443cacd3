"""Counters and histograms of one router process."""

import prometheus_client

from lagoonrun_core import outcomes
from lagoonrun_router import call as calls
from lagoonrun_router import pool_capacity

_LATENCY_BUCKETS = (
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
)  # fmt: skip
"""In seconds; from the shortest target to the longest time limit in use."""


class RouterMetrics:
    """All metrics of a process, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.ended_requests = prometheus_client.Counter(
            "lagoonrun_requests_ended",
            "Requests by class, outcome and reason.",
            ["profile", "outcome", "reason"],
            registry=self.registry,
        )
        self.in_time_requests = prometheus_client.Counter(
            "lagoonrun_requests_in_time",
            "Complete answers that met the target of their class.",
            ["profile"],
            registry=self.registry,
        )
        self.first_answer_seconds = prometheus_client.Histogram(
            "lagoonrun_first_answer_seconds",
            "Time to the first event or to the whole answer.",
            ["profile"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.pause_seconds = prometheus_client.Histogram(
            "lagoonrun_longest_pause_seconds",
            "Longest pause between two events of a stream.",
            ["profile"],
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.repeated_sends = prometheus_client.Counter(
            "lagoonrun_repeated_sends",
            "Sends beyond the first of a request.",
            ["pool"],
            registry=self.registry,
        )
        self.denied_repeats = prometheus_client.Counter(
            "lagoonrun_denied_repeats",
            "Sends that the shared budget did not allow.",
            ["pool"],
            registry=self.registry,
        )
        self.lost_attempts = prometheus_client.Counter(
            "lagoonrun_lost_attempts",
            "Attempts without an answer, by reason.",
            ["pool", "reason"],
            registry=self.registry,
        )
        self.silent_attempts = prometheus_client.Counter(
            "lagoonrun_silent_attempts",
            "Attempts given up in silence, by whether their upstream was heard "
            "on another connection meanwhile, or only others of the pool, or "
            "none.",
            ["pool", "heard"],
            registry=self.registry,
        )
        self.kept_runs = prometheus_client.Counter(
            "lagoonrun_silent_runs_kept",
            "Runs that were silent beyond what is allowed and were read on, by "
            "why they were not moved; one run may have several causes.",
            ["pool", "reason"],
            registry=self.registry,
        )
        self.upstream_crashes = prometheus_client.Counter(
            "lagoonrun_upstream_crashes",
            "Upstreams in service that broke off requests and then refused "
            "connections.",
            ["pool"],
            registry=self.registry,
        )
        self.blocked_requests = prometheus_client.Gauge(
            "lagoonrun_blocked_requests",
            "Requests that are not sent since upstreams ended under them.",
            registry=self.registry,
        )
        self.forwarders_asked = prometheus_client.Counter(
            "lagoonrun_forwarders_asked",
            "Connections to upstreams that other entry VMs were asked for.",
            ["result"],
            registry=self.registry,
        )
        self.cut_upstream_links = prometheus_client.Gauge(
            "lagoonrun_cut_upstream_links",
            "Upstreams that only other entry VMs reach.",
            registry=self.registry,
        )
        self.forwarded_connections = prometheus_client.Gauge(
            "lagoonrun_forwarded_connections",
            "Open connections to upstreams that are forwarded for other entry "
            "VMs.",
            registry=self.registry,
        )
        self.streams_taken_up = prometheus_client.Counter(
            "lagoonrun_streams_taken_up",
            "Streams that callers took up here, by what was known of their "
            "origin.",
            ["evidence"],
            registry=self.registry,
        )
        self.stream_origins_told = prometheus_client.Counter(
            "lagoonrun_stream_origins_told",
            "Origins of streams that other entry VMs were told.",
            registry=self.registry,
        )
        self.stream_origins = prometheus_client.Gauge(
            "lagoonrun_stream_origins",
            "Streams whose origin is kept here.",
            registry=self.registry,
        )
        self.places = prometheus_client.Counter(
            "lagoonrun_places",
            "Places asked for at upstreams that name a limit, by who decided.",
            ["pool", "verdict", "giver"],
            registry=self.registry,
        )
        self.new_tokens = prometheus_client.Counter(
            "lagoonrun_prompt_tokens_sent",
            "Prompt tokens that upstreams had to read.",
            ["pool"],
            registry=self.registry,
        )
        self.revision = prometheus_client.Gauge(
            "lagoonrun_declarations_revision",
            "Declarations in force; 0 for none.",
            registry=self.registry,
        )
        self.ready = prometheus_client.Gauge(
            "lagoonrun_ready",
            "1 while callers should be sent here.",
            registry=self.registry,
        )
        self.peers = prometheus_client.Gauge(
            "lagoonrun_peers",
            "Other entry VMs that were heard lately.",
            registry=self.registry,
        )
        self.upstreams = prometheus_client.Gauge(
            "lagoonrun_upstreams",
            "Upstreams by state.",
            ["state"],
            registry=self.registry,
        )
        self.reread_tokens = prometheus_client.Counter(
            "lagoonrun_shared_tokens_read_again",
            "Tokens of shared prompt parts sent to an upstream that lacks "
            "them though another has read them a moment ago.",
            ["pool"],
            registry=self.registry,
        )
        self.budget_left = prometheus_client.Gauge(
            "lagoonrun_repeats_left",
            "Sends beyond the first that this entry VM may make now.",
            ["pool"],
            registry=self.registry,
        )
        self.refusals = prometheus_client.Counter(
            "lagoonrun_refusals",
            "Requests that admission refused, by tier and reason.",
            ["pool", "tier", "reason"],
            registry=self.registry,
        )
        self.returns = prometheus_client.Counter(
            "lagoonrun_returns",
            "Requests to adaptive pools, by whether the caller was told to "
            "return and is in time.",
            ["pool", "arrival"],
            registry=self.registry,
        )
        self._add_store_metrics()
        self._add_duty_metrics()
        self._add_upstream_metrics()

    def _add_store_metrics(self) -> None:
        self.store_calls = prometheus_client.Gauge(
            "lagoonrun_store_calls",
            "Calls to the platform's store since the start, by kind.",
            ["kind"],
            registry=self.registry,
        )
        self.unsent_store_calls = prometheus_client.Gauge(
            "lagoonrun_unsent_store_calls",
            "Calls to the platform's store that were given up before they were "
            "sent, by kind.",
            ["kind"],
            registry=self.registry,
        )
        self.event_loop_stalls = prometheus_client.Gauge(
            "lagoonrun_event_loop_stalls",
            "Times since the start in which the event loop read no socket for "
            "a quarter of a second or longer, by what it was doing.",
            ["cause"],
            registry=self.registry,
        )
        self.event_loop_stalled_seconds = prometheus_client.Gauge(
            "lagoonrun_event_loop_stalled_seconds",
            "Duration of these times together.",
            registry=self.registry,
        )
        self.late_timers = prometheus_client.Gauge(
            "lagoonrun_late_timers",
            "Timers since the start that expired late and waited for the "
            "sockets to be read.",
            registry=self.registry,
        )
        self.store_age = prometheus_client.Gauge(
            "lagoonrun_store_age_seconds",
            "Time since the store answered this entry VM last.",
            registry=self.registry,
        )
        self.store_era = prometheus_client.Gauge(
            "lagoonrun_store_era",
            "Era of the store, one more with each restore; 0 where it tells "
            "none.",
            registry=self.registry,
        )
        self.store_watched = prometheus_client.Gauge(
            "lagoonrun_store_watched",
            "1 while this entry VM reads the store, 0 while others do for it.",
            registry=self.registry,
        )

    def _add_duty_metrics(self) -> None:
        self.holds_duties = prometheus_client.Gauge(
            "lagoonrun_holds_duties",
            "1 on the entry VM that reports usage and orders runners for all.",
            registry=self.registry,
        )
        self.duties_vacant = prometheus_client.Gauge(
            "lagoonrun_duties_vacant_seconds",
            "Time since any entry VM was heard to hold the duties; 0 while one "
            "does.",
            registry=self.registry,
        )
        self.usage_report_age = prometheus_client.Gauge(
            "lagoonrun_usage_report_age_seconds",
            "Time since this entry VM reported a window of usage last; 0 for "
            "never.",
            registry=self.registry,
        )

    def _add_upstream_metrics(self) -> None:
        self.upstream_running = self._upstream_gauge(
            "running", "Requests at an upstream, of all entry VMs."
        )
        self.upstream_own_running = self._upstream_gauge(
            "own_running", "Requests of this entry VM at an upstream."
        )
        self.upstream_waiting_tokens = self._upstream_gauge(
            "waiting_tokens", "Prompt tokens that wait at an upstream."
        )
        self.upstream_failures = self._upstream_gauge(
            "failures", "Faded number of an upstream's failures."
        )

        self.upstream_limit = self._upstream_gauge(
            "limit",
            "Requests a second that an upstream takes from all entry VMs; no "
            "series where it names no limit.",
        )

        self.upstream_tokens_per_second = self._upstream_gauge(
            "tokens_per_second",
            "Estimated prefill speed of an upstream of an adaptive pool at "
            "usual slowness.",
        )
        self.upstream_slowness = self._upstream_gauge(
            "slowness",
            "How long work is expected to take at an upstream of an adaptive "
            "pool now; 1 is usual.",
        )
        self.room_tokens = prometheus_client.Gauge(
            "lagoonrun_room_tokens",
            "Prompt tokens that an adaptive pool can still admit in time, by "
            "tier.",
            ["pool", "tier"],
            registry=self.registry,
        )
        self.organisation_asked = prometheus_client.Gauge(
            "lagoonrun_organisation_asked_tokens_per_second",
            "Prompt tokens a second that an organisation asks of an adaptive "
            "pool; the largest by name.",
            ["pool", "organisation"],
            registry=self.registry,
        )

    def _upstream_gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(
            f"lagoonrun_upstream_{name}",
            text,
            ["pool", "upstream"],
            registry=self.registry,
        )

    def count_ending(
        self,
        call: calls.Call,
        ending: outcomes.Ending,
        *,
        first_seconds: float | None,
        longest_pause_seconds: float,
    ) -> None:
        """Count the end of a request."""
        profile = call.route.profile
        self.ended_requests.labels(
            profile.name, ending.outcome.value, ending.reason.value
        ).inc()
        if first_seconds is None:
            return
        self.first_answer_seconds.labels(profile.name).observe(first_seconds)
        if call.streamed:
            self.pause_seconds.labels(profile.name).observe(
                longest_pause_seconds
            )
        max_pause = call.route.longest_pause_seconds
        pause_exceeded = (
            max_pause is not None and longest_pause_seconds > max_pause
        )
        complete = ending.outcome is outcomes.Outcome.COMPLETE
        on_time = first_seconds <= profile.target_seconds
        if complete and on_time and not pause_exceeded:
            self.in_time_requests.labels(profile.name).inc()

    def count_refusal(
        self, call: calls.Call, rejection: pool_capacity.Rejection
    ) -> None:
        """Count a request that admission refused."""
        pool = call.pool.name
        self.refusals.labels(pool, call.tier, rejection.refusal.value).inc()

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
