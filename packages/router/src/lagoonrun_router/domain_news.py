"""Pass on the loads of a whole failure domain to the other ones.

The relay of each failure domain sums up the work there for the others, five to
ten times a second: to its like in each other failure domain. Where neighbours
tell each other all, that one hands it on to them; in a large domain it becomes
part of what the relay tells anyhow. So everybody knows all work of the other
domains at a tenth or two of a second's age, and the bytes between failure
domains hardly grow with the fleet. If each entry VM told a dozen others of the
fleet by chance, they would know a third of the work and send twice the bytes.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Protocol

from lagoonrun_core import types
from lagoonrun_duties import usage_exchange
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    domain_aggregate,
    load_ledger,
    peer_loads,
    peer_table,
    pressure,
    prompt_locations,
    reach,
    roster,
    settings,
)

_BEATS = 2
"""Beats of the exchange between two messages: a tenth of a second."""

_LARGE_FLEET_BEATS = 4
"""The same in a large fleet, where a message has the loads of thirty runners and
more, and bytes between failure domains cost."""

_RELAY_SECONDS = 1.0
"""Silence after which another failure domain's relay is not relied on."""

_FIRST_TOLD = 2
"""Entry VMs of a failure domain that are told where its relay is not known."""

Sender = Callable[
    [router_messages.DomainNews, Iterable[settings.Address]], None
]
"""Sends a message to each address."""


class KnowsStore(Protocol):
    """What is told of the store; see `RouterState`."""

    @property
    def revision(self) -> types.Revision:
        """Revision of the declarations in force."""

    store_revision: int
    read_revision: int
    follows_store: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Relay:
    address: settings.Address
    heard_at: float


class DomainNewsExchange:
    """Sums up, sends, takes in and hands on news of failure domains.

    Parameters
    ----------
    entry_vm, domain
        This entry VM.
    port
        Where it listens for the others.
    start
        Drawn at random by each start of the process.
    table
        The other entry VMs.
    known
        What this entry VM knows of the store.
    relays
        Order of the relays of the own failure domain.
    gathered
        What neighbours told where they tell a relay only.
    ledger, prompt_locations, pressed, domains
        What is told and heard.
    usage
        Who holds the duties; None where there are none.
    send
        Sends a message.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        port: int,
        start: int,
        table: peer_table.PeerTable,
        known: KnowsStore,
        relays: roster.Roster,
        gathered: domain_aggregate.DomainAggregate,
        ledger: load_ledger.LoadLedger,
        prompt_locations: prompt_locations.PromptLocations,
        pressed: pressure.Pressure,
        domains: reach.DomainReach,
        usage: usage_exchange.UsageExchange | None = None,
        send: Sender,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._port = port
        self._start = start
        self._table = table
        self._known = known
        self._relays = relays
        self._gathered = gathered
        self._ledger = ledger
        self._prompt_locations = prompt_locations
        self._pressed = pressed
        self._domains = domains
        self._usage = usage
        self._send = send
        self._beats = 0
        self._sequence = 0
        self._relays_by_domain: dict[types.FailureDomain, _Relay] = {}
        self._latest_by_sender: dict[types.EntryVmId, tuple[int, int]] = {}

    def tick(self, *, now: float) -> None:
        """Tell the other failure domains, every few calls."""
        self._beats += 1
        if self._beats < self._wanted_beats:
            return
        self._beats = 0
        if self._relays.is_first(now=now):
            self._sequence += 1
            self._send(self._news(now), self.remote_relay_addresses(now=now))

    @property
    def _wanted_beats(self) -> int:
        return _LARGE_FLEET_BEATS if self._table.is_large else _BEATS

    def _news(self, now: float) -> router_messages.DomainNews:
        if self._table.has_relay:
            known = self._gathered.domain_loads(now=now)
            pressed = self._gathered.domain_pressed(now=now)
        else:
            near = self._table.neighbours()
            known = self._ledger.loads_of(near, now=now)
            pressed = self._pressed.recent_with(near, now=now)
        return router_messages.DomainNews(
            entry_vm=self._entry_vm,
            domain=self._domain,
            start=self._start,
            sequence=self._sequence,
            port=self._port,
            revision=self._known.revision,
            store_revision=self._known.store_revision,
            read_revision=self._known.read_revision,
            reads_store=self._known.follows_store
            or bool(self._table.store_readers(now=now)),
            loads=peer_loads.to_rows(known),
            placements=peer_loads.placements(
                self._prompt_locations.pop_for_other_domains()
            ),
            pressed=peer_loads.pressed(pressed),
            duties_holder=self._duties_holder(now),
        )

    def _duties_holder(self, now: float) -> types.EntryVmId:
        if self._usage is None:
            return types.NO_ENTRY_VM
        return self._usage.holder_in_domain(
            self._table.neighbour_ids(), now=now
        )

    def remote_relay_addresses(self, *, now: float) -> list[settings.Address]:
        """Return whom to tell in each other failure domain."""
        addresses = []
        for domain, cores_by_id in self._table.remote_cores_by_domain().items():
            relay = self._relays_by_domain.get(domain)
            if relay and now - relay.heard_at < _RELAY_SECONDS:
                addresses.append(relay.address)
                continue
            first = self._relays.order_of(cores_by_id)[:_FIRST_TOLD]
            found = (self._table.address_of(one) for one in first)
            addresses.extend(one for one in found if one is not None)
        return addresses

    def relay_of(
        self, domain: types.FailureDomain, *, now: float
    ) -> settings.Address | None:
        """Return the relay of another domain, where it was heard lately."""
        relay = self._relays_by_domain.get(domain)
        if relay is None or now - relay.heard_at >= _RELAY_SECONDS:
            return None
        return relay.address

    def take(
        self, news: router_messages.DomainNews, *, host: str, now: float
    ) -> bool:
        """Take in what another failure domain's relay tells.

        Returns whether it came from that relay itself and is news.

        Parameters
        ----------
        host
            Where the datagram came from: the relay itself, or that of the
            own failure domain.
        """
        if news.domain == self._domain or not self._is_newer(news):
            return False
        self._domains.record_contact(news.domain, now=now)
        self._domains.note_reading(news.domain, news.reads_store)
        if self._usage is not None:
            self._usage.record_remote_holder(
                news.domain, news.duties_holder, now=now
            )
        for placement in news.placements:
            self._prompt_locations.apply_remote_report(
                placement.part, placement.upstream, now=now
            )
        known_address = self._table.address_of(news.entry_vm)
        from_relay = known_address is not None and known_address.host == host
        if from_relay:
            # It is to be told of this domain.
            self._relays_by_domain[news.domain] = _Relay(
                address=settings.Address(host=host, port=news.port),
                heard_at=now,
            )
        if self._table.has_relay:
            self._gathered.take_domain(news, now=now)
            return from_relay
        self._ledger.apply_report(
            news.domain, peer_loads.from_rows(news.loads), now=now
        )
        self._pressed.apply_report(
            news.domain, peer_loads.pressed_of(news.pressed), now=now
        )
        if from_relay:
            self._send(news, self._table.near_addresses())
        return from_relay

    def _is_newer(self, news: router_messages.DomainNews) -> bool:
        latest = self._latest_by_sender.get(news.entry_vm)
        if latest is not None:
            start, sequence = latest
            if start == news.start and news.sequence <= sequence:
                return False
        self._latest_by_sender[news.entry_vm] = (news.start, news.sequence)
        return True
