"""Checks of a request's head that h11 does not make."""

import h11

from lagoonrun_http import limits, messages, rejections

_REQUEST_LINE_EXTRA_BYTES = len("  HTTP/1.1\r\n\r\n")
_HEADER_EXTRA_BYTES = len(": \r\n")


def request_head(request: h11.Request) -> messages.RequestHead:
    """Convert a request head from h11's type."""
    return messages.RequestHead(
        method=request.method.decode("ascii"),
        target=request.target.decode("ascii"),
        headers=messages.Headers(
            pairs=(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in request.headers
            )
        ),
    )


def find_head_fault(
    request: h11.Request, server_limits: limits.ServerLimits
) -> rejections.Rejection | None:
    """Return why a well-formed head is rejected, or None."""
    size = len(request.method) + len(request.target)
    size += _REQUEST_LINE_EXTRA_BYTES
    names = set()
    for name, value in request.headers:
        size += len(name) + len(value) + _HEADER_EXTRA_BYTES
        names.add(name)
    if size > server_limits.header_bytes:
        return rejections.head_too_large(server_limits)
    if request.method == b"CONNECT":
        return rejections.Rejection(
            status=405,
            field="method",
            message="CONNECT is not served",
            valid="any other method",
        )
    if b"transfer-encoding" in names:
        return _framing_fault(request, names)
    return None


def _framing_fault(
    request: h11.Request, names: set[bytes]
) -> rejections.Rejection | None:
    """Reject ambiguous framing, which allows request smuggling.

    With both `Content-Length` and `Transfer-Encoding`, or chunks from an
    HTTP/1.0 caller, a load balancer in front of this server may see another
    end of the request; the rest is then read as another caller's request.
    """
    if b"content-length" in names or request.http_version < b"1.1":
        return rejections.Rejection(
            status=400,
            field="Transfer-Encoding",
            message="Transfer-Encoding beside Content-Length or in HTTP/1.0",
            valid="either Content-Length, or chunked in HTTP/1.1",
        )
    return None
