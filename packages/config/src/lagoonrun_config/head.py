"""The head: the only mutable value of the configuration in the store.

The head contains the revision in force, the digest of its snapshot and the most
recent changes (the tail). It is small, so that daemons can watch it; the
content is in immutable snapshots, each stored under its digest.
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
"""Number of changes in the head, including the one in force."""

_CANCELLED_LENGTH = 32
_MAX_NAMES = 20
_FORMAT = 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Change:
    """One accepted change.

    Parameters
    ----------
    names
        Names of the changed entries, for display; only the first few.
    names_omitted
        Number of further changed entries.
    """

    revision: types.Revision
    change_id: types.ChangeId
    operator: str
    names: tuple[str, ...]
    names_omitted: int = 0
    digest: snapshot.Digest

    @property
    def snapshot_key(self) -> str:
        """Return the store's key of the snapshot."""
        return snapshot_key(self.digest)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Head:
    """The revision in force and the changes that led to it.

    Parameters
    ----------
    tail
        Most recent changes, oldest first; the last one is in force. Empty
        before the first change.
    cancelled
        Ids of changes whose final outcome is that they are never applied.
    """

    tail: tuple[Change, ...] = ()
    cancelled: tuple[types.ChangeId, ...] = ()

    @property
    def revision(self) -> types.Revision:
        """Return the revision in force, 0 before the first change."""
        return self.tail[-1].revision if self.tail else types.Revision(0)

    def change(self, change_id: types.ChangeId) -> Change | None:
        """Return the change with this id if the tail contains it."""
        for change in self.tail:
            if change.change_id == change_id:
                return change
        return None

    def at(self, revision: types.Revision) -> Change | None:
        """Return the change with this revision if the tail contains it."""
        for change in self.tail:
            if change.revision == revision:
                return change
        return None

    def holds_all_after(self, revision: types.Revision) -> bool:
        """Return whether the tail contains all changes after `revision`."""
        if not self.tail:
            return True
        return self.tail[0].revision <= revision + 1

    def snapshot_keys(self) -> frozenset[str]:
        """Return the keys of the snapshots of the tail."""
        return frozenset(change.snapshot_key for change in self.tail)

    def with_change(self, change: Change) -> "Head":
        """Return the head with `change` in force."""
        tail = (*self.tail, change)[-TAIL_LENGTH:]
        return dataclasses.replace(self, tail=tail)

    def with_cancelled(self, change_id: types.ChangeId) -> "Head":
        """Return the head with `change_id` cancelled."""
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
    """Return a change with only the first few names of its entries."""
    shown = tuple(sorted(str(name) for name in names))
    return Change(
        revision=revision,
        change_id=change_id,
        operator=operator,
        names=shown[:_MAX_NAMES],
        names_omitted=max(0, len(shown) - _MAX_NAMES),
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
        If the value is not a head of this format.
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
