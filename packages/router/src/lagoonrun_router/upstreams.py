"""What an entry VM believes of the upstreams that register in the store.

An entry that disappears means one of two things. In calm, the upstream is
leaving or dead, and gets nothing new. While the store is away, entries may
run out although their upstreams live; they come back within seconds of the
store's return, so that until then the upstream stays in use.

An upstream may start again under its id. What was known of the process before
is void then: it may have said that it leaves, and it held prompts and runs
that the new one knows nothing of.
"""

import dataclasses
import enum
from collections.abc import Collection, Iterable

from lagoonrun_core import events, logs, types
from lagoonrun_protocol import router_messages

LAPSE_SECONDS = 2.5
"""How long after the store's return a missing entry may still come back.

The platform promises about two seconds; the rest is for the watch's delay.
"""

DOUBTFUL_SECONDS = 1.2
"""How long a removed upstream may serve in calm where few others are left.

An upstream that left goes on for two seconds at least after its entry is
removed; past this time a request might reach it too late.
"""

_COPY_SECONDS = 60.0
"""Age that a copy of the store may have at most; it is some seconds old."""

_RESTORED_SECONDS = 10.0
"""Time after a restore in which entries of the copy may stand for upstreams that
have ended: their leases run out after three heartbeats."""

_LEAST_SHARE = 0.5
"""Part of a pool that has to be registered for missing upstreams to be left
out. Operators replace or take away a few at a time, and new ones register
before old ones leave. When most of a pool is missing, entries have run out."""


class UpstreamState(enum.Enum):
    """Whether an upstream may be given work."""

    SERVING = "serving"
    LEAVING = "leaving"
    MISSING = "missing"
    UNREADABLE = "unreadable"
    """Its entry was overwritten by something that names no upstream."""


_SENDABLE = (UpstreamState.SERVING, UpstreamState.MISSING)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Registration:
    """What an upstream says of itself.

    Parameters
    ----------
    slots
        Requests that it works on at once.
    leaving
        Whether it takes no more work soon.
    cold_seconds
        How much longer it is slow after its start.
    start
        Tells this start of the upstream from earlier ones under its id.
    reclaimable
        Whether the platform may take it away at any time.
    """

    id: types.UpstreamId
    pool: types.PoolName
    domain: types.FailureDomain
    host: str
    port: int
    slots: int
    leaving: bool = False
    cold_seconds: float = 0.0
    start: types.UpstreamStart = types.UNKNOWN_UPSTREAM_START
    reclaimable: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Restarted:
    """An upstream that has started again under its id.

    Parameters
    ----------
    before
        What the process before said of itself.
    heard_at
        Reading of the clock when it last did: all connections made until
        then lead to it and not to the new process.
    """

    before: Registration
    heard_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Expired:
    start: types.UpstreamStart
    at: float


@dataclasses.dataclass(kw_only=True)
class _Known:
    registration: Registration
    state: UpstreamState
    heard_at: float
    missing_since: float = 0.0


