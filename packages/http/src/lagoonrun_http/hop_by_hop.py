"""Removal of hop-by-hop headers."""

from lagoonrun_http import messages

_HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def strip(headers: messages.Headers) -> messages.Headers:
    """Return `headers` without those that must not be forwarded.

    Also drops the names that a `Connection` header lists (RFC 9110, 7.6.1).
    """
    dropped = set(_HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(token.strip() for token in value.split(","))
    return headers.without(dropped)
