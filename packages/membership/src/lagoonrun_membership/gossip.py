"""The membership protocol: events in, datagrams out, no I/O and no clock.

Failure detection follows SWIM: probes, indirect probes by helpers, suspicion
and refutation. Updates are piggybacked on probes and acknowledgements. Probes
also carry digests of the tables, which reveal updates that got lost.
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
_PAUSED_PERIODS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConfigurationAnnouncement:
    """A member announced a higher revision than the one in force here."""

    source: types.EntryVmId
    revision: types.Revision
    digest: str


class GossipProtocol:
    """The membership protocol as run by one process.

    Parameters
    ----------
    own
        The record of this process.
    seeds
        Addresses to join through.
    timing
        Times and limits.
    rng
        Random generator that chooses targets.
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
        self._rng = rng
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
            datagram_composer=self._composer,
            datagram_outbox=self._outbox,
            seed_list=self._seeds,
            timing=timing,
            rng=rng,
        )
        self._configurations: list[ConfigurationAnnouncement] = []
        self._summaries: list[messages.ShardSummary] = []
        self._forgotten: list[types.EntryVmId] = []
        self._region_of: shards.RegionLookup = _one_region
        self._has_urgent_news = False
        self._urgent_tokens = timing.urgent_burst
        self._next_period_at = now
        self._last_received_at = now
        self._refutations = 0

    # Queries and settings.

    def next_wakeup(self) -> float:
        """Return the clock reading at which `tick` is due."""
        return min(self._next_period_at, self._prober.next_deadline())

    def pop_configurations(self) -> tuple[ConfigurationAnnouncement, ...]:
        """Return and clear the announcements of higher revisions."""
        announcements = tuple(self._configurations)
        self._configurations.clear()
        return announcements

    def pop_summaries(self) -> tuple[messages.ShardSummary, ...]:
        """Return and clear the new summaries of other domains' shards."""
        summaries = tuple(self._summaries)
        self._summaries.clear()
        return summaries

    def pop_forgotten(self) -> tuple[types.EntryVmId, ...]:
        """Return and clear the members that were forgotten."""
        forgotten = tuple(self._forgotten)
        self._forgotten.clear()
        return forgotten

    def add_seeds(self, addresses: Iterable[hub.PeerAddress]) -> None:
        """Add addresses to join through, as listed by the platform."""
        self._seeds.add(addresses)

    def set_regions(self, region_of: shards.RegionLookup) -> None:
        """Set the region of each domain.

        Shard summaries are sent to domains of the same region first.
        """
        self._region_of = region_of

    def round_trip_to(self, domain: types.FailureDomain) -> float | None:
        """Return the measured round-trip time in seconds, None if unknown."""
        return self._prober.round_trips.to(domain)

    # Announcements. Each returns the datagrams to be sent.

    def announce_configuration(
        self, revision: types.Revision, digest: str, *, now: float
    ) -> list[outbox.OutgoingDatagram]:
        """Announce the revision in force at this process."""
        self._has_urgent_news |= revision > self.members.own.revision
        self.members.announce_configuration(revision, digest)
        return self._collect_datagrams(now)

    def announce_leaving(self, *, now: float) -> list[outbox.OutgoingDatagram]:
        """Announce that this process takes no more shards."""
        self.members.announce_leaving()
        self._has_urgent_news = True
        return self._collect_datagrams(now)

    def announce_upstream(
        self, update: messages.UpstreamUpdate, *, now: float
    ) -> list[outbox.OutgoingDatagram]:
        """Announce the state of an upstream as learned by this process."""
        self.upstreams.apply(update)
        return self._collect_datagrams(now)

    def announce_shutdown(self) -> list[outbox.OutgoingDatagram]:
        """Return datagrams that mark this process dead when it stops.

        They save the other members the suspicion timeout. If they are lost,
        probing detects the death.
        """
        own = dataclasses.replace(
            self.members.own, state=messages.MemberState.DEAD
        )
        message = messages.Ping(sequence=0, source=own.entry_vm, members=(own,))
        for target in self._prober.fan_out_targets():
            self._outbox.send(target, message)
        return self._outbox.pop_datagrams()

    # Events.

    def tick(self, *, now: float) -> list[outbox.OutgoingDatagram]:
        """Run everything that is due at `now`."""
        self._recover_from_pause(now)
        self._update_isolation(now)
        self.members.expire(now)
        self.shards.expire(now)
        self._prober.check_deadlines(now)
        if now >= self._next_period_at:
            self._next_period_at = now + self._timing.period_seconds
            self._start_period(now)
        self._prober.sync(now)
        return self._collect_datagrams(now)

    def receive(
        self,
        message: messages.Message,
        *,
        sender: types.EntryVmId,
        address: hub.PeerAddress,
        now: float,
    ) -> list[outbox.OutgoingDatagram]:
        """Process an authenticated datagram from `sender`."""
        if sender == self.members.own.entry_vm:
            return []
        self._last_received_at = now
        self._update_isolation(now)
        if isinstance(message, messages.Ping):
            self._receive_ping(message, sender, address, now)
        elif isinstance(message, messages.Acknowledge):
            self._receive_acknowledge(message, sender, address, now)
        elif isinstance(message, messages.PingRequest):
            self._receive_ping_request(message, sender, now)
        return self._collect_datagrams(now)

    # Time.

    def _recover_from_pause(self, now: float) -> None:
        """Discard pending probes and extend suspicions after a pause.

        A process that was paused resumes with all its probes and suspicions
        past their deadlines. Without this it would mark its peers dead before
        it reads a single datagram, and report them dead to everyone.
        """
        late = now - self._next_period_at
        if late < _PAUSED_PERIODS * self._timing.period_seconds:
            return
        self._prober.restart()
        self.members.postpone_suspicions(late)
        self._last_received_at = now

    def _start_period(self, now: float) -> None:
        self._urgent_tokens = min(
            self._timing.urgent_burst, self._urgent_tokens + 1
        )
        self._prober.start_period(now)
        self._send_summaries(now)

    def _send_summaries(self, now: float) -> None:
        """Send own shards to one member of each receiving domain."""
        if not self.shards.own(now):
            return
        receivers = shards.receiving_domains(
            self.members.own.domain,
            self._live_domains(),
            count=self._timing.summary_domains,
            region_of=self._region_of,
        )
        for domain in receivers:
            others = self.members.others_in(domain)
            if others:
                target = self._rng.choice(others)
                self._outbox.send(target, self._composer.own_summaries(now=now))

    def _live_domains(self) -> tuple[types.FailureDomain, ...]:
        """Return the own domain and those with members that are not dead.

        A domain that is cut off would use up one of the `summary_domains` of
        other domains without effect.
        """
        own = self.members.own.domain
        return tuple(
            domain
            for domain in self.members.records.domains
            if domain == own or self.members.others_in(domain)
        )

    # Datagrams.

    def _receive_ping(
        self,
        message: messages.Ping,
        sender: types.EntryVmId,
        address: hub.PeerAddress,
        now: float,
    ) -> None:
        if message.source != sender:
            return
        self._apply_updates(message, sender, now)
        if message.sequence:
            answer = self._composer.acknowledge(
                sender,
                sequence=message.sequence,
                differing=self._differing(message),
                page_after=message.page_after,
                now=now,
            )
            self._outbox.send_to(address, answer)

    def _receive_acknowledge(
        self,
        message: messages.Acknowledge,
        sender: types.EntryVmId,
        address: hub.PeerAddress,
        now: float,
    ) -> None:
        if message.source != sender:
            # A helper forwards the target's acknowledgement.
            self._prober.record_answer(message.sequence, message.source)
            return
        self._apply_updates(message, sender, now)
        indirect = self._prober.pop_indirect(message.sequence)
        if indirect is not None:
            forwarded = messages.Acknowledge(
                sequence=indirect.sequence, source=sender
            )
            self._outbox.send(indirect.requester, forwarded)
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
        """Schedule a sync if tables differ; ping an accused sender.

        A sender that is marked dead here has answered a rejoin probe. It must
        learn of its state in order to refute it.
        """
        if message.page_after:
            self._composer.page_after = message.page_after
        self._prober.record_difference(self._differing(message), now)
        if self._composer.is_accused(sender):
            ping = self._composer.ping(sender, sequence=0, now=now)
            self._outbox.send_to(address, ping)

    def _receive_ping_request(
        self,
        message: messages.PingRequest,
        sender: types.EntryVmId,
        now: float,
    ) -> None:
        if message.source == sender and self.members.knows(message.target):
            self._prober.probe_for(message, requester=sender, now=now)

    def _apply_updates(
        self,
        message: messages.Ping | messages.Acknowledge,
        sender: types.EntryVmId,
        now: float,
    ) -> None:
        for update in message.members:
            is_direct = update.entry_vm == sender
            self.members.apply(update, direct=is_direct, now=now)
            if is_direct:
                self._record_configuration(update)
        self._prober.notify_disputed(now)
        for upstream in message.upstreams:
            self.upstreams.apply(upstream)
        for summary in message.shards:
            self.shards.apply(summary, now=now)

    def _record_configuration(self, update: messages.MemberUpdate) -> None:
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

    # Sending.

    def _collect_datagrams(self, now: float) -> list[outbox.OutgoingDatagram]:
        """Queue new updates, send urgent ones and return all datagrams."""
        refutations = self.members.refutations
        if refutations != self._refutations:
            self._refutations = refutations
            self._prober.record_own_suspicion()
        forgotten = self.members.pop_forgotten()
        self._composer.forget(forgotten)
        self._forgotten += forgotten
        self._seeds.record_lost(self.members.pop_lost())
        self._has_urgent_news |= self._composer.collect_news()
        self._summaries += self._composer.collect_summaries(now=now)
        if self._has_urgent_news and self._urgent_tokens > 0:
            self._has_urgent_news = False
            self._urgent_tokens -= 1
            self._prober.fan_out(now)
        return self._outbox.pop_datagrams()

    def _update_isolation(self, now: float) -> None:
        """Stop sending accusations while nothing is received.

        If only incoming datagrams are lost, this process gets no answers and
        accuses everyone, while its accusations still arrive. Each member would
        have to refute them, and each refutation goes to the whole fleet.
        """
        silence = now - self._last_received_at
        limit = _ISOLATED_PERIODS * self._timing.period_seconds
        self._composer.sends_accusations = silence <= limit


def _one_region(domain: types.FailureDomain) -> types.Region:
    """Return the same region for every domain."""
    del domain
    return types.Region("")
