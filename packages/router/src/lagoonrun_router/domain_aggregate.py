"""Reports that the relay of a large failure domain receives, and their sums.

The relay's own routing decisions do not use them directly: like all others in
the failure domain they use the sum that the relay sends.
"""

import dataclasses
import zlib
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    demand_row,
    demand_rows,
    load_ledger,
    loads,
    organisation_shares,
    peer_loads,
    pressure,
)

REPORTER_TIMEOUT_SECONDS = load_ledger.PEER_LOAD_SECONDS
"""Silence after which a neighbour is no longer listed as a reporter; its load
is ignored after the same time."""


def short_hash(entry_vm: types.EntryVmId) -> int:
    """Return the hash that identifies an entry VM in a relay's list."""
    return zlib.crc32(entry_vm.encode())


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reporter:
    """A neighbour that reports its load to the relay.

    Parameters
    ----------
    sequence
        Sequence number of its newest state.
    received_at
        Monotonic time when that state was received.
    follows_store
        Whether it reads the store and is up to date with it.
    """

    entry_vm: types.EntryVmId
    sequence: int
    received_at: float
    follows_store: bool


class DomainAggregate:
    """Loads by neighbour, and sums by remote failure domain."""

    def __init__(self) -> None:
        self._ledger = load_ledger.LoadLedger()
        self._pressure = pressure.Pressure()
        self._shares = organisation_shares.OrganisationShares()
        self._reporters_by_id: dict[types.EntryVmId, Reporter] = {}
        self._domains: set[types.FailureDomain] = set()

    def receive_state(
        self, state: router_messages.RouterState, *, now: float
    ) -> None:
        """Replace the report of a neighbour or of this entry VM."""
        self._ledger.apply_report(
            state.entry_vm, peer_loads.from_rows(state.loads), now=now
        )
        self._pressure.apply_report(
            state.entry_vm,
            peer_loads.from_pressed_tiers(state.pressed),
            now=now,
        )
        if state.demands:
            self._shares.apply_report(
                state.entry_vm, demand_rows.from_rows(state.demands), now=now
            )
        if state.stopping:
            self._reporters_by_id.pop(state.entry_vm, None)
            return
        self._reporters_by_id[state.entry_vm] = Reporter(
            entry_vm=state.entry_vm,
            sequence=state.sequence,
            received_at=now,
            follows_store=state.follows_store,
        )

    def apply_domain_news(
        self, news: router_messages.DomainNews, *, now: float
    ) -> None:
        """Replace the report of another failure domain."""
        self._domains.add(news.domain)
        self._ledger.apply_report(
            news.domain, peer_loads.from_rows(news.loads), now=now
        )
        self._pressure.apply_report(
            news.domain, peer_loads.from_pressed_tiers(news.pressed), now=now
        )
        if news.demands:
            self._shares.apply_report(
                news.domain, demand_rows.from_rows(news.demands), now=now
            )

    def forget_instance(self, upstream: types.UpstreamId) -> None:
        """Drop the state of an upstream that has restarted."""
        self._ledger.forget_instance(upstream)

    def forget_upstreams(self, known: Iterable[types.UpstreamId]) -> None:
        """Drop the state of upstreams that are not in `known`."""
        self._ledger.forget_upstreams(known)

    def forget_peer(self, entry_vm: types.EntryVmId) -> None:
        """Drop the report of a lost neighbour."""
        self._ledger.forget_peer(entry_vm)
        self._shares.forget_peer(entry_vm)
        self._reporters_by_id.pop(entry_vm, None)

    def reporters(self, *, now: float) -> tuple[Reporter, ...]:
        """Return the neighbours that have reported their load recently."""
        for entry_vm, reporter in tuple(self._reporters_by_id.items()):
            if now - reporter.received_at >= REPORTER_TIMEOUT_SECONDS:
                del self._reporters_by_id[entry_vm]
        return tuple(self._reporters_by_id.values())

    def domain_loads(self, *, now: float) -> dict[types.UpstreamId, loads.Load]:
        """Return the load by the own failure domain at each upstream."""
        return self._ledger.loads_of(self._reporters_by_id, now=now)

    def fleet_loads(self, *, now: float) -> dict[types.UpstreamId, loads.Load]:
        """Return the load by the whole fleet at each upstream."""
        return self._ledger.reported_loads(now=now)

    def prefill_rate(self, upstream: types.UpstreamId, *, now: float) -> float:
        """Return the prompt tokens a second sent to `upstream` recently."""
        return self._ledger.recent_prefill(upstream, now=now)

    def domain_pressed(self, *, now: float) -> tuple[pressure.PressedTier, ...]:
        """Return the tiers that this failure domain recently rejected."""
        return self._pressure.recent_with(self._reporters_by_id, now=now)

    def fleet_pressed(self, *, now: float) -> tuple[pressure.PressedTier, ...]:
        """Return the tiers that the whole fleet recently rejected."""
        reporters = (*self._reporters_by_id, *self._domains)
        return self._pressure.recent_with(reporters, now=now)

    def domain_demands(self, *, now: float) -> tuple[demand_row.DemandRow, ...]:
        """Return the demand at this failure domain."""
        return self._shares.rows_with(self._reporters_by_id, now=now)

    def fleet_demands(self, *, now: float) -> tuple[demand_row.DemandRow, ...]:
        """Return the demand at the whole fleet."""
        reporters = (*self._reporters_by_id, *self._domains)
        return self._shares.rows_with(reporters, now=now)
