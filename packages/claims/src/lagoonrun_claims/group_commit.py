"""Group commit: many compare-and-swaps in one transaction of the store.

The store counts calls, not keys. Writes of one shard of the key space are
gathered while the shard's last transaction is on its way and go into the
next one. A transaction is all or nothing; when one comparison fails, the
answer says which, that write gets its conflict, and the others go again.
"""

import asyncio
import collections
import contextlib
import dataclasses
import zlib
from collections.abc import Awaitable, Callable

from lagoonrun_claims import pacing as pacing_module
from lagoonrun_claims import retention as retention_module
from lagoonrun_platform import store as store_module

MAXIMUM_REJECTIONS = 8
"""Rejected transactions after which a write is given back unwritten."""

DEFAULT_SHARDS = 1
DEFAULT_MAXIMUM_BATCH = 100
_BACKING_OFF = "backing off from the store"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Write:
    """Compare-and-swap of one key.

    Parameters
    ----------
    expected
        The key's last write, `ABSENT` to create it.
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
    """The key was not as expected; nothing was written to it."""

    found: store_module.KeyValue | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unsettled:
    """The write was sent without an answer; it may apply even later."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotWritten:
    """The write was certainly not applied."""

    detail: str


WriteResult = Written | Conflict | Unsettled | NotWritten


class Ticket:
    """A submitted write; `result` is set when its end is known."""

    def __init__(self, write: Write) -> None:
        self.write = write
        self.result: asyncio.Future[WriteResult] = (
            asyncio.get_running_loop().create_future()
        )
        self.sent = False
        self.rejections = 0

    def withdraw(self) -> bool:
        """Stop waiting; return whether the write is certainly not made."""
        if self.result.done():
            return isinstance(self.result.result(), NotWritten | Conflict)
        if self.sent:
            return False
        self.resolve(NotWritten(detail="withdrawn"))
        return True

    def resolve(self, result: WriteResult) -> None:
        """Set the result unless there is one."""
        if not self.result.done():
            self.result.set_result(result)


