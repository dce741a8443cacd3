"""Fair shares of a pool for organisations, without network or clock."""

import dataclasses
import itertools
import math
import random
import time
import tracemalloc

import pytest

from lagoonrun_router import (
    demand_row,
    demand_rows,
    organisation_shares,
    own_demand,
)

KEY = demand_row.ShareKey(pool="p", tier=1)
COST = 1000.0


def equal_weights(organisation):
    return 1.0


@pytest.fixture
def shares():
    return organisation_shares.OrganisationShares()


def make_row(organisation, asked, *, organisations=1, key=KEY):
    return demand_row.DemandRow(
        key=key,
        organisation=organisation,
        organisations=organisations,
        asked=asked,
        admitted=0.0,
    )


def make_rows(asked_by_organisation, key=KEY):
    return [
        make_row(organisation, asked, key=key)
        for organisation, asked in asked_by_organisation.items()
    ]


def decide(
    shares,
    organisation,
    *,
    now,
    capacity,
    draw=0.5,
    cost=COST,
    weights=equal_weights,
    key=KEY,
):
    return shares.decide(
        key,
        organisation,
        cost=cost,
        capacity=capacity,
        weights=weights,
        draw=draw,
        now=now,
    )


def fractions(shares, organisations, *, now, capacity, weights=equal_weights):
    return {
        one: decide(
            shares, one, now=now, capacity=capacity, weights=weights
        ).fraction
        for one in organisations
    }


def send_steadily(shares, rate_by_organisation, *, start, seconds, cost=COST):
    """Record evenly spaced arrivals, in order; return the time of the end.

    The organisations do not send at the same moments.
    """
    arrivals = sorted(
        (start + (step + number * 0.618 % 1.0) / rate, organisation)
        for number, (organisation, rate) in enumerate(
            rate_by_organisation.items(), start=1
        )
        for step in range(int(rate * seconds))
    )
    for at, organisation in arrivals:
        shares.record_arrival(KEY, organisation, cost=cost, now=at)
    return start + seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class Delivery:
    """A report on its way to another entry VM."""

    at: float
    sender: int
    receiver: int
    rows: tuple[demand_row.DemandRow, ...]


class Fleet:
    """Entry VMs whose reports are lost and reordered, and random callers."""

    def __init__(self, *, entry_vms, seed):
        self._random = random.Random(seed)
        self._shares = [
            organisation_shares.OrganisationShares() for _ in range(entry_vms)
        ]
        self._deliveries = [[] for _ in self._shares]
        self.arrived = {}
        self.admitted = {}

    def run(self, rate_by_organisation, *, capacity, start, seconds):
        """Play Poisson arrivals at random entry VMs."""
        self.arrived = dict.fromkeys(rate_by_organisation, 0)
        self.admitted = dict.fromkeys(rate_by_organisation, 0)
        organisations = list(rate_by_organisation)
        rates = list(rate_by_organisation.values())
        now = start
        next_report = start
        while True:
            now += self._random.expovariate(sum(rates))
            if now >= start + seconds:
                return
            while next_report < now:
                self._report(next_report)
                next_report += 0.25
            (organisation,) = self._random.choices(organisations, rates)
            self._arrive(organisation, capacity, now)

    def _arrive(self, organisation, capacity, now):
        index = self._random.randrange(len(self._shares))
        self._deliver(index, now)
        shares = self._shares[index]
        shares.record_arrival(KEY, organisation, cost=COST, now=now)
        decision = decide(
            shares,
            organisation,
            now=now,
            capacity=capacity,
            draw=self._random.random(),
        )
        self.arrived[organisation] += 1
        if decision.admitted:
            shares.record_admission(KEY, organisation, cost=COST, now=now)
            self.admitted[organisation] += 1

    def _report(self, now):
        """Send reports, of which a fifth is lost and some overtake others."""
        for sender, shares in enumerate(self._shares):
            rows = shares.own_rows(now=now)
            for receiver in range(len(self._shares)):
                if receiver != sender and self._random.random() > 0.2:
                    self._deliveries[receiver].append(
                        Delivery(
                            at=now + self._random.uniform(0.001, 0.7),
                            sender=sender,
                            receiver=receiver,
                            rows=rows,
                        )
                    )

    def _deliver(self, receiver, now):
        """Apply the reports that have arrived, in the order of arrival."""
        waiting = self._deliveries[receiver]
        due = sorted(
            (one for one in waiting if one.at <= now), key=lambda one: one.at
        )
        self._deliveries[receiver] = [one for one in waiting if one.at > now]
        for one in due:
            self._shares[receiver].apply_report(
                f"vm-{one.sender}", one.rows, now=one.at
            )


