"""Times at which refused callers return, and the capacity reserved for them."""

import collections
import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from lagoonrun_router import return_schedule
from lagoonrun_router.return_schedule import Arrival

NOW = 1000.0
RATE = 10_000.0


@pytest.fixture
def schedule():
    return return_schedule.ReturnSchedule()


def invite(schedule, digest, *, now=NOW, **changed):
    values = {
        "pool": "p",
        "tier": 1,
        "tokens": 500.0,
        "tokens_per_second": RATE,
        "after_seconds": 0.5,
        "within_seconds": 3.0,
    }
    return schedule.invite(digest, **{**values, **changed}, now=now)


def invitation(digest, *, due_at=NOW + 1, tokens=500.0, tier=1, pool="p"):
    return return_schedule.Invitation(
        digest=digest, pool=pool, tier=tier, tokens=tokens, due_at=due_at
    )


def test_invitations_of_each_tenth_of_a_second_fit_the_rate(schedule):
    """Guards against refused callers that return all at once."""
    tokens_by_time = collections.Counter()
    for number in range(40):
        one = invite(schedule, f"r-{number}", tokens=100.0 + 10 * number)
        tokens_by_time[round(one.due_at, 3)] += one.tokens
        assert NOW + 0.5 <= one.due_at <= NOW + 3.0
    assert max(tokens_by_time.values()) <= RATE / 10
    assert sum(tokens_by_time.values()) == 11_800
    # Requests of at most half a tenth waste less than half of each.
    assert max(tokens_by_time) <= NOW + 0.5 + 2 * 11_800 / RATE


def test_request_without_room_in_time_gets_the_last_tenth(schedule):
    """Guards against a Retry-After beyond the time of the caller."""
    due = [
        invite(
            schedule, f"r-{number}", tokens=1000.0, within_seconds=1.0
        ).due_at
        for number in range(20)
    ]
    assert due == sorted(due)
    assert due[-1] == due[10] == pytest.approx(NOW + 1.0)


@pytest.mark.parametrize("within", [-1.0, 0.0, 0.03, 0.2])
@pytest.mark.parametrize("rate", [0.0, -5.0, RATE])
def test_time_is_within_that_of_the_caller(schedule, within, rate):
    """Guards against times in the past, or after the caller has given up."""
    one = invite(
        schedule,
        "r",
        after_seconds=float("inf"),
        within_seconds=within,
        tokens_per_second=rate,
        now=NOW + 0.07,
    )
    assert NOW + 0.07 <= one.due_at <= NOW + 0.07 + max(0.0, within)


@pytest.mark.parametrize("tokens", [50.0, 400.0, 30_000.0])
def test_eighty_entry_vms_do_not_invite_more_than_the_drain_rate(tokens):
    """Guards against entry VMs that together promise capacity several times.

    Each promises an eightieth. What they invite within any second exceeds the
    drain rate by at most a quarter, also for prompts of 25 tenths of a part.
    """
    drain = 960_000.0
    rng = random.Random(7)
    tokens_by_tenth = collections.Counter()
    for vm in range(80):
        one_vm = return_schedule.ReturnSchedule()
        # What is drained in three seconds is refused within 0.3 s.
        arrivals = sorted(
            rng.uniform(0.0, 0.3) for _ in range(round(3 * drain / 80 / tokens))
        )
        for number, at in enumerate(arrivals):
            one = invite(
                one_vm,
                f"{vm}-{number}",
                now=NOW + at,
                tokens=tokens,
                tokens_per_second=drain / 80,
                within_seconds=10.0,
            )
            tokens_by_tenth[round((one.due_at - NOW) * 10)] += tokens
    for start in range(max(tokens_by_tenth) + 1):
        second = sum(tokens_by_tenth[start + part] for part in range(10))
        assert second <= 1.25 * drain


