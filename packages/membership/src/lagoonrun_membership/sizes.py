"""Upper bounds of the size of records in a packed datagram.

Packing drops the zero bytes of each eight-byte word and adds a tag byte, so
small numbers are short. A test checks the bounds against the codec.
"""

from lagoonrun_protocol import messages

_POINTER_BYTES = 5
_FRACTION_BYTES = 9
_FLAG_BYTES = 2


def of_member(update: messages.MemberUpdate) -> int:
    """Return the maximum size of a member's record in bytes."""
    texts = (
        update.entry_vm,
        update.domain,
        update.state.value,
        update.peer_host,
        update.digest,
    )
    numbers = (
        update.incarnation,
        update.peer_port,
        update.admin_port,
        update.revision,
    )
    return _of_texts(texts) + _of_numbers(numbers)


def of_upstream(update: messages.UpstreamUpdate) -> int:
    """Return the maximum size of an upstream's record in bytes."""
    numbers = (update.incarnation,)
    return _of_texts((update.upstream,)) + _of_numbers(numbers) + _FLAG_BYTES


def of_shard(summary: messages.ShardSummary) -> int:
    """Return the maximum size of a shard's summary in bytes."""
    numbers = (
        summary.free,
        summary.lowest_waiting_tier,
        summary.lowest_running_tier,
    )
    return (
        _of_texts((summary.shard, summary.dispatcher))
        + _of_numbers(numbers)
        + 2 * _FRACTION_BYTES
    )


def _of_texts(texts: tuple[str, ...]) -> int:
    return sum(map(_of_text, texts))


def _of_text(text: str) -> int:
    length = len(text.encode())
    return _POINTER_BYTES + length + length // 8 + 4


def _of_numbers(numbers: tuple[int, ...]) -> int:
    return sum((number.bit_length() + 7) // 8 + 1 for number in numbers)
