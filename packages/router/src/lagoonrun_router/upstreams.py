"""State of the upstreams that register in the store, as one entry VM knows it.

An entry that disappears means one of two things. In normal operation the
upstream is leaving or dead and gets no new requests. During an outage of the
store, leases may expire although their upstreams are alive; the entries are
written again within seconds after the store is reachable, so the upstream stays
in use until then. Which of the two it is follows from when the entry was seen to
disappear; how long the upstream is kept is decided then, and a later outage does
not prolong it.

Nothing that is said of an upstream is believed for good: an entry that contradicts
it and stands in the store for some seconds prevails (`deferred_entries`), since
only the upstream itself keeps its entry there.

An upstream may restart under the same id. What was known of the previous
instance is then void: it may have announced that it leaves, and its prefix
cache and running requests are lost.
"""

import dataclasses
from collections.abc import Collection, Iterable

from lagoonrun_core import events, logs, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    deferred_entries,
    ended_upstreams,
    known_upstream,
    known_upstreams,
    removal_grace,
    upstream_changes,
)
from lagoonrun_router import registration as registrations

Registration = registrations.Registration
UpstreamState = known_upstream.UpstreamState


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestartedUpstream:
    """An upstream that has restarted under the same id.

    Parameters
    ----------
    before
        Registration of the previous instance.
    heard_at
        Monotonic time of that registration's last update: connections opened
        until then lead to the previous instance.
    """

    before: Registration
    heard_at: float


