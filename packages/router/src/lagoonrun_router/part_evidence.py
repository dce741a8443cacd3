"""Which prompt parts crash the upstreams that answer on them.

A part that crashes upstreams is never answered to the end, whatever stands
around it, while a part that sound requests share is answered again and again.
So the crashes of a part count since its last complete answer, and a part is a
cause if it explains more crashes than any other suspect does.
"""

import collections
import dataclasses
import functools
from collections.abc import Iterable, Mapping

from lagoonrun_core import types
from lagoonrun_router import crash_records, running_requests

CRASHES_TO_BLOCK = 3
"""Crashes after which a part is a cause, unless another suspect has as many."""

CRASHES_TO_BLOCK_ANY = 4
"""Crashes from which several suspects with as many are all causes. Otherwise
two parts that always run beside each other would never be blocked."""

CRASHES_TO_BLOCK_ANSWERED = 5
"""Crashes from which a part that was answered lately is a cause: a part that many
requests share runs at each upstream that crashes. Crashes do not count against
it if another part ran there that has several crashes and no answer, or a
request that had several."""

_CRASHES_TO_EXPLAIN = 2
"""Crashes of a part without an answer that explain those of answered parts."""

MIN_REQUESTS = 3
"""Different requests with a part that crash upstreams. If there are fewer, the
requests are the causes and not a part that they share."""

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


