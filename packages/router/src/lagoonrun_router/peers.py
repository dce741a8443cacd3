"""Tell the other entry VMs what this one knows, and hear what they know.

Small states go as datagrams several times a second; a lost one is made up
for by the next. Declarations, which are larger, are fetched by a call from a
peer that has a newer revision: so they get to an entry VM that the store
turns away.
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
from lagoonrun_core import errors, events, logs, types
from lagoonrun_platform import http_calls
from lagoonrun_platform import store as store_module
from lagoonrun_protocol import codec, messages
from lagoonrun_router import (
    beliefs,
    domain_news,
    loads,
    peer_loads,
    peer_table,
    pressure,
    prompt_homes,
    reach,
    settings,
    upstreams,
)

DECLARATIONS_PATH = "/declarations"
UPSTREAMS_PATH = "/upstreams"

_BEAT_SECONDS = 0.05
"""Time between two looks for something to tell. Loads that are told later
than a prompt takes to be read (0.1 s and more) would not prevent that two
entry VMs send long prompts to the same runner."""

_CHANGE_BEATS = 2
"""Looks after which work that has ended is told. A tenth of a second late
does no harm; a quarter does, in a burst."""

_QUIET_BEATS = 8
"""Looks without news after which a state is told all the same."""

_TOLD_MEMBERS = 4
_FETCH_SECONDS = 1.0

_UPSTREAMS_SECONDS = 0.1
"""Time between two fetches of the upstreams where the store is not read from
here. An upstream that leaves serves on for two seconds after the store says
so; changes that come together are fetched together."""

_TAG_BYTES = 16
_LARGEST_DATAGRAM_BYTES = 16_384
_OK = 200


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
        ledger: loads.LoadLedger,
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
        self._told_leaving: tuple[types.UpstreamId, ...] = ()
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
        self._timer: asyncio.Task[None] | None = None
        self._fetch: asyncio.Task[None] | None = None
        self._upstreams_fetch: asyncio.Task[None] | None = None
        self._upstreams_fetched_at = float("-inf")
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
        self._timer = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop telling and hearing."""
        for task in (self._timer, self._fetch, self._upstreams_fetch):
            if task is not None:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()

    # Telling.

    async def _run(self) -> None:
        while True:
            self._beat()
            await asyncio.sleep(_BEAT_SECONDS)

    def _beat(self) -> None:
        now = self._clock.monotonic()
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
    ) -> messages.RouterState:
        """Return what is to be told.

        Parameters
        ----------
        quiet
            Whether there is nothing urgent, and so time for what rarely
            changes.
        """
        self._sequence += 1
        leaving = self._directory.leaving_ids
        tell_leaving = quiet or leaving != self._told_leaving
        self._told_leaving = leaving
        return messages.RouterState(
            entry_vm=self._settings.entry_vm,
            domain=self._settings.domain,
            start=self._start,
            sequence=self._sequence,
            port=self._settings.peer.port,
            revision=self._known.revision,
            follows_store=self._known.follows_store,
            store_revision=self._known.store_revision,
            stopping=self.stopping,
            leaving=leaving if tell_leaving else (),
            loads=peer_loads.to_messages(self._ledger.own_loads(now=now)),
            placements=peer_loads.placements(placements),
            pressed=peer_loads.pressed(self._pressed.recent(now=now)),
            known=self._some_members() if quiet else (),
        )

    def _some_members(self) -> tuple[messages.EntryVmAddress, ...]:
        known = list(self._table.known().items())
        shown = self._chance.sample(known, min(len(known), _TOLD_MEMBERS))
        return tuple(
            messages.EntryVmAddress(
                entry_vm=entry_vm, host=address.host, port=address.port
            )
            for entry_vm, address in shown
        )

    def _tell(self, state: messages.RouterState) -> None:
        self._send(state, self._table.told(self._chance) or self._seeds())

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
        message: messages.RouterState | messages.DomainNews,
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
            state = codec.decode(body, peer=host)
        except errors.LagoonrunError as error:
            self._reject(host, error.detail)
            return
        if isinstance(state, messages.DomainNews):
            now = self._clock.monotonic()
            self._domain_news.take(state, host=host, now=now)
        elif isinstance(state, messages.RouterState):
            self._take(state, host)
        else:
            self._reject(host, f"a {type(state).__name__}")

    def _take(self, state: messages.RouterState, host: str) -> None:
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
        for upstream in state.leaving:
            self._directory.take_leaving(upstream, source=state.entry_vm)
        if state.domain == self._settings.domain:
            self._take_loads(state, now)
        if state.revision > self._known.revision:
            self._fetch_from(state.entry_vm, address)
        if self._should_fetch_upstreams(state):
            self._fetch_upstreams_from(state.entry_vm, address, now)

    def _take_loads(self, state: messages.RouterState, now: float) -> None:
        self._ledger.take_told(
            state.entry_vm, peer_loads.from_messages(state.loads), now=now
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

    # Declarations of peers.

    def _fetch_from(
        self, peer: types.EntryVmId, address: settings.Address
    ) -> None:
        if self._fetch is not None and not self._fetch.done():
            return
        self._fetch = asyncio.create_task(self._take_from(peer, address))

    async def _take_from(
        self, peer: types.EntryVmId, address: settings.Address
    ) -> None:
        body = await self._call(peer, address, DECLARATIONS_PATH)
        if body is not None:
            self._known.take_declarations(body, source=peer)

    # Upstreams as peers read them.

    def _should_fetch_upstreams(self, state: messages.RouterState) -> bool:
        """Return whether a peer knows more of the upstreams.

        One that does not read the store either may know what this process,
        started in an outage, has never read.
        """
        if self._known.follows_store:
            return False
        if state.store_revision <= self._known.store_revision:
            return False
        # Where neighbours read the store they tell it, without bytes between
        # failure domains.
        near = state.domain == self._settings.domain
        now = self._clock.monotonic()
        return near or not self._table.watching(now=now)

    def _fetch_upstreams_from(
        self, peer: types.EntryVmId, address: settings.Address, now: float
    ) -> None:
        running = self._upstreams_fetch
        if running is not None and not running.done():
            return
        if now - self._upstreams_fetched_at < _UPSTREAMS_SECONDS:
            return
        self._upstreams_fetched_at = now
        self._upstreams_fetch = asyncio.create_task(
            self._take_upstreams_from(peer, address)
        )

    async def _take_upstreams_from(
        self, peer: types.EntryVmId, address: settings.Address
    ) -> None:
        body = await self._call(peer, address, UPSTREAMS_PATH)
        if body is None:
            return
        try:
            told = codec.decode(body, peer=peer)
        except errors.LagoonrunError as error:
            self._reject(peer, error.detail)
            return
        if isinstance(told, messages.StoredItems):
            self._known.take_entries_of_peer(
                {item.key: item.value for item in told.items},
                store_module.StoreRevision(told.store_revision),
            )

    async def _call(
        self, peer: types.EntryVmId, address: settings.Address, path: str
    ) -> bytes | None:
        """Return what a peer answers; None where it does not."""
        pool = http_calls.ConnectionPool(
            address=address,
            connect_timeout_seconds=_FETCH_SECONDS,
            clock=self._clock,
        )
        try:
            reply = await pool.call(
                http_calls.Call(method="GET", path=path),
                timeout_seconds=_FETCH_SECONDS,
            )
        except (http_calls.NotSentError, http_calls.ReplyLostError) as error:
            # Its next state leads to another try.
            self._reject(peer, f"no answer to {path}: {error}")
            return None
        finally:
            pool.close()
        return reply.body if reply.status == _OK else None


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
