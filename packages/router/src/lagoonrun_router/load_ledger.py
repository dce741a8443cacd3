"""The load at each upstream, as far as this entry VM knows it.

Own requests are known exactly. Other entry VMs report theirs several times a
second; old reports are ignored, because they no longer reflect the load.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from lagoonrun_core import types
from lagoonrun_router import decaying_sum, fleet_loads, loads, reported_load_sum

PEER_LOAD_SECONDS = 1.5
"""Age from which a peer's report of its load is ignored.

Peers repeat it at least every half second while their load is not zero.
"""

URGENT_TOKENS = 1000.0
"""Prompt tokens from which a sent request is reported at once: they keep a
runner busy for 25 ms or more, and short prompts of other entry VMs should avoid
it."""

_FAILURE_HALF_LIFE_SECONDS = 3.0
"""Half-life of an upstream's failure count.

Crashed upstreams are replaced within a few seconds, and failing ones recover.
"""

_UNREACHED_FAILURE_WEIGHT = 5.0
"""Number of failures that one failed connection attempt counts for.

The process is dead or cut off, whereas one that fails a request may serve the
next. The store lists a dead upstream for another three and a half seconds, in
which a busy entry VM would try it again with every request that finds the
others busy.
"""

_MAX_SILENT_FAILURES = 3.0
"""Failures up to which silent runs count. All runs at an upstream fall silent
at once, and it may go on a moment later: a hundred of them would keep requests
from it for twenty seconds, three for five."""

_PREFILL_HALF_LIFE_SECONDS = 2.0
"""Half-life of the average of the prompt tokens sent to a runner."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Report:
    loads_by_upstream: Mapping[types.UpstreamId, loads.Load]
    received_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _FleetReport:
    loads: fleet_loads.FleetLoads
    received_at: float


