"""Which prompt parts crash the upstreams that answer on them.

A part that crashes upstreams is never answered to the end, whatever stands
around it, while a part that sound requests share is answered again and again.
So the crashes of a part count since its last complete answer, and a part is a
cause if it explains more crashes than any other suspect does.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping

from lagoonrun_core import types
from lagoonrun_router import crash_records, running_requests

CRASHES_TO_BLOCK = 3
"""Crashes after which a part is a cause, unless another suspect has as many."""

CRASHES_TO_BLOCK_ANY = 4
"""Crashes from which several suspects with as many are all causes. Otherwise
two parts that always run beside each other would never be blocked."""

CRASHES_TO_BLOCK_ANSWERED = 5
"""The same for a part that was answered lately: a part that many requests share
runs at each upstream that crashes. Crashes do not count against it if another
part ran there that has several crashes and no answer."""

_CRASHES_TO_EXPLAIN = 2
"""Crashes of a part without an answer that explain those of answered parts."""

MIN_REQUESTS = 2
"""Different requests with a part that crash upstreams. If there is only one,
the request is the cause and not its parts."""

CRASHES_TO_BLOCK_UNANSWERED = 5
"""Crashes from which a part without an answer is a cause although other causes
explain its crashes: several causes may run beside each other."""

ANSWERED_SECONDS = 300.0
"""Age up to which an answer shows that upstreams of its version bear a part."""

CRASH_MOMENT_SECONDS = 0.1
"""Crashes within this time count once: a failure domain that loses power ends
many upstreams at the same moment, and a part that many requests share runs at
all of them."""

ALL_VERSIONS = "*"
"""Version of an answer that clears a part at each version: an operator's."""

