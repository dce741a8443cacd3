"""Who has a duty: one order, silent ones passed over, nobody trusted for long."""

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
    """One entry VM's view of who has the duty."""

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

    def hear(self, other, now, **more):
        """Take in a message of another one."""
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
        """Return who has the duty by this view."""
        return self.roster.on_duty(now=now)


@pytest.fixture
def small():
    """Return the view of an entry VM that comes behind the large ones."""
    return Vm("vm-0")


def test_all_agree_on_the_large_ones_before_any_message():
    """A fleet starts: nobody has heard anybody yet."""
    views = {Vm(name).on_duty(0.0) for name in NAMES}
    assert len(views) == 1
    assert set(views.pop()) == {"vm-1", "vm-3"}


def test_silent_ones_are_passed_over_and_come_back(small):
    first, second = small.on_duty(0.0)
    small.hear(second, SILENT / 2)
    assert small.on_duty(SILENT)[0] == second
    third = small.on_duty(SILENT)[1]
    assert third not in (first, second)
    small.hear(first, SILENT + 0.1)
    assert small.on_duty(SILENT + 0.1) == (first, second)


def test_whoever_takes_a_place_has_time_to_be_heard():
    """The third in order has never told anything: nobody relied on it."""
    first, second, third, fourth, last = Vm("vm-0").roster.order_of(CORES)
    vm = Vm(last)
    assert vm.on_duty(0.0) == (first, second)
    assert vm.on_duty(SILENT) == (third, fourth)
    assert vm.on_duty(1.9 * SILENT) == (third, fourth)
    assert vm.on_duty(2.1 * SILENT) == (last,)


def test_stopping_one_is_passed_over_at_once(small):
    first, second = small.on_duty(0.0)
    small.hear(first, 0.1, stopping=True)
    assert small.on_duty(0.1)[0] == second


def test_stopping_entry_vm_takes_up_no_duty():
    first = Vm("vm-0").on_duty(0.0)[0]
    own = Vm(first)
    assert own.on_duty(0.0)[0] == first
    own.roster.stopping = True
    assert first not in own.on_duty(0.0)


def test_one_that_hears_nobody_relies_on_itself(small):
    """An entry VM is cut off from all others, which it knows by name."""
    now = 0.0
    while small.on_duty(now)[0] != "vm-0":
        now += SILENT
        assert now <= len(NAMES) * SILENT


def test_places_that_are_not_filled_bring_in_others():
    """The first two live, but the store turns them away.

    Up to four try at a time, and at once: each would need a second to find out
    that it is turned away as well. The rest would only ask in vain.
    """
    filled = set()

    def performs_task(member, *, since, first):
        del since, first
        return member in filled

    vm = Vm("vm-0", max_count=4, performs_task=performs_task)
    order = vm.roster.order_of(CORES)
    assert vm.on_duty(0.0) == order[:4]
    filled.add(order[0])
    assert vm.on_duty(0.0) == order[:4]
    filled.add(order[2])
    assert vm.on_duty(0.0) == order[:3]
    filled.add(order[1])
    assert vm.on_duty(0.0) == order[:2]


class Fleet(RuleBasedStateMachine):
    """Entry VMs that die, come back and are cut off from each other."""

    @initialize()
    def begin(self):
        """Start all."""
        self.now = 0.0
        self.views = {name: Vm(name) for name in NAMES}
        self.dead = set()
        self.cut = set()
        self.calm_since = 0.0

    @rule(name=st.sampled_from(NAMES))
    def die_or_return(self, name):
        """Kill one, or start it again."""
        self.dead ^= {name}
        self.views[name] = Vm(name)
        self.calm_since = self.now

    @rule(name=st.sampled_from(NAMES))
    def cut_or_heal(self, name):
        """Cut one off from all others, or heal the cut."""
        self.cut ^= {name}
        self.calm_since = self.now

    @rule(beats=st.integers(1, 40))
    def wait(self, beats):
        """Let those that have a duty by their own view tell the others."""
        for _ in range(beats):
            self.now += 0.4 * SILENT
            live = [one for one in NAMES if one not in self.dead]
            for name in live:
                if name in self.views[name].on_duty(self.now):
                    self.tell(name, live)

    def tell(self, name, live):
        """Have one tell all that it reaches."""
        for other in live:
            if other != name and not self.cut & {name, other}:
                self.views[other].hear(name, self.now)

    @invariant()
    def all_that_reach_each_other_agree_after_a_while(self):
        """After one silence for each that may have to be passed over."""
        if self.now - self.calm_since < (len(NAMES) + 2) * SILENT:
            return
        live = [n for n in NAMES if n not in self.dead and n not in self.cut]
        answers = {self.views[name].on_duty(self.now)[0] for name in live}
        order = Vm(NAMES[0]).roster.order_of(CORES)
        wanted = [name for name in order if name in live][:1]
        assert list(answers) == wanted


TestFleet = Fleet.TestCase
