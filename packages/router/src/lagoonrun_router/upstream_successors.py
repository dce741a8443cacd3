"""Which upstreams were replaced at their addresses without having left.

The process that runs at an address next accepts connections there, so that a
probe can't tell that the one before has ended. Its registration tells: it has a
new id or a higher start number, at the address of an upstream that was serving.
"""

import collections
import math

from lagoonrun_core import types
from lagoonrun_router import (
    known_upstream,
    running_requests,
    upstream_changes,
    upstreams,
)

_LEAVING_SECONDS = 1.0
"""Time after the removal of an entry in which its upstream can't have left: it
serves for at least two seconds longer, and the rest allows for the delay of the
notice."""

_SERVING = math.inf
_REPLACED = -math.inf

_Address = tuple[str, int]


class UpstreamSuccessors:
    """The upstreams that serve, or served a moment ago, by address.

    Parameters
    ----------
    directory
        The upstreams.
    """

    def __init__(self, *, directory: upstreams.UpstreamDirectory) -> None:
        self._changes = directory.add_feed()
        self._serving_by_id: dict[
            types.UpstreamId, tuple[_Address, running_requests.UpstreamInstance]
        ] = {}
        self._removed: collections.deque[
            tuple[float, _Address, running_requests.UpstreamInstance]
        ] = collections.deque()
        """When and where upstreams stopped being registered, oldest first."""
        self._removed_at_by_address: dict[
            _Address, dict[running_requests.UpstreamInstance, float]
        ] = {}
        """When the entry of each was removed; `_SERVING` while it is there."""

    def observe(
        self, *, now: float
    ) -> frozenset[running_requests.UpstreamInstance]:
        """Return the upstreams that were replaced since the last call."""
        replaced: set[running_requests.UpstreamInstance] = set()
        ended: list[tuple[_Address, running_requests.UpstreamInstance]] = []
        changes = self._changes.pop()
        for change in changes:
            self._remove_announced(change)
        for change in changes:
            one = change.now or change.before
            before = self._serving_by_id.pop(one.id, None)
            serving = None
            if change.state is known_upstream.UpstreamState.SERVING:
                instance = running_requests.instance_of(one)
                serving = ((one.host, one.port), instance)
                self._serving_by_id[one.id] = serving
                replaced.update(self._add_serving(*serving, now))
            if before is not None and before != serving:
                ended.append(before)
        for address, instance in ended:
            self._record_end(address, instance, now)
        self._remove_expired(now)
        return frozenset(replaced)

    def _remove_announced(
        self, change: upstream_changes.UpstreamChange
    ) -> None:
        """Remove instances that have announced that they leave."""
        for one in (change.before, change.now):
            if one is not None and (
                one.start in change.left_starts
                or change.state is known_upstream.UpstreamState.UNREADABLE
            ):
                self._remove_instance(
                    (one.host, one.port), running_requests.instance_of(one)
                )

    def _add_serving(
        self,
        address: _Address,
        instance: running_requests.UpstreamInstance,
        now: float,
    ) -> frozenset[running_requests.UpstreamInstance]:
        """Add an upstream; return those that it has replaced."""
        known = self._removed_at_by_address.setdefault(address, {})
        replaced = frozenset()
        if instance not in known:
            replaced = _replace_all(known, now)
        if known.get(instance) != _REPLACED:
            known[instance] = _SERVING
        return replaced

    def _record_end(
        self,
        address: _Address,
        instance: running_requests.UpstreamInstance,
        now: float,
    ) -> None:
        """Record that an upstream is not registered any more."""
        removed_at = self._removed_at_by_address.get(address, {}).get(instance)
        if removed_at is None:
            return
        if removed_at == _REPLACED:
            self._remove_instance(address, instance)
            return
        self._removed_at_by_address[address][instance] = now
        self._removed.append((now, address, instance))

    def was_serving_lately(
        self, upstream: upstreams.Registration, *, now: float
    ) -> bool:
        """Return whether an upstream serves, or its entry was just removed."""
        known = self._removed_at_by_address.get(
            (upstream.host, upstream.port), {}
        )
        instance = running_requests.instance_of(upstream)
        return now - known.get(instance, _REPLACED) <= _LEAVING_SECONDS

    def _remove_expired(self, now: float) -> None:
        while self._removed and now - self._removed[0][0] > _LEAVING_SECONDS:
            removed_at, address, instance = self._removed.popleft()
            known = self._removed_at_by_address.get(address, {})
            if known.get(instance) in (removed_at, _REPLACED):
                self._remove_instance(address, instance)

    def _remove_instance(
        self, address: _Address, instance: running_requests.UpstreamInstance
    ) -> None:
        known = self._removed_at_by_address.get(address)
        if known is None:
            return
        known.pop(instance, None)
        if not known:
            del self._removed_at_by_address[address]


def _replace_all(
    known: dict[running_requests.UpstreamInstance, float], now: float
) -> frozenset[running_requests.UpstreamInstance]:
    """Return those that have not left, and note that they were replaced."""
    replaced = frozenset(
        instance
        for instance, removed_at in known.items()
        if now - removed_at <= _LEAVING_SECONDS
    )
    for instance in known:
        known[instance] = _REPLACED
    return replaced
