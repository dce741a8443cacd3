"""Reports of the fleet's load by the relay of a large failure domain.

If each entry VM sent its state to all its neighbours, the number of messages
would grow with the square of the neighbours: forty neighbours would receive
fifty messages for each request that they route. So each sends its state to the
relay and to the second entry VM in the relay's order, and the relay sends the
sum to its subscribers ten times a second. An entry VM receives ten messages a
second, however many neighbours it has, and knows the load of the fleet with an
age of a tenth of a second.

The relay may be lost at any time. The second in the order has received the same
states; an entry VM subscribes to it after a second of silence.
"""

import collections
import functools
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    adaptive_load,
    demand_rows,
    demand_timer,
    domain_aggregate,
    fleet_loads,
    invitation_rows,
    load_ledger,
    loads,
    observation_rows,
    peer_loads,
    peer_table,
    pressure,
    prompt_locations,
    reach,
    settings,
    upstreams,
)

_TICKS_BETWEEN_MESSAGES = 2
"""Ticks between two messages: a tenth of a second. In that time a failure
domain of forty entry VMs routes about ten requests."""

_MAX_REMEMBERED_STATES = 48
"""Number of own states that are kept, since any of them may be the newest one
that the relay has received: at a tick of 0.05 s more than are sent in the time
after which the relay drops a state."""

Sender = Callable[[router_messages.FleetNews, Iterable[settings.Address]], None]
"""Sends a message to each address."""


