"""Digests of an ingress's running and waiting requests at each dispatcher.

A digest reconciles permits whose end message was lost, registers running
requests with a new dispatcher, and serves as a heartbeat: a dispatcher that
does not reply to several digests is silent, even if it has acknowledged the
requests that wait at it.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

from lagoonrun_core import types
from lagoonrun_daemon import permit_types
from lagoonrun_protocol import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddressedDigest:
    """A digest and the dispatcher to send it to."""

    dispatcher: types.EntryVmId
    digest: messages.WorkDigest


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Address:
    dispatcher: types.EntryVmId
    shard: types.ShardId


def compose_digests(
    *,
    running: Iterable[permit_types.Permit],
    waiting: Iterable[permit_types.PendingRequest],
    owner_of: Callable[[types.ShardId], types.EntryVmId | None],
    now: float,
) -> Sequence[AddressedDigest]:
    """Return the digests to send, one per dispatcher and shard.

    Parameters
    ----------
    running
        Sent to the current dispatcher of the shard, so that a new dispatcher
        gets the requests that a previous one granted.
    waiting
        Sent to the dispatcher at which each request waits.
    now
        Reading of the monotonic clock.
    """
    running_by_address: dict[_Address, list[messages.RunningWork]] = {}
    for permit in running:
        address = _Address(
            dispatcher=owner_of(permit.shard) or permit.dispatcher,
            shard=permit.shard,
        )
        work = _running_work(permit, now)
        running_by_address.setdefault(address, []).append(work)
    waiting_by_address: dict[_Address, list[messages.WaitingWork]] = {}
    for pending in waiting:
        address = _Address(
            dispatcher=pending.dispatcher, shard=pending.wanted.shard
        )
        work = messages.WaitingWork(
            request_id=pending.key.request_id, attempt_id=pending.key.attempt_id
        )
        waiting_by_address.setdefault(address, []).append(work)
    addresses = dict.fromkeys([*running_by_address, *waiting_by_address])
    return [
        AddressedDigest(
            dispatcher=address.dispatcher,
            digest=messages.WorkDigest(
                shard=address.shard,
                running=tuple(running_by_address.get(address, ())),
                waiting=tuple(waiting_by_address.get(address, ())),
            ),
        )
        for address in addresses
    ]


class EmptyDigests:
    """Empty digests to send after the last request at a dispatcher ended.

    An ingress without requests at a dispatcher would send it no digest, and a
    permit whose end message was lost would occupy its slot indefinitely.
    Therefore empty digests follow the last one that listed a request.

    Parameters
    ----------
    digests
        Number of empty digests; enough to continue after a connection was
        lost and re-established.
    """

    def __init__(self, *, digests: int) -> None:
        self._digests = digests
        self._left_by_address: dict[_Address, int] = {}

    def record_grant(
        self, dispatcher: types.EntryVmId, shard: types.ShardId
    ) -> None:
        """Record a grant, whose request may end before a digest lists it."""
        address = _Address(dispatcher=dispatcher, shard=shard)
        self._left_by_address[address] = self._digests

    def begin_period(
        self, due: Iterable[AddressedDigest]
    ) -> Sequence[AddressedDigest]:
        """Return the empty digests to send in addition to `due`."""
        named = {
            _Address(dispatcher=one.dispatcher, shard=one.digest.shard)
            for one in due
        }
        ended = {
            address: left - 1
            for address, left in self._left_by_address.items()
            if left > 0 and address not in named
        }
        self._left_by_address = dict.fromkeys(named, self._digests) | ended
        return [
            AddressedDigest(
                dispatcher=address.dispatcher,
                digest=messages.WorkDigest(
                    shard=address.shard, running=(), waiting=()
                ),
            )
            for address in ended
        ]


class UnansweredDigests:
    """Count digest periods in which a dispatcher sent no message.

    Parameters
    ----------
    limit
        Number of periods after which it counts as silent.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._periods_by_vm: dict[types.EntryVmId, int] = {}

    def record_message(self, dispatcher: types.EntryVmId) -> None:
        """Reset the count of a dispatcher on any message."""
        self._periods_by_vm.pop(dispatcher, None)

    def begin_period(
        self, dispatchers: Iterable[types.EntryVmId]
    ) -> Sequence[types.EntryVmId]:
        """Start a period; return the dispatchers that are silent.

        The period counts once for each dispatcher that gets digests,
        regardless of its number of shards.
        """
        silent = []
        addressed = set(dispatchers)
        for dispatcher in sorted(addressed):
            periods = self._periods_by_vm.get(dispatcher, 0)
            if periods >= self._limit:
                silent.append(dispatcher)
        self._periods_by_vm = {
            dispatcher: self._periods_by_vm.get(dispatcher, 0) + 1
            for dispatcher in addressed
            if dispatcher not in silent
        }
        return silent


def _running_work(
    permit: permit_types.Permit, now: float
) -> messages.RunningWork:
    return messages.RunningWork(
        request_id=permit.key.request_id,
        attempt_id=permit.key.attempt_id,
        upstream=permit.upstream,
        profile=permit.profile,
        organisation=permit.organisation,
        running_seconds=now - permit.granted_at,
        first_token_seconds=permit.first_token_seconds,
        tokens=permit.tokens,
    )
