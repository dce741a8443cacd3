"""Tell the other entry VMs what this one knows, and hear what they know.

Small states go as datagrams several times a second; a lost one is made up
for by the next. What is larger is fetched by `peer_fetch`.
"""

import asyncio
import dataclasses
import hashlib
import hmac
import logging
import random
import secrets
from collections.abc import Iterable

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, events, logs, standing_task, types
from lagoonrun_protocol import codec, router_messages
from lagoonrun_router import (
    beliefs,
    domain_news,
    load_ledger,
    peer_fetch,
    peer_loads,
    peer_table,
    pressure,
    prompt_homes,
    reach,
    settings,
    upstreams,
)

_BEAT_SECONDS = 0.05
"""Time between two looks for something to tell. Loads that are told later
than a prompt takes to be read (0.1 s and more) would not prevent that two
entry VMs send long prompts to the same runner."""

_CHANGE_BEATS = 2
"""Looks after which work that has ended is told. A tenth of a second late
does no harm; a quarter does, in a burst."""

_QUIET_BEATS = 8
"""Looks without news after which a state is told all the same."""

_LOOK_BEATS = 5
"""Looks for something to tell between two looks for lost peers, who count as
lost after seconds of silence; each looks at all peers."""

_TOLD_MEMBERS = 4
_TAG_BYTES = 16
_LARGEST_DATAGRAM_BYTES = 16_384