class UpstreamDirectory:
    """State of all upstreams, from the store, from peers and from answers."""

    def __init__(self) -> None:
        self._known = known_upstreams.KnownUpstreams()
        self._ended = ended_upstreams.EndedUpstreams()
        self._restarted: list[RestartedUpstream] = []
        self._removal_grace = removal_grace.RemovalGrace()
        self._deferred = deferred_entries.DeferredEntries()

    # Queries.

    def usable(
        self, pool: types.PoolName, *, now: float
    ) -> tuple[Registration, ...]:
        """Return the upstreams of `pool` that may be sent requests, by id."""
        self._expire(now)
        return self._known.usable(pool)

    def may_send(self, upstream: types.UpstreamId, *, now: float) -> bool:
        """Return whether a request may still be sent to `upstream`."""
        self._expire(now)
        known = self._known.get(upstream)
        return known is not None and known.state in known_upstream.USABLE_STATES

    def leaving_recently(
        self, pool: types.PoolName, *, now: float
    ) -> tuple[Registration, ...]:
        """Return the upstreams of `pool` that began to leave a moment ago.

        They get no new requests, but may continue streams that no other
        upstream can.
        """
        return tuple(
            sorted(
                (
                    one.registration
                    for one in self._known.leaving
                    if one.registration.pool == pool
                    and known_upstream.left_recently(one, now)
                ),
                key=_registration_id,
            )
        )

    def may_continue(self, upstream: types.UpstreamId, *, now: float) -> bool:
        """Return whether a broken stream may still be sent to `upstream`."""
        known = self._known.get(upstream)
        if known is not None and known_upstream.left_recently(known, now):
            return True
        return self.may_send(upstream, now=now)

    def pool_of(self, upstream: types.UpstreamId) -> types.PoolName | None:
        """Return the pool of an upstream; None if it is not known."""
        known = self._known.get(upstream)
        return known.registration.pool if known else None

    def registration_of(
        self, upstream: types.UpstreamId
    ) -> Registration | None:
        """Return the registration of a usable upstream; None if there is none.

        Read-only: states that have expired are updated by `usable`.
        """
        known = self._known.get(upstream)
        if known is None or known.state not in known_upstream.USABLE_STATES:
            return None
        return known.registration

    def registration_at(self, host: str, port: int) -> Registration | None:
        """Return the usable upstream with an address; None for none."""
        for known in self._known.at_address(host, port):
            if known.state in known_upstream.USABLE_STATES:
                return known.registration
        return None

    def is_serving(self, upstream: types.UpstreamId) -> bool:
        """Return whether `upstream` is registered and not about to leave."""
        known = self._known.get(upstream)
        return known is not None and known.state is UpstreamState.SERVING

    def counts_by_state(self) -> dict[UpstreamState, int]:
        """Return how many upstreams are in each state."""
        counts = dict.fromkeys(UpstreamState, 0)
        for one in self._known.all:
            counts[one.state] += 1
        return counts

    @property
    def leaving(self) -> tuple[router_messages.LeavingUpstream, ...]:
        """Upstreams that get no new requests, to be reported to peers."""
        start_by_id = dict(self._ended.gone_start_by_id) | {
            one.registration.id: one.registration.start
            for one in self._known.leaving
        }
        newest = list(start_by_id.items())[-_MAX_REPORTED_LEAVING:]
        return tuple(
            router_messages.LeavingUpstream(upstream=id, start=start)
            for id, start in newest
        )

    @property
    def registrations(self) -> tuple[Registration, ...]:
        """All registrations, also those of missing and leaving upstreams."""
        return tuple(one.registration for one in self._known.all)

    def add_feed(self) -> upstream_changes.UpstreamChangeFeed:
        """Return a feed of all changes, which begins with all upstreams."""
        return self._known.add_feed()

    # Updates from the store.

    def apply_listing(
        self,
        registrations: Iterable[Registration],
        *,
        unreadable: Collection[types.UpstreamId] = (),
        rewritten: Collection[types.UpstreamId] = (),
        now: float,
    ) -> None:
        """Apply a listing of all entries in the store.

        Parameters
        ----------
        unreadable
            Ids whose entries could not be decoded.
        rewritten
            Ids whose entries were written since they were last read.
        """
        listed = {one.id: one for one in registrations}
        for registration in listed.values():
            if self._is_stale_entry(registration, now):
                self._deferred.put(registration, rewritten=False, now=now)
                continue
            self.apply_entry(
                registration, rewritten=registration.id in rewritten, now=now
            )
        for id in unreadable:
            self.mark_unreadable(id)
        present = {*listed, *unreadable}
        self._deferred.retain(listed)
        absent = [
            one.registration.id
            for one in self._known.all
            if one.registration.id not in present
        ]
        for id in absent:
            self.apply_removal(id, now=now)

    def apply_entry(
        self,
        registration: Registration,
        *,
        rewritten: bool = False,
        now: float,
    ) -> None:
        """Apply a new or changed entry.

        One that contradicts what is known is set aside.

        Parameters
        ----------
        rewritten
            Whether it was written after all that is known of its upstream.
        """
        if self._contradicts(registration):
            if not registration.leaving or rewritten:
                self._deferred.put(registration, rewritten=rewritten, now=now)
            return
        self._deferred.discard(registration.id)
        self._apply_believed(registration, now=now)

    def _contradicts(self, registration: Registration) -> bool:
        """Return whether an entry says else than what is known.

        It may be of a previous instance, of another writer, or older than the
        word that the upstream leaves or is gone.
        """
        if self._ended.is_gone(registration):
            return True
        known = self._known.get(registration.id)
        if known is None or registration.start > known.registration.start:
            return False
        if registration.start < known.registration.start:
            return True
        if (
            registration.start != types.UNKNOWN_UPSTREAM_START
            and registration.version != known.registration.version
        ):
            # A process keeps its version; the next one has another start.
            return True
        return known.state is UpstreamState.LEAVING and not registration.leaving

    def _apply_believed(
        self, registration: Registration, *, now: float
    ) -> None:
        known = self._known.get(registration.id)
        if known is not None and registration.start > known.registration.start:
            self._record_restart(known, registration)
            known = None
        elif known is not None and (
            registration.version != known.registration.version
        ):
            # Connections lead to the process of the other version.
            self._record_restart(known, registration)
        state = (
            UpstreamState.LEAVING
            if registration.leaving
            else UpstreamState.SERVING
        )
        self._known.put(
            known_upstream.KnownUpstream(
                registration=registration,
                state=state,
                heard_at=now,
                left_at=known_upstream.left_at(known, state, now),
            )
        )
        if known is None or known.state is not state:
            _log_state(registration, state, source="store")

    def observe_reading(self, *, is_current: bool, now: float) -> None:
        """Record whether this entry VM learns of changes of the store."""
        self._deferred.observe_reading(is_current=is_current, now=now)

    def _apply_due(self, now: float) -> None:
        """Believe the entries that have stood for long enough."""
        for registration in self._deferred.pop_due(now=now):
            if self._is_address_taken(registration):
                self._deferred.put(registration, rewritten=False, now=now)
                continue
            self._ended.refute(registration.id, now=now)
            known = self._known.get(registration.id)
            if known is not None and (
                registration.start != known.registration.start
            ):
                self._record_restart(known, registration)
                self._known.remove(registration.id)
            self._apply_believed(registration, now=now)

    def _is_address_taken(self, registration: Registration) -> bool:
        return any(
            one.state is UpstreamState.SERVING
            and one.registration.id != registration.id
            for one in self._known.at_address(
                registration.host, registration.port
            )
        )

    def _record_restart(
        self, known: known_upstream.KnownUpstream, registration: Registration
    ) -> None:
        self._restarted.append(
            RestartedUpstream(
                before=known.registration, heard_at=known.heard_at
            )
        )
        logs.emit(
            events.LogEvent.UPSTREAM_RESTARTED,
            upstream=registration.id,
            pool=registration.pool,
            start=registration.start,
            previous_start=known.registration.start,
            version=registration.version,
            previous_version=known.registration.version,
            previous_state=known.state.value,
        )

    def pop_restarted(self) -> tuple[RestartedUpstream, ...]:
        """Return and clear the upstreams that restarted since the last call."""
        restarted = tuple(self._restarted)
        self._restarted.clear()
        return restarted

    def apply_removal(self, upstream: types.UpstreamId, *, now: float) -> None:
        """Apply the removal of an entry."""
        self._deferred.discard(upstream)
        known = self._known.get(upstream)
        if known is None or known.state is UpstreamState.MISSING:
            return
        if known.state is UpstreamState.LEAVING:
            self._forget(upstream)
            return
        if known.state is UpstreamState.UNREADABLE:
            self._known.remove(upstream)
            return
        self._known.set_state(known, UpstreamState.MISSING)
        known.missing_since = now
        known.kept_until = self._removal_grace.kept_until(now=now)
        _log_state(known.registration, known.state, source="store")

    def mark_unreadable(self, upstream: types.UpstreamId) -> None:
        """Record that an entry can no longer be decoded.

        Unlike a missing upstream, which may register again, it is not used
        until a valid entry replaces this one.
        """
        self._deferred.discard(upstream)
        known = self._known.get(upstream)
        if known is None or known.state not in known_upstream.USABLE_STATES:
            return
        self._known.set_state(known, UpstreamState.UNREADABLE)
        _log_state(known.registration, known.state, source="store")

    def on_store_unreachable(self) -> None:
        """Record that the store cannot be reached."""
        self._removal_grace.on_store_unreachable()

    def on_store_restored(self, *, now: float) -> None:
        """Record that the store was restored from a backup.

        Upstreams that registered after the backup are missing and register
        again within the time that they have after an outage.
        """
        self._removal_grace.on_store_restored(now=now)

    def on_store_reachable(self, *, now: float) -> None:
        """Record that the store answers again."""
        self._removal_grace.on_store_reachable(now=now)

    # Updates from peers and answers.

    def apply_peer_leaving(
        self,
        upstream: types.UpstreamId,
        *,
        start: types.UpstreamStart,
        source: types.EntryVmId,
        now: float,
    ) -> None:
        """Apply a peer's word that an upstream accepts no more requests.

        Peers hand this word on to each other, so for some time after it was
        refuted it may be an echo.
        """
        if self._ended.is_echo(upstream, now=now):
            return
        self.mark_leaving(upstream, start=start, source=source, now=now)

    def mark_leaving(
        self,
        upstream: types.UpstreamId,
        *,
        start: types.UpstreamStart,
        source: str,
        now: float,
    ) -> None:
        """Record that an upstream accepts no more requests.

        If its entry stays in the store and says that it serves, it is believed
        again after some seconds.

        Parameters
        ----------
        start
            Start number of the instance that leaves; a later instance stays in
            use.
        source
            Who reported it, for the log.
        """
        known = self._known.get(upstream)
        if known is None:
            # Its lease may have expired, and its entry may be written again
            # before the upstream ends.
            self._ended.record_gone(upstream, start)
            return
        if known.state is UpstreamState.LEAVING:
            return
        if start < known.registration.start:
            return
        self._defer_known(known, now)
        self._known.set_state(known, UpstreamState.LEAVING)
        _log_state(known.registration, known.state, source=source)

    def mark_gone(
        self, upstream: types.UpstreamId, *, source: str, now: float
    ) -> None:
        """Record that another process answers at the upstream's address.

        If its entry stays in the store, it is tried again after some seconds.
        """
        known = self._known.get(upstream)
        if known is not None:
            self._defer_known(known, now)
            _log_state(known.registration, UpstreamState.LEAVING, source=source)
            self._forget(upstream)

    def _defer_known(
        self, known: known_upstream.KnownUpstream, now: float
    ) -> None:
        # An entry that is set aside is newer than the one that is known.
        if known.state is UpstreamState.SERVING and not self._deferred.has(
            known.registration.id
        ):
            self._deferred.put(known.registration, rewritten=False, now=now)

    def _is_stale_entry(self, registration: Registration, now: float) -> bool:
        """Return whether a listed entry belongs to an upstream that has ended.

        After a restore the store has the entries of upstreams that have ended
        since the backup. Those that are alive write theirs again, which arrives
        as a change and not in a listing.
        """
        restored_at = self._removal_grace.restored_at
        if now - restored_at >= deferred_entries.UNCHANGED_SECONDS:
            return False
        known = self._known.get(registration.id)
        if known is not None and known.state is UpstreamState.MISSING:
            # Its entry disappeared a moment before the restore: it has left,
            # unless its lease may have expired in an outage.
            return (
                not removal_grace.may_have_expired(
                    missing_since=known.missing_since,
                    kept_until=known.kept_until,
                )
                and registration.start <= known.registration.start
            )
        return self._ended.has_expired(registration, now=now)

    def _expire(self, now: float) -> None:
        self._apply_due(now)
        missing = self._known.missing
        if not missing:
            return
        grace_seconds = removal_grace.unexplained_seconds(
            missing=len(missing), known=len(self._known)
        )
        for one in tuple(missing):
            kept_until = max(one.kept_until, one.missing_since + grace_seconds)
            if now >= kept_until:
                _log_state(
                    one.registration, UpstreamState.LEAVING, source="absence"
                )
                # Not permanently: one that was only cut off registers again.
                self._known.remove(one.registration.id)
                self._ended.record_expired(one.registration, now=now)

    def _forget(self, upstream: types.UpstreamId) -> None:
        known = self._known.remove(upstream)
        self._ended.record_gone(upstream, known.registration.start)


_MAX_REPORTED_LEAVING = 16
"""Maximum number of leaving upstreams in a message, the newest ones: it has to
fit into a datagram."""


def _registration_id(registration: Registration) -> types.UpstreamId:
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
        version=registration.version,
        state=state.value,
        source=source,
    )
