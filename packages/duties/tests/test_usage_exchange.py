"""Collection of counts from all entry VMs at the one that reports them."""

import pytest

from lagoonrun_core import types
from lagoonrun_duties import usage_exchange
from lagoonrun_protocol import router_messages

WINDOW = 40


class _Fleet:
    """Two failure domains of three entry VMs; the first of each is the relay."""

    def __init__(self):
        self.now = 0.0
        self.window = WINDOW
        self.by_id = {}
        self.lost = set()
        for domain in ("north", "south"):
            for number in (1, 2, 3):
                self.start(domain, number)

    def start(self, domain, number):
        name = types.EntryVmId(f"{domain}-{number}")
        self.by_id[name] = usage_exchange.UsageExchange(
            entry_vm=name,
            domain=domain,
            current_window=lambda: self.window,
            send=self.send,
        )
        return self.by_id[name]

    def send(self, news, to):
        if to not in self.lost:
            self.by_id[to].receive_news(news)

    def round(self, seconds=0.5, *, start=1):
        """Have all VMs send their state, and the relays name the holder."""
        self.now += seconds
        for name, one in self.by_id.items():
            domain = name.partition("-")[0]
            state = router_messages.RouterState(
                entry_vm=name,
                domain=domain,
                start=start,
                sequence=1,
                port=1,
                revision=1,
                usage=one.pending_rows(f"{domain}-1", now=self.now),
                holds_duties=one.is_holder,
            )
            for number in (1, 2):
                receiver = self.by_id[f"{domain}-{number}"]
                if receiver is not one:
                    receiver.receive_state(state, now=self.now)
        for domain, other in (("north", "south"), ("south", "north")):
            neighbours = [one for one in self.by_id if one.startswith(domain)]
            holder = self.by_id[f"{domain}-1"].holder_in_domain(
                neighbours, now=self.now
            )
            self.by_id[f"{other}-1"].record_remote_holder(
                domain, holder, now=self.now
            )
        for name, one in self.by_id.items():
            one.tick(now=self.now, is_relay=name.endswith("-1"))


@pytest.fixture
def fleet():
    return _Fleet()


def count_all(fleet):
    for one in fleet.by_id.values():
        one.record_started("house")


def test_holder_knows_all_counts_of_all_domains(fleet):
    holder = fleet.by_id["north-1"]
    holder.is_holder = True
    count_all(fleet)
    for _ in range(3):
        fleet.round()
    assert holder.counts(WINDOW) == {"house": 6}


def test_new_holder_is_sent_everything_again(fleet):
    """Guards against a report that lacks a failure domain after a planned stop.

    The relay of the domain had sent its counts to the previous holder, and sent
    the next one only the increments.
    """
    before, after = fleet.by_id["north-1"], fleet.by_id["south-2"]
    before.is_holder = True
    count_all(fleet)
    for _ in range(4):
        fleet.round()
    before.is_holder = False
    after.is_holder = True
    for _ in range(8):
        fleet.round()
    assert after.counts(WINDOW) == {"house": 6}


def test_lost_message_to_the_holder_is_repeated(fleet):
    holder = fleet.by_id["north-1"]
    holder.is_holder = True
    count_all(fleet)
    fleet.lost = {"north-1"}
    fleet.round()
    fleet.lost = set()
    for _ in range(3):
        fleet.round()
    assert holder.counts(WINDOW) == {"house": 6}


def test_lost_holder_is_forgotten_after_seconds(fleet):
    """Guards against duties that nobody performs any more.

    Two domains keep reporting to each other a holder that is long gone.
    """
    fleet.by_id["north-1"].is_holder = True
    for _ in range(4):
        fleet.round()
    assert fleet.by_id["south-1"].holder(now=fleet.now) == "north-1"
    fleet.by_id["north-1"].is_holder = False
    for _ in range(5):
        fleet.round()
    for one in fleet.by_id.values():
        assert one.holder(now=fleet.now) == types.NO_ENTRY_VM


def test_nothing_is_sent_more_often_than_twice_a_second(fleet):
    one = fleet.by_id["north-3"]
    sends = 0
    for step in range(100):
        one.record_started("house")
        sends += bool(one.pending_rows("north-1", now=step * 0.05).windows)
    assert sends <= 13


def test_ended_entry_vms_are_forgotten(fleet):
    """Guards against memory that grows with each restart of a neighbour."""
    relay = fleet.by_id["north-1"]
    for start in range(50):
        fleet.window += 1
        count_all(fleet)
        fleet.round(start=start)
    known = relay._neighbours._counts_by_source
    assert len(known) <= 2 * 8
