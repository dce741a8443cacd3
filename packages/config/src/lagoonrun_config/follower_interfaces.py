"""What a follower of the configuration needs of its surroundings."""

import asyncio
import dataclasses
from collections.abc import Awaitable
from typing import Protocol

from lagoonrun_config import snapshot
from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class Announcement:
    """A peer says which revision it has in force."""

    peer: types.EntryVmId
    revision: types.Revision
    digest: snapshot.Digest


class PeerSnapshots(Protocol):
    """Configurations that other entry VMs have in force."""

    def announcements(self) -> asyncio.Queue[Announcement]:
        """Return the queue into which peers' announcements are put."""

    async def fetch(
        self,
        *,
        peer: types.EntryVmId,
        revision: types.Revision,
        digest: snapshot.Digest,
    ) -> snapshot.Snapshot | None:
        """Return a peer's snapshot; None when it can't be had."""

    def announce(
        self, *, revision: types.Revision, digest: snapshot.Digest
    ) -> None:
        """Tell peers from now on what this entry VM has in force."""


class WatcherChoice(Protocol):
    """Says which entry VMs watch the head on behalf of their domain."""

    def is_watcher(self) -> bool:
        """Return whether this entry VM is one of the two watchers."""


class Sleep(Protocol):
    """Waits, like `asyncio.sleep`; tests release it by hand."""

    def __call__(self, seconds: float, /) -> Awaitable[None]:
        """Wait for `seconds`."""
