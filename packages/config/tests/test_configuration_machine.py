"""Concurrent changes of profiles while the store loses or delays replies.

Each store call of an operator waits until the state machine releases it, with
or without a fault. The oracle is the sequence of heads in the store: a change
may modify an entry only from the value that its operator edited. A store in
which the last writer wins fails the same oracle.
"""

import asyncio
import contextlib
import dataclasses
import enum
import random

import pytest
from hypothesis import Phase, settings, stateful
from hypothesis import strategies as st

from lagoonrun_config import (
    change_outcomes,
    configuration_store,
    draft,
    follower,
    head,
    model,
    rebase,
    snapshot,
)
from lagoonrun_platform import memory_store, store

_OPERATORS = ("leila", "tevita", "mere")
_PROFILES = ("lookup", "digest")
_SPINS = 12
_MAX_CALLS = 40


class Fault(enum.Enum):
    """Fault of one store call."""

    NONE = "none"
    LOST_REPLY = "lost-reply"
    LOST_REQUEST = "lost-request"
    LATE = "late"
    OUTAGE = "outage"


_LOSSES = (Fault.LATE, Fault.LOST_REPLY, Fault.LOST_REQUEST)


class SteppedStore:
    """Store whose calls wait for `step`."""

    def __init__(self, memory):
        self._memory = memory
        self.waiting = None
        self.waits_for_swap = False
        self.late_writes = []

    async def transact(self, **call):
        """Run a transaction once it is released."""
        puts = call.get("puts", ())
        is_swap = any(put.key == head.HEAD_KEY for put in puts)
        fault = await self._wait_for_step(is_swap=is_swap)
        if fault is Fault.OUTAGE:
            return store.Unreachable(detail="outage")
        if fault is Fault.LATE:
            self.late_writes.append(call)
        if fault in (Fault.LOST_REQUEST, Fault.LATE):
            return store.Unknown(detail=fault.value)
        result = await self._memory.transact(**call)
        if fault is Fault.LOST_REPLY:
            return store.Unknown(detail=fault.value)
        return result

    async def list_prefix(self, prefix, *, keys_only=False):
        """List keys once it is released."""
        if await self._wait_for_step() is not Fault.NONE:
            return store.Unreachable(detail="outage")
        return await self._memory.list_prefix(prefix, keys_only=keys_only)

    def step(self, fault):
        """Release the waiting call with a fault."""
        waiting, self.waiting = self.waiting, None
        self.waits_for_swap = False
        waiting.set_result(fault)

    async def _wait_for_step(self, *, is_swap=False):
        self.waits_for_swap = is_swap
        self.waiting = asyncio.get_running_loop().create_future()
        return await self.waiting


class NaiveStore:
    """Configuration store in which the last writer wins."""

    def __init__(self, *, store, rng, first_delay_seconds):
        del rng, first_delay_seconds
        self._access = configuration_store.head_access.HeadAccess(store=store)
        self._store = store

    async def apply(self, wanted, *, base, change_id, operator):
        """Overwrite the configuration in force with the draft."""
        del base
        read = await self._access.read_head()
        if isinstance(read, store.Unreachable):
            return change_outcomes.Unavailable(detail=read.detail)
        encoded = snapshot.encode_snapshot(wanted)
        change = head.new_change(
            revision=read.head.revision + 1,
            change_id=change_id,
            operator=operator,
            names=(),
            digest=encoded.digest,
        )
        value = head.encode_head(read.head.with_change(change))
        written = await self._store.transact(
            comparisons=(),
            puts=[
                store.Put(key=change.snapshot_key, value=encoded.content),
                store.Put(key=head.HEAD_KEY, value=value),
            ],
        )
        if isinstance(written, store.Committed):
            return change_outcomes.Accepted(revision=change.revision)
        return change_outcomes.Unavailable(detail="not confirmed")


@dataclasses.dataclass(kw_only=True)
class Running:
    """A change that is running or has ended."""

    change_id: str
    base: int
    before: draft.Draft
    wanted: draft.Draft
    task: asyncio.Task
    settling: bool = False
    outcome: object = None


