"""The local replica of the store: declarations, upstreams, blocks, overrides.

The replica is updated by the store follower, where this entry VM reads the
store itself, and otherwise by changes and copies that peers send. Revisions of
the store begin with its era: a counter that the store increments on each
restore from a backup, after which the rest of the revision may be lower than
before.
"""

import logging
import traceback
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, types
from lagoonrun_platform import store as store_module
from lagoonrun_platform import store_eras
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    declarations,
    declared_values,
    dialect,
    format_error,
    peer_table,
    upstream_entries,
    upstreams,
)


class DeclarationsListener(Protocol):
    """Receives each new revision of the declarations."""

    def __call__(self, declared: declarations.Declarations) -> None:
        """Apply `declared`."""


class BlocksListener(Protocol):
    """Receives the blocked requests that are stored."""

    def apply_stored(self, id: types.BlockId, value: bytes) -> None:
        """Apply a stored block."""

    def apply_removed(self, id: types.BlockId) -> None:
        """Apply that a block was removed or has expired."""

    def on_entries_applied(self) -> None:
        """React to the end of entries that were read together."""

    def on_store_restored(self) -> None:
        """React to a restore, by which the store may have lost blocks."""


class OverridesListener(Protocol):
    """Receives the operators' overrides that are stored."""

    def apply_stored(self, key: str, value: bytes, *, source: str) -> None:
        """Apply a stored override; `key` is without the prefix."""

    def apply_removed(self, key: str, *, source: str) -> None:
        """Apply that an override was removed."""


class ChangesListener(Protocol):
    """Receives changes that this entry VM has read from the store."""

    def __call__(self, changes: router_messages.StoreChanges) -> None:
        """Send the changes to the neighbours that do not read the store."""


