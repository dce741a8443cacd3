"""Exchange of state with the other entry VMs, by datagrams.

Small states are sent several times a second, and the next one makes up for a
lost one. Larger values are fetched by `peer_fetch`.
"""

import dataclasses
import random
import secrets
from collections.abc import Iterable

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, recent_stall, supervised_task, ticks, types
from lagoonrun_duties import usage_exchange
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    adaptive_load,
    crash_news,
    crashing_requests,
    demand_rows,
    domain_aggregate,
    domain_news,
    fleet_news,
    invitation_rows,
    load_ledger,
    metrics,
    news_broadcaster,
    observation_rows,
    part_answer_news,
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
    state_publisher,
    store_replica,
    stream_origins,
    upstream_notices,
    upstreams,
)

_TICK_SECONDS = 0.05
"""Time between two ticks, at which messages that are due are sent. Loads that
are reported later than prefill of a long prompt takes (0.1 s and more) would
not prevent two entry VMs from sending long prompts to the same runner."""

_LOST_CHECK_TICKS = 5
"""Ticks between two checks for lost peers: a check goes through all peers,
which count as lost only after seconds of silence."""

_ANNOUNCEMENT_TICKS = 8
"""Ticks between two membership announcements to another failure domain: a
domain counts as cut off after a second without any."""

_RELAYED_ANNOUNCEMENT_TICKS = 80
"""The same where a relay reports other domains: the announcements then only
spread membership, for entry VMs that start during an outage of the store."""

_RELAY_COUNT = 2
"""Entry VMs that receive the states of a large failure domain: the relay, and
the second in the order, which can replace it without a gap in its data."""

_MAX_CHANGES_BYTES = 8192
"""Maximum size of store changes that are sent to neighbours in a datagram:
forty entries of upstreams, or a dozen routes. Larger ones are fetched over
connections."""