class GroupCommit:
    """Gathers writes by shard of the key space and makes them.

    Parameters
    ----------
    shards
        Transactions that may be on their way at once.
    maximum_batch
        Most writes in one transaction.
    write_timeout_seconds
        Wait for one answer of the store; after it the write is unsettled.
    linger_seconds
        How long a write that is not urgent waits for others to join.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        retention: retention_module.Retention,
        pacing: pacing_module.Pacing,
        shards: int = DEFAULT_SHARDS,
        maximum_batch: int = DEFAULT_MAXIMUM_BATCH,
        write_timeout_seconds: float = 5.0,
        linger_seconds: float = 0.1,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._retention = retention
        self._pacing = pacing
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
        """Stop the tasks; what is on its way becomes unsettled."""
        for task in self._tasks:
            task.cancel()
        for task in self._tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task
        for shard in self._shards:
            _resolve_all(shard.queue, NotWritten(detail="closed"))
            shard.queue.clear()
        self._tasks.clear()

    def submit(self, write: Write, *, urgent: bool = True) -> Ticket:
        """Queue one write; it is refused at once while backing off.

        Parameters
        ----------
        urgent
            Whether it calls for a transaction of its own. Otherwise it
            joins the next one, or makes one after `linger_seconds`.
        """
        ticket = Ticket(write)
        if not self._tasks:
            ticket.resolve(NotWritten(detail="not started"))
        elif self._pacing.blocked_seconds() > 0:
            ticket.resolve(NotWritten(detail=_BACKING_OFF))
        else:
            shard = zlib.crc32(write.key.encode()) % len(self._shards)
            self._shards[shard].add(ticket, urgent=urgent)
        return ticket

    async def _run(self, shard: "_Shard") -> None:
        while True:
            await shard.filled.wait()
            delay = self._pacing.wait_seconds()
            if delay > 0:
                await self._sleep(delay)
            batch = shard.take(self._maximum_batch)
            if self._pacing.blocked_seconds() > 0:
                _resolve_all(batch, NotWritten(detail=_BACKING_OFF))
            elif batch:
                await self._commit_or_give_up(shard, batch)

    async def _commit_or_give_up(
        self, shard: "_Shard", batch: list[Ticket]
    ) -> None:
        try:
            await self._commit(shard, batch)
        except asyncio.CancelledError:
            # Closed on the way: a write that was sent may still apply.
            for ticket in batch:
                if ticket.sent:
                    ticket.resolve(Unsettled(detail="closed on the way"))
                else:
                    ticket.resolve(NotWritten(detail="closed"))
            raise

    async def _commit(self, shard: "_Shard", batch: list[Ticket]) -> None:
        lease = await self._lease()
        if lease is None:
            self._pacing.failed(reached=False)
            _resolve_all(batch, NotWritten(detail="no lease of the store"))
            return
        # The deadline of a claim may have passed while the lease was asked
        # for; its owner was told that nothing was written, so it is left out.
        waiting = [one for one in batch if not one.result.done()]
        if not waiting:
            return
        for ticket in waiting:
            ticket.sent = True
        result = await self._transact(waiting, lease)
        self._distribute(shard, waiting, lease, result)

    async def _lease(self) -> retention_module.RetentionLease | None:
        try:
            async with asyncio.timeout(self._write_timeout_seconds):
                return await self._retention.lease()
        except Exception:
            # No answer in time, or a fault of the adapter: as in `_transact`,
            # neither may end the shard's task.
            return None

    async def _transact(
        self, batch: list[Ticket], lease: retention_module.RetentionLease
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
            # claims of the shard would wait for their deadlines in vain.
            return store_module.Unknown(detail=f"store failed: {error!r}")

    def _distribute(
        self,
        shard: "_Shard",
        batch: list[Ticket],
        lease: retention_module.RetentionLease,
        result: store_module.TransactionResult,
    ) -> None:
        match result:
            case store_module.Committed(revision=revision):
                self._pacing.succeeded()
                _resolve_all(batch, Written(revision=revision))
            case store_module.Rejected():
                self._pacing.succeeded()
                self._divide(shard, batch, lease, result)
            case store_module.Unknown(detail=detail):
                self._pacing.failed(reached=True)
                _resolve_all(batch, Unsettled(detail=detail))
            case store_module.Unreachable(detail=detail):
                self._pacing.failed(reached=False)
                _resolve_all(batch, NotWritten(detail=detail))

    def _divide(
        self,
        shard: "_Shard",
        batch: list[Ticket],
        lease: retention_module.RetentionLease,
        rejected: store_module.Rejected,
    ) -> None:
        if not rejected.items:
            # Either the store has lost the lease, or the keys are gone. Both
            # look alike; with a new lease the second answer tells.
            self._retention.forget(lease)
        found_by_key = {item.key: item for item in rejected.items}
        others = []
        for ticket in batch:
            found = found_by_key.get(ticket.write.key)
            modified = found.modified if found else store_module.ABSENT
            sure = bool(rejected.items) or ticket.rejections > 0
            if sure and modified != ticket.write.expected:
                ticket.resolve(Conflict(found=found))
            else:
                others.append(ticket)
        self._requeue(shard, others)

    def _requeue(self, shard: "_Shard", batch: list[Ticket]) -> None:
        for ticket in reversed(batch):
            ticket.sent = False
            ticket.rejections += 1
            if ticket.rejections >= MAXIMUM_REJECTIONS:
                ticket.resolve(NotWritten(detail="rejected too often"))
            else:
                shard.add_first(ticket)


class _Shard:
    """Writes of one part of the key space that wait for a transaction."""

    def __init__(self, linger_seconds: float) -> None:
        self.queue: collections.deque[Ticket] = collections.deque()
        self.filled = asyncio.Event()
        self._linger_seconds = linger_seconds
        self._timer: asyncio.TimerHandle | None = None

    def add(self, ticket: Ticket, *, urgent: bool) -> None:
        self.queue.append(ticket)
        if urgent:
            self.filled.set()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._linger_seconds, self._expire)

    def add_first(self, ticket: Ticket) -> None:
        self.queue.appendleft(ticket)
        self.filled.set()

    def _expire(self) -> None:
        self._timer = None
        if self.queue:
            self.filled.set()

    def take(self, limit: int) -> list[Ticket]:
        """Remove up to `limit` writes of different keys, oldest first."""
        taken: dict[str, Ticket] = {}
        left = []
        while self.queue and len(taken) < limit:
            ticket = self.queue.popleft()
            if ticket.result.done():
                continue
            if ticket.write.key in taken:
                left.append(ticket)
            else:
                taken[ticket.write.key] = ticket
        self.queue.extendleft(reversed(left))
        if not self.queue:
            self.filled.clear()
        return list(taken.values())


def _resolve_all(tickets, result: WriteResult) -> None:
    for ticket in tickets:
        ticket.resolve(result)
