"""Deterministic jitter, hashed from a key so that decisions can be replayed."""

import zlib

_RANGE = 2**32


def fraction(text: str) -> float:
    """Return a number in [0, 1) that depends only on `text`."""
    return zlib.crc32(text.encode()) / _RANGE
