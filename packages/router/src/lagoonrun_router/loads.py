"""What each upstream has to do, as far as this entry VM knows.

Own requests are known exactly. Other entry VMs tell theirs several times a
second; what is old is left out, since it says nothing any more.
"""

import dataclasses
import itertools
from collections.abc import Iterable, Mapping

from lagoonrun_core import types

PEER_LOAD_SECONDS = 1.5
"""Age from which what a peer told of its load is not used any more.

Peers repeat it at least every half second while it is not zero.
"""

LEAST_OVERDUE_SECONDS = 0.6
OVERDUE_WAITS = 3.0
"""A first event is overdue after so much time, and after so many times the
wait that was foreseen. A dark or mute runner shows in nothing else: its
connections stay open, and its callers leave after two seconds."""

URGENT_TOKENS = 1000.0
"""Prompt tokens from which a sent request is told at once: they keep a runner
for 25 ms and more, which others' short prompts should avoid."""

_FAILURE_HALF_LIFE_SECONDS = 3.0
"""After this time half of an upstream's failures are forgotten.

Crashed upstreams are replaced within a few seconds, and failing ones mend.
"""

_PREFILL_HALF_LIFE_SECONDS = 2.0
"""Time over which the prompt tokens sent to a runner are averaged."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Work at one upstream.

    Parameters
    ----------
    waiting_by_tier
        Prompt tokens of requests without a first event, less those cached;
        the first is of the highest tier.
    running
        Requests without an end.
    sensitive
        Running streams for which a short pause is late already, in units of
        streams with a longest pause of one second.
    held_tokens
        Prompt tokens of all requests without an end, less those cached.
    overdue
        Requests whose first event should have come long ago.
    """

    waiting_by_tier: tuple[float, ...] = ()
    running: int = 0
    sensitive: float = 0.0
    held_tokens: float = 0.0
    overdue: int = 0

    @property
    def waiting_tokens(self) -> float:
        """Prompt tokens that wait, of all tiers."""
        return sum(self.waiting_by_tier)

    def waiting_before(self, tier: types.Tier) -> float:
        """Return the tokens that an engine reads before those of `tier`."""
        return sum(self.waiting_by_tier[:tier])

    def plus(self, other: "Load") -> "Load":
        """Return both together."""
        return Load(
            waiting_by_tier=tuple(
                own + more
                for own, more in itertools.zip_longest(
                    self.waiting_by_tier, other.waiting_by_tier, fillvalue=0.0
                )
            ),
            running=self.running + other.running,
            sensitive=self.sensitive + other.sensitive,
            held_tokens=self.held_tokens + other.held_tokens,
            overdue=self.overdue + other.overdue,
        )


NO_LOAD = Load()


@dataclasses.dataclass(kw_only=True, eq=False)
class Work:
    """One request at one upstream, from its sending to its end.

    Two that are alike are two all the same, and each ends once.

    Parameters
    ----------
    overdue_at
        Reading of the clock from which its first event is long overdue.
    """

    upstream: types.UpstreamId
    new_tokens: float
    sensitivity: float
    tier: types.Tier = types.HIGHEST_TIER
    overdue_at: float = float("inf")
    waiting: bool = True


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Told:
    loads_by_upstream: Mapping[types.UpstreamId, Load]
    at: float


class _ToldSum:
    """Work at one upstream by all that tell of it.

    Kept up to date with each message: with thirty tellers and 45 candidates,
    adding up for each decision took most of its time.
    """

    def __init__(self) -> None:
        self.tellers = 0
        self._waiting_by_tier: list[float] = []
        self._running = 0
        self._sensitive = 0.0
        self._held_tokens = 0.0
        self._overdue = 0

    def add(self, load: Load) -> None:
        """Add what somebody tells."""
        self.tellers += 1
        self._change(load, 1)

    def take_back(self, load: Load) -> None:
        """Leave out what somebody told before."""
        self.tellers -= 1
        self._change(load, -1)

    def _change(self, load: Load, sign: int) -> None:
        missing = len(load.waiting_by_tier) - len(self._waiting_by_tier)
        self._waiting_by_tier.extend([0.0] * missing)
        for place, tokens in enumerate(load.waiting_by_tier):
            self._waiting_by_tier[place] += sign * tokens
        self._running += sign * load.running
        self._sensitive += sign * load.sensitive
        self._held_tokens += sign * load.held_tokens
        self._overdue += sign * load.overdue

    def load(self) -> Load:
        """Return the sum.

        Fractions that were added and taken back may leave a rest of some
        1e-12, which is kept from being negative.
        """
        return Load(
            waiting_by_tier=tuple(self._waiting_by_tier),
            running=self._running,
            sensitive=max(0.0, self._sensitive),
            held_tokens=self._held_tokens,
            overdue=self._overdue,
        )


@dataclasses.dataclass(kw_only=True)
class _Decaying:
    """A sum whose parts fade with time."""

    half_life_seconds: float
    value: float = 0.0
    at: float = 0.0

    def read(self, now: float) -> float:
        elapsed = max(0.0, now - self.at)
        return self.value * 0.5 ** (elapsed / self.half_life_seconds)

    def add(self, amount: float, now: float) -> None:
        self.value = self.read(now) + amount
        self.at = now


