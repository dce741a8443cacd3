"""Which requests and prompt parts crash upstreams, decided without I/O.

A suspect had just come to each upstream that crashed under it, while upstreams
of its pool run much longer without a crash. So the decision compares two times:
for how long it had run at the crashed upstreams, and for how long upstreams of
the pool served meanwhile. Their ratio is the chance that it is there at a crash
by coincidence, and a crash counts again only if the suspect came there after the
one before.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Protocol

from lagoonrun_router import crash_records
from lagoonrun_router import running_requests as running

MIN_CRASHES = 3
"""Crashes of a cause, if no answer had begun at any of them: the run of a
bystander is usually under way when its upstream crashes."""

MIN_CRASHES_ANY = 4
"""Crashes of a cause if answers had begun at some of them, or if others explain
them and it was never answered."""

MAX_COINCIDENCE = 1e-4
"""Chance of a suspect's crashes by coincidence up to which it is a cause. A fleet
has some hundred suspects at a time."""

LATE_CRASHES = 5
LATE_CRASHES_OF_REQUEST = 3
LATE_SECONDS = 1.5
"""Crashes, and time after them, from which the best suspect is a cause on weaker
evidence: entry VMs must block a cause three seconds after the fifth crash under a
part, or the third of a request."""

_MAX_LATE_COINCIDENCE = 0.1
_MAX_LATE_COINCIDENCE_OF_REQUEST = 0.01
_MAX_SHARE = 0.25
_MAX_LATE_SHARE = 0.75
"""Share of the upstreams' time, on strong and on weaker evidence, above which a
suspect runs almost everywhere, so that its presence at a crash shows nothing."""

_MAX_POPULAR_SHARE = 0.2
"""Weaker evidence is not enough to refuse more than a fifth of the requests."""

_BRIEF_SECONDS = 0.5
"""Mean time at the crashed upstreams up to which a request that alone was at most
crashes of a pool is a cause, whatever its share of the time: where it is sent
again at once, upstreams live hardly longer than it runs."""

_MIN_SHARE = 1e-9

_RIVAL_RATIO = 100.0
"""Ratio of the coincidences of two suspects within which either may be the cause
of the crashes that they share. Requests that a crash breaks are sent again at
the same moment as the cause, and meet it again."""

_UNRELATED_SHARE = 0.2
"""Chance that a crash beside a cause has another reason. Of two suspects at the
same crashes, the likelier cause is the one that was at more of the others."""

MIN_SHARED_CRASHES = 2
"""Crashes from which a suspect bears on the decision about others."""

_MAX_PRESENCE_RATIO = 3.0
"""Ratio of the times for which two suspects had run at crashes up to which either
may be the cause: what arrives after the cause has run for less."""

_SHORT_SECONDS = 0.1
"""Time for which two suspects may have run in any case."""

_MIN_DOMINATED_SHARE = 2.0 / 3.0
"""Share of a part's crashes that several parts explain, which ran there with it
for half the time, so that one of these may be the cause each time."""

_MIN_SAMPLED_ANSWERS = 16
"""Answered requests from which it means something that a suspect has no answer:
an entry VM that has just started knows of none."""

_MAX_CANDIDATES = 64
"""Maximum number of suspects that are compared with each other, those with the
strongest evidence. Callers may make up parts, and each comparison takes time."""

_RESOLUTION_SECONDS = 0.005
"""Resolution of the time for which a request had run."""

Cause = frozenset[crash_records.Suspect]
"""What ran in the same requests at each crash: with a request, only it is
blocked, otherwise all requests that have these parts."""

OpenRecords = Mapping[
    crash_records.Suspect,
    Mapping[running.UpstreamInstance, Sequence[crash_records.CrashRecord]],
]
"""Records since the last answer, by suspect and crash."""


class Observations(Protocol):
    """What the entry VM knows besides the crashes."""

    def uptime_seconds(
        self,
        instances: Collection[running.UpstreamInstance],
        *,
        since: float,
        until: float,
    ) -> float:
        """Return the upstream seconds of the pools of some upstreams."""

    @property
    def sampled_answers(self) -> int:
        """Number of the last answered requests that are known."""

    def count_answers(self, suspect: crash_records.Suspect) -> int:
        """Return how many of the last answered requests have a part."""

    def share_of_answers(self, suspect: crash_records.Suspect) -> float:
        """Return the share of the answered requests that have a part."""

    def was_answered(self, suspect: crash_records.Suspect) -> bool:
        """Return whether a suspect was answered lately."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Weight:
    """The evidence against a suspect.

    Parameters
    ----------
    instances
        Crashed upstreams, the newest last.
    crashes
        Crashes that count: the suspect came there after the one before.
    requests
        Requests that ran at them, at most as many; for a part, more than one.
    share
        Share of the upstreams' time for which it ran.
    silent
        Whether no answer had begun at any of them.
    late_at
        Time from which weaker evidence is enough; None before.
    """

    suspect: crash_records.Suspect
    instances: tuple[running.UpstreamInstance, ...]
    crashes: int
    requests: int
    share: float
    silent: bool
    late_at: float | None

    @property
    def coincidence(self) -> float:
        """Chance that it was there at each of the crashes by coincidence."""
        return 10.0 ** _strength(self)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """A cause and the evidence against it."""

    cause: Cause
    weight: Weight


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Presence:
    """A suspect at an upstream that crashed."""

    instance: running.UpstreamInstance
    at: float
    records: Sequence[crash_records.CrashRecord]

    @property
    def order(self) -> tuple[float, str]:
        return (self.at, str(self.instance.upstream))

    @property
    def youngest_at(self) -> float:
        """Begin of the run that began last."""
        return max(one.begun_at for one in self.records)

    @property
    def oldest_at(self) -> float:
        """Begin of the run that began first."""
        return min(one.begun_at for one in self.records)

    def since(self, start: float) -> "_Presence | None":
        """Return the presence of runs that began since then; None for none."""
        later = [one for one in self.records if one.begun_at >= start]
        return dataclasses.replace(self, records=later) if later else None


