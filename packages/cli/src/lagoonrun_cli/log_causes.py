"""Count, from captured log lines, why requests were not answered in time.

Each request gets one cause: the first thing that went wrong with it where it
got no answer, else what made its answer late.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable

from lagoonrun_cli import log_explanation, log_lines

MOMENT_SECONDS = 10
"""Length of the moments that causes are counted by."""


class Cause(enum.Enum):
    """Why a request had no answer, or a late one."""

    REFUSED = "refused"
    NOT_KNOWN = "store or configuration"
    UPSTREAM_LOST = "upstream lost"
    UPSTREAM_ERROR = "error of the upstream"
    ENTRY_VM_LOST = "entry VM lost"
    LIMIT = "time limit"
    CALLER_LEFT = "caller left"
    PROMPTS = "waited behind prompts"
    WAITED = "waited, no prompts known there"
    PAUSE_PROMPT = "pause beside a prompt"
    PAUSE = "pause, no prompt known there"
    PLAIN_LATE = "slow answer of a plain service"


_CAUSE_BY_REASON = {
    "overloaded": Cause.REFUSED,
    "upstream-refused": Cause.REFUSED,
    "no-upstream": Cause.NOT_KNOWN,
    "unconfigured": Cause.NOT_KNOWN,
    "upstream-failed": Cause.UPSTREAM_ERROR,
    "deadline": Cause.LIMIT,
    "caller-left": Cause.CALLER_LEFT,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
    """What requests are counted by."""

    cause: Cause
    profile: str
    domain: str
    moment: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Count:
    """How many requests of the lines had which cause.

    Parameters
    ----------
    requests
        All requests that the lines tell of.
    reread_tokens
        Prompt tokens of shared parts that some upstream had read a moment
        before the request went to another one.
    """

    requests: int
    by_place: collections.Counter[Place]
    reread_tokens: int

    @property
    def lost(self) -> int:
        """Requests without an answer in time."""
        return self.by_place.total()

    def by(self, attribute: str) -> dict[str, collections.Counter[Cause]]:
        """Return the counts of causes by one attribute of the place."""
        grouped: dict[str, collections.Counter[Cause]] = {}
        for place, requests in self.by_place.items():
            key = getattr(place, attribute)
            grouped.setdefault(key, collections.Counter())
            grouped[key][place.cause] += requests
        return dict(sorted(grouped.items()))

    def by_cause(self) -> collections.Counter[Cause]:
        """Return the counts of causes."""
        causes: collections.Counter[Cause] = collections.Counter()
        for place, requests in self.by_place.items():
            causes[place.cause] += requests
        return causes


def count(lines: Iterable[log_lines.LogLine]) -> Count:
    """Return the causes in captured lines of all entry VMs."""
    lines_by_request: dict[str, list[log_lines.LogLine]] = {}
    domain_by_entry_vm: dict[str, str] = {}
    for line in log_lines.in_order(lines):
        request_id = line.get("request_id")
        if request_id:
            lines_by_request.setdefault(str(request_id), []).append(line)
        elif line.message == "process-started":
            domain_by_entry_vm[line.entry_vm] = str(line.get("domain"))
    by_place: collections.Counter[Place] = collections.Counter()
    reread = 0
    for own in lines_by_request.values():
        reread += sum(int(one.get("reread_tokens") or 0) for one in own)
        cause = cause_of(own)
        if cause is not None:
            place = Place(
                cause=cause,
                profile=_first(own, "profile") or _first(own, "route"),
                domain=domain_by_entry_vm.get(own[-1].entry_vm, ""),
                moment=_moment_of(own[-1].time),
            )
            by_place[place] += 1
    return Count(
        requests=len(lines_by_request),
        by_place=by_place,
        reread_tokens=reread,
    )


def cause_of(own: list[log_lines.LogLine]) -> Cause | None:
    """Return what went wrong with a request; None where it came in time."""
    last = own[-1]
    if last.message == "request-rejected":
        # As it stood: nothing is owed.
        return None
    if last.message != "request-ended":
        refused = last.message == "request-refused"
        return Cause.REFUSED if refused else Cause.ENTRY_VM_LOST
    if last.get("outcome") != "complete":
        reason = str(last.get("reason"))
        return _CAUSE_BY_REASON.get(reason, Cause.UPSTREAM_LOST)
    if not log_explanation.is_late(last):
        return None
    if any(one.message == "upstream-attempt-lost" for one in own):
        return Cause.UPSTREAM_LOST
    return _cause_of_late(own, last)


def _cause_of_late(
    own: list[log_lines.LogLine], ended: log_lines.LogLine
) -> Cause:
    if ended.get("pause_target_seconds") is None:
        return Cause.PLAIN_LATE
    first, target = ended.get("first_seconds"), ended.get("target_seconds")
    if first is not None and first > target:
        return Cause.PROMPTS if _waiting_tokens(own) else Cause.WAITED
    beside = ended.get("pause_waiting_tokens")
    return Cause.PAUSE_PROMPT if beside else Cause.PAUSE


def _waiting_tokens(own: list[log_lines.LogLine]) -> float:
    for line in reversed(own):
        candidates = line.get("candidates")
        if candidates:
            return float(candidates[0].get("waiting_tokens") or 0.0)
    return 0.0


def _first(own: list[log_lines.LogLine], name: str) -> str:
    return next((str(one.get(name)) for one in own if one.get(name)), "")


def _moment_of(time: str) -> str:
    """Return the ten seconds in which a line was written."""
    whole = time.partition(",")[0]
    return f"{whole[:-1]}0" if whole else ""
