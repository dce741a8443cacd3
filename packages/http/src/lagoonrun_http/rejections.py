"""Error responses that the server sends by itself, not its handler."""

import dataclasses

import h11

from lagoonrun_core import errors as core_errors
from lagoonrun_core import outcomes
from lagoonrun_http import errors, limits, messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rejection:
    """Why the server rejects a request.

    Parameters
    ----------
    status
        Status of the response.
    field, message, valid
        Content of the JSON body; see `errors.error_body`.
    retry_after_seconds
        Value of `Retry-After`; 0 for none, where a retry would fail as well.
    """

    status: int
    field: str
    message: str
    valid: str
    retry_after_seconds: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RejectionResponse:
    """Head and body of an error response."""

    head: messages.ResponseHead
    body: bytes


INTERNAL_ERROR = Rejection(
    status=500,
    field="",
    message="the request could not be answered because of an internal fault",
    valid="nothing that the caller sends can mend it",
)


def malformed(
    error: h11.RemoteProtocolError, server_limits: limits.ServerLimits
) -> Rejection:
    """Return the rejection of input that h11 could not parse."""
    if error.error_status_hint == 431:
        return head_too_large(server_limits)
    return Rejection(
        status=error.error_status_hint,
        field="request",
        message=f"malformed HTTP: {error}",
        valid="an HTTP/1.1 request",
    )


def head_too_large(server_limits: limits.ServerLimits) -> Rejection:
    """Return the rejection of a head over the size limit."""
    return Rejection(
        status=431,
        field="headers",
        message="the request line and headers are too large",
        valid=f"at most {server_limits.header_bytes} bytes",
    )


def body_too_large(server_limits: limits.ServerLimits, size: int) -> Rejection:
    """Return the rejection of a body over the size limit."""
    return Rejection(
        status=413,
        field="body",
        message=f"the body has {size} bytes or more",
        valid=f"at most {server_limits.body_bytes} bytes",
    )


def held_bodies_too_large(server_limits: limits.ServerLimits) -> Rejection:
    """Return the rejection of a body that exceeds the limit of all bodies."""
    return Rejection(
        status=503,
        field="body",
        message="too many bytes of request bodies are held at a time",
        valid=f"at most {server_limits.held_body_bytes} bytes in all",
        retry_after_seconds=1,
    )


def too_many_connections(server_limits: limits.ServerLimits) -> Rejection:
    """Return the rejection of a connection over the maximum number."""
    return Rejection(
        status=503,
        field="connection",
        message=f"{server_limits.connections} connections are open",
        valid=f"at most {server_limits.connections} at a time",
        retry_after_seconds=1,
    )


def slow(part: str, seconds: float) -> Rejection:
    """Return the rejection of a head or body that timed out."""
    return Rejection(
        status=408,
        field=part,
        message=f"the request's {part} did not arrive in time",
        valid=f"the whole {part} within {seconds:g} s",
    )


def response(
    rejection: Rejection, *, outcome: outcomes.Outcome
) -> RejectionResponse:
    """Return the error response of a rejection."""
    body = errors.error_body(
        step=core_errors.Step.CALLER_READ,
        field=rejection.field,
        message=rejection.message,
        valid=rejection.valid,
    )
    pairs = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Lagoonrun-Outcome", outcome.value),
    ]
    if rejection.retry_after_seconds:
        pairs.append(("Retry-After", str(rejection.retry_after_seconds)))
    head = messages.ResponseHead(
        status=rejection.status, headers=messages.Headers(pairs=pairs)
    )
    return RejectionResponse(head=head, body=body)
