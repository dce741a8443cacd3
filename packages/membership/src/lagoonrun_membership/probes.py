"""Order of the probes, and probes without an answer: no I/O, no clock."""

import collections
import dataclasses
import random
from collections.abc import Sequence
from typing import Any

from lagoonrun_core import types
from lagoonrun_membership import members

_MAXIMUM_HEALTH_SCORE = 3.0
_SCORE_PER_ANSWER = 0.1
_MAXIMUM_INDIRECT_PROBES = 1024


@dataclasses.dataclass(kw_only=True)
class Probe:
    """A probe that waits for its answer.

    Parameters
    ----------
    sent_at
        Clock reading in seconds when it was sent.
    direct_deadline
        When other members are asked to probe; None once they were asked.
    deadline
        When the target is suspected.
    """

    sequence: int
    target: types.EntryVmId
    sent_at: float
    direct_deadline: float | None
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class IndirectProbe:
    """A probe made on behalf of another member.

    Parameters
    ----------
    requester
        The member that asked for it.
    sequence
        Sequence of the requester's own probe.
    """

    requester: types.EntryVmId
    sequence: int


class ProbeSchedule:
    """Chooses targets in shuffled rounds.

    Each member of the own domain is probed once per round, which bounds the
    time to detect a failure. Other domains are probed in shuffled rounds of
    domains, with a random member of each.

    Parameters
    ----------
    table
        The members.
    rng
        Random generator that shuffles the rounds.
    """

    def __init__(
        self, *, table: members.MemberTable, rng: random.Random
    ) -> None:
        self._table = table
        self._rng = rng
        self._own_round: list[types.EntryVmId] = []
        self._domain_round: list[types.FailureDomain] = []

    def next_in_own_domain(self) -> types.EntryVmId | None:
        """Return the next target of the own domain, None if it has none."""
        candidates = set(self._table.others_in(self._table.own.domain))
        while candidates:
            if not self._own_round:
                self._own_round = sorted(candidates)
                self._rng.shuffle(self._own_round)
            target = self._own_round.pop()
            if target in candidates:
                return target
        return None

    def next_in_other_domains(self) -> types.EntryVmId | None:
        """Return the next target of another domain, None if there is none."""
        domains = {
            domain
            for domain in self._table.records.domains
            if domain != self._table.own.domain
            and self._table.others_in(domain)
        }
        while domains:
            if not self._domain_round:
                self._domain_round = sorted(domains)
                self._rng.shuffle(self._domain_round)
            domain = self._domain_round.pop()
            if domain in domains:
                return self._rng.choice(self._table.others_in(domain))
        return None

    def helpers(
        self, target: types.EntryVmId, count: int
    ) -> list[types.EntryVmId]:
        """Return members for indirect probes of `target`, own domain first."""
        own_domain = self._table.others_in(self._table.own.domain)
        chosen = self._sample([m for m in own_domain if m != target], count)
        missing = count - len(chosen)
        others = self.other_domains_sample(missing)
        return chosen + [member for member in others if member != target]

    def own_domain_sample(self, count: int) -> list[types.EntryVmId]:
        """Return up to `count` other members of the own domain."""
        return self._sample(
            self._table.others_in(self._table.own.domain), count
        )

    def other_domains_sample(self, count: int) -> list[types.EntryVmId]:
        """Return one member from each of up to `count` other domains."""
        own = self._table.own.domain
        domains = [d for d in self._table.records.domains if d != own]
        chosen = self._sample(domains, count)
        return [
            self._rng.choice(others)
            for domain in chosen
            if (others := self._table.others_in(domain))
        ]

    def _sample(self, candidates: Sequence[str], count: int) -> list[Any]:
        return self._rng.sample(candidates, min(count, len(candidates)))


class PendingProbes:
    """Unanswered probes, and the health score of this process.

    A process that misses many answers is more likely to be at fault itself
    (slow, or cut off in one direction) than all its targets. Its health score
    lengthens its timeouts, so that it accuses others late. A miss counts as
    much as ten answers: at one to one, a slow process would alternate between
    a timeout that is too short and one that is long enough.
    """

    def __init__(self) -> None:
        self._probes_by_sequence: dict[int, Probe] = {}
        self._indirect_by_sequence: collections.OrderedDict[
            int, IndirectProbe
        ] = collections.OrderedDict()
        self._sequence = 0
        self._score = 0.0

    @property
    def timeout_factor(self) -> float:
        """Factor, at least 1, by which timeouts are multiplied."""
        return 1.0 + self._score

    def next_sequence(self) -> int:
        """Return the sequence of a new probe."""
        self._sequence += 1
        return self._sequence

    def add(self, probe: Probe) -> None:
        """Add a probe that awaits its answer."""
        self._probes_by_sequence[probe.sequence] = probe

    def add_indirect(self, sequence: int, indirect: IndirectProbe) -> None:
        """Add an indirect probe under its own sequence."""
        self._indirect_by_sequence[sequence] = indirect
        if len(self._indirect_by_sequence) > _MAXIMUM_INDIRECT_PROBES:
            self._indirect_by_sequence.popitem(last=False)

    def record_answer(
        self, sequence: int, source: types.EntryVmId
    ) -> Probe | None:
        """Remove and return the answered probe, None if there is none."""
        probe = self._probes_by_sequence.get(sequence)
        if probe is None or probe.target != source:
            return None
        del self._probes_by_sequence[sequence]
        self._score = max(0.0, self._score - _SCORE_PER_ANSWER)
        return probe

    def pop_indirect(self, sequence: int) -> IndirectProbe | None:
        """Return and remove an indirect probe."""
        return self._indirect_by_sequence.pop(sequence, None)

    def record_miss(self) -> None:
        """Record an unexpected missing answer or a suspicion of this process."""
        self._score = min(_MAXIMUM_HEALTH_SCORE, self._score + 1)

    def pop_direct_timeouts(self, now: float) -> list[Probe]:
        """Return the probes newly due for indirect probes, each only once."""
        late = [
            probe
            for probe in self._probes_by_sequence.values()
            if probe.direct_deadline is not None
            and now >= probe.direct_deadline
        ]
        for probe in late:
            probe.direct_deadline = None
        return late

    def pop_failed(self, now: float) -> list[Probe]:
        """Return and remove probes without a direct or indirect answer."""
        failed = [
            probe
            for probe in self._probes_by_sequence.values()
            if now >= probe.deadline
        ]
        for probe in failed:
            del self._probes_by_sequence[probe.sequence]
        return failed

    def clear(self) -> None:
        """Discard all pending probes, since answers may have been missed."""
        self._probes_by_sequence.clear()

    def next_deadline(self) -> float:
        """Return the earliest deadline, infinity without probes."""
        return min(
            (
                probe.deadline
                if probe.direct_deadline is None
                else probe.direct_deadline
                for probe in self._probes_by_sequence.values()
            ),
            default=float("inf"),
        )
