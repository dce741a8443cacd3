"""The one mutable value of the configuration: its head in the store.

The head names the revision in force, its snapshot and the last changes. It
is small, so that every daemon can watch it; the content lies in immutable
snapshots, each under its digest.
"""

import dataclasses
import json
from collections.abc import Sequence

from lagoonrun_config import draft as draft_module
from lagoonrun_config import snapshot
from lagoonrun_core import types

HEAD_KEY = "config/head"
SNAPSHOT_PREFIX = "config/snapshots/"

TAIL_LENGTH = 32
"""Changes that the head keeps, the one in force included."""

_CANCELLED_LENGTH = 32
_NAMES_SHOWN = 20
_FORMAT = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """One accepted change.

    Parameters
    ----------
    names
        Entries that it changed, for people; the first few only.
    names_omitted
        How many more there were.
    """

    revision: types.Revision
    change_id: types.ChangeId
    operator: str
    names: tuple[str, ...]
    names_omitted: int = 0
    digest: snapshot.Digest

    @property
    def snapshot_key(self) -> str:
        """Return the store's key of the content."""
        return snapshot_key(self.digest)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """The configuration in force and how it came about.

    Parameters
    ----------
    tail
        Last changes, oldest first; the last one is in force. Empty before
        the first change.
    cancelled
        Changes that were settled as not applied and never may be.
    """

    tail: tuple[Change, ...] = ()
    cancelled: tuple[types.ChangeId, ...] = ()

    @property
    def revision(self) -> types.Revision:
        """Return the revision in force, 0 before the first change."""
        return self.tail[-1].revision if self.tail else types.Revision(0)

    def change(self, change_id: types.ChangeId) -> Change | None:
        """Return the change with this id when the tail still holds it."""
        for change in self.tail:
            if change.change_id == change_id:
                return change
        return None

    def at(self, revision: types.Revision) -> Change | None:
        """Return the change that made `revision`, if the tail holds it."""
        for change in self.tail:
            if change.revision == revision:
                return change
        return None

    def holds_all_after(self, revision: types.Revision) -> bool:
        """Return whether the tail holds each change after `revision`."""
        if not self.tail:
            return True
        return self.tail[0].revision <= revision + 1

    def snapshot_keys(self) -> frozenset[str]:
        """Return the keys of the content that must be kept."""
        return frozenset(change.snapshot_key for change in self.tail)

    def with_change(self, change: Change) -> "Head":
        """Return the head after `change` came into force."""
        tail = (*self.tail, change)[-TAIL_LENGTH:]
        return dataclasses.replace(self, tail=tail)

    def with_cancelled(self, change_id: types.ChangeId) -> "Head":
        """Return the head after which `change_id` is never accepted."""
        cancelled = (*self.cancelled, change_id)[-_CANCELLED_LENGTH:]
        return dataclasses.replace(self, cancelled=cancelled)


def snapshot_key(digest: snapshot.Digest) -> str:
    """Return the store's key of the snapshot with `digest`."""
    return f"{SNAPSHOT_PREFIX}{digest}"


def new_change(
    *,
    revision: types.Revision,
    change_id: types.ChangeId,
    operator: str,
    names: Sequence[draft_module.EntryName],
    digest: snapshot.Digest,
) -> Change:
    """Return the record of a change with its first few names."""
    shown = tuple(sorted(str(name) for name in names))
    return Change(
        revision=revision,
        change_id=change_id,
        operator=operator,
        names=shown[:_NAMES_SHOWN],
        names_omitted=max(0, len(shown) - _NAMES_SHOWN),
        digest=digest,
    )


def encode_head(head: Head) -> bytes:
    """Return the head as JSON."""
    fields = {
        "format": _FORMAT,
        "revision": head.revision,
        "tail": [dataclasses.asdict(change) for change in head.tail],
        "cancelled": list(head.cancelled),
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_head(value: bytes) -> Head:
    """Return the head of its JSON.

    Raises
    ------
    snapshot.SnapshotError
        When the value is not a head of this format.
    """
    try:
        fields = json.loads(value)
        if fields["format"] != _FORMAT:
            raise ValueError(f"format {fields['format']!r}")
        tail = tuple(_change(one) for one in fields["tail"])
        return Head(tail=tail, cancelled=tuple(fields["cancelled"]))
    except (KeyError, TypeError, ValueError) as error:
        raise snapshot.SnapshotError(
            detail=f"{HEAD_KEY} cannot be read: {error!r}; valid: format "
            f"{_FORMAT} of this build",
        ) from error


def _change(fields: dict) -> Change:
    return Change(**{**fields, "names": tuple(fields["names"])})