def test_large_prompts_of_many_entry_vms_are_spread(schedule):
    """Guards against entry VMs that all invite a large prompt at one time.

    Each prompt takes all that its entry VM may promise in three seconds.
    """
    due = [
        invite(
            return_schedule.ReturnSchedule(),
            f"r-{vm}",
            tokens=3.0 * RATE,
            after_seconds=0.0,
        ).due_at
        for vm in range(80)
    ]
    for second in range(3):
        count = sum(NOW + second <= one < NOW + second + 1 for one in due)
        assert 16 <= count <= 38


def test_higher_tier_is_not_delayed_by_promises_to_a_lower_one(schedule):
    """Guards against capacity promised to a lower tier first."""
    for number in range(10):
        invite(schedule, f"low-{number}", tier=2, tokens=1000.0)
    assert invite(schedule, "high", tier=1).due_at == pytest.approx(NOW + 0.5)
    late = invite(schedule, "low", tier=2, tokens=600.0)
    assert late.due_at == pytest.approx(NOW + 1.5)


def test_lower_tier_returns_after_promises_to_higher_ones(schedule):
    """Guards against capacity promised to a higher tier and a lower one."""
    for number in range(10):
        invite(schedule, f"high-{number}", tier=1, tokens=1000.0)
    late = invite(schedule, "low", tier=3, tokens=600.0)
    assert late.due_at == pytest.approx(NOW + 1.5)


def test_early_repetition_keeps_its_time(schedule):
    """Guards against callers that gain, or lose, by repeating a request."""
    first = invite(schedule, "r")
    assert schedule.arrival_of("r", now=NOW + 0.2) is Arrival.EARLY
    again = invite(schedule, "r", now=NOW + 0.2, after_seconds=0.0)
    assert again is first
    # It does not count twice in the promised rate either.
    assert invite(schedule, "s").due_at == first.due_at


def test_caller_refused_in_its_time_gets_a_later_one(schedule):
    """Guards against a Retry-After of zero when capacity is lost."""
    first = invite(schedule, "r")
    at = first.due_at + 0.1
    again = invite(schedule, "r", now=at, after_seconds=0.0)
    assert again.due_at >= at
    assert again.due_at > first.due_at + 0.05
    assert schedule.reserved_tokens("p", 1, now=at) == 0.0


def test_arrival_depends_on_the_time_of_the_invitation(schedule):
    """Guards against precedence outside of the promised time."""
    due = invite(schedule, "r").due_at
    for offset, expected in (
        (-0.06, Arrival.EARLY),
        (-0.04, Arrival.INVITED),
        (0.49, Arrival.INVITED),
        (0.51, Arrival.EXPIRED),
        (60.0, Arrival.NEW),
    ):
        assert schedule.arrival_of("r", now=due + offset) is expected
    assert schedule.arrival_of("s", now=due) is Arrival.NEW


def test_caller_in_time_redeems_once(schedule):
    """Guards against copies of a request that all take precedence."""
    due = invite(schedule, "r").due_at
    assert schedule.reserved_tokens("p", 1, now=due) == 500.0
    schedule.redeem("r", now=due)
    assert schedule.arrival_of("r", now=due) is Arrival.NEW
    assert schedule.reserved_tokens("p", 1, now=due) == 0.0
    schedule.redeem("r", now=due)
    assert schedule.reserved_tokens("p", 1, now=due) == 0.0


def test_early_caller_that_is_admitted_frees_its_reservation(schedule):
    """Guards against room that stays reserved for a request that is served.

    An early caller is admitted like a new one if there is room.
    """
    due = invite(schedule, "r").due_at
    schedule.redeem("r", now=due - 0.2)
    assert schedule.arrival_of("r", now=due) is Arrival.NEW
    assert schedule.reserved_tokens("p", 1, now=due) == 0.0
    assert schedule.redeemed_fraction(now=due + 1.0) == 1.0


