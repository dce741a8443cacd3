"""Tenures of a failure domain's duty under failures of the store."""

import asyncio
import random

import pytest
import pytest_asyncio

from lagoonrun_core import types
from lagoonrun_orders import leadership as leadership_module
from lagoonrun_orders import tenure as tenure_module
from lagoonrun_platform import store as store_module
from lagoonrun_platform import store_eras

DUTY = types.DutyName("d")
TTL_SECONDS = 30.0
ORDER_SECONDS = 10.0
MARGIN_SECONDS = 2.0


class _Timers:
    """Sleeps that end when the manual clock passes them."""

    def __init__(self, clock):
        self._clock = clock
        self._waiting = []

    async def sleep(self, seconds):
        due = self._clock.monotonic() + seconds
        woken = asyncio.get_running_loop().create_future()
        self._waiting.append((due, woken))
        await woken

    async def advance(self, seconds, *, step=0.5):
        for _ in range(int(seconds / step)):
            self._clock.advance(step)
            now = self._clock.monotonic()
            due = [one for one in self._waiting if one[0] <= now]
            self._waiting = [one for one in self._waiting if one[0] > now]
            for _, woken in due:
                if not woken.done():
                    woken.set_result(None)
            await _settle()


async def _settle():
    for _ in range(30):
        await asyncio.sleep(0)


@pytest.fixture
def timers(clock):
    return _Timers(clock)


@pytest_asyncio.fixture
async def candidate(store, clock, timers):
    """Return a function that starts one more candidate."""
    made = []

    async def start(number=None, **changes):
        number = number or len(made) + 1
        one = leadership_module.Leadership(
            store=store,
            duty=DUTY,
            entry_vm=types.EntryVmId(f"vm-{number}"),
            clock=clock,
            rng=random.Random(number),
            order_timeout_seconds=ORDER_SECONDS,
            ttl_seconds=TTL_SECONDS,
            margin_seconds=MARGIN_SECONDS,
            sleep=timers.sleep,
            **changes,
        )
        made.append(one)
        await one.start()
        await _settle()
        return one

    yield start
    store.resume()
    for one in made:
        await one.close(clean=True)


async def test_one_candidate_acquires_and_keeps_the_lease(candidate, timers):
    first, second = await candidate(), await candidate()
    tenure = first.tenure
    await timers.advance(300.0)
    assert first.tenure == tenure
    assert second.tenure is None


async def test_a_clean_end_is_taken_over_at_once(candidate, timers, clock):
    """Guards against half a minute without orders during a rolling replacement.

    The planned stop releases the key, and the successor need not wait, since
    the stopped process recorded that none of its orders is in progress.
    """
    first, second = await candidate(), await candidate()
    old = first.tenure
    await first.close(clean=True)
    await timers.advance(1.0)
    assert second.tenure.fencing > old.fencing
    assert second.tenure.first_order_at <= clock.monotonic()


@pytest.mark.parametrize("crash", [True, False])
async def test_successor_waits_after_an_unclean_end(
    candidate, timers, store, clock, crash
):
    first, second = await candidate(), await candidate()
    if crash:
        first._task.cancel()
        await timers.advance(TTL_SECONDS - 1.0)
        assert second.tenure is None
        await timers.advance(1.0)
        await store.get("any")  # makes the fake expire the lease
    else:
        await first.close(clean=False)
    await _settle()
    await timers.advance(0.5)
    wait = second.tenure.first_order_at - clock.monotonic()
    assert wait == ORDER_SECONDS + MARGIN_SECONDS


async def test_a_frozen_holder_knows_on_resuming(candidate, timers, clock):
    """Guards against two VMs sending orders, one of them after its lease."""
    first = await candidate()
    tenure = first.tenure
    clock.advance(TTL_SECONDS - MARGIN_SECONDS)
    assert first.remaining_seconds(tenure) == 0.0
    assert first.tenure is None


async def test_an_outage_ends_the_tenure_before_the_lease(
    candidate, timers, store, clock
):
    first = await candidate()
    begun = clock.monotonic()
    store.stop()
    calls = sum(store.calls_by_kind.values())
    while first.tenure is not None:
        await timers.advance(0.5)
    assert clock.monotonic() - begun <= TTL_SECONDS - MARGIN_SECONDS
    await timers.advance(300.0)
    assert sum(store.calls_by_kind.values()) - calls < 80
    store.resume()
    await timers.advance(20.0)
    assert first.tenure is not None


