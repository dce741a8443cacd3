"""Other regions stop replying while requests search for capacity there.

Time is virtual: the event loop's clock jumps to the next timer.
"""

import asyncio
import collections
import itertools
import selectors
import types as builtin_types

import pytest

from lagoonrun_config import declarations, draft
from lagoonrun_core import outcomes
from lagoonrun_daemon import (
    fleet,
    permit_seeking,
    permit_types,
    permits,
    reach,
    stalls,
)
from lagoonrun_membership import shards as membership_shards
from lagoonrun_protocol import messages

OWN = "east-a"
_REGION_BY_DOMAIN = {
    "east-a": "east",
    "east-b": "east",
    "north-a": "north",
    "north-b": "north",
    "west-a": "west",
}
_VMS_PER_DOMAIN = 5
_ENTRY_VM = "vm-east-a-0"
_SAME_REGION_SECONDS = 0.001
_OTHER_REGION_SECONDS = 0.08

TARGET_SECONDS = 0.6
LIMIT_SECONDS = 4.0

_PROFILE = f"""
[profiles.lookup]
tier = 1
target_seconds = {TARGET_SECONDS}
limit_seconds = {LIMIT_SECONDS}

[services.lookups]
kind = "plain"
pool = "portal"
profile = "lookup"
path_prefix = "/lookups"
"""


class _JumpingSelector(selectors.DefaultSelector):
    """Advance the loop's clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return what is ready without waiting."""
        if timeout:
            self.now += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only while it is idle."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        """Return the virtual time."""
        return self._jumping.now


class LoopClock:
    """The virtual time as the daemon's clock."""

    def monotonic(self):
        """Return the loop's time."""
        return asyncio.get_running_loop().time()

    def running(self):
        """Return the loop's time."""
        return asyncio.get_running_loop().time()


class Members:
    """Fake membership: live members, distances and shard summaries."""

    def __init__(self):
        self.dead_domains = set()
        self.summaries_by_shard = {}

    @property
    def members_by_id(self):
        """All members, by id."""
        return {
            vm: builtin_types.SimpleNamespace(domain=domain)
            for domain in _REGION_BY_DOMAIN
            for vm in _vms(domain)
        }

    def summary_of(self, shard):
        """Return the last summary of a shard."""
        return self.summaries_by_shard.get(shard)

    def eligible_in(self, domain):
        """Return the entry VMs of a domain."""
        return () if domain in self.dead_domains else _vms(domain)

    def round_trip_to(self, domain):
        """Return the round-trip time to a domain."""
        return _distance(domain)

    def upstream_is_leaving(self, upstream):
        """Return False: no upstream is leaving."""
        return False


class Dispatchers:
    """Fake dispatchers whose replies are set per domain."""

    def __init__(self):
        self.silent = set()
        self.answer_by_domain = {}
        self.acknowledge_seconds = 0.0
        self.asks_by_domain = collections.Counter()
        self.asked = set()
        self.client = None

    def send(self, to, message):
        """Receive a message and reply to it after the round trip."""
        if not isinstance(message, messages.PermitRequest):
            return True
        domain = membership_shards.domain_of(message.shard)
        self.asks_by_domain[domain] += 1
        self.asked.add((domain, to))
        if domain in self.silent or to in self.silent:
            return True
        loop = asyncio.get_running_loop()
        delay = _distance(domain) + self.acknowledge_seconds
        keyed = {
            "request_id": message.request_id,
            "attempt_id": message.attempt_id,
        }
        loop.call_later(
            delay,
            self.client.on_message,
            to,
            messages.PermitAcknowledged(**keyed),
        )
        wait, answer = self.answer_by_domain[domain](message, keyed)
        loop.call_later(delay + wait, self.client.on_message, to, answer)
        return True


def _vms(domain):
    return tuple(f"vm-{domain}-{n}" for n in range(_VMS_PER_DOMAIN))


def _distance(domain):
    if domain == OWN:
        return 0.0
    near = _REGION_BY_DOMAIN[domain] == _REGION_BY_DOMAIN[OWN]
    return _SAME_REGION_SECONDS if near else _OTHER_REGION_SECONDS


def refuses(message, keyed):
    """Refuse immediately for lack of capacity."""
    del message
    return 0.0, messages.PermitRefused(
        **keyed,
        reason=outcomes.Reason.QUEUE_FULL,
        retry_after_seconds=1.0,
    )


def grants_after(seconds):
    """Return the reply function of a dispatcher with a short queue."""

    def grant(message, keyed):
        return seconds, messages.PermitGranted(
            **keyed, upstream="any", shard=message.shard
        )

    return grant


