"""Persist blocks of crashing requests in the store.

Otherwise a stop of the whole fleet, or of all entry VMs that know of the
crashes, would let the requests run again.
"""

import asyncio
import random

from lagoonrun_core import supervised_task, types
from lagoonrun_platform import store as store_module
from lagoonrun_router import block_record, crash_evidence

_PAUSE_SECONDS = 0.5
"""Mean time between two attempts while the store is unavailable: well below the
time within which entry VMs must know of a block once it is available again."""

_MAX_PENDING = 64
"""Maximum number of pending writes and removals; the oldest are dropped."""


class BlockWriter:
    """Writes and removes the keys of blocked requests.

    A lease removes each key when its crashes expire.

    Parameters
    ----------
    store
        The platform's store.
    prefix
        Prefix of the keys of blocked requests.
    rng
        Source of the jitter.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        prefix: str,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._rng = rng
        self._pending_by_request: dict[
            types.RequestDigest, crash_evidence.Block | None
        ] = {}
        self._wakeup = asyncio.Event()
        self._task = supervised_task.SupervisedTask(
            name="block-keeper", function=self._run
        )

    async def start(self) -> None:
        """Start writing."""
        self._task.start()

    async def close(self) -> None:
        """Stop writing."""
        await self._task.close()

    def write(self, block: crash_evidence.Block) -> None:
        """Queue a block to be written once the store is available."""
        self._enqueue(block.request, block)

    def remove(self, request: types.RequestDigest) -> None:
        """Queue a block to be removed once the store is available."""
        self._enqueue(request, None)

    def _enqueue(
        self, request: types.RequestDigest, block: crash_evidence.Block | None
    ) -> None:
        self._pending_by_request.pop(request, None)
        self._pending_by_request[request] = block
        while len(self._pending_by_request) > _MAX_PENDING:
            del self._pending_by_request[next(iter(self._pending_by_request))]
        self._wakeup.set()

    async def _run(self) -> None:
        while True:
            await self._wakeup.wait()
            if not self._pending_by_request:
                self._wakeup.clear()
                continue
            request, block = next(iter(self._pending_by_request.items()))
            if not await self._write(request, block):
                pause = _PAUSE_SECONDS * (0.5 + self._rng.random())
                await asyncio.sleep(pause)
            elif self._pending_by_request.get(request) is block:
                self._pending_by_request.pop(request, None)

    async def _write(
        self, request: types.RequestDigest, block: crash_evidence.Block | None
    ) -> bool:
        """Write or remove a block (idempotent); return whether it succeeded."""
        key = self._prefix + request
        if block is None:
            result = await self._store.transact(comparisons=(), deletes=[key])
            return isinstance(result, store_module.Committed)
        lease = await self._store.grant_lease(
            ttl_seconds=crash_evidence.EXPIRY_SECONDS
        )
        if not isinstance(lease, store_module.LeaseGranted):
            return False
        result = await self._store.transact(
            comparisons=(),
            puts=[
                store_module.Put(
                    key=key,
                    value=block_record.encode(block),
                    lease=lease.lease,
                )
            ],
        )
        return isinstance(result, store_module.Committed)
