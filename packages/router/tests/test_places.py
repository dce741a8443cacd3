"""Places at a rate-limited upstream in several fleets, without a network."""

import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from lagoonrun_core import clock as clocks
from lagoonrun_router import (
    limit_shares,
    metrics,
    place_bucket,
    places,
    running_requests,
    settings,
    upstream_limits,
    upstream_notice,
)
from lagoonrun_standins.router_samples import make_registration

LIMIT = 1.4
WINDOW_SECONDS = 4.0
STEP_SECONDS = 0.02
UPSTREAM = make_registration("u-1", domain="domain-0", start=3)
INSTANCE = running_requests.instance_of(UPSTREAM)


@dataclasses.dataclass
class Fleet:
    """Entry VMs whose messages arrive at once, except across partitions.

    Attributes
    ----------
    silent
        Failure domains that are cut off from the others.
    lost
        Names of entry VMs that neither send nor receive.
    detected
        Whether the entry VMs have detected what is silent or lost.
    """

    clock: clocks.ManualClock
    domains: int
    size: int
    vms: list = dataclasses.field(default_factory=list)
    silent: set = dataclasses.field(default_factory=set)
    lost: set = dataclasses.field(default_factory=set)
    detected: bool = True
    sent: int = 0

    def start(self):
        """Start all entry VMs."""
        self.vms = [Vm(self, number) for number in range(self.size)]
        return self

    def neighbours(self, domain):
        """Return the entry VMs of a failure domain."""
        return [one for one in self.vms if one.domain == domain]

    def relay(self, domain):
        """Return the relay of a domain, lost ones until that is detected."""
        remaining = [
            one
            for one in self.neighbours(domain)
            if one.name not in self.lost or not self.detected
        ]
        return remaining[0]

    def reaches(self, one, other):
        """Return whether a message from one reaches the other."""
        if {one.name, other.name} & self.lost:
            return one is other
        if one.domain == other.domain:
            return True
        return not self.silent & {one.domain, other.domain}

    def announce_limit(self, per_second, *, age=0.0):
        """Apply an answer with a limit at all entry VMs."""
        for one in self.vms:
            one.limits.apply_answer(
                INSTANCE,
                upstream_notice.UpstreamNotice(requests_per_second=per_second),
                sent_at=self.clock.monotonic() - age,
                now=self.clock.monotonic() - age,
            )