# Patterns of load.


def assert_divided(fleet, *, capacity, seconds, large):
    """Check that the large organisations divide what the others leave.

    Requests of a small organisation cluster by chance to more than its share,
    so one in a hundred may be refused.

    The number of admitted requests is a sum of draws, whose variance is at most
    the number. Demand is measured with a time constant of one second, so the
    arrivals of half a second at each end count for another period.
    """
    small = [one for one in fleet.arrived if one not in large]
    by_small = sum(fleet.arrived[one] for one in small)
    assert sum(fleet.admitted[one] for one in small) >= 0.99 * by_small
    expected = (capacity * seconds - by_small) / len(large)
    variance = expected + by_small / seconds / len(large) ** 2
    for organisation in large:
        assert fleet.admitted[organisation] == pytest.approx(
            expected, abs=4 * math.sqrt(variance)
        )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_two_organisations_at_seven_times_their_usual(seed):
    """Guards against small organisations that are refused for two large ones."""
    rates = {f"org-{index}": 10.0 for index in range(22)}
    rates |= {"large-1": 70.0, "large-2": 70.0}
    fleet = Fleet(entry_vms=1, seed=seed)
    fleet.run(rates, capacity=300 * COST, start=0.0, seconds=4.0)
    fleet.run(rates, capacity=300 * COST, start=4.0, seconds=10.0)
    large = ("large-1", "large-2")
    assert_divided(fleet, capacity=300, seconds=10.0, large=large)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_of_24_organisations_at_7_5_times_its_usual(seed):
    """Guards against a burst of one organisation that limits the other 23."""
    rates = {f"org-{index}": 10.0 for index in range(23)}
    rates["large"] = 75.0
    fleet = Fleet(entry_vms=1, seed=seed)
    fleet.run(rates, capacity=275 * COST, start=0.0, seconds=4.0)
    fleet.run(rates, capacity=275 * COST, start=4.0, seconds=6.5)
    assert_divided(fleet, capacity=275, seconds=6.5, large=("large",))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_is_limited_within_a_second(seed):
    """Guards against a burst that uses the whole pool while it is measured."""
    usual = {f"org-{index}": 10.0 for index in range(24)}
    burst = {**usual, "org-0": 750.0}
    fleet = Fleet(entry_vms=1, seed=seed)
    fleet.run(usual, capacity=300 * COST, start=0.0, seconds=6.0)
    fleet.run(burst, capacity=300 * COST, start=6.0, seconds=1.0)
    fleet.run(burst, capacity=300 * COST, start=7.0, seconds=1.0)
    # After a second, 1 - 1/e of the burst is measured. The others leave 70.
    expected = 70 / (1 - 1 / math.e)
    assert fleet.admitted["org-0"] < expected + 4 * math.sqrt(expected)
    for index in range(1, 24):
        organisation = f"org-{index}"
        assert fleet.admitted[organisation] == fleet.arrived[organisation]


def test_nobody_is_limited_while_capacity_covers_the_demand(shares):
    """Guards against limits on a busy organisation in a pool with capacity."""
    rates = {"small": 1.0, "large": 50.0}
    now = send_steadily(shares, rates, start=0.0, seconds=5.0)
    decision = decide(shares, "large", now=now, capacity=60 * COST, draw=0.999)
    assert decision.admitted
    assert decision.fraction == 1.0
    assert decision.retry_seconds == 0.0
    assert math.isfinite(decision.fair_rate)


def test_unused_share_goes_to_others_at_once(shares):
    """Guards against capacity that idles because it is held for its owner."""
    shares.apply_report("vm-2", make_rows({"a": 100.0, "b": 100.0}), now=0.0)
    before = decide(shares, "a", now=0.0, capacity=100.0)
    assert before.fraction == pytest.approx(0.5)
    shares.apply_report("vm-2", make_rows({"a": 100.0, "b": 10.0}), now=0.1)
    after = decide(shares, "a", now=0.2, capacity=100.0)
    assert after.fair_rate == pytest.approx(90.0)
    assert after.fraction == pytest.approx(0.9)


