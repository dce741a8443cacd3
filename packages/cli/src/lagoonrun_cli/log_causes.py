"""Counts, from captured log lines, why requests got no response in time.

Each request gets one cause: its failure if it got no response, else what made
its response late.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable

from lagoonrun_cli import log_explanation, log_lines

MOMENT_SECONDS = 10
"""Length of the time intervals that causes are counted by."""


class Cause(enum.Enum):
    """Why a request got no response, or a late one."""

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
class CauseGroup:
    """Attributes to count requests by; `moment` is an interval's start."""

    cause: Cause
    profile: str
    domain: str
    moment: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Count:
    """Number of requests in the log lines, by cause.

    Parameters
    ----------
    requests
        Number of all requests in the lines.
    by_place
        Number of requests without a response in time, by group.
    reread_tokens
        Tokens of shared prompt parts that were prefilled again, because the
        request went to another upstream than the one that had just prefilled
        them.
    """

    requests: int
    by_place: collections.Counter[CauseGroup]
    reread_tokens: int

    @property
    def not_in_time(self) -> int:
        """Number of requests without a response in time."""
        return self.by_place.total()

    def by(self, attribute: str) -> dict[str, collections.Counter[Cause]]:
        """Return the counts of causes by one attribute of the groups."""
        grouped: dict[str, collections.Counter[Cause]] = {}
        for group, requests in self.by_place.items():
            key = getattr(group, attribute)
            grouped.setdefault(key, collections.Counter())
            grouped[key][group.cause] += requests
        return dict(sorted(grouped.items()))

    def by_cause(self) -> collections.Counter[Cause]:
        """Return the counts of causes."""
        causes: collections.Counter[Cause] = collections.Counter()
        for group, requests in self.by_place.items():
            causes[group.cause] += requests
        return causes


def count(lines: Iterable[log_lines.LogLine]) -> Count:
    """Count the causes in captured log lines of all entry VMs."""
    lines_by_request: dict[str, list[log_lines.LogLine]] = {}
    domain_by_entry_vm: dict[str, str] = {}
    for line in log_lines.in_order(lines):
        request_id = line.get("request_id")
        if request_id:
            lines_by_request.setdefault(str(request_id), []).append(line)
        elif line.message == "process-started":
            domain_by_entry_vm[line.entry_vm] = str(line.get("domain"))
    by_place: collections.Counter[CauseGroup] = collections.Counter()
    reread = 0
    for request_lines in lines_by_request.values():
        reread += sum(
            int(one.get("reread_tokens") or 0) for one in request_lines
        )
        cause = cause_of(request_lines)
        if cause is not None:
            group = CauseGroup(
                cause=cause,
                profile=_first(request_lines, "profile")
                or _first(request_lines, "route"),
                domain=domain_by_entry_vm.get(request_lines[-1].entry_vm, ""),
                moment=_moment_of(request_lines[-1].time),
            )
            by_place[group] += 1
    return Count(
        requests=len(lines_by_request),
        by_place=by_place,
        reread_tokens=reread,
    )


def cause_of(request_lines: list[log_lines.LogLine]) -> Cause | None:
    """Return why a request failed or was late; None if it was in time."""
    last = request_lines[-1]
    if last.message == "request-rejected":
        # The request itself was invalid, which counts against no target.
        return None
    if last.message != "request-ended":
        refused = last.message == "request-refused"
        return Cause.REFUSED if refused else Cause.ENTRY_VM_LOST
    if last.get("outcome") != "complete":
        reason = str(last.get("reason"))
        return _CAUSE_BY_REASON.get(reason, Cause.UPSTREAM_LOST)
    if not log_explanation.is_late(last):
        return None
    if any(one.message == "upstream-attempt-lost" for one in request_lines):
        return Cause.UPSTREAM_LOST
    return _cause_of_late(request_lines, last)


def _cause_of_late(
    request_lines: list[log_lines.LogLine], ended: log_lines.LogLine
) -> Cause:
    if ended.get("pause_target_seconds") is None:
        return Cause.PLAIN_LATE
    first, target = ended.get("first_seconds"), ended.get("target_seconds")
    if first is not None and first > target:
        return Cause.PROMPTS if _waiting_tokens(request_lines) else Cause.WAITED
    waiting_tokens = ended.get("pause_waiting_tokens")
    return Cause.PAUSE_PROMPT if waiting_tokens else Cause.PAUSE


def _waiting_tokens(request_lines: list[log_lines.LogLine]) -> float:
    for line in reversed(request_lines):
        candidates = line.get("candidates")
        if candidates:
            return float(candidates[0].get("waiting_tokens") or 0.0)
    return 0.0


def _first(request_lines: list[log_lines.LogLine], name: str) -> str:
    return next(
        (str(one.get(name)) for one in request_lines if one.get(name)), ""
    )


def _moment_of(time: str) -> str:
    """Return the start of the ten-second interval that holds a log time."""
    whole = time.partition(",")[0]
    return f"{whole[:-1]}0" if whole else ""
