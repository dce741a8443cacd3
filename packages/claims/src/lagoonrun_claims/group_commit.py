"""Group commit: many compare-and-swap writes in one store transaction.

The store counts calls, not keys. Writes to one shard of the key space are
collected while the shard's previous transaction is in progress and committed
by the next one. A transaction is all or nothing; if comparisons fail, the
reply says which: those writes get a conflict and the others are retried.
"""

import asyncio
import collections
import contextlib
import dataclasses
import zlib
from collections.abc import Awaitable, Callable

from lagoonrun_claims import rate_limit as rate_limit_module
from lagoonrun_claims import retention as retention_module
from lagoonrun_platform import store as store_module

MAXIMUM_REJECTIONS = 8
"""Rejected transactions after which a write is reported as not written."""

DEFAULT_SHARDS = 1
DEFAULT_MAXIMUM_BATCH = 100
_BACKING_OFF = "backing off from the store"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Write:
    """Compare-and-swap write of one key.

    Parameters
    ----------
    expected
        Revision of the key's last write, `ABSENT` to create the key.
    """

    key: str
    expected: store_module.StoreRevision
    value: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class Written:
    """The write was applied."""

    revision: store_module.StoreRevision


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """The key did not have the expected revision; it was not written."""

    found: store_module.KeyValue | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Indeterminate:
    """The write was sent but got no reply; it may still be applied later."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotWritten:
    """The write was not applied and will not be."""

    detail: str


WriteResult = Written | Conflict | Indeterminate | NotWritten


class PendingWrite:
    """A submitted write; `result` is set when it is resolved."""

    def __init__(self, write: Write) -> None:
        self.write = write
        self.result: asyncio.Future[WriteResult] = (
            asyncio.get_running_loop().create_future()
        )
        self.sent = False
        self.rejections = 0

    def withdraw(self) -> bool:
        """Stop waiting; return whether the write is certainly not applied."""
        if self.result.done():
            return isinstance(self.result.result(), NotWritten | Conflict)
        if self.sent:
            return False
        self.resolve(NotWritten(detail="withdrawn"))
        return True

    def resolve(self, result: WriteResult) -> None:
        """Set the result if there is none."""
        if not self.result.done():
            self.result.set_result(result)


class GroupCommit:
    """Batches writes by shard of the key space and commits them.

    Parameters
    ----------
    shards
        Maximum number of concurrent transactions.
    maximum_batch
        Maximum number of writes in one transaction.
    write_timeout_seconds
        Timeout of one store call, after which its writes are indeterminate.
    linger_seconds
        How long a write that is not urgent waits for others to join it.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        retention: retention_module.Retention,
        rate_limit: rate_limit_module.StoreRateLimit,
        shards: int = DEFAULT_SHARDS,
        maximum_batch: int = DEFAULT_MAXIMUM_BATCH,
        write_timeout_seconds: float = 5.0,
        linger_seconds: float = 0.1,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._retention = retention
        self._rate_limit = rate_limit
        self._maximum_batch = maximum_batch
        self._write_timeout_seconds = write_timeout_seconds
        self._sleep = sleep
        self._shards = [_Shard(linger_seconds) for _ in range(shards)]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start one task per shard."""
        for shard in self._shards:
            self._tasks.append(asyncio.create_task(self._run(shard)))

    async def close(self) -> None:
        """Stop the tasks; writes in progress become indeterminate."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for shard in self._shards:
            _resolve_all(shard.queue, NotWritten(detail="closed"))
            shard.queue.clear()
        self._tasks.clear()

    def submit(self, write: Write, *, urgent: bool = True) -> PendingWrite:
        """Queue one write; during a backoff it is refused at once.

        Parameters
        ----------
        urgent
            Whether it triggers a transaction. Otherwise it joins the next
            one, or triggers one after `linger_seconds`.
        """
        pending_write = PendingWrite(write)
        if not self._tasks:
            pending_write.resolve(NotWritten(detail="not started"))
        elif self._rate_limit.blocked_seconds() > 0:
            pending_write.resolve(NotWritten(detail=_BACKING_OFF))
        else:
            shard = zlib.crc32(write.key.encode()) % len(self._shards)
            self._shards[shard].add(pending_write, urgent=urgent)
        return pending_write

    async def _run(self, shard: "_Shard") -> None:
        while True:
            await shard.ready.wait()
            delay = self._rate_limit.wait_seconds()
            if delay > 0:
                await self._sleep(delay)
            batch = shard.take(self._maximum_batch)
            if self._rate_limit.blocked_seconds() > 0:
                _resolve_all(batch, NotWritten(detail=_BACKING_OFF))
            elif batch:
                await self._commit_or_cancel(shard, batch)

    async def _commit_or_cancel(
        self, shard: "_Shard", batch: list[PendingWrite]
    ) -> None:
        try:
            await self._commit(shard, batch)
        except asyncio.CancelledError:
            # Closed during a transaction: a sent write may still be applied.
            for pending_write in batch:
                if pending_write.sent:
                    pending_write.resolve(
                        Indeterminate(detail="closed while in progress")
                    )
                else:
                    pending_write.resolve(NotWritten(detail="closed"))
            raise

    async def _commit(self, shard: "_Shard", batch: list[PendingWrite]) -> None:
        lease = await self._lease()
        if lease is None:
            self._rate_limit.record_failure(reached=False)
            _resolve_all(batch, NotWritten(detail="store granted no lease"))
            return
        # The deadline of a claim may have passed while the lease was being
        # granted; its result is then `NotWritten`, so it must be left out.
        waiting = [one for one in batch if not one.result.done()]
        if not waiting:
            return
        for pending_write in waiting:
            pending_write.sent = True
        result = await self._transact(waiting, lease)
        self._apply_result(shard, waiting, lease, result)

    async def _lease(self) -> retention_module.RetentionLease | None:
        try:
            async with asyncio.timeout(self._write_timeout_seconds):
                return await self._retention.lease()
        except Exception:
            # A timeout or a fault of the adapter must not end the shard's
            # task; see `_transact`.
            return None

    async def _transact(
        self, batch: list[PendingWrite], lease: retention_module.RetentionLease
    ) -> store_module.TransactionResult:
        writes = [one.write for one in batch]
        comparisons = [
            store_module.Comparison(key=one.key, modified=one.expected)
            for one in writes
        ]
        puts = [
            store_module.Put(key=one.key, value=one.value, lease=lease.lease)
            for one in writes
        ]
        try:
            async with asyncio.timeout(self._write_timeout_seconds):
                return await self._store.transact(
                    comparisons=comparisons, puts=puts
                )
        except TimeoutError:
            return store_module.Unknown(detail="no answer in time")
        except Exception as error:
            # A fault of the adapter must not end the shard's task: all later
            # claims of the shard would time out.
            return store_module.Unknown(detail=f"store failed: {error!r}")

    def _apply_result(
        self,
        shard: "_Shard",
        batch: list[PendingWrite],
        lease: retention_module.RetentionLease,
        result: store_module.TransactionResult,
    ) -> None:
        match result:
            case store_module.Committed(revision=revision):
                self._rate_limit.record_success()
                _resolve_all(batch, Written(revision=revision))
            case store_module.Rejected():
                self._rate_limit.record_success()
                self._resolve_rejected(shard, batch, lease, result)
            case store_module.Unknown(detail=detail):
                self._rate_limit.record_failure(reached=True)
                _resolve_all(batch, Indeterminate(detail=detail))
            case store_module.Unreachable(detail=detail):
                self._rate_limit.record_failure(reached=False)
                _resolve_all(batch, NotWritten(detail=detail))

    def _resolve_rejected(
        self,
        shard: "_Shard",
        batch: list[PendingWrite],
        lease: retention_module.RetentionLease,
        rejected: store_module.Rejected,
    ) -> None:
        if not rejected.items:
            # Either the lease or the keys no longer exist in the store. The
            # reply is the same; a retry with a new lease tells them apart.
            self._retention.discard(lease)
        found_by_key = {item.key: item for item in rejected.items}
        others = []
        for pending_write in batch:
            found = found_by_key.get(pending_write.write.key)
            modified = found.modified if found else store_module.ABSENT
            conclusive = bool(rejected.items) or pending_write.rejections > 0
            if conclusive and modified != pending_write.write.expected:
                pending_write.resolve(Conflict(found=found))
            else:
                others.append(pending_write)
        self._requeue(shard, others)

    def _requeue(self, shard: "_Shard", batch: list[PendingWrite]) -> None:
        for pending_write in reversed(batch):
            pending_write.sent = False
            pending_write.rejections += 1
            if pending_write.rejections >= MAXIMUM_REJECTIONS:
                pending_write.resolve(NotWritten(detail="rejected too often"))
            else:
                shard.add_front(pending_write)