_Crashes = dict[
    running_requests.UpstreamInstance,
    dict[types.RequestDigest, crash_records.CrashRecord],
]
"""Records of the requests with a part that ran at each crash."""


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
        self._records_by_part: dict[types.PromptPartDigest, _Crashes] = {}
        self._open_by_part: dict[types.PromptPartDigest, _Crashes] = {}
        """Crashes since the last answer, computed when they are asked for."""

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

    def most_suspect(self, limit: int) -> dict[types.PromptPartDigest, int]:
        """Return the parts with most crashes since their last answer."""
        counts = collections.Counter(
            {part: self.crash_count(part) for part in self._records_by_part}
        )
        return dict((+counts).most_common(limit))

    def last_answer(self, part: types.PromptPartDigest) -> float:
        """Return the time of the last answer at any version."""
        return max(
            (
                at
                for (answered, _), at in self._answered_at.items()
                if answered == part
            ),
            default=float("-inf"),
        )

    def answered_at(self, part: types.PromptPartDigest, version: str) -> float:
        """Return the time of the last answer; minus infinity for none."""
        return self._answered_at.get((part, version), float("-inf"))

    def answers(self, *, since: float) -> tuple[PartAnswer, ...]:
        """Return the answers since then to parts that have crashes."""
        if not self._records_by_part:
            return ()
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
            Crashes of requests that had several. They explain the crashes of
            parts that have no more of them, or that were answered lately.
        """
        suspects = self._suspects(now, crashes_by_request)
        found: list[PartCause] = []
        candidates = [
            one for one in map(_candidate, suspects) if one is not None
        ]
        while best := _best(candidates):
            explained: set[running_requests.UpstreamInstance] = set()
            for group in _always_together(best):
                found.append(_parts_of(group))
                explained.update(group[0].open_crashes)
            candidates = [
                left
                for one in candidates
                if (left := one.without(explained)) is not None
            ]
        known = frozenset().union(*found)
        others = [
            one
            for one in map(_candidate, suspects)
            if one is not None
            and one.suspect.part not in known
            and not one.suspect.answered_lately
            and one.moments >= CRASHES_TO_BLOCK_UNANSWERED
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
            if not instances.issubset(by_instance):
                continue
            open_crashes = self._open_crashes(part)
            if (
                instances.issubset(open_crashes)
                and len(
                    frozenset().union(*(open_crashes[one] for one in instances))
                )
                >= MIN_REQUESTS
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
            self._open_by_part.pop(part, None)
            by_instance = self._records_by_part.setdefault(part, {})
            by_request = by_instance.setdefault(record.instance, {})
            by_request[record.request] = record

    def drop(self, record: crash_records.CrashRecord) -> None:
        """Drop a record."""
        for part in record.parts:
            self._open_by_part.pop(part, None)
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
        self._open_by_part.pop(answer.part, None)
        self._answered_at.move_to_end(key)
        while len(self._answered_at) > _MAX_ANSWERS:
            self._answered_at.popitem(last=False)
        return bool(before) and self.crash_count(answer.part) < before

    # Helpers.

    def _open_crashes(self, part: types.PromptPartDigest) -> _Crashes:
        """Return the crashes of a part since its last answer."""
        known = self._open_by_part.get(part)
        if known is not None:
            return known
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
        if part in self._records_by_part:
            self._open_by_part[part] = found
        return found

    def _suspects(
        self,
        now: float,
        crashes_by_request: Mapping[
            types.RequestDigest, frozenset[running_requests.UpstreamInstance]
        ],
    ) -> list["_Suspect"]:
        """Return the parts with several crashes that no request explains."""
        open_by_part = {
            part: open_crashes
            for part, by_instance in self._records_by_part.items()
            if len(by_instance) >= _CRASHES_TO_EXPLAIN
            and len(open_crashes := self._open_crashes(part))
            >= _CRASHES_TO_EXPLAIN
        }
        answered = {
            part for part in open_by_part if self._is_answered_lately(part, now)
        }
        explained_by_unanswered = frozenset().union(
            *(
                open_crashes
                for part, open_crashes in open_by_part.items()
                if part not in answered
            )
        )
        suspects = []
        for part, open_crashes in open_by_part.items():
            if len(open_crashes) < CRASHES_TO_BLOCK:
                continue
            excluded = frozenset().union(
                *(
                    instances
                    for instances in crashes_by_request.values()
                    if len(instances) >= len(open_crashes)
                )
            )
            if part in answered:
                excluded |= explained_by_unanswered.union(
                    *crashes_by_request.values()
                )
            suspects.append(
                _Suspect(
                    part=part,
                    answered_lately=part in answered,
                    open_crashes={
                        instance: records
                        for instance, records in open_crashes.items()
                        if instance not in excluded
                    },
                )
            )
        return suspects

    def _is_answered_lately(
        self, part: types.PromptPartDigest, now: float
    ) -> bool:
        """Return whether a version that crashed under a part answered it."""
        versions = {
            next(iter(records.values())).version
            for records in self._records_by_part[part].values()
        }
        return any(
            now - self.answered_at(part, version) < ANSWERED_SECONDS
            for version in versions
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Suspect:
    """A part with its crashes since the last answer."""

    part: types.PromptPartDigest
    answered_lately: bool
    open_crashes: _Crashes


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Candidate:
    """A suspect with enough crashes that nothing else explains."""

    suspect: _Suspect
    open_crashes: _Crashes

    def without(
        self, explained: set[running_requests.UpstreamInstance]
    ) -> "_Candidate | None":
        """Return the candidate without some crashes; None if too few remain."""
        if explained.isdisjoint(self.open_crashes):
            return self
        left = {
            instance: records
            for instance, records in self.open_crashes.items()
            if instance not in explained
        }
        return _candidate(self.suspect, left)

    @functools.cached_property
    def requests(self) -> frozenset[types.RequestDigest]:
        return frozenset().union(*self.open_crashes.values())

    @functools.cached_property
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


def _candidate(
    suspect: _Suspect, open_crashes: _Crashes | None = None
) -> _Candidate | None:
    """Return a suspect as a candidate; None if it has too few crashes."""
    if open_crashes is None:
        open_crashes = suspect.open_crashes
    required = (
        CRASHES_TO_BLOCK_ANSWERED
        if suspect.answered_lately
        else CRASHES_TO_BLOCK
    )
    if len(open_crashes) < required:
        return None
    found = _Candidate(suspect=suspect, open_crashes=open_crashes)
    if found.moments < required or len(found.requests) < MIN_REQUESTS:
        return None
    return found


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
    by_instances: dict[
        frozenset[running_requests.UpstreamInstance], list[_Candidate]
    ] = {}
    for one in candidates:
        key = frozenset(one.open_crashes)
        by_instances.setdefault(key, []).append(one)
    groups = {}
    for similar in by_instances.values():
        for one in similar:
            group = tuple(
                other for other in similar if one.ran_with(other.suspect.part)
            )
            groups.setdefault(_parts_of(group), group)
    return list(groups.values())


def _parts_of(group: tuple[_Candidate, ...]) -> PartCause:
    return frozenset(one.suspect.part for one in group)
