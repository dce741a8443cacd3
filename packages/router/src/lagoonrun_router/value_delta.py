"""Deltas between values, so that changed ones need not be sent whole.

A declared configuration is a text of hundreds of kilobytes, of which a change
affects a few hundred bytes. Both values are split into pieces, each of which
ends at a closing brace, the end of an entry in the formats in use. Pieces that
the older value has are copied from there by their offset, and the rest is
compressed. In a format without braces the whole value is compressed.
"""

import dataclasses
import re
import zlib

import xxhash

from lagoonrun_core import errors
from lagoonrun_router import format_error

_PIECE = re.compile(rb"[^}]*\}?")
_COMPRESSION_LEVEL = 1
"""The fastest level: 300 KB of JSON take 3 ms and shrink to a tenth."""

_MAX_VALUE_BYTES = 16 * 1024 * 1024
"""Limit on the decompressed text of a delta; sixteen times the store's maximum
value size."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ValueDelta:
    """Steps that make a value out of an older one.

    Step n appends `new_lengths[n]` bytes of the new text, then
    `copied_lengths[n]` bytes of the older value from offset `copied_starts[n]`.

    Parameters
    ----------
    base, result
        Digests of the older value, empty for none, and of the resulting one.
    packed_text
        Compressed new text of all steps.
    """

    base: str
    result: str
    new_lengths: tuple[int, ...]
    copied_starts: tuple[int, ...]
    copied_lengths: tuple[int, ...]
    packed_text: bytes


def digest_of(value: bytes) -> str:
    """Return the digest of a value; empty for an empty value."""
    return xxhash.xxh3_128_hexdigest(value) if value else ""


def between(base: bytes, value: bytes) -> ValueDelta:
    """Return the delta that makes `value` out of `base`, which may be empty."""
    start_by_piece = _piece_offsets(base)
    steps = _Steps()
    for piece in _PIECE.findall(value):
        if not piece:
            continue
        if base.startswith(piece, steps.copied_end) and steps.copying:
            steps.copy(steps.copied_end, len(piece))
            continue
        start = start_by_piece.get(piece)
        if start is None:
            steps.add(piece)
        else:
            steps.copy(start, len(piece))
    return ValueDelta(
        base=digest_of(base),
        result=digest_of(value),
        new_lengths=tuple(steps.new_lengths),
        copied_starts=tuple(steps.copied_starts),
        copied_lengths=tuple(steps.copied_lengths),
        packed_text=zlib.compress(b"".join(steps.text), _COMPRESSION_LEVEL),
    )


def apply(delta: ValueDelta, base: bytes) -> bytes:
    """Return the value that `delta` makes out of `base`.

    Raises
    ------
    FormatError
        If it was made for another value, or the result has another digest.
    """
    if digest_of(base) != delta.base:
        raise _error(f"{len(base)} bytes are not the value it was made for")
    text = _unpacked(delta.packed_text)
    parts = []
    text_offset = 0
    for new_length, start, length in zip(
        delta.new_lengths,
        delta.copied_starts,
        delta.copied_lengths,
        strict=False,
    ):
        parts.append(text[text_offset : text_offset + new_length])
        parts.append(base[start : start + length])
        text_offset += new_length
    value = b"".join(parts)
    if digest_of(value) != delta.result:
        raise _error(f"it makes {len(value)} bytes of another digest")
    return value


def _unpacked(packed: bytes) -> bytes:
    unpacking = zlib.decompressobj()
    try:
        return unpacking.decompress(packed, _MAX_VALUE_BYTES)
    except zlib.error as error:
        raise _error(f"its text is not compressed: {error}") from error


def _piece_offsets(base: bytes) -> dict[bytes, int]:
    start_by_piece: dict[bytes, int] = {}
    offset = 0
    for piece in _PIECE.findall(base):
        start_by_piece.setdefault(piece, offset)
        offset += len(piece)
    return start_by_piece


def _error(detail: str) -> format_error.FormatError:
    return format_error.FormatError(
        step=errors.Step.PEER_FRAME, detail=f"delta of a value: {detail}"
    )


class _Steps:
    """Collects the steps of a delta."""

    def __init__(self) -> None:
        self.new_lengths: list[int] = []
        self.copied_starts: list[int] = []
        self.copied_lengths: list[int] = []
        self.text: list[bytes] = []

    @property
    def copying(self) -> bool:
        """Whether the last step ends with bytes of the older value."""
        return bool(self.copied_lengths) and self.copied_lengths[-1] > 0

    @property
    def copied_end(self) -> int:
        """Offset in the older value after the last bytes that were copied."""
        if not self.copied_starts:
            return 0
        return self.copied_starts[-1] + self.copied_lengths[-1]

    def add(self, text: bytes) -> None:
        """Append new text."""
        if self.copying or not self.new_lengths:
            self._append_step()
        self.new_lengths[-1] += len(text)
        self.text.append(text)

    def copy(self, start: int, length: int) -> None:
        """Append bytes of the older value."""
        if self.copying and start == self.copied_end:
            self.copied_lengths[-1] += length
            return
        if self.copying or not self.new_lengths:
            self._append_step()
        self.copied_starts[-1] = start
        self.copied_lengths[-1] = length

    def _append_step(self) -> None:
        self.new_lengths.append(0)
        self.copied_starts.append(0)
        self.copied_lengths.append(0)