class FleetNewsExchange:
    """Sums up states and sends the sum as the relay; receives it from a relay.

    Parameters
    ----------
    entry_vm
        This entry VM.
    port
        Port on which it receives datagrams.
    start
        Start number of the process, drawn at random.
    aggregate
        Reports of the neighbours and of the other failure domains.
    table, ledger, pressure, prompt_locations, domains, directory, adaptive
        State that is sent and updated.
    send
        Sends a message.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        port: int,
        start: int,
        aggregate: domain_aggregate.DomainAggregate,
        table: peer_table.PeerTable,
        ledger: load_ledger.LoadLedger,
        pressure: pressure.Pressure,
        prompt_locations: prompt_locations.PromptLocations,
        domains: reach.DomainReach,
        directory: upstreams.UpstreamDirectory,
        adaptive: adaptive_load.AdaptiveLoad,
        send: Sender,
    ) -> None:
        self._entry_vm = entry_vm
        self._port = port
        self._start = start
        self._aggregate = aggregate
        self._table = table
        self._ledger = ledger
        self._pressure = pressure
        self._prompt_locations = prompt_locations
        self._domains = domains
        self._directory = directory
        self._adaptive = adaptive
        self._demand_timer = demand_timer.DemandTimer()
        self._send = send
        self._ticks = 0
        self._sequence = 0
        self._subscribed_at_by_id: dict[types.EntryVmId, float] = {}
        self._own_loads_by_sequence: collections.OrderedDict[
            int, Mapping[types.UpstreamId, loads.Load]
        ] = collections.OrderedDict()
        self._latest_by_relay: dict[types.EntryVmId, tuple[int, int]] = {}

    # As the relay.

    def receive_state(
        self, state: router_messages.RouterState, *, now: float
    ) -> None:
        """Add the state of a neighbour or of this entry VM to the sum.

        A state that names this entry VM as its relay subscribes to the sum.
        """
        self._aggregate.receive_state(state, now=now)
        for placement in state.placements:
            self._prompt_locations.apply_report(
                placement.part, placement.upstream, now=now
            )
        if state.entry_vm != self._entry_vm:
            # The own observations and invitations are known already.
            if state.observations:
                self._adaptive.speeds.apply_observations(
                    observation_rows.from_rows(state.observations), now=now
                )
            if state.invitations:
                self._adaptive.schedule.apply_invitations(
                    invitation_rows.from_rows(state.invitations, now=now),
                    now=now,
                )
        if state.relay == self._entry_vm and not state.stopping:
            self._subscribed_at_by_id[state.entry_vm] = now
        else:
            self._subscribed_at_by_id.pop(state.entry_vm, None)

    def tick(self, *, now: float) -> None:
        """Send the sum to the subscribers, every few calls."""
        self._ticks += 1
        if (
            self._ticks < _TICKS_BETWEEN_MESSAGES
            or not self._subscribed_at_by_id
        ):
            return
        self._ticks = 0
        subscribers = self._subscribers(now)
        if not subscribers:
            return
        self._sequence += 1
        news = self._news(now)
        addresses = [self._table.address_of(one) for one in subscribers]
        self._send(news, [one for one in addresses if one is not None])
        if self._entry_vm in subscribers:
            self.receive(news, now=now)

    def _subscribers(self, now: float) -> tuple[types.EntryVmId, ...]:
        for one, requested_at in tuple(self._subscribed_at_by_id.items()):
            if now - requested_at >= domain_aggregate.REPORTER_TIMEOUT_SECONDS:
                del self._subscribed_at_by_id[one]
        return tuple(self._subscribed_at_by_id)

    def _news(self, now: float) -> router_messages.FleetNews:
        reporters = self._aggregate.reporters(now=now)
        by_upstream = self._aggregate.fleet_loads(now=now)
        silent_by_domain = self._domains.silent_seconds(now=now)
        return router_messages.FleetNews(
            entry_vm=self._entry_vm,
            start=self._start,
            sequence=self._sequence,
            port=self._port,
            loads=peer_loads.to_rows(by_upstream),
            prefill_rates=peer_loads.packed(
                self._aggregate.prefill_rate(one, now=now)
                for one in by_upstream
            ),
            placements=peer_loads.to_placements(
                self._prompt_locations.pop_for_neighbours()
            ),
            pressed=peer_loads.to_pressed_tiers(
                self._aggregate.fleet_pressed(now=now)
            ),
            domains=tuple(silent_by_domain),
            silent_milliseconds=tuple(
                round(seconds * 1000) for seconds in silent_by_domain.values()
            ),
            reading_domains=self._domains.reading,
            tellers=tuple(
                domain_aggregate.short_hash(one.entry_vm) for one in reporters
            ),
            teller_sequences=tuple(one.sequence for one in reporters),
            readers=tuple(
                domain_aggregate.short_hash(one.entry_vm)
                for one in reporters
                if one.follows_store
            ),
            leaving_starts=self._directory.leaving,
            **self._adaptive_fields(now),
        )

    def _adaptive_fields(self, now: float) -> dict[str, Any]:
        """Return the fields about the adaptive pools, by name."""
        demands = router_messages.NO_DEMANDS
        if self._demand_timer.restart_if_due(now=now):
            demands = demand_rows.to_rows(
                self._aggregate.fleet_demands(now=now)
            )
        return {
            "demands": demands,
            "observations": observation_rows.to_rows(
                self._adaptive.speeds.pop_for_neighbours(now=now)
            ),
            "invitations": invitation_rows.to_rows(
                self._adaptive.schedule.pop_for_neighbours(now=now), now=now
            ),
        }

    # As a subscriber.

    def record_sent_state(self, state: router_messages.RouterState) -> None:
        """Keep an own state, which will be a part of the relay's sum."""
        self._own_loads_by_sequence[state.sequence] = peer_loads.from_rows(
            state.loads
        )
        while len(self._own_loads_by_sequence) > _MAX_REMEMBERED_STATES:
            self._own_loads_by_sequence.popitem(last=False)

    def receive(self, news: router_messages.FleetNews, *, now: float) -> None:
        """Apply news from a relay; out-of-order news is ignored.

        Raises
        ------
        FormatError
            If the load rows do not all have the same length.
        """
        if not self._is_newer(news):
            return
        sequence_by_reporter = dict(
            zip(news.tellers, news.teller_sequences, strict=False)
        )
        self._ledger.apply_fleet_report(
            fleet_loads.FleetLoads(
                load_rows=news.loads,
                prefill_rates=news.prefill_rates,
                own_by_upstream=self._own_loads_in(sequence_by_reporter),
            ),
            now=now,
        )
        self._pressure.apply_fleet_report(
            peer_loads.from_pressed_tiers(news.pressed), now=now
        )
        for placement in news.placements:
            self._prompt_locations.apply_relayed_report(
                placement.part, placement.upstream, now=now
            )
        if news.entry_vm != self._entry_vm:
            self._apply_adaptive_fields(news, now)
        if news.demands:
            self._adaptive.shares.apply_fleet_report(
                demand_rows.from_rows(news.demands), now=now
            )
        for domain, milliseconds in zip(
            news.domains, news.silent_milliseconds, strict=False
        ):
            self._domains.record_contact(domain, now=now - milliseconds / 1000)
            self._domains.record_reading(domain, domain in news.reading_domains)
        self._record_alive_reporters(news, now)

    def _apply_adaptive_fields(
        self, news: router_messages.FleetNews, now: float
    ) -> None:
        """Apply what the relay itself has applied when it received it."""
        if news.observations:
            self._adaptive.speeds.apply_relayed_observations(
                observation_rows.from_rows(news.observations), now=now
            )
        if news.invitations:
            self._adaptive.schedule.apply_invitations(
                invitation_rows.from_rows(news.invitations, now=now), now=now
            )

    def _own_loads_in(
        self, sequence_by_reporter: Mapping[int, int]
    ) -> Mapping[types.UpstreamId, loads.Load]:
        """Return this entry VM's own part of the relay's sum."""
        own_hash = domain_aggregate.short_hash(self._entry_vm)
        sequence = sequence_by_reporter.get(own_hash)
        return self._own_loads_by_sequence.get(sequence, {})

    def _record_alive_reporters(
        self, news: router_messages.FleetNews, now: float
    ) -> None:
        entry_vm_by_hash = _entry_vm_by_hash(self._table.neighbour_ids())
        readers = frozenset(news.readers)
        for reporter in news.tellers:
            entry_vm = entry_vm_by_hash.get(reporter)
            if entry_vm is not None:
                self._table.record_alive(
                    entry_vm, now=now, follows_store=reporter in readers
                )

    def _is_newer(self, news: router_messages.FleetNews) -> bool:
        latest = self._latest_by_relay.get(news.entry_vm)
        if latest is not None:
            start, sequence = latest
            if start == news.start and news.sequence <= sequence:
                return False
        self._latest_by_relay[news.entry_vm] = (news.start, news.sequence)
        return True


@functools.lru_cache(maxsize=2)
def _entry_vm_by_hash(
    entry_vms: tuple[types.EntryVmId, ...],
) -> Mapping[int, types.EntryVmId]:
    return {domain_aggregate.short_hash(one): one for one in entry_vms}
