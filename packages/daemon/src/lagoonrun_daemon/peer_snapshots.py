"""Configurations that other entry VMs have in force, over the inner protocol."""

import asyncio
import dataclasses
from typing import Protocol

from lagoonrun_config import follower as followers
from lagoonrun_config import follower_interfaces, snapshot
from lagoonrun_core import types
from lagoonrun_daemon import transport
from lagoonrun_protocol import messages

_ANNOUNCEMENTS_WAITING = 256


class Announcer(Protocol):
    """Tells peers with each heartbeat what is in force here."""

    def announce_configuration(
        self, revision: types.Revision, digest: str
    ) -> None:
        """Announce `revision` from now on."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Awaited:
    peer: types.EntryVmId
    revision: types.Revision


class PeerSnapshots:
    """Announce, fetch and serve configuration snapshots among entry VMs.

    Parameters
    ----------
    transport
        Carries requests and replies.
    announcer
        The membership.
    """

    def __init__(
        self, *, transport: transport.Transport, announcer: Announcer
    ) -> None:
        self._transport = transport
        self._announcer = announcer
        self._queue: asyncio.Queue[follower_interfaces.Announcement] = (
            asyncio.Queue(maxsize=_ANNOUNCEMENTS_WAITING)
        )
        self._replies: dict[
            _Awaited, asyncio.Future[snapshot.Snapshot | None]
        ] = {}
        self._follower: followers.ConfigurationFollower | None = None

    def serve_from(self, follower: followers.ConfigurationFollower) -> None:
        """Set whose snapshot is served to peers."""
        self._follower = follower

    def announcements(self) -> asyncio.Queue[follower_interfaces.Announcement]:
        """Return the queue into which peers' announcements are put."""
        return self._queue

    def announce(
        self, *, revision: types.Revision, digest: snapshot.Digest
    ) -> None:
        """Tell peers from now on what this entry VM has in force."""
        self._announcer.announce_configuration(revision, digest)

    def on_announced(
        self, peer: types.EntryVmId, revision: types.Revision, digest: str
    ) -> None:
        """Take in a peer's announcement; one too many is heard again."""
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
        """Return a peer's snapshot; None when it can't be had.

        The caller bounds the time: a frozen peer does not answer.
        """
        awaited = _Awaited(peer=peer, revision=revision)
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
        """Take in a peer's request or reply."""
        match message:
            case messages.SnapshotRequest():
                self._serve(sender, message)
            case messages.SnapshotReply():
                self._take_reply(sender, message)
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

    def _take_reply(
        self, sender: types.EntryVmId, reply: messages.SnapshotReply
    ) -> None:
        awaited = _Awaited(peer=sender, revision=reply.revision)
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
