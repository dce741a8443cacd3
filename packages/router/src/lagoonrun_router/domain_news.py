"""Reports of a whole failure domain's load to the other failure domains.

The relay of each failure domain sends the sum of the domain's load to the
relays of the others, five to ten times a second. Where neighbours send their
states to each other, the receiving relay forwards the sum to them; in a large
failure domain it becomes part of the news that the relay sends anyway. So each
entry VM knows the load of the other domains with an age of one or two tenths of
a second, and the traffic between failure domains hardly grows with the fleet.
If each entry VM sent its state to a dozen random others of the fleet, they
would know a third of the load and send twice the bytes.
"""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from lagoonrun_core import types
from lagoonrun_duties import usage_exchange
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    adaptive_load,
    demand_rows,
    demand_timer,
    domain_aggregate,
    load_ledger,
    observation_rows,
    peer_loads,
    peer_table,
    pressure,
    prompt_locations,
    reach,
    roster,
    settings,
)

_TICKS_BETWEEN_MESSAGES = 2
"""Ticks between two messages: a tenth of a second."""

_LARGE_FLEET_TICKS_BETWEEN_MESSAGES = 4
"""The same in a large fleet, where a message has the loads of thirty or more
runners, and traffic between failure domains is expensive."""

_RELAY_TIMEOUT_SECONDS = 1.0
"""Silence after which another failure domain's relay is considered unknown."""

_FALLBACK_RECIPIENTS = 2
"""Number of entry VMs of a failure domain that news is sent to while its relay
is unknown."""

Sender = Callable[
    [router_messages.DomainNews, Iterable[settings.Address]], None
]
"""Sends a message to each address."""