def test_redeemed_fraction_does_not_wait_for_the_latest_invitation(schedule):
    """Guards against redeemed invitations that are counted as unused.

    The first invitation ends long after the others, which are no longer kept
    by then.
    """
    invite(schedule, "late", after_seconds=20.0, within_seconds=20.0)
    for number in range(40):
        digest = f"r-{number}"
        due = invite(schedule, digest).due_at
        schedule.redeem(digest, now=due)
    for number in range(1, 30):
        fraction = schedule.redeemed_fraction(now=NOW + number)
        # Adds an invitation, which drops those that are over.
        schedule.apply_invitations(
            [invitation(f"n-{number}", due_at=NOW + number)], now=NOW + number
        )
    assert fraction > 0.9


def test_caller_that_does_not_return_frees_its_tokens(schedule):
    """Guards against capacity reserved for callers that have given up."""
    due = invite(schedule, "r").due_at
    assert schedule.reserved_tokens("p", 1, now=due - 0.06) == 0.0
    assert schedule.reserved_tokens("p", 1, now=due - 0.04) == 500.0
    assert schedule.reserved_tokens("p", 1, now=due + 0.49) == 500.0
    assert schedule.reserved_tokens("p", 1, now=due + 0.51) == 0.0


def test_reserved_tokens_are_of_this_and_higher_tiers_of_the_pool(schedule):
    """Guards against a tier held back for callers of lower tiers."""
    for tier in (1, 2, 3):
        one = invitation(f"r-{tier}", tokens=10.0**tier, tier=tier)
        schedule.apply_invitations([one], now=NOW)
    schedule.apply_invitations([invitation("q", pool="q")], now=NOW)
    reserved = [
        schedule.reserved_tokens("p", tier, now=NOW + 1) for tier in range(1, 5)
    ]
    assert reserved == [10.0, 110.0, 1110.0, 1110.0]


def test_neighbour_recognises_and_ends_an_invitation():
    """Guards against a retry at another entry VM that is treated as new."""
    here, there, third = (return_schedule.ReturnSchedule() for _ in range(3))
    due = invite(here, "r").due_at
    sent = here.pop_own(now=NOW)
    there.apply_invitations(sent, now=NOW)
    third.apply_invitations(sent, now=NOW)
    assert there.arrival_of("r", now=due) is Arrival.INVITED
    there.redeem("r", now=due)
    sent = there.pop_own(now=due)
    assert [one.tokens for one in sent] == [0.0]
    for other in (here, third):
        other.apply_invitations(sent, now=due)
        assert other.arrival_of("r", now=due) is Arrival.NEW
        assert other.reserved_tokens("p", 1, now=due) == 0.0


@hypothesis.given(
    sent=st.permutations(range(4)), repeats=st.lists(st.integers(0, 3))
)
def test_order_and_repetition_of_messages_have_no_effect(sent, repeats):
    """Guards against datagrams that are reordered or duplicated."""
    messages = [
        invitation("r", due_at=NOW + 1),
        invitation("r", due_at=NOW + 1.01, tokens=0.0),
        invitation("r", due_at=NOW + 1.4, tokens=700.0),
        invitation("s", due_at=NOW + 1),
    ]
    schedule = return_schedule.ReturnSchedule()
    for number in [*sent, *repeats]:
        schedule.apply_invitations([messages[number]], now=NOW)
    assert schedule.arrival_of("r", now=NOW + 1.2) is Arrival.EARLY
    assert schedule.reserved_tokens("p", 1, now=NOW + 1.2) == 500.0
    assert schedule.arrival_of("r", now=NOW + 1.5) is Arrival.INVITED
    assert schedule.reserved_tokens("p", 1, now=NOW + 1.5) == 1200.0