def test_more_capacity_ends_the_limit_at_once(shares):
    """Guards against a limit that outlasts a shortage by the cached level."""
    shares.apply_report("vm-2", make_rows({"a": 100.0, "b": 100.0}), now=0.0)
    assert decide(shares, "a", now=0.0, capacity=100.0).fraction < 1.0
    assert decide(shares, "a", now=0.0, capacity=200.0).fraction == 1.0


def test_limit_ends_with_the_demand_and_does_not_return(shares):
    """Guards against a limit that lingers or flaps after a burst is over."""
    now = send_steadily(shares, {"a": 60.0, "b": 20.0}, start=0.0, seconds=6.0)
    capacity = 50 * COST
    limited = []
    for step in range(400):
        at = now + step / 100
        if step % 10 == 0:
            shares.record_arrival(KEY, "a", cost=COST, now=at)
            shares.record_arrival(KEY, "b", cost=COST, now=at)
        limited.append(decide(shares, "a", now=at, capacity=capacity).fraction)
    assert limited[0] < 1.0
    first_free = limited.index(1.0)
    # The measured 80 decays towards 20 with a time constant of one second.
    assert first_free / 100 <= math.log(60 / 30) + 0.2
    # While the measured demand is close to the capacity, the two requests of a
    # step may exceed it by themselves.
    assert min(limited[first_free:]) >= 1.0 - 2 * COST / capacity
    assert set(limited[first_free + 50 :]) == {1.0}


def test_steady_overload_has_a_steady_fraction(shares):
    """Guards against oscillation: what is admitted must not change the limit."""
    seen = []
    for step in range(1000):
        now = step / 100
        shares.record_arrival(KEY, "a", cost=COST, now=now)
        decision = decide(
            shares, "a", now=now, capacity=50 * COST, draw=step * 0.618 % 1.0
        )
        if decision.admitted:
            shares.record_admission(KEY, "a", cost=COST, now=now)
        if now > 6.0:
            seen.append(decision)
    assert min(one.fraction for one in seen) > 0.48
    assert max(one.fraction for one in seen) < 0.52
    admitted = sum(one.admitted for one in seen)
    assert admitted == pytest.approx(len(seen) / 2, rel=0.05)


def test_weights_divide_the_capacity(shares):
    """Guards against a higher organisation tier that gets an equal share."""
    shares.apply_report("vm-2", make_rows({"a": 300.0, "b": 300.0}), now=0.0)
    weights = {"a": 2.0, "b": 1.0}.__getitem__
    result = fractions(shares, "ab", now=0.0, capacity=300.0, weights=weights)
    assert result["a"] == pytest.approx(200 / 300)
    assert result["b"] == pytest.approx(100 / 300)


@pytest.mark.parametrize("weight", [0.0, -1.0, float("nan")])
def test_implausible_weight_is_raised_to_the_minimum(shares, weight):
    """Guards against a division by zero, or an organisation never served."""
    shares.apply_report("vm-2", make_rows({"a": 300.0, "b": 300.0}), now=0.0)
    weights = {"a": 1.0, "b": weight}.__getitem__
    result = fractions(shares, "ab", now=0.0, capacity=300.0, weights=weights)
    assert 0.0 < result["b"] < 0.02
    assert result["a"] > 0.98


def test_pools_and_tiers_are_shared_separately(shares):
    """Guards against a burst in one tier that limits another tier or pool."""
    now = send_steadily(shares, {"a": 100.0}, start=0.0, seconds=5.0)
    assert decide(shares, "a", now=now, capacity=10 * COST).fraction < 0.2
    for pool, tier in (("p", 2), ("q", 1)):
        key = demand_row.ShareKey(pool=pool, tier=tier)
        decision = decide(shares, "a", now=now, capacity=10 * COST, key=key)
        assert decision.fraction == 1.0


def test_request_of_a_rare_caller_is_not_limited_by_itself(shares):
    """Guards against a demand that consists of the request to be decided on.

    Its organisation asks 100 tokens a second, but right after its arrival the
    decayed rate is its whole prompt.
    """
    now = send_steadily(shares, {"large": 20.0}, start=0.0, seconds=6.0)
    shares.record_arrival(KEY, "rare", cost=8000.0, now=now)
    decision = decide(
        shares, "rare", now=now, capacity=10 * COST, cost=8000.0, draw=0.99
    )
    assert decision.admitted
    assert decision.asked == 0.0


