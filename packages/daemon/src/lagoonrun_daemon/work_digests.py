"""Digests of what an ingress has running and waiting at each dispatcher.

A digest reconciles permits whose end was lost, registers running work with a
new dispatcher, and is a heartbeat: a dispatcher that answers none of several
is silent, even if it had acknowledged the requests that wait at it.
"""

import dataclasses
from collections.abc import Callable, Iterable, Sequence

from lagoonrun_core import types
from lagoonrun_daemon import permit_types
from lagoonrun_protocol import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddressedDigest:
    """A digest and the dispatcher that is to get it."""

    dispatcher: types.EntryVmId
    digest: messages.WorkDigest


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Address:
    dispatcher: types.EntryVmId
    shard: types.ShardId


def compose_digests(
    *,
    running: Iterable[permit_types.Permit],
    waiting: Iterable[permit_types.Ask],
    owner_of: Callable[[types.ShardId], types.EntryVmId | None],
    now: float,
) -> Sequence[AddressedDigest]:
    """Return the digests that are due, one a dispatcher and shard.

    Parameters
    ----------
    running
        Goes to whoever dispatches the shard now, so that a new dispatcher
        learns of work that an old one granted.
    waiting
        Goes to where each request waits.
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
    for ask in waiting:
        address = _Address(dispatcher=ask.dispatcher, shard=ask.wanted.shard)
        work = messages.WaitingWork(
            request_id=ask.key.request_id, attempt_id=ask.key.attempt_id
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


class EndedWork:
    """Dispatchers that may hold permits of an ingress that has none left.

    An ingress without work at a dispatcher would send it no digest, and a
    permit whose end was lost on the way would hold its slot for ever. So
    empty digests follow the last one that named work.

    Parameters
    ----------
    digests
        Number of empty digests; they outlast a connection that is lost and
        made again.
    """

    def __init__(self, *, digests: int) -> None:
        self._digests = digests
        self._left_by_address: dict[_Address, int] = {}

    def note_grant(
        self, dispatcher: types.EntryVmId, shard: types.ShardId
    ) -> None:
        """Take in a grant; its work may end before a digest names it."""
        address = _Address(dispatcher=dispatcher, shard=shard)
        self._left_by_address[address] = self._digests

    def begin_period(
        self, due: Iterable[AddressedDigest]
    ) -> Sequence[AddressedDigest]:
        """Return the empty digests that are sent besides those of `due`."""
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
    """Counts the periods in which a dispatcher gave no sign of life.

    Parameters
    ----------
    limit
        Periods after which it counts as silent.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._periods_by_vm: dict[types.EntryVmId, int] = {}

    def note_sign_of_life(self, dispatcher: types.EntryVmId) -> None:
        """Take in any message of a dispatcher."""
        self._periods_by_vm.pop(dispatcher, None)

    def begin_period(
        self, dispatchers: Iterable[types.EntryVmId]
    ) -> Sequence[types.EntryVmId]:
        """Count a period for those that get digests; return the silent ones.

        A period counts once however many shards a dispatcher has.
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
