"""State machine test of concurrent claims with fully controlled scheduling.

Each call to the store and each step of an ingress waits until a rule resumes
it, so any of them may be paused for any time. The oracle is the receiver,
which records each execution of a key. Two executions of one key are allowed
only if at least half the retention time lies between them.
"""

import asyncio
import contextlib
import dataclasses
import functools
import os
import random

import hypothesis
import pytest
from hypothesis import stateful, strategies

from lagoonrun_claims import claim as claim_module
from lagoonrun_claims import claims as claims_module
from lagoonrun_core import clock as clock_module
from lagoonrun_core import outcomes, types
from lagoonrun_platform import memory_store
from lagoonrun_platform import store as store_module

RETENTION_SECONDS = 24 * 3600.0
ORGANISATION = types.OrganisationId("house")
KEYS = ("a",)
VMS = range(2)
_ANY_VM = strategies.sampled_from(VMS)
_REPLY_LOST = store_module.Unknown(detail="reply lost")
_UNREACHABLE = store_module.Unreachable(detail="outage")
_ANY_KEY = strategies.sampled_from(KEYS)
_JUMPS_SECONDS = (0.5, 70.0, 70.0, 9000.0, 90000.0)
_ANY_ACTION = strategies.sampled_from(
    ("arrive", "answer_calls", "resume_ingress") * 4
    + ("advance", "lose_reply") * 2
    + ("fail_to_connect", "fail_call", "apply_late", "cancel_request", "crash")
)
_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=int(os.environ.get("LAGOONRUN_FUZZ_EXAMPLES", "150")),
    stateful_step_count=50,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


@dataclasses.dataclass(kw_only=True, eq=False)
class _PausedStep:
    """A paused step: a call to the store, or a step of an ingress."""

    vm: int
    apply: object = None
    writes: bool = False
    checked: bool = False
    reply: asyncio.Future = dataclasses.field(
        default_factory=lambda: asyncio.get_event_loop().create_future()
    )


class _PausingStore:
    """One entry VM's store connection; calls wait in `paused_steps`."""

    def __init__(self, *, inner, vm, paused_steps):
        self._inner, self._vm, self._paused_steps = inner, vm, paused_steps
        self.alive = True

    def __getattr__(self, name):
        return functools.partial(self._call, name)

    async def _call(self, name, *arguments, **options):
        apply = functools.partial(
            getattr(self._inner, name), *arguments, **options
        )
        step = _PausedStep(vm=self._vm, apply=apply, writes=name != "get")
        if self.alive:
            self._paused_steps.append(step)
        return await step.reply


