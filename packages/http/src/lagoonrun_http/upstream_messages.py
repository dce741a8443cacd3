"""Requests to upstreams and the possible results of sending them."""

import dataclasses
import enum

from lagoonrun_core import types
from lagoonrun_http import messages

REQUEST_ID_HEADER = "X-Request-Id"
"""Carries the request id to the upstream, which must echo it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """One request to an upstream.

    Parameters
    ----------
    head
        Request line and headers; framing, hop-by-hop headers and the request
        id are set by the client.
    body
        Whole body.
    request_id
        Sent as `X-Request-Id`; the response must echo it.
    """

    head: messages.RequestHead
    body: bytes
    request_id: types.RequestId


class FailureStage(enum.Enum):
    """Stage at which an exchange with an upstream failed."""

    CONNECT = "connect"
    WRITE = "write"
    READ_HEAD = "read-head"
    READ_BODY = "read-body"
    MISMATCH = "mismatch"
    PROTOCOL = "protocol"
    TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamFailure:
    """Why there is no response, or no complete one.

    Parameters
    ----------
    stage
        Stage at which the exchange failed.
    write_attempted
        Whether a write of the request was attempted. If so, the upstream may
        have run the request, whatever was read since.
    detail
        One sentence for log lines and error messages.
    peer
        Address and port of the upstream.
    """

    stage: FailureStage
    write_attempted: bool
    detail: str
    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndOfBody:
    """The response body is complete."""


END_OF_BODY = EndOfBody()