class PeerExchange:
    """Sends and receives messages of the exchange between entry VMs.

    Parameters
    ----------
    configured
        Settings of the process.
    key
        Authenticates datagrams, so that those of other fleets are rejected.
    table
        The other entry VMs.
    replica
        Replica of the store.
    directory, ledger, prompt_locations, domains, pressure, aggregate
        State that is sent and updated.
    adaptive
        State of the adaptive pools.
    crashing_requests
        Requests that crash upstreams.
    counters
        Counts the places at limited upstreams.
    usage
        Counts of requests; None if usage is not reported.
    clock, rng
        Sources of time and of randomness.
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
        pressure: pressure.Pressure,
        aggregate: domain_aggregate.DomainAggregate,
        adaptive: adaptive_load.AdaptiveLoad,
        crashing_requests: crashing_requests.CrashingRequests,
        counters: metrics.RouterMetrics,
        usage: usage_exchange.UsageExchange | None = None,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = configured
        self._socket = peer_socket.PeerSocket(
            key=key, on_message=self._receive_message
        )
        self._table = table
        self._replica = replica
        replica.on_changes = self._send_changes
        self._directory = directory
        self._ledger = ledger
        self._prompt_locations = prompt_locations
        self._domains = domains
        self._pressure = pressure
        self._aggregate = aggregate
        self._adaptive = adaptive
        self._usage = usage
        self._clock = clock
        self._rng = rng
        self._ticks_until_lost_check = 0
        self._recent_stall = recent_stall.RecentStall(
            clock=clock, memory_seconds=peer_table.PEER_TIMEOUT_SECONDS
        )
        self._ticks_since_announcement = 0
        # Not a timestamp: the wall clock may have been ahead at an earlier
        # start.
        start = secrets.randbits(63)
        self._relays = roster.Roster(
            duty="relay",
            wanted_count=_RELAY_COUNT,
            own=configured.entry_vm,
            own_size=peer_table.rounded_cores(configured.processor_cores),
            others=table,
        )
        self._state_publisher = state_publisher.StatePublisher(
            configured=configured,
            start=start,
            table=table,
            replica=replica,
            directory=directory,
            ledger=ledger,
            prompt_locations=prompt_locations,
            pressure=pressure,
            adaptive=adaptive,
            relays=self._relays,
            usage=usage,
            rng=rng,
        )
        self._fleet_news = fleet_news.FleetNewsExchange(
            entry_vm=configured.entry_vm,
            port=configured.peer.port,
            start=start,
            aggregate=aggregate,
            table=table,
            ledger=ledger,
            pressure=pressure,
            prompt_locations=prompt_locations,
            domains=domains,
            directory=directory,
            adaptive=adaptive,
            send=self._socket.send,
        )
        self._domain_news = domain_news.DomainNewsExchange(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            port=configured.peer.port,
            start=start,
            table=table,
            replica=replica,
            relays=self._relays,
            aggregate=aggregate,
            ledger=ledger,
            prompt_locations=prompt_locations,
            pressure=pressure,
            domains=domains,
            adaptive=adaptive,
            usage=usage,
            send=self._socket.send,
        )
        self.send = self._socket.send
        self.broadcaster = news_broadcaster.NewsBroadcaster(
            domain=configured.domain,
            table=table,
            fleet=self,
            send=self._socket.send,
            rng=rng,
        )
        self._crashing_requests = crashing_requests
        part_answers = part_answer_news.PartAnswerNews(
            peer_count=lambda: len(table.known()), rng=rng
        )
        self._crash_news = crash_news.CrashNewsExchange(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            broadcaster=self.broadcaster,
            records=crashing_requests.records,
            answers=crashing_requests.part_answers,
            part_answers=part_answers,
        )
        crashing_requests.news = self._crash_news
        crashing_requests.part_answer_news = part_answers
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
            own_requests=ledger,
            clock=clock,
            rng=rng,
        )
        self.stream_origins = stream_origins.StreamOrigins(
            configured=configured,
            table=table,
            send=self._socket.send,
            counters=counters,
            clock=clock,
            rng=rng,
        )
        self._timer = supervised_task.SupervisedTask(
            name="peers", function=self._run
        )
        self._fetcher = peer_fetch.PeerFetcher(
            domain=configured.domain,
            table=table,
            relays=self._relays,
            replica=replica,
            clock=clock,
        )

    def use_seeds(self, seeds: tuple[settings.Address, ...]) -> None:
        """Replace the addresses to contact while no neighbour is known."""
        self._settings = dataclasses.replace(self._settings, seeds=seeds)

    async def start(self) -> None:
        """Open the socket and begin to send."""
        await self._socket.start(self._settings.peer)
        self._timer.start()

    def begin_stop(self) -> None:
        """Announce that this entry VM is about to stop; leave its duties."""
        self._state_publisher.stopping = True
        self._relays.stopping = True

    async def close(self) -> None:
        """Stop sending and receiving."""
        await self._timer.close()
        await self._fetcher.close()
        self._socket.close()

    # Sending.

    async def _run(self) -> None:
        while True:
            self._tick()
            await ticks.sleep_to_tick(_TICK_SECONDS)

    def _tick(self) -> None:
        now = self._clock.monotonic()
        self._forget_lost_peers(now)
        state = self._state_publisher.tick(now=now)
        if state is not None:
            self._send_state(state, now)
        self._fleet_news.tick(now=now)
        self._domain_news.tick(now=now)
        self._crash_news.tick(now=now)
        self.notices.tick(now=now)
        self.stream_origins.tick(now=now)
        if self._usage is not None:
            self._usage.tick(now=now, is_relay=self._relays.is_first(now=now))
        self._announce(now)

    def _forget_lost_peers(self, now: float) -> None:
        self._ticks_until_lost_check -= 1
        if self._ticks_until_lost_check > 0:
            return
        self._ticks_until_lost_check = _LOST_CHECK_TICKS
        # Peers were not heard while this process read nothing.
        heard_until = now - self._recent_stall.seconds(now=now)
        for lost in self._table.pop_lost(now=heard_until):
            self._ledger.forget_peer(lost)
            self._adaptive.shares.forget_peer(lost)
            self._aggregate.forget_peer(lost)

    def _send_state(
        self, state: router_messages.RouterState, now: float
    ) -> None:
        if not self._table.has_relay:
            recipients = self._table.neighbour_addresses()
            self._socket.send(state, recipients or self._seeds())
            return
        self._fleet_news.record_sent_state(state)
        relays = self._relays.on_duty(now=now)
        if state.entry_vm in relays:
            self._fleet_news.receive_state(state, now=now)
        # Neighbours that rely on this entry VM, as a reader of the store or as
        # their relay, have to receive a change without the detour by a relay.
        is_relied_on = (
            self._state_publisher.was_reader or state.entry_vm in relays
        )
        if is_relied_on and self._state_publisher.concerns_all_neighbours:
            recipients = self._table.neighbour_addresses()
        else:
            recipients = self._table.addresses_of(relays)
        self._socket.send(state, recipients)

    def _send_changes(self, changes: router_messages.StoreChanges) -> None:
        """Send changes just read from the store to those that don't read it.

        Large changes are not sent but fetched: a datagram is lost as a whole if
        one of its fragments is.
        """
        size = sum(len(item.value) for item in changes.items)
        size += sum(len(one.packed_text) for one in changes.declared)
        if not self._table.is_large or size > _MAX_CHANGES_BYTES:
            return
        message = dataclasses.replace(
            changes,
            entry_vm=self._settings.entry_vm,
            domain=self._settings.domain,
        )
        self._socket.send(message, self._table.neighbour_addresses())
        self._forward(message)

    def _forward(self, changes: router_messages.StoreChanges) -> None:
        """Forward changes if this entry VM is the relay.

        Those read in the own failure domain go to the other domains, those read
        elsewhere to the neighbours.
        """
        now = self._clock.monotonic()
        if not self._relays.is_first(now=now):
            return
        if changes.domain == self._settings.domain:
            self._socket.send(
                changes, self._domain_news.remote_relay_addresses(now=now)
            )
        else:
            self._socket.send(changes, self._table.neighbour_addresses())

    def send_usage(
        self, news: router_messages.UsageNews, to: types.EntryVmId
    ) -> None:
        """Send usage counts to the holder of the duties."""
        self._socket.send(news, self._table.addresses_of((to,)))

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
        """Return another domain's relay; None without recent contact."""
        return self._domain_news.relay_of(domain, now=now)

    def relays_on_duty(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return the relays of the own failure domain, in their order."""
        return self._relays.on_duty(now=now)

    def _seeds(self) -> tuple[settings.Address, ...]:
        """Return the addresses to contact while no neighbour is known."""
        own = self._settings.peer
        return tuple(seed for seed in self._settings.seeds if seed != own)

    def _announce(self, now: float) -> None:
        """Announce members to a random peer of another failure domain."""
        self._ticks_since_announcement += 1
        interval = _ANNOUNCEMENT_TICKS
        if self._table.has_relay:
            interval = _RELAYED_ANNOUNCEMENT_TICKS
        if self._ticks_since_announcement < interval:
            return
        self._ticks_since_announcement = 0
        recipients = self._table.sample_remote_addresses(self._rng)
        if recipients:
            self._socket.send(
                self._state_publisher.announcement(now=now), recipients
            )

    # Receiving.

    def _receive_message(self, message: object, host: str) -> None:
        now = self._clock.monotonic()
        if isinstance(message, router_messages.FleetNews):
            self._fleet_news.receive(message, now=now)
            self._table.record_alive(message.entry_vm, now=now)
            self._apply_leaving(message.leaving_starts, message.entry_vm, now)
        elif isinstance(message, router_messages.DomainNews):
            self._receive_domain_news(message, host, now)
        elif isinstance(message, router_messages.RouterState):
            self._receive_state(message, host, now)
        elif isinstance(message, router_messages.StoreChanges):
            if self._replica.apply_peer_changes(message):
                self._forward(message)
        elif isinstance(message, router_messages.CrashNews):
            self._crashing_requests.receive_news(message)
        elif isinstance(message, router_messages.UsageNews):
            if self._usage is not None:
                self._usage.receive_news(message)
        elif not (
            self.notices.receive_message(message, now=now)
            or self.stream_origins.receive_message(message, now=now)
        ):
            raise errors.LagoonrunError(
                step=errors.Step.PEER_FRAME,
                peer=host,
                detail=f"a {type(message).__name__}; valid: a datagram",
            )

    def _receive_domain_news(
        self, news: router_messages.DomainNews, host: str, now: float
    ) -> None:
        if not self._domain_news.receive(news, host=host, now=now):
            return
        self._replica.record_peer_revision(news)
        address = settings.Address(host=host, port=news.port)
        self._fetcher.fetch_if_newer(news, address, now=now)

    def _receive_state(
        self, state: router_messages.RouterState, host: str, now: float
    ) -> None:
        self._domains.record_contact(state.domain, now=now)
        address = settings.Address(host=host, port=state.port)
        is_newer = self._table.record_message(
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
        if not is_newer:
            return
        self._add_members(state.known)
        self._apply_leaving(state.leaving_starts, state.entry_vm, now)
        if state.domain == self._settings.domain:
            self._apply_load(state, now)
            if self._usage is not None:
                self._usage.receive_state(state, now=now)
        self._replica.record_peer_revision(state)
        self._fetcher.fetch_if_newer(state, address, now=now)

    def _add_members(
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

    def _apply_leaving(
        self,
        leaving: Iterable[router_messages.LeavingUpstream],
        source: types.EntryVmId,
        now: float,
    ) -> None:
        for one in leaving:
            self._directory.apply_peer_leaving(
                one.upstream, start=one.start, source=source, now=now
            )

    def _apply_load(
        self, state: router_messages.RouterState, now: float
    ) -> None:
        """Apply a neighbour's load, or aggregate it as a relay."""
        own = self._settings.entry_vm
        if self._table.has_relay:
            if state.relay == own or own in self._relays.on_duty(now=now):
                self._fleet_news.receive_state(state, now=now)
            return
        self._ledger.apply_report(
            state.entry_vm, peer_loads.from_rows(state.loads), now=now
        )
        self._pressure.apply_report(
            state.entry_vm,
            peer_loads.from_pressed_tiers(state.pressed),
            now=now,
        )
        for placement in state.placements:
            self._prompt_locations.apply_report(
                placement.part, placement.upstream, now=now
            )
        self._apply_adaptive_fields(state, now)

    def _apply_adaptive_fields(
        self, state: router_messages.RouterState, now: float
    ) -> None:
        if state.observations:
            self._adaptive.speeds.apply_observations(
                observation_rows.from_rows(state.observations), now=now
            )
        if state.demands:
            self._adaptive.shares.apply_report(
                state.entry_vm, demand_rows.from_rows(state.demands), now=now
            )
        elif self._adaptive.adaptive_pools:
            self._adaptive.shares.record_contact(state.entry_vm, now=now)
        if state.invitations:
            self._adaptive.schedule.apply_invitations(
                invitation_rows.from_rows(state.invitations, now=now), now=now
            )
