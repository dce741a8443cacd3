"""Which upstreams were replaced at their addresses without having left.

The process that runs at an address next accepts connections there, so that a
probe can't tell that the one before has ended. Its registration tells: it has a
new id or a higher start number, at the address of an upstream that was serving.
"""

import math

from lagoonrun_router import running_requests, upstreams

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
        self._directory = directory
        self._removed_at_by_address: dict[
            _Address, dict[running_requests.UpstreamInstance, float]
        ] = {}
        """When the entry of each was removed; `_SERVING` while it is there."""

    def observe(
        self, *, now: float
    ) -> frozenset[running_requests.UpstreamInstance]:
        """Return the upstreams that were replaced since the last call."""
        replaced: set[running_requests.UpstreamInstance] = set()
        registered: set[running_requests.UpstreamInstance] = set()
        for one in self._directory.registrations:
            address = (one.host, one.port)
            known = self._removed_at_by_address.setdefault(address, {})
            instance = running_requests.instance_of(one)
            if self._directory.is_serving(one.id):
                registered.add(instance)
                if instance not in known:
                    replaced.update(_replace_all(known, now))
                if known.get(instance) != _REPLACED:
                    known[instance] = _SERVING
            elif not self._directory.may_send(one.id, now=now):
                # It has announced that it leaves.
                known.pop(instance, None)
        self._remove_left(registered, now)
        return frozenset(replaced)

    def was_serving_lately(
        self, upstream: upstreams.Registration, *, now: float
    ) -> bool:
        """Return whether an upstream serves, or its entry was just removed."""
        known = self._removed_at_by_address.get(
            (upstream.host, upstream.port), {}
        )
        instance = running_requests.instance_of(upstream)
        return now - known.get(instance, _REPLACED) <= _LEAVING_SECONDS

    def _remove_left(
        self, registered: set[running_requests.UpstreamInstance], now: float
    ) -> None:
        for address, known in tuple(self._removed_at_by_address.items()):
            for instance in known.keys() - registered:
                known[instance] = min(known[instance], now)
                if now - known[instance] > _LEAVING_SECONDS:
                    del known[instance]
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
