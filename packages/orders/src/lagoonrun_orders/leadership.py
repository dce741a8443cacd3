"""Which entry VM has a duty that only one may have: a lease of the platform.

The holder's key lives under the holder's lease. Its own view of the lease
ends before the store's does: it counts from before each renewal was sent, and
takes a margin off. After every await that view may be old, so whoever sends
asks `remaining_seconds` at the point of use.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable

from lagoonrun_core import clock as clock_module
from lagoonrun_core import errors, events, logs, types
from lagoonrun_orders import bounded_store, vacancy
from lagoonrun_orders import tenure as tenure_module
from lagoonrun_platform import store as store_module
from lagoonrun_platform import store_eras

DEFAULT_TTL_SECONDS = 30.0
DEFAULT_MARGIN_SECONDS = 2.0
_RENEWALS_PER_TTL = 3
_FIRST_PAUSE_SECONDS = 0.5
DEFAULT_LONGEST_PAUSE_SECONDS = 8.0
_MAXIMUM_TRIES = 4
_NONCE_BITS = 128


class Leadership:
    """Seeks and keeps the tenure of one duty.

    Parameters
    ----------
    duty
        What only one entry VM may do at a time.
    random
        Source of jitter and nonces; must differ between processes.
    order_timeout_seconds
        Longest time that an order sent by this process may take.
    ttl_seconds
        Duration of the lease; orders to upstreams that do not check fencing
        numbers need it well above the order's timeout.
    margin_seconds
        Taken off the lease's end, and added to waits for others' leases;
        covers clocks of different rates and short pauses.
    longest_pause_seconds
        Longest pause between two tries while the store does not answer.
    reacquire_delay_seconds
        Time that a tenure first waits out where this entry VM has had the duty
        before its predecessor. For receivers that know no fencing numbers, two
        holders that take turns within a lease look like two at once.
    eras
        Eras of the store; None where it is never restored. A restore frees the
        holder's key at once, and its holder, which may not know, acts on for what
        it believes to be left of its lease.
    renewals_per_key_check
        Renewals of the lease for each look whether the key is still there. Only
        a hand that deletes the key makes the two differ, and each look costs as
        much as ten renewals.
    """

    def __init__(
        self,
        *,
        store: store_module.KeyValueStore,
        duty: types.DutyName,
        entry_vm: types.EntryVmId,
        clock: clock_module.Clock,
        random: random.Random,
        order_timeout_seconds: float,
        ttl_seconds: float = DEFAULT_TTL_SECONDS,
        margin_seconds: float = DEFAULT_MARGIN_SECONDS,
        longest_pause_seconds: float = DEFAULT_LONGEST_PAUSE_SECONDS,
        reacquire_delay_seconds: float = 0.0,
        renewals_per_key_check: int = 1,
        eras: store_eras.StoreEras | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = bounded_store.BoundedStore(store=store)
        self._duty = duty
        self._entry_vm = entry_vm
        self._clock = clock
        self._random = random
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
        self._vacancy = vacancy.Vacancy(
            store=self._store,
            key=self._holder_key,
            is_mine=self._is_mine,
            random=random,
            sleep=sleep,
        )
        self._last: store_module.KeyValue | None = None
        self._before: tuple[types.EntryVmId, ...] = ()
        self._lease: store_module.LeaseId | None = None
        self._nonce = ""
        self._tenure: tenure_module.Tenure | None = None
        self._modified = store_module.ABSENT
        self._valid_until = clock.monotonic()
        self._task: asyncio.Task[None] | None = None

    @property
    def tenure(self) -> tenure_module.Tenure | None:
        """Return the tenure that holds at this moment."""
        if self._tenure and self.remaining_seconds(self._tenure) > 0:
            return self._tenure
        return None

    def remaining_seconds(self, tenure: tenure_module.Tenure) -> float:
        """Return how long `tenure` surely lasts from now; 0 when it is over.

        A process that was frozen finds 0 here on waking, since the reading
        is taken now and the end was fixed before the freeze.
        """
        if tenure != self._tenure:
            return 0.0
        return max(0.0, self._valid_until - self._clock.monotonic())

    async def start(self) -> None:
        """Start to seek the tenure."""
        self._task = asyncio.create_task(self._run())

    async def close(self, *, clean: bool) -> None:
        """Stop, and give the tenure up so that another takes over at once.

        Parameters
        ----------
        clean
            Whether no order of this process can take effect any more. Else
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
            found = await self._vacancy.find()
            if isinstance(found, vacancy.Held):
                pause = _FIRST_PAUSE_SECONDS
                await self._vacancy.wait(found)
            elif isinstance(found, vacancy.Vacant) and await self._acquire():
                pause = _FIRST_PAUSE_SECONDS
                await self._hold()
            else:
                await self._sleep(pause * self._random.uniform(0.5, 1.0))
                pause = min(2 * pause, self._longest_pause_seconds)

    async def _acquire(self) -> bool:
        asked = self._clock.monotonic()
        if not await self._renew_lease():
            return False
        for _ in range(_MAXIMUM_TRIES):
            self._before = self._holders_before()
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
                    self._begin(revision, asked)
                    return True
                case store_module.Rejected():
                    holder = result.item(self._holder_key)
                    if holder is not None:
                        return self._adopt(holder, asked)
                    if not self._learn_last(result):
                        return False
                case store_module.Unreachable():
                    return False
                case store_module.Unknown():
                    # Sent again as it is: it fails if the first one applied,
                    # and the refusal shows the holder.
                    continue
        return False

    async def _renew_lease(self) -> bool:
        if self._lease is not None:
            kept = await self._store.keep_lease(self._lease)
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

    def _adopt(self, holder: store_module.KeyValue, asked: float) -> bool:
        if not self._is_mine(holder):
            return False
        self._begin(holder.created, asked)
        return True

    def _learn_last(self, rejected: store_module.Rejected) -> bool:
        """Return whether the last tenure's record was news."""
        found = rejected.item(self._last_key)
        if _modified(found) == _modified(self._last):
            # The comparisons held: the store has lost the lease.
            self._lease = None
            return False
        self._last = found
        return True

    def _begin(
        self, revision: store_module.StoreRevision, asked: float
    ) -> None:
        self._modified = revision
        self._valid_until = asked + self._ttl_seconds - self._margin_seconds
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
        """Return how long a new tenure gives no order."""
        wait = max(self._predecessor_seconds(), self._unseated_seconds())
        if self._entry_vm in self._earlier():
            return max(self._reacquire_delay_seconds, wait)
        return wait

    def _unseated_seconds(self) -> float:
        """Return how long a holder that the store has forgotten may still act.

        Where the last tenure began in this era, nothing was forgotten since.
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
        """Return how the last tenure began or ended; None for not readable."""
        if self._last is None:
            return None
        try:
            return tenure_module.decode(self._last.value)
        except errors.LagoonrunError:
            return None

    def _earlier(self) -> tuple[types.EntryVmId, ...]:
        """Return who held the duty before its last holder."""
        last = self._last_record()
        return () if last is None else last.earlier

    def _holders_before(self) -> tuple[types.EntryVmId, ...]:
        """Return who held the duty before this tenure, this entry VM aside."""
        last = self._last_record()
        if last is None:
            return ()
        before = dict.fromkeys((last.entry_vm, *last.earlier))
        before.pop(self._entry_vm, None)
        return tuple(before)[: tenure_module.MOST_EARLIER]

    async def _hold(self) -> None:
        pause = _FIRST_PAUSE_SECONDS
        while self.tenure is not None:
            wait = self._ttl_seconds / _RENEWALS_PER_TTL
            if pause > _FIRST_PAUSE_SECONDS:
                wait = pause * self._random.uniform(0.5, 1.0)
            await self._sleep(wait)
            asked = self._clock.monotonic()
            renewed = await self._renew()
            if renewed is None:
                pause = min(2 * pause, self._longest_pause_seconds)
            elif renewed:
                pause = _FIRST_PAUSE_SECONDS
                self._extend(asked)
            else:
                self._end("lost")
        self._end("lapsed")

    def _extend(self, asked: float) -> None:
        # Only a tenure that still holds is extended: one that lapsed during
        # the renewal has been seen as over, and another may have begun.
        if self.tenure is not None:
            self._valid_until = asked + self._ttl_seconds - self._margin_seconds

    async def _renew(self) -> bool | None:
        """Return whether lease and key are held; None when not known."""
        if self._lease is None:
            return False
        kept = await self._store.keep_lease(self._lease)
        if isinstance(kept, store_module.LeaseLost):
            self._lease = None
            return False
        if not isinstance(kept, store_module.LeaseGranted):
            return None
        self._renewals += 1
        if self._renewals % self._renewals_per_key_check:
            return True
        # The lease can be alive without the key, when somebody deleted the
        # key by hand; then another entry VM holds it by now.
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

    def _end(self, why: str) -> None:
        if self._tenure is None:
            return
        logs.emit(
            events.LogEvent.ORDERER_LOST,
            duty=self._duty,
            fencing=self._tenure.fencing,
            reason=why,
        )
        self._tenure = None
        # What the next acquisition finds as the last record is this one.
        self._last = None

    def _record(self, *, released: bool) -> bytes:
        return tenure_module.encode(
            tenure_module.TenureRecord(
                entry_vm=self._entry_vm,
                nonce=self._nonce,
                released=released,
                order_timeout_seconds=self._order_timeout_seconds,
                earlier=self._before,
                era=self._eras.newest,
            )
        )

    def _is_mine(self, holder: store_module.KeyValue) -> bool:
        try:
            record = tenure_module.decode(holder.value)
        except errors.LagoonrunError:
            return False
        return self._nonce != "" and record.nonce == self._nonce


def _modified(
    found: store_module.KeyValue | None,
) -> store_module.StoreRevision:
    return store_module.ABSENT if found is None else found.modified
