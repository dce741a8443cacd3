"""Exchange configuration snapshots with peers over the inner protocol."""

import asyncio
import dataclasses
from typing import Protocol

from lagoonrun_config import follower as followers
from lagoonrun_config import follower_interfaces, snapshot
from lagoonrun_core import types
from lagoonrun_daemon import transport
from lagoonrun_protocol import messages

_MAX_QUEUED_ANNOUNCEMENTS = 256


class Announcer(Protocol):
    """Announces the configuration in force to peers with each heartbeat."""

    def announce_configuration(
        self, revision: types.Revision, digest: str
    ) -> None:
        """Announce `revision` from now on."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PendingFetch:
    peer: types.EntryVmId
    revision: types.Revision


class PeerSnapshots:
    """Announce, fetch and serve configuration snapshots among entry VMs.

    Parameters
    ----------
    transport
        Sends requests and replies.
    announcer
        The membership.
    """

    def __init__(
        self, *, transport: transport.Transport, announcer: Announcer
    ) -> None:
        self._transport = transport
        self._announcer = announcer
        self._queue: asyncio.Queue[follower_interfaces.Announcement] = (
            asyncio.Queue(maxsize=_MAX_QUEUED_ANNOUNCEMENTS)
        )
        self._replies: dict[
            _PendingFetch, asyncio.Future[snapshot.Snapshot | None]
        ] = {}
        self._follower: followers.ConfigurationFollower | None = None

    def serve_from(self, follower: followers.ConfigurationFollower) -> None:
        """Set the follower whose snapshot is served to peers."""
        self._follower = follower

    def announcements(self) -> asyncio.Queue[follower_interfaces.Announcement]:
        """Return the queue of peers' announcements."""
        return self._queue

    def announce(
        self, *, revision: types.Revision, digest: snapshot.Digest
    ) -> None:
        """Announce the revision that this entry VM has in force to peers."""
        self._announcer.announce_configuration(revision, digest)

    def on_announced(
        self, peer: types.EntryVmId, revision: types.Revision, digest: str
    ) -> None:
        """Queue a peer's announcement.

        It is dropped if the queue is full, because peers repeat it.
        """
        announcement = follower_interfaces.Announcement(
            peer=peer, revision=revision, digest=snapshot.Digest(digest)
        )
        if not self._queue.full():
            self._queue.put_nowait(announcement)

    async def fetch(
        self,
        *,
        peer: types.EntryVmId,
        revision: types.Revision,
        digest: snapshot.Digest,
    ) -> snapshot.Snapshot | None:
        """Return a peer's snapshot; None if unavailable or of another digest.

        The caller must set a timeout: a frozen peer does not reply.
        """
        awaited = _PendingFetch(peer=peer, revision=revision)
        reply = asyncio.get_running_loop().create_future()
        self._replies[awaited] = reply
        request = messages.SnapshotRequest(revision=revision)
        try:
            if not self._transport.send(peer, request):
                return None
            content = await reply
        finally:
            self._replies.pop(awaited, None)
        if content is None or content.digest != digest:
            return None
        return content

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Process a peer's request or reply."""
        match message:
            case messages.SnapshotRequest():
                self._serve(sender, message)
            case messages.SnapshotReply():
                self._receive_reply(sender, message)
            case _:
                pass

    def _serve(
        self, sender: types.EntryVmId, request: messages.SnapshotRequest
    ) -> None:
        in_force = self._follower.in_force if self._follower else None
        reply = messages.SnapshotReply(
            revision=request.revision, digest="", body=b""
        )
        if in_force and in_force.configuration.revision == request.revision:
            reply = messages.SnapshotReply(
                revision=request.revision,
                digest=in_force.snapshot.digest,
                body=in_force.snapshot.content,
            )
        self._transport.send(sender, reply)

    def _receive_reply(
        self, sender: types.EntryVmId, reply: messages.SnapshotReply
    ) -> None:
        awaited = _PendingFetch(peer=sender, revision=reply.revision)
        future = self._replies.get(awaited)
        if future is None or future.done():
            return
        if not reply.digest:
            future.set_result(None)
            return
        future.set_result(
            snapshot.Snapshot(
                digest=snapshot.Digest(reply.digest), content=reply.body
            )
        )
