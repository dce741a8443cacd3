"""State machine: two orderers of a domain, and both kinds of upstream.

Real `Orderer`s and `Leadership`s use one store. A process may freeze at any of
its steps: a call before or after its effect, an order before its first byte, a
timer. The oracle is at the upstreams: once an order of a tenure took effect,
none of an earlier tenure may.

Assumptions for an upstream that does not check fencing numbers: an order takes
effect within its time limit from its first byte, and an entry VM is not frozen
for longer than `LONGEST_FREEZE_SECONDS` between the last check and the first
byte. Nothing of the kind is assumed for one that checks.
"""

import asyncio
import dataclasses
import functools
import os
import random

import hypothesis
import pytest
from hypothesis import stateful, strategies

from lagoonrun_config import model
from lagoonrun_core import clock as clock_module
from lagoonrun_core import types
from lagoonrun_orders import leadership as leadership_module
from lagoonrun_orders import orderer as orderer_module
from lagoonrun_orders import tenure as tenure_module
from lagoonrun_orders import upstream_orders, weight_budget
from lagoonrun_platform import memory_store
from lagoonrun_platform import store as store_module

DOMAIN = types.FailureDomain("d")
POOL = types.PoolName("p")
ORDER_SECONDS = 10.0
LONGEST_FREEZE_SECONDS = 15.0
TTL_SECONDS = 18.0
VMS = range(2)
_LOST = store_module.Unknown(detail="reply lost")
_STEPS = ("call", "reply", "ask", "state", "connect", "timer", "answer")
_STEPS += ("write",) * 3
_ADVANCES_SECONDS = (1.0, 4.0, 9.0, 20.0)
_LATENCIES_SECONDS = (0.0, 1.0, ORDER_SECONDS)
_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=int(os.environ.get("LAGOONRUN_FUZZ_EXAMPLES", "60")),
    stateful_step_count=40,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


class _Process:
    """Whether an entry VM's process runs; its steps wait while it is frozen."""

    def __init__(self):
        self.freeze_at = None
        self.dead = False
        self._running = asyncio.Event()
        self._running.set()

    @property
    def frozen(self):
        return not self._running.is_set()

    def thaw(self):
        self.freeze_at = None
        self._running.set()

    async def step(self, name):
        if self.freeze_at == name:
            self._running.clear()
        if self.dead:
            await asyncio.Event().wait()
        await self._running.wait()


class _SteppedStore:
    """The store as one process reaches it."""

    def __init__(self, *, inner, process, delayed_calls):
        self._inner, self._process, self._delayed_calls = (
            inner,
            process,
            delayed_calls,
        )
        self.delays = 0

    def __getattr__(self, name):
        return functools.partial(self._call, name)

    def watch(self, key, **options):
        return self._inner.watch(key, **options)

    async def _call(self, name, *arguments, **options):
        await self._process.step("call")
        call = functools.partial(
            getattr(self._inner, name), *arguments, **options
        )
        if self.delays:
            self.delays -= 1
            self._delayed_calls.append(call)
            return _LOST
        result = await call()
        await self._process.step("reply")
        return result


@dataclasses.dataclass(kw_only=True, eq=False)
class _InFlightOrder:
    """An order that is, or will be, written and has not yet taken effect."""

    upstream: model.Upstream
    order: upstream_orders.Order
    fencing: int
    deadline: float
    progress: asyncio.Future


