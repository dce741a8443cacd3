"""Digests by which repetitions of a request are recognised."""

import hashlib

from lagoonrun_core import types
from lagoonrun_http import messages as http_messages

_DIGEST_BYTES = 16
"""Bytes of a digest: long enough that no two requests in the lifetime of a
fleet collide by chance."""


def digest_of(
    head: http_messages.RequestHead,
    *,
    host: str,
    organisation: types.OrganisationId | None,
    body: bytes,
) -> types.RequestDigest:
    """Return the digest of a request: its caller, path and body.

    The organisation is included, so that crashes caused by the requests of one
    organisation do not count against another that sends the same request.

    Parameters
    ----------
    organisation
        The caller's organisation; None on public routes.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (head.method, host, head.target, organisation or ""):
        encoded = field.encode()
        # The length prefix makes the boundaries between fields unambiguous.
        digest.update(len(encoded).to_bytes(4, "little"))
        digest.update(encoded)
    digest.update(body)
    return types.RequestDigest(digest.hexdigest())
