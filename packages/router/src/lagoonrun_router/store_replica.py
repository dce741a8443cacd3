"""Turn what the store and the peers tell into declarations and upstreams."""

import logging
from collections.abc import Callable, Iterable, Mapping
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
    upstreams,
)


class DeclarationsListener(Protocol):
    """Receives each revision that comes into force."""

    def __call__(self, declared: declarations.Declarations) -> None:
        """Put `declared` into force."""


class BlocksListener(Protocol):
    """Receives the blocked requests that the store keeps."""

    def apply_stored(self, request: types.RequestDigest, value: bytes) -> None:
        """Take in a block."""

    def apply_removed(self, request: types.RequestDigest) -> None:
        """Take in that a block was removed, or its time has passed."""

    def on_store_restored(self) -> None:
        """Take in that the store may have lost blocks that it had."""


class ChangesListener(Protocol):
    """Receives what this entry VM has read of the store itself."""

    def __call__(self, changes: router_messages.StoreChanges) -> None:
        """Tell the neighbours that rely on this entry VM."""


class StoreReplica:
    """Receives the store's contents; the declarations only move forwards.

    Parameters
    ----------
    layout
        Keys and formats of the store.
    directory
        Receives the upstreams.
    peers
        Receives the entry VMs.
    blocks
        Receives the blocked requests.
    on_declarations
        Receives each newer revision.
    on_upstreams
        Called when upstreams have changed.
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
        on_declarations: DeclarationsListener,
        on_upstreams: Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self._layout = layout
        self._directory = directory
        self._peers = peers
        self._blocks = blocks
        self._on_declarations = on_declarations
        self._on_upstreams = on_upstreams
        self._clock = clock
        self.declared = declared_values.DeclaredValues()
        """The declarations in force as they were read, for peers."""
        self.on_changes: ChangesListener | None = None
        self.upstreams_known = False
        self.follows_store = False
        """Whether the last own reading of the store succeeded."""
        self.store_revision = store_module.ABSENT
        """Revision of the store that last changed the upstreams, as known."""
        self.read_revision = store_module.ABSENT
        """Revision of the store up to which all keys are known."""
        self.newest_told_revision = store_module.ABSENT
        """The same of whichever peer knows most."""
        self._entries_by_key: dict[str, bytes] = {}

    @property
    def revision(self) -> types.Revision:
        """Revision of the declarations in force; 0 for none."""
        return self.declared.newest.revision

    # What the store follower tells.

    def apply_listing(
        self,
        items: tuple[store_module.KeyValue, ...],
        revision: store_module.StoreRevision,
    ) -> None:
        """Take in all keys, as of `revision` at least."""
        restored = _is_restored(since=self.read_revision, until=revision)
        if restored:
            self._note_restored()
        since = self.store_revision
        entries_before = self._entries_by_key
        declared_before = self.declared.newest.digest
        self.follows_store = True
        entries_by_key = {}
        for item in items:
            if self._is_entry(item.key):
                entries_by_key[item.key] = item.value
            else:
                self._take_value(item.key, item.value)
        self._take_entries(entries_by_key)
        self.read_revision = max(self.read_revision, revision)
        changed = {
            key
            for key in entries_before.keys() | entries_by_key.keys()
            if entries_before.get(key) != entries_by_key.get(key)
        }
        # After a restore also where nothing changed here: a neighbour may have
        # heard of what the store has lost, and has to look at all anew.
        if changed or restored or since == store_module.ABSENT:
            self.store_revision = max(self.store_revision, revision)
        self._tell_changes(since, changed, declared_before)

    def apply_changes(
        self,
        changes: tuple[store_module.Event, ...],
        revision: store_module.StoreRevision,
    ) -> None:
        """Take in all changes up to `revision`; there may be none."""
        since = self.store_revision
        declared_before = self.declared.newest.digest
        self.follows_store = True
        changed = set()
        for change in changes:
            if self._is_entry(change.key):
                changed.add(change.key)
                self.store_revision = max(self.store_revision, change.modified)
            if change.value is None:
                self._take_removal(change.key)
            else:
                self._take_value(change.key, change.value)
        self.read_revision = max(self.read_revision, revision)
        self._tell_changes(since, changed, declared_before)

    def _is_entry(self, key: str) -> bool:
        """Return whether the entry VMs hand a key on to each other."""
        return key.startswith(
            (
                self._layout.upstreams_prefix,
                self._layout.blocked_requests_prefix,
            )
        )

    def _take_removal(self, key: str) -> None:
        if key.startswith(self._layout.upstreams_prefix):
            self._entries_by_key.pop(key, None)
            now = self._clock.monotonic()
            self._directory.apply_removal(self._upstream_id(key), now=now)
            self._on_upstreams()
        elif key.startswith(self._layout.blocked_requests_prefix):
            self._entries_by_key.pop(key, None)
            self._blocks.apply_removed(self._blocked_request(key))
        elif key.startswith(self._layout.entry_vms_prefix):
            name = key.removeprefix(self._layout.entry_vms_prefix)
            self._peers.remove(types.EntryVmId(name))

    def _tell_changes(
        self,
        since: store_module.StoreRevision,
        changed: Iterable[str],
        declared_before: str,
    ) -> None:
        """Tell what this entry VM has just read, if anything is new."""
        declared = ()
        if self.declared.newest.digest != declared_before:
            declared = (self.declared.change_from(declared_before),)
        items = tuple(map(self._changed_item, changed))
        if self.on_changes is None or not (items or declared):
            return
        self.on_changes(
            router_messages.StoreChanges(
                since=since,
                until=self.store_revision,
                items=items,
                declared=declared,
            )
        )

    def _changed_item(self, key: str) -> router_messages.ChangedItem:
        value = self._entries_by_key.get(key)
        return router_messages.ChangedItem(
            key=key, value=value or b"", removed=value is None
        )

    def on_store_call_failed(self) -> None:
        """Have others read until the store answers again."""
        self.follows_store = False

    def on_store_unreachable(self) -> None:
        """Keep upstreams whose entries run out meanwhile."""
        self.follows_store = False
        self._directory.on_store_unreachable()

    def on_store_reachable(self) -> None:
        """Give entries that ran out the time to come back."""
        self._directory.on_store_reachable(now=self._clock.monotonic())

    def on_reading_delegated(self) -> None:
        """Rely on peers from now on."""
        self.follows_store = False

    # What peers tell and ask.

    def upstream_entries(self) -> dict[str, bytes]:
        """Return the entries of upstreams and blocks as they were read."""
        return dict(self._entries_by_key)

    def take_changes_of_peer(
        self, changes: router_messages.StoreChanges
    ) -> bool:
        """Take in what another entry VM has just read of the store.

        Returns whether anything of it was new here. Changes of upstreams count
        only where the store is not read from here, and where nothing is missing
        between them and what is known; else all of them are fetched.
        """
        revision = self.revision
        for change in changes.declared:
            self.take_declared_change(change, source=changes.entry_vm)
        return self._take_items(changes) or self.revision > revision

    def _take_items(self, changes: router_messages.StoreChanges) -> bool:
        if self.follows_store:
            return False
        if not changes.since <= self.store_revision < changes.until:
            return False
        if _is_restored(since=changes.since, until=changes.until):
            # What stands in an older copy is no news; all is looked at.
            return False
        for item in changes.items:
            if item.removed:
                self._take_removal(item.key)
            else:
                self._take_value(item.key, item.value)
        self.store_revision = store_module.StoreRevision(changes.until)
        return True

    def take_declared_change(
        self, change: router_messages.DeclaredChange, *, source: str
    ) -> None:
        """Put newer declarations into force by what has changed in them.

        A change of another value than the one in force is left: its sender, or
        another peer, is asked for one that fits.
        """
        newest = self.declared.newest
        fits = change.base in ("", newest.digest)
        if change.revision <= newest.revision or not fits:
            return
        try:
            value = self.declared.made_by(change)
        except format_error.FormatError as error:
            logs.emit(
                events.LogEvent.PEER_FRAME_REJECTED,
                level=logging.WARNING,
                peer=source,
                detail=error.detail,
            )
            return
        self.take_declarations(value, source=source)

    def note_read_by_peer(
        self, told: router_messages.RouterState | router_messages.DomainNews
    ) -> None:
        """Take in up to where a peer knows the store.

        What it knows is all known here where it knows the same declarations
        and upstreams.
        """
        self.newest_told_revision = max(
            self.newest_told_revision,
            store_module.StoreRevision(told.read_revision),
        )
        if self.follows_store:
            return
        if (told.revision, told.store_revision) == (
            self.revision,
            self.store_revision,
        ):
            self.read_revision = max(
                self.read_revision,
                store_module.StoreRevision(told.read_revision),
            )

    def take_entries_of_peer(
        self,
        entries_by_key: Mapping[str, bytes],
        revision: store_module.StoreRevision,
    ) -> None:
        """Take in the entries of upstreams and blocks as a peer knows them.

        Only where the store is not read from here, and only what is newer: a
        peer that is behind must not bring back what has left.
        """
        if self.follows_store or revision <= self.store_revision:
            return
        if _is_restored(since=self.store_revision, until=revision):
            self._note_restored()
        self.store_revision = revision
        self._take_entries(entries_by_key)

    def take_declarations(self, value: bytes, *, source: str) -> None:
        """Put a value of the declarations into force if it is newer."""
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
        self.declared.take(value, revision=declared.revision)
        logs.emit(
            events.LogEvent.CONFIGURATION_IN_FORCE,
            revision=declared.revision,
            previous=previous,
            source=source,
            routes=len(declared.routes),
        )
        self._on_declarations(declared)

    # Parts.

    def _take_value(self, key: str, value: bytes) -> None:
        if key == self._layout.declarations_key:
            self.take_declarations(value, source="store")
        elif key.startswith(self._layout.upstreams_prefix):
            self._entries_by_key[key] = value
            self._take_entry(key, value)
        elif key.startswith(self._layout.blocked_requests_prefix):
            self._entries_by_key[key] = value
            self._blocks.apply_stored(self._blocked_request(key), value)
        elif key.startswith(self._layout.entry_vms_prefix):
            name = key.removeprefix(self._layout.entry_vms_prefix)
            self._peers.take_record(types.EntryVmId(name), value)

    def _take_entry(self, key: str, value: bytes) -> None:
        """Take in one upstream's entry.

        One that makes no sense, of another writer, names no upstream; the
        others hold.
        """
        registration = self._decoded(key, value)
        if registration is None:
            self._directory.take_unreadable(self._upstream_id(key))
        else:
            now = self._clock.monotonic()
            self._directory.apply_entry(registration, now=now)
            self.upstreams_known = True
        self._on_upstreams()

    def _upstream_id(self, key: str) -> types.UpstreamId:
        return types.UpstreamId(key.removeprefix(self._layout.upstreams_prefix))

    def _note_restored(self) -> None:
        """Take in that a listing is of an older copy of what was known.

        Upstreams that are missing in it register again; those that have gone
        since the copy was made stand in it, and don't come back by that. Blocks
        that it lacks are written again.
        """
        self._directory.on_store_restored(now=self._clock.monotonic())
        self._blocks.on_store_restored()

    def _blocked_request(self, key: str) -> types.RequestDigest:
        prefix = self._layout.blocked_requests_prefix
        return types.RequestDigest(key.removeprefix(prefix))

    def _take_entries(self, entries_by_key: Mapping[str, bytes]) -> None:
        self._entries_by_key = dict(entries_by_key)
        prefix = self._layout.upstreams_prefix
        upstream_entries = {
            key: value
            for key, value in entries_by_key.items()
            if key.startswith(prefix)
        }
        self._take_upstreams(upstream_entries)
        # Those that are missing are left to end by time: a listing does not
        # say whether they were removed or never written.
        for key in entries_by_key.keys() - upstream_entries.keys():
            self._take_value(key, entries_by_key[key])

    def _take_upstreams(self, entries_by_key: Mapping[str, bytes]) -> None:
        registrations = []
        unreadable = []
        for key, value in entries_by_key.items():
            registration = self._decoded(key, value)
            if registration is None:
                unreadable.append(self._upstream_id(key))
            else:
                registrations.append(registration)
        self._directory.apply_listing(
            registrations,
            unreadable=unreadable,
            now=self._clock.monotonic(),
        )
        self.upstreams_known = self.upstreams_known or bool(entries_by_key)
        self._on_upstreams()

    def _decoded(self, key: str, value: bytes) -> upstreams.Registration | None:
        try:
            return self._layout.decode_upstream(key, value)
        except format_error.FormatError as error:
            logs.emit(
                events.LogEvent.UPSTREAM_ENTRY_REJECTED,
                level=logging.ERROR,
                key=key,
                reason=error.detail,
            )
            return None


def _is_restored(*, since: int, until: int) -> bool:
    """Return whether the store came back from an older copy in between."""
    return since != store_module.ABSENT and (
        store_eras.era_of(since) < store_eras.era_of(until)
    )