class CauseSearch:
    """Finds the causes of some crashes.

    Parameters
    ----------
    open_records
        Records of the suspects.
    observations
        What else is known.
    now
        Monotonic time.
    """

    def __init__(
        self,
        *,
        open_records: OpenRecords,
        observations: Observations,
        now: float,
    ) -> None:
        self._open_records = open_records
        self._observations = observations
        self._now = now
        self._crashed_at = _crash_times(open_records)
        self._parts = frozenset(
            part
            for by_instance in open_records.values()
            for records in by_instance.values()
            for record in records
            for part in record.parts
        )
        # Crashes that a cause explains. Those of a single request still count
        # once against the parts that it has.
        self._explained: set[running.UpstreamInstance] = set()
        self._request_by_explained: dict[
            running.UpstreamInstance, crash_records.Suspect
        ] = {}
        self._presence_left_by_part: dict[crash_records.Suspect, float] = {}
        self._presence_by_unanswered = {
            part: self._mean_presence(records, tuple(records))
            for part in self._parts
            if len(records := open_records.get(part, {})) >= MIN_SHARED_CRASHES
            and not observations.was_answered(part)
        }
        self._requests_by_instance: dict[
            running.UpstreamInstance, set[crash_records.Suspect]
        ] = {}
        for suspect, by_instance in open_records.items():
            if suspect not in self._parts:
                for instance in by_instance:
                    self._requests_by_instance.setdefault(instance, set()).add(
                        suspect
                    )
        self._weights = {
            suspect: weight
            for suspect in open_records
            if (weight := self._weigh(suspect)) is not None
        }

    @property
    def weights(self) -> Iterable[Weight]:
        """The evidence against all suspects with enough crashes."""
        return self._weights.values()

    def find(self) -> tuple[Verdict, ...]:
        """Return the causes, those with the strongest evidence first."""
        own_weights = dict(self._weights)
        found: list[Verdict] = []
        undecided: set[crash_records.Suspect] = set()
        candidates = self._candidates()
        ranks = self._ranks(candidates)
        while True:
            decidable = [
                one for one in candidates if one.suspect not in undecided
            ]
            if not decidable:
                break
            best = min(decidable, key=lambda one: ranks[one.suspect])
            cause = self._cause_of(best)
            rivals = self._rivals(best, cause, candidates, ranks)
            if rivals and not self._is_late(best):
                undecided.update(cause, (one.suspect for one in rivals))
                continue
            verdict = Verdict(cause=cause, weight=best)
            found.append(verdict)
            self._explain(verdict)
            candidates = self._candidates()
            ranks = self._ranks(candidates)
        found.extend(self._hidden(own_weights, found))
        return tuple(found)

    # Evidence.

    def _weigh(self, suspect: crash_records.Suspect) -> Weight | None:
        """Return the evidence; None for too few crashes that count."""
        presences = sorted(self._presences(suspect), key=lambda one: one.order)
        if len(presences) < MIN_CRASHES:
            return None
        first = presences[0]
        start = first.youngest_at - _RESOLUTION_SECONDS
        presences = [
            later
            for one in presences
            if (later := one.since(start)) is not None
        ]
        counted = _one_after_the_other(presences)
        crashes = len(counted)
        requests = crashes
        if self._is_part(suspect):
            requests = min(crashes, _count_requests(presences))
            if requests < 2:
                return None
        if crashes < MIN_CRASHES:
            return None
        instances = tuple(one.instance for one in presences)
        ran_seconds = sum(
            max(0.0, one.at - one.oldest_at) + _RESOLUTION_SECONDS
            for one in presences
        )
        uptime_seconds = self._observations.uptime_seconds(
            instances, since=start, until=presences[-1].at
        )
        late_crashes = (
            LATE_CRASHES if self._is_part(suspect) else LATE_CRASHES_OF_REQUEST
        )
        return Weight(
            suspect=suspect,
            instances=instances,
            crashes=crashes,
            requests=requests,
            share=min(1.0, ran_seconds / max(uptime_seconds, ran_seconds)),
            silent=all(
                any(record.silent for record in one.records) for one in counted
            ),
            late_at=counted[late_crashes - 1].at + LATE_SECONDS
            if crashes >= late_crashes
            else None,
        )

    def _presences(self, suspect: crash_records.Suspect) -> Iterable[_Presence]:
        """Return where the suspect ran, but for explained crashes."""
        for instance, records in self._open_records[suspect].items():
            if instance in self._explained:
                request = self._request_by_explained.get(instance)
                records = [
                    one
                    for one in records
                    if one.request == request and suspect != request
                ]
            if records:
                yield _Presence(
                    instance=instance,
                    at=self._crashed_at[instance],
                    records=records,
                )

    # Decision.

    def _candidates(self) -> list[Weight]:
        """Return the likeliest suspects with enough evidence."""
        ascending = sorted(
            (one for one in self._weights.values() if self._is_enough(one)),
            key=lambda one: (_strength(one), one.suspect),
        )
        candidates = (one for one in ascending if not self._is_dominated(one))
        return list(itertools.islice(candidates, _MAX_CANDIDATES))

    def _is_part(self, suspect: crash_records.Suspect) -> bool:
        return suspect in self._parts

    def _is_enough(self, weight: Weight) -> bool:
        answers = self._observations.count_answers(weight.suspect)
        if self._is_beside_others(weight):
            return False
        if (
            weight.coincidence <= MAX_COINCIDENCE / (1.0 + answers)
            and weight.share <= _MAX_SHARE
        ):
            return weight.silent or weight.crashes >= MIN_CRASHES_ANY
        if self._is_alone(weight):
            return True
        limit = (
            _MAX_LATE_COINCIDENCE
            if self._is_part(weight.suspect)
            else _MAX_LATE_COINCIDENCE_OF_REQUEST
        )
        return (
            self._is_late(weight)
            and weight.coincidence <= limit
            and weight.share <= _MAX_LATE_SHARE
            and self._observations.share_of_answers(weight.suspect)
            <= _MAX_POPULAR_SHARE
        )

    def _is_alone(self, weight: Weight) -> bool:
        """Return whether a request, just come, was alone at most crashes.

        No other request was at half of them.
        """
        if self._is_part(weight.suspect) or weight.crashes < MIN_CRASHES_ANY:
            return False
        own = self._open_records[weight.suspect]
        if self._mean_presence(own, weight.instances) > _BRIEF_SECONDS:
            return False
        crashes_by_request = collections.Counter(
            request
            for instance in weight.instances
            for request in self._requests_by_instance[instance]
        )
        del crashes_by_request[weight.suspect]
        most = max(crashes_by_request.values(), default=0)
        return 2 * most < len(weight.instances)

    def _is_beside_others(self, weight: Weight) -> bool:
        """Return whether an answered part ran beside likelier causes.

        These are parts that were never answered, had run for not much longer
        when their upstreams crashed, and were there at half of its crashes.
        """
        if not self._is_part(
            weight.suspect
        ) or not self._observations.was_answered(weight.suspect):
            return False
        own = self._open_records[weight.suspect]
        presence = self._mean_presence(own, weight.instances)
        likelier = [
            self._open_records[part]
            for part, other in self._presence_by_unanswered.items()
            if other <= max(_SHORT_SECONDS, _MAX_PRESENCE_RATIO * presence)
        ]
        beside = [
            instance
            for instance in weight.instances
            if any(instance in records for records in likelier)
        ]
        return 2 * len(beside) >= len(weight.instances)

    def _is_late(self, weight: Weight) -> bool:
        return weight.late_at is not None and self._now >= weight.late_at

    def _is_dominated(self, weight: Weight) -> bool:
        """Return whether several rarer parts may explain a part's crashes.

        A part that many requests share runs at each crash that any of several
        causes brings about.
        """
        if not self._is_part(weight.suspect):
            return False
        own = self._open_records[weight.suspect]
        limit_seconds = 0.5 * self._mean_presence(own, weight.instances)
        common_by_part: dict[
            crash_records.Suspect, set[running.UpstreamInstance]
        ] = {}
        for instance in weight.instances:
            for record in own[instance]:
                for part in record.parts:
                    common_by_part.setdefault(part, set()).add(instance)
        common_by_part.pop(weight.suspect, None)
        explained: set[running.UpstreamInstance] = set()
        for part, common in common_by_part.items():
            if not MIN_SHARED_CRASHES <= len(common) < len(weight.instances):
                continue
            if common <= explained:
                continue
            if self._mean_presence_left(part) <= limit_seconds:
                explained |= common.intersection(self._open_records[part])
        return len(explained) >= _MIN_DOMINATED_SHARE * len(weight.instances)

    def _mean_presence_left(self, part: crash_records.Suspect) -> float:
        """Return its mean presence at crashes that nothing explains yet."""
        known = self._presence_left_by_part.get(part)
        if known is None:
            records = self._open_records.get(part, {})
            left = [one for one in records if one not in self._explained]
            known = self._mean_presence(records, left) if left else math.inf
            self._presence_left_by_part[part] = known
        return known

    def _mean_presence(
        self,
        records_by_instance: Mapping[
            running.UpstreamInstance, Sequence[crash_records.CrashRecord]
        ],
        instances: Sequence[running.UpstreamInstance],
    ) -> float:
        return sum(
            max(one.ran_seconds for one in records_by_instance[instance])
            for instance in instances
        ) / len(instances)

    def _cause_of(self, weight: Weight) -> Cause:
        """Return all that ran in the same requests at each of the crashes."""
        together: set[crash_records.Suspect] | None = None
        own = self._open_records[weight.suspect]
        for instance in weight.instances:
            request = self._request_by_explained.get(instance)
            here = {
                other
                for record in own[instance]
                if request is None or record.request == request
                for other in record.suspects
                if instance in self._open_records.get(other, ())
            }
            together = here if together is None else together & here
        return frozenset((together or set()) | {weight.suspect})

    def _rivals(
        self,
        best: Weight,
        cause: Cause,
        candidates: Iterable[Weight],
        ranks: "_Ranks",
    ) -> list[Weight]:
        """Return others that explain half of the crashes about as well."""
        crashes = set(best.instances)
        strength, _ = ranks[best.suspect]
        limit = strength + math.log10(_RIVAL_RATIO)
        return [
            one
            for one in candidates
            if one.suspect not in cause
            and 2 * len(crashes.intersection(one.instances)) >= len(crashes)
            and ranks[one.suspect][0] <= limit
        ]

    def _ranks(self, weights: Collection[Weight]) -> "_Ranks":
        """Return how well suspects explain their crashes and those of others.

        The crashes of the others count that are at half of their crashes too.
        """
        crashes_by_suspect = {
            one.suspect: set(one.instances) for one in weights
        }
        ranks = {}
        for weight in weights:
            own = crashes_by_suspect[weight.suspect]
            unexplained: set[running.UpstreamInstance] = set()
            for crashes in crashes_by_suspect.values():
                if 2 * len(own & crashes) >= len(crashes):
                    unexplained |= crashes - own
            strength = weight.crashes * _log_share(weight)
            strength -= len(unexplained) * math.log10(_UNRELATED_SHARE)
            if not self._is_part(weight.suspect):
                # At the same crashes, it is likelier than one of its parts.
                strength += math.log10(_UNRELATED_SHARE)
            ranks[weight.suspect] = (strength, str(weight.suspect))
        return ranks

    def _explain(self, verdict: Verdict) -> None:
        """Leave the crashes of a cause out of the evidence against others."""
        requests = [one for one in verdict.cause if not self._is_part(one)]
        for instance in verdict.weight.instances:
            if requests and instance not in self._explained:
                self._request_by_explained[instance] = requests[0]
            else:
                self._request_by_explained.pop(instance, None)
            self._explained.add(instance)
        self._presence_left_by_part.clear()
        changed = frozenset(verdict.weight.instances)
        for suspect, weight in tuple(self._weights.items()):
            if changed.isdisjoint(weight.instances):
                continue
            new_weight = self._weigh(suspect)
            if new_weight is None:
                del self._weights[suspect]
            else:
                self._weights[suspect] = new_weight

    def _hidden(
        self,
        own_weights: Mapping[crash_records.Suspect, Weight],
        found: Iterable[Verdict],
    ) -> Iterable[Verdict]:
        """Return causes whose crashes others explain, and never an answer.

        A request that met a cause several times has no crash of its own.
        """
        knows_answers = (
            self._observations.sampled_answers >= _MIN_SAMPLED_ANSWERS
        )
        known = frozenset().union(*(one.cause for one in found))
        explained = frozenset(self._explained)
        self._explained.clear()
        self._request_by_explained.clear()
        for suspect, weight in own_weights.items():
            has_own = self._is_late(weight) and not explained.issuperset(
                weight.instances
            )
            is_strong = (
                weight.crashes >= MIN_CRASHES_ANY
                and weight.coincidence <= MAX_COINCIDENCE
            )
            if (
                suspect not in known
                and (knows_answers or not self._is_part(suspect))
                and (is_strong or (has_own and self._is_enough(weight)))
                and not self._observations.was_answered(suspect)
            ):
                cause = self._cause_of(weight)
                if not any(one.cause <= cause for one in found):
                    yield Verdict(cause=cause, weight=weight)


