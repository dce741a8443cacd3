"""Requests to upstreams and the tagged outcomes of sending them."""

import dataclasses
import enum

from lagoonrun_core import types
from lagoonrun_http import messages

REQUEST_ID_HEADER = "X-Request-Id"
"""Carries the request id to the upstream, which must echo it."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamRequest:
    """One request as it goes to an upstream.

    Parameters
    ----------
    head
        Request line and headers; framing, hop-by-hop headers and the request
        id are set by the client.
    body
        Whole body.
    request_id
        Passed on as `X-Request-Id`; the response must echo it.
    """

    head: messages.RequestHead
    body: bytes
    request_id: types.RequestId


class FailureStage(enum.Enum):
    """Point at which talking to an upstream failed."""

    CONNECT = "connect"
    WRITE = "write"
    READ_HEAD = "read-head"
    READ_BODY = "read-body"
    MISMATCH = "mismatch"
    PROTOCOL = "protocol"
    TIMEOUT = "timeout"


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamFailure:
    """Why there is no (whole) response.

    Parameters
    ----------
    stage
        Where it failed.
    write_attempted
        Whether a write of the request was attempted. When it was, the
        upstream may have run the request, whatever was read since.
    detail
        One sentence for people.
    peer
        Address and port of the upstream.
    """

    stage: FailureStage
    write_attempted: bool
    detail: str
    peer: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndOfBody:
    """The response body is whole."""


END_OF_BODY = EndOfBody()
