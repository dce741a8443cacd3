"""The relay of a large failure domain tells all there of the whole fleet.

Where each entry VM told all its neighbours, the messages would grow with the
square of their number: forty neighbours would hear fifty messages for each
request that they route. So each tells its work to one relay and to the next
in the relay's order, and the relay tells the sum ten times a second to whoever
relies on it. An entry VM hears ten messages a second however many neighbours
it has, and knows all work of the fleet at a tenth of a second's age.

The relay may be lost at any time. The second in order has heard the same, and
serves whoever relies on it; an entry VM relies on it after a second of
silence.
"""

import collections
import functools
from collections.abc import Callable, Iterable, Mapping

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    domain_aggregate,
    fleet_loads,
    load_ledger,
    loads,
    peer_loads,
    peer_table,
    pressure,
    prompt_locations,
    reach,
    settings,
    upstreams,
)

_BEATS = 2
"""Beats of the exchange between two messages: a tenth of a second. Between two
messages a domain of forty routes about ten requests."""

_REMEMBERED_STATES = 48
"""Own states that may be the newest one that the relay has heard: at a beat of
0.05 s more than those of the time after which it leaves a state out."""

Sender = Callable[[router_messages.FleetNews, Iterable[settings.Address]], None]
"""Sends a message to each address."""