def _crash_times(
    open_records: OpenRecords,
) -> dict[running.UpstreamInstance, float]:
    """Return when each upstream crashed, as the first of its records has it."""
    times: dict[running.UpstreamInstance, float] = {}
    for by_instance in open_records.values():
        for instance, records in by_instance.items():
            at = min(one.seen_at for one in records)
            times[instance] = min(at, times.get(instance, at))
    return times


def _one_after_the_other(presences: Iterable[_Presence]) -> list[_Presence]:
    """Return the presences that began after the crash of the one before."""
    counted: list[_Presence] = []
    for one in presences:
        # One tick of tolerance: the suspect is sent again at once.
        if not counted or one.oldest_at >= counted[-1].at - 0.001:
            counted.append(one)
    return counted


def _count_requests(presences: Iterable[_Presence]) -> int:
    return len(
        set(
            itertools.chain.from_iterable(
                (record.request for record in one.records) for one in presences
            )
        )
    )


def _strength(weight: Weight) -> float:
    """Return the logarithm of the coincidence: the lower, the stronger.

    A repetition shows more about its request than about the parts. So each
    request counts once for a part, or all crashes if they outweigh the chance
    that the part is not the cause and two of its requests are.
    """
    one = _log_share(weight)
    if weight.requests == weight.crashes:
        return weight.crashes * one
    by_requests = weight.requests * one if weight.requests >= MIN_CRASHES else 0
    return min(by_requests, weight.crashes * one - math.log10(MAX_COINCIDENCE))


def _log_share(weight: Weight) -> float:
    return math.log10(max(weight.share, _MIN_SHARE))


_Ranks = Mapping[crash_records.Suspect, tuple[float, str]]
"""Order of suspects, the likeliest cause first, and the same everywhere."""