@pytest.mark.parametrize("lost", [1, 2, 3, 4])
async def test_a_lost_reply_does_not_leave_the_domain_without_orders(
    candidate, timers, store, lost
):
    """Guards against a holder that does not know that it holds the key."""
    store.lost_replies = lost
    first = await candidate()
    await timers.advance(15.0)
    assert first.tenure is not None
    found = (await store.get(tenure_module.holder_key(DUTY))).found
    assert first.tenure.fencing == found.created


@pytest.mark.parametrize("name", ["transact", "grant_lease", "watch"])
async def test_a_fault_of_the_adapter_does_not_end_the_campaign(
    candidate, timers, store, monkeypatch, name
):
    """Guards against a domain without orderer while its entry VMs are up.

    The store's client failed once on a response that it could not read, and the
    task that acquires the lease ended with it.
    """
    holder = await candidate()

    async def fail(*_arguments, **_options):
        raise ValueError("unreadable answer")

    async def fail_watch(*_arguments, **_options):
        raise ValueError("unreadable answer")
        yield

    with monkeypatch.context() as patched:
        fault = fail_watch if name == "watch" else fail
        patched.setattr(store, name, fault)
        successor = await candidate()
        await timers.advance(1.0)
    await holder.close(clean=True)
    await timers.advance(20.0)
    assert successor.tenure is not None


async def test_a_deleted_key_ends_the_tenure(candidate, timers, store):
    """An operator deletes the key by hand while the holder's lease is valid."""
    first, second = await candidate(), await candidate()
    old = first.tenure
    await store.transact(
        comparisons=(), deletes=[tenure_module.holder_key(DUTY)]
    )
    await timers.advance(TTL_SECONDS)
    held = [one.tenure for one in (first, second) if one.tenure is not None]
    assert len(held) == 1
    assert held[0].fencing > old.fencing


async def test_a_lost_lease_ends_the_tenure(candidate, timers, store):
    first = await candidate()
    old = first.tenure
    await store.revoke_lease(store_module.LeaseId(number=1))
    await timers.advance(TTL_SECONDS / 2)
    assert first.tenure.fencing > old.fencing


@pytest.mark.parametrize(
    ("returns", "waits"), [("vm-1", True), ("vm-3", False)]
)
async def test_holder_that_comes_back_waits_for_a_while(
    candidate, timers, clock, returns, waits
):
    """A receiver that checks no fencing numbers sees two entry VMs alternate.

    The first one is restarted, the second takes over and is restarted in turn,
    and the first is back by then.
    """
    options = {"reacquire_delay_seconds": 3.0}
    first = await candidate(1, **options)
    second = await candidate(2, **options)
    await first.close(clean=True)
    await timers.advance(1.0)
    assert second.tenure is not None
    third = await candidate(int(returns[-1]), **options)
    await second.close(clean=True)
    await timers.advance(1.0)
    wait = third.tenure.first_order_at - clock.monotonic()
    assert (wait > 1.0) is waits


async def test_key_is_checked_every_few_renewals(candidate, timers, store):
    """Each check of the key costs as much as ten renewals."""
    await candidate(renewals_per_key_check=5)
    before = store.calls_by_kind["transact"]
    await timers.advance(20 * TTL_SECONDS / 3)
    checks = store.calls_by_kind["transact"] - before
    assert 3 <= checks <= 4


async def test_holder_after_a_restore_waits_for_the_lost_holder(
    candidate, timers, clock
):
    """The store is restored without the lease, and its holder still acts.

    It is cut off from the store. The key is free at once, long before the lease
    would have expired.
    """
    eras = store_eras.StoreEras(clock=clock)
    eras.observe(1)
    seen_at = clock.monotonic()
    successor = await candidate(eras=eras)
    await timers.advance(1.0)
    wait = successor.tenure.first_order_at - seen_at
    assert wait >= TTL_SECONDS + MARGIN_SECONDS


async def test_successor_in_the_same_era_waits_no_longer_than_without(
    candidate, timers, clock
):
    """The last tenure began after the last restore, so nothing was lost."""
    eras = store_eras.StoreEras(clock=clock)
    eras.observe(3)
    first = await candidate(eras=eras)
    await timers.advance(50.0)
    await first.close(clean=True)
    fresh = store_eras.StoreEras(clock=clock)
    fresh.observe(3)
    successor = await candidate(eras=fresh)
    await timers.advance(1.0)
    assert successor.tenure.first_order_at <= clock.monotonic()
