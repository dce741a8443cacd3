"""Upper bounds of the bytes that records take in a packed datagram.

Packing drops zero bytes, so that the true size varies; the bounds are checked
by a test against the codec.
"""

from lagoonrun_protocol import messages

_STRUCT_BYTES = 12
_NUMBER_BYTES = 9
_TEXT_BYTES = 8


def of_member(update: messages.MemberUpdate) -> int:
    """Return the most bytes of a member's record."""
    texts = (
        update.entry_vm,
        update.domain,
        update.state.value,
        update.peer_host,
        update.digest,
    )
    return _STRUCT_BYTES + 4 * _NUMBER_BYTES + _of_texts(texts)


def of_upstream(update: messages.UpstreamUpdate) -> int:
    """Return the most bytes of an upstream's record."""
    return _STRUCT_BYTES + 2 * _NUMBER_BYTES + _of_texts((update.upstream,))


def of_shard(summary: messages.ShardSummary) -> int:
    """Return the most bytes of a shard's summary."""
    texts = (summary.shard, summary.dispatcher)
    return _STRUCT_BYTES + 5 * _NUMBER_BYTES + _of_texts(texts)


def _of_texts(texts: tuple[str, ...]) -> int:
    return sum(_TEXT_BYTES + len(text.encode()) * 9 // 8 + 2 for text in texts)
