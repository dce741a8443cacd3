"""Whom this process probes, and what it makes of missing answers. Pure.

Each period it probes one member of its own domain, and at a rate that falls
with the fleet's size one of another domain. Now and then it tries the dead and
the seeds. A process that lacks much of the table asks on at once.
"""

import math
import random

from lagoonrun_core import types
from lagoonrun_membership import (
    composer,
    members,
    outbox,
    probes,
    round_trips,
    seeds,
)
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import messages

_MAXIMUM_SYNCS = 64
_SEED_PROBES = 2
_CONDEMNED_PROBES = 4


class Prober:
    """Send probes and judge them.

    Parameters
    ----------
    table
        The members.
    datagrams
        Fills the probes.
    sending
        Takes the probes.
    seed_book
        Addresses to join through.
    timing
        Periods and timeouts.
    random_source
        Chooses targets.

    Attributes
    ----------
    round_trips
        To other domains, as the answers show.
    """

    def __init__(
        self,
        *,
        table: members.MemberTable,
        datagrams: composer.DatagramComposer,
        sending: outbox.Outbox,
        seed_book: seeds.SeedList,
        timing: timings.Timing,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._composer = datagrams
        self._outbox = sending
        self._seeds = seed_book
        self._timing = timing
        self._random = rng
        self._schedule = probes.ProbeSchedule(table=table, rng=rng)
        self._pending = probes.PendingProbes()
        self.round_trips = round_trips.RoundTrips()
        self._syncs_left = _MAXIMUM_SYNCS
        self._next_sync_at = math.inf
        self._is_joining = True
        self._period = 0

    def next_deadline(self) -> float:
        """Return when `judge` or `sync` has something to do."""
        return min(self._next_sync_at, self._pending.next_deadline())

    def restart(self) -> None:
        """Forget probes whose answers were slept through, and catch up."""
        self._pending.clear()
        self._is_joining = True

    def start_period(self, now: float) -> None:
        """Send the probes of one period."""
        self._period += 1
        self._syncs_left = min(_MAXIMUM_SYNCS, self._syncs_left + 1)
        self._probe(self._schedule.next_in_own_domain(), now)
        bridge = self._timing.cross_domain_periods_for(len(self._table))
        if self._period % bridge == 0:
            self._probe(self._schedule.next_in_other_domains(), now)
        self._rejoin(now)

    def record_own_suspicion(self) -> None:
        """Count that others suspected this process."""
        self._pending.record_miss()

    def record_answer(self, sequence: int, source: types.EntryVmId) -> None:
        """Take in that a helper had an answer to an own probe."""
        self._pending.record_answer(sequence, source)

    def record_direct_answer(
        self, sequence: int, source: types.EntryVmId, now: float
    ) -> None:
        """Take in a target's own answer, which measures the way to it."""
        probe = self._pending.record_answer(sequence, source)
        view = self._table.view(source)
        if probe is not None and view is not None:
            self.round_trips.record(view.domain, now - probe.sent_at)

    def pop_indirect(self, sequence: int) -> probes.IndirectProbe | None:
        """Return for whom a probe was made, once."""
        return self._pending.pop_indirect(sequence)

    def probe_for(
        self,
        message: messages.PingRequest,
        *,
        requester: types.EntryVmId,
        now: float,
    ) -> None:
        """Probe a member in another one's stead."""
        sequence = self._send_ping(message.target, now)
        self._pending.add_indirect(
            sequence,
            probes.IndirectProbe(
                requester=requester, sequence=message.sequence
            ),
        )

    def notify_disputed(self, now: float) -> None:
        """Tell members at once that somebody holds them for dead.

        After a cut heals, each side brings the verdicts of its own; those
        condemned would otherwise hear of it too late to refute it. The number
        is bounded, so that one datagram does not call forth a flood.
        """
        condemned = self._table.pop_disputed()
        for target in condemned[:_CONDEMNED_PROBES]:
            self._send_ping(target, now)

    def record_difference(self, differing: tuple[int, ...], now: float) -> None:
        """Ask on soon if this process lacks much of the table.

        A process that has just joined or woken asks on until its table is
        whole, instead of learning a part a period. A joined one is not in a
        hurry over news that is on its way to it anyway, or one join would
        make the whole fleet ask each other.
        """
        if not differing:
            self._is_joining = False
        if composer.is_diverged(differing) or (differing and self._is_joining):
            self._next_sync_at = min(
                self._next_sync_at, now + self._timing.sync_interval_seconds
            )

    def fan_out(self, now: float) -> None:
        """Send news at once to some members."""
        for target in self.fan_out_targets():
            self._outbox.send(
                target, self._composer.ping(target, sequence=0, now=now)
            )

    def fan_out_targets(self) -> list[types.EntryVmId]:
        """Return members that urgent news is sent to."""
        own_domain = self._timing.fan_out_own_domain
        others = self._timing.fan_out_other_domains
        return self._schedule.own_domain_sample(
            own_domain
        ) + self._schedule.other_domains_sample(others)

    def check_deadlines(self, now: float) -> None:
        """Ask others about unanswered probes, and suspect who failed them."""
        for probe in self._pending.pop_direct_timeouts(now):
            self._ask_helpers(probe)
        for probe in self._pending.pop_failed(now):
            if self._is_alive(probe.target):
                self._pending.record_miss()
            self._table.suspect(probe.target, now=now)

    def sync(self, now: float) -> None:
        """Ask a random member for more of its table.

        The number in a row is bounded and the members vary, so that a fleet
        that starts at once does not overrun its seeds.
        """
        if now < self._next_sync_at:
            return
        self._next_sync_at = math.inf
        targets = self._schedule.own_domain_sample(
            1
        ) + self._schedule.other_domains_sample(1)
        if not targets or self._syncs_left == 0:
            return
        self._syncs_left -= 1
        target = self._random.choice(targets)
        self._send_ping(target, now)

    def _is_alive(self, entry_vm: types.EntryVmId) -> bool:
        view = self._table.view(entry_vm)
        return view is not None and view.state is messages.MemberState.ALIVE

    def _ask_helpers(self, probe: probes.Probe) -> None:
        own_id = self._table.own.entry_vm
        count = self._timing.indirect_members
        for helper in self._schedule.helpers(probe.target, count):
            request = messages.PingRequest(
                sequence=probe.sequence, source=own_id, target=probe.target
            )
            self._outbox.send(helper, request)

    def _probe(self, target: types.EntryVmId | None, now: float) -> None:
        if target is None:
            return
        sequence = self._send_ping(target, now)
        stretch = self._pending.timeout_factor
        self._pending.add(
            probes.Probe(
                sequence=sequence,
                target=target,
                sent_at=now,
                direct_deadline=now
                + self._timing.direct_timeout_seconds * stretch,
                deadline=now + self._timing.period_seconds * stretch,
            )
        )

    def _rejoin(self, now: float) -> None:
        """Probe a dead member and a seed now and then.

        Nobody probes the dead. After a cut that outlasted the suspicion, each
        side would hold the other for dead for ever; so either side tries, and
        the answer carries what is believed of the one who asked.
        """
        is_alone = len(self._table) == 1
        if not is_alone and self._period % self._timing.rejoin_periods:
            return
        dead = self._table.dead
        if dead:
            target = self._random.choice(dead)
            self._send_ping(target, now)
        unknown = self._seeds.addresses_to_try(self._table)
        count = min(len(unknown), _SEED_PROBES if is_alone else 1)
        for address in self._random.sample(unknown, count):
            sequence = self._pending.next_sequence()
            message = self._composer.ping(None, sequence=sequence, now=now)
            self._outbox.send_to(address, message)

    def _send_ping(self, target: types.EntryVmId, now: float) -> int:
        """Send a probe that is to be answered; return its number."""
        sequence = self._pending.next_sequence()
        self._outbox.send(
            target, self._composer.ping(target, sequence=sequence, now=now)
        )
        return sequence
