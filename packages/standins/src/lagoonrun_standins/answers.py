"""The text of an answer, computed from its request so that it is verifiable.

Token `i` of an answer is `DIGEST-i `, where the digest covers the request's id
and its messages. An answer delivered to the wrong caller is thus detected.
"""

import hashlib
import json
import random
import re
from typing import Any

_DIGEST_LENGTH = 8
_COMPLETION_PREFIX = "chatcmpl-"
_MEDIAN_TOKENS = 60
_LENGTH_SIGMA = 0.8
_MAX_TOKENS = 600
_TOKEN = re.compile(r"([0-9a-f]{8})-(\d+) ")


def prompt_bytes(messages: Any) -> bytes:
    """Return the canonical form of a request's messages."""
    return json.dumps(messages, separators=(",", ":")).encode()


def digest(request_id: str, messages: Any) -> str:
    """Return the digest that each token of a request's answer contains."""
    hashed = hashlib.sha256(request_id.encode() + b"\0")
    hashed.update(prompt_bytes(messages))
    return hashed.hexdigest()[:_DIGEST_LENGTH]


def token(answer_digest: str, index: int) -> str:
    """Return the token at `index`."""
    return f"{answer_digest}-{index} "


def text(answer_digest: str, first: int, end: int) -> str:
    """Return the tokens from `first` up to but not `end`."""
    return "".join(token(answer_digest, i) for i in range(first, end))


def length(body: dict[str, Any], seed: str) -> int:
    """Return the number of tokens of the answer to a request.

    Parameters
    ----------
    body
        The request. `metadata.answer_tokens` sets the natural length, which
        a router cannot know; `max_tokens` limits it, or sets it if alone.
    seed
        Seed of the random length if the request sets none.
    """
    limit = body.get("max_completion_tokens") or body.get("max_tokens")
    natural = (body.get("metadata") or {}).get("answer_tokens")
    if natural is None and limit is not None:
        return max(1, int(limit))
    if natural is None:
        draw = random.Random(seed).lognormvariate(0.0, _LENGTH_SIGMA)
        natural = min(_MAX_TOKENS, round(_MEDIAN_TOKENS * draw))
    count = max(1, int(natural))
    return count if limit is None else min(count, max(1, int(limit)))


def completion_id(request_id: str) -> str:
    """Return the `id` field of the answer to a request."""
    return _COMPLETION_PREFIX + request_id


def request_id_of(completion: str) -> str:
    """Return the request id contained in a completion's `id` field."""
    return completion.removeprefix(_COMPLETION_PREFIX)


def count_tokens(answer: str, answer_digest: str) -> int:
    """Return the number of tokens of an answer that starts at token 0.

    Raises
    ------
    ValueError
        If a token is missing, repeated, out of order or of another digest.
    """
    count = answer.count(" ")
    if answer != text(answer_digest, 0, count):
        found = _TOKEN.match(answer)
        beginning = found.group(0) if found else answer[:20]
        raise ValueError(
            f"answer begins with {beginning!r}; valid: tokens 0 to"
            f" {count - 1} of {answer_digest}"
        )
    return count
