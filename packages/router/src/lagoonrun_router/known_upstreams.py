"""The known upstreams, found by id, pool, address and state."""

from collections.abc import Collection

from lagoonrun_core import types
from lagoonrun_router import known_upstream, removal_grace, upstream_changes
from lagoonrun_router import registration as registrations

KnownUpstream = known_upstream.KnownUpstream
UpstreamState = known_upstream.UpstreamState

_Address = tuple[str, int]


class KnownUpstreams:
    """Known upstreams with their indexes, and feeds of their changes.

    Each operation on one upstream takes a time that does not depend on the number
    of the others.
    """

    def __init__(self) -> None:
        self._by_id: dict[types.UpstreamId, KnownUpstream] = {}
        self._by_pool: dict[
            types.PoolName, dict[types.UpstreamId, KnownUpstream]
        ] = {}
        self._by_address: dict[
            _Address, dict[types.UpstreamId, KnownUpstream]
        ] = {}
        self._missing_by_id: dict[types.UpstreamId, KnownUpstream] = {}
        self._leaving_by_id: dict[types.UpstreamId, KnownUpstream] = {}
        self._usable_by_pool: dict[
            types.PoolName, tuple[registrations.Registration, ...]
        ] = {}
        """Computed when asked for; dropped when an upstream of the pool changes."""
        self._feeds: list[upstream_changes.UpstreamChangeFeed] = []

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, upstream: types.UpstreamId) -> bool:
        return upstream in self._by_id

    def get(self, upstream: types.UpstreamId) -> KnownUpstream | None:
        """Return what is known of an upstream; None for nothing."""
        return self._by_id.get(upstream)

    @property
    def all(self) -> Collection[KnownUpstream]:
        """All upstreams, in the order in which they became known."""
        return self._by_id.values()

    @property
    def missing(self) -> Collection[KnownUpstream]:
        """The upstreams whose entries have disappeared."""
        return self._missing_by_id.values()

    @property
    def leaving(self) -> Collection[KnownUpstream]:
        """The upstreams that leave, in the order of the notices."""
        return self._leaving_by_id.values()

    def of_pool(self, pool: types.PoolName) -> Collection[KnownUpstream]:
        """Return the upstreams of a pool."""
        return self._by_pool.get(pool, {}).values()

    def usable(
        self, pool: types.PoolName
    ) -> tuple[registrations.Registration, ...]:
        """Return the upstreams of a pool that may be sent requests, by id.

        The missing ones are among them only if most are missing.
        """
        cached = self._usable_by_pool.get(pool)
        if cached is not None:
            return cached
        known = [
            one
            for one in self.of_pool(pool)
            if one.state in known_upstream.USABLE_STATES
        ]
        serving = [one for one in known if one.state is UpstreamState.SERVING]
        if len(serving) >= removal_grace.MIN_REGISTERED_SHARE * len(known):
            known = serving
        usable = tuple(sorted((one.registration for one in known), key=_id_of))
        if known:
            self._usable_by_pool[pool] = usable
        return usable

    def at_address(self, host: str, port: int) -> Collection[KnownUpstream]:
        """Return the upstreams that are registered with an address."""
        return self._by_address.get((host, port), {}).values()

    def put(self, known: KnownUpstream) -> None:
        """Add an upstream, or replace what was known of it."""
        one = known.registration
        before = self._by_id.get(one.id)
        if before is not None:
            self._remove_from_indexes(before)
        if before is None or (before.registration, before.state) != (
            one,
            known.state,
        ):
            self._record_change(one.id, before)
            self._usable_by_pool.pop(one.pool, None)
        self._by_id[one.id] = known
        self._by_pool.setdefault(one.pool, {})[one.id] = known
        address = (one.host, one.port)
        self._by_address.setdefault(address, {})[one.id] = known
        self._index_state(known)

    def set_state(self, known: KnownUpstream, state: UpstreamState) -> None:
        """Change the state of an upstream."""
        if known.state is state:
            return
        self._record_change(known.registration.id, known)
        self._remove_from_state_indexes(known)
        known.state = state
        self._index_state(known)

    def remove(self, upstream: types.UpstreamId) -> KnownUpstream:
        """Remove and return an upstream."""
        known = self._by_id.pop(upstream)
        self._record_change(upstream, known)
        self._remove_from_indexes(known)
        return known

    def add_feed(self) -> upstream_changes.UpstreamChangeFeed:
        """Return a feed of all changes, which begins with all upstreams."""
        feed = upstream_changes.UpstreamChangeFeed(known=self._by_id)
        for id in self._by_id:
            feed.record(id, None)
        self._feeds.append(feed)
        return feed

    def _record_change(
        self, upstream: types.UpstreamId, before: KnownUpstream | None
    ) -> None:
        registration: registrations.Registration | None = None
        if before is not None:
            registration = before.registration
            self._usable_by_pool.pop(registration.pool, None)
        for feed in self._feeds:
            feed.record(upstream, registration)

    def _index_state(self, known: KnownUpstream) -> None:
        id = known.registration.id
        if known.state is UpstreamState.MISSING:
            self._missing_by_id[id] = known
        elif known.state is UpstreamState.LEAVING:
            self._leaving_by_id[id] = known
            for feed in self._feeds:
                feed.record_leaving(known.registration)

    def _remove_from_state_indexes(self, known: KnownUpstream) -> None:
        self._missing_by_id.pop(known.registration.id, None)
        self._leaving_by_id.pop(known.registration.id, None)

    def _remove_from_indexes(self, known: KnownUpstream) -> None:
        one = known.registration
        self._remove_from_state_indexes(known)
        _remove_indexed(self._by_pool, one.pool, one.id)
        _remove_indexed(self._by_address, (one.host, one.port), one.id)


def _id_of(registration: registrations.Registration) -> types.UpstreamId:
    return registration.id


def _remove_indexed(
    index: dict, key: types.PoolName | _Address, upstream: types.UpstreamId
) -> None:
    known_by_id = index[key]
    del known_by_id[upstream]
    if not known_by_id:
        del index[key]
