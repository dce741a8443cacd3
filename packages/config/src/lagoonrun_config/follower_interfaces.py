"""Interfaces that the configuration follower depends on."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from typing import Protocol

from lagoonrun_config import snapshot
from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """Revision that a peer has in force."""

    peer: types.EntryVmId
    revision: types.Revision
    digest: snapshot.Digest


class PeerSnapshots(Protocol):
    """Exchanges snapshots and announcements with other entry VMs."""

    def announcements(self) -> asyncio.Queue[Announcement]:
        """Return the queue of received announcements."""

    async def fetch(
        self,
        *,
        peer: types.EntryVmId,
        revision: types.Revision,
        digest: snapshot.Digest,
    ) -> snapshot.Snapshot | None:
        """Return the snapshot of a peer; None if it is not available."""

    def announce(
        self, *, revision: types.Revision, digest: snapshot.Digest
    ) -> None:
        """Announce the revision in force to peers from now on."""


class WatcherChoice(Protocol):
    """Selects the entry VMs that watch the head for their failure domain."""

    def is_watcher(self) -> bool:
        """Return whether this entry VM is one of the two watchers."""


class Sleep(Protocol):
    """Sleep function like `asyncio.sleep`, replaced in tests."""

    def __call__(self, seconds: float, /) -> Awaitable[None]:
        """Wait for `seconds`."""