def test_repeated_request_does_not_raise_the_demand(shares):
    """Guards against demand that grows with each request that is refused."""
    now = send_steadily(shares, {"a": 20.0}, start=0.0, seconds=5.0)
    before = shares.demand_of(KEY, now=now)
    for _ in range(100):
        shares.record_arrival(KEY, "a", cost=COST, now=now, repeated=True)
    assert shares.demand_of(KEY, now=now + 0.2) < before


def test_request_without_tokens_costs_one(shares):
    """Guards against fully cached prompts that are not counted at all."""
    for _ in range(10):
        shares.record_arrival(KEY, "a", cost=0.0, now=0.0)
    assert shares.demand_of(KEY, now=0.0) == pytest.approx(10.0)


def test_requests_without_an_organisation_count_as_public(shares):
    """Guards against unnamed requests that are taken for the rest of a list."""
    shares.record_arrival(KEY, "", cost=COST, now=0.0)
    (row,) = shares.own_rows(now=0.0)
    assert row.organisation == "public"
    assert row.organisations == 1


# Figures of a refusal.


def test_retry_time_is_that_in_which_the_share_serves_the_excess(shares):
    """Guards against callers that return before their share has capacity."""
    shares.apply_report("vm-2", make_rows({"a": 4000.0, "b": 2000.0}), now=0.0)
    at_4 = decide(shares, "a", now=0.0, capacity=2000.0, cost=10.0, draw=0.9)
    at_2 = decide(shares, "b", now=0.0, capacity=2000.0, cost=10.0, draw=0.9)
    assert at_4.fair_rate == at_2.fair_rate == pytest.approx(1000.0)
    assert at_4.retry_seconds == pytest.approx(3.0)
    assert at_2.retry_seconds == pytest.approx(1.0)
    long_prompt = decide(
        shares, "b", now=0.0, capacity=2000.0, cost=5000.0, draw=0.9
    )
    assert long_prompt.retry_seconds == pytest.approx(5.0)


def test_tier_without_capacity_has_a_bounded_retry_time(shares):
    """Guards against a division by zero, and a caller told to wait forever."""
    shares.apply_report("vm-2", make_rows({"a": 4000.0}), now=0.0)
    decision = decide(shares, "a", now=0.0, capacity=0.0, draw=0.0)
    assert not decision.admitted
    assert decision.fraction == 0.0
    assert decision.retry_seconds == organisation_shares.MAX_RETRY_SECONDS


# Reports of other entry VMs.


def test_demand_of_all_entry_vms_is_summed(shares):
    """Guards against a limit from the local view of an unevenly loaded VM."""
    shares.apply_report("vm-2", make_rows({"a": 300.0}), now=0.0)
    shares.apply_report("domain-2", make_rows({"a": 300.0, "b": 50.0}), now=0.0)
    decision = decide(shares, "a", now=0.1, capacity=350.0)
    assert decision.from_fleet
    assert decision.asked == pytest.approx(600.0)
    assert decision.fair_rate == pytest.approx(300.0)
    assert shares.demand_of(KEY, now=0.1) == pytest.approx(650.0)


def test_repeated_report_is_not_counted_twice(shares):
    """Guards against duplicated datagrams that double the demand."""
    for now in (0.0, 0.1, 0.2):
        shares.apply_report("vm-2", make_rows({"a": 300.0}), now=now)
    assert shares.demand_of(KEY, now=0.3) == pytest.approx(300.0)


def test_sum_of_the_fleet_counts_own_demand_once(shares):
    """Guards against own demand added to the relay's sum that contains it."""
    now = send_steadily(shares, {"a": 10.0}, start=0.0, seconds=5.0)
    own = shares.demand_of(KEY, now=now)
    shares.apply_report("vm-2", make_rows({"a": 300.0}), now=now)
    now += 0.2
    shares.apply_fleet_report(make_rows({"a": own, "b": 2 * own}), now=now)
    assert shares.demand_of(KEY, now=now) == pytest.approx(3 * own)
    assert decide(shares, "a", now=now, capacity=own).asked == own