class UpstreamDirectory:
    """Beliefs about all upstreams, by the store, by peers and by answers."""

    def __init__(self) -> None:
        self._known_by_id: dict[types.UpstreamId, _Known] = {}
        self._gone_start_by_id: dict[types.UpstreamId, types.UpstreamStart] = {}
        self._expired_by_id: dict[types.UpstreamId, _Expired] = {}
        self._restarted: list[Restarted] = []
        self._store_lost = False
        self._store_regained_at = float("-inf")
        self._restored_at = float("-inf")

    # What is asked.

    def usable(
        self, pool: types.PoolName, *, now: float
    ) -> tuple[Registration, ...]:
        """Return the upstreams of `pool` that may be given work, by id."""
        self._expire(now)
        known = [
            one
            for one in self._known_by_id.values()
            if one.registration.pool == pool and one.state in _SENDABLE
        ]
        serving = [one for one in known if one.state is UpstreamState.SERVING]
        if len(serving) >= _LEAST_SHARE * len(known):
            known = serving
        return tuple(sorted((one.registration for one in known), key=_id_of))

    def may_send(self, upstream: types.UpstreamId, *, now: float) -> bool:
        """Return whether a request may still be sent to `upstream`."""
        self._expire(now)
        known = self._known_by_id.get(upstream)
        return known is not None and known.state in _SENDABLE

    def is_serving(self, upstream: types.UpstreamId) -> bool:
        """Return whether `upstream` is in service and has not said it leaves."""
        known = self._known_by_id.get(upstream)
        return known is not None and known.state is UpstreamState.SERVING

    def counts_by_state(self) -> dict[UpstreamState, int]:
        """Return how many upstreams are in each state."""
        counts = dict.fromkeys(UpstreamState, 0)
        for one in self._known_by_id.values():
            counts[one.state] += 1
        return counts

    @property
    def leaving(self) -> tuple[router_messages.LeavingUpstream, ...]:
        """Upstreams that get nothing new, for the other entry VMs."""
        start_by_id = self._gone_start_by_id | {
            id: one.registration.start
            for id, one in self._known_by_id.items()
            if one.state is UpstreamState.LEAVING
        }
        newest = list(start_by_id.items())[-_TOLD_LEAVING:]
        return tuple(
            router_messages.LeavingUpstream(upstream=id, start=start)
            for id, start in newest
        )

    @property
    def registrations(self) -> tuple[Registration, ...]:
        """All registrations, those of missing and leaving ones included."""
        return tuple(one.registration for one in self._known_by_id.values())

    # What the store tells.

    def apply_listing(
        self,
        registrations: Iterable[Registration],
        *,
        unreadable: Collection[types.UpstreamId] = (),
        now: float,
    ) -> None:
        """Take in all entries of the store at once.

        Parameters
        ----------
        unreadable
            Ids whose entries make no sense.
        """
        listed = {one.id: one for one in registrations}
        for registration in listed.values():
            if self._stands_in_copy_only(registration, now):
                continue
            self.apply_entry(registration, now=now)
        for id in unreadable:
            self.take_unreadable(id)
        present = {*listed, *unreadable}
        for id in [id for id in self._known_by_id if id not in present]:
            self.apply_removal(id, now=now)

    def apply_entry(self, registration: Registration, *, now: float) -> None:
        """Take in a new or changed entry; one of an earlier start is void."""
        gone_start = self._gone_start_by_id.get(registration.id)
        if gone_start is not None and registration.start <= gone_start:
            return
        known = self._known_by_id.get(registration.id)
        if known is not None and registration.start < known.registration.start:
            return
        if known is not None and registration.start > known.registration.start:
            self._note_restart(known, registration)
            known = None
        state = (
            UpstreamState.LEAVING
            if registration.leaving
            else UpstreamState.SERVING
        )
        if known is not None and known.state is UpstreamState.LEAVING:
            # An older listing, or a lagging one, must not bring it back.
            state = UpstreamState.LEAVING
        self._known_by_id[registration.id] = _Known(
            registration=registration, state=state, heard_at=now
        )
        if known is None or known.state is not state:
            _log_state(registration, state, source="store")

    def _note_restart(self, known: _Known, registration: Registration) -> None:
        self._restarted.append(
            Restarted(before=known.registration, heard_at=known.heard_at)
        )
        logs.emit(
            events.LogEvent.UPSTREAM_RESTARTED,
            upstream=registration.id,
            pool=registration.pool,
            start=registration.start,
            previous_start=known.registration.start,
            previous_state=known.state.value,
        )

    def pop_restarted(self) -> tuple[Restarted, ...]:
        """Return the upstreams that started again since the last call."""
        restarted = tuple(self._restarted)
        self._restarted.clear()
        return restarted

    def apply_removal(self, upstream: types.UpstreamId, *, now: float) -> None:
        """Take in that an entry is not there any more."""
        known = self._known_by_id.get(upstream)
        if known is None or known.state is UpstreamState.MISSING:
            return
        if known.state is UpstreamState.LEAVING:
            self._forget(upstream)
            return
        if known.state is UpstreamState.UNREADABLE:
            del self._known_by_id[upstream]
            return
        known.state = UpstreamState.MISSING
        known.missing_since = now
        _log_state(known.registration, known.state, source="store")

    def take_unreadable(self, upstream: types.UpstreamId) -> None:
        """Take in that an entry makes no sense any more.

        It names no upstream until a readable one replaces it; one that is
        missing may come back, but this one was there and said something else.
        """
        known = self._known_by_id.get(upstream)
        if known is None or known.state not in _SENDABLE:
            return
        known.state = UpstreamState.UNREADABLE
        _log_state(known.registration, known.state, source="store")

    def on_store_unreachable(self) -> None:
        """Take in that the store cannot be reached."""
        self._store_lost = True

    def on_store_restored(self, *, now: float) -> None:
        """Take in that the store has come back from an older copy.

        Upstreams that registered since are not in it, and do so again within the
        time that they have after an outage.
        """
        self._store_lost = False
        self._store_regained_at = now
        self._restored_at = now

    def on_store_reachable(self, *, now: float) -> None:
        """Take in that the store answers again."""
        if self._store_lost:
            self._store_lost = False
            self._store_regained_at = now

    # What others tell.

    def mark_leaving(
        self,
        upstream: types.UpstreamId,
        *,
        start: types.UpstreamStart,
        source: str,
    ) -> None:
        """Take in that an upstream takes no more work.

        Parameters
        ----------
        start
            Which start of it; one that has started again since stays in use.
        source
            Who says so, for the log.
        """
        known = self._known_by_id.get(upstream)
        if known is None:
            # Its entry may have run out, and be back before the upstream ends.
            self._note_gone(upstream, start)
            return
        if known.state is UpstreamState.LEAVING:
            return
        if start < known.registration.start:
            return
        known.state = UpstreamState.LEAVING
        _log_state(known.registration, known.state, source=source)

    def mark_gone(self, upstream: types.UpstreamId, *, source: str) -> None:
        """Take in that another process has the upstream's address."""
        known = self._known_by_id.get(upstream)
        if known is not None:
            _log_state(known.registration, UpstreamState.LEAVING, source=source)
            self._forget(upstream)

    # Parts.

    def _stands_in_copy_only(
        self, registration: Registration, now: float
    ) -> bool:
        """Return whether a listed entry is one that has ended before.

        A store that came back from an older copy has the entries of upstreams
        that have ended since. Those that live write theirs again, which is a
        change and no listing.
        """
        expired = self._expired_by_id.get(registration.id)
        return (
            expired is not None
            and now - self._restored_at < _RESTORED_SECONDS
            and now - expired.at < _COPY_SECONDS
            and registration.start <= expired.start
        )

    def _expire(self, now: float) -> None:
        missing = [
            (id, one)
            for id, one in self._known_by_id.items()
            if one.state is UpstreamState.MISSING
        ]
        if not missing:
            return
        hold_seconds = DOUBTFUL_SECONDS
        if self._may_be_lapse(now, missing=len(missing)):
            hold_seconds = LAPSE_SECONDS
        for id, one in missing:
            if now - one.missing_since >= hold_seconds:
                _log_state(
                    one.registration, UpstreamState.LEAVING, source="absence"
                )
                # Not for good: one that was only cut off registers again.
                del self._known_by_id[id]
                self._note_expired(one.registration, now)

    def _note_expired(self, registration: Registration, now: float) -> None:
        self._expired_by_id.pop(registration.id, None)
        self._expired_by_id[registration.id] = _Expired(
            start=registration.start, at=now
        )
        while len(self._expired_by_id) > _REMEMBERED_GONE:
            del self._expired_by_id[next(iter(self._expired_by_id))]

    def _may_be_lapse(self, now: float, *, missing: int) -> bool:
        """Return whether entries may have run out while the store was away.

        A long outage may end without any call of ours having failed; then
        most entries are missing at once.
        """
        if self._store_lost:
            return True
        if now - self._store_regained_at < 2.0 * LAPSE_SECONDS:
            return True
        return missing > _LEAST_SHARE * len(self._known_by_id)

    def _forget(self, upstream: types.UpstreamId) -> None:
        known = self._known_by_id.pop(upstream)
        self._note_gone(upstream, known.registration.start)

    def _note_gone(
        self, upstream: types.UpstreamId, start: types.UpstreamStart
    ) -> None:
        before = self._gone_start_by_id.pop(upstream, start)
        self._gone_start_by_id[upstream] = max(before, start)
        while len(self._gone_start_by_id) > _REMEMBERED_GONE:
            del self._gone_start_by_id[next(iter(self._gone_start_by_id))]


_REMEMBERED_GONE = 1024
"""Ids that stay refused, so that a late entry brings none of them back."""

_TOLD_LEAVING = 16
"""Most ids that other entry VMs are told: the newest; fits a datagram."""


def _id_of(registration: Registration) -> types.UpstreamId:
    return registration.id


def _log_state(
    registration: Registration,
    state: UpstreamState,
    *,
    source: str,
) -> None:
    logs.emit(
        events.LogEvent.UPSTREAM_STATE_CHANGED,
        upstream=registration.id,
        pool=registration.pool,
        domain=registration.domain,
        state=state.value,
        source=source,
    )
