"""Leader election for a duty that only one entry VM may perform, by a lease.

The leader (the holder of the duty) writes the holder's key under its lease in
the store. Its own view of the lease ends before the store's: it counts from
before each renewal was sent, and subtracts a margin. After every await that
view may be outdated, so code that sends something checks `remaining_seconds`
right before it sends.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from lagoonrun_core import clock as clock_module
from lagoonrun_core import errors, events, logs, types
from lagoonrun_orders import bounded_store, holder_key_watch
from lagoonrun_orders import tenure as tenure_module
from lagoonrun_platform import store as store_module
from lagoonrun_platform import store_eras

DEFAULT_TTL_SECONDS = 30.0
DEFAULT_MARGIN_SECONDS = 2.0
_RENEWALS_PER_TTL = 3
_FIRST_PAUSE_SECONDS = 0.5
DEFAULT_MAX_PAUSE_SECONDS = 8.0
_MAX_ATTEMPTS = 4
_NONCE_BITS = 128


class Leadership:
    """Acquires and keeps the lease of one duty.

    A tenure is one uninterrupted period of holding the lease.

    Parameters
    ----------
    duty
        Task that only one entry VM may perform at a time.
    rng
        Source of jitter and nonces; must differ between processes.
    order_timeout_seconds
        Time limit of an order sent by this process.
    ttl_seconds
        Duration of the lease. For upstreams that do not check fencing numbers
        it must be well above the time limit of an order.
    margin_seconds
        Subtracted from the end of the lease, and added to the wait for the
        leases of others; covers clocks of different rates and short pauses.
    longest_pause_seconds
        Longest pause between two attempts while the store does not answer.
    reacquire_delay_seconds
        Time that a tenure waits first if this entry VM also held the duty
        before its predecessor. A receiver that does not check fencing numbers
        takes two holders that alternate within a lease for two holders at once.
    eras
        Eras of the store; None where it is never restored. A restore deletes
        the holder's key at once, while the holder may not know and continue for
        what it believes to be the rest of its lease.
    renewals_per_key_check
        Number of renewals of the lease between two checks that the key still
        exists. Lease and key only differ if somebody deletes the key by hand,
        and a check costs as much as ten renewals.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        duty: types.DutyName,
        entry_vm: types.EntryVmId,
        clock: clock_module.Clock,
        rng: random.Random,
        order_timeout_seconds: float,
        ttl_seconds: float = DEFAULT_TTL_SECONDS,
        margin_seconds: float = DEFAULT_MARGIN_SECONDS,
        longest_pause_seconds: float = DEFAULT_MAX_PAUSE_SECONDS,
        reacquire_delay_seconds: float = 0.0,
        renewals_per_key_check: int = 1,
        eras: store_eras.StoreEras | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = bounded_store.BoundedStore(store=store)
        self._duty = duty
        self._entry_vm = entry_vm
        self._clock = clock
        self._random = rng
        self._order_timeout_seconds = order_timeout_seconds
        self._ttl_seconds = ttl_seconds
        self._margin_seconds = margin_seconds
        self._longest_pause_seconds = longest_pause_seconds
        self._reacquire_delay_seconds = reacquire_delay_seconds
        self._renewals_per_key_check = renewals_per_key_check
        self._eras = eras or store_eras.StoreEras(clock=clock)
        self._renewals = 0
        self._sleep = sleep
        self._holder_key = tenure_module.holder_key(duty)
        self._last_key = tenure_module.last_key(duty)
        self._holder_key_watch = holder_key_watch.HolderKeyWatch(
            store=self._store,
            key=self._holder_key,
            is_own=self._is_own,
            random=rng,
            sleep=sleep,
        )
        self._last: store_module.KeyValue | None = None
        self._earlier_holders: tuple[types.EntryVmId, ...] = ()
        self._lease: store_module.LeaseId | None = None
        self._nonce = ""
        self._tenure: tenure_module.Tenure | None = None
        self._modified = store_module.ABSENT
        self._valid_until = clock.monotonic()
        self._task: asyncio.Task[None] | None = None

    @property
    def tenure(self) -> tenure_module.Tenure | None:
        """The current tenure, or None if this process is not the holder."""
        if self._tenure and self.remaining_seconds(self._tenure) > 0:
            return self._tenure
        return None

    def remaining_seconds(self, tenure: tenure_module.Tenure) -> float:
        """Return how long `tenure` is certain to last; 0 if it is over.

        A process that was frozen gets 0 on resuming, since the clock is read
        now and the end was fixed before the freeze.
        """
        if tenure != self._tenure:
            return 0.0
        return max(0.0, self._valid_until - self._clock.monotonic())

    async def start(self) -> None:
        """Start to acquire the lease."""
        self._task = asyncio.create_task(self._run())

    async def close(self, *, clean: bool) -> None:
        """Stop, and release the lease so that another VM takes over at once.

        Parameters
        ----------
        clean
            Whether no order of this process can take effect any more. Otherwise
            the successor waits as it does after a crash.
        """
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            self._task = None
        held = self.tenure
        self._end("closed")
        if held is not None:
            await self._release(clean=clean)

    async def _run(self) -> None:
        pause = _FIRST_PAUSE_SECONDS
        while True:
            found = await self._holder_key_watch.read()
            if isinstance(found, holder_key_watch.Held):
                pause = _FIRST_PAUSE_SECONDS
                await self._holder_key_watch.wait_until_free(found)
            elif (
                isinstance(found, holder_key_watch.Free)
                and await self._acquire()
            ):
                pause = _FIRST_PAUSE_SECONDS
                await self._hold()
            else:
                await self._sleep(pause * self._random.uniform(0.5, 1.0))
                pause = min(2 * pause, self._longest_pause_seconds)

    async def _acquire(self) -> bool:
        requested_at = self._clock.monotonic()
        if not await self._renew_lease():
            return False
        for _ in range(_MAX_ATTEMPTS):
            self._earlier_holders = self._next_earlier_holders()
            result = await self._store.transact(
                comparisons=[
                    bounded_store.compare(
                        self._holder_key, store_module.ABSENT
                    ),
                    bounded_store.compare(
                        self._last_key, _modified(self._last)
                    ),
                ],
                puts=[
                    store_module.Put(
                        key=self._holder_key,
                        value=self._record(released=False),
                        lease=self._lease,
                    ),
                    store_module.Put(
                        key=self._last_key, value=self._record(released=False)
                    ),
                ],
            )
            match result:
                case store_module.Committed(revision=revision):
                    self._begin(revision, requested_at)
                    return True
                case store_module.Rejected():
                    holder = result.item(self._holder_key)
                    if holder is not None:
                        return self._adopt(holder, requested_at)
                    if not self._update_last(result):
                        return False
                case store_module.Unreachable():
                    return False
                case store_module.Unknown():
                    # Repeat it unchanged: if the first attempt was applied,
                    # this one is rejected and returns the holder.
                    continue
        return False

    async def _renew_lease(self) -> bool:
        if self._lease is not None:
            kept = await self._store.renew_lease(self._lease)
            if isinstance(kept, store_module.LeaseGranted):
                return kept.ttl_seconds >= self._ttl_seconds
            if not isinstance(kept, store_module.LeaseLost):
                return False
        self._lease = None
        granted = await self._store.grant_lease(ttl_seconds=self._ttl_seconds)
        if not isinstance(granted, store_module.LeaseGranted):
            return False
        self._lease = granted.lease
        self._nonce = f"{self._random.getrandbits(_NONCE_BITS):032x}"
        return granted.ttl_seconds >= self._ttl_seconds

    def _adopt(
        self, holder: store_module.KeyValue, requested_at: float
    ) -> bool:
        if not self._is_own(holder):
            return False
        self._begin(holder.created, requested_at)
        return True

    def _update_last(self, rejected: store_module.Rejected) -> bool:
        """Update the last tenure's record; return whether it had changed."""
        found = rejected.item(self._last_key)
        if _modified(found) == _modified(self._last):
            # The comparisons held, so the store no longer has the lease.
            self._lease = None
            return False
        self._last = found
        return True

    def _begin(
        self, revision: store_module.StoreRevision, requested_at: float
    ) -> None:
        self._modified = revision
        self._valid_until = (
            requested_at + self._ttl_seconds - self._margin_seconds
        )
        self._tenure = tenure_module.Tenure(
            duty=self._duty,
            fencing=types.FencingNumber(revision),
            first_order_at=self._clock.monotonic() + self._wait_seconds(),
        )
        logs.emit(
            events.LogEvent.ORDERER_ELECTED,
            duty=self._duty,
            fencing=revision,
            wait_seconds=self._wait_seconds(),
        )

    def _wait_seconds(self) -> float:
        """Return how long a new tenure must not send orders."""
        wait = max(
            self._predecessor_seconds(), self._forgotten_holder_seconds()
        )
        if self._entry_vm in self._recorded_earlier_holders():
            return max(self._reacquire_delay_seconds, wait)
        return wait

    def _forgotten_holder_seconds(self) -> float:
        """Return how long a holder lost by a restore of the store may act.

        It is 0 if the last tenure began in the current era, since nothing was
        lost then.
        """
        last = self._last_record()
        seen_at = self._eras.seen_at
        if seen_at is None or (last and last.era == self._eras.newest):
            return 0.0
        passed = self._clock.monotonic() - seen_at
        return max(0.0, self._ttl_seconds + self._margin_seconds - passed)

    def _predecessor_seconds(self) -> float:
        """Return how long a predecessor's orders may still take effect."""
        longest = self._order_timeout_seconds
        if self._last is not None:
            last = self._last_record()
            if last is None:
                return longest + self._margin_seconds
            if last.released:
                return 0.0
            longest = max(longest, last.order_timeout_seconds)
        return longest + self._margin_seconds

    def _last_record(self) -> tenure_module.TenureRecord | None:
        """Return the record of the last tenure; None if not readable."""
        if self._last is None:
            return None
        try:
            return tenure_module.decode(self._last.value)
        except errors.LagoonrunError:
            return None

    def _recorded_earlier_holders(self) -> tuple[types.EntryVmId, ...]:
        """Return who held the duty before its last holder."""
        last = self._last_record()
        return () if last is None else last.earlier

    def _next_earlier_holders(self) -> tuple[types.EntryVmId, ...]:
        """Return the holders before this tenure, without this entry VM."""
        last = self._last_record()
        if last is None:
            return ()
        before = dict.fromkeys((last.entry_vm, *last.earlier))
        before.pop(self._entry_vm, None)
        return tuple(before)[: tenure_module.MAX_EARLIER_HOLDERS]

    async def _hold(self) -> None:
        pause = _FIRST_PAUSE_SECONDS
        while self.tenure is not None:
            wait = self._ttl_seconds / _RENEWALS_PER_TTL
            if pause > _FIRST_PAUSE_SECONDS:
                wait = pause * self._random.uniform(0.5, 1.0)
            await self._sleep(wait)
            requested_at = self._clock.monotonic()
            renewed = await self._renew()
            if renewed is None:
                pause = min(2 * pause, self._longest_pause_seconds)
            elif renewed:
                pause = _FIRST_PAUSE_SECONDS
                self._extend(requested_at)
            else:
                self._end("lost")
        self._end("lapsed")

    def _extend(self, requested_at: float) -> None:
        # Only a tenure that still holds is extended: one that expired during
        # the renewal has been seen as over, and another may have begun.
        if self.tenure is not None:
            self._valid_until = (
                requested_at + self._ttl_seconds - self._margin_seconds
            )

    async def _renew(self) -> bool | None:
        """Return whether lease and key are held; None if unknown."""
        if self._lease is None:
            return False
        kept = await self._store.renew_lease(self._lease)
        if isinstance(kept, store_module.LeaseLost):
            self._lease = None
            return False
        if not isinstance(kept, store_module.LeaseGranted):
            return None
        self._renewals += 1
        if self._renewals % self._renewals_per_key_check:
            return True
        # The lease can be valid without the key, if somebody deleted the key by
        # hand; another entry VM may hold it by now.
        result = await self._store.transact(
            comparisons=[
                bounded_store.compare(self._holder_key, self._modified)
            ]
        )
        if isinstance(result, store_module.Committed):
            return True
        return False if isinstance(result, store_module.Rejected) else None

    async def _release(self, *, clean: bool) -> None:
        puts = []
        if clean:
            puts.append(
                store_module.Put(
                    key=self._last_key, value=self._record(released=True)
                )
            )
        for _ in range(2):
            result = await self._store.transact(
                comparisons=[
                    bounded_store.compare(self._holder_key, self._modified)
                ],
                puts=puts,
                deletes=[self._holder_key],
            )
            if not isinstance(result, store_module.Unknown):
                return

    def _end(self, reason: str) -> None:
        if self._tenure is None:
            return
        logs.emit(
            events.LogEvent.ORDERER_LOST,
            duty=self._duty,
            fencing=self._tenure.fencing,
            reason=reason,
        )
        self._tenure = None
        # The next acquisition reads the record of this tenure from the store.
        self._last = None

    def _record(self, *, released: bool) -> bytes:
        return tenure_module.encode(
            tenure_module.TenureRecord(
                entry_vm=self._entry_vm,
                nonce=self._nonce,
                released=released,
                order_timeout_seconds=self._order_timeout_seconds,
                earlier=self._earlier_holders,
                era=self._eras.newest,
            )
        )

    def _is_own(self, holder: store_module.KeyValue) -> bool:
        try:
            record = tenure_module.decode(holder.value)
        except errors.LagoonrunError:
            return False
        return self._nonce != "" and record.nonce == self._nonce


def _modified(
    found: store_module.KeyValue | None,
) -> store_module.StoreRevision:
    return store_module.ABSENT if found is None else found.modified
