"""Persist blocks of what crashes upstreams in the store.

Otherwise a stop of the whole fleet, or of all entry VMs that know of the
crashes, would let the requests run again.
"""

import asyncio
import random

from lagoonrun_core import supervised_task, types
from lagoonrun_platform import store as store_module
from lagoonrun_router import block_record, crash_evidence, crash_records

_PAUSE_SECONDS = 0.5
"""Mean time between two attempts while the store is unavailable: well below the
time within which entry VMs must know of a block once it is available again."""

_MAX_PENDING = 64
"""Maximum number of pending writes and removals; the oldest are dropped."""


class BlockWriter:
    """Writes and removes the keys of blocks.

    A lease removes each key when its crashes expire.

    Parameters
    ----------
    store
        The platform's store.
    prefix
        Prefix of the keys.
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
        self._pending_by_id: dict[
            types.BlockId, crash_records.Block | None
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

    def write(self, block: crash_records.Block) -> None:
        """Queue a block to be written once the store is available."""
        self._enqueue(block.id, block)

    def remove(self, id: types.BlockId) -> None:
        """Queue a block to be removed once the store is available."""
        self._enqueue(id, None)

    def _enqueue(
        self, id: types.BlockId, block: crash_records.Block | None
    ) -> None:
        self._pending_by_id.pop(id, None)
        self._pending_by_id[id] = block
        while len(self._pending_by_id) > _MAX_PENDING:
            del self._pending_by_id[next(iter(self._pending_by_id))]
        self._wakeup.set()

    async def _run(self) -> None:
        while True:
            await self._wakeup.wait()
            if not self._pending_by_id:
                self._wakeup.clear()
                continue
            id, block = next(iter(self._pending_by_id.items()))
            if not await self._write(id, block):
                pause = _PAUSE_SECONDS * (0.5 + self._rng.random())
                await asyncio.sleep(pause)
            elif self._pending_by_id.get(id) is block:
                self._pending_by_id.pop(id, None)

    async def _write(
        self, id: types.BlockId, block: crash_records.Block | None
    ) -> bool:
        """Write or remove a block (idempotent); return whether it succeeded."""
        key = self._prefix + id
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