def _configuration():
    text = _PROFILE + "".join(
        f'[domains.{domain}]\nregion = "{region}"\n'
        f'[[pools.portal.upstreams]]\nid = "{domain}-1"\n'
        f'domain = "{domain}"\naddress = "10.0.0.{n}"\nport = 9000\n'
        for n, (domain, region) in enumerate(_REGION_BY_DOMAIN.items())
    )
    parsed = declarations.parse_declarations(
        [declarations.DeclarationFile(name="test", text=text)]
    )
    assert isinstance(parsed, draft.Draft), parsed.faults
    return draft.configuration_of(parsed, revision=1, digest="")


class World:
    """One ingress and five domains in three regions."""

    def __init__(self):
        self.clock = LoopClock()
        self.members = Members()
        self.dispatchers = Dispatchers()
        self.fleet = fleet.FleetView(
            entry_vm=_ENTRY_VM, domain=OWN, members=self.members
        )
        self.fleet.set_configuration(_configuration())
        self.reach = reach.DomainReach(clock=self.clock)
        self.client = permits.PermitClient(
            entry_vm=_ENTRY_VM,
            ranking=self.fleet,
            transport=self.dispatchers,
            clock=self.clock,
            stalls=stalls.StallDetector(clock=self.clock),
            domains=self.reach,
        )
        self.dispatchers.client = self.client
        self.dispatchers.answer_by_domain = {
            domain: grants_after(0.0) for domain in _REGION_BY_DOMAIN
        }
        self.dispatchers.answer_by_domain[OWN] = refuses
        self._numbers = itertools.count()
        self._services = builtin_types.SimpleNamespace(
            fleet=self.fleet,
            reach=self.reach,
            permits=self.client,
            clock=self.clock,
            add_step=lambda call, what, detail: None,
        )

    def set_summary(self, domain, *, free=0, wait_seconds=0.0):
        """Set the summary of a domain's shard."""
        shard = f"portal@{domain}/0"
        self.members.summaries_by_shard[shard] = messages.ShardSummary(
            shard=shard,
            dispatcher=_vms(domain)[0],
            free=free,
            lowest_waiting_tier=0,
            lowest_running_tier=1,
            wait_seconds=wait_seconds,
        )

    async def seek(self):
        """Obtain a permit for one lookup; return it and the time taken."""
        configuration = self.fleet.configuration
        service = configuration.services_by_name["lookups"]
        now = self.clock.monotonic()
        call = builtin_types.SimpleNamespace(
            request_id=f"r-{next(self._numbers)}",
            resolved=builtin_types.SimpleNamespace(
                service=service,
                profile=configuration.profiles_by_name["lookup"],
                organisation="house",
                prefix_hash=0,
                model="",
            ),
            body=b"",
            configuration=configuration,
            target_at=now + TARGET_SECONDS,
            limit_at=now + LIMIT_SECONDS,
        )
        seeker = permit_seeking.PermitSeeker(call=call, services=self._services)
        answer = await seeker.obtain()
        return answer, self.clock.monotonic() - now

    def domain_of(self, permit):
        """Return the domain that granted a permit."""
        return membership_shards.domain_of(permit.shard)


@pytest.fixture
def run():
    """Return a function that runs a scenario in virtual time."""

    def run_scenario(scenario):
        async def on_new_world():
            return await scenario(World())

        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            return runner.run(on_new_world())

    return run_scenario


def cut_off_regions(world):
    """Cut off two regions with capacity; the near domain has a queue."""
    for domain in ("north-a", "north-b", "west-a"):
        world.set_summary(domain, free=8)
        world.dispatchers.silent.add(domain)
    world.set_summary("east-b", wait_seconds=2.0)
    world.dispatchers.answer_by_domain["east-b"] = grants_after(0.2)


async def burst(world, *, requests, period_seconds):
    """Start lookups at a constant rate; return all results."""
    tasks = []
    for _ in range(requests):
        tasks.append(asyncio.create_task(world.seek()))
        await asyncio.sleep(period_seconds)
    return await asyncio.gather(*tasks)


def test_lost_regions_cost_lookups_no_target(run):
    """Two regions are cut off under load and not yet considered dead.

    The own shard refuses for lack of capacity, the last summaries of the far
    shards show free runners, and the near shard has a queue. Each lookup asked
    the far entry VMs one after another, 150 ms each, although the near queue
    would have served it in time.
    """

    async def scenario(world):
        cut_off_regions(world)
        answers = await burst(world, requests=500, period_seconds=0.02)
        return world, answers

    world, answers = run(scenario)
    for permit, _ in answers:
        assert isinstance(permit, permit_types.Permit)
        assert world.domain_of(permit) == "east-b"
    assert max(seconds for _, seconds in answers) <= TARGET_SECONDS
    # After the first two seconds, only probes wait for no reply.
    delayed = [seconds for _, seconds in answers[100:] if seconds > 0.25]
    assert len(delayed) <= 12


