"""The membership of this process, with its UDP socket and its timer."""

import asyncio
import dataclasses
import logging
import random
from collections.abc import Callable, Iterable, Iterator, Mapping

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, events, logs, types
from lagoonrun_membership import gossip, listener, members, outbox, shards
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import codec, datagrams, hub, messages

MemberView = members.MemberView
MembershipListener = listener.MembershipListener
Timing = timings.Timing

_REJECTION_LOG_SECONDS = 1.0


class Membership:
    """Membership of this process in the fleet of entry VMs.

    It is the hub's address book. Announcements before `start` are lost.

    Parameters
    ----------
    self_view
        The record of this process; `peer_host` and `peer_port` are where the
        hub listens. A `peer_port` of 0 becomes the port of the UDP socket.
    host, port
        Address of the UDP socket. Peers send datagrams to the port number of
        the hub, so both must be equal; with port 0 the system chooses one.
    seeds
        Addresses to join through.
    key
        Shared secret that authenticates datagrams.
    clock
        Source of time.
    rng
        Random generator that chooses targets.
    listener
        Receives changes.
    timing
        Times and limits.
    """

    def __init__(
        self,
        *,
        self_view: MemberView,
        host: str,
        port: int,
        seeds: Iterable[hub.PeerAddress],
        key: bytes,
        clock: clocks.Clock,
        rng: random.Random,
        listener: MembershipListener,
        timing: timings.Timing | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._seeds = tuple(seeds)
        self._clock = clock
        self._rng = rng
        self._listener = listener
        self._timing = timing or timings.Timing()
        self._sealer = datagrams.DatagramSealer(
            key=key,
            sender=self_view.entry_vm,
            incarnation=self_view.incarnation,
        )
        self._opener = datagrams.DatagramOpener(key=key)
        self._gossip = self._new_gossip(self_view)
        self._summaries_by_shard = _SummariesByShard(
            shard_table=lambda: self._gossip.shards, clock=clock
        )
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.Task[None] | None = None
        self._deadline_moved = asyncio.Event()
        self._wakes_at = float("-inf")
        self._eligible_by_domain: dict[
            types.FailureDomain, tuple[types.EntryVmId, ...]
        ] = {}
        self._members_by_id: dict[types.EntryVmId, MemberView] | None = None
        self._states_by_id: dict[types.EntryVmId, messages.MemberState] = {}
        self._rejections = 0
        self._rejections_logged_at = float("-inf")

    # Lifecycle.

    async def start(self, *, port: int | None = None) -> None:
        """Open the socket and join.

        Parameters
        ----------
        port
            Replaces the constructor's port, once the hub's port is known.
        """
        if port is not None:
            self._port = port
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(receive=self._receive),
            local_addr=(self._host, self._port),
        )
        self._port = self._transport.get_extra_info("sockname")[1]
        own = self._gossip.members.own
        if port is not None or own.peer_port == 0:
            own = dataclasses.replace(own, peer_port=self._port)
        self._gossip = self._new_gossip(own)
        self._members_by_id = None
        self._eligible_by_domain.clear()
        self._timer = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Announce the shutdown to other members and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
            await asyncio.gather(self._timer, return_exceptions=True)
            self._send(self._gossip.announce_shutdown())
        if self._transport is not None:
            self._transport.close()

    # Queries.

    @property
    def port(self) -> int:
        """Port of the UDP socket."""
        return self._port

    @property
    def members_by_id(self) -> Mapping[types.EntryVmId, MemberView]:
        """All members, including this process and dead members."""
        if self._members_by_id is None:
            self._members_by_id = self._gossip.members.views_by_id()
        return self._members_by_id

    @property
    def summaries_by_shard(
        self,
    ) -> Mapping[types.ShardId, messages.ShardSummary]:
        """Fresh summaries of the own shards and those of other domains.

        Each lookup returns the summary with its present age.
        """
        return self._summaries_by_shard

    def summary_of(self, shard: types.ShardId) -> messages.ShardSummary | None:
        """Return one shard's summary; None if there is no fresh one."""
        return self._gossip.shards.summary(shard, self._clock.monotonic())

    def eligible_in(
        self, domain: types.FailureDomain
    ) -> tuple[types.EntryVmId, ...]:
        """Return the members of `domain` that may dispatch shards, sorted.

        Members that are leaving, dead or in hold-down are left out.
        """
        eligible = self._eligible_by_domain.get(domain)
        if eligible is None:
            eligible = self._gossip.members.eligible_in(domain)
            self._eligible_by_domain[domain] = eligible
        return eligible

    def address_of(self, entry_vm: types.EntryVmId) -> hub.PeerAddress | None:
        """Return the address of a member's hub; None if it is dead."""
        view = self._gossip.members.view(entry_vm)
        if view is None or view.state is messages.MemberState.DEAD:
            return None
        return hub.PeerAddress(host=view.peer_host, port=view.peer_port)

    def upstream_is_leaving(self, upstream: types.UpstreamId) -> bool:
        """Return whether an upstream is leaving and gets no new requests."""
        return self._gossip.upstreams.is_leaving(upstream)

    def round_trip_to(self, domain: types.FailureDomain) -> float | None:
        """Return the measured round-trip time in seconds, None if unknown."""
        return self._gossip.round_trip_to(domain)

    # Settings and announcements.

    def set_regions(self, region_of: shards.RegionLookup) -> None:
        """Set the region of each domain.

        Shard summaries are sent to domains of the same region first. The
        lookup is set from each configuration that comes into force; while
        entry VMs have different ones, some domains receive the summaries of
        more or fewer other domains.
        """
        self._gossip.set_regions(region_of)

    def add_seeds(self, addresses: Iterable[hub.PeerAddress]) -> None:
        """Add addresses to join through, as listed by the platform."""
        self._gossip.add_seeds(addresses)

    def announce_configuration(
        self, revision: types.Revision, digest: str
    ) -> None:
        """Announce the revision in force at this process."""
        now = self._clock.monotonic()
        self._send_and_publish(
            self._gossip.announce_configuration(revision, digest, now=now)
        )

    def announce_leaving(self) -> None:
        """Announce that this process takes no more shards."""
        now = self._clock.monotonic()
        self._send_and_publish(self._gossip.announce_leaving(now=now))

    def announce_shards(
        self, summaries: Iterable[messages.ShardSummary]
    ) -> None:
        """Replace the summaries of the shards dispatched here.

        They are sent to other domains with the next period.
        """
        now = self._clock.monotonic()
        self._gossip.shards.announce(summaries, now=now)

    def report_upstream(
        self,
        upstream: types.UpstreamId,
        incarnation: types.Incarnation,
        leaving: bool,
    ) -> None:
        """Record the state that the platform or the upstream itself reports.

        Leaving wins until a higher incarnation is reported, so reports may be
        repeated and come in any order.
        """
        update = messages.UpstreamUpdate(
            upstream=upstream, incarnation=incarnation, leaving=leaving
        )
        now = self._clock.monotonic()
        self._send_and_publish(self._gossip.announce_upstream(update, now=now))

    # Events.

    def _new_gossip(self, own: MemberView) -> gossip.GossipProtocol:
        return gossip.GossipProtocol(
            own=own,
            seeds=self._seeds,
            timing=self._timing,
            rng=self._rng,
            now=self._clock.monotonic(),
        )

    async def _run(self) -> None:
        while True:
            now = self._clock.monotonic()
            self._wakes_at = self._gossip.next_wakeup()
            wait = self._wakes_at - now
            if wait > 0:
                await self._sleep(wait)
                continue
            self._send_and_publish(self._gossip.tick(now=now))
            # Yield, so that a clock that stands still doesn't block the loop.
            await asyncio.sleep(0)

    async def _sleep(self, seconds: float) -> None:
        """Sleep for `seconds`, or until the next deadline becomes earlier."""
        self._deadline_moved.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._deadline_moved.wait()
        except TimeoutError:
            pass

    def _receive(self, data: bytes, address: hub.PeerAddress) -> None:
        peer = f"{address.host}:{address.port}"
        try:
            datagram = self._opener.open(data, peer=peer)
            message = codec.decode(datagram.body, peer=datagram.sender)
        except errors.LagoonrunError as error:
            self._reject(error)
            return
        outgoing = self._gossip.receive(
            message,
            sender=datagram.sender,
            address=address,
            now=self._clock.monotonic(),
        )
        self._send_and_publish(outgoing)

    def _reject(self, error: errors.LagoonrunError) -> None:
        """Log a rejected datagram, with at most one line per second."""
        self._rejections += 1
        now = self._clock.monotonic()
        if now - self._rejections_logged_at < _REJECTION_LOG_SECONDS:
            return
        self._rejections_logged_at = now
        logs.emit(
            events.LogEvent.PEER_FRAME_REJECTED,
            level=logging.WARNING,
            peer=error.peer,
            detail=error.detail,
            rejected_datagrams=self._rejections,
        )

    def _send_and_publish(
        self, outgoing: list[outbox.OutgoingDatagram]
    ) -> None:
        self._send(outgoing)
        self._publish()
        if self._gossip.next_wakeup() < self._wakes_at:
            self._deadline_moved.set()

    def _send(self, outgoing: list[outbox.OutgoingDatagram]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._sealer.raise_incarnation(self._gossip.members.own.incarnation)
        for item in outgoing:
            data = self._sealer.seal(codec.encode(item.message))
            address = (item.address.host, item.address.port)
            self._transport.sendto(data, address)

    def _publish(self) -> None:
        for view in self._gossip.members.pop_changed():
            self._eligible_by_domain.clear()
            self._members_by_id = None
            self._log_state(view)
            self._notify(self._listener.on_member_changed, view)
        for update in self._gossip.upstreams.pop_changed():
            self._notify(
                self._listener.on_upstream_changed,
                update.upstream,
                update.leaving,
            )
        for announcement in self._gossip.pop_configurations():
            self._notify(
                self._listener.on_configuration_announced,
                announcement.source,
                announcement.revision,
                announcement.digest,
            )
        for entry_vm in self._gossip.pop_forgotten():
            self._opener.forget(entry_vm)
            self._states_by_id.pop(entry_vm, None)
        for summary in self._gossip.pop_summaries():
            self._notify(self._listener.on_shard_summary, summary)

    def _log_state(self, view: MemberView) -> None:
        if self._states_by_id.get(view.entry_vm) is view.state:
            return
        self._states_by_id[view.entry_vm] = view.state
        logs.emit(
            events.LogEvent.MEMBER_STATE_CHANGED,
            peer=view.entry_vm,
            domain=view.domain,
            state=view.state.value,
            incarnation=view.incarnation,
        )

    def _notify(self, call: Callable[..., None], *arguments: object) -> None:
        """Call the listener; its exceptions must not stop the membership."""
        try:
            call(*arguments)
        except Exception as error:
            logs.emit(
                events.LogEvent.TASK_FAILED,
                level=logging.ERROR,
                step=errors.Step.MEMBERSHIP.value,
                detail=repr(error),
            )


class _SummariesByShard(Mapping[types.ShardId, messages.ShardSummary]):
    """A read-only mapping of the shard table, read one summary at a time."""

    def __init__(
        self,
        *,
        shard_table: Callable[[], shards.ShardTable],
        clock: clocks.Clock,
    ) -> None:
        self._shard_table = shard_table
        self._clock = clock

    def __getitem__(self, shard: types.ShardId) -> messages.ShardSummary:
        summary = self._shard_table().get(shard, self._clock.monotonic())
        if summary is None:
            raise KeyError(shard)
        return summary

    def __iter__(self) -> Iterator[types.ShardId]:
        return iter(self._fresh())

    def __len__(self) -> int:
        return len(self._fresh())

    def _fresh(self) -> dict[types.ShardId, messages.ShardSummary]:
        return self._shard_table().by_shard(self._clock.monotonic())


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Forwards datagrams; ICMP errors, as from a dead peer, are ignored."""

    def __init__(
        self, *, receive: Callable[[bytes, hub.PeerAddress], None]
    ) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._receive(data, hub.PeerAddress(host=addr[0], port=addr[1]))
