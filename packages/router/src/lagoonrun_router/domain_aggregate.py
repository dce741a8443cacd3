"""What the relay of a large failure domain gathers of the whole fleet.

Apart from what its own decisions rest on: those use the sum that the relay
tells, as all other decisions in the domain do.
"""

import dataclasses
import zlib
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import load_ledger, loads, peer_loads, pressure

TELLER_SECONDS = load_ledger.PEER_LOAD_SECONDS
"""Silence after which a neighbour is not listed any more: its work counts no
more either."""


def short_hash(entry_vm: types.EntryVmId) -> int:
    """Return what stands for an entry VM in a relay's list."""
    return zlib.crc32(entry_vm.encode())


@dataclasses.dataclass(frozen=True, kw_only=True)
class Teller:
    """A neighbour that tells the relay of its work.

    Parameters
    ----------
    sequence
        Of its newest state.
    follows_store
        Whether it reads the store and is up to date with it.
    """

    entry_vm: types.EntryVmId
    sequence: int
    at: float
    follows_store: bool


class DomainAggregate:
    """Work of the neighbours, one by one, and of other domains in sums."""

    def __init__(self) -> None:
        self._ledger = load_ledger.LoadLedger()
        self._pressed = pressure.Pressure()
        self._tellers_by_id: dict[types.EntryVmId, Teller] = {}
        self._domains: set[types.FailureDomain] = set()

    def receive_state(
        self, state: router_messages.RouterState, *, now: float
    ) -> None:
        """Replace what is known of a neighbour, or of this entry VM."""
        self._ledger.apply_report(
            state.entry_vm, peer_loads.from_rows(state.loads), now=now
        )
        self._pressed.apply_report(
            state.entry_vm, peer_loads.pressed_of(state.pressed), now=now
        )
        if state.stopping:
            self._tellers_by_id.pop(state.entry_vm, None)
            return
        self._tellers_by_id[state.entry_vm] = Teller(
            entry_vm=state.entry_vm,
            sequence=state.sequence,
            at=now,
            follows_store=state.follows_store,
        )

    def take_domain(
        self, news: router_messages.DomainNews, *, now: float
    ) -> None:
        """Replace what is known of another failure domain."""
        self._domains.add(news.domain)
        self._ledger.apply_report(
            news.domain, peer_loads.from_rows(news.loads), now=now
        )
        self._pressed.apply_report(
            news.domain, peer_loads.pressed_of(news.pressed), now=now
        )

    def forget_instance(self, upstream: types.UpstreamId) -> None:
        """Drop what is known of an upstream that has started again."""
        self._ledger.forget_instance(upstream)

    def forget_upstreams(self, known: Iterable[types.UpstreamId]) -> None:
        """Drop what is kept of upstreams that are not in `known`."""
        self._ledger.forget_upstreams(known)

    def forget_peer(self, entry_vm: types.EntryVmId) -> None:
        """Drop what a lost neighbour told."""
        self._ledger.forget_peer(entry_vm)
        self._tellers_by_id.pop(entry_vm, None)

    def tellers(self, *, now: float) -> tuple[Teller, ...]:
        """Return who has told of its work lately."""
        for entry_vm, teller in tuple(self._tellers_by_id.items()):
            if now - teller.at >= TELLER_SECONDS:
                del self._tellers_by_id[entry_vm]
        return tuple(self._tellers_by_id.values())

    def domain_loads(self, *, now: float) -> dict[types.UpstreamId, loads.Load]:
        """Return the work of the own failure domain, by upstream."""
        return self._ledger.loads_of(self._tellers_by_id, now=now)

    def fleet_loads(self, *, now: float) -> dict[types.UpstreamId, loads.Load]:
        """Return the work of the whole fleet, by upstream."""
        return self._ledger.told_loads(now=now)

    def prefill_rate(self, upstream: types.UpstreamId, *, now: float) -> float:
        """Return the prompt tokens a second sent to `upstream` lately."""
        return self._ledger.recent_prefill(upstream, now=now)

    def domain_pressed(self, *, now: float) -> tuple[pressure.PressedTier, ...]:
        """Return what requests of the own failure domain met."""
        return self._pressed.recent_with(self._tellers_by_id, now=now)

    def fleet_pressed(self, *, now: float) -> tuple[pressure.PressedTier, ...]:
        """Return what requests of the whole fleet met."""
        tellers = (*self._tellers_by_id, *self._domains)
        return self._pressed.recent_with(tellers, now=now)