def test_burst_newer_than_the_sum_of_the_fleet_counts(shares):
    """Guards against a burst that is free until the next report of a relay."""
    shares.apply_fleet_report(make_rows({"a": 10.0, "b": 10.0}), now=0.0)
    for _ in range(10):
        shares.record_arrival(KEY, "a", cost=COST, now=0.2)
    decision = decide(shares, "a", now=0.2, capacity=5 * COST)
    assert decision.asked == pytest.approx(9 * COST)
    assert decision.fraction < 0.6


def test_sum_of_the_fleet_replaces_reports_of_single_peers(shares):
    """Guards against reports counted beside the sum that contains them."""
    shares.apply_report("vm-2", make_rows({"a": 300.0}), now=0.0)
    shares.apply_fleet_report(make_rows({"a": 200.0}), now=0.1)
    assert shares.demand_of(KEY, now=0.1) == pytest.approx(200.0)
    assert shares.rows_with(("vm-2",), now=0.1) == ()


def test_expired_reports_are_ignored(shares):
    """Guards against limits by the demand of entry VMs that no longer run."""
    shares.apply_report("vm-2", make_rows({"a": 300.0}), now=0.0)
    just_before = organisation_shares.REPORT_SECONDS - 0.01
    assert decide(shares, "a", now=just_before, capacity=100.0).fraction < 1.0
    later = just_before + 0.11
    decision = decide(shares, "a", now=later, capacity=100.0)
    assert decision.fraction == 1.0
    assert not decision.from_fleet
    shares.apply_fleet_report(make_rows({"a": 300.0}), now=later)
    assert decide(shares, "a", now=later + 0.1, capacity=100.0).from_fleet
    later += organisation_shares.REPORT_SECONDS
    assert not decide(shares, "a", now=later, capacity=100.0).from_fleet


def test_forgotten_peer_is_ignored(shares):
    """Guards against counting a stopped entry VM and its callers' new one."""
    shares.apply_report("vm-2", make_rows({"a": 300.0}), now=0.0)
    shares.apply_report("vm-3", make_rows({"a": 100.0}), now=0.0)
    shares.forget_peer("vm-2")
    shares.forget_peer("unknown")
    assert shares.demand_of(KEY, now=0.1) == pytest.approx(100.0)


def test_relay_sums_its_neighbours_and_other_domains(shares):
    """Guards against sums with expired, unlisted or repeated reporters."""
    relay = shares
    relay.apply_report("vm-1", make_rows({"a": 1.0, "b": 2.0}), now=1.0)
    relay.apply_report("vm-2", make_rows({"a": 4.0}), now=1.0)
    relay.apply_report("vm-3", make_rows({"a": 8.0}), now=0.0)
    relay.apply_report("domain-2", make_rows({"a": 16.0, "c": 32.0}), now=1.0)
    neighbours = ("vm-1", "vm-2", "vm-3")
    domain = relay.rows_with(neighbours, now=2.0)
    assert {row.organisation: row.asked for row in domain} == {
        "a": 5.0,
        "b": 2.0,
    }
    fleet = relay.rows_with((*neighbours, "domain-2"), now=2.0)
    assert {row.organisation: row.asked for row in fleet} == {
        "a": 21.0,
        "b": 2.0,
        "c": 32.0,
    }


def test_organisation_listed_here_and_aggregated_there(shares):
    """Guards against an organisation admitted beyond its share by hiding.

    One entry VM lists it, at another it is within the aggregated rest.
    """
    others = {f"org-{index}": 50.0 for index in range(23)}
    shares.apply_report("vm-2", make_rows({**others, "hidden": 60.0}), now=0.0)
    rows = make_rows({**others, "org-23": 50.0})
    rows.append(make_row(demand_row.OTHERS, 40.0, organisations=1))
    shares.apply_report("vm-3", rows, now=0.0)
    decision = decide(shares, "hidden", now=0.1, capacity=1200.0)
    assert decision.asked == pytest.approx(100.0)
    assert shares.demand_of(KEY, now=0.1) == pytest.approx(
        23 * 100.0 + 50.0 + 100.0
    )
    assert decision.fraction == pytest.approx(
        decide(shares, "org-0", now=0.1, capacity=1200.0).fraction
    )


def test_organisation_in_the_rest_of_the_fleet_gets_the_mean_share(shares):
    """Guards against unlisted organisations that are never, or all, limited."""
    rows = make_rows({f"org-{index}": 100.0 for index in range(24)})
    rows.append(make_row(demand_row.OTHERS, 37_600.0, organisations=376))
    shares.apply_fleet_report(rows, now=0.0)
    result = fractions(shares, ("org-0", "org-399"), now=0.1, capacity=20_000.0)
    assert result["org-0"] == pytest.approx(0.5)
    assert result["org-399"] == pytest.approx(0.5)


