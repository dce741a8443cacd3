"""Persist blocks of what crashes upstreams in the store, and their ends.

Otherwise a stop of the whole fleet, or of all entry VMs that know of the
crashes, would let the requests run again.
"""

import asyncio
import random
from collections.abc import Iterable

from lagoonrun_core import supervised_task, types
from lagoonrun_platform import store as store_module
from lagoonrun_router import block_record, crash_evidence, crash_records

_PAUSE_SECONDS = 0.5
"""Mean time between two attempts while the store is unavailable: well below the
time within which entry VMs must know of a block once it is available again."""

_MAX_PENDING = 64
"""Maximum number of pending writes; the oldest are dropped."""


class BlockWriter:
    """Writes the keys of blocks.

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
        self._pending_by_id: dict[types.BlockId, bytes] = {}
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
        self._enqueue(block.id, block_record.encode(block))

    def write_lift(
        self, id: types.BlockId, lifted: Iterable[crash_records.Charge]
    ) -> None:
        """Queue the end of a block to be written in its place."""
        self._enqueue(id, block_record.encode_lift(lifted))

    def _enqueue(self, id: types.BlockId, value: bytes) -> None:
        self._pending_by_id.pop(id, None)
        self._pending_by_id[id] = value
        while len(self._pending_by_id) > _MAX_PENDING:
            del self._pending_by_id[next(iter(self._pending_by_id))]
        self._wakeup.set()

    async def _run(self) -> None:
        while True:
            await self._wakeup.wait()
            if not self._pending_by_id:
                self._wakeup.clear()
                continue
            id, value = next(iter(self._pending_by_id.items()))
            if not await self._write(id, value):
                pause = _PAUSE_SECONDS * (0.5 + self._rng.random())
                await asyncio.sleep(pause)
            elif self._pending_by_id.get(id) is value:
                self._pending_by_id.pop(id, None)

    async def _write(self, id: types.BlockId, value: bytes) -> bool:
        """Write a key (idempotent); return whether it succeeded."""
        lease = await self._store.grant_lease(
            ttl_seconds=crash_evidence.EXPIRY_SECONDS
        )
        if not isinstance(lease, store_module.LeaseGranted):
            return False
        result = await self._store.transact(
            comparisons=(),
            puts=[
                store_module.Put(
                    key=self._prefix + id, value=value, lease=lease.lease
                )
            ],
        )
        return isinstance(result, store_module.Committed)
