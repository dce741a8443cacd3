"""Reads and replaces the head and its snapshots in the platform's store."""

import dataclasses

from lagoonrun_config import draft as draft_module
from lagoonrun_config import head as head_module
from lagoonrun_config import snapshot
from lagoonrun_core import types
from lagoonrun_platform import store as store_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReadHead:
    """The head and the store revision to compare when replacing it."""

    head: head_module.Head
    modified: store_module.StoreRevision


class HeadAccess:
    """Access to the head and snapshots by calls that return no stale values.

    Parameters
    ----------
    store
        The platform's key-value service.
    """

    def __init__(self, *, store: store_module.KeyValueStore) -> None:
        self._store = store

    async def read_head(self) -> "ReadHead | store_module.Unreachable":
        """Return the current head, never a stale one."""
        # A transaction instead of a read, since a lagging store may answer
        # reads with an old head that lacks the base of a change.
        item = await self._read_now(head_module.HEAD_KEY)
        if isinstance(item, store_module.Unreachable):
            return item
        if item is None:
            return ReadHead(
                head=head_module.Head(), modified=store_module.ABSENT
            )
        return ReadHead(
            head=head_module.decode_head(item.value), modified=item.modified
        )

    async def _read_now(
        self, key: str
    ) -> store_module.KeyValue | store_module.Unreachable | None:
        result = await self._store.transact(
            comparisons=[
                store_module.Comparison(key=key, modified=store_module.ABSENT)
            ]
        )
        if isinstance(result, store_module.Rejected):
            return result.item(key)
        if isinstance(result, store_module.Committed):
            return None
        return store_module.Unreachable(detail=result.detail)

    async def content(
        self, head: head_module.Head, revision: types.Revision
    ) -> draft_module.Draft | store_module.Unreachable | None:
        """Return the content of `revision`; None if it is not stored."""
        if revision == 0:
            return draft_module.EMPTY_DRAFT
        change = head.at(revision)
        if change is None:
            return None
        item = await self._read_now(change.snapshot_key)
        if item is None or isinstance(item, store_module.Unreachable):
            return item
        return snapshot.decode_snapshot(
            snapshot.Snapshot(digest=change.digest, content=item.value)
        )

    async def write_snapshot(
        self, encoded: snapshot.Snapshot
    ) -> store_module.TransactionResult:
        """Write a snapshot; returns `Rejected` if it already exists."""
        key = head_module.snapshot_key(encoded.digest)
        return await self._store.transact(
            comparisons=[
                store_module.Comparison(key=key, modified=store_module.ABSENT)
            ],
            puts=[store_module.Put(key=key, value=encoded.content)],
        )

    async def garbage(self, new_head: head_module.Head) -> tuple[str, ...]:
        """Return the keys of snapshots that `new_head` does not reference."""
        listing = await self._store.list_prefix(
            head_module.SNAPSHOT_PREFIX, keys_only=True
        )
        if isinstance(listing, store_module.Unreachable):
            return ()
        kept = new_head.snapshot_keys()
        return tuple(item.key for item in listing.items if item.key not in kept)

    async def swap(
        self,
        read: "ReadHead",
        new_head: head_module.Head,
        *,
        deletes: tuple[str, ...],
    ) -> store_module.TransactionResult:
        """Replace the head if it is still the one that was read."""
        return await self._store.transact(
            comparisons=[
                store_module.Comparison(
                    key=head_module.HEAD_KEY, modified=read.modified
                )
            ],
            puts=[
                store_module.Put(
                    key=head_module.HEAD_KEY,
                    value=head_module.encode_head(new_head),
                )
            ],
            deletes=deletes,
        )
