"""State machine: several claimants of a few keys, every step held by hand.

Each call to the store and each step of an ingress waits until a rule lets it
go on, so any of them may be frozen for any time. The oracle is the receiver:
it notes each execution of a key. Two executions of one key are allowed only
when half the retention time lies between them.
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
HOUSE = types.OrganisationId("house")
KEYS = ("a",)
VMS = range(2)
_ANY_VM = strategies.sampled_from(VMS)
_LOST = store_module.Unknown(detail="reply lost")
_DOWN = store_module.Unreachable(detail="outage")
_ANY_KEY = strategies.sampled_from(KEYS)
_JUMPS_SECONDS = (0.5, 70.0, 70.0, 9000.0, 90000.0)
_ANY_ACTION = strategies.sampled_from(
    ("arrive", "answer_calls", "resume_ingress") * 4
    + ("advance", "lose_reply") * 2
    + ("fail_to_connect", "fail_call", "apply_late", "caller_leaves", "kill")
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
class _Held:
    """A step that waits: a call to the store, or a pause of an ingress."""

    vm: int
    apply: object = None
    writes: bool = False
    checked: bool = False
    go_on: asyncio.Future = dataclasses.field(
        default_factory=lambda: asyncio.get_event_loop().create_future()
    )


class _HeldStore:
    """One entry VM's way to the store: each call waits in `held`."""

    def __init__(self, *, inner, vm, held):
        self._inner, self._vm, self._held = inner, vm, held
        self.alive = True

    def __getattr__(self, name):
        return functools.partial(self._call, name)

    async def _call(self, name, *arguments, **options):
        apply = functools.partial(
            getattr(self._inner, name), *arguments, **options
        )
        held = _Held(vm=self._vm, apply=apply, writes=name != "get")
        if self.alive:
            self._held.append(held)
        return await held.go_on


class _AtMostOnce(stateful.RuleBasedStateMachine):
    """Real `Claims` on three entry VMs over one store."""

    claims_type = claims_module.Claims
    checks_usable = True

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.clock = clock_module.ManualClock()
        self.store = memory_store.MemoryStore(clock=self.clock)
        self.held, self.late, self.tasks, self.dead = [], [], [], []
        self.killed, self.numbers = False, 0
        self.claims_by_vm, self.way_by_vm = {}, {}
        self.asked_key_by_request, self.ended_by_request = {}, {}
        self.sent_by_key = {key: [] for key in KEYS}
        for vm in VMS:
            self.boot(vm)

    def boot(self, vm):
        self.numbers += 1
        self.way_by_vm[vm] = _HeldStore(inner=self.store, vm=vm, held=self.held)
        self.claims_by_vm[vm] = self.claims_type(
            store=self.way_by_vm[vm],
            entry_vm=types.EntryVmId(f"vm-{vm}"),
            clock=self.clock,
            random=random.Random(self.numbers),
            retention_seconds=RETENTION_SECONDS,
            linger_seconds=0.0,
            sleep=lambda _: asyncio.sleep(0),
        )
        self.run(self.claims_by_vm[vm].start())

    def run(self, work=None):
        async def spin():
            result = await work if work is not None else None
            for _ in range(25):
                await asyncio.sleep(0)
            return result

        return self.loop.run_until_complete(spin())

    async def pause(self, vm, *, checked=False):
        held = _Held(vm=vm, checked=checked)
        self.held.append(held)
        try:
            return await held.go_on
        finally:
            if held in self.held:
                self.held.remove(held)

    async def ingress(self, vm, key, request):
        """Serve one arrival as an ingress does."""
        claims = self.claims_by_vm[vm]
        result = await claims.claim(
            organisation=HOUSE,
            key=key,
            request_id=request,
            body_digest="b",
            deadline_seconds=60.0,
        )
        if isinstance(result, claims_module.Taken):
            self.check_truth(key, result)
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

    def check_truth(self, key, taken):
        assert self.asked_key_by_request[taken.request_id] == key
        if taken.state is claim_module.ClaimState.ENDED:
            assert self.ended_by_request[taken.request_id] is taken.outcome
        else:
            assert taken.state is claim_module.ClaimState.CLAIMED

    def finish(self, held, reply):
        if held in self.held:
            self.held.remove(held)
        if not held.go_on.done():
            held.go_on.set_result(reply)
        self.run()
        for task in self.tasks:
            if task.done() and not task.cancelled() and task.exception():
                raise task.exception()

    def go_on(self, *, vm, until=lambda held: False):
        """Let one entry VM go on until what it waits in is `until`."""
        while waiting := [held for held in self.held if held.vm == vm]:
            held = waiting[0]
            if until(held):
                return
            reply = self.run(held.apply()) if held.apply else True
            self.finish(held, reply)

    def pick(self, data, *, calls, vm=None):
        chosen = [
            held
            for held in self.held
            if calls == bool(held.apply) and vm in (None, held.vm)
        ]
        return data.draw(strategies.sampled_from(chosen)) if chosen else None

    @stateful.rule(data=strategies.data(), action=_ANY_ACTION)
    def act(self, data, action):
        """Take one step; a single rule keeps all kinds in each run."""
        getattr(self, action)(data)

    def arrive(self, data):
        self.serve(vm=data.draw(_ANY_VM), key=data.draw(_ANY_KEY))

    def serve(self, *, vm, key):
        self.numbers += 1
        request = types.RequestId(f"r{self.numbers}")
        self.asked_key_by_request[request] = key
        task = self.loop.create_task(self.ingress(vm, key, request))
        task.vm = vm
        self.tasks.append(task)
        self.run()

    def answer_calls(self, data):
        vm = data.draw(_ANY_VM)
        for _ in range(data.draw(strategies.integers(1, 6))):
            held = self.pick(data, calls=True, vm=vm)
            if held is not None:
                self.finish(held, self.run(held.apply()))

    def resume_ingress(self, data):
        held = self.pick(data, calls=False)
        if held is not None:
            self.finish(held, True)

    def fail_to_connect(self, data):
        held = self.pick(data, calls=False)
        if held is not None:
            self.finish(held, False)

    def lose_reply(self, data):
        held = self.pick(data, calls=True)
        if held is None or not held.writes:
            return
        applied = data.draw(strategies.sampled_from(["now", "later", "never"]))
        if applied == "now":
            self.run(held.apply())
        elif applied == "later":
            self.late.append(held.apply)
        self.finish(held, _LOST)

    def fail_call(self, data):
        held = self.pick(data, calls=True)
        if held is not None:
            self.finish(held, _DOWN)

    def apply_late(self, data):
        if self.late:
            chosen = data.draw(strategies.sampled_from(self.late))
            self.late.remove(chosen)
            self.run(chosen())

    def caller_leaves(self, data):
        waiting = [task for task in self.tasks if not task.done()]
        if waiting:
            data.draw(strategies.sampled_from(waiting)).cancel()
            self.run()

    def kill(self, data):
        """End a process without a last word; its calls may still arrive."""
        vm = data.draw(_ANY_VM)
        self.killed = True
        self.way_by_vm[vm].alive = False
        self.dead.extend(task for task in self.tasks if task.vm == vm)
        self.tasks = [task for task in self.tasks if task.vm != vm]
        lost = [held for held in self.held if held.vm == vm]
        self.late.extend(held.apply for held in lost if held.writes)
        self.held[:] = [held for held in self.held if held.vm != vm]
        self.boot(vm)

    def advance(self, data):
        seconds = data.draw(strategies.sampled_from(_JUMPS_SECONDS))
        # Not proved: an ingress frozen for half the retention time between
        # its last check and its write, and a call under way for as long.
        if seconds > 9000.0:
            if any(held.checked for held in self.held):
                return
            self.late.clear()
        self.clock.advance(seconds)
        self.run()

    def teardown(self):
        """Without a kill, a key that never ran is usable in the end."""
        try:
            if self.checks_usable and not self.killed:
                self.finish_all()
                self.check_usable_keys()
        finally:
            self.end_loop()

    def end_loop(self):
        for way in self.way_by_vm.values():
            way.alive = False
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.run()
        self.loop.close()

    def finish_all(self):
        for _ in range(400):
            if not self.held:
                self.clock.advance(10.0)
                self.run()
                if not self.held:
                    return
            held = self.held[0]
            reply = self.run(held.apply()) if held.apply else False
            self.finish(held, reply)
        raise AssertionError("claims never come to rest")

    def check_usable_keys(self):
        unused = [key for key in KEYS if not self.sent_by_key[key]]
        for key in unused:
            self.serve(vm=0, key=key)
            while not self.tasks[-1].done():
                held = self.held[0]
                reply = self.run(held.apply()) if held.apply else True
                self.finish(held, reply)
            assert self.sent_by_key[key], f"key {key} is held by nobody"


