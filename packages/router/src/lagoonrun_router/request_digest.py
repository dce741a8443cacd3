"""What tells that two requests are the same one, sent again."""

import hashlib

from lagoonrun_core import types
from lagoonrun_http import messages as http_messages

_DIGEST_BYTES = 16
"""Bytes of a digest: no two requests of a fleet's life share one by chance."""


def digest_of(
    head: http_messages.RequestHead,
    *,
    host: str,
    organisation: types.OrganisationId | None,
    body: bytes,
) -> types.RequestDigest:
    """Return the digest of a request: its caller, path and body.

    The organisation is part of it, so that nothing that one organisation sends
    is held against another that sends the same.

    Parameters
    ----------
    organisation
        Who sends it; None on public routes.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (head.method, host, head.target, organisation or ""):
        encoded = field.encode()
        # Lengths, so that no two fields run into each other.
        digest.update(len(encoded).to_bytes(4, "little"))
        digest.update(encoded)
    digest.update(body)
    return types.RequestDigest(digest.hexdigest())