_MAX_ANSWERS = 4096
"""Maximum number of last answers; the oldest are evicted."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartAnswer:
    """The last complete answer to a request with a part.

    Parameters
    ----------
    version
        Software version of the upstream; `ALL_VERSIONS` after an operator has
        cleared the part.
    at
        Monotonic time of its end.
    """

    part: types.PromptPartDigest
    version: str
    at: float


PartCause = frozenset[types.PromptPartDigest]
"""Parts that crash upstreams. Usually one; several if they ran in the same
requests at each crash. A request crashes upstreams if it has all of them: one
that has some of them shows which of them is the cause."""


class PartEvidence:
    """Crashes and answers by prompt part."""

    def __init__(self) -> None:
        self._records_by_part: dict[
            types.PromptPartDigest,
            dict[
                running_requests.UpstreamInstance,
                dict[types.RequestDigest, crash_records.CrashRecord],
            ],
        ] = {}
        self._answered_at: collections.OrderedDict[
            tuple[types.PromptPartDigest, str], float
        ] = collections.OrderedDict()

    # Queries.

    def crash_count(self, part: types.PromptPartDigest) -> int:
        """Return the number of crashes of a part since its last answer."""
        return len(self._open_crashes(part))

    def is_suspect(self, part: types.PromptPartDigest) -> bool:
        """Return whether a part has a crash since its last answer."""
        return bool(self._open_crashes(part))

    def answered_at(self, part: types.PromptPartDigest, version: str) -> float:
        """Return the time of the last answer; minus infinity for none."""
        return self._answered_at.get((part, version), float("-inf"))

    def answers(self, *, since: float) -> tuple[PartAnswer, ...]:
        """Return the answers since then to parts that have crashes."""
        return tuple(
            PartAnswer(part=part, version=version, at=at)
            for (part, version), at in self._answered_at.items()
            if at >= since and part in self._records_by_part
        )

    def bears(
        self,
        parts: Iterable[types.PromptPartDigest],
        version: str,
        *,
        now: float,
    ) -> bool:
        """Return whether upstreams of a version answer requests with `parts`.

        They were answered lately, and no upstream of the version has crashed
        under one of them since.
        """
        return all(
            now - self.answered_at(part, version) < ANSWERED_SECONDS
            and not any(
                record.version == version
                for records in self._open_crashes(part).values()
                for record in records.values()
            )
            for part in parts
        )

    def causes(
        self,
        *,
        now: float,
        crashes_by_request: Mapping[
            types.RequestDigest, frozenset[running_requests.UpstreamInstance]
        ],
    ) -> tuple[PartCause, ...]:
        """Return the parts that crash upstreams, those with most crashes first.

        Parameters
        ----------
        crashes_by_request
            Crashes of requests that may be causes as a whole. They explain the
            crashes of parts that have no more of them.
        """
        found: list[PartCause] = []
        explained: set[running_requests.UpstreamInstance] = set()
        while True:
            candidates = self._candidates(now, explained, crashes_by_request)
            best = _best(candidates)
            if not best:
                break
            for group in _always_together(best):
                found.append(_parts_of(group))
                explained.update(group[0].open_crashes)
        known = frozenset().union(*found)
        others = [
            one
            for one in self._candidates(now, set(), crashes_by_request)
            if one.part not in known
            and one.moments >= CRASHES_TO_BLOCK_UNANSWERED
            and not self._is_answered_lately(one.part, now)
        ]
        found.extend(map(_parts_of, _always_together(others)))
        return tuple(found)

    def explains(
        self, crashes: Iterable[crash_records.CrashRecord], *, now: float
    ) -> bool:
        """Return whether a part that other requests share ran at all crashes.

        Parameters
        ----------
        crashes
            Crashes of one request.
        """
        instances = {one.instance for one in crashes}
        for part, by_instance in self._records_by_part.items():
            if len(by_instance) < len(instances) or not (
                instances.issubset(by_instance)
            ):
                continue
            open_crashes = self._open_crashes(part)
            requests = frozenset().union(
                *(open_crashes.get(one, ()) for one in instances)
            )
            if (
                instances.issubset(open_crashes)
                and len(requests) >= MIN_REQUESTS
                and not self._is_answered_lately(part, now)
            ):
                return True
        return False

    def crashes_of(
        self, parts: Iterable[types.PromptPartDigest]
    ) -> tuple[crash_records.CrashRecord, ...]:
        """Return a record of each crash that all parts have, the oldest first.

        Only crashes since the last answer to each of them.
        """
        first, *others = (self._open_crashes(part) for part in parts)
        crashes = [
            next(iter(records.values()))
            for instance, records in first.items()
            if all(instance in one for one in others)
        ]
        return tuple(sorted(crashes, key=lambda one: one.seen_at))

    # Updates.

    def add(self, record: crash_records.CrashRecord) -> None:
        """Add a record, or replace that of the same request and crash."""
        for part in record.parts:
            by_instance = self._records_by_part.setdefault(part, {})
            by_request = by_instance.setdefault(record.instance, {})
            by_request[record.request] = record

    def drop(self, record: crash_records.CrashRecord) -> None:
        """Drop a record."""
        for part in record.parts:
            by_instance = self._records_by_part[part]
            by_request = by_instance[record.instance]
            del by_request[record.request]
            if not by_request:
                del by_instance[record.instance]
            if not by_instance:
                del self._records_by_part[part]

    def record_answer(self, answer: PartAnswer) -> bool:
        """Record an answer; return whether it clears a crash."""
        key = (answer.part, answer.version)
        if answer.at <= self._answered_at.get(key, float("-inf")):
            return False
        before = self.crash_count(answer.part)
        self._answered_at[key] = answer.at
        self._answered_at.move_to_end(key)
        while len(self._answered_at) > _MAX_ANSWERS:
            self._answered_at.popitem(last=False)
        return bool(before) and self.crash_count(answer.part) < before

    # Helpers.

    def _open_crashes(
        self, part: types.PromptPartDigest
    ) -> dict[
        running_requests.UpstreamInstance,
        dict[types.RequestDigest, crash_records.CrashRecord],
    ]:
        """Return the crashes of a part since its last answer."""
        lifted_at = self.answered_at(part, ALL_VERSIONS)
        found = {}
        for instance, records in self._records_by_part.get(part, {}).items():
            later = {
                request: one
                for request, one in records.items()
                if one.seen_at
                > max(lifted_at, self.answered_at(part, one.version))
            }
            if later:
                found[instance] = later
        return found

    def _candidates(
        self,
        now: float,
        explained: set[running_requests.UpstreamInstance],
        crashes_by_request: Mapping[
            types.RequestDigest, frozenset[running_requests.UpstreamInstance]
        ],
    ) -> list["_Candidate"]:
        candidates = []
        explained_by_unanswered = self._explained_by_unanswered(now)
        for part, by_instance in self._records_by_part.items():
            if len(by_instance) < CRASHES_TO_BLOCK:
                continue
            open_crashes = self._open_crashes(part)
            required, excluded = CRASHES_TO_BLOCK, explained
            if self._is_answered_lately(part, now):
                required = CRASHES_TO_BLOCK_ANSWERED
                excluded = explained | explained_by_unanswered
            explained_by_requests = frozenset().union(
                *(
                    instances
                    for instances in crashes_by_request.values()
                    if len(instances) >= len(open_crashes)
                )
            )
            candidate = _Candidate(
                part=part,
                open_crashes={
                    instance: records
                    for instance, records in open_crashes.items()
                    if instance not in excluded
                    and instance not in explained_by_requests
                },
            )
            if (
                candidate.moments >= required
                and len(candidate.requests) >= MIN_REQUESTS
            ):
                candidates.append(candidate)
        return candidates

    def _explained_by_unanswered(
        self, now: float
    ) -> set[running_requests.UpstreamInstance]:
        """Return the crashes of parts with several crashes and no answer."""
        found: set[running_requests.UpstreamInstance] = set()
        for part, by_instance in self._records_by_part.items():
            if len(by_instance) >= _CRASHES_TO_EXPLAIN and not (
                self._is_answered_lately(part, now)
            ):
                found.update(by_instance)
        return found

    def _is_answered_lately(
        self, part: types.PromptPartDigest, now: float
    ) -> bool:
        """Return whether a version that crashed under a part answered it."""
        versions = {
            one.version
            for records in self._records_by_part[part].values()
            for one in records.values()
        }
        return any(
            now - self.answered_at(part, version) < ANSWERED_SECONDS
            for version in versions
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Candidate:
    """A part and its crashes that nothing else explains."""

    part: types.PromptPartDigest
    open_crashes: Mapping[
        running_requests.UpstreamInstance,
        Mapping[types.RequestDigest, crash_records.CrashRecord],
    ]

    @property
    def requests(self) -> frozenset[types.RequestDigest]:
        return frozenset().union(*self.open_crashes.values())

    @property
    def moments(self) -> int:
        """Number of crashes; those at the same moment count once."""
        count, begun_at = 0, float("-inf")
        for seen_at in sorted(map(_seen_at, self.open_crashes.values())):
            if seen_at - begun_at >= CRASH_MOMENT_SECONDS:
                count, begun_at = count + 1, seen_at
        return count

    def ran_with(self, other: types.PromptPartDigest) -> bool:
        """Return whether at each crash a request had both parts."""
        return all(
            any(other in one.parts for one in records.values())
            for records in self.open_crashes.values()
        )


def _seen_at(
    records: Mapping[types.RequestDigest, crash_records.CrashRecord],
) -> float:
    """Return the time of a crash, as the first of its requests has it."""
    return min(one.seen_at for one in records.values())


def _best(candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the candidates with most crashes; none while it is undecided."""
    most = max((one.moments for one in candidates), default=0)
    best = [one for one in candidates if one.moments == most]
    if most < CRASHES_TO_BLOCK_ANY and len(_always_together(best)) > 1:
        return []
    return best


def _always_together(
    candidates: list[_Candidate],
) -> list[tuple[_Candidate, ...]]:
    """Group the candidates that ran in the same requests at each crash."""
    groups = {}
    for one in candidates:
        group = tuple(
            other
            for other in candidates
            if other.open_crashes.keys() == one.open_crashes.keys()
            and one.ran_with(other.part)
        )
        groups.setdefault(frozenset(other.part for other in group), group)
    return list(groups.values())


def _parts_of(group: tuple[_Candidate, ...]) -> PartCause:
    return frozenset(one.part for one in group)