class LoadLedger:
    """Own and told loads, failures and recent prompt tokens by upstream."""

    def __init__(self) -> None:
        self._own_by_upstream: dict[types.UpstreamId, list[Work]] = {}
        # The one that told longest ago comes first.
        self._told_by_peer: dict[types.LoadTeller, _Told] = {}
        self._told_sum_by_upstream: dict[types.UpstreamId, _ToldSum] = {}
        self._failures_by_upstream: dict[types.UpstreamId, _Decaying] = {}
        self._prefill_by_upstream: dict[types.UpstreamId, _Decaying] = {}
        self.changed = False
        self.urgent_change = False

    # Own work.

    def begin(self, work: Work, *, now: float) -> None:
        """Count a request that is about to be sent."""
        self._own_by_upstream.setdefault(work.upstream, []).append(work)
        self.add_prefill(work.upstream, work.new_tokens, now=now)
        self._note_change(work)
        if work.new_tokens >= URGENT_TOKENS:
            self.urgent_change = True

    def first_event(self, work: Work) -> None:
        """Count the request's prompt as read."""
        if work.waiting:
            work.waiting = False
            self._note_change(work)

    def end(self, work: Work) -> None:
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

    def _note_change(self, work: Work) -> None:
        # Plain services have no prompts; their requests are over before
        # others would hear of them.
        if work.new_tokens:
            self.changed = True

    def own_loads(self, *, now: float) -> dict[types.UpstreamId, Load]:
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

    def _own_load(self, upstream: types.UpstreamId, now: float) -> Load:
        works = self._own_by_upstream.get(upstream)
        return _sum_of(works, now=now) if works else NO_LOAD

    # What peers tell.

    def take_told(
        self,
        peer: types.LoadTeller,
        loads_by_upstream: Mapping[types.UpstreamId, Load],
        *,
        now: float,
    ) -> None:
        """Replace what `peer` told before."""
        before = self._take_back(peer)
        for upstream, load in loads_by_upstream.items():
            known = before.get(upstream, NO_LOAD)
            added = load.waiting_tokens - known.waiting_tokens
            if added > 0:
                self.add_prefill(upstream, added, now=now)
        self._tell(peer, _Told(loads_by_upstream=loads_by_upstream, at=now))

    def forget_peer(self, peer: types.EntryVmId) -> None:
        """Drop what a lost peer told."""
        self._take_back(peer)

    def _tell(self, peer: types.LoadTeller, told: _Told) -> None:
        self._told_by_peer[peer] = told
        for upstream, load in told.loads_by_upstream.items():
            known = self._told_sum_by_upstream.get(upstream)
            if known is None:
                known = self._told_sum_by_upstream[upstream] = _ToldSum()
            known.add(load)

    def _take_back(
        self, peer: types.LoadTeller
    ) -> Mapping[types.UpstreamId, Load]:
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
        while self._told_by_peer:
            peer = next(iter(self._told_by_peer))
            if now - self._told_by_peer[peer].at < PEER_LOAD_SECONDS:
                return
            self._take_back(peer)

    # Failures and recent work.

    def add_failure(self, upstream: types.UpstreamId, *, now: float) -> None:
        """Count a failure that is the upstream's own."""
        self._decaying(
            self._failures_by_upstream, upstream, _FAILURE_HALF_LIFE_SECONDS
        ).add(1.0, now)

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
        known = self._prefill_by_upstream.get(upstream)
        if known is None:
            return 0.0
        # A steady rate r sums to r times the half-life over ln 2.
        return known.read(now) * 0.693 / _PREFILL_HALF_LIFE_SECONDS

    def load_of(self, upstream: types.UpstreamId, *, now: float) -> Load:
        """Return all known work at `upstream`."""
        self._drop_old(now)
        own = self._own_load(upstream, now)
        told = self._told_sum_by_upstream.get(upstream)
        if told is None:
            return own
        return told.load() if own is NO_LOAD else own.plus(told.load())

    def loads_of(
        self, peers: Iterable[types.EntryVmId], *, now: float
    ) -> dict[types.UpstreamId, Load]:
        """Return the own work and that of `peers` together, by upstream."""
        self._drop_old(now)
        sums = self.own_loads(now=now)
        for peer in peers:
            told = self._told_by_peer.get(peer)
            if told is None:
                continue
            for upstream, load in told.loads_by_upstream.items():
                sums[upstream] = sums.get(upstream, NO_LOAD).plus(load)
        return sums

    def forget_start(self, upstream: types.UpstreamId) -> None:
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
        by_upstream: dict[types.UpstreamId, _Decaying],
        upstream: types.UpstreamId,
        half_life_seconds: float,
    ) -> _Decaying:
        return by_upstream.setdefault(
            upstream, _Decaying(half_life_seconds=half_life_seconds)
        )


def overdue_at(*, now: float, foreseen_seconds: float) -> float:
    """Return from when a request sent now is long overdue."""
    patience = OVERDUE_WAITS * foreseen_seconds
    return now + max(LEAST_OVERDUE_SECONDS, patience)


def _sum_of(works: Iterable[Work], *, now: float) -> Load:
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
    return Load(
        waiting_by_tier=tuple(waiting_by_tier),
        running=running,
        sensitive=sensitive,
        held_tokens=held,
        overdue=overdue,
    )