class View:
    """Store of the follower; its reads are stale as the machine chooses."""

    def __init__(self, memory):
        self._memory = memory
        self.shown = None

    async def get(self, key):
        """Read the store at the chosen revision."""
        self._memory.stale_revision = self.shown
        try:
            return await self._memory.get(key)
        finally:
            self._memory.stale_revision = None

    async def watch(self, key, **options):
        """Fail at once, so that the follower only polls."""
        del key, options
        yield store.Unreachable(detail="no watch here")


class Peers:
    """Peers of the follower, which send no announcements."""

    def __init__(self):
        self.queue = asyncio.Queue()

    def announcements(self):
        """Return the queue of announcements."""
        return self.queue

    def announce(self, **values):
        """Do nothing."""
        del values

    def is_watcher(self):
        """Return False: another entry VM watches."""
        return False


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Three operators, two profiles, one follower and all faults."""

    make_store = configuration_store.ConfigurationStore

    def __init__(self):
        super().__init__()
        self._loop = asyncio.new_event_loop()
        self._memory = memory_store.MemoryStore()
        self._stores = {name: SteppedStore(self._memory) for name in _OPERATORS}
        self._running = {}
        self._ended = []
        self._heads = [head.Head()]
        self._contents = {0: draft.EMPTY_DRAFT}
        self._revision_by_change = {}
        self._numbers = iter(range(1000))
        self._followed = 0
        self._sleeping = []
        self._view = View(self._memory)
        self._follower = self._run(self._start_follower())
        self._spin()

    async def _start_follower(self):
        peers = Peers()
        made = follower.ConfigurationFollower(
            store=self._view,
            peers=peers,
            watchers=peers,
            rng=random.Random(1),
            sleep=self._sleep,
        )
        await made.start()
        return made

    async def _sleep(self, seconds):
        del seconds
        released = asyncio.get_running_loop().create_future()
        self._sleeping.append(released)
        await released

    def _run(self, coroutine):
        return self._loop.run_until_complete(coroutine)

    def _spin(self):
        async def spin():
            for _ in range(_SPINS):
                await asyncio.sleep(0)

        self._run(spin())
        self._check_new_head()
        self._collect()

    def _step(self, name, fault):
        if self._stores[name].waiting is not None:
            self._stores[name].step(fault)
            self._spin()

    def _step_all(self, name, fault):
        for _ in range(_MAX_CALLS):
            self._step(name, fault)

    def _configurations(self, name):
        return type(self).make_store(
            store=self._stores[name],
            rng=random.Random(1),
            first_delay_seconds=0.0,
        )

    @stateful.rule(
        name=st.sampled_from(_OPERATORS),
        profile=st.sampled_from(_PROFILES),
        seconds=st.integers(1, 3),
        age=st.integers(0, 5),
    )
    def begin_change(self, name, profile, seconds, age):
        """Start a change of one profile from a recent revision."""
        if name in self._running:
            return
        base = max(0, self._heads[-1].revision - age)
        before = self._contents[base]
        entry = model.Profile(
            name=profile, tier=1, target_seconds=seconds, limit_seconds=9
        )
        wanted = dataclasses.replace(
            before,
            profiles_by_name={**before.profiles_by_name, profile: entry},
        )
        change_id = f"c{next(self._numbers)}"
        applying = self._configurations(name).apply(
            wanted, base=base, change_id=change_id, operator=name
        )
        self._running[name] = Running(
            change_id=change_id,
            base=base,
            before=before,
            wanted=wanted,
            task=self._loop.create_task(applying),
        )
        self._spin()

    @stateful.rule(
        name=st.sampled_from(_OPERATORS),
        faults=st.lists(st.sampled_from(Fault), min_size=1, max_size=4),
    )
    def step(self, name, faults):
        """Release some store calls of one operator, with faults."""
        for fault in faults:
            self._step(name, fault)

    @stateful.rule(name=st.sampled_from(_OPERATORS))
    def finish(self, name):
        """Release all store calls of one operator without faults."""
        self._step_all(name, Fault.NONE)

    @stateful.rule(
        name=st.sampled_from(_OPERATORS),
        fault=st.sampled_from(Fault),
        after=st.sampled_from([None, Fault.NONE, Fault.OUTAGE]),
    )
    def swap(self, name, fault, after):
        """Release calls of one operator up to its head write; fail that one."""
        for _ in range(_MAX_CALLS):
            if self._stores[name].waits_for_swap:
                break
            self._step(name, Fault.NONE)
        self._step(name, fault)
        if after is not None:
            self._step_all(name, after)

    @stateful.rule(
        name=st.sampled_from(_OPERATORS),
        profile=st.sampled_from(_PROFILES),
        seconds=st.integers(1, 3),
        fault=st.sampled_from(_LOSSES),
    )
    def lose_change(self, name, profile, seconds, fault):
        """Lose the head write of a change, followed by an outage."""
        self.begin_change(name=name, profile=profile, seconds=seconds, age=0)
        self.swap(name=name, fault=fault, after=Fault.OUTAGE)

    @stateful.rule(name=st.sampled_from(_OPERATORS))
    def deliver_late_write(self, name):
        """Deliver a write whose caller has given up."""
        late = self._stores[name].late_writes
        if late:
            self._run(self._memory.transact(**late.pop(0)))
            self._spin()

    @stateful.rule(
        name=st.sampled_from(_OPERATORS),
        pick=st.integers(0, 9),
        fault=st.sampled_from(Fault),
    )
    def settle(self, name, pick, fault):
        """Settle a change whose outcome was unknown."""
        unknown = [
            one
            for one in self._ended
            if isinstance(one.outcome, change_outcomes.Unknown)
        ]
        if name in self._running or not unknown:
            return
        change = unknown[pick % len(unknown)]
        settling = self._configurations(name).settle(
            change.change_id, base=change.base
        )
        self._running[name] = dataclasses.replace(
            change, task=self._loop.create_task(settling), settling=True
        )
        self._spin()
        self.swap(name=name, fault=fault, after=Fault.NONE)

    @stateful.rule(ages=st.lists(st.integers(0, 6), min_size=2, max_size=4))
    def follower_reads(self, ages):
        """Let the follower poll a store that lags by some revisions."""
        for age in (0, *ages):
            self._view.shown = max(1, self._memory.revision - age)
            sleeping, self._sleeping = self._sleeping, []
            for released in sleeping:
                if not released.done():
                    released.set_result(None)
            self._spin()

    @stateful.invariant()
    def follower_never_goes_back(self):
        """Check that the revision in force was accepted and never decreases."""
        in_force = self._follower.in_force
        if in_force is None:
            return
        configuration = in_force.configuration
        assert configuration.revision >= self._followed
        self._followed = configuration.revision
        accepted = self._contents[configuration.revision]
        assert draft.draft_of(configuration) == accepted

    def _check_new_head(self):
        """Check a new head against the previous one."""
        item = self._run(self._memory.get(head.HEAD_KEY)).found
        if item is None:
            return
        now = head.decode_head(item.value)
        last = self._heads[-1]
        if now.revision == last.revision:
            assert now.tail == last.tail, "an accepted change was replaced"
            return
        assert now.revision == last.revision + 1
        kept = last.tail[len(last.tail) + 1 - len(now.tail) :]
        assert now.tail[:-1] == kept, "an accepted change was lost"
        change = now.tail[-1]
        assert change.change_id not in self._revision_by_change, "twice"
        self._revision_by_change[change.change_id] = now.revision
        content = self._run(self._read(change))
        self._check_no_lost_update(change, content)
        self._contents[now.revision] = content
        self._heads.append(now)

    async def _read(self, change):
        item = await self._memory.get(change.snapshot_key)
        assert item.found is not None, "the head references a deleted snapshot"
        return snapshot.decode_snapshot(
            snapshot.Snapshot(digest=change.digest, content=item.found.value)
        )

    def _check_no_lost_update(self, change, content):
        request = self._request(change.change_id)
        previous = self._contents[change.revision - 1].entries_by_name()
        started_from = request.before.entries_by_name()
        wanted = request.wanted.entries_by_name()
        intended = set(rebase.changed_names(request.before, request.wanted))
        changed = rebase.changed_names(
            self._contents[change.revision - 1], content
        )
        assert set(changed) <= intended, (
            "the change of another operator was reverted"
        )
        for name in changed:
            assert previous.get(name) == started_from.get(name), (
                "a change was overwritten silently"
            )
            assert content.entries_by_name()[name] == wanted[name]

    def _request(self, change_id):
        everything = [*self._running.values(), *self._ended]
        return next(one for one in everything if one.change_id == change_id)

    def _collect(self):
        for name, running in list(self._running.items()):
            if not running.task.done():
                continue
            del self._running[name]
            running.outcome = running.task.result()
            self._ended.append(running)
            self._check_outcome(running)

    def _accepted_revision(self, running):
        return self._revision_by_change.get(running.change_id)

    def _check_outcome(self, running):
        """Check the outcome that an operator received."""
        revision = self._accepted_revision(running)
        outcome = running.outcome
        if isinstance(outcome, change_outcomes.Unknown):
            return
        if isinstance(outcome, change_outcomes.Accepted):
            intended = rebase.changed_names(running.before, running.wanted)
            in_force = self._contents[outcome.revision].entries_by_name()
            wanted = running.wanted.entries_by_name()
            assert revision in (outcome.revision, None)
            for name in intended:
                assert in_force[name] == wanted[name]
            return
        assert revision is None, (
            f"outcome {outcome}, but the change is in force"
        )

    def teardown(self):
        """Deliver all late writes and check all outcomes again."""
        try:
            for one in self._stores.values():
                while one.late_writes:
                    self._run(self._memory.transact(**one.late_writes.pop(0)))
                    self._spin()
            for running in self._ended:
                self._check_outcome(running)
        finally:
            self._run(self._close())
            self._loop.close()

    async def _close(self):
        for running in self._running.values():
            running.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await running.task
        await self._follower.close()


class NaiveMachine(ConfigurationMachine):
    """The same machine with a store in which the last writer wins."""

    make_store = NaiveStore

    @stateful.rule()
    def settle(self):
        """Do nothing: the naive store returns no unknown outcomes."""


_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=120,
    stateful_step_count=40,
    # No shrinking, since it takes minutes.
    phases=[Phase.generate],
)


# The examples that hypothesis generates depend on the modules that a test run
# has loaded, so the search for a known fault uses more of them.
_THOROUGH_SETTINGS = settings(_SETTINGS, max_examples=1000)


@pytest.fixture(autouse=True)
def short_tail(monkeypatch):
    """Shorten the tail, so that changes leave it within one run."""
    monkeypatch.setattr(head, "TAIL_LENGTH", 4)


def test_accepted_changes_survive_races_and_faults():
    """Operators change one or two profiles concurrently, with all faults.

    An accepted change must not be overwritten by another operator's, and the
    reported outcome of a change must stay true when late writes arrive.
    """
    stateful.run_state_machine_as_test(ConfigurationMachine, settings=_SETTINGS)


def test_last_writer_wins_fails_the_same_oracle():
    """The oracle finds a store that loses an accepted change.

    Two operators edit concurrently, and the later draft overwrites the whole
    content, although the first change was accepted.
    """
    with pytest.raises((AssertionError, ExceptionGroup)):
        stateful.run_state_machine_as_test(NaiveMachine, settings=_SETTINGS)


def test_follower_of_any_head_fails_the_same_oracle(monkeypatch):
    """The oracle finds a follower that reverts to an old head.

    A lagging store returns the old head.
    """
    monkeypatch.setattr(
        follower.ConfigurationFollower, "_is_newer", lambda *_: True
    )
    with pytest.raises((AssertionError, ExceptionGroup)):
        stateful.run_state_machine_as_test(
            ConfigurationMachine, settings=_THOROUGH_SETTINGS
        )
