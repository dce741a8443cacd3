"""The membership protocol: events in, datagrams out. Pure: no I/O, no clock.

Probing follows SWIM: one member of the own domain a period, directly and then
through others, and one of the other domains at a rate that falls with the
fleet's size. News travels on probes and answers. Whatever it misses is found
by digests of the tables, which each probe and answer carries.
"""

import dataclasses
import math
import random
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_membership import (
    composer,
    digests,
    members,
    probes,
    shards,
    upstreams,
)
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import hub, messages

_MAXIMUM_SYNCS = 64
_ISOLATED_PERIODS = 2
_FROZEN_PERIODS = 2
_SEED_PROBES = 2
_MAXIMUM_ADDED_SEEDS = 1024
_CONDEMNED_PROBES = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outgoing:
    """A datagram to be sent."""

    address: hub.PeerAddress
    message: messages.Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationNews:
    """A member has a higher revision in force than this process."""

    source: types.EntryVmId
    revision: types.Revision
    digest: str


class GossipProtocol:
    """One process's part of the membership protocol.

    Parameters
    ----------
    own
        The record of this process.
    seeds
        Addresses to join through.
    timing
        Times and limits.
    random_source
        Chooses targets.
    now
        Clock reading in seconds.
    """

    def __init__(
        self,
        *,
        own: messages.MemberUpdate,
        seeds: Iterable[hub.PeerAddress],
        timing: timings.Timing,
        random_source: random.Random,
        now: float,
    ) -> None:
        self.members = members.MemberTable(own=own, timing=timing)
        self.upstreams = upstreams.UpstreamTable()
        self.shards = shards.ShardTable(domain=own.domain, timing=timing)
        self._own_address = hub.PeerAddress(
            host=own.peer_host, port=own.peer_port
        )
        self._seeds = dict.fromkeys(seeds)
        self._added_seeds: dict[hub.PeerAddress, None] = {}
        self._timing = timing
        self._random = random_source
        self._composer = composer.DatagramComposer(
            members=self.members,
            upstreams=self.upstreams,
            shards=self.shards,
            timing=timing,
        )
        self._schedule = probes.ProbeSchedule(
            table=self.members, random_source=random_source
        )
        self._pending = probes.PendingProbes()
        self._outgoing: list[Outgoing] = []
        self._configurations: list[ConfigurationNews] = []
        self._summaries: list[messages.ShardSummary] = []
        self._forgotten: list[types.EntryVmId] = []
        self._urgent = False
        self._urgent_tokens = timing.urgent_burst
        self._syncs_left = _MAXIMUM_SYNCS
        self._next_sync_at = math.inf
        self._is_joining = True
        self._period = 0
        self._next_period_at = now
        self._last_heard_at = now
        self._refutations = 0

    # What the owner asks.

    def next_wakeup(self) -> float:
        """Return the clock reading at which `tick` is due."""
        return min(
            self._next_period_at,
            self._next_sync_at,
            self._pending.next_deadline(),
        )

    def take_configurations(self) -> tuple[ConfigurationNews, ...]:
        """Return news of higher revisions, once."""
        news = tuple(self._configurations)
        self._configurations.clear()
        return news

    def take_summaries(self) -> tuple[messages.ShardSummary, ...]:
        """Return newer summaries of other domains' shards, once."""
        summaries = tuple(self._summaries)
        self._summaries.clear()
        return summaries

    def take_forgotten(self) -> tuple[types.EntryVmId, ...]:
        """Return members that were forgotten, once."""
        forgotten = tuple(self._forgotten)
        self._forgotten.clear()
        return forgotten

    def add_seeds(self, addresses: Iterable[hub.PeerAddress]) -> None:
        """Join through further addresses, as the platform's list shows.

        The oldest addresses added give way to new ones, since those of
        replaced VMs would pile up.
        """
        for address in addresses:
            self._added_seeds.pop(address, None)
            self._added_seeds[address] = None
        while len(self._added_seeds) > _MAXIMUM_ADDED_SEEDS:
            del self._added_seeds[next(iter(self._added_seeds))]

    # What the owner announces. Each returns datagrams to be sent.

    def announce_configuration(
        self, revision: types.Revision, digest: str, *, now: float
    ) -> list[Outgoing]:
        """Tell others which revision is in force here."""
        self._urgent |= revision > self.members.own.revision
        self.members.announce_configuration(revision, digest)
        return self._finish(now)

    def announce_leaving(self, *, now: float) -> list[Outgoing]:
        """Tell others that this process takes no more shards."""
        self.members.announce_leaving()
        self._urgent = True
        return self._finish(now)

    def announce_upstream(
        self, update: messages.UpstreamUpdate, *, now: float
    ) -> list[Outgoing]:
        """Tell others what a source here says of an upstream."""
        self.upstreams.apply(update)
        return self._finish(now)

    def farewell(self) -> list[Outgoing]:
        """Return the last datagrams of a process that ends.

        They spare the others the suspicion; if they are lost, probing finds
        out.
        """
        own = dataclasses.replace(
            self.members.own, state=messages.MemberState.DEAD
        )
        message = messages.Ping(sequence=0, source=own.entry_vm, members=(own,))
        for target in self._fan_out_targets():
            self._send(target, message)
        return self._take_outgoing()

    # Events.

    def tick(self, *, now: float) -> list[Outgoing]:
        """Let time pass."""
        self._recover_from_freeze(now)
        self._note_isolation(now)
        self.members.expire(now)
        self.shards.expire(now)
        self._judge_probes(now)
        if now >= self._next_period_at:
            self._next_period_at = now + self._timing.period_seconds
            self._start_period(now)
        if now >= self._next_sync_at:
            self._sync(now)
        return self._finish(now)

    def receive(
        self,
        message: messages.Message,
        *,
        sender: types.EntryVmId,
        address: hub.PeerAddress,
        now: float,
    ) -> list[Outgoing]:
        """Take in an authenticated datagram of `sender`."""
        if sender == self.members.own.entry_vm:
            return []
        self._last_heard_at = now
        self._note_isolation(now)
        if isinstance(message, messages.Ping):
            self._take_ping(message, sender, address, now)
        elif isinstance(message, messages.Acknowledge):
            self._take_acknowledge(message, sender, address, now)
        elif isinstance(message, messages.PingRequest):
            self._take_ping_request(message, sender, now)
        return self._finish(now)

    # Time.

    def _recover_from_freeze(self, now: float) -> None:
        """Judge nobody by answers that this process slept through.

        A process that was frozen wakes with all its probes and suspects past
        their deadlines. Without this it would hold its peers for dead before
        it reads a single datagram, and tell everyone so.
        """
        late = now - self._next_period_at
        if late < _FROZEN_PERIODS * self._timing.period_seconds:
            return
        self._pending.clear()
        self.members.postpone(late)
        self._last_heard_at = now
        self._is_joining = True

    def _judge_probes(self, now: float) -> None:
        for probe in self._pending.take_unanswered_directly(now):
            self._ask_helpers(probe)
        for probe in self._pending.take_failed(now):
            if self._is_alive(probe.target):
                self._pending.missed()
            self.members.suspect(probe.target, now=now)

    def _is_alive(self, entry_vm: types.EntryVmId) -> bool:
        view = self.members.view(entry_vm)
        return view is not None and view.state is messages.MemberState.ALIVE

    def _ask_helpers(self, probe: probes.Probe) -> None:
        own_id = self.members.own.entry_vm
        count = self._timing.indirect_members
        for helper in self._schedule.helpers(probe.target, count):
            request = messages.PingRequest(
                sequence=probe.sequence, source=own_id, target=probe.target
            )
            self._send(helper, request)

    def _start_period(self, now: float) -> None:
        self._period += 1
        self._urgent_tokens = min(
            self._timing.urgent_burst, self._urgent_tokens + 1
        )
        self._syncs_left = min(_MAXIMUM_SYNCS, self._syncs_left + 1)
        self._probe(self._schedule.next_in_own_domain(), now)
        bridge = self._timing.bridge_periods_for(len(self.members))
        if self._period % bridge == 0:
            self._probe(self._schedule.next_in_other_domains(), now)
        self._rejoin(now)
        self._send_summaries(now)

    def _probe(self, target: types.EntryVmId | None, now: float) -> None:
        if target is None:
            return
        sequence = self._pending.next_sequence()
        stretch = self._pending.stretch
        self._pending.add(
            probes.Probe(
                sequence=sequence,
                target=target,
                direct_until=now
                + self._timing.direct_timeout_seconds * stretch,
                until=now + self._timing.period_seconds * stretch,
            )
        )
        self._send(
            target, self._composer.ping(target, sequence=sequence, now=now)
        )

    def _sync(self, now: float) -> None:
        """Ask a random member for more of its table.

        The number in a row is bounded and the members vary, so that a fleet
        that starts at once does not overrun its seeds.
        """
        self._next_sync_at = math.inf
        targets = self._schedule.own_domain_sample(
            1
        ) + self._schedule.other_domains_sample(1)
        if not targets or self._syncs_left == 0:
            return
        self._syncs_left -= 1
        target = self._random.choice(targets)
        sequence = self._pending.next_sequence()
        self._send(
            target, self._composer.ping(target, sequence=sequence, now=now)
        )

    def _rejoin(self, now: float) -> None:
        """Probe a dead member and a seed now and then.

        Nobody probes the dead. After a cut that outlasted the suspicion, each
        side would hold the other for dead for ever; so either side tries, and
        the answer carries what is believed of the one who asked.
        """
        is_alone = len(self.members) == 1
        if not is_alone and self._period % self._timing.rejoin_periods:
            return
        dead = self.members.dead
        if dead:
            target = self._random.choice(dead)
            sequence = self._pending.next_sequence()
            self._send(
                target, self._composer.ping(target, sequence=sequence, now=now)
            )
        seeds = self._unknown_seeds()
        count = min(len(seeds), _SEED_PROBES if is_alone else 1)
        for address in self._random.sample(seeds, count):
            sequence = self._pending.next_sequence()
            message = self._composer.ping(None, sequence=sequence, now=now)
            self._outgoing.append(Outgoing(address=address, message=message))

    def _unknown_seeds(self) -> list[hub.PeerAddress]:
        known = {self._own_address}
        for view in self.members.views_by_id().values():
            if view.state is not messages.MemberState.DEAD:
                known.add(
                    hub.PeerAddress(host=view.peer_host, port=view.peer_port)
                )
        seeds = self._seeds | self._added_seeds
        return [address for address in seeds if address not in known]

    def _send_summaries(self, now: float) -> None:
        """Send own shards to one member of each domain that hears of them."""
        if not self.shards.own(now):
            return
        hearers = shards.hearing_domains(
            self.members.own.domain,
            self.members.domains,
            self._timing.summary_domains,
        )
        for domain in hearers:
            others = self.members.others_in(domain)
            if others:
                target = self._random.choice(others)
                self._send(target, self._composer.summaries(now=now))

    # Datagrams.

    def _take_ping(
        self,
        message: messages.Ping,
        sender: types.EntryVmId,
        address: hub.PeerAddress,
        now: float,
    ) -> None:
        if message.source != sender:
            return
        self._take_news(message, sender, now)
        if message.sequence:
            answer = self._composer.acknowledge(
                sender,
                sequence=message.sequence,
                differing=self._differing(message),
                page_after=message.page_after,
                now=now,
            )
            self._outgoing.append(Outgoing(address=address, message=answer))

    def _take_acknowledge(
        self,
        message: messages.Acknowledge,
        sender: types.EntryVmId,
        address: hub.PeerAddress,
        now: float,
    ) -> None:
        if message.source != sender:
            # A helper passes on that the target has answered it.
            self._pending.answered(message.sequence, message.source)
            return
        self._take_news(message, sender, now)
        relay = self._pending.take_relay(message.sequence)
        if relay is not None:
            passed_on = messages.Acknowledge(
                sequence=relay.sequence, source=sender
            )
            self._send(relay.requester, passed_on)
            return
        self._pending.answered(message.sequence, sender)
        self._follow_up(message, sender, address, now)

    def _follow_up(
        self,
        message: messages.Acknowledge,
        sender: types.EntryVmId,
        address: hub.PeerAddress,
        now: float,
    ) -> None:
        """Go on with a member whose table differs much, or that we accuse.

        A member that we hold for dead has answered a rejoining probe: it must
        hear of it to refute it. A process that has just joined or woken asks
        on until its table is whole, instead of learning a part a period.
        """
        if message.page_after:
            self._composer.page_after = message.page_after
        differing = self._differing(message)
        if not differing:
            self._is_joining = False
        # A joined process is not in a hurry over news that is on its way to
        # it anyway, or one join would make the whole fleet ask each other.
        if composer.is_far_apart(differing) or (differing and self._is_joining):
            self._next_sync_at = min(
                self._next_sync_at, now + self._timing.sync_seconds
            )
        if self._composer.is_accused(sender):
            ping = self._composer.ping(sender, sequence=0, now=now)
            self._outgoing.append(Outgoing(address=address, message=ping))

    def _take_ping_request(
        self,
        message: messages.PingRequest,
        sender: types.EntryVmId,
        now: float,
    ) -> None:
        if message.source != sender or not self.members.knows(message.target):
            return
        sequence = self._pending.next_sequence()
        self._pending.add_relay(
            sequence,
            probes.Relay(requester=sender, sequence=message.sequence),
        )
        self._send(
            message.target,
            self._composer.ping(message.target, sequence=sequence, now=now),
        )

    def _take_news(
        self,
        message: messages.Ping | messages.Acknowledge,
        sender: types.EntryVmId,
        now: float,
    ) -> None:
        for update in message.members:
            is_direct = update.entry_vm == sender
            self.members.apply(update, direct=is_direct, now=now)
            if is_direct:
                self._take_configuration(update)
        self._hear_condemned(now)
        for upstream in message.upstreams:
            self.upstreams.apply(upstream)
        for summary in message.shards:
            self.shards.apply(summary, now=now)

    def _hear_condemned(self, now: float) -> None:
        """Tell members at once that somebody holds them for dead.

        After a cut heals, each side brings the verdicts of its own; those
        condemned would otherwise hear of it too late to refute it. The number
        is bounded, so that one datagram does not call forth a flood.
        """
        condemned = self.members.take_condemned()
        for target in condemned[:_CONDEMNED_PROBES]:
            sequence = self._pending.next_sequence()
            self._send(
                target, self._composer.ping(target, sequence=sequence, now=now)
            )

    def _take_configuration(self, update: messages.MemberUpdate) -> None:
        if update.revision > self.members.own.revision:
            self._configurations.append(
                ConfigurationNews(
                    source=update.entry_vm,
                    revision=update.revision,
                    digest=update.digest,
                )
            )

    def _differing(
        self, message: messages.Ping | messages.Acknowledge
    ) -> tuple[int, ...]:
        ours = self._composer.digests()
        return digests.differing_parts(ours, message.digests)

    # News and sending.

    def _finish(self, now: float) -> list[Outgoing]:
        """Queue what is new, send what is urgent, return all datagrams."""
        refutations = self.members.refutations
        if refutations != self._refutations:
            self._refutations = refutations
            self._pending.missed()
        forgotten = self.members.take_forgotten()
        self._composer.forget(forgotten)
        self._forgotten += forgotten
        self._urgent |= self._composer.collect_news()
        self._summaries += self._composer.collect_summaries(now=now)
        if self._urgent and self._urgent_tokens > 0:
            self._urgent = False
            self._urgent_tokens -= 1
            self._fan_out(now)
        return self._take_outgoing()

    def _note_isolation(self, now: float) -> None:
        """Keep accusations to ourselves while we hear nobody.

        Cut off one way, we would get no answers and accuse everyone, and the
        accusations would still arrive: each member would have to refute, and
        each refutation goes to the whole fleet.
        """
        silence = now - self._last_heard_at
        limit = _ISOLATED_PERIODS * self._timing.period_seconds
        self._composer.tells_accusations = silence <= limit

    def _fan_out(self, now: float) -> None:
        for target in self._fan_out_targets():
            self._send(target, self._composer.ping(target, sequence=0, now=now))

    def _fan_out_targets(self) -> list[types.EntryVmId]:
        own_domain = self._timing.fan_out_own_domain
        others = self._timing.fan_out_other_domains
        return self._schedule.own_domain_sample(
            own_domain
        ) + self._schedule.other_domains_sample(others)

    def _send(self, target: types.EntryVmId, message: messages.Message) -> None:
        view = self.members.view(target)
        if view is not None:
            address = hub.PeerAddress(host=view.peer_host, port=view.peer_port)
            self._outgoing.append(Outgoing(address=address, message=message))

    def _take_outgoing(self) -> list[Outgoing]:
        outgoing = self._outgoing
        self._outgoing = []
        return outgoing
