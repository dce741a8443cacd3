"""Selection for a duty: one order for all, silent members passed over."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from lagoonrun_router import peer_table, roster, settings

NAMES = tuple(f"vm-{number}" for number in range(5))
CORES = {"vm-0": 0.5, "vm-1": 2.0, "vm-2": 0.5, "vm-3": 2.0, "vm-4": 0.5}
SILENT = roster.SILENT_SECONDS


def address_of(name):
    return settings.Address(host=f"10.0.0.{NAMES.index(name)}", port=1)


class Vm:
    """One entry VM's view of who is selected for the duty."""

    def __init__(self, name, **options):
        self.name = name
        self.table = peer_table.PeerTable(entry_vm=name, domain="north")
        for other in NAMES:
            self.table.add(
                other, address_of(other), "north", processor_cores=CORES[other]
            )
        self.roster = roster.Roster(
            duty="relay",
            **{"wanted_count": 2, **options},
            own=name,
            own_size=CORES[name],
            others=self.table,
        )
        self.sequence = 0

    def receive_from(self, other, now, **more):
        """Record a message of another entry VM."""
        self.sequence += 1
        self.table.record_message(
            other,
            address_of(other),
            start=1,
            sequence=self.sequence,
            now=now,
            domain="north",
            **more,
        )

    def on_duty(self, now):
        """Return who is selected by this view."""
        return self.roster.on_duty(now=now)


@pytest.fixture
def small_vm():
    """Return the view of an entry VM that is ordered after the large ones."""
    return Vm("vm-0")


def test_all_select_the_largest_before_any_message():
    """A fleet starts, and no messages have been received yet."""
    views = {Vm(name).on_duty(0.0) for name in NAMES}
    assert len(views) == 1
    assert set(views.pop()) == {"vm-1", "vm-3"}


def test_silent_members_are_passed_over_and_selected_again(small_vm):
    first, second = small_vm.on_duty(0.0)
    small_vm.receive_from(second, SILENT / 2)
    assert small_vm.on_duty(SILENT)[0] == second
    third = small_vm.on_duty(SILENT)[1]
    assert third not in (first, second)
    small_vm.receive_from(first, SILENT + 0.1)
    assert small_vm.on_duty(SILENT + 0.1) == (first, second)


def test_newly_selected_member_has_time_to_be_heard():
    """The third in the order was not selected so far, and has sent nothing."""
    first, second, third, fourth, last = Vm("vm-0").roster.order_of(CORES)
    vm = Vm(last)
    assert vm.on_duty(0.0) == (first, second)
    assert vm.on_duty(SILENT) == (third, fourth)
    assert vm.on_duty(1.9 * SILENT) == (third, fourth)
    assert vm.on_duty(2.1 * SILENT) == (last,)


def test_stopping_member_is_passed_over_at_once(small_vm):
    first, second = small_vm.on_duty(0.0)
    small_vm.receive_from(first, 0.1, stopping=True)
    assert small_vm.on_duty(0.1)[0] == second


def test_stopping_entry_vm_does_not_select_itself():
    first = Vm("vm-0").on_duty(0.0)[0]
    own = Vm(first)
    assert own.on_duty(0.0)[0] == first
    own.roster.stopping = True
    assert first not in own.on_duty(0.0)


def test_entry_vm_that_hears_nobody_selects_itself(small_vm):
    """An entry VM is cut off from all others but knows that they exist."""
    now = 0.0
    while small_vm.on_duty(now)[0] != "vm-0":
        now += SILENT
        assert now <= len(NAMES) * SILENT


def test_others_are_selected_while_the_first_do_not_perform():
    """The first two are alive, but the store rejects their requests.

    Then up to four are selected at once, because each needs a second to notice
    that it is rejected as well. The rest would only cause failing requests.
    """
    performing = set()

    def performs_task(member, *, since, first):
        del since, first
        return member in performing

    vm = Vm("vm-0", max_count=4, performs_task=performs_task)
    order = vm.roster.order_of(CORES)
    assert vm.on_duty(0.0) == order[:4]
    performing.add(order[0])
    assert vm.on_duty(0.0) == order[:4]
    performing.add(order[2])
    assert vm.on_duty(0.0) == order[:3]
    performing.add(order[1])
    assert vm.on_duty(0.0) == order[:2]


class Fleet(RuleBasedStateMachine):
    """Entry VMs that stop, restart and are cut off from each other."""

    @initialize()
    def begin(self):
        """Start all entry VMs."""
        self.now = 0.0
        self.views = {name: Vm(name) for name in NAMES}
        self.stopped_vms = set()
        self.cut_off = set()
        self.unchanged_since = 0.0

    @rule(name=st.sampled_from(NAMES))
    def stop_or_start(self, name):
        """Stop one, or start it again."""
        self.stopped_vms ^= {name}
        self.views[name] = Vm(name)
        self.unchanged_since = self.now

    @rule(name=st.sampled_from(NAMES))
    def cut_or_reconnect(self, name):
        """Cut one off from all others, or reconnect it."""
        self.cut_off ^= {name}
        self.unchanged_since = self.now

    @rule(messages=st.integers(1, 40))
    def wait(self, messages):
        """Let those that are selected by their own view send to the others."""
        for _ in range(messages):
            self.now += 0.4 * SILENT
            live = [one for one in NAMES if one not in self.stopped_vms]
            for name in live:
                if name in self.views[name].on_duty(self.now):
                    self.send(name, live)

    def send(self, name, live):
        """Send a message of one to all that it reaches."""
        for other in live:
            if other != name and not self.cut_off & {name, other}:
                self.views[other].receive_from(name, self.now)

    @invariant()
    def all_that_are_connected_agree_in_time(self):
        """Check after `SILENT_SECONDS` for each that may be passed over."""
        if self.now - self.unchanged_since < (len(NAMES) + 2) * SILENT:
            return
        live = [
            n
            for n in NAMES
            if n not in self.stopped_vms and n not in self.cut_off
        ]
        answers = {self.views[name].on_duty(self.now)[0] for name in live}
        order = Vm(NAMES[0]).roster.order_of(CORES)
        wanted = [name for name in order if name in live][:1]
        assert list(answers) == wanted


TestFleet = Fleet.TestCase
