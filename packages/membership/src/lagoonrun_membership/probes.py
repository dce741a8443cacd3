"""Which member is probed next, and which probes are not answered yet. Pure."""

import collections
import dataclasses
import random
from collections.abc import Sequence
from typing import Any

from lagoonrun_core import types
from lagoonrun_membership import members

_MAXIMUM_HEALTH_SCORE = 3.0
_FORGIVEN_BY_ANSWER = 0.1
_MAXIMUM_RELAYS = 1024


@dataclasses.dataclass(kw_only=True)
class Probe:
    """A probe that waits for its answer.

    Parameters
    ----------
    sent_at
        When it was sent.
    direct_until
        When other members are asked to probe; None once they are.
    until
        When the target is suspected.
    """

    sequence: int
    target: types.EntryVmId
    sent_at: float
    direct_deadline: float | None
    deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class IndirectProbe:
    """A probe made in another member's stead."""

    requester: types.EntryVmId
    sequence: int


class ProbeSchedule:
    """Choose targets in shuffled rounds.

    Every member of the own domain is probed once a round, which bounds the
    time to detect a failure. Other domains are visited in shuffled rounds of
    domains, with a random member of each.

    Parameters
    ----------
    table
        The members.
    random_source
        Shuffles the rounds.
    """

    def __init__(
        self, *, table: members.MemberTable, rng: random.Random
    ) -> None:
        self._table = table
        self._random = rng
        self._own_round: list[types.EntryVmId] = []
        self._domain_round: list[types.FailureDomain] = []

    def next_in_own_domain(self) -> types.EntryVmId | None:
        """Return the next target of the own domain, or None if alone."""
        candidates = set(self._table.others_in(self._table.own.domain))
        while candidates:
            if not self._own_round:
                self._own_round = sorted(candidates)
                self._random.shuffle(self._own_round)
            target = self._own_round.pop()
            if target in candidates:
                return target
        return None

    def next_in_other_domains(self) -> types.EntryVmId | None:
        """Return the next target outside, or None if there is none."""
        domains = {
            domain
            for domain in self._table.records.domains
            if domain != self._table.own.domain
            and self._table.others_in(domain)
        }
        while domains:
            if not self._domain_round:
                self._domain_round = sorted(domains)
                self._random.shuffle(self._domain_round)
            domain = self._domain_round.pop()
            if domain in domains:
                return self._random.choice(self._table.others_in(domain))
        return None

    def helpers(
        self, target: types.EntryVmId, count: int
    ) -> list[types.EntryVmId]:
        """Return members to probe `target` in our stead, own domain first."""
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
        """Return one member each of up to `count` other domains."""
        own = self._table.own.domain
        domains = [d for d in self._table.records.domains if d != own]
        chosen = self._sample(domains, count)
        return [
            self._random.choice(others)
            for domain in chosen
            if (others := self._table.others_in(domain))
        ]

    def _sample(self, candidates: Sequence[str], count: int) -> list[Any]:
        return self._random.sample(candidates, min(count, len(candidates)))


class PendingProbes:
    """Probes that wait for answers, and how well this process keeps up.

    A process that misses many answers is itself more likely at fault (slow,
    or cut off one way) than all its targets. Its health score stretches its
    timeouts, so that it accuses others late. A miss counts as much as ten
    answers: with one to one, a slow process would go back and forth between
    a timeout that is too short and one that is long enough.
    """

    def __init__(self) -> None:
        self._probes_by_sequence: dict[int, Probe] = {}
        self._relays_by_sequence: collections.OrderedDict[
            int, IndirectProbe
        ] = collections.OrderedDict()
        self._sequence = 0
        self._score = 0.0

    @property
    def timeout_factor(self) -> float:
        """Factor by which timeouts are stretched, from 1."""
        return 1.0 + self._score

    def next_sequence(self) -> int:
        """Return a new number for a probe."""
        self._sequence += 1
        return self._sequence

    def add(self, probe: Probe) -> None:
        """Wait for an answer."""
        self._probes_by_sequence[probe.sequence] = probe

    def add_indirect(self, sequence: int, relay: IndirectProbe) -> None:
        """Remember for whom a probe was made."""
        self._relays_by_sequence[sequence] = relay
        if len(self._relays_by_sequence) > _MAXIMUM_RELAYS:
            self._relays_by_sequence.popitem(last=False)

    def record_answer(
        self, sequence: int, source: types.EntryVmId
    ) -> Probe | None:
        """Take an answer; return the probe if it was waited for."""
        probe = self._probes_by_sequence.get(sequence)
        if probe is None or probe.target != source:
            return None
        del self._probes_by_sequence[sequence]
        self._score = max(0.0, self._score - _FORGIVEN_BY_ANSWER)
        return probe

    def pop_indirect(self, sequence: int) -> IndirectProbe | None:
        """Return for whom the probe was made, once."""
        return self._relays_by_sequence.pop(sequence, None)

    def record_miss(self) -> None:
        """Count an unexpected failure, or a suspicion of this process."""
        self._score = min(_MAXIMUM_HEALTH_SCORE, self._score + 1)

    def pop_direct_timeouts(self, now: float) -> list[Probe]:
        """Return probes for which others are to be asked, once each."""
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
        """Return probes that nobody could get an answer to, once each."""
        failed = [
            probe
            for probe in self._probes_by_sequence.values()
            if now >= probe.deadline
        ]
        for probe in failed:
            del self._probes_by_sequence[probe.sequence]
        return failed

    def clear(self) -> None:
        """Forget all probes, whose answers may have been missed."""
        self._probes_by_sequence.clear()

    def next_deadline(self) -> float:
        """Return when something has to be done, or infinity."""
        return min(
            (
                probe.deadline
                if probe.direct_deadline is None
                else probe.direct_deadline
                for probe in self._probes_by_sequence.values()
            ),
            default=float("inf"),
        )