class _AtMostOnce(stateful.RuleBasedStateMachine):
    """Real `Claims` of several entry VMs over one store."""

    claims_type = claims_module.Claims
    checks_usable = True

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.clock = clock_module.ManualClock()
        self.store = memory_store.MemoryStore(clock=self.clock)
        self.paused_steps, self.late, self.tasks, self.dead = [], [], [], []
        self.crashed, self.count = False, 0
        self.claims_by_vm, self.store_by_vm = {}, {}
        self.key_by_request, self.ended_by_request = {}, {}
        self.sent_by_key = {key: [] for key in KEYS}
        for vm in VMS:
            self.boot(vm)

    def boot(self, vm):
        self.count += 1
        self.store_by_vm[vm] = _PausingStore(
            inner=self.store, vm=vm, paused_steps=self.paused_steps
        )
        self.claims_by_vm[vm] = self.claims_type(
            store=self.store_by_vm[vm],
            entry_vm=types.EntryVmId(f"vm-{vm}"),
            clock=self.clock,
            random=random.Random(self.count),
            retention_seconds=RETENTION_SECONDS,
            linger_seconds=0.0,
            sleep=lambda _: asyncio.sleep(0),
        )
        self.run(self.claims_by_vm[vm].start())

    def run(self, work=None):
        async def run_until_idle():
            result = await work if work is not None else None
            for _ in range(25):
                await asyncio.sleep(0)
            return result

        return self.loop.run_until_complete(run_until_idle())

    async def pause(self, vm, *, checked=False):
        step = _PausedStep(vm=vm, checked=checked)
        self.paused_steps.append(step)
        try:
            return await step.reply
        finally:
            if step in self.paused_steps:
                self.paused_steps.remove(step)

    async def ingress(self, vm, key, request):
        """Serve one request as an ingress does."""
        claims = self.claims_by_vm[vm]
        result = await claims.claim(
            organisation=ORGANISATION,
            key=key,
            request_id=request,
            body_digest="b",
            deadline_seconds=60.0,
        )
        if isinstance(result, claims_module.Taken):
            self.check_result(key, result)
        if not isinstance(result, claims_module.Won):
            return
        sent = False
        try:
            connected = await self.pause(vm)
            if connected and claims.may_send(result.attempt):
                await self.pause(vm, checked=True)
                self.receive(key)
                sent = True
                await self.pause(vm)
        finally:
            await self.end(claims, result.attempt, sent=sent)

    async def end(self, claims, attempt, *, sent):
        if not sent:
            await claims.release(attempt)
            return
        outcome = outcomes.Outcome.PARTIAL
        self.ended_by_request[attempt.record.request_id] = outcome
        await claims.record_end(attempt, outcome)

    def receive(self, key):
        sent = self.sent_by_key[key]
        sent.append(self.clock.monotonic())
        if len(sent) > 1:
            assert sent[-1] - sent[-2] >= RETENTION_SECONDS / 2, "ran twice"

    def check_result(self, key, taken):
        assert self.key_by_request[taken.request_id] == key
        if taken.state is claim_module.ClaimState.ENDED:
            assert self.ended_by_request[taken.request_id] is taken.outcome
        else:
            assert taken.state is claim_module.ClaimState.CLAIMED

    def finish(self, step, reply):
        if step in self.paused_steps:
            self.paused_steps.remove(step)
        if not step.reply.done():
            step.reply.set_result(reply)
        self.run()
        for task in self.tasks:
            if task.done() and not task.cancelled() and task.exception():
                raise task.exception()

    def resume(self, *, vm, until=lambda step: False):
        """Resume the steps of one entry VM until `until` holds for one."""
        while waiting := [step for step in self.paused_steps if step.vm == vm]:
            step = waiting[0]
            if until(step):
                return
            reply = self.run(step.apply()) if step.apply else True
            self.finish(step, reply)

    def pick(self, data, *, calls, vm=None):
        chosen = [
            step
            for step in self.paused_steps
            if calls == bool(step.apply) and vm in (None, step.vm)
        ]
        return data.draw(strategies.sampled_from(chosen)) if chosen else None

    @stateful.rule(data=strategies.data(), action=_ANY_ACTION)
    def act(self, data, action):
        """Do one action; a single rule keeps every kind in each run."""
        getattr(self, action)(data)

    def arrive(self, data):
        self.serve(vm=data.draw(_ANY_VM), key=data.draw(_ANY_KEY))

    def serve(self, *, vm, key):
        self.count += 1
        request = types.RequestId(f"r{self.count}")
        self.key_by_request[request] = key
        task = self.loop.create_task(self.ingress(vm, key, request))
        task.vm = vm
        self.tasks.append(task)
        self.run()

    def answer_calls(self, data):
        vm = data.draw(_ANY_VM)
        for _ in range(data.draw(strategies.integers(1, 6))):
            step = self.pick(data, calls=True, vm=vm)
            if step is not None:
                self.finish(step, self.run(step.apply()))

    def resume_ingress(self, data):
        step = self.pick(data, calls=False)
        if step is not None:
            self.finish(step, True)

    def fail_to_connect(self, data):
        step = self.pick(data, calls=False)
        if step is not None:
            self.finish(step, False)

    def lose_reply(self, data):
        step = self.pick(data, calls=True)
        if step is None or not step.writes:
            return
        applied = data.draw(strategies.sampled_from(["now", "later", "never"]))
        if applied == "now":
            self.run(step.apply())
        elif applied == "later":
            self.late.append(step.apply)
        self.finish(step, _REPLY_LOST)

    def fail_call(self, data):
        step = self.pick(data, calls=True)
        if step is not None:
            self.finish(step, _UNREACHABLE)

    def apply_late(self, data):
        if self.late:
            chosen = data.draw(strategies.sampled_from(self.late))
            self.late.remove(chosen)
            self.run(chosen())

    def cancel_request(self, data):
        waiting = [task for task in self.tasks if not task.done()]
        if waiting:
            data.draw(strategies.sampled_from(waiting)).cancel()
            self.run()

    def crash(self, data):
        """Crash a process; its calls may still reach the store."""
        vm = data.draw(_ANY_VM)
        self.crashed = True
        self.store_by_vm[vm].alive = False
        self.dead.extend(task for task in self.tasks if task.vm == vm)
        self.tasks = [task for task in self.tasks if task.vm != vm]
        lost = [step for step in self.paused_steps if step.vm == vm]
        self.late.extend(step.apply for step in lost if step.writes)
        self.paused_steps[:] = [
            step for step in self.paused_steps if step.vm != vm
        ]
        self.boot(vm)

    def advance(self, data):
        seconds = data.draw(strategies.sampled_from(_JUMPS_SECONDS))
        # Out of scope: an ingress paused for half the retention time between
        # its last check and its send, and a call in transit for as long.
        if seconds > 9000.0:
            if any(step.checked for step in self.paused_steps):
                return
            self.late.clear()
        self.clock.advance(seconds)
        self.run()

    def teardown(self):
        """Check that a key that never ran is usable, unless a VM crashed."""
        try:
            if self.checks_usable and not self.crashed:
                self.finish_all()
                self.check_usable_keys()
        finally:
            self.end_loop()

    def end_loop(self):
        for store in self.store_by_vm.values():
            store.alive = False
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.run()
        self.loop.close()

    def finish_all(self):
        for _ in range(400):
            if not self.paused_steps:
                self.clock.advance(10.0)
                self.run()
                if not self.paused_steps:
                    return
            step = self.paused_steps[0]
            reply = self.run(step.apply()) if step.apply else False
            self.finish(step, reply)
        raise AssertionError("claims do not finish")

    def check_usable_keys(self):
        unused = [key for key in KEYS if not self.sent_by_key[key]]
        for key in unused:
            self.serve(vm=0, key=key)
            while not self.tasks[-1].done():
                step = self.paused_steps[0]
                reply = self.run(step.apply()) if step.apply else True
                self.finish(step, reply)
            assert self.sent_by_key[key], f"key {key} is still claimed"