class _Receiver:
    """Both upstreams: applies orders and checks their fencing numbers."""

    def __init__(self, *, clock, checks):
        self.clock, self._checks = clock, checks
        self.latency = lambda _: 0.0
        self.state_by_id, self.latest_by_id = {}, {}
        self.unwritten, self.written = [], []

    def apply(self, pending):
        self.written.remove(pending)
        upstream, order = pending.upstream, pending.order
        latest = self.latest_by_id.get(upstream.id, 0)
        checks = upstream.checks_fencing and self._checks
        if checks and pending.fencing < latest:
            refused = upstream_orders.RefusedOldFencing(detail="old")
            pending.progress.set_result(refused)
            return
        assert pending.fencing >= latest, "old order took effect"
        self.latest_by_id[upstream.id] = pending.fencing
        state = self.state_by_id[upstream.id]
        versions = dict(state.version_by_model)
        if order.kind is upstream_orders.OrderKind.LOAD:
            versions[order.model] = order.version
        else:
            versions.pop(order.model, None)
        self.state_by_id[upstream.id] = dataclasses.replace(
            state, version_by_model=versions
        )
        pending.progress.set_result(upstream_orders.Done())

    def write(self, pending):
        self.unwritten.remove(pending)
        pending.deadline = self.clock.monotonic() + self.latency(pending)
        self.written.append(pending)
        pending.progress.set_result(None)
        pending.progress = asyncio.get_event_loop().create_future()

    def next_deadline(self):
        all_pending = self.unwritten + self.written
        return min((one.deadline for one in all_pending), default=float("inf"))

    def apply_due(self):
        now = self.clock.monotonic()
        for pending in [one for one in self.written if one.deadline <= now]:
            self.apply(pending)
        for pending in [one for one in self.unwritten if one.deadline <= now]:
            self.write(pending)


class _Sender:
    """`UpstreamOrders` of one process, connected to the receiver."""

    def __init__(self, *, receiver, process):
        self._receiver, self._process = receiver, process
        self.lost_answers = 0

    async def state(self, upstream):
        await self._process.step("ask")
        state = self._receiver.state_by_id[upstream.id]
        await self._process.step("state")
        return state

    async def send(
        self, upstream, order, *, fencing, timeout_seconds, may_send
    ):
        assert timeout_seconds == ORDER_SECONDS
        await self._process.step("connect")
        if not may_send():
            return upstream_orders.NotSent(detail="may not")
        bound = LONGEST_FREEZE_SECONDS
        if upstream.checks_fencing:
            bound = float("inf")
        pending = _InFlightOrder(
            upstream=upstream,
            order=order,
            fencing=fencing,
            deadline=self._receiver.clock.monotonic() + bound,
            progress=asyncio.get_running_loop().create_future(),
        )
        self._receiver.unwritten.append(pending)
        written = pending.progress
        going = asyncio.ensure_future(self._process.step("write"))
        await asyncio.wait([going, written], return_when="FIRST_COMPLETED")
        going.cancel()
        if not written.done():
            self._receiver.write(pending)
        if self.lost_answers:
            self.lost_answers -= 1
            return upstream_orders.OrderUnknown(detail="lost")
        result = await pending.progress
        await self._process.step("answer")
        return result


