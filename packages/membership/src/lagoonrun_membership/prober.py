"""Probing of members and handling of missing answers: no I/O, no clock.

Each period, a process probes one member of its own domain and, at a rate that
falls with the fleet's size, one of another domain. Every few periods it probes
a dead member and a seed. A process whose table is incomplete requests more of
it without waiting for the next period.
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
_MAXIMUM_DISPUTED_PROBES = 4


class Prober:
    """Sends probes and suspects members that don't answer.

    Parameters
    ----------
    table
        The members.
    datagram_composer
        Composes the probes.
    datagram_outbox
        Collects the datagrams to be sent.
    seed_list
        Addresses to join through.
    timing
        Periods and timeouts.
    rng
        Random generator that chooses targets.

    Attributes
    ----------
    round_trips
        Measured round-trip times to domains.
    """

    def __init__(
        self,
        *,
        table: members.MemberTable,
        datagram_composer: composer.DatagramComposer,
        datagram_outbox: outbox.Outbox,
        seed_list: seeds.SeedList,
        timing: timings.Timing,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._composer = datagram_composer
        self._outbox = datagram_outbox
        self._seeds = seed_list
        self._timing = timing
        self._rng = rng
        self._schedule = probes.ProbeSchedule(table=table, rng=rng)
        self._pending = probes.PendingProbes()
        self.round_trips = round_trips.RoundTrips()
        self._syncs_left = _MAXIMUM_SYNCS
        self._next_sync_at = math.inf
        self._is_joining = True
        self._period = 0

    def next_deadline(self) -> float:
        """Return the clock reading at which a deadline or sync is due next."""
        return min(self._next_sync_at, self._pending.next_deadline())

    def restart(self) -> None:
        """Discard pending probes after a pause and sync like a joiner."""
        self._pending.clear()
        self._is_joining = True

    def start_period(self, now: float) -> None:
        """Send the probes of one period."""
        self._period += 1
        self._syncs_left = min(_MAXIMUM_SYNCS, self._syncs_left + 1)
        self._probe(self._schedule.next_in_own_domain(), now)
        interval = self._timing.cross_domain_periods_for(len(self._table))
        if self._period % interval == 0:
            self._probe(self._schedule.next_in_other_domains(), now)
        self._rejoin(now)

    def record_own_suspicion(self) -> None:
        """Record that others suspected this process."""
        self._pending.record_miss()

    def record_answer(self, sequence: int, source: types.EntryVmId) -> None:
        """Record that a helper received an answer to an own probe."""
        self._pending.record_answer(sequence, source)

    def record_direct_answer(
        self, sequence: int, source: types.EntryVmId, now: float
    ) -> None:
        """Record a target's own answer and the round-trip time to it."""
        probe = self._pending.record_answer(sequence, source)
        view = self._table.view(source)
        if probe is not None and view is not None:
            self.round_trips.record(view.domain, now - probe.sent_at)

    def pop_indirect(self, sequence: int) -> probes.IndirectProbe | None:
        """Return and remove the request behind an indirect probe."""
        return self._pending.pop_indirect(sequence)

    def probe_for(
        self,
        message: messages.PingRequest,
        *,
        requester: types.EntryVmId,
        now: float,
    ) -> None:
        """Probe a member on behalf of `requester`."""
        sequence = self._send_ping(message.target, now)
        self._pending.add_indirect(
            sequence,
            probes.IndirectProbe(
                requester=requester, sequence=message.sequence
            ),
        )

    def notify_disputed(self, now: float) -> None:
        """Probe members at once that others report dead.

        After a network partition heals, each side reports members of the
        other dead. Without a probe, those members would learn of the report
        too late to refute it. The number is limited so that one datagram
        doesn't cause a burst of probes.
        """
        disputed = self._table.pop_disputed()
        for target in disputed[:_MAXIMUM_DISPUTED_PROBES]:
            self._send_ping(target, now)

    def record_difference(self, differing: tuple[int, ...], now: float) -> None:
        """Schedule a sync if this process lacks much of the table.

        A process that has just joined or resumed syncs until its table is
        complete, instead of getting one part of it per period. After that, it
        doesn't sync for a few missing updates, which reach it anyway;
        otherwise one join would make the whole fleet sync.
        """
        if not differing:
            self._is_joining = False
        if composer.is_diverged(differing) or (differing and self._is_joining):
            self._next_sync_at = min(
                self._next_sync_at, now + self._timing.sync_interval_seconds
            )

    def fan_out(self, now: float) -> None:
        """Send urgent updates at once to a sample of the members."""
        for target in self.fan_out_targets():
            self._outbox.send(
                target, self._composer.ping(target, sequence=0, now=now)
            )

    def fan_out_targets(self) -> list[types.EntryVmId]:
        """Return a random sample of members to send urgent updates to."""
        own_domain = self._timing.fan_out_own_domain
        others = self._timing.fan_out_other_domains
        return self._schedule.own_domain_sample(
            own_domain
        ) + self._schedule.other_domains_sample(others)

    def check_deadlines(self, now: float) -> None:
        """Request indirect probes, or suspect targets that failed those too."""
        for probe in self._pending.pop_direct_timeouts(now):
            self._ask_helpers(probe)
        for probe in self._pending.pop_failed(now):
            if self._is_alive(probe.target):
                self._pending.record_miss()
            self._table.suspect(probe.target, now=now)

    def sync(self, now: float) -> None:
        """Request more of the table from a random member.

        The number of consecutive syncs is limited and the members vary, so
        that a whole fleet starting at once doesn't overload its seeds.
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
        target = self._rng.choice(targets)
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
        factor = self._pending.timeout_factor
        self._pending.add(
            probes.Probe(
                sequence=sequence,
                target=target,
                sent_at=now,
                direct_deadline=now
                + self._timing.direct_timeout_seconds * factor,
                deadline=now + self._timing.period_seconds * factor,
            )
        )

    def _rejoin(self, now: float) -> None:
        """Probe a dead member and a seed every few periods.

        Dead members are not probed otherwise. After a network partition that
        outlasted the suspicion timeout, each side would consider the other
        dead forever. With these probes, either side finds the other again, and
        the answer contains the record of this process that it has to refute.
        """
        is_alone = len(self._table) == 1
        if not is_alone and self._period % self._timing.rejoin_periods:
            return
        dead = self._table.dead
        if dead:
            target = self._rng.choice(dead)
            self._send_ping(target, now)
        addresses = self._seeds.addresses_to_try(self._table)
        count = min(len(addresses), _SEED_PROBES if is_alone else 1)
        for address in self._rng.sample(addresses, count):
            sequence = self._pending.next_sequence()
            message = self._composer.ping(None, sequence=sequence, now=now)
            self._outbox.send_to(address, message)

    def _send_ping(self, target: types.EntryVmId, now: float) -> int:
        """Send a probe that requests an answer; return its sequence."""
        sequence = self._pending.next_sequence()
        self._outbox.send(
            target, self._composer.ping(target, sequence=sequence, now=now)
        )
        return sequence
