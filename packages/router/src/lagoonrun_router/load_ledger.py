"""What each upstream has to do, as far as this entry VM knows.

Own requests are known exactly. Other entry VMs tell theirs several times a
second; what is old is left out, since it says nothing any more.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from lagoonrun_core import types
from lagoonrun_router import decaying_sum, fleet_loads, loads, told_sum

PEER_LOAD_SECONDS = 1.5
"""Age from which what a peer told of its load is not used any more.

Peers repeat it at least every half second while it is not zero.
"""

URGENT_TOKENS = 1000.0
"""Prompt tokens from which a sent request is told at once: they keep a runner
for 25 ms and more, which others' short prompts should avoid."""

_FAILURE_HALF_LIFE_SECONDS = 3.0
"""After this time half of an upstream's failures are forgotten.

Crashed upstreams are replaced within a few seconds, and failing ones mend.
"""

_UNREACHED_FAILURES = 5.0
"""Failures for which one connection that was not had counts. The process is dead or
cut off, while one that fails a request may serve the next; the store lists a dead
one for three and a half seconds more, in which a busy entry VM would try it again
with every request that finds the others busy."""

_PREFILL_HALF_LIFE_SECONDS = 2.0
"""Time over which the prompt tokens sent to a runner are averaged."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Told:
    loads_by_upstream: Mapping[types.UpstreamId, loads.Load]
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Fleet:
    loads: fleet_loads.FleetLoads
    at: float


class LoadLedger:
    """Own and told loads, failures and recent prompt tokens by upstream."""

    def __init__(self) -> None:
        self._own_by_upstream: dict[
            types.UpstreamId, list[loads.InFlightRequest]
        ] = {}
        # The one that told longest ago comes first.
        self._told_by_peer: dict[types.LoadReporter, _Told] = {}
        self._told_sum_by_upstream: dict[
            types.UpstreamId, told_sum.ToldSum
        ] = {}
        self._failures_by_upstream: dict[
            types.UpstreamId, decaying_sum.DecayingSum
        ] = {}
        self._prefill_by_upstream: dict[
            types.UpstreamId, decaying_sum.DecayingSum
        ] = {}
        self._fleet: _Fleet | None = None
        self.changed = False
        self.urgent_change = False

    # Own work.

    def begin(self, work: loads.InFlightRequest, *, now: float) -> None:
        """Count a request that is about to be sent."""
        self._own_by_upstream.setdefault(work.upstream, []).append(work)
        self.add_prefill(work.upstream, work.new_tokens, now=now)
        self._note_change(work)
        if work.new_tokens >= URGENT_TOKENS:
            self.urgent_change = True

    def first_event(self, work: loads.InFlightRequest) -> None:
        """Count the request's prompt as read."""
        if work.waiting:
            work.waiting = False
            self._note_change(work)

    def end(self, work: loads.InFlightRequest) -> None:
        """Count the request no more."""
        own = self._own_by_upstream.get(work.upstream, [])
        if work in own:
            own.remove(work)
            self._note_change(work)
        if not own:
            self._own_by_upstream.pop(work.upstream, None)

    def mark_told(self) -> None:
        """Take in that the other entry VMs have been told."""
        self.changed = False
        self.urgent_change = False

    def _note_change(self, work: loads.InFlightRequest) -> None:
        # Plain services have no prompts; their requests are over before
        # others would hear of them.
        if work.new_tokens:
            self.changed = True

    def own_loads(self, *, now: float) -> dict[types.UpstreamId, loads.Load]:
        """Return the own work by upstream, for the other entry VMs."""
        return {
            upstream: self._own_load(upstream, now)
            for upstream, works in self._own_by_upstream.items()
            if any(work.new_tokens for work in works)
        }

    def own_running(self) -> dict[types.UpstreamId, int]:
        """Return how many own requests run at each upstream."""
        return {
            upstream: len(works)
            for upstream, works in self._own_by_upstream.items()
        }

    def _own_load(self, upstream: types.UpstreamId, now: float) -> loads.Load:
        works = self._own_by_upstream.get(upstream)
        return _sum_of(works, now=now) if works else loads.NO_LOAD

    # What peers tell.

    def apply_report(
        self,
        peer: types.LoadReporter,
        loads_by_upstream: Mapping[types.UpstreamId, loads.Load],
        *,
        now: float,
    ) -> None:
        """Replace what `peer` told before."""
        before = self._take_back(peer)
        for upstream, load in loads_by_upstream.items():
            known = before.get(upstream, loads.NO_LOAD)
            added = load.waiting_tokens - known.waiting_tokens
            if added > 0:
                self.add_prefill(upstream, added, now=now)
        self._tell(peer, _Told(loads_by_upstream=loads_by_upstream, at=now))

    def forget_peer(self, peer: types.EntryVmId) -> None:
        """Drop what a lost peer told."""
        self._take_back(peer)

    def apply_fleet_report(
        self, told: fleet_loads.FleetLoads, *, now: float
    ) -> None:
        """Replace all that was told by the sum that a relay tells."""
        for peer in tuple(self._told_by_peer):
            self._take_back(peer)
        self._fleet = _Fleet(loads=told, at=now)

    def hears_relay(self, *, now: float) -> bool:
        """Return whether a relay tells the work of all others."""
        fleet = self._fleet
        return fleet is not None and now - fleet.at < PEER_LOAD_SECONDS

    def _tell(self, peer: types.LoadReporter, told: _Told) -> None:
        self._told_by_peer[peer] = told
        for upstream, load in told.loads_by_upstream.items():
            known = self._told_sum_by_upstream.get(upstream)
            if known is None:
                known = self._told_sum_by_upstream[upstream] = (
                    told_sum.ToldSum()
                )
            known.add(load)

    def _take_back(
        self, peer: types.LoadReporter
    ) -> Mapping[types.UpstreamId, loads.Load]:
        """Leave out what `peer` told last, and return it."""
        told = self._told_by_peer.pop(peer, None)
        if told is None:
            return {}
        for upstream, load in told.loads_by_upstream.items():
            known = self._told_sum_by_upstream[upstream]
            known.take_back(load)
            if not known.tellers:
                del self._told_sum_by_upstream[upstream]
        return told.loads_by_upstream

    def _drop_old(self, now: float) -> None:
        if not self.hears_relay(now=now):
            self._fleet = None
        while self._told_by_peer:
            peer = next(iter(self._told_by_peer))
            if now - self._told_by_peer[peer].at < PEER_LOAD_SECONDS:
                return
            self._take_back(peer)

    # Failures and recent work.

    def add_failure(
        self,
        upstream: types.UpstreamId,
        *,
        now: float,
        unreached: bool = False,
    ) -> None:
        """Count a failure that is the upstream's own.

        Parameters
        ----------
        unreached
            Whether no connection was had to it.
        """
        self._decaying(
            self._failures_by_upstream, upstream, _FAILURE_HALF_LIFE_SECONDS
        ).add(_UNREACHED_FAILURES if unreached else 1.0, now)

    def failures(self, upstream: types.UpstreamId, *, now: float) -> float:
        """Return the faded number of failures."""
        known = self._failures_by_upstream.get(upstream)
        return known.read(now) if known else 0.0

    def add_prefill(
        self, upstream: types.UpstreamId, tokens: float, *, now: float
    ) -> None:
        """Count prompt tokens that an upstream is to read."""
        self._decaying(
            self._prefill_by_upstream, upstream, _PREFILL_HALF_LIFE_SECONDS
        ).add(tokens, now)

    def recent_prefill(
        self, upstream: types.UpstreamId, *, now: float
    ) -> float:
        """Return the prompt tokens a second sent to `upstream` lately."""
        if self.hears_relay(now=now):
            return self._fleet.loads.prefill_rate(upstream)
        known = self._prefill_by_upstream.get(upstream)
        if known is None:
            return 0.0
        # A steady rate r sums to r times the half-life over ln 2.
        return known.read(now) * 0.693 / _PREFILL_HALF_LIFE_SECONDS

    def load_of(self, upstream: types.UpstreamId, *, now: float) -> loads.Load:
        """Return all known work at `upstream`."""
        self._drop_old(now)
        own = self._own_load(upstream, now)
        if self._fleet is not None:
            others = self._fleet.loads.load_of(upstream)
        elif upstream in self._told_sum_by_upstream:
            others = self._told_sum_by_upstream[upstream].load()
        else:
            return own
        return others if own is loads.NO_LOAD else own.plus(others)

    def told_loads(self, *, now: float) -> dict[types.UpstreamId, loads.Load]:
        """Return the work of all that told of theirs, by upstream."""
        self._drop_old(now)
        return {
            upstream: told.load()
            for upstream, told in self._told_sum_by_upstream.items()
        }

    def loads_of(
        self, peers: Iterable[types.LoadReporter], *, now: float
    ) -> dict[types.UpstreamId, loads.Load]:
        """Return the own work and that of `peers` together, by upstream."""
        self._drop_old(now)
        sums = self.own_loads(now=now)
        for peer in peers:
            told = self._told_by_peer.get(peer)
            if told is None:
                continue
            for upstream, load in told.loads_by_upstream.items():
                sums[upstream] = sums.get(upstream, loads.NO_LOAD).plus(load)
        return sums

    def forget_instance(self, upstream: types.UpstreamId) -> None:
        """Drop what is known of an upstream that has started again.

        Requests that ran there are lost, and count no more also where their
        own end shows only later.
        """
        self._own_by_upstream.pop(upstream, None)
        for by_upstream in (
            self._failures_by_upstream,
            self._prefill_by_upstream,
        ):
            by_upstream.pop(upstream, None)
        self._told_sum_by_upstream.pop(upstream, None)
        for peer, told in self._told_by_peer.items():
            others = {
                id: load
                for id, load in told.loads_by_upstream.items()
                if id != upstream
            }
            self._told_by_peer[peer] = _Told(
                loads_by_upstream=others, at=told.at
            )

    def forget_upstreams(self, known: Iterable[types.UpstreamId]) -> None:
        """Drop what is kept of upstreams that are not in `known`."""
        kept = set(known)
        for by_upstream in (
            self._failures_by_upstream,
            self._prefill_by_upstream,
        ):
            for upstream in [one for one in by_upstream if one not in kept]:
                del by_upstream[upstream]

    @staticmethod
    def _decaying(
        by_upstream: dict[types.UpstreamId, decaying_sum.DecayingSum],
        upstream: types.UpstreamId,
        half_life_seconds: float,
    ) -> decaying_sum.DecayingSum:
        return by_upstream.setdefault(
            upstream,
            decaying_sum.DecayingSum(half_life_seconds=half_life_seconds),
        )


def _sum_of(
    works: Iterable[loads.InFlightRequest], *, now: float
) -> loads.Load:
    waiting_by_tier: list[float] = []
    running = 0
    sensitive = 0.0
    held = 0.0
    overdue = 0
    for work in works:
        running += 1
        sensitive += work.sensitivity
        held += work.new_tokens
        if work.waiting:
            overdue += now >= work.overdue_at
            missing = work.tier - len(waiting_by_tier)
            waiting_by_tier.extend([0.0] * missing)
            waiting_by_tier[work.tier - 1] += work.new_tokens
    return loads.Load(
        waiting_by_tier=tuple(waiting_by_tier),
        running=running,
        sensitive=sensitive,
        held_tokens=held,
        overdue=overdue,
    )