class _World:
    """Two entry VMs, both kinds of upstream, one store and a manual clock."""

    orderer_type = orderer_module.Orderer
    receiver_checks = True

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.clock = clock_module.ManualClock()
        self.store = memory_store.MemoryStore(clock=self.clock)
        self.receiver = _Receiver(clock=self.clock, checks=self.receiver_checks)
        self.upstreams = {}
        for number, checks in enumerate((True, False)):
            self.add_upstream(f"u{number}", checks)
        self.wanted, self.numbers = 0, 0
        self.timers, self.delayed_calls = [], []
        self.processes, self.stores, self.senders = {}, {}, {}
        self.orderers, self.holder_by_fencing = {}, {}
        for vm in VMS:
            self.boot(vm)

    def add_upstream(self, name, checks):
        upstream = model.Upstream(
            id=types.UpstreamId(name),
            pool=POOL,
            domain=DOMAIN,
            address="10.0.0.1",
            port=1,
            checks_fencing=checks,
        )
        self.upstreams[upstream.id] = upstream
        self.receiver.state_by_id[upstream.id] = upstream_orders.UpstreamState(
            version_by_model={}, role="serve"
        )

    def boot(self, vm):
        self.numbers += 1
        process = self.processes[vm] = _Process()
        self.stores[vm] = _SteppedStore(
            inner=self.store, process=process, delayed_calls=self.delayed_calls
        )
        self.senders[vm] = _Sender(receiver=self.receiver, process=process)
        sleep = functools.partial(self.sleep, process)
        leadership = leadership_module.Leadership(
            store=self.stores[vm],
            duty=tenure_module.duty_of_domain(DOMAIN),
            entry_vm=types.EntryVmId(f"vm-{vm}"),
            clock=self.clock,
            rng=random.Random(self.numbers),
            order_timeout_seconds=ORDER_SECONDS,
            ttl_seconds=TTL_SECONDS,
            sleep=sleep,
        )
        self.orderers[vm] = self.orderer_type(
            domain=DOMAIN,
            leadership=leadership,
            upstream_orders=self.senders[vm],
            placements=self.placements,
            upstreams=lambda: self.upstreams,
            is_leaving=lambda _: False,
            budget=weight_budget.WeightBudget(
                clock=self.clock, bytes_per_second=1.0, burst_bytes=1.0
            ),
            clock=self.clock,
            order_timeout_seconds=ORDER_SECONDS,
            reloading_share=1.0,
            sleep=sleep,
        )
        self.run(self.orderers[vm].start())

    def placements(self):
        return (
            model.Placement(
                pool=POOL, domain=DOMAIN, model=f"m{self.wanted}", count=2
            ),
        )

    async def sleep(self, process, seconds):
        due = self.clock.monotonic() + seconds
        woken = self.loop.create_future()
        self.timers.append((due, woken))
        await woken
        await process.step("timer")

    def run(self, work=None):
        async def spin():
            result = await work if work is not None else None
            for _ in range(25):
                await asyncio.sleep(0)
            return result

        result = self.loop.run_until_complete(spin())
        for vm in VMS:
            self.record_tenure(vm)
        return result

    def record_tenure(self, vm):
        orderer = self.orderers.get(vm)
        tenure = orderer._leadership.tenure if orderer else None
        if tenure is not None:
            holder = self.holder_by_fencing.setdefault(tenure.fencing, orderer)
            assert holder is orderer, "fencing number used again"

    def advance(self, seconds):
        end = self.clock.monotonic() + seconds
        while (now := self.clock.monotonic()) < end:
            timer = min((due for due, _ in self.timers), default=end)
            until = min(end, self.receiver.next_deadline(), timer)
            self.clock.advance(max(0.0, until - now))
            self.receiver.apply_due()
            self.wake_timers()
            self.store._expire_leases()
            self.run()

    def wake_timers(self):
        now = self.clock.monotonic()
        due = [woken for at, woken in self.timers if at <= now]
        self.timers = [one for one in self.timers if one[0] > now]
        for woken in due:
            if not woken.done():
                woken.set_result(None)

    def declare_next_model(self):
        self.wanted += 1

    def check_progress(self):
        self.store.resume()
        self.store.lost_replies = 0
        for vm in VMS:
            self.processes[vm].thaw()
            self.stores[vm].delays = 0
            self.senders[vm].lost_answers = 0
            self.run(self.orderers[vm]._leadership.close(clean=False))
            self.processes[vm].dead = True
            self.boot(vm)
        self.declare_next_model()
        self.advance(100.0)
        for state in self.receiver.state_by_id.values():
            assert f"m{self.wanted}" in state.version_by_model

    def end_loop(self):
        for process in self.processes.values():
            process.dead = True
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.run_until_complete(self.loop.shutdown_asyncgens())
        self.loop.close()