# Cut off from the others.


def test_single_entry_vm_uses_the_whole_capacity(shares):
    """Guards against a deployment of one entry VM that waits for reports."""
    now = send_steadily(shares, {"a": 20.0}, start=0.0, seconds=5.0)
    assert shares.own_part(KEY, now=now) == 1.0
    decision = decide(shares, "a", now=now, capacity=10 * COST)
    assert not decision.from_fleet
    assert decision.fraction == pytest.approx(0.5, rel=0.1)


@pytest.mark.parametrize("by_relay", [False, True])
def test_cut_off_entry_vm_uses_its_part_of_the_capacity(shares, by_relay):
    """Guards against entry VMs that each use the whole capacity in a partition."""
    now = 0.0
    for step in range(80):
        now = send_steadily(shares, {"a": 20.0}, start=step / 4, seconds=0.25)
        if by_relay:
            shares.apply_fleet_report(make_rows({"a": 80 * COST}), now=now)
        else:
            shares.apply_report("vm-2", make_rows({"a": 60 * COST}), now=now)
        shares.own_rows(now=now)
    assert shares.own_part(KEY, now=now) == pytest.approx(0.25, rel=0.05)
    if not by_relay:
        shares.forget_peer("vm-2")
    now = send_steadily(shares, {"a": 20.0}, start=now, seconds=5.0)
    decision = decide(shares, "a", now=now, capacity=40 * COST)
    assert not decision.from_fleet
    assert decision.fraction == pytest.approx(0.5, rel=0.1)
    assert shares.demand_of(KEY, now=now) == pytest.approx(80 * COST, rel=0.1)
    # The others have ended rather than being cut off.
    now = send_steadily(shares, {"a": 20.0}, start=now, seconds=60.0)
    assert shares.own_part(KEY, now=now) == 1.0
    assert decide(shares, "a", now=now, capacity=40 * COST).fraction == 1.0


@pytest.mark.parametrize("connected", [False, True])
def test_entry_vm_with_idle_peers_uses_the_whole_capacity(shares, connected):
    """Guards against peers without demand that are taken to be cut off.

    Callers of the whole fleet may come to use one entry VM only.
    """
    now = 0.0
    for step in range(80):
        now = send_steadily(shares, {"a": 20.0}, start=step / 4, seconds=0.25)
        shares.apply_report("vm-2", make_rows({"a": 60 * COST}), now=now)
        shares.own_rows(now=now)
    for step in range(8):
        now = send_steadily(
            shares, {"a": 20.0}, start=20.0 + step / 4, seconds=0.25
        )
        if connected:
            shares.record_contact("vm-2", now=now)
        shares.own_rows(now=now)
    decision = decide(shares, "a", now=now, capacity=40 * COST)
    assert decision.from_fleet == connected
    assert decision.fraction == pytest.approx(
        1.0 if connected else 0.5, rel=0.1
    )


def test_contact_without_demand_keeps_the_last_report(shares):
    """Guards against demand that is lost between two messages with demand."""
    shares.apply_report("vm-2", make_rows({"a": 300.0}), now=0.0)
    shares.record_contact("vm-2", now=0.4)
    assert shares.demand_of(KEY, now=0.4) == pytest.approx(300.0)
    shares.record_contact("vm-2", now=1.6)
    assert shares.demand_of(KEY, now=1.6) == 0.0


def test_entry_vm_cut_off_while_idle_admits_some(shares):
    """Guards against a part of zero, with which a cut-off VM admits nothing."""
    for step in range(40):
        shares.apply_report("vm-2", make_rows({"a": 300.0}), now=step / 4)
        shares.own_rows(now=step / 4)
    now = send_steadily(shares, {"a": 20.0}, start=12.0, seconds=5.0)
    assert 0.0 < shares.own_part(KEY, now=now) < 0.01
    assert decide(shares, "a", now=now, capacity=40 * COST).fraction > 0.0