class StoreReplica:
    """The store's contents as this entry VM knows them.

    The revision of the declarations never decreases.

    Parameters
    ----------
    layout
        Keys and value formats of the store.
    directory
        Receives the registrations of upstreams.
    peers
        Receives the records of entry VMs.
    blocks
        Receives the blocked requests.
    overrides
        Receives the operators' overrides.
    on_declarations
        Receives each newer revision of the declarations.
    on_upstreams
        Called after upstreams have changed.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        layout: dialect.StoreLayout,
        directory: upstreams.UpstreamDirectory,
        peers: peer_table.PeerTable,
        blocks: BlocksListener,
        overrides: OverridesListener,
        on_declarations: DeclarationsListener,
        on_upstreams: Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self._layout = layout
        self._directory = directory
        self._peer_table = peers
        self._upstream_entries = upstream_entries.UpstreamEntries(
            layout=layout, directory=directory, clock=clock
        )
        self._blocks = blocks
        self._overrides = overrides
        self._on_declarations = on_declarations
        self._on_upstreams = on_upstreams
        self._clock = clock
        self.declared = declared_values.DeclaredValues()
        """The encoded declarations in force, for peers to fetch."""
        self.on_changes: ChangesListener | None = None
        self.upstreams_known = False
        self.follows_store = False
        """Whether the last read of the store by this entry VM succeeded."""
        self.store_revision = store_module.ABSENT
        """Newest known store revision that changed a shared entry."""
        self.read_revision = store_module.ABSENT
        """Revision of the store up to which all keys are known."""
        self.newest_reported_revision = store_module.ABSENT
        """Highest `read_revision` that a peer has reported."""
        self._entries_by_key: dict[str, bytes] = {}
        self._upstreams_changed = False
        self._blocks_changed = False

    @property
    def revision(self) -> types.Revision:
        """Revision of the declarations in force; 0 for none."""
        return self.declared.newest.revision

    # Updates by the store follower.

    def prepare_listing(self, items: Sequence[store_module.KeyValue]) -> None:
        """Decode some items of a listing that is about to be applied.

        The listing is applied as a whole; decoded before, it takes a short time.
        """
        self.prepare_entries({item.key: item.value for item in items})

    def prepare_entries(self, value_by_key: Mapping[str, bytes]) -> None:
        """Decode some entries that are about to be applied."""
        for key, value in value_by_key.items():
            if key.startswith(self._layout.upstreams_prefix):
                self._upstream_entries.prepare(key, value)

    def apply_listing(
        self,
        items: tuple[store_module.KeyValue, ...],
        revision: store_module.StoreRevision,
    ) -> None:
        """Apply a listing of all keys, as of `revision` or later."""
        restored = _is_restored(since=self.read_revision, until=revision)
        if restored:
            self._on_restored()
        since = self.store_revision
        entries_before = self._entries_by_key
        declared_before = self.declared.newest.digest
        self.follows_store = True
        entries_by_key = {}
        for item in items:
            if self._is_shared_key(item.key):
                entries_by_key[item.key] = item.value
            else:
                self._apply_value(item.key, item.value)
        if revision >= self.store_revision:
            self._apply_entries(entries_by_key, restored=restored)
        else:
            # Peers have sent later changes since the listing began.
            entries_by_key = entries_before
        self.read_revision = max(self.read_revision, revision)
        changed = {
            key
            for key in entries_before.keys() | entries_by_key.keys()
            if entries_before.get(key) != entries_by_key.get(key)
        }
        # After a restore the revision rises even if nothing changed here: a
        # neighbour may know writes that the store has lost, and has to fetch
        # all entries again.
        if changed or restored or since == store_module.ABSENT:
            self.store_revision = max(self.store_revision, revision)
        self._notify_changes(since, changed, declared_before, listed=True)

    def apply_changes(
        self,
        changes: tuple[store_module.Event, ...],
        revision: store_module.StoreRevision,
    ) -> None:
        """Apply all changes up to `revision`; `changes` may be empty."""
        since = self.store_revision
        declared_before = self.declared.newest.digest
        self.follows_store = True
        changed = set()
        for change in changes:
            if self._is_shared_key(change.key):
                if since != store_module.ABSENT and change.modified <= since:
                    # Peers have sent it, and maybe later ones of this key.
                    continue
                changed.add(change.key)
                self.store_revision = max(self.store_revision, change.modified)
            if change.value is None:
                self._apply_removal(change.key)
            else:
                self._apply_value(change.key, change.value)
        self.read_revision = max(self.read_revision, revision)
        self._report_applied()
        self._notify_changes(since, changed, declared_before)

    def _is_shared_key(self, key: str) -> bool:
        """Return whether entry VMs send entries with this key to each other."""
        return key.startswith(
            (
                self._layout.upstreams_prefix,
                self._layout.blocked_requests_prefix,
                self._layout.overrides_prefix,
            )
        )

    def _apply_removal(self, key: str) -> None:
        if key.startswith(self._layout.upstreams_prefix):
            self._entries_by_key.pop(key, None)
            self._upstream_entries.apply_removal(key)
            self._upstreams_changed = True
        elif key.startswith(self._layout.blocked_requests_prefix):
            self._entries_by_key.pop(key, None)
            self._blocks.apply_removed(self._block_of(key))
            self._blocks_changed = True
        elif key.startswith(self._layout.overrides_prefix):
            self._entries_by_key.pop(key, None)
            self._overrides.apply_removed(
                self._override_key_of(key), source=self._entry_source
            )
        elif key.startswith(self._layout.entry_vms_prefix):
            name = key.removeprefix(self._layout.entry_vms_prefix)
            self._peer_table.remove(types.EntryVmId(name))

    def _notify_changes(
        self,
        since: store_module.StoreRevision,
        changed: Iterable[str],
        declared_before: str,
        *,
        listed: bool = False,
    ) -> None:
        """Notify the listener of changes just read from the store, if any."""
        declared = ()
        if self.declared.newest.digest != declared_before:
            declared = (self.declared.change_from(declared_before),)
        items = tuple(self._changed_item(key, listed=listed) for key in changed)
        if self.on_changes is None or not (items or declared):
            return
        self.on_changes(
            router_messages.StoreChanges(
                since=since,
                # A listing without a difference does not show that nothing
                # has changed since, so it raises no revision.
                until=since if listed and not items else self.store_revision,
                items=items,
                declared=declared,
            )
        )

    def _changed_item(
        self, key: str, *, listed: bool
    ) -> router_messages.ChangedItem:
        value = self._entries_by_key.get(key)
        return router_messages.ChangedItem(
            key=key,
            value=value or b"",
            removed=value is None,
            listed=listed,
        )

    def on_store_call_failed(self) -> None:
        """Leave reading to others until the store answers again."""
        self.follows_store = False

    def on_store_unreachable(self) -> None:
        """Keep upstreams whose entries expire during the outage."""
        self.follows_store = False
        self._directory.on_store_unreachable()

    def on_store_reachable(self) -> None:
        """Allow expired entries the time to be written again."""
        self._directory.on_store_reachable(now=self._clock.monotonic())

    def on_reading_delegated(self) -> None:
        """Rely on the changes that peers send from now on."""
        self.follows_store = False

    # Updates and queries by peers.

    def upstream_entries(self) -> dict[str, bytes]:
        """Return the encoded shared entries by key."""
        return dict(self._entries_by_key)

    def apply_peer_changes(self, changes: router_messages.StoreChanges) -> bool:
        """Apply changes that another entry VM has just read from the store.

        Returns whether any of them was new. Changes of shared entries
        are applied only if this entry VM does not read the store itself and no
        change before them is missing; otherwise all entries are fetched.
        """
        revision = self.revision
        for change in changes.declared:
            self.apply_declared_change(change, source=changes.entry_vm)
        return self._apply_changed_items(changes) or self.revision > revision

    def _apply_changed_items(
        self, changes: router_messages.StoreChanges
    ) -> bool:
        if self.follows_store:
            return False
        if not changes.since <= self.store_revision < changes.until:
            return False
        listed = any(item.listed for item in changes.items)
        if listed and changes.since != self.store_revision:
            return False
        if _is_restored(since=changes.since, until=changes.until):
            # A restore also removes entries, so all entries are fetched.
            return False
        for item in changes.items:
            if item.removed:
                self._apply_removal(item.key)
            else:
                self._apply_value(item.key, item.value)
        self.store_revision = store_module.StoreRevision(changes.until)
        self._report_applied()
        return True

    def apply_declared_change(
        self, change: router_messages.DeclaredChange, *, source: str
    ) -> None:
        """Apply newer declarations that are given as a delta.

        A delta against another value than the one in force is ignored: a
        matching one is fetched from its sender or another peer.
        """
        newest = self.declared.newest
        fits = change.base in ("", newest.digest)
        if change.revision <= newest.revision or not fits:
            return
        try:
            value = self.declared.apply_change(change)
        except format_error.FormatError as error:
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.WARNING,
                peer=source,
                detail=error.detail,
            )
            return
        self.apply_declarations(value, source=source)

    def record_peer_revision(
        self, message: router_messages.RouterState | router_messages.DomainNews
    ) -> None:
        """Record up to which revision a peer knows the store.

        If it has the same declarations and upstreams as this entry VM, this one
        knows the store up to the same revision.
        """
        self.newest_reported_revision = max(
            self.newest_reported_revision,
            store_module.StoreRevision(message.read_revision),
        )
        if self.follows_store:
            return
        if (message.revision, message.store_revision) == (
            self.revision,
            self.store_revision,
        ):
            self.read_revision = max(
                self.read_revision,
                store_module.StoreRevision(message.read_revision),
            )

    def apply_peer_entries(
        self,
        entries_by_key: Mapping[str, bytes],
        revision: store_module.StoreRevision,
    ) -> None:
        """Replace the shared entries by those of a peer.

        Applied only if this entry VM does not read the store itself, and only
        newer ones: a peer that lags must not restore removed entries.
        """
        if self.follows_store or revision <= self.store_revision:
            return
        restored = _is_restored(since=self.store_revision, until=revision)
        if restored:
            self._on_restored()
        self.store_revision = revision
        self._apply_entries(entries_by_key, restored=restored)

    def apply_declarations(self, value: bytes, *, source: str) -> None:
        """Apply an encoded value of the declarations if it is newer."""
        try:
            declared = self._layout.decode_declarations(value)
        except format_error.FormatError as error:
            logs.emit(
                events.LogEvent.CONFIGURATION_REJECTED,
                level=logging.ERROR,
                source=source,
                reason=error.detail,
                revision=self.revision,
            )
            return
        if declared.revision <= self.revision:
            return
        previous = self.revision
        self.declared.put(value, revision=declared.revision)
        logs.emit(
            events.LogEvent.CONFIGURATION_IN_FORCE,
            revision=declared.revision,
            previous=previous,
            source=source,
            routes=len(declared.routes),
        )
        self._on_declarations(declared)
        if self._upstream_entries.apply_declarations(
            declared, self._entries_by_key
        ):
            self.upstreams_known = True
            self._upstreams_changed = True
        # Routes and upstreams take effect together.
        self._report_applied()

    def _apply_value(self, key: str, value: bytes) -> None:
        """Apply one entry; an error that it causes concerns this entry only.

        Otherwise one entry would hide all others: the task that reads the store
        would end, list all keys again and end at the same entry.
        """
        try:
            self._apply_valid_value(key, value)
        except Exception as error:
            logs.emit(
                events.LogEvent.TASK_FAILED,
                level=logging.ERROR,
                task=f"store-replica {key}",
                error=repr(error),
                trace="".join(traceback.format_tb(error.__traceback__)),
            )

    def _apply_valid_value(self, key: str, value: bytes) -> None:
        if key == self._layout.declarations_key:
            self.apply_declarations(value, source="store")
        elif key.startswith(self._layout.upstreams_prefix):
            self._apply_upstream_entry(key, value)
        elif key.startswith(self._layout.blocked_requests_prefix):
            self._entries_by_key[key] = value
            self._blocks_changed = True
            self._blocks.apply_stored(self._block_of(key), value)
        elif key.startswith(self._layout.overrides_prefix):
            self._entries_by_key[key] = value
            self._overrides.apply_stored(
                self._override_key_of(key), value, source=self._entry_source
            )
        elif key.startswith(self._layout.entry_vms_prefix):
            name = key.removeprefix(self._layout.entry_vms_prefix)
            self._peer_table.apply_record(types.EntryVmId(name), value)

    def _apply_upstream_entry(self, key: str, value: bytes) -> None:
        self._entries_by_key[key] = value
        if self._upstream_entries.apply(key, value):
            self.upstreams_known = True
        self._upstreams_changed = True

    def _report_applied(self) -> None:
        """Report all changes that were applied, together."""
        if self._blocks_changed:
            self._blocks_changed = False
            self._blocks.on_entries_applied()
        if self._upstreams_changed:
            self._upstreams_changed = False
            self._on_upstreams()

    def _on_restored(self) -> None:
        """Notify the directory and the blocks that the store was restored.

        Upstreams that the backup lacks register again; those that have ended
        since it was made are still listed, but must not be used because of
        that. Blocks that it lacks are written again; the overrides become
        those of the backup.
        """
        self._directory.on_store_restored(now=self._clock.monotonic())
        self._blocks.on_store_restored()

    def _block_of(self, key: str) -> types.BlockId:
        prefix = self._layout.blocked_requests_prefix
        return types.BlockId(key.removeprefix(prefix))

    @property
    def _entry_source(self) -> str:
        return "store" if self.follows_store else "peer"

    def _override_key_of(self, key: str) -> str:
        return key.removeprefix(self._layout.overrides_prefix)

    def _apply_entries(
        self, entries_by_key: Mapping[str, bytes], *, restored: bool
    ) -> None:
        before = self._entries_by_key
        missing = before.keys() - entries_by_key.keys()
        self._entries_by_key = dict(entries_by_key)
        prefix = self._layout.upstreams_prefix
        upstream_entries = {
            key: value
            for key, value in entries_by_key.items()
            if key.startswith(prefix)
        }
        self._upstream_entries.apply_listing(
            upstream_entries, before=before, restored=restored
        )
        self.upstreams_known = self.upstreams_known or bool(upstream_entries)
        self._upstreams_changed = True
        # Blocks that are missing are left to expire: a listing does not say
        # whether they were removed or never written.
        for key in entries_by_key.keys() - upstream_entries.keys():
            self._apply_value(key, entries_by_key[key])
        # An override has no lease: one that is missing was removed.
        for key in missing:
            if key.startswith(self._layout.overrides_prefix):
                self._apply_removal(key)
        self._report_applied()


def _is_restored(*, since: int, until: int) -> bool:
    """Return whether the store was restored between two revisions."""
    return since != store_module.ABSENT and (
        store_eras.era_of(since) < store_eras.era_of(until)
    )