class Peers:
    """Socket and timer of the exchange with the other entry VMs.

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
    directory, ledger, homes, domains, pressed
        What is told and heard.
    clock, chance
        Sources of time and of choices.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        key: bytes,
        table: peer_table.PeerTable,
        known: beliefs.Beliefs,
        directory: upstreams.UpstreamDirectory,
        ledger: load_ledger.LoadLedger,
        homes: prompt_homes.PromptHomes,
        domains: reach.DomainReach,
        pressed: pressure.Pressure,
        clock: clocks.Clock,
        chance: random.Random,
    ) -> None:
        self._settings = configured
        self._key = hashlib.blake2b(key, digest_size=32).digest()
        self._table = table
        self._known = known
        self._directory = directory
        self._ledger = ledger
        self._homes = homes
        self._domains = domains
        self._pressed = pressed
        self._clock = clock
        self._chance = chance
        # Not a time: the wall clock may have been ahead at an earlier start.
        self._start = secrets.randbits(63)
        self._sequence = 0
        self._beats_since_told = 0
        self._beats_until_look = 0
        self._told_leaving: tuple[router_messages.LeavingUpstream, ...] = ()
        self._told_news = (0, 0, False)
        self._beats_since_far = 0
        self._domain_news = domain_news.DomainNewsExchange(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            start=self._start,
            table=table,
            ledger=ledger,
            homes=homes,
            pressed=pressed,
            domains=domains,
            send=self._send,
        )
        self._transport: asyncio.DatagramTransport | None = None
        self._timer = standing_task.StandingTask(
            name="peers", function=self._run
        )
        self._fetcher = peer_fetch.PeerFetcher(
            domain=configured.domain, table=table, known=known, clock=clock
        )
        self.stopping = False

    def use_seeds(self, seeds: tuple[settings.Address, ...]) -> None:
        """Replace whom to tell while no neighbour is known."""
        self._settings = dataclasses.replace(self._settings, seeds=seeds)

    async def start(self) -> None:
        """Open the socket and begin to tell."""
        loop = asyncio.get_running_loop()
        own = self._settings.peer
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(owner=self), local_addr=(own.host, own.port)
        )
        self._timer.start()

    async def close(self) -> None:
        """Stop telling and hearing."""
        await self._timer.close()
        await self._fetcher.close()
        if self._transport is not None:
            self._transport.close()

    # Telling.

    async def _run(self) -> None:
        while True:
            self._beat()
            await asyncio.sleep(_BEAT_SECONDS)

    def _beat(self) -> None:
        now = self._clock.monotonic()
        self._beats_until_look -= 1
        if self._beats_until_look <= 0:
            self._beats_until_look = _LOOK_BEATS
            for lost in self._table.take_lost(now=now):
                self._ledger.forget_peer(lost)
        self._domain_news.beat(now=now)
        self._tell_far(now)
        self._beats_since_told += 1
        placements = self._homes.take_untold()
        if not placements and self._beats_since_told < self._wanted_beats():
            return
        quiet = self._beats_since_told >= _QUIET_BEATS
        self._beats_since_told = 0
        self._told_news = self._news()
        self._ledger.mark_told()
        self._pressed.changed = False
        self._tell(self._state(placements, now=now, quiet=quiet))
        self._told_leaving = self._directory.leaving

    def _wanted_beats(self) -> int:
        """Return after how many beats what has changed is worth telling."""
        if self._ledger.urgent_change or self._pressed.changed:
            return 1
        if self._news() != self._told_news:
            return 1
        if self._ledger.changed:
            return _CHANGE_BEATS
        return _QUIET_BEATS

    def _news(self) -> tuple[int, int, bool]:
        """Return what others that do not read the store wait for."""
        known = self._known
        return known.revision, known.store_revision, known.follows_store

    def _state(
        self,
        placements: dict[str, types.UpstreamId],
        *,
        now: float,
        quiet: bool,
    ) -> router_messages.RouterState:
        """Return what is to be told.

        Parameters
        ----------
        quiet
            Whether there is nothing urgent, and so time for what rarely
            changes.
        """
        self._sequence += 1
        leaving = self._directory.leaving
        tell_leaving = quiet or leaving != self._told_leaving
        return router_messages.RouterState(
            entry_vm=self._settings.entry_vm,
            domain=self._settings.domain,
            start=self._start,
            sequence=self._sequence,
            port=self._settings.peer.port,
            revision=self._known.revision,
            follows_store=self._known.follows_store,
            store_revision=self._known.store_revision,
            stopping=self.stopping,
            leaving_starts=leaving if tell_leaving else (),
            loads=peer_loads.to_columns(self._ledger.own_loads(now=now)),
            placements=peer_loads.placements(placements),
            pressed=peer_loads.pressed(self._pressed.recent(now=now)),
            known=self._some_members() if quiet else (),
        )

    def _some_members(self) -> tuple[router_messages.EntryVmAddress, ...]:
        known = list(self._table.known().items())
        shown = self._chance.sample(known, min(len(known), _TOLD_MEMBERS))
        return tuple(
            router_messages.EntryVmAddress(
                entry_vm=entry_vm, host=address.host, port=address.port
            )
            for entry_vm, address in shown
        )

    def _tell(self, state: router_messages.RouterState) -> None:
        relay = self._domain_news.relay(now=self._clock.monotonic())
        told = self._table.told(
            self._chance,
            relay=relay,
            # Those that rely on this one have to hear it without a gap.
            everybody=state.follows_store or relay == state.entry_vm,
        )
        self._send(state, told or self._seeds())

    def _seeds(self) -> tuple[settings.Address, ...]:
        """Return whom to tell while no neighbour is known."""
        own = self._settings.peer
        return tuple(seed for seed in self._settings.seeds if seed != own)

    def _tell_far(self, now: float) -> None:
        """Tell some peer of another failure domain who there is."""
        self._beats_since_far += 1
        if self._beats_since_far < _QUIET_BEATS:
            return
        self._beats_since_far = 0
        far = self._table.far_told(self._chance)
        if far:
            state = self._state({}, now=now, quiet=True)
            # Work of this domain is told by its relay.
            self._send(dataclasses.replace(state, loads=(), pressed=()), far)

    def _send(
        self,
        message: router_messages.RouterState | router_messages.DomainNews,
        addresses: Iterable[settings.Address],
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        body = codec.encode(message)
        data = self._tag(body) + body
        for address in addresses:
            self._transport.sendto(data, (address.host, address.port))

    # Hearing.

    def receive(self, data: bytes, host: str) -> None:
        """Take in a datagram."""
        tag, body = data[:_TAG_BYTES], data[_TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            self._reject(host, f"{len(data)} bytes with a wrong tag")
            return
        try:
            self._take_message(codec.decode(body, peer=host), host)
        except errors.LagoonrunError as error:
            self._reject(host, error.detail)

    def _take_message(self, message: object, host: str) -> None:
        if isinstance(message, router_messages.DomainNews):
            now = self._clock.monotonic()
            self._domain_news.take(message, host=host, now=now)
        elif isinstance(message, router_messages.RouterState):
            self._take(message, host)
        else:
            self._reject(host, f"a {type(message).__name__}")

    def _take(self, state: router_messages.RouterState, host: str) -> None:
        now = self._clock.monotonic()
        self._domains.hear(state.domain, now=now)
        address = settings.Address(host=host, port=state.port)
        newer = self._table.hear(
            state.entry_vm,
            address,
            start=state.start,
            sequence=state.sequence,
            now=now,
            domain=state.domain,
            follows_store=state.follows_store and not state.stopping,
            stopping=state.stopping,
        )
        if not newer:
            return
        for member in state.known:
            if self._table.address_of(member.entry_vm) is None:
                self._table.add(
                    member.entry_vm,
                    settings.Address(host=member.host, port=member.port),
                )
        for one in state.leaving_starts:
            self._directory.take_leaving(
                one.upstream, start=one.start, source=state.entry_vm
            )
        if state.domain == self._settings.domain:
            self._take_loads(state, now)
        self._fetcher.take(state, address, now=now)

    def _take_loads(
        self, state: router_messages.RouterState, now: float
    ) -> None:
        self._ledger.take_told(
            state.entry_vm, peer_loads.from_columns(state.loads), now=now
        )
        self._pressed.take_told(
            state.entry_vm, peer_loads.pressed_of(state.pressed), now=now
        )
        for placement in state.placements:
            self._homes.take_told(placement.part, placement.upstream, now=now)

    def _reject(self, host: str, detail: str) -> None:
        logs.emit(
            events.LogEvent.PEER_FRAME_REJECTED,
            level=logging.WARNING,
            peer=host,
            detail=detail,
        )

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body, key=self._key, digest_size=_TAG_BYTES
        ).digest()


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams on."""

    def __init__(self, *, owner: Peers) -> None:
        self._owner = owner

    def datagram_received(self, data: bytes, address: tuple) -> None:
        if len(data) <= _LARGEST_DATAGRAM_BYTES:
            self._owner.receive(data, address[0])

    def error_received(self, error: Exception) -> None:
        # A peer whose process is away; it is told again with the next beat.
        del error
