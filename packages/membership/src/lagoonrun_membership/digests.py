"""Digests that show two processes which parts of their tables differ.

A table is split into a fixed number of parts by the hash of the entry's name.
The digest of a part is the XOR of its entries' hashes, so that a changed entry
costs two XOR operations.
"""

from collections.abc import Iterable

import xxhash

MEMBER_PARTS = 8
"""Parts of the member table; with 510 members a part fills five datagrams."""


def part_of(name: str) -> int:
    """Return the part that the entry called `name` belongs to."""
    return xxhash.xxh32_intdigest(name.encode()) % MEMBER_PARTS


def entry_hash(*values: object) -> int:
    """Return a 32-bit hash of an entry's values."""
    return xxhash.xxh32_intdigest("/".join(map(str, values)).encode())


def differing_parts(
    ours: Iterable[int], theirs: Iterable[int]
) -> tuple[int, ...]:
    """Return the numbers of the parts whose digests are not equal.

    A side that sent no digests counts as equal.
    """
    pairs = zip(ours, theirs, strict=False)
    return tuple(n for n, (own, other) in enumerate(pairs) if own != other)
