"""The membership protocol: events in, datagrams out. Pure: no I/O, no clock.

Probing follows SWIM. News travels on probes and answers; whatever it misses is
found by digests of the tables, which probes carry.
"""

import dataclasses
import random
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_membership import (
    composer,
    digests,
    members,
    outbox,
    prober,
    shards,
    upstreams,
)
from lagoonrun_membership import seeds as seeds_module
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import hub, messages

_ISOLATED_PERIODS = 2
_FROZEN_PERIODS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationAnnouncement:
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
        rng: random.Random,
        now: float,
    ) -> None:
        self.members = members.MemberTable(own=own, timing=timing)
        self.upstreams = upstreams.UpstreamTable()
        self.shards = shards.ShardTable(domain=own.domain, timing=timing)
        self._timing = timing
        self._random = rng
        self._composer = composer.DatagramComposer(
            members=self.members,
            upstreams=self.upstreams,
            shards=self.shards,
            timing=timing,
        )
        self._seeds = seeds_module.SeedList(
            own=hub.PeerAddress(host=own.peer_host, port=own.peer_port),
            configured=seeds,
        )
        self._outbox = outbox.Outbox(table=self.members)
        self._prober = prober.Prober(
            table=self.members,
            datagrams=self._composer,
            sending=self._outbox,
            seed_book=self._seeds,
            timing=timing,
            rng=rng,
        )
        self._configurations: list[ConfigurationAnnouncement] = []
        self._summaries: list[messages.ShardSummary] = []
        self._forgotten: list[types.EntryVmId] = []
        self._region_of: shards.RegionLookup = _one_region
        self._urgent = False
        self._urgent_tokens = timing.urgent_burst
        self._next_period_at = now
        self._last_heard_at = now
        self._refutations = 0

    # What the owner asks.

    def next_wakeup(self) -> float:
        """Return the clock reading at which `tick` is due."""
        return min(self._next_period_at, self._prober.next_deadline())

    def pop_configurations(self) -> tuple[ConfigurationAnnouncement, ...]:
        """Return news of higher revisions, once."""
        news = tuple(self._configurations)
        self._configurations.clear()
        return news

    def pop_summaries(self) -> tuple[messages.ShardSummary, ...]:
        """Return newer summaries of other domains' shards, once."""
        summaries = tuple(self._summaries)
        self._summaries.clear()
        return summaries

    def pop_forgotten(self) -> tuple[types.EntryVmId, ...]:
        """Return members that were forgotten, once."""
        forgotten = tuple(self._forgotten)
        self._forgotten.clear()
        return forgotten

    def add_seeds(self, addresses: Iterable[hub.PeerAddress]) -> None:
        """Join through further addresses, as the platform's list shows."""
        self._seeds.add(addresses)

    def set_regions(self, region_of: shards.RegionLookup) -> None:
        """Tell shards first to domains of the same region."""
        self._region_of = region_of

    def round_trip_to(self, domain: types.FailureDomain) -> float | None:
        """Return the measured round trip in seconds; None if unknown."""
        return self._prober.round_trips.to(domain)

    # What the owner announces. Each returns datagrams to be sent.

    def announce_configuration(
        self, revision: types.Revision, digest: str, *, now: float
    ) -> list[outbox.OutgoingDatagram]:
        """Tell others which revision is in force here."""
        self._urgent |= revision > self.members.own.revision
        self.members.announce_configuration(revision, digest)
        return self._finish(now)

    def announce_leaving(self, *, now: float) -> list[outbox.OutgoingDatagram]:
        """Tell others that this process takes no more shards."""
        self.members.announce_leaving()
        self._urgent = True
        return self._finish(now)

    def announce_upstream(
        self, update: messages.UpstreamUpdate, *, now: float
    ) -> list[outbox.OutgoingDatagram]:
        """Tell others what a source here says of an upstream."""
        self.upstreams.apply(update)
        return self._finish(now)

    def announce_shutdown(self) -> list[outbox.OutgoingDatagram]:
        """Return the last datagrams of a process that ends.

        They spare the others the suspicion; if they are lost, probing finds
        out.
        """
        own = dataclasses.replace(
            self.members.own, state=messages.MemberState.DEAD
        )
        message = messages.Ping(sequence=0, source=own.entry_vm, members=(own,))
        for target in self._prober.fan_out_targets():
            self._outbox.send(target, message)
        return self._outbox.take()

    # Events.

    def tick(self, *, now: float) -> list[outbox.OutgoingDatagram]:
        """Let time pass."""
        self._recover_from_freeze(now)
        self._note_isolation(now)
        self.members.expire(now)
        self.shards.expire(now)
        self._prober.check_deadlines(now)
        if now >= self._next_period_at:
            self._next_period_at = now + self._timing.period_seconds
            self._start_period(now)
        self._prober.sync(now)
        return self._finish(now)

    def receive(
        self,
        message: messages.Message,
        *,
        sender: types.EntryVmId,
        address: hub.PeerAddress,
        now: float,
    ) -> list[outbox.OutgoingDatagram]:
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
        self._prober.restart()
        self.members.postpone_suspicions(late)
        self._last_heard_at = now

    def _start_period(self, now: float) -> None:
        self._urgent_tokens = min(
            self._timing.urgent_burst, self._urgent_tokens + 1
        )
        self._prober.start_period(now)
        self._send_summaries(now)

    def _send_summaries(self, now: float) -> None:
        """Send own shards to one member of each domain that hears of them."""
        if not self.shards.own(now):
            return
        hearers = shards.receiving_domains(
            self.members.own.domain,
            self._live_domains(),
            count=self._timing.summary_domains,
            region_of=self._region_of,
        )
        for domain in hearers:
            others = self.members.others_in(domain)
            if others:
                target = self._random.choice(others)
                self._outbox.send(target, self._composer.own_summaries(now=now))

    def _live_domains(self) -> tuple[types.FailureDomain, ...]:
        """Return the domains that can hear of shards, the own one included.

        One that is cut off would take up a place and hear nothing.
        """
        own = self.members.own.domain
        return tuple(
            domain
            for domain in self.members.records.domains
            if domain == own or self.members.others_in(domain)
        )

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
            self._outbox.send_to(address, answer)

    def _take_acknowledge(
        self,
        message: messages.Acknowledge,
        sender: types.EntryVmId,
        address: hub.PeerAddress,
        now: float,
    ) -> None:
        if message.source != sender:
            # A helper passes on that the target has answered it.
            self._prober.record_answer(message.sequence, message.source)
            return
        self._take_news(message, sender, now)
        relay = self._prober.pop_indirect(message.sequence)
        if relay is not None:
            passed_on = messages.Acknowledge(
                sequence=relay.sequence, source=sender
            )
            self._outbox.send(relay.requester, passed_on)
            return
        self._prober.record_direct_answer(message.sequence, sender, now)
        self._follow_up(message, sender, address, now)

    def _follow_up(
        self,
        message: messages.Acknowledge,
        sender: types.EntryVmId,
        address: hub.PeerAddress,
        now: float,
    ) -> None:
        """Go on with a member whose table differs, or that we accuse.

        A member that we hold for dead has answered a rejoining probe: it must
        hear of it to refute it.
        """
        if message.page_after:
            self._composer.page_after = message.page_after
        self._prober.record_difference(self._differing(message), now)
        if self._composer.is_accused(sender):
            ping = self._composer.ping(sender, sequence=0, now=now)
            self._outbox.send_to(address, ping)

    def _take_ping_request(
        self,
        message: messages.PingRequest,
        sender: types.EntryVmId,
        now: float,
    ) -> None:
        if message.source == sender and self.members.knows(message.target):
            self._prober.probe_for(message, requester=sender, now=now)

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
        self._prober.notify_disputed(now)
        for upstream in message.upstreams:
            self.upstreams.apply(upstream)
        for summary in message.shards:
            self.shards.apply(summary, now=now)

    def _take_configuration(self, update: messages.MemberUpdate) -> None:
        if update.revision > self.members.own.revision:
            self._configurations.append(
                ConfigurationAnnouncement(
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

    def _finish(self, now: float) -> list[outbox.OutgoingDatagram]:
        """Queue what is new, send what is urgent, return all datagrams."""
        refutations = self.members.refutations
        if refutations != self._refutations:
            self._refutations = refutations
            self._prober.record_own_suspicion()
        forgotten = self.members.pop_forgotten()
        self._composer.forget(forgotten)
        self._forgotten += forgotten
        self._seeds.record_lost(self.members.pop_lost())
        self._urgent |= self._composer.collect_news()
        self._summaries += self._composer.collect_summaries(now=now)
        if self._urgent and self._urgent_tokens > 0:
            self._urgent = False
            self._urgent_tokens -= 1
            self._prober.fan_out(now)
        return self._outbox.take()

    def _note_isolation(self, now: float) -> None:
        """Keep accusations to ourselves while we hear nobody.

        Cut off one way, we would get no answers and accuse everyone, and the
        accusations would still arrive: each member would have to refute, and
        each refutation goes to the whole fleet.
        """
        silence = now - self._last_heard_at
        limit = _ISOLATED_PERIODS * self._timing.period_seconds
        self._composer.sends_accusations = silence <= limit


def _one_region(domain: types.FailureDomain) -> types.Region:
    """Return the same region for every domain."""
    del domain
    return types.Region("")
