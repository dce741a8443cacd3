"""Tell the other entry VMs what this one knows, and hear what they know.

Small states go as datagrams several times a second; a lost one is made up
for by the next. What is larger is fetched by `peer_fetch`.
"""

import dataclasses
import random
import secrets
from collections.abc import Iterable

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, standing_task, ticks, types
from lagoonrun_duties import usage_exchange
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    crash_news,
    crashing_requests,
    domain_aggregate,
    domain_news,
    fleet_news,
    load_ledger,
    metrics,
    news_broadcaster,
    peer_fetch,
    peer_loads,
    peer_socket,
    peer_table,
    place_routing,
    pressure,
    prompt_locations,
    reach,
    roster,
    settings,
    state_telling,
    store_replica,
    upstream_notices,
    upstreams,
)

_BEAT_SECONDS = 0.05
"""Time between two looks for something to tell. Loads that are told later
than a prompt takes to be read (0.1 s and more) would not prevent that two
entry VMs send long prompts to the same runner."""

_LOOK_BEATS = 5
"""Beats between two looks for lost peers, who count as lost after seconds of
silence; each looks at all peers."""

_GREETING_BEATS = 8
"""Beats between two greetings to another failure domain: a domain counts as cut
off after a second without any."""

_RELAYED_GREETING_BEATS = 80
"""The same where a relay tells of other domains: the greetings only pass on who
there is, for entry VMs that start while the store is away."""

_RELAYS = 2
"""Entry VMs that hear the work of a large failure domain: the relay, and the
second in order, which takes its place without a gap in what it knows."""

_LARGEST_TOLD_CHANGE_BYTES = 8192
"""Bytes of a change that neighbours are told in a datagram: forty entries of
upstreams, or a dozen routes. Larger ones are fetched over connections."""