class _TakeoverByTimeout(claims_module.Claims):
    """Naive: takes over a claim that has not ended for a minute."""

    def _interpret(self, progress, found):
        result = super()._interpret(progress, found)
        if not isinstance(result, claims_module.Taken):
            return result
        if result.state is not claim_module.ClaimState.CLAIMED:
            return result
        if result.age_seconds <= 60.0:
            return result
        progress.expected = found.modified
        return None


class _CheckThenPut(claims_module.Claims):
    """Naive: reads the key, then writes it without a comparison."""

    async def _decide(self, progress, deadline):
        write = progress.write()
        item = await self._group._store.get(write.key)
        if getattr(item, "found", None) is None:
            put = store_module.Put(key=write.key, value=write.value)
            await self._group._store.transact(comparisons=(), puts=[put])
            return self._won(progress, store_module.ABSENT)
        return self._interpret(progress, item.found) or self._unavailable("")


def _machine(claims_type, *, checks_usable):
    attributes = {"claims_type": claims_type, "checks_usable": checks_usable}
    return type(claims_type.__name__, (_AtMostOnce,), attributes)


def _run(claims_type, *, checks_usable=True):
    machine = _machine(claims_type, checks_usable=checks_usable)
    stateful.run_state_machine_as_test(machine, settings=_SETTINGS)


def test_no_key_runs_twice():
    """No request runs twice, and no caller gets a false result.

    Entry VMs are paused at any step and crash, callers retry, replies of the
    store are lost, writes arrive late, and the store is unreachable.
    """
    _run(claims_module.Claims)


@contextlib.contextmanager
def _teardown(machine):
    try:
        yield
    finally:
        machine.teardown()


def _pause_before_sending(machine):
    """Pause the first ingress right before it sends, for a minute."""
    machine.serve(vm=0, key=KEYS[0])
    machine.resume(vm=0, until=lambda step: step.checked)
    machine.clock.advance(61.0)
    machine.serve(vm=1, key=KEYS[0])
    machine.resume(vm=1)
    machine.resume(vm=0)


def _claim_concurrently(machine):
    """Let both ingresses reach their write before either is applied."""
    for vm in (0, 1):
        machine.serve(vm=vm, key=KEYS[0])
        machine.resume(vm=vm, until=_is_transaction)
    machine.resume(vm=0)
    machine.resume(vm=1)


def _is_transaction(step):
    return step.apply is not None and step.apply.func.__name__ == "transact"


@pytest.mark.parametrize(
    ("naive", "scenario"),
    [
        (_TakeoverByTimeout, _pause_before_sending),
        (_CheckThenPut, _claim_concurrently),
    ],
)
def test_oracle_detects_a_naive_version(naive, scenario):
    """Two entry VMs get requests with one key, and a naive version sends both.

    Either the second takes over the claim of the first, which is paused, or
    both read before either has written. `Claims` sends only once.
    """
    machine = _machine(naive, checks_usable=False)()
    with (
        _teardown(machine),
        pytest.raises(AssertionError, match="ran twice"),
    ):
        scenario(machine)
    machine = _machine(claims_module.Claims, checks_usable=False)()
    with _teardown(machine):
        scenario(machine)
        assert len(machine.sent_by_key[KEYS[0]]) == 1