def test_first_report_after_a_partition_does_not_replace_the_part(shares):
    """Guards against a part taken from one moment of an uneven return."""
    for step in range(80):
        now = send_steadily(shares, {"a": 20.0}, start=step / 4, seconds=0.25)
        shares.apply_report("vm-2", make_rows({"a": 60 * COST}), now=now)
        shares.own_rows(now=now)
    now += 30.0
    shares.apply_report("vm-2", make_rows({"a": 60 * COST}), now=now)
    shares.own_rows(now=now)
    assert shares.own_part(KEY, now=now) == pytest.approx(0.2, rel=0.1)


# Bounds.


@pytest.mark.parametrize("summed", [False, True])
def test_demand_of_many_pools_fits_into_a_datagram(shares, summed):
    """Guards against states that are dropped because they are too large.

    Receivers drop datagrams of more than 16 KiB, with the loads in them.
    """
    keys = [
        demand_row.ShareKey(pool=f"engines-{pool}", tier=tier)
        for pool in range(5)
        for tier in range(1, 7)
    ]
    for key in keys:
        for number in range(100):
            shares.record_arrival(
                key, f"organisation-{number}", cost=100.0 + number, now=0.0
            )
    rows = shares.rows_with((), now=0.1) if summed else shares.own_rows(now=0.1)
    assert {row.key for row in rows} == set(keys)
    assert sum(row.organisations for row in rows) == 100 * len(keys)
    packed = demand_rows.to_rows(rows)
    size = len(packed.pools) + len(packed.organisations) + len(packed.numbers)
    assert size < 8192


def test_5000_organisations_are_listed_in_one_short_message(shares):
    """Guards against messages that grow with the number of organisations."""
    for index in range(5000):
        shares.record_arrival(
            KEY, f"org-{index}", cost=COST + index, now=index / 5000
        )
    rows = shares.own_rows(now=1.0)
    assert len(rows) == demand_row.LISTED_ORGANISATIONS + 1
    assert rows[-1].organisation == demand_row.OTHERS
    # A quarter of 4,096 are evicted at a time.
    assert 0.75 * 4096 <= sum(row.organisations for row in rows) <= 5000
    asked = sum(
        (COST + index) * math.exp(index / 5000 - 1.0) for index in range(5000)
    )
    assert sum(row.asked for row in rows) == pytest.approx(asked, rel=0.01)


def test_memory_is_bounded_with_many_organisations(shares):
    """Guards against memory that grows with each organisation ever seen."""
    names = [f"org-{index}" for index in range(20_000)]
    keys = [demand_row.ShareKey(pool="p", tier=tier) for tier in range(1, 7)]
    tracemalloc.start()
    try:
        for index, organisation in enumerate(names):
            shares.record_arrival(
                keys[index % 6], organisation, cost=COST, now=index / 20_000
            )
            shares.record_admission(
                keys[index % 6], organisation, cost=COST, now=index / 20_000
            )
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # 256 bytes for each of the 4,096 that may be kept.
    assert held < own_demand.MAX_ORGANISATIONS * 256
    assert len(shares.own_rows(now=1.0)) <= 6 * 25
    assert shares.own_rows(now=100.0) == ()


def test_least_recent_organisations_are_evicted():
    """Guards against evicting an organisation that sends all the time."""
    own = own_demand.OwnDemand()
    for index in range(20_000):
        own.record_arrival(KEY, f"org-{index}", cost=1.0, now=index / 10_000)
        if index % 100 == 0:
            own.record_arrival(KEY, "busy", cost=COST, now=index / 10_000)
        assert own.size <= own_demand.MAX_ORGANISATIONS
    asked = own.table(KEY, now=2.0).asked_by_organisation
    assert "org-19999" in asked
    assert "org-0" not in asked
    assert asked["busy"] == pytest.approx(
        100 * COST * (1 - math.exp(-2.0)), rel=0.05
    )


def test_5000_organisations_are_served_fairly(shares):
    """Guards against many small organisations that are limited for a large one.

    5,000 send one request a second each, and one sends 5,000.
    """
    for step in range(5):
        for index in range(5000):
            at = step + index / 5000
            shares.record_arrival(KEY, f"org-{index}", cost=1.0, now=at)
            shares.record_arrival(KEY, "large", cost=1.0, now=at)
    names = ("org-0", "org-4999", "large")
    result = fractions(shares, names, now=5.0, capacity=6250.0)
    assert result["org-0"] == result["org-4999"] == 1.0
    assert result["large"] == pytest.approx(0.25, rel=0.1)