class LoadLedger:
    """Own and reported loads, failures and recent prompt tokens by upstream.

    Attributes
    ----------
    changed
        Whether own loads have changed since the last report.
    urgent_change
        Whether one of these changes should be reported at once.
    """

    def __init__(self) -> None:
        self._own_by_upstream: dict[
            types.UpstreamId, list[loads.InFlightRequest]
        ] = {}
        # Ordered by time of receipt, the oldest first.
        self._report_by_peer: dict[types.LoadReporter, _Report] = {}
        self._reported_sum_by_upstream: dict[
            types.UpstreamId, reported_load_sum.ReportedLoadSum
        ] = {}
        self._failures_by_upstream: dict[
            types.UpstreamId, decaying_sum.DecayingSum
        ] = {}
        self._prefill_by_upstream: dict[
            types.UpstreamId, decaying_sum.DecayingSum
        ] = {}
        self._fleet_report: _FleetReport | None = None
        self.changed = False
        self.urgent_change = False

    # Own requests.

    def begin(self, request: loads.InFlightRequest, *, now: float) -> None:
        """Count a request that is about to be sent."""
        self._own_by_upstream.setdefault(request.upstream, []).append(request)
        self.add_prefill(request.upstream, request.new_tokens, now=now)
        self._record_change(request)
        if request.new_tokens >= URGENT_TOKENS:
            self.urgent_change = True

    def first_event(self, request: loads.InFlightRequest) -> None:
        """Record that prefill of the request's prompt is complete."""
        if request.waiting:
            request.waiting = False
            self._record_change(request)

    def end(self, request: loads.InFlightRequest) -> None:
        """Stop counting a request that has ended."""
        own = self._own_by_upstream.get(request.upstream, [])
        if request in own:
            own.remove(request)
            self._record_change(request)
        if not own:
            self._own_by_upstream.pop(request.upstream, None)

    def mark_reported(self) -> None:
        """Record that the own loads have been reported to the peers."""
        self.changed = False
        self.urgent_change = False

    def _record_change(self, request: loads.InFlightRequest) -> None:
        # Requests to plain services have no prompt tokens and end before a
        # report of them would arrive.
        if request.new_tokens:
            self.changed = True

    def own_loads(self, *, now: float) -> dict[types.UpstreamId, loads.Load]:
        """Return the own load by upstream, to be reported to peers."""
        return {
            upstream: self._own_load(upstream, now)
            for upstream, in_flight in self._own_by_upstream.items()
            if any(request.new_tokens for request in in_flight)
        }

    def own_running(self) -> dict[types.UpstreamId, int]:
        """Return how many own requests run at each upstream."""
        return {
            upstream: len(in_flight)
            for upstream, in_flight in self._own_by_upstream.items()
        }

    def own_running_at(
        self, upstream: types.UpstreamId, *, tier: types.Tier
    ) -> int:
        """Return how many own requests of a tier or above run at an upstream."""
        return sum(
            request.tier <= tier
            for request in self._own_by_upstream.get(upstream, ())
        )

    def own_running_count(self, upstream: types.UpstreamId) -> int:
        """Return how many own requests run at an upstream."""
        return len(self._own_by_upstream.get(upstream, ()))

    def own_moving_count(self, upstream: types.UpstreamId) -> int:
        """Return how many runs moved to an upstream have no first event yet."""
        return sum(
            request.moved and request.waiting
            for request in self._own_by_upstream.get(upstream, ())
        )

    def _own_load(self, upstream: types.UpstreamId, now: float) -> loads.Load:
        in_flight = self._own_by_upstream.get(upstream)
        return (
            _load_of_requests(in_flight, now=now)
            if in_flight
            else loads.NO_LOAD
        )

    # Reports of peers.

    def apply_report(
        self,
        peer: types.LoadReporter,
        loads_by_upstream: Mapping[types.UpstreamId, loads.Load],
        *,
        now: float,
    ) -> None:
        """Replace the previous report of `peer`."""
        before = self._subtract_report(peer)
        for upstream, load in loads_by_upstream.items():
            known = before.get(upstream, loads.NO_LOAD)
            added = load.waiting_tokens - known.waiting_tokens
            if added > 0:
                self.add_prefill(upstream, added, now=now)
        self._add_report(
            peer, _Report(loads_by_upstream=loads_by_upstream, received_at=now)
        )

    def forget_peer(self, peer: types.EntryVmId) -> None:
        """Drop the report of a lost peer."""
        self._subtract_report(peer)

    def apply_fleet_report(
        self, report: fleet_loads.FleetLoads, *, now: float
    ) -> None:
        """Replace all reports by the sum that a relay reports."""
        for peer in tuple(self._report_by_peer):
            self._subtract_report(peer)
        self._fleet_report = _FleetReport(loads=report, received_at=now)

    def has_relay_report(self, *, now: float) -> bool:
        """Return whether a relay has reported the fleet's load recently."""
        fleet = self._fleet_report
        return fleet is not None and now - fleet.received_at < PEER_LOAD_SECONDS

    def _add_report(self, peer: types.LoadReporter, report: _Report) -> None:
        self._report_by_peer[peer] = report
        for upstream, load in report.loads_by_upstream.items():
            known = self._reported_sum_by_upstream.get(upstream)
            if known is None:
                known = self._reported_sum_by_upstream[upstream] = (
                    reported_load_sum.ReportedLoadSum()
                )
            known.add(load)

    def _subtract_report(
        self, peer: types.LoadReporter
    ) -> Mapping[types.UpstreamId, loads.Load]:
        """Subtract the last report of `peer` from the sums and return it."""
        report = self._report_by_peer.pop(peer, None)
        if report is None:
            return {}
        for upstream, load in report.loads_by_upstream.items():
            known = self._reported_sum_by_upstream[upstream]
            known.subtract(load)
            if not known.reporter_count:
                del self._reported_sum_by_upstream[upstream]
        return report.loads_by_upstream

    def _drop_expired(self, now: float) -> None:
        if not self.has_relay_report(now=now):
            self._fleet_report = None
        while self._report_by_peer:
            peer = next(iter(self._report_by_peer))
            if now - self._report_by_peer[peer].received_at < PEER_LOAD_SECONDS:
                return
            self._subtract_report(peer)

    # Failures and recent prefill.

    def add_failure(
        self,
        upstream: types.UpstreamId,
        *,
        now: float,
        unreached: bool = False,
        silent: bool = False,
    ) -> None:
        """Count a failure that was caused by the upstream.

        Parameters
        ----------
        unreached
            Whether connecting to it failed.
        silent
            Whether only nothing arrived from it.
        """
        known = self._decaying_sum(
            self._failures_by_upstream, upstream, _FAILURE_HALF_LIFE_SECONDS
        )
        if silent and known.read(now) >= _MAX_SILENT_FAILURES:
            return
        known.add(_UNREACHED_FAILURE_WEIGHT if unreached else 1.0, now)

    def failures(self, upstream: types.UpstreamId, *, now: float) -> float:
        """Return the decayed number of failures."""
        known = self._failures_by_upstream.get(upstream)
        return known.read(now) if known else 0.0

    def add_prefill(
        self, upstream: types.UpstreamId, tokens: float, *, now: float
    ) -> None:
        """Count prompt tokens that were sent to an upstream for prefill."""
        self._decaying_sum(
            self._prefill_by_upstream, upstream, _PREFILL_HALF_LIFE_SECONDS
        ).add(tokens, now)

    def recent_prefill(
        self, upstream: types.UpstreamId, *, now: float
    ) -> float:
        """Return the prompt tokens a second sent to `upstream` recently."""
        if self.has_relay_report(now=now):
            return self._fleet_report.loads.prefill_rate(upstream)
        known = self._prefill_by_upstream.get(upstream)
        if known is None:
            return 0.0
        # A steady rate r sums to r times the half-life over ln 2.
        return known.read(now) * 0.693 / _PREFILL_HALF_LIFE_SECONDS

    def load_of(self, upstream: types.UpstreamId, *, now: float) -> loads.Load:
        """Return the total known load at `upstream`."""
        self._drop_expired(now)
        own = self._own_load(upstream, now)
        if self._fleet_report is not None:
            others = self._fleet_report.loads.load_of(upstream)
        elif upstream in self._reported_sum_by_upstream:
            others = self._reported_sum_by_upstream[upstream].load()
        else:
            return own
        return others if own is loads.NO_LOAD else own.plus(others)

    def reported_loads(
        self, *, now: float
    ) -> dict[types.UpstreamId, loads.Load]:
        """Return the sum of all reports by upstream."""
        self._drop_expired(now)
        return {
            upstream: reported_sum.load()
            for upstream, reported_sum in self._reported_sum_by_upstream.items()
        }

    def loads_of(
        self, peers: Iterable[types.LoadReporter], *, now: float
    ) -> dict[types.UpstreamId, loads.Load]:
        """Return the sum of the own load and that of `peers` by upstream."""
        self._drop_expired(now)
        sums = self.own_loads(now=now)
        for peer in peers:
            report = self._report_by_peer.get(peer)
            if report is None:
                continue
            for upstream, load in report.loads_by_upstream.items():
                sums[upstream] = sums.get(upstream, loads.NO_LOAD).plus(load)
        return sums

    def forget_instance(self, upstream: types.UpstreamId) -> None:
        """Drop the state of an upstream that has restarted.

        Requests that ran there are lost and no longer counted, even if their
        end is noticed only later.
        """
        self._own_by_upstream.pop(upstream, None)
        for by_upstream in (
            self._failures_by_upstream,
            self._prefill_by_upstream,
        ):
            by_upstream.pop(upstream, None)
        self._reported_sum_by_upstream.pop(upstream, None)
        for peer, report in self._report_by_peer.items():
            others = {
                id: load
                for id, load in report.loads_by_upstream.items()
                if id != upstream
            }
            self._report_by_peer[peer] = _Report(
                loads_by_upstream=others, received_at=report.received_at
            )

    def forget_upstreams(self, known: Iterable[types.UpstreamId]) -> None:
        """Drop failures and prefill of upstreams that are not in `known`."""
        kept = set(known)
        for by_upstream in (
            self._failures_by_upstream,
            self._prefill_by_upstream,
        ):
            for upstream in [one for one in by_upstream if one not in kept]:
                del by_upstream[upstream]

    @staticmethod
    def _decaying_sum(
        by_upstream: dict[types.UpstreamId, decaying_sum.DecayingSum],
        upstream: types.UpstreamId,
        half_life_seconds: float,
    ) -> decaying_sum.DecayingSum:
        return by_upstream.setdefault(
            upstream,
            decaying_sum.DecayingSum(half_life_seconds=half_life_seconds),
        )


def _load_of_requests(
    in_flight: Iterable[loads.InFlightRequest], *, now: float
) -> loads.Load:
    waiting_by_tier: list[float] = []
    running_by_tier: list[int] = []
    running = 0
    sensitive = 0.0
    held = 0.0
    overdue = 0
    for request in in_flight:
        running += 1
        missing = request.tier - len(running_by_tier)
        running_by_tier.extend([0] * missing)
        running_by_tier[request.tier - 1] += 1
        sensitive += request.sensitivity
        held += request.new_tokens
        if request.waiting:
            overdue += now >= request.overdue_at
            missing = request.tier - len(waiting_by_tier)
            waiting_by_tier.extend([0.0] * missing)
            waiting_by_tier[request.tier - 1] += request.new_tokens
    return loads.Load(
        waiting_by_tier=tuple(waiting_by_tier),
        running=running,
        sensitive=sensitive,
        held_tokens=held,
        overdue=overdue,
        running_by_tier=tuple(running_by_tier),
    )
