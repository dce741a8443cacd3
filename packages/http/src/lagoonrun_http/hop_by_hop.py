"""Removal of the headers that belong to one connection only."""

from lagoonrun_http import messages

_ALWAYS = frozenset(
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
    """Return `headers` without those that must not be passed on.

    Also drops the names that a `Connection` header lists (RFC 9110, 7.6.1).
    """
    dropped = set(_ALWAYS)
    for name, value in headers:
        if name.lower() == "connection":
            dropped.update(token.strip() for token in value.split(","))
    return headers.without(dropped)