class PeerExchange:
    """What is told to the other entry VMs and heard from them, and when.

    Parameters
    ----------
    configured
        Settings of the process.
    key
        Keeps datagrams of other fleets out.
    table
        The other entry VMs.
    known
        Declarations in force.
    directory, ledger, prompt_locations, domains, pressed, gathered
        What is told and heard.
    crashing
        Requests that end upstreams.
    counters
        Receives the number of places at limited upstreams.
    usage
        Counts of requests; None where nobody asks for them.
    clock, rng
        Sources of time and of choices.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        key: bytes,
        table: peer_table.PeerTable,
        replica: store_replica.StoreReplica,
        directory: upstreams.UpstreamDirectory,
        ledger: load_ledger.LoadLedger,
        prompt_locations: prompt_locations.PromptLocations,
        domains: reach.DomainReach,
        pressed: pressure.Pressure,
        aggregate: domain_aggregate.DomainAggregate,
        crashing: crashing_requests.CrashingRequests,
        counters: metrics.RouterMetrics,
        usage: usage_exchange.UsageExchange | None = None,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = configured
        self._socket = peer_socket.PeerSocket(
            key=key, on_message=self._take_message
        )
        self._table = table
        self._known = replica
        replica.on_changes = self._tell_changes
        self._directory = directory
        self._ledger = ledger
        self._prompt_locations = prompt_locations
        self._domains = domains
        self._pressed = pressed
        self._gathered = aggregate
        self._usage = usage
        self._clock = clock
        self._rng = rng
        self._beats_until_look = 0
        self._beats_since_greeting = 0
        # Not a time: the wall clock may have been ahead at an earlier start.
        start = secrets.randbits(63)
        self._relays = roster.Roster(
            duty="relay",
            wanted_count=_RELAYS,
            own=configured.entry_vm,
            own_size=peer_table.rounded_cores(configured.processor_cores),
            others=table,
        )
        self._teller = state_telling.StateTeller(
            configured=configured,
            start=start,
            table=table,
            known=replica,
            directory=directory,
            ledger=ledger,
            prompt_locations=prompt_locations,
            pressed=pressed,
            relays=self._relays,
            usage=usage,
            rng=rng,
        )
        self._fleet_news = fleet_news.FleetNewsExchange(
            entry_vm=configured.entry_vm,
            port=configured.peer.port,
            start=start,
            gathered=aggregate,
            table=table,
            ledger=ledger,
            pressed=pressed,
            prompt_locations=prompt_locations,
            domains=domains,
            directory=directory,
            send=self._socket.send,
        )
        self._domain_news = domain_news.DomainNewsExchange(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            port=configured.peer.port,
            start=start,
            table=table,
            known=replica,
            relays=self._relays,
            gathered=aggregate,
            ledger=ledger,
            prompt_locations=prompt_locations,
            pressed=pressed,
            domains=domains,
            usage=usage,
            send=self._socket.send,
        )
        self.send = self._socket.send
        self.spreader = news_broadcaster.NewsBroadcaster(
            domain=configured.domain,
            table=table,
            fleet=self,
            send=self._socket.send,
            rng=rng,
        )
        self._crashing = crashing
        self._crash_news = crash_news.CrashNewsExchange(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            spreader=self.spreader,
            records=crashing.records,
        )
        crashing.news = self._crash_news
        self.routing = place_routing.PlaceRouting(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            table=table,
            domains=domains,
            relays=self,
        )
        self.notices = upstream_notices.UpstreamNotices(
            configured=configured,
            directory=directory,
            exchange=self,
            counters=counters,
            clock=clock,
            rng=rng,
        )
        self._timer = standing_task.StandingTask(
            name="peers", function=self._run
        )
        self._fetcher = peer_fetch.PeerFetcher(
            domain=configured.domain,
            table=table,
            relays=self._relays,
            known=replica,
            clock=clock,
        )

    def use_seeds(self, seeds: tuple[settings.Address, ...]) -> None:
        """Replace whom to tell while no neighbour is known."""
        self._settings = dataclasses.replace(self._settings, seeds=seeds)

    async def start(self) -> None:
        """Open the socket and begin to tell."""
        await self._socket.start(self._settings.peer)
        self._timer.start()

    def begin_stop(self) -> None:
        """Tell that this entry VM is about to end, and take up no duty."""
        self._teller.stopping = True
        self._relays.stopping = True

    async def close(self) -> None:
        """Stop telling and hearing."""
        await self._timer.close()
        await self._fetcher.close()
        self._socket.close()

    # Telling.

    async def _run(self) -> None:
        while True:
            self._beat()
            await ticks.sleep_to_tick(_BEAT_SECONDS)

    def _beat(self) -> None:
        now = self._clock.monotonic()
        self._look_for_lost(now)
        state = self._teller.tick(now=now)
        if state is not None:
            self._tell(state, now)
        self._fleet_news.tick(now=now)
        self._domain_news.tick(now=now)
        self._crash_news.tick(now=now)
        self.notices.tick(now=now)
        if self._usage is not None:
            self._usage.tick(now=now, is_relay=self._relays.is_first(now=now))
        self._greet(now)

    def _look_for_lost(self, now: float) -> None:
        self._beats_until_look -= 1
        if self._beats_until_look > 0:
            return
        self._beats_until_look = _LOOK_BEATS
        for lost in self._table.pop_lost(now=now):
            self._ledger.forget_peer(lost)
            self._gathered.forget_peer(lost)

    def _tell(self, state: router_messages.RouterState, now: float) -> None:
        if not self._table.has_relay:
            told = self._table.near_addresses()
            self._socket.send(state, told or self._seeds())
            return
        self._fleet_news.note_told(state)
        relays = self._relays.on_duty(now=now)
        if state.entry_vm in relays:
            self._fleet_news.receive_state(state, now=now)
        # Those that rely on this entry VM, for the store or as their relay,
        # have to hear of a change without waiting for a relay.
        relied_on = self._teller.was_reader or state.entry_vm in relays
        if relied_on and self._teller.news_changed:
            told = self._table.near_addresses()
        else:
            told = self._addresses_of(relays)
        self._socket.send(state, told)

    def _tell_changes(self, changes: router_messages.StoreChanges) -> None:
        """Tell what this entry VM has just read to those that don't read.

        Large changes are left to be fetched: the parts of a datagram are lost
        together.
        """
        size = sum(len(item.value) for item in changes.items)
        size += sum(len(one.packed_text) for one in changes.declared)
        if not self._table.is_large or size > _LARGEST_TOLD_CHANGE_BYTES:
            return
        told = dataclasses.replace(
            changes,
            entry_vm=self._settings.entry_vm,
            domain=self._settings.domain,
        )
        self._socket.send(told, self._table.near_addresses())
        self._hand_on(told)

    def _hand_on(self, changes: router_messages.StoreChanges) -> None:
        """Hand changes on, as the relay.

        Those read here go to the other domains, those read elsewhere to the
        neighbours.
        """
        now = self._clock.monotonic()
        if not self._relays.is_first(now=now):
            return
        if changes.domain == self._settings.domain:
            self._socket.send(
                changes, self._domain_news.remote_relay_addresses(now=now)
            )
        else:
            self._socket.send(changes, self._table.near_addresses())

    def _addresses_of(
        self, entry_vms: Iterable[types.EntryVmId]
    ) -> tuple[settings.Address, ...]:
        found = (self._table.address_of(one) for one in entry_vms)
        return tuple(one for one in found if one is not None)

    def send_usage(
        self, news: router_messages.UsageNews, to: types.EntryVmId
    ) -> None:
        """Send counts of the own failure domain to the holder of the duties."""
        self._socket.send(news, self._addresses_of((to,)))

    def remote_relay_addresses(self) -> tuple[settings.Address, ...]:
        """Return the relays of the other failure domains."""
        now = self._clock.monotonic()
        return tuple(self._domain_news.remote_relay_addresses(now=now))

    def is_relay(self) -> bool:
        """Return whether this entry VM is the relay of its failure domain."""
        return self._relays.is_first(now=self._clock.monotonic())

    def relay_of(
        self, domain: types.FailureDomain, *, now: float
    ) -> settings.Address | None:
        """Return the relay of another domain that was heard lately."""
        return self._domain_news.relay_of(domain, now=now)

    def relays_on_duty(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return who hears all of the own failure domain, in their order."""
        return self._relays.on_duty(now=now)

    def _seeds(self) -> tuple[settings.Address, ...]:
        """Return whom to tell while no neighbour is known."""
        own = self._settings.peer
        return tuple(seed for seed in self._settings.seeds if seed != own)

    def _greet(self, now: float) -> None:
        """Tell some peer of another failure domain who there is."""
        self._beats_since_greeting += 1
        wanted = _GREETING_BEATS
        if self._table.has_relay:
            wanted = _RELAYED_GREETING_BEATS
        if self._beats_since_greeting < wanted:
            return
        self._beats_since_greeting = 0
        far = self._table.far_told(self._rng)
        if far:
            self._socket.send(self._teller.greeting(now=now), far)

    # Hearing.

    def _take_message(self, message: object, host: str) -> None:
        now = self._clock.monotonic()
        if isinstance(message, router_messages.FleetNews):
            self._fleet_news.take(message, now=now)
            self._table.note_alive(message.entry_vm, now=now)
            self._take_leaving(message.leaving_starts, message.entry_vm)
        elif isinstance(message, router_messages.DomainNews):
            self._take_domain_news(message, host, now)
        elif isinstance(message, router_messages.RouterState):
            self._take_state(message, host, now)
        elif isinstance(message, router_messages.StoreChanges):
            if self._known.take_changes_of_peer(message):
                self._hand_on(message)
        elif isinstance(message, router_messages.CrashNews):
            self._crashing.receive_news(message)
        elif isinstance(message, router_messages.UsageNews):
            if self._usage is not None:
                self._usage.receive_news(message)
        elif not self.notices.receive_message(message, now=now):
            raise errors.LagoonrunError(
                step=errors.Step.PEER_FRAME,
                peer=host,
                detail=f"a {type(message).__name__}; valid: a datagram",
            )

    def _take_domain_news(
        self, news: router_messages.DomainNews, host: str, now: float
    ) -> None:
        if not self._domain_news.take(news, host=host, now=now):
            return
        self._known.note_read_by_peer(news)
        address = settings.Address(host=host, port=news.port)
        self._fetcher.take(news, address, now=now)

    def _take_state(
        self, state: router_messages.RouterState, host: str, now: float
    ) -> None:
        self._domains.record_contact(state.domain, now=now)
        address = settings.Address(host=host, port=state.port)
        newer = self._table.record_message(
            state.entry_vm,
            address,
            start=state.start,
            sequence=state.sequence,
            now=now,
            domain=state.domain,
            follows_store=state.follows_store and not state.stopping,
            stopping=state.stopping,
            processor_cores=state.processor_hundredths / 100,
        )
        if not newer:
            return
        self._take_members(state.known)
        self._take_leaving(state.leaving_starts, state.entry_vm)
        if state.domain == self._settings.domain:
            self._take_work(state, now)
            if self._usage is not None:
                self._usage.receive_state(state, now=now)
        self._known.note_read_by_peer(state)
        self._fetcher.take(state, address, now=now)

    def _take_members(
        self, members: Iterable[router_messages.EntryVmAddress]
    ) -> None:
        for member in members:
            if self._table.address_of(member.entry_vm) is None:
                self._table.add(
                    member.entry_vm,
                    settings.Address(host=member.host, port=member.port),
                    member.domain or None,
                    processor_cores=member.processor_hundredths / 100,
                )

    def _take_leaving(
        self,
        leaving: Iterable[router_messages.LeavingUpstream],
        source: types.EntryVmId,
    ) -> None:
        for one in leaving:
            self._directory.mark_leaving(
                one.upstream, start=one.start, source=source
            )

    def _take_work(
        self, state: router_messages.RouterState, now: float
    ) -> None:
        """Take in the work of a neighbour, or gather it for all others."""
        own = self._settings.entry_vm
        if self._table.has_relay:
            if state.relay == own or own in self._relays.on_duty(now=now):
                self._fleet_news.receive_state(state, now=now)
            return
        self._ledger.apply_report(
            state.entry_vm, peer_loads.from_rows(state.loads), now=now
        )
        self._pressed.apply_report(
            state.entry_vm, peer_loads.pressed_of(state.pressed), now=now
        )
        for placement in state.placements:
            self._prompt_locations.apply_report(
                placement.part, placement.upstream, now=now
            )
