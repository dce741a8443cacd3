"""The declarations as they were read, and how to get from one to the next."""

import collections
import dataclasses

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import value_delta

_REMEMBERED = 8
"""Values that others may still have: those of a second in which operators change
the configuration every eighth of one."""

_REMEMBERED_BYTES = 4 * 1024 * 1024
"""The same, for large values: a thirtieth of the smallest VM in use."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DeclaredValue:
    """One value of the declarations.

    Parameters
    ----------
    digest
        Tells it from others; empty for an empty one.
    """

    revision: types.Revision
    text: bytes
    digest: str


NOTHING_DECLARED = DeclaredValue(
    revision=types.Revision(0), text=b"", digest=""
)


class DeclaredValues:
    """The newest value, and some before it."""

    def __init__(self) -> None:
        self.newest = NOTHING_DECLARED
        self._older_by_digest: collections.OrderedDict[str, DeclaredValue] = (
            collections.OrderedDict()
        )
        self._change_by_base: dict[str, router_messages.DeclaredChange] = {}

    def take(self, text: bytes, *, revision: types.Revision) -> None:
        """Replace the newest value."""
        self._older_by_digest[self.newest.digest] = self.newest
        self._forget_oldest()
        self._change_by_base.clear()
        self.newest = DeclaredValue(
            revision=revision, text=text, digest=value_delta.digest_of(text)
        )

    def change_from(self, digest: str) -> router_messages.DeclaredChange:
        """Return how to make the newest value out of an older one.

        Out of nothing, where the older one is not known here.
        """
        base = self._older_by_digest.get(digest, NOTHING_DECLARED)
        change = self._change_by_base.get(base.digest)
        if change is None:
            change = self._change_by_base[base.digest] = self._change(base)
        return change

    def made_by(self, change: router_messages.DeclaredChange) -> bytes:
        """Return the value that a change makes out of the newest one.

        Raises
        ------
        FormatError
            Where it was made for another value.
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

    def _forget_oldest(self) -> None:
        older = self._older_by_digest
        held = sum(len(one.text) for one in older.values())
        while len(older) > _REMEMBERED or held > _REMEMBERED_BYTES:
            _, forgotten = older.popitem(last=False)
            held -= len(forgotten.text)
