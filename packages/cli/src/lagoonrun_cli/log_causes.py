"""Counts, from captured log lines, why requests got no response in time.

Each request gets one cause: its failure if it got no response, else what made
its response late.
"""

import collections
import dataclasses
import datetime
import enum
from collections.abc import Iterable

from lagoonrun_cli import log_explanation, log_lines

MOMENT_SECONDS = 10
"""Length of the time intervals that causes are counted by; divides 60."""

REST = "(rest)"
"""Name of the group that sums the groups that are not listed."""

NO_VALUE = "(none)"
"""Name of the group of requests without an organisation or upstream."""

_OVER_SHARE = "over-share"


class Cause(enum.Enum):
    """Why a request got no response, or a late one."""

    REFUSED = "refused"
    REFUSED_OVER_SHARE = "refused: over-share"
    REFUSED_NO_ROOM = "refused: no-room"
    REFUSED_HIGHER_TIER = "refused: higher-tier"
    REFUSED_TOO_LATE = "refused: too-late"
    REFUSED_RESERVED = "refused: reserved"
    REFUSED_AGAIN = "refused again"
    NOT_KNOWN = "store or configuration"
    VERSION = "no upstream of the stream's version"
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
    "crashed-upstreams": Cause.REFUSED,
    "upstreams-limited": Cause.REFUSED,
    "upstreams-resting": Cause.REFUSED,
    "version-gone": Cause.VERSION,
    "version-unknown": Cause.VERSION,
    "no-upstream": Cause.NOT_KNOWN,
    "unconfigured": Cause.NOT_KNOWN,
    "upstream-failed": Cause.UPSTREAM_ERROR,
    "deadline": Cause.LIMIT,
    "caller-left": Cause.CALLER_LEFT,
}