class Vm:
    """One entry VM, which implements the routing of its own `Places`."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self.domain = f"domain-{number % fleet.domains}"
        self.name = f"vm-{number}"
        self.address = settings.Address(host=self.name, port=1)
        self.limits = upstream_limits.UpstreamLimits()
        self.places = places.Places(
            configured=_Configured(
                entry_vm=self.name, domain=self.domain, peer=self.address
            ),
            limits=self.limits,
            routing=self,
            send=self._send,
            counters=metrics.RouterMetrics(),
            clock=fleet.clock,
            rng=random.Random(number),
        )

    def _send(self, message, addresses):
        for address in addresses:
            self._fleet.sent += 1
            other = next(
                one for one in self._fleet.vms if one.address == address
            )
            if not self._fleet.reaches(self, other):
                continue
            if isinstance(message, places.router_messages.PlaceRequest):
                other.places.receive_request(message)
            else:
                other.places.receive_answer(message)

    def own_relay(self, *, now):
        """Return the address of the relay; None for the relay itself."""
        relay = self._fleet.relay(self.domain)
        return None if relay is self else relay.address

    def is_giver_for(self, upstream_domain):
        """Return whether the upstream is in the own domain."""
        return upstream_domain == self.domain

    def giver(self, upstream_domain, *, now):
        """Return the relay of a domain, unless it is silent."""
        silent = self._fleet.silent & {upstream_domain, self.domain}
        if silent and self._fleet.detected:
            return None
        return self._fleet.relay(upstream_domain).address

    def fleet_counts(self, *, now):
        """Return the fleet as it is known and reachable."""
        fleet = self._fleet
        reachable = [one for one in fleet.vms if fleet.reaches(self, one)]
        if not fleet.detected:
            reachable = fleet.vms
        return limit_shares.FleetCounts(
            known=len(fleet.vms),
            in_domain=sum(one.domain == self.domain for one in reachable),
            silent=len(fleet.vms) - len(reachable),
        )


@dataclasses.dataclass(frozen=True)
class _Configured:
    entry_vm: str
    domain: str
    peer: settings.Address


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture(autouse=True)
def short_answers(monkeypatch):
    """Shorten the wait for missing answers."""
    monkeypatch.setattr(places, "_ANSWER_SECONDS", 0.001)


async def granted_in(fleet, askers, *, seconds, per_second, seed=1):
    """Return the times of places granted to random entry VMs."""
    rng = random.Random(seed)
    granted_at = []
    end = fleet.clock.monotonic() + seconds
    while fleet.clock.monotonic() < end:
        fleet.clock.advance(STEP_SECONDS)
        now = fleet.clock.monotonic()
        if rng.random() >= per_second * STEP_SECONDS:
            continue
        vm = rng.choice(askers)
        if vm.places.closed_seconds(UPSTREAM, 1, now=now):
            continue
        decision = await vm.places.acquire(UPSTREAM, 1, request_id="r")
        if isinstance(decision, place_bucket.Granted):
            granted_at.append(now)
    return granted_at


def max_in_a_window(granted_at):
    """Return the maximum number of places granted in any window."""
    return max(
        sum(begin <= one < begin + WINDOW_SECONDS for one in granted_at)
        for begin in granted_at
    )


ALLOWED = 1.5 * LIMIT * WINDOW_SECONDS + 5
SIZES = [(3, 7), (3, 23), (5, 195)]


@pytest.mark.parametrize(("domains", "size"), SIZES)
@pytest.mark.parametrize("where", ["all", "one"])
async def test_limit_is_kept_and_used_in_fleets_of_any_size(
    clock, domains, size, where
):
    """Guards against shares too small to use or larger than the limit."""
    fleet = Fleet(clock=clock, domains=domains, size=size).start()
    fleet.announce_limit(LIMIT)
    askers = fleet.vms if where == "all" else fleet.vms[-1:]
    granted_at = await granted_in(fleet, askers, seconds=40.0, per_second=8.0)
    assert max_in_a_window(granted_at) <= ALLOWED
    assert len(granted_at) >= 0.75 * LIMIT * 40.0


@pytest.mark.parametrize(("domains", "size"), SIZES)
async def test_sides_of_a_partition_together_keep_the_limit(
    clock, domains, size
):
    """Guards against a partition that gives each side the whole limit."""
    fleet = Fleet(clock=clock, domains=domains, size=size).start()
    fleet.announce_limit(LIMIT)
    fleet.silent = {"domain-1"}
    fleet.detected = False
    granted_at = await granted_in(fleet, fleet.vms, seconds=1.0, per_second=8.0)
    fleet.detected = True
    granted_at += await granted_in(
        fleet, fleet.vms, seconds=30.0, per_second=8.0
    )
    assert max_in_a_window(granted_at) <= ALLOWED
    assert len(granted_at) >= 0.5 * LIMIT * 30.0


@pytest.mark.parametrize(("domains", "size"), SIZES)
async def test_limit_is_kept_and_used_after_the_loss_of_the_giver(
    clock, domains, size
):
    """Guards against a limit that is exceeded or unused without its giver."""
    fleet = Fleet(clock=clock, domains=domains, size=size).start()
    fleet.announce_limit(LIMIT)
    granted_at = await granted_in(fleet, fleet.vms, seconds=5.0, per_second=8.0)
    lost = fleet.relay("domain-0")
    fleet.lost = {lost.name}
    remaining = [one for one in fleet.vms if one is not lost]
    fleet.detected = False
    granted_at += await granted_in(
        fleet, remaining, seconds=1.0, per_second=8.0
    )
    fleet.detected = True
    after = await granted_in(fleet, remaining, seconds=20.0, per_second=8.0)
    assert max_in_a_window(granted_at + after) <= ALLOWED
    assert len(after) >= 0.6 * LIMIT * 20.0


async def test_entry_vm_that_joins_asks_as_the_others_do(clock):
    fleet = Fleet(clock=clock, domains=3, size=7).start()
    fleet.announce_limit(LIMIT)
    granted_at = await granted_in(fleet, fleet.vms, seconds=8.0, per_second=8.0)
    fleet.vms.append(Vm(fleet, 7))
    fleet.announce_limit(LIMIT)
    granted_at += await granted_in(
        fleet, fleet.vms, seconds=8.0, per_second=8.0
    )
    assert max_in_a_window(granted_at) <= ALLOWED


async def test_refused_request_does_not_ask_again_until_the_next_place(clock):
    """Guards against repeated place requests while a whole pool is limited."""
    fleet = Fleet(clock=clock, domains=3, size=7).start()
    fleet.announce_limit(0.5)
    vm = fleet.vms[4]
    decision = await vm.places.acquire(UPSTREAM, 2, request_id="r")
    assert isinstance(decision, place_bucket.Refused)
    now = clock.monotonic()
    assert vm.places.closed_seconds(UPSTREAM, 2, now=now) > 0.0
    assert vm.places.closed_seconds(UPSTREAM, 3, now=now) > 0.0
    assert vm.places.closed_seconds(UPSTREAM, 1, now=now) == 0.0
    fleet.announce_limit(None, age=-0.1)
    assert vm.places.closed_seconds(UPSTREAM, 2, now=now) == 0.0


async def test_place_request_reports_the_limit_to_the_giver(clock):
    """Guards against a giver that does not know of the limit yet."""
    fleet = Fleet(clock=clock, domains=3, size=7).start()
    vm = fleet.vms[4]
    vm.limits.apply_answer(
        INSTANCE,
        upstream_notice.UpstreamNotice(requests_per_second=LIMIT),
        sent_at=clock.monotonic(),
        now=clock.monotonic(),
    )
    decision = await vm.places.acquire(UPSTREAM, 1, request_id="r")
    assert isinstance(decision, place_bucket.Refused)
    assert fleet.relay("domain-0").limits.limit_of(INSTANCE) == LIMIT


async def test_limit_that_ended_needs_no_place(clock):
    fleet = Fleet(clock=clock, domains=3, size=7).start()
    fleet.announce_limit(LIMIT)
    clock.advance(1.0)
    fleet.announce_limit(None)
    for vm in fleet.vms:
        decision = await vm.places.acquire(UPSTREAM, 1, request_id="r")
        assert isinstance(decision, place_bucket.Granted)
    assert fleet.sent == 0


@hypothesis.given(
    strategies.lists(strategies.integers(1, 40), min_size=1, max_size=6),
    strategies.data(),
)
def test_shares_of_all_sides_add_up_to_one_at_most(sizes, data):
    """Each domain is reachable from the upstream's domain or not, as drawn."""
    known = sum(sizes)
    reachable = [True] + [data.draw(strategies.booleans()) for _ in sizes[1:]]
    lost_neighbours = data.draw(strategies.integers(0, sizes[0] - 1))
    silent = lost_neighbours + sum(
        size for size, one in zip(sizes, reachable, strict=True) if not one
    )
    total = limit_shares.giver_share(
        limit_shares.FleetCounts(known=known, in_domain=sizes[0], silent=silent)
    )
    for size, one in zip(sizes, reachable, strict=True):
        if not one:
            total += limit_shares.domain_share(
                limit_shares.FleetCounts(
                    known=known, in_domain=size, silent=known - size
                )
            )
    total += lost_neighbours * limit_shares.single_share(
        limit_shares.FleetCounts(known=known, in_domain=1, silent=known - 1)
    )
    assert total <= 1.0 + 1e-9