def test_late_copy_does_not_bring_back_a_redeemed_invitation(schedule):
    """Guards against a duplicate that gives precedence for a second time."""
    one = invitation("r")
    schedule.apply_invitations([one], now=NOW)
    schedule.redeem("r", now=NOW + 1)
    schedule.apply_invitations([one], now=NOW + 1.1)
    assert schedule.arrival_of("r", now=NOW + 1.1) is Arrival.NEW
    assert schedule.reserved_tokens("p", 1, now=NOW + 1.1) == 0.0


def test_lost_message_leaves_the_caller_new_elsewhere(schedule):
    """Guards against entry VMs that depend on the delivery of invitations."""
    due = invite(schedule, "r").due_at
    other = return_schedule.ReturnSchedule()
    assert other.arrival_of("r", now=due) is Arrival.NEW
    other.redeem("r", now=due)
    assert invite(other, "r", now=due).due_at > due


@pytest.mark.parametrize(
    "changed",
    [
        {"due_at": NOW - 0.6},
        {"due_at": NOW + 3600},
        {"due_at": float("nan")},
        {"tokens": -1.0},
        {"tokens": float("inf")},
    ],
)
def test_implausible_invitation_is_ignored(schedule, changed):
    """Guards against corrupt or outdated reports that reserve capacity."""
    schedule.apply_invitations([invitation("r", **changed)], now=NOW)
    assert schedule.arrival_of("r", now=NOW) is Arrival.NEW
    assert schedule.reserved_tokens("p", 1, now=NOW) == 0.0
    assert schedule.pop_for_neighbours(now=NOW) == ()


def test_relays_do_not_send_an_invitation_to_each_other_forever():
    """Guards against control traffic that grows with each relayed message."""
    relays = [return_schedule.ReturnSchedule() for _ in range(2)]
    relays[0].apply_invitations([invitation("r")], now=NOW)
    sent = 0
    for _ in range(5):
        for relay, other in (relays, relays[::-1]):
            messages = relay.pop_for_neighbours(now=NOW)
            other.apply_invitations(messages, now=NOW)
            sent += len(messages)
    assert sent == 2


def test_burst_is_reported_in_messages_of_bounded_size(schedule):
    """Guards against datagrams that are too large to be sent."""
    for number in range(100):
        invite(schedule, f"r-{number}")
    own = [len(schedule.pop_own(now=NOW)) for _ in range(6)]
    assert own == [24, 24, 24, 24, 4, 0]
    relayed = [len(schedule.pop_for_neighbours(now=NOW)) for _ in range(4)]
    assert relayed == [48, 48, 4, 0]


def test_invitations_that_are_over_are_not_reported(schedule):
    """Guards against outdated reports after a pause of the process."""
    due = invite(schedule, "r").due_at
    assert schedule.pop_own(now=due + 1) == ()


def test_memory_is_bounded_and_drops_those_that_are_over_first(schedule):
    """Guards against a flood of refusals that uses up the memory.

    Invitations that are over give way to new ones; promised ones are kept.
    """
    over = [
        invitation(f"over-{number}", due_at=NOW + 0.001 * number)
        for number in range(100)
    ]
    kept = [
        invitation(f"kept-{number}", due_at=NOW + 10 + 0.001 * number)
        for number in range(3996)
    ]
    schedule.apply_invitations(kept, now=NOW)
    schedule.apply_invitations(over, now=NOW)
    later = NOW + 2
    assert schedule.arrival_of("over-0", now=later) is Arrival.EXPIRED
    new = [invitation(f"new-{number}", due_at=NOW + 5) for number in range(200)]
    schedule.apply_invitations(new, now=later)
    assert schedule.arrival_of("over-0", now=later) is Arrival.NEW
    assert all(
        schedule.arrival_of(one.digest, now=later) is Arrival.EARLY
        for one in [*kept, *new[:100]]
    )
    assert schedule.arrival_of("new-100", now=later) is Arrival.NEW
    # Not recorded, so not reported to the neighbours either.
    invite(schedule, "one-more", now=later)
    assert schedule.pop_own(now=later) == ()