class _TakeoverByTimeout(claims_module.Claims):
    """Naive: takes a claim over when it has not ended for a minute."""

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
    """Naive: reads the key and then writes it without a comparison."""

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
    """A spill warning goes out twice, or a caller is told an untruth.

    Entry VMs are frozen at any step, killed, retried at; replies of the
    store are lost, writes arrive late, and the store goes away.
    """
    _run(claims_module.Claims)


@contextlib.contextmanager
def _torn_down(machine):
    try:
        yield
    finally:
        machine.teardown()


def _freeze_before_sending(machine):
    """Freeze the first ingress right before it sends, for a minute."""
    machine.serve(vm=0, key=KEYS[0])
    machine.go_on(vm=0, until=lambda held: held.checked)
    machine.clock.advance(61.0)
    machine.serve(vm=1, key=KEYS[0])
    machine.go_on(vm=1)
    machine.go_on(vm=0)


def _ask_at_two_at_once(machine):
    """Bring both ingresses to their write before either is applied."""
    for vm in (0, 1):
        machine.serve(vm=vm, key=KEYS[0])
        machine.go_on(vm=vm, until=_is_transaction)
    machine.go_on(vm=0)
    machine.go_on(vm=1)


def _is_transaction(held):
    return held.apply is not None and held.apply.func.__name__ == "transact"


@pytest.mark.parametrize(
    ("naive", "story"),
    [
        (_TakeoverByTimeout, _freeze_before_sending),
        (_CheckThenPut, _ask_at_two_at_once),
    ],
)
def test_the_oracle_catches_a_naive_version(naive, story):
    """A caller asks with one key at two entry VMs, and both send.

    Either the second takes the claim of a frozen first for abandoned, or
    both look before either has written. The claims as they are send once.
    """
    machine = _machine(naive, checks_usable=False)()
    with (
        _torn_down(machine),
        pytest.raises(AssertionError, match="ran twice"),
    ):
        story(machine)
    machine = _machine(claims_module.Claims, checks_usable=False)()
    with _torn_down(machine):
        story(machine)
        assert len(machine.sent_by_key[KEYS[0]]) == 1