class _Shard:
    """Queue of writes to one shard of the key space."""

    def __init__(self, linger_seconds: float) -> None:
        self.queue: collections.deque[PendingWrite] = collections.deque()
        self.ready = asyncio.Event()
        self._linger_seconds = linger_seconds
        self._timer: asyncio.TimerHandle | None = None

    def add(self, pending_write: PendingWrite, *, urgent: bool) -> None:
        self.queue.append(pending_write)
        if urgent:
            self.ready.set()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._linger_seconds, self._expire)

    def add_front(self, pending_write: PendingWrite) -> None:
        self.queue.appendleft(pending_write)
        self.ready.set()

    def _expire(self) -> None:
        self._timer = None
        if self.queue:
            self.ready.set()

    def take(self, limit: int) -> list[PendingWrite]:
        """Remove and return up to `limit` writes of distinct keys, in order."""
        taken: dict[str, PendingWrite] = {}
        left = []
        while self.queue and len(taken) < limit:
            pending_write = self.queue.popleft()
            if pending_write.result.done():
                continue
            if pending_write.write.key in taken:
                left.append(pending_write)
            else:
                taken[pending_write.write.key] = pending_write
        self.queue.extendleft(reversed(left))
        if not self.queue:
            self.ready.clear()
        return list(taken.values())


def _resolve_all(pending_writes, result: WriteResult) -> None:
    for pending_write in pending_writes:
        pending_write.resolve(result)
