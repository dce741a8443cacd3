"""Checks that a response is complete and belongs to its own request."""

import dataclasses
import enum
import json
import re

from lagoonrun_standins import answers, http_client, plain_service, traffic

_CONTENT = re.compile(rb'"content":\s*"([^"]*)"')
_ID = re.compile(rb'"id":\s*"([^"]*)"')
_ERROR_EVENT = b"event: error"
_DONE_EVENT = b"data: [DONE]"
_ID_HEADERS = ("lagoonrun-request-id", "x-request-id")


class ResultKind(enum.Enum):
    """How a request ended from its caller's point of view."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    PARTIAL = "partial"
    MISMATCHED = "mismatched"
    CUT = "cut"
    CALLER_LEFT = "caller-left"
    UNREACHED = "unreached"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Verdict:
    """Result of checking one response.

    Parameters
    ----------
    reason
        Reason that the router gave, or what is wrong with the response.
    tokens
        Number of tokens received.
    """

    kind: ResultKind
    reason: str = ""
    tokens: int = 0


def check(
    arrival: traffic.Arrival, head: http_client.Head, body: bytes
) -> Verdict:
    """Return how a well-formed HTTP response relates to its request."""
    if head.status != 200:
        reason = head.headers.get("lagoonrun-reason", f"status {head.status}")
        return Verdict(kind=_reported_kind(head), reason=reason)
    if arrival.traffic_class.is_plain:
        return _check_plain(arrival, head, body)
    if arrival.traffic_class.streams:
        return _check_stream(arrival, head, body)
    return _check_completion(arrival, head, body)


def request_id_of(head: http_client.Head) -> str:
    """Return the request id in a response's headers; empty for none."""
    for name in _ID_HEADERS:
        if name in head.headers:
            return head.headers[name]
    return ""


def _reported_kind(head: http_client.Head) -> ResultKind:
    if head.headers.get("x-not-run") == "true":
        return ResultKind.NOT_RUN
    outcome = head.headers.get("lagoonrun-outcome", "")
    reportable = (ResultKind.NOT_RUN, ResultKind.UNKNOWN, ResultKind.PARTIAL)
    by_value = {kind.value: kind for kind in reportable}
    return by_value.get(outcome, ResultKind.FAILED)


def _check_plain(
    arrival: traffic.Arrival, head: http_client.Head, body: bytes
) -> Verdict:
    try:
        echoed = json.loads(body)
    except ValueError:
        return _mismatch("the body is not JSON")
    expected = {
        "path": arrival.path,
        "request_id": request_id_of(head),
        "body_digest": plain_service.body_digest(arrival.body),
    }
    wrong = [name for name in expected if echoed.get(name) != expected[name]]
    if wrong:
        return _mismatch(f"{wrong} belong to another request")
    return Verdict(kind=ResultKind.COMPLETE)


def _check_stream(
    arrival: traffic.Arrival, head: http_client.Head, body: bytes
) -> Verdict:
    verdict = _check_text(arrival, head, body)
    if verdict.kind is ResultKind.MISMATCHED:
        return verdict
    if _ERROR_EVENT in body:
        reason = re.search(rb'"reason":\s*"([^"]*)"', body)
        return dataclasses.replace(
            verdict,
            kind=ResultKind.PARTIAL,
            reason=reason.group(1).decode() if reason else "error event",
        )
    if _DONE_EVENT not in body:
        return dataclasses.replace(
            verdict,
            kind=ResultKind.CUT,
            reason="stream ended without [DONE] or an error event",
        )
    return _check_length(arrival, verdict)


def _check_completion(
    arrival: traffic.Arrival, head: http_client.Head, body: bytes
) -> Verdict:
    verdict = _check_text(arrival, head, body)
    if verdict.kind is ResultKind.MISMATCHED:
        return verdict
    return _check_length(arrival, verdict)


def _check_text(
    arrival: traffic.Arrival, head: http_client.Head, body: bytes
) -> Verdict:
    request_id = request_id_of(head)
    named = {found.decode() for found in _ID.findall(body)}
    if not named <= {answers.completion_id(request_id)}:
        return _mismatch(
            f"answer has ids {sorted(named)}; valid: that of {request_id}"
        )
    text = b"".join(_CONTENT.findall(body)).decode()
    digest = answers.digest(request_id, arrival.messages)
    try:
        tokens = answers.count_tokens(text, digest)
    except ValueError as error:
        return _mismatch(str(error))
    return Verdict(kind=ResultKind.COMPLETE, tokens=tokens)


def _check_length(arrival: traffic.Arrival, verdict: Verdict) -> Verdict:
    if verdict.tokens != arrival.answer_tokens:
        return _mismatch(
            f"{verdict.tokens} tokens; valid: {arrival.answer_tokens}"
        )
    return verdict


def _mismatch(reason: str) -> Verdict:
    return Verdict(kind=ResultKind.MISMATCHED, reason=reason)