class FleetNewsExchange:
    """Gathers, sums up and tells; and takes in what the relay tells.

    Parameters
    ----------
    entry_vm
        This entry VM.
    port
        Where it listens for the others.
    start
        Drawn at random by each start of the process.
    gathered
        What the neighbours and the other domains told.
    table, ledger, pressed, prompt_locations, domains, directory
        What is told and heard.
    send
        Sends a message.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        port: int,
        start: int,
        gathered: domain_aggregate.DomainAggregate,
        table: peer_table.PeerTable,
        ledger: load_ledger.LoadLedger,
        pressed: pressure.Pressure,
        prompt_locations: prompt_locations.PromptLocations,
        domains: reach.DomainReach,
        directory: upstreams.UpstreamDirectory,
        send: Sender,
    ) -> None:
        self._entry_vm = entry_vm
        self._port = port
        self._start = start
        self._gathered = gathered
        self._table = table
        self._ledger = ledger
        self._pressed = pressed
        self._prompt_locations = prompt_locations
        self._domains = domains
        self._directory = directory
        self._send = send
        self._beats = 0
        self._sequence = 0
        self._readers_by_id: dict[types.EntryVmId, float] = {}
        self._own_by_sequence: collections.OrderedDict[
            int, Mapping[types.UpstreamId, loads.Load]
        ] = collections.OrderedDict()
        self._latest_by_relay: dict[types.EntryVmId, tuple[int, int]] = {}

    # As the relay.

    def receive_state(
        self, state: router_messages.RouterState, *, now: float
    ) -> None:
        """Gather a neighbour's state, or the own one.

        Whoever relies on this entry VM as its relay is told the sum.
        """
        self._gathered.receive_state(state, now=now)
        for placement in state.placements:
            self._prompt_locations.apply_report(
                placement.part, placement.upstream, now=now
            )
        if state.relay == self._entry_vm and not state.stopping:
            self._readers_by_id[state.entry_vm] = now
        else:
            self._readers_by_id.pop(state.entry_vm, None)

    def tick(self, *, now: float) -> None:
        """Tell whoever relies on this entry VM, every few calls."""
        self._beats += 1
        if self._beats < _BEATS or not self._readers_by_id:
            return
        self._beats = 0
        readers = self._readers(now)
        if not readers:
            return
        self._sequence += 1
        news = self._news(now)
        addresses = [self._table.address_of(one) for one in readers]
        self._send(news, [one for one in addresses if one is not None])
        if self._entry_vm in readers:
            self.take(news, now=now)

    def _readers(self, now: float) -> tuple[types.EntryVmId, ...]:
        for one, asked_at in tuple(self._readers_by_id.items()):
            if now - asked_at >= domain_aggregate.TELLER_SECONDS:
                del self._readers_by_id[one]
        return tuple(self._readers_by_id)

    def _news(self, now: float) -> router_messages.FleetNews:
        tellers = self._gathered.tellers(now=now)
        by_upstream = self._gathered.fleet_loads(now=now)
        silent_by_domain = self._domains.silent_seconds(now=now)
        return router_messages.FleetNews(
            entry_vm=self._entry_vm,
            start=self._start,
            sequence=self._sequence,
            port=self._port,
            loads=peer_loads.to_rows(by_upstream),
            prefill_rates=peer_loads.packed(
                self._gathered.prefill_rate(one, now=now) for one in by_upstream
            ),
            placements=peer_loads.placements(
                self._prompt_locations.pop_for_neighbours()
            ),
            pressed=peer_loads.pressed(self._gathered.fleet_pressed(now=now)),
            domains=tuple(silent_by_domain),
            silent_milliseconds=tuple(
                round(seconds * 1000) for seconds in silent_by_domain.values()
            ),
            reading_domains=self._domains.reading,
            tellers=tuple(
                domain_aggregate.short_hash(one.entry_vm) for one in tellers
            ),
            teller_sequences=tuple(one.sequence for one in tellers),
            readers=tuple(
                domain_aggregate.short_hash(one.entry_vm)
                for one in tellers
                if one.follows_store
            ),
            leaving_starts=self._directory.leaving,
        )

    # As one that relies on a relay.

    def note_told(self, state: router_messages.RouterState) -> None:
        """Remember an own state: the relay's sum will have it as a part."""
        self._own_by_sequence[state.sequence] = peer_loads.from_rows(
            state.loads
        )
        while len(self._own_by_sequence) > _REMEMBERED_STATES:
            self._own_by_sequence.popitem(last=False)

    def take(self, news: router_messages.FleetNews, *, now: float) -> None:
        """Take in what a relay tells; one that was overtaken says nothing.

        Raises
        ------
        FormatError
            Where its rows are not of one length.
        """
        if not self._is_newer(news):
            return
        sequence_by_teller = dict(
            zip(news.tellers, news.teller_sequences, strict=False)
        )
        self._ledger.apply_fleet_report(
            fleet_loads.FleetLoads(
                told=news.loads,
                prefill_rates=news.prefill_rates,
                own_by_upstream=self._own_part(sequence_by_teller),
            ),
            now=now,
        )
        self._pressed.apply_fleet_report(
            peer_loads.pressed_of(news.pressed), now=now
        )
        for placement in news.placements:
            self._prompt_locations.apply_relayed_report(
                placement.part, placement.upstream, now=now
            )
        for domain, milliseconds in zip(
            news.domains, news.silent_milliseconds, strict=False
        ):
            self._domains.record_contact(domain, now=now - milliseconds / 1000)
            self._domains.note_reading(domain, domain in news.reading_domains)
        self._note_alive(news, now)

    def _own_part(
        self, sequence_by_teller: Mapping[int, int]
    ) -> Mapping[types.UpstreamId, loads.Load]:
        """Return the part of the relay's sum that is this entry VM's own."""
        own_hash = domain_aggregate.short_hash(self._entry_vm)
        sequence = sequence_by_teller.get(own_hash)
        return self._own_by_sequence.get(sequence, {})

    def _note_alive(self, news: router_messages.FleetNews, now: float) -> None:
        entry_vm_by_hash = _by_hash(self._table.neighbour_ids())
        readers = frozenset(news.readers)
        for teller in news.tellers:
            entry_vm = entry_vm_by_hash.get(teller)
            if entry_vm is not None:
                self._table.note_alive(
                    entry_vm, now=now, follows_store=teller in readers
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
def _by_hash(
    entry_vms: tuple[types.EntryVmId, ...],
) -> Mapping[int, types.EntryVmId]:
    return {domain_aggregate.short_hash(one): one for one in entry_vms}