def best_seconds(call, *, rounds=5):
    """Return the shortest of several times, which other processes disturb least."""
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        call()
        times.append(time.perf_counter() - started)
    return min(times)


@pytest.mark.parametrize("organisations", [24, 400, 5000])
def test_time_of_a_decision(shares, organisations):
    """Guards against routing that slows down with the number of organisations."""
    starts = itertools.count()
    for index in range(organisations):
        shares.record_arrival(KEY, f"org-{index}", cost=COST, now=0.0)
    for peer in range(32):
        rows = make_rows(
            {
                f"org-{(peer + index) % organisations}": COST
                for index in range(24)
            }
        )
        rows.append(make_row(demand_row.OTHERS, COST, organisations=24))
        # Does not expire during the test.
        shares.apply_report(f"vm-{peer}", rows, now=100.0)

    def decide_for_a_second():
        start = next(starts)
        for index in range(1000):
            decide(
                shares,
                f"org-{index % organisations}",
                now=start + index / 1000,
                capacity=organisations * COST / 10,
            )

    # The level is computed anew ten times a second.
    assert best_seconds(decide_for_a_second) / 1000 < 0.0002


def test_time_of_an_arrival(shares):
    """Guards against work per request in pools that are not short at all."""
    names = [f"org-{index}" for index in range(400)]

    def record_arrivals():
        for index in range(4000):
            shares.record_arrival(
                KEY, names[index % 400], cost=COST, now=index / 1000
            )

    assert best_seconds(record_arrivals) / 4000 < 0.00001


# Many entry VMs.


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_draws_of_80_entry_vms_add_up_to_the_shares(seed):
    """Guards against shares that only hold where one entry VM sees all.

    Each entry VM receives fewer than three requests a second.
    """
    rates = {f"org-{index}": 6.0 for index in range(22)}
    rates |= {"large-1": 42.0, "large-2": 42.0}
    fleet = Fleet(entry_vms=80, seed=seed)
    fleet.run(rates, capacity=180 * COST, start=0.0, seconds=4.0)
    fleet.run(rates, capacity=180 * COST, start=4.0, seconds=15.0)
    large = ("large-1", "large-2")
    assert_divided(fleet, capacity=180, seconds=15.0, large=large)


@pytest.mark.parametrize("exponent", [0.0, 0.7, 1.2])
def test_relays_of_400_organisations_divide_the_capacity(exponent):
    """Guards against capacity that is exceeded or idle because lists are short.

    40 entry VMs in four failure domains know the 24 largest organisations and
    the sum of the others; demand is equal, uneven or very uneven.
    """
    rng = random.Random(7)
    names = [f"org-{index}" for index in range(400)]
    rates = [(index + 1) ** -exponent for index in range(400)]
    domains = [
        [organisation_shares.OrganisationShares() for _ in range(10)]
        for _ in range(4)
    ]
    now = 0.0
    asked = dict.fromkeys(names, 0.0)
    while now < 5.0:
        now += rng.expovariate(2000.0)
        (organisation,) = rng.choices(names, rates)
        rng.choice(rng.choice(domains)).record_arrival(
            KEY, organisation, cost=COST, now=now
        )
        asked[organisation] += COST * math.exp(now - 5.0)
    relays = [organisation_shares.OrganisationShares() for _ in domains]
    vms = range(10)
    for relay, domain in zip(relays, domains, strict=True):
        for vm in vms:
            relay.apply_report(vm, domain[vm].own_rows(now=now), now=now)
    for number, relay in enumerate(relays):
        for other, teller in enumerate(relays):
            if other != number:
                rows = teller.rows_with(vms, now=now)
                relay.apply_report(f"domain-{other}", rows, now=now)
    reporters = [*vms, *(f"domain-{number}" for number in range(4))]
    capacity = sum(asked.values()) / 2
    for relay, domain in zip(relays, domains, strict=True):
        rows = relay.rows_with(reporters, now=now)
        assert len(rows) == demand_row.LISTED_ORGANISATIONS + 1
        assert sum(row.asked for row in rows) == pytest.approx(
            sum(asked.values()), rel=0.01
        )
        for shares in domain:
            shares.apply_fleet_report(rows, now=now)
            result = fractions(shares, names, now=now, capacity=capacity)
            admitted = sum(asked[one] * result[one] for one in names)
            assert admitted == pytest.approx(capacity, rel=0.1)
