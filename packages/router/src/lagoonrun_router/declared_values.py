"""Encoded values of the declarations, and the deltas between them."""

import collections
import dataclasses

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import value_delta

_MAX_OLDER_VALUES = 8
"""Number of older values that are kept, since others may still have them: those
of one second, if operators change the configuration every 1/8 s."""

_MAX_OLDER_BYTES = 4 * 1024 * 1024
"""Total size of older values that are kept: a thirtieth of the smallest VM's
memory."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeclaredValue:
    """One encoded value of the declarations.

    Parameters
    ----------
    digest
        Digest of the text; empty for an empty text.
    """

    revision: types.Revision
    text: bytes
    digest: str


NOTHING_DECLARED = DeclaredValue(
    revision=types.Revision(0), text=b"", digest=""
)


class DeclaredValues:
    """The newest value, and some older ones as bases of deltas."""

    def __init__(self) -> None:
        self.newest = NOTHING_DECLARED
        self._older_by_digest: collections.OrderedDict[str, DeclaredValue] = (
            collections.OrderedDict()
        )
        self._change_by_base: dict[str, router_messages.DeclaredChange] = {}

    def put(self, text: bytes, *, revision: types.Revision) -> None:
        """Replace the newest value."""
        self._older_by_digest[self.newest.digest] = self.newest
        self._drop_oldest()
        self._change_by_base.clear()
        self.newest = DeclaredValue(
            revision=revision, text=text, digest=value_delta.digest_of(text)
        )

    def change_from(self, digest: str) -> router_messages.DeclaredChange:
        """Return the delta from the value with this digest to the newest one.

        If no such value is kept, the delta is one from an empty value.
        """
        base = self._older_by_digest.get(digest, NOTHING_DECLARED)
        change = self._change_by_base.get(base.digest)
        if change is None:
            change = self._change_by_base[base.digest] = self._change(base)
        return change

    def apply_change(self, change: router_messages.DeclaredChange) -> bytes:
        """Return the value that a delta makes out of the newest one.

        Raises
        ------
        FormatError
            If the delta was made for another value.
        """
        delta = value_delta.ValueDelta(
            base=change.base,
            result=change.result,
            new_lengths=change.new_lengths,
            copied_starts=change.copied_starts,
            copied_lengths=change.copied_lengths,
            packed_text=change.packed_text,
        )
        base = self.newest.text if change.base else b""
        return value_delta.apply(delta, base)

    def _change(self, base: DeclaredValue) -> router_messages.DeclaredChange:
        delta = value_delta.between(base.text, self.newest.text)
        return router_messages.DeclaredChange(
            revision=self.newest.revision,
            base=delta.base,
            result=delta.result,
            new_lengths=delta.new_lengths,
            copied_starts=delta.copied_starts,
            copied_lengths=delta.copied_lengths,
            packed_text=delta.packed_text,
        )

    def _drop_oldest(self) -> None:
        older = self._older_by_digest
        held_bytes = sum(len(one.text) for one in older.values())
        while len(older) > _MAX_OLDER_VALUES or held_bytes > _MAX_OLDER_BYTES:
            _, dropped = older.popitem(last=False)
            held_bytes -= len(dropped.text)
