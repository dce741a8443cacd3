"""Digests by which a part of a prompt is recognised in other requests."""

import hashlib
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import call as calls

PREFIX = "part-"
"""Distinguishes them from the digests of requests, in logs and store keys."""

_DIGEST_BYTES = 8
"""Bytes of a digest: a message to a peer has some for each of its requests."""

_MAX_PARTS = 16
"""Maximum number of parts of one prompt; prompts usually have three to six."""


def digests_of(
    prompt: tuple[calls.PromptPart, ...], *, pool: str, model: str
) -> tuple[types.PromptPartDigest, ...]:
    """Return the digests of the parts that other requests may share.

    That is all but the last one. The same part may be harmless to the upstreams
    of another pool, or to another model.
    """
    shared = dict.fromkeys(part.id for part in prompt[:-1])
    return tuple(
        _digest_of((pool, model, id)) for id in tuple(shared)[:_MAX_PARTS]
    )


def _digest_of(fields: Iterable[str]) -> types.PromptPartDigest:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        encoded = field.encode()
        # The length prefix makes the boundaries between fields unambiguous.
        digest.update(len(encoded).to_bytes(4, "little"))
        digest.update(encoded)
    return types.PromptPartDigest(PREFIX + digest.hexdigest())