_CAUSE_BY_REFUSAL = {
    _OVER_SHARE: Cause.REFUSED_OVER_SHARE,
    "no-room": Cause.REFUSED_NO_ROOM,
    "higher-tier": Cause.REFUSED_HIGHER_TIER,
    "too-late": Cause.REFUSED_TOO_LATE,
    "reserved": Cause.REFUSED_RESERVED,
}
"""Causes by the detail of an `overloaded` refusal."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CauseGroup:
    """Attributes to count requests by; `moment` is an interval's start."""

    cause: Cause
    profile: str
    domain: str
    moment: str
    organisation: str
    upstream: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrganisationRequests:
    """Numbers of requests of an organisation.

    Parameters
    ----------
    requests
        All requests.
    not_in_time
        Requests without a response in time.
    refused
        Requests that were refused at least once, also if they were answered
        when their callers returned.
    over_share
        Those of the refused that were refused at least once because the
        organisation exceeded its share.
    """

    requests: int = 0
    not_in_time: int = 0
    refused: int = 0
    over_share: int = 0

    def plus(self, other: "OrganisationRequests") -> "OrganisationRequests":
        """Return the sums of the numbers of two organisations."""
        return OrganisationRequests(
            requests=self.requests + other.requests,
            not_in_time=self.not_in_time + other.not_in_time,
            refused=self.refused + other.refused,
            over_share=self.over_share + other.over_share,
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Count:
    """Number of requests in the log lines, by cause.

    Parameters
    ----------
    requests
        Number of all requests in the lines.
    by_place
        Number of requests without a response in time, by group.
    by_organisation
        Numbers of requests of each organisation that a line names.
    reread_tokens
        Tokens of shared prompt parts that were prefilled again, because the
        request went to another upstream than the one that had just prefilled
        them.
    """

    requests: int
    by_place: collections.Counter[CauseGroup]
    by_organisation: dict[str, OrganisationRequests]
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

    def largest_by(
        self, attribute: str, *, limit: int
    ) -> dict[str, collections.Counter[Cause]]:
        """Return the counts of causes of the groups with the most requests.

        Parameters
        ----------
        limit
            Number of groups that are listed, largest first; the others are
            summed as `REST`.
        """
        grouped = self.by(attribute)
        ordered = sorted(grouped, key=lambda key: -grouped[key].total())
        listed = {key or NO_VALUE: grouped[key] for key in ordered[:limit]}
        rest: collections.Counter[Cause] = collections.Counter()
        for key in ordered[limit:]:
            rest.update(grouped[key])
        return {**listed, REST: rest} if rest else listed

    def largest_organisations(
        self, *, limit: int
    ) -> dict[str, OrganisationRequests]:
        """Return the organisations with the most requests not in time.

        Parameters
        ----------
        limit
            Number of organisations that are listed, largest first; the others
            are summed as `REST`.
        """
        ordered = sorted(
            self.by_organisation,
            key=lambda id: (-self.by_organisation[id].not_in_time, id),
        )
        listed = {
            id or NO_VALUE: self.by_organisation[id] for id in ordered[:limit]
        }
        rest = OrganisationRequests()
        for id in ordered[limit:]:
            rest = rest.plus(self.by_organisation[id])
        return {**listed, REST: rest} if rest.requests else listed

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
    first_refusals: dict[str, log_lines.LogLine] = {}
    for line in log_lines.in_order(lines):
        request_id = line.get("request_id")
        if request_id:
            lines_by_request.setdefault(str(request_id), []).append(line)
        elif line.message == "process-started":
            domain_by_entry_vm[line.entry_vm] = str(line.get("domain"))
        if line.message == "request-refused" and line.get("digest"):
            first_refusals.setdefault(str(line.get("digest")), line)
    by_place: collections.Counter[CauseGroup] = collections.Counter()
    by_organisation: dict[str, OrganisationRequests] = {}
    reread = 0
    for request_lines in lines_by_request.values():
        reread += sum(
            int(one.get("reread_tokens") or 0) for one in request_lines
        )
        cause = cause_of(request_lines)
        if cause in _REFUSALS and _is_repeated(request_lines, first_refusals):
            cause = Cause.REFUSED_AGAIN
        organisation = _first(request_lines, "organisation")
        by_organisation[organisation] = by_organisation.get(
            organisation, OrganisationRequests()
        ).plus(_as_organisation_requests(request_lines, cause))
        if cause is not None:
            group = CauseGroup(
                cause=cause,
                profile=_first(request_lines, "profile")
                or _first(request_lines, "route"),
                domain=domain_by_entry_vm.get(request_lines[-1].entry_vm, ""),
                moment=_moment_of(request_lines[-1].time),
                organisation=organisation,
                upstream=_upstream_of(request_lines),
            )
            by_place[group] += 1
    return Count(
        requests=len(lines_by_request),
        by_place=by_place,
        by_organisation=by_organisation if any(by_organisation) else {},
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
        return _cause_of_refusal(last) if refused else Cause.ENTRY_VM_LOST
    if last.get("outcome") != "complete":
        reason = str(last.get("reason"))
        cause = _CAUSE_BY_REASON.get(reason, Cause.UPSTREAM_LOST)
        return _cause_of_refusal(last) if cause is Cause.REFUSED else cause
    if not log_explanation.is_late(last):
        return None
    if any(one.message == "upstream-attempt-lost" for one in request_lines):
        return Cause.UPSTREAM_LOST
    return _cause_of_late(request_lines, last)


_REFUSALS = frozenset((Cause.REFUSED, *_CAUSE_BY_REFUSAL.values()))


def _cause_of_refusal(line: log_lines.LogLine) -> Cause:
    return _CAUSE_BY_REFUSAL.get(str(line.get("detail")), Cause.REFUSED)


def _is_repeated(
    request_lines: list[log_lines.LogLine],
    first_refusals: dict[str, log_lines.LogLine],
) -> bool:
    """Return whether the last refusal of a request was not its first.

    A returning caller may use another request id, but the digest of its
    request is the same.
    """
    for line in reversed(request_lines):
        if line.message == "request-refused":
            first = first_refusals.get(str(line.get("digest")))
            return first is not None and first is not line
    return False


def _as_organisation_requests(
    request_lines: list[log_lines.LogLine], cause: Cause | None
) -> OrganisationRequests:
    """Return the numbers that one request adds to its organisation."""
    refusals = [one for one in request_lines if _is_refusal(one)]
    return OrganisationRequests(
        requests=1,
        not_in_time=cause is not None,
        refused=bool(refusals),
        over_share=any(one.get("detail") == _OVER_SHARE for one in refusals),
    )


def _is_refusal(line: log_lines.LogLine) -> bool:
    if line.message == "request-refused":
        return True
    reason = str(line.get("reason"))
    return (
        line.message == "request-ended"
        and line.get("outcome") != "complete"
        and _CAUSE_BY_REASON.get(reason) is Cause.REFUSED
    )


def _upstream_of(request_lines: list[log_lines.LogLine]) -> str:
    """Return the upstream that ended a request, or else the last chosen one."""
    upstream_id = request_lines[-1].get("upstream")
    if request_lines[-1].message == "request-ended" and upstream_id:
        return str(upstream_id)
    for line in reversed(request_lines):
        if line.message == "request-routed":
            return str(line.get("chosen") or "")
    return ""


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
    """Return the start of the interval that holds a log time."""
    try:
        at = datetime.datetime.fromisoformat(time.partition(",")[0])
    except ValueError:
        # Lines of other programs may have no time, or one of another format.
        return ""
    start = at.replace(second=at.second - at.second % MOMENT_SECONDS)
    return str(start)