def test_other_domains_of_a_silent_region_come_last(run):
    """A lookup has found one domain of a far region silent.

    The region's other domain has an equally good summary but is probably cut
    off too. Asking it next would use up time in which others could serve.
    """

    async def scenario(world):
        cut_off_regions(world)
        answer = await world.seek()
        return world, answer

    world, (permit, _) = run(scenario)
    assert world.domain_of(permit) == "east-b"
    asked = world.dispatchers.asks_by_domain
    assert (asked["north-a"], asked["north-b"]) == (1, 0)


def test_room_of_a_region_that_is_back_is_used_again(run):
    """A partition of 30 s ends; only the far region has capacity.

    The far domains are skipped meanwhile. If no lookup probed them from time
    to time, their capacity would stay unused until a restart.
    """

    async def scenario(world):
        cut_off_regions(world)
        world.dispatchers.answer_by_domain["east-b"] = refuses
        await burst(world, requests=300, period_seconds=0.1)
        world.dispatchers.silent.clear()
        return await burst(world, requests=120, period_seconds=0.1)

    answers = run(scenario)
    granted = [isinstance(answer, permit_types.Permit) for answer, _ in answers]
    assert granted.index(True) <= 80
    assert all(granted[85:])


def test_one_dead_entry_vm_does_not_hide_its_domain(run):
    """The dispatcher of a far shard dies; its domain continues without it.

    The same lookup must ask the next-ranked one. If one silent entry VM made
    the whole domain skipped, lookups would be refused here while lower tiers
    run there.
    """

    async def scenario(world):
        world.set_summary("west-a", free=8)
        world.dispatchers.answer_by_domain["east-b"] = refuses
        for domain in ("north-a", "north-b"):
            world.dispatchers.answer_by_domain[domain] = refuses
        first = world.fleet.ranked_for("portal@west-a/0")[0]
        world.dispatchers.silent.add(first)
        return world, await burst(world, requests=20, period_seconds=0.2)

    world, answers = run(scenario)
    granted = [isinstance(answer, permit_types.Permit) for answer, _ in answers]
    assert all(granted)
    assert world.reach.may_ask("west-a")


def test_slow_acknowledgement_hides_nobody(run):
    """A dispatcher is busy and acknowledges after 120 ms.

    A lookup with little time left continues without it. That must not count
    as silence: all other lookups of this entry VM would skip a healthy
    dispatcher.
    """

    async def scenario(world):
        world.dispatchers.acknowledge_seconds = 0.12
        world.set_summary("east-b", free=8)
        for domain in ("north-a", "north-b", "west-a"):
            world.dispatchers.answer_by_domain[domain] = refuses
        await burst(world, requests=10, period_seconds=0.5)
        return world

    world = run(scenario)
    assert world.reach.may_ask("east-b")
    first = world.fleet.ranked_for("portal@east-b/0")[0]
    asked = {to for domain, to in world.dispatchers.asked if domain == "east-b"}
    assert asked == {first}


def test_far_dispatcher_is_not_silent_for_the_way(run):
    """The round trip to a region exceeds the acknowledgement timeout.

    Each acknowledgement takes more than 150 ms. Without an allowance for the
    round trip, every dispatcher there would be skipped, and a second one would
    grant the same runners.
    """

    async def scenario(world):
        world.set_summary("west-a", free=8)
        world.dispatchers.acknowledge_seconds = 0.1
        for domain in ("east-b", "north-a", "north-b"):
            world.dispatchers.answer_by_domain[domain] = refuses
        return world, await world.seek()

    world, (permit, _) = run(scenario)
    assert isinstance(permit, permit_types.Permit)
    first = world.fleet.ranked_for("portal@west-a/0")[0]
    asked = {to for domain, to in world.dispatchers.asked if domain == "west-a"}
    assert asked == {first}


def test_dead_region_is_dispatched_by_nobody_here(run):
    """All entry VMs of a far region are considered dead: it is cut off.

    Live entry VMs of other regions took over its shards, granted unreachable
    runners and tried to read their load reports.
    """

    async def scenario(world):
        cut_off_regions(world)
        world.members.dead_domains.update(("north-a", "north-b", "west-a"))
        world.fleet.on_members_changed()
        await burst(world, requests=20, period_seconds=0.02)
        return world

    world = run(scenario)
    assert world.fleet.owner_of("portal@west-a/0") is None
    reachable = {
        membership_shards.domain_of(view.shard): view.reachable
        for view in world.fleet.other_shard_views("portal")
    }
    # Unreachable shards must not use up the limited number of shards asked.
    assert [d for d, known in reachable.items() if known] == ["east-b"]
    assert set(world.dispatchers.asks_by_domain) == {OWN, "east-b"}


def test_lost_domain_is_dispatched_within_its_region(run):
    async def scenario(world):
        world.members.dead_domains.update(("north-a", "east-b"))
        world.fleet.on_members_changed()
        return world

    world = run(scenario)
    far = world.fleet.ranked_for("portal@north-a/0")
    assert set(far) == set(_vms("north-b"))
    near = world.fleet.ranked_for("portal@east-b/0")
    assert set(near) == set(_vms(OWN))
