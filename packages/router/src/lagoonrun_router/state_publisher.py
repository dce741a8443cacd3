"""Compose the states that an entry VM sends, and decide when they are due."""

import dataclasses
import random
from typing import Any

from lagoonrun_core import events, logs, types
from lagoonrun_duties import usage_exchange
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    adaptive_load,
    demand_rows,
    demand_timer,
    invitation_rows,
    load_ledger,
    observation_rows,
    peer_loads,
    peer_table,
    pressure,
    prompt_locations,
    roster,
    settings,
    store_replica,
    upstreams,
)

_CHANGE_TICKS = 2
"""Ticks after which a change of the own load is sent. A delay of a tenth of a
second does no harm; a quarter of a second does, in a burst of requests."""

_QUIET_TICKS = 8
"""Ticks after which a full state is sent if nothing has changed: 0.4 s, so
that two states may be lost before a second of silence has passed."""

_SAMPLED_MEMBERS = 4
"""Number of entry VMs that a full state lists; membership spreads from peer to
peer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _UrgentFields:
    """Fields whose changes are sent at once; see `RouterState`."""

    revision: types.Revision
    store_revision: int
    follows_store: bool
    stopping: bool


class StatePublisher:
    """Composes the states of this entry VM.

    Parameters
    ----------
    configured
        Settings of the process.
    start
        Start number of the process, drawn at random.
    table, replica, directory, ledger, prompt_locations, pressure
        State that is reported.
    adaptive
        State of the adaptive pools.
    relays
        Selects the relays of the own failure domain.
    usage
        Counts of requests; None if usage is not reported.
    rng
        Source of random samples.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        start: int,
        table: peer_table.PeerTable,
        replica: store_replica.StoreReplica,
        directory: upstreams.UpstreamDirectory,
        ledger: load_ledger.LoadLedger,
        prompt_locations: prompt_locations.PromptLocations,
        pressure: pressure.Pressure,
        adaptive: adaptive_load.AdaptiveLoad,
        relays: roster.Roster,
        usage: usage_exchange.UsageExchange | None = None,
        rng: random.Random,
    ) -> None:
        self._configured = configured
        self._start = start
        self._table = table
        self._replica = replica
        self._directory = directory
        self._ledger = ledger
        self._prompt_locations = prompt_locations
        self._pressure = pressure
        self._adaptive = adaptive
        self._demand_timer = demand_timer.DemandTimer()
        self._relays = relays
        self._usage = usage
        self._rng = rng
        self._sequence = 0
        self._ticks_since_sent = 0
        self._sent_urgent_fields: _UrgentFields | None = None
        self._sent_leaving: tuple[router_messages.LeavingUpstream, ...] = ()
        self.was_reader = False
        """Whether this entry VM read the store as of the last state or the one
        before."""
        self._current_relay = types.NO_ENTRY_VM
        self.concerns_all_neighbours = False
        """Whether the last state has to reach all neighbours that rely on this
        entry VM: it has changes of `_UrgentFields`, or is a full one."""
        self.stopping = False

    def tick(self, *, now: float) -> router_messages.RouterState | None:
        """Return the state that is due now; None if none is."""
        self._ticks_since_sent += 1
        placements = self._prompt_locations.pop_own()
        if not placements and self._ticks_since_sent < self._ticks_until_due():
            return None
        full = self._ticks_since_sent >= _QUIET_TICKS
        urgent_fields = self._urgent_fields()
        self.concerns_all_neighbours = (
            full or urgent_fields != self._sent_urgent_fields
        )
        before = self._sent_urgent_fields
        self.was_reader = self._replica.follows_store or (
            before is not None and before.follows_store
        )
        self._sent_urgent_fields = urgent_fields
        self._ticks_since_sent = 0
        self._ledger.mark_reported()
        self._pressure.changed = False
        state = self._state(placements, now=now, full=full)
        self._sent_leaving = self._directory.leaving
        return state

    def announcement(self, *, now: float) -> router_messages.RouterState:
        """Return a state for an entry VM of another failure domain.

        It reports membership but no load, which the relay reports for the whole
        failure domain.
        """
        return self._state({}, now=now, full=True, with_load=False)

    def _ticks_until_due(self) -> int:
        """Return how many ticks after the last state the next one is due."""
        if self._ledger.urgent_change or self._pressure.changed:
            return 1
        if self._urgent_fields() != self._sent_urgent_fields:
            return 1
        if self._ledger.changed:
            return _CHANGE_TICKS
        return _QUIET_TICKS

    def _urgent_fields(self) -> "_UrgentFields":
        replica = self._replica
        return _UrgentFields(
            revision=replica.revision,
            store_revision=replica.store_revision,
            follows_store=replica.follows_store,
            stopping=self.stopping,
        )

    def _state(
        self,
        placements: dict[str, types.UpstreamId],
        *,
        now: float,
        full: bool,
        with_load: bool = True,
    ) -> router_messages.RouterState:
        """Return a state.

        Parameters
        ----------
        full
            Whether to include leaving upstreams and members, which rarely
            change.
        with_load
            Whether to include loads, pressed tiers and usage.
        """
        self._sequence += 1
        leaving = self._directory.leaving
        with_leaving = full or leaving != self._sent_leaving
        loads = router_messages.LoadRows()
        pressed: tuple[router_messages.PressedTier, ...] = ()
        usage = router_messages.NO_USAGE
        relay = self._relay(now)
        adaptive_fields = self._adaptive_fields(now) if with_load else {}
        if with_load and self._usage is not None:
            usage = self._usage.pending_rows(relay, now=now)
        if with_load:
            loads = peer_loads.to_rows(self._ledger.own_loads(now=now))
            pressed = peer_loads.to_pressed_tiers(
                self._pressure.recent(now=now)
            )
        return router_messages.RouterState(
            entry_vm=self._configured.entry_vm,
            domain=self._configured.domain,
            start=self._start,
            sequence=self._sequence,
            port=self._configured.peer.port,
            revision=self._replica.revision,
            follows_store=self._replica.follows_store,
            store_revision=self._replica.store_revision,
            read_revision=self._replica.read_revision,
            stopping=self.stopping,
            leaving_starts=leaving if with_leaving else (),
            loads=loads,
            placements=peer_loads.to_placements(placements),
            pressed=pressed,
            known=self._some_members() if full else (),
            processor_hundredths=round(self._configured.processor_cores * 100),
            relay=relay,
            usage=usage,
            holds_duties=self._usage is not None and self._usage.is_holder,
            **adaptive_fields,
        )

    def _adaptive_fields(self, now: float) -> dict[str, Any]:
        """Return the fields about the adaptive pools, by name."""
        if not self._adaptive.adaptive_pools:
            return {}
        demands = router_messages.NO_DEMANDS
        if self._demand_timer.restart_if_due(now=now):
            demands = demand_rows.to_rows(
                self._adaptive.shares.own_rows(now=now)
            )
        return {
            "demands": demands,
            "observations": observation_rows.to_rows(
                self._adaptive.speeds.pop_own(now=now)
            ),
            "invitations": invitation_rows.to_rows(
                self._adaptive.schedule.pop_own(now=now), now=now
            ),
        }

    def _relay(self, now: float) -> types.EntryVmId:
        """Return the relay of this entry VM; none in a small failure domain."""
        relay = types.NO_ENTRY_VM
        if self._table.has_relay:
            own = self._configured.entry_vm
            relay = next(iter(self._relays.on_duty(now=now)), own)
        if relay != self._current_relay:
            logs.emit(
                events.LogEvent.RELAY_CHANGED,
                relay=relay,
                previous=self._current_relay,
                neighbours=len(self._table.neighbour_ids()),
            )
            self._current_relay = relay
        return relay

    def _some_members(self) -> tuple[router_messages.EntryVmAddress, ...]:
        alive = list(self._table.known())
        sampled = self._rng.sample(alive, min(len(alive), _SAMPLED_MEMBERS))
        return tuple(self._table.member(one) for one in sampled)
