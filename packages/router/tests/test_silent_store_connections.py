"""Connections to the store that go silent, without a reset."""

import asyncio
import time

import pytest

from lagoonrun_platform import memory_store
from lagoonrun_platform import store as store_module
from lagoonrun_router import upstreams
from lagoonrun_standins.router_world import wait_for

UNBOUNDED_WATCH_SECONDS = 4.0
"""Wait of a watch for which the platform's client gets no limit."""

WATCH_SLACK_SECONDS = 0.5
"""Time after its wait at which the client gives a watch up."""

CONTACT_SECONDS = 3.0
"""Time after an impairment from which changes have to be active in time."""

VMS = (("vm-1", "north"), ("vm-2", "north"), ("vm-3", "south"))


class SilentStore(memory_store.MemoryStore):
    """A store whose open connections can go silent while new ones work."""

    def __init__(self):
        super().__init__()
        self._silence = asyncio.Event()
        self.open_watches = 0

    def silence(self):
        """Let nothing arrive any more on the connections that are open."""
        self._silence.set()
        self._silence = asyncio.Event()

    async def watch(
        self,
        key,
        *,
        prefix=False,
        from_revision=store_module.ABSENT,
        max_wait_seconds=None,
    ):
        """Yield changes, in calls that wait as those of the client do."""
        wait = max_wait_seconds or UNBOUNDED_WATCH_SECONDS
        silence = self._silence
        inner = super().watch(key, prefix=prefix, from_revision=from_revision)
        message = asyncio.ensure_future(anext(inner))
        self.open_watches += 1
        try:
            while True:
                given_up = time.monotonic() + wait + WATCH_SLACK_SECONDS
                silenced = asyncio.ensure_future(silence.wait())
                await asyncio.wait(
                    {silenced, message},
                    timeout=wait,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                silenced.cancel()
                if silence.is_set():
                    await asyncio.sleep(given_up - time.monotonic())
                    yield store_module.Unreachable(detail="no response in time")
                    return
                if message.done():
                    yield message.result()
                    message = asyncio.ensure_future(anext(inner))
                else:
                    yield store_module.WatchBatch(
                        events=(), revision=self.revision
                    )
        finally:
            self.open_watches -= 1
            message.cancel()


@pytest.fixture
def store():
    return SilentStore()


@pytest.fixture
async def fleet(world_of, store):
    """Return a small fleet whose entry VMs know each other."""
    worlds = [await world_of(name, domain) for name, domain in VMS]
    await worlds[0].declare()
    await worlds[0].add_upstream()
    for world in worlds:
        await world.ready()
        await wait_for(lambda w=world: w.router.peer_count == len(VMS) - 1)
    await wait_for(lambda: store.open_watches == len(VMS))
    return worlds


async def test_change_is_active_after_all_store_connections_fell_silent(
    fleet, store
):
    """Guards against a change that waits for the end of each silent watch."""
    store.silence()
    await fleet[0].declare(revision=2)
    async with asyncio.timeout(CONTACT_SECONDS):
        for world in fleet:
            await wait_for(lambda w=world: w.router.replica.revision == 2)


async def test_removed_upstream_is_known_behind_silent_store_connections(
    fleet, store
):
    """Guards against a silent watch that outweighs what peers report."""
    store.silence()
    await fleet[0].remove("upstreams/u-1")
    async with asyncio.timeout(CONTACT_SECONDS):
        for world in fleet:
            await wait_for(lambda w=world: misses_one(w))


def misses_one(world):
    """Return whether an entry VM knows that an upstream's entry is missing."""
    counts = world.router.directory.counts_by_state()
    return counts[upstreams.UpstreamState.MISSING] == 1