class _Fencing(_World, stateful.RuleBasedStateMachine):
    """Steps and faults of the world in any order."""

    @stateful.initialize(seed=strategies.integers(0, 1000))
    def choose_latencies(self, seed):
        rng = random.Random(seed)
        self.receiver.latency = lambda _: rng.choice(_LATENCIES_SECONDS)

    @stateful.rule(
        data=strategies.data(),
        action=strategies.sampled_from(
            ("pass_time",) * 6
            + ("want", "freeze") * 2
            + ("thaw", "lose_store_reply", "lose_answer")
            + ("delay_call", "apply_late", "outage", "kill", "stop")
        ),
    )
    def act(self, data, action):
        getattr(self, action)(data)
        self.run()

    def pass_time(self, data):
        self.advance(data.draw(strategies.sampled_from(_ADVANCES_SECONDS)))

    def want(self, _data):
        self.declare_next_model()

    def freeze(self, data):
        vm = data.draw(strategies.sampled_from(VMS))
        self.processes[vm].freeze_at = data.draw(
            strategies.sampled_from(_STEPS)
        )

    def thaw(self, data):
        self.processes[data.draw(strategies.sampled_from(VMS))].thaw()

    def lose_store_reply(self, _data):
        self.store.lost_replies += 1

    def lose_answer(self, data):
        self.senders[data.draw(strategies.sampled_from(VMS))].lost_answers += 1

    def delay_call(self, data):
        self.stores[data.draw(strategies.sampled_from(VMS))].delays += 1

    def apply_late(self, _data):
        if self.delayed_calls:
            self.run(self.delayed_calls.pop(0)())

    def outage(self, data):
        self.store.stop()
        self.pass_time(data)
        self.store.resume()

    def kill(self, data):
        vm = data.draw(strategies.sampled_from(VMS))
        self.processes[vm].dead = True
        self.boot(vm)

    def stop(self, data):
        vm = data.draw(strategies.sampled_from(VMS))
        if not self.processes[vm].frozen:
            closing = self.loop.create_task(self.orderers[vm].close())
            self.run()
            if closing.done():
                self.boot(vm)

    def teardown(self):
        """Orders must take effect within minutes after all faults."""
        try:
            if self.orderer_type is orderer_module.Orderer:
                self.check_progress()
        finally:
            self.end_loop()


class _SendsWhileHeld(orderer_module.Orderer):
    """Naive version: sends whenever its lease is still valid."""

    def _may_send(self, tenure, _upstream):
        return self._leadership.remaining_seconds(tenure) > 0

    def _begin_reading(self, tenure):
        reading = super()._begin_reading(tenure)
        return dataclasses.replace(reading, predecessor_done=True)


def test_no_old_order_takes_effect_after_a_new_one():
    """Guards against an engine that follows the older of two orders.

    A holder freezes at any step, its lease expires, another VM takes over, and
    the first one resumes and sends its order.
    """
    stateful.run_state_machine_as_test(_Fencing, settings=_SETTINGS)


def _freeze_a_holder(world, *, step, at_seconds, frozen_seconds):
    """Freeze the first holder at one step and let another take over."""
    world.advance(ORDER_SECONDS + 4.0 + at_seconds)
    first = min(world.holder_by_fencing)
    world.receiver.latency = lambda pending: (
        ORDER_SECONDS if pending.fencing == first else 0.0
    )
    holder = world.holder_by_fencing[first]
    vm = next(vm for vm in VMS if world.orderers[vm] is holder)
    world.processes[vm].freeze_at = step
    world.declare_next_model()
    world.advance(frozen_seconds)
    world.processes[vm].thaw()
    world.advance(2 * TTL_SECONDS)
    assert len(world.holder_by_fencing) > 1 or frozen_seconds < TTL_SECONDS


def _sweep(world_type, steps):
    for step in steps:
        for at_seconds in (0.0, 2.0, 4.0):
            for frozen_seconds in (8.0, 16.0, 40.0):
                world = world_type()
                try:
                    _freeze_a_holder(
                        world,
                        step=step,
                        at_seconds=at_seconds,
                        frozen_seconds=frozen_seconds,
                    )
                finally:
                    world.end_loop()


@pytest.mark.parametrize("step", sorted(set(_STEPS)))
def test_a_holder_may_freeze_at_any_step(step):
    """Guards against reloading a model that was unloaded on purpose.

    The holder freezes at this step, before or after its lease is renewed, for
    less than its lease, about as long, or twice as long. Its successor sends
    orders; then the first one resumes where it stopped.
    """
    _sweep(_World, [step])


@pytest.mark.parametrize(
    "naive",
    [
        pytest.param({"orderer_type": _SendsWhileHeld}, id="lease-alone"),
        pytest.param({"receiver_checks": False}, id="unchecked-numbers"),
    ],
)
def test_a_naive_version_lets_an_old_order_through(naive):
    world_type = type("_Naive", (_World,), naive)
    with pytest.raises(AssertionError, match="old order took effect"):
        _sweep(world_type, ["write"])