class StoreStatus(Protocol):
    """State of the store replica that is reported; see `RouterState`."""

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
    """Sends the news of the own failure domain, and receives that of others.

    Parameters
    ----------
    entry_vm, domain
        This entry VM and its failure domain.
    port
        Port on which it receives datagrams.
    start
        Start number of the process, drawn at random.
    table
        The other entry VMs.
    replica
        Store replica of this entry VM.
    relays
        Selects the relays of the own failure domain.
    aggregate
        Reports of the neighbours, where they report to a relay only.
    ledger, prompt_locations, pressure, domains, adaptive
        State that is sent and updated.
    usage
        Knows which entry VM holds the duties, that is, reports usage and orders
        runners for the fleet; None if there are none.
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
        replica: StoreStatus,
        relays: roster.Roster,
        aggregate: domain_aggregate.DomainAggregate,
        ledger: load_ledger.LoadLedger,
        prompt_locations: prompt_locations.PromptLocations,
        pressure: pressure.Pressure,
        domains: reach.DomainReach,
        adaptive: adaptive_load.AdaptiveLoad,
        usage: usage_exchange.UsageExchange | None = None,
        send: Sender,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._port = port
        self._start = start
        self._table = table
        self._replica = replica
        self._relays = relays
        self._aggregate = aggregate
        self._ledger = ledger
        self._prompt_locations = prompt_locations
        self._pressure = pressure
        self._domains = domains
        self._adaptive = adaptive
        self._demand_timer = demand_timer.DemandTimer()
        self._usage = usage
        self._send = send
        self._ticks = 0
        self._sequence = 0
        self._relays_by_domain: dict[types.FailureDomain, _Relay] = {}
        self._latest_by_sender: dict[types.EntryVmId, tuple[int, int]] = {}

    def tick(self, *, now: float) -> None:
        """Send the news to the other failure domains, every few calls."""
        self._ticks += 1
        if self._ticks < self._ticks_between_messages:
            return
        self._ticks = 0
        if self._relays.is_first(now=now):
            self._sequence += 1
            self._send(self._news(now), self.remote_relay_addresses(now=now))

    @property
    def _ticks_between_messages(self) -> int:
        return (
            _LARGE_FLEET_TICKS_BETWEEN_MESSAGES
            if self._table.is_large
            else _TICKS_BETWEEN_MESSAGES
        )

    def _news(self, now: float) -> router_messages.DomainNews:
        if self._table.has_relay:
            domain_loads = self._aggregate.domain_loads(now=now)
            pressed = self._aggregate.domain_pressed(now=now)
        else:
            neighbours = self._table.neighbours()
            domain_loads = self._ledger.loads_of(neighbours, now=now)
            pressed = self._pressure.recent_with(neighbours, now=now)
        return router_messages.DomainNews(
            entry_vm=self._entry_vm,
            domain=self._domain,
            start=self._start,
            sequence=self._sequence,
            port=self._port,
            revision=self._replica.revision,
            store_revision=self._replica.store_revision,
            read_revision=self._replica.read_revision,
            reads_store=self._replica.follows_store
            or bool(self._table.store_readers(now=now)),
            loads=peer_loads.to_rows(domain_loads),
            placements=peer_loads.to_placements(
                self._prompt_locations.pop_for_other_domains()
            ),
            pressed=peer_loads.to_pressed_tiers(pressed),
            duties_holder=self._duties_holder(now),
            **self._adaptive_fields(now),
        )

    def _adaptive_fields(self, now: float) -> dict[str, Any]:
        """Return the fields about the adaptive pools, by name."""
        demands = router_messages.NO_DEMANDS
        if self._demand_timer.restart_if_due(now=now):
            if self._table.has_relay:
                rows = self._aggregate.domain_demands(now=now)
            else:
                rows = self._adaptive.shares.rows_with(
                    self._table.neighbours(), now=now
                )
            demands = demand_rows.to_rows(rows)
        return {
            "demands": demands,
            "observations": observation_rows.to_rows(
                self._adaptive.speeds.pop_for_other_domains(now=now)
            ),
        }

    def _duties_holder(self, now: float) -> types.EntryVmId:
        if self._usage is None:
            return types.NO_ENTRY_VM
        return self._usage.holder_in_domain(
            self._table.neighbour_ids(), now=now
        )

    def remote_relay_addresses(self, *, now: float) -> list[settings.Address]:
        """Return where to send news for each other failure domain."""
        addresses = []
        for domain, cores_by_id in self._table.remote_cores_by_domain().items():
            relay = self._relays_by_domain.get(domain)
            if relay and now - relay.heard_at < _RELAY_TIMEOUT_SECONDS:
                addresses.append(relay.address)
                continue
            candidates = self._relays.order_of(cores_by_id)[
                :_FALLBACK_RECIPIENTS
            ]
            found = (self._table.address_of(one) for one in candidates)
            addresses.extend(one for one in found if one is not None)
        return addresses

    def relay_of(
        self, domain: types.FailureDomain, *, now: float
    ) -> settings.Address | None:
        """Return another domain's relay; None without recent contact."""
        relay = self._relays_by_domain.get(domain)
        if relay is None or now - relay.heard_at >= _RELAY_TIMEOUT_SECONDS:
            return None
        return relay.address

    def receive(
        self, news: router_messages.DomainNews, *, host: str, now: float
    ) -> bool:
        """Apply the news of another failure domain.

        Returns whether it is newer than before and was received directly from
        that domain's relay.

        Parameters
        ----------
        host
            Source address of the datagram: that relay, or the relay of the own
            failure domain, which has forwarded it.
        """
        if news.domain == self._domain or not self._is_newer(news):
            return False
        self._domains.record_contact(news.domain, now=now)
        self._domains.record_reading(news.domain, news.reads_store)
        if self._usage is not None:
            self._usage.record_remote_holder(
                news.domain, news.duties_holder, now=now
            )
        for placement in news.placements:
            self._prompt_locations.apply_remote_report(
                placement.part, placement.upstream, now=now
            )
        if news.observations:
            self._adaptive.speeds.apply_remote_observations(
                observation_rows.from_rows(news.observations), now=now
            )
        known_address = self._table.address_of(news.entry_vm)
        from_relay = known_address is not None and known_address.host == host
        if from_relay:
            # News of the own failure domain is sent to this address.
            self._relays_by_domain[news.domain] = _Relay(
                address=settings.Address(host=host, port=news.port),
                heard_at=now,
            )
        if self._table.has_relay:
            self._aggregate.apply_domain_news(news, now=now)
            return from_relay
        self._ledger.apply_report(
            news.domain, peer_loads.from_rows(news.loads), now=now
        )
        self._pressure.apply_report(
            news.domain, peer_loads.from_pressed_tiers(news.pressed), now=now
        )
        if news.demands:
            self._adaptive.shares.apply_report(
                news.domain, demand_rows.from_rows(news.demands), now=now
            )
        elif self._adaptive.adaptive_pools:
            self._adaptive.shares.record_contact(news.domain, now=now)
        if from_relay:
            self._send(news, self._table.neighbour_addresses())
        return from_relay

    def _is_newer(self, news: router_messages.DomainNews) -> bool:
        latest = self._latest_by_sender.get(news.entry_vm)
        if latest is not None:
            start, sequence = latest
            if start == news.start and news.sequence <= sequence:
                return False
        self._latest_by_sender[news.entry_vm] = (news.start, news.sequence)
        return True