def test_number_of_invitations_stays_bounded_in_a_long_overload(schedule):
    """Guards against a leak of entries that are over or replaced."""
    for number in range(30_000):
        now = NOW + 0.001 * number
        invite(schedule, f"r-{number}", now=now)
        schedule.reserved_tokens("p", 1, now=now)
    sizes = [
        len(schedule._by_digest),
        len(schedule._ends) / 2,
        len(schedule._due._upcoming) / 2,
        len(schedule._due._ending) / 2,
    ]
    assert max(sizes) <= return_schedule.MAX_INVITATIONS


DIGESTS = st.sampled_from([f"r-{number}" for number in range(6)])
TIERS = st.integers(1, 3)


class ScheduleBesideOracle(stateful.RuleBasedStateMachine):
    """Compares a schedule with a dictionary that is searched as a whole.

    Guards against sums and queues that drift from the invitations.
    """

    def __init__(self):
        super().__init__()
        self.schedule = return_schedule.ReturnSchedule()
        self.now = NOW
        self.known = {}

    @stateful.rule(seconds=st.floats(0.0, 1.0))
    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds

    @stateful.rule(
        digest=DIGESTS,
        tier=TIERS,
        after=st.floats(0, 3),
        within=st.floats(0, 3),
    )
    def invite(self, digest, tier, after, within):
        """Refuse a request."""
        before = self.known.get(digest)
        result = invite(
            self.schedule,
            digest,
            now=self.now,
            tier=tier,
            after_seconds=after,
            within_seconds=within,
        )
        if before and before.tokens and self.now < before.due_at - 0.05:
            assert result == before
        assert (
            result == before or self.now <= result.due_at <= self.now + within
        )
        self.known[digest] = result

    @stateful.rule(
        digest=DIGESTS,
        tier=TIERS,
        ahead=st.floats(-1, 4),
        tokens=st.sampled_from([0.0, 300.0]),
    )
    def apply(self, digest, tier, ahead, tokens):
        """Apply a neighbour's invitation."""
        one = invitation(
            digest, due_at=self.now + ahead, tokens=tokens, tier=tier
        )
        self.schedule.apply_invitations([one], now=self.now)
        if self.now > one.due_at + 0.5:
            return
        before = self.known.get(digest)
        if before is not None:
            difference = one.due_at - before.due_at
            redeems = abs(difference) <= 0.05 and not tokens and before.tokens
            if difference <= 0.05 and not redeems:
                return
        self.known[digest] = one

    @stateful.rule(digest=DIGESTS)
    def redeem(self, digest):
        """Admit a returning caller."""
        self.schedule.redeem(digest, now=self.now)
        if self._arrival(digest) in {Arrival.EARLY, Arrival.INVITED}:
            self.known[digest] = invitation(
                digest, due_at=self.known[digest].due_at, tokens=0.0
            )

    @stateful.invariant()
    def arrivals_agree(self):
        """Compare the arrivals of all requests."""
        for digest in self.known:
            assert self.schedule.arrival_of(
                digest, now=self.now
            ) is self._arrival(digest)

    @stateful.invariant()
    def reserved_tokens_agree(self):
        """Compare the sums with the invitations that are due."""
        for tier in (1, 2, 3):
            expected = sum(
                one.tokens
                for one in self.known.values()
                if one.tier <= tier
                and one.due_at - 0.05 <= self.now <= one.due_at + 0.5
            )
            assert self.schedule.reserved_tokens(
                "p", tier, now=self.now
            ) == pytest.approx(expected)

    def _arrival(self, digest):
        one = self.known.get(digest)
        if one is None or not one.tokens or self.now > one.due_at + 5.5:
            return Arrival.NEW
        if self.now < one.due_at - 0.05:
            return Arrival.EARLY
        if self.now <= one.due_at + 0.5:
            return Arrival.INVITED
        return Arrival.EXPIRED


TestScheduleBesideOracle = ScheduleBesideOracle.TestCase
