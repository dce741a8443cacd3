"""Turn what the store and the peers tell into declarations and upstreams."""

import logging
from collections.abc import Callable
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, types
from lagoonrun_platform import store as store_module
from lagoonrun_router import (
    declarations,
    dialect,
    format_error,
    peer_table,
    upstreams,
)


class DeclarationsListener(Protocol):
    """Receives each revision that comes into force."""

    def __call__(self, declared: declarations.Declarations) -> None:
        """Put `declared` into force."""


class Beliefs:
    """Receives the store's contents; the declarations only move forwards.

    Parameters
    ----------
    layout
        Keys and formats of the store.
    directory
        Receives the upstreams.
    peers
        Receives the entry VMs.
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
        on_declarations: DeclarationsListener,
        on_upstreams: Callable[[], None],
        clock: clocks.Clock,
    ) -> None:
        self._layout = layout
        self._directory = directory
        self._peers = peers
        self._on_declarations = on_declarations
        self._on_upstreams = on_upstreams
        self._clock = clock
        self.revision = types.Revision(0)
        self.declarations_value = b""
        """The declarations in force as they were read, for peers."""
        self.upstreams_known = False
        self.follows_store = False
        """Whether the last own reading of the store succeeded."""
        self.store_revision = store_module.ABSENT
        """Revision of the store up to which the upstreams are known."""
        self._entries_by_key: dict[str, bytes] = {}

    # What the store follower tells.

    def take_listing(
        self,
        items: tuple[store_module.KeyValue, ...],
        revision: store_module.StoreRevision,
    ) -> None:
        """Take in all keys, as of `revision` at least."""
        self.follows_store = True
        self.store_revision = max(self.store_revision, revision)
        entries_by_key = {}
        for item in items:
            if item.key.startswith(self._layout.upstreams_prefix):
                entries_by_key[item.key] = item.value
            else:
                self._take_value(item.key, item.value)
        self._take_upstreams(entries_by_key)

    def take_event(self, event: store_module.Event) -> None:
        """Take in one change."""
        if event.key.startswith(self._layout.upstreams_prefix):
            self.store_revision = max(self.store_revision, event.modified)
        if event.value is not None:
            self._take_value(event.key, event.value)
            return
        now = self._clock.monotonic()
        if event.key.startswith(self._layout.upstreams_prefix):
            self._entries_by_key.pop(event.key, None)
            self._directory.take_removal(self._upstream_id(event.key), now=now)
            self._on_upstreams()
        elif event.key.startswith(self._layout.entry_vms_prefix):
            name = event.key.removeprefix(self._layout.entry_vms_prefix)
            self._peers.remove(types.EntryVmId(name))

    def take_store_lost(self) -> None:
        """Keep upstreams whose entries run out meanwhile."""
        self.follows_store = False
        self._directory.take_store_lost()

    def take_store_regained(self) -> None:
        """Give entries that ran out the time to come back."""
        self._directory.take_store_regained(now=self._clock.monotonic())

    def take_store_left(self) -> None:
        """Rely on peers from now on."""
        self.follows_store = False

    # What peers tell and ask.

    def upstream_entries(self) -> dict[str, bytes]:
        """Return the upstreams' entries as they were read."""
        return dict(self._entries_by_key)

    def take_entries_of_peer(
        self,
        entries_by_key: dict[str, bytes],
        revision: store_module.StoreRevision,
    ) -> None:
        """Take in the upstreams' entries as a peer knows them.

        Only where the store is not read from here, and only what is newer: a
        peer that is behind must not bring back what has left.
        """
        if self.follows_store or revision <= self.store_revision:
            return
        self.store_revision = revision
        self._take_upstreams(entries_by_key)

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
        self.revision = declared.revision
        self.declarations_value = value
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
            self._directory.take_entry(registration, now=now)
            self.upstreams_known = True
        self._on_upstreams()

    def _upstream_id(self, key: str) -> types.UpstreamId:
        return types.UpstreamId(key.removeprefix(self._layout.upstreams_prefix))

    def _take_upstreams(self, entries_by_key: dict[str, bytes]) -> None:
        self._entries_by_key = dict(entries_by_key)
        registrations = []
        unreadable = []
        for key, value in entries_by_key.items():
            registration = self._decoded(key, value)
            if registration is None:
                unreadable.append(self._upstream_id(key))
            else:
                registrations.append(registration)
        self._directory.take_listing(
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
