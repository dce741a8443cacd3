"""Speeds, demand and invitations by the relay of a large failure domain."""

import dataclasses

import pytest

from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import (
    adaptive_load,
    demand_row,
    demand_rows,
    domain_aggregate,
    domain_news,
    fleet_news,
    invitation_rows,
    load_ledger,
    load_report,
    observation_rows,
    peer_table,
    pressure,
    prompt_locations,
    reach,
    return_schedule,
    roster,
    settings,
    speed_observation,
    upstreams,
)
from lagoonrun_standins.router_samples import make_registration

NAMES = tuple(f"vm-{number:02}" for number in range(20))
RELAY, SECOND, MEMBER, OTHER = NAMES[:4]
POOL = "engines"
UPSTREAM = make_registration("u-1", pool=POOL, start=1)
KEY = demand_row.ShareKey(pool=POOL, tier=1)
SLOW = load_report.LoadReport(running=1, waiting=0, slots=8, slowness=4.0)
NOW = 100.0


def address_of(name):
    return settings.Address(host=f"10.0.0.{NAMES.index(name)}", port=1)


class StoreStatus:
    """State of a store replica that has everything."""

    revision = store_revision = read_revision = 1
    follows_store = True


@dataclasses.dataclass(kw_only=True)
class Vm:
    """The exchanges of one entry VM, with the messages it has sent."""

    name: str
    load: adaptive_load.AdaptiveLoad
    aggregate: domain_aggregate.DomainAggregate
    fleet: fleet_news.FleetNewsExchange
    domain: domain_news.DomainNewsExchange
    sent: list
    sequence: int = 0

    def state(self, *, now=NOW):
        """Return the state that it sends next, to the relay."""
        self.sequence += 1
        return router_messages.RouterState(
            entry_vm=self.name,
            domain="north",
            start=7,
            sequence=self.sequence,
            port=1,
            revision=1,
            relay=RELAY,
            demands=demand_rows.to_rows(self.load.shares.own_rows(now=now)),
            observations=observation_rows.to_rows(
                self.load.speeds.pop_own(now=now)
            ),
            invitations=invitation_rows.to_rows(
                self.load.schedule.pop_own(now=now), now=now
            ),
        )

    def fleet_news(self, *, now=NOW):
        """Let two ticks pass; return the news to the neighbours."""
        self.fleet.tick(now=now)
        self.fleet.tick(now=now)
        return self._latest(router_messages.FleetNews)

    def domain_news(self, *, now=NOW):
        """Let four ticks pass; return the news to the other domains."""
        for _ in range(4):
            self.domain.tick(now=now)
        return self._latest(router_messages.DomainNews)

    def _latest(self, kind):
        latest = [one for one in self.sent if isinstance(one, kind)][-1]
        return router_codec.decode(router_codec.encode(latest))

    def slowness(self, *, now=NOW):
        """Return the slowness that it expects of the upstream."""
        return self.load.speeds.estimate("u-1", now=now).slowness

    def asked(self, organisation, *, now=NOW):
        """Return what it knows of the demand of an organisation."""
        return sum(
            row.asked
            for row in self.load.shares.known_rows(now=now)
            if row.organisation == organisation
        )

    def invite(self, digest, *, now=NOW):
        """Tell a caller to return in half a second."""
        return self.load.schedule.invite(
            digest,
            pool=POOL,
            tier=1,
            tokens=1000.0,
            tokens_per_second=40_000.0,
            after_seconds=0.5,
            within_seconds=2.0,
            now=now,
        )


def observation(**values):
    """Return an observation of an upstream's first start."""
    return speed_observation.SpeedObservation(start=1, **values)


def demand(organisation, asked):
    """Return the demand of one organisation."""
    return demand_row.DemandRow(
        key=KEY,
        organisation=organisation,
        organisations=1,
        asked=asked,
        admitted=0.0,
    )


@pytest.fixture
def make_vm():
    """Return a factory of entry VMs in a large failure domain."""

    def make(name, *, adaptive=True):
        sent = []
        table = peer_table.PeerTable(entry_vm=name, domain="north")
        for other in NAMES:
            if other != name:
                table.add(other, address_of(other), "north")
        load = adaptive_load.AdaptiveLoad(
            contended=False, weight_override=lambda id: None
        )
        if adaptive:
            load.record_report(UPSTREAM, SLOW, now=0.0)
            load.speeds.forget_upstreams(())
        shared = {
            "entry_vm": name,
            "port": 1,
            "start": 7,
            "aggregate": domain_aggregate.DomainAggregate(),
            "table": table,
            "ledger": load_ledger.LoadLedger(),
            "prompt_locations": prompt_locations.PromptLocations(
                reuse_seconds=10.0
            ),
            "pressure": pressure.Pressure(),
            "domains": reach.DomainReach(),
            "adaptive": load,
            "send": lambda news, to: sent.append(news),
        }
        return Vm(
            name=name,
            load=load,
            aggregate=shared["aggregate"],
            sent=sent,
            fleet=fleet_news.FleetNewsExchange(
                directory=upstreams.UpstreamDirectory(), **shared
            ),
            domain=domain_news.DomainNewsExchange(
                domain="north",
                replica=StoreStatus(),
                relays=FirstRelay(),
                **shared,
            ),
        )

    return make


class FirstRelay(roster.Roster):
    """The relays of a domain in which this entry VM is the first."""

    def __init__(self):
        """Know of no others."""

    def is_first(self, *, now):
        """Return whether this entry VM is the relay."""
        del now
        return True

    def order_of(self, cores_by_id):
        """Return the entry VMs in the order in which they are relays."""
        return tuple(cores_by_id)


@pytest.fixture
def relay(make_vm):
    return make_vm(RELAY)


@pytest.fixture
def member(make_vm):
    return make_vm(MEMBER)


@pytest.fixture
def other(make_vm):
    return make_vm(OTHER)


def report(*vms, to, now=NOW):
    """Send the state of each entry VM to the relay."""
    for vm in vms:
        state = router_codec.decode(router_codec.encode(vm.state(now=now)))
        to.fleet.receive_state(state, now=now)


def test_relay_passes_on_speeds(relay, member, other):
    """Guards against members that each have to meet a slow upstream."""
    other.load.record_report(UPSTREAM, SLOW, now=NOW)
    report(member, other, to=relay)
    assert relay.slowness() > 3.0
    member.fleet.receive(relay.fleet_news(), now=NOW)
    assert member.slowness() > 3.0


def test_relay_passes_on_demand_once(relay, member, other):
    """Guards against own demand that is missing in the sum, or is there twice."""
    for vm, requests in ((member, 3), (other, 4), (relay, 5)):
        for _ in range(requests):
            vm.load.shares.record_arrival(KEY, "house", cost=1000.0, now=NOW)
    report(member, other, relay, to=relay)
    news = relay.fleet_news()
    for vm in (member, other):
        vm.fleet.receive(news, now=NOW)
    for vm in (member, other, relay):
        assert vm.asked("house") == pytest.approx(12_000.0)


def test_relay_passes_on_invitations(relay, member, other):
    """Guards against callers that return to a member and count as new."""
    due_at = other.invite("d-1").due_at
    report(member, other, to=relay)
    member.fleet.receive(relay.fleet_news(now=NOW + 0.1), now=NOW + 0.1)
    arrival = member.load.schedule.arrival_of("d-1", now=due_at)
    assert arrival is return_schedule.Arrival.INVITED
    assert member.load.schedule.reserved_tokens(POOL, 1, now=due_at) == 1000.0


def test_relay_passes_on_that_an_invitation_is_redeemed(relay, member, other):
    """Guards against capacity that stays reserved after the caller's return."""
    due_at = other.invite("d-1").due_at
    report(member, other, to=relay)
    member.fleet.receive(relay.fleet_news(), now=NOW)
    other.load.schedule.redeem("d-1", now=due_at)
    report(member, other, to=relay, now=due_at)
    member.fleet.receive(relay.fleet_news(now=due_at), now=due_at)
    assert member.load.schedule.reserved_tokens(POOL, 1, now=due_at) == 0.0


def test_demand_of_a_lost_entry_vm_expires(relay, member, other):
    """Guards against shares that count the demand of a lost entry VM."""
    other.load.shares.record_arrival(KEY, "house", cost=1000.0, now=NOW)
    report(member, other, to=relay)
    member.fleet.receive(relay.fleet_news(), now=NOW)
    assert member.asked("house") > 0.0
    relay.aggregate.forget_peer(OTHER)
    later = NOW + 0.5
    member.load.shares.record_arrival(KEY, "garden", cost=1000.0, now=later)
    report(member, to=relay, now=later)
    member.fleet.receive(relay.fleet_news(now=later), now=later)
    assert member.asked("house", now=later) == 0.0
    assert member.asked("garden", now=later) > 0.0


def test_demand_expires_when_all_relays_are_silent(relay, member, other):
    """Guards against shares by demand that is long over."""
    other.load.shares.record_arrival(KEY, "house", cost=1000.0, now=NOW)
    report(member, other, to=relay)
    member.fleet.receive(relay.fleet_news(), now=NOW)
    assert member.asked("house", now=NOW + 1.4) > 0.0
    assert member.asked("house", now=NOW + 1.6) == 0.0


def test_relay_reports_its_domain_to_the_others(relay, member, other):
    """Guards against other domains that do not learn speeds and demand."""
    other.load.record_report(UPSTREAM, SLOW, now=NOW)
    other.load.shares.record_arrival(KEY, "house", cost=1000.0, now=NOW)
    other.invite("d-1")
    report(member, other, to=relay)
    news = relay.domain_news()
    (observed,) = observation_rows.from_rows(news.observations)
    assert (observed.upstream, observed.slowness) == ("u-1", 4.0)
    (row,) = demand_rows.from_rows(news.demands)
    assert (row.organisation, row.asked) == ("house", 1000.0)


def test_members_learn_of_other_domains(relay, member):
    """Guards against shares of a domain's own demand in a large domain."""
    report(member, to=relay)
    relay.domain.receive(
        router_messages.DomainNews(
            entry_vm="s-1",
            domain="south",
            start=1,
            sequence=1,
            observations=observation_rows.to_rows(
                [observation(slowness=4.0, upstream="u-1")]
            ),
            demands=demand_rows.to_rows([demand("house", 9000.0)]),
        ),
        host="10.0.9.1",
        now=NOW,
    )
    member.fleet.receive(relay.fleet_news(), now=NOW)
    assert member.slowness() > 3.0
    assert member.asked("house") == 9000.0


def test_news_without_adaptive_pools_are_as_before(make_vm):
    """Guards against larger messages in deployments without adaptive pools."""
    relay, member = (make_vm(name, adaptive=False) for name in (RELAY, MEMBER))
    report(member, relay, to=relay)
    for news in (relay.fleet_news(), relay.domain_news()):
        names = set(type(news).__dataclass_fields__)
        names -= {"observations", "demands", "invitations"}
        before = type(news)(**{name: getattr(news, name) for name in names})
        assert router_codec.encode(news) == router_codec.encode(before)


def test_demand_is_sent_several_times_before_it_expires(relay, member):
    """Guards against shares without the demand of others after a loss."""
    member.load.shares.record_arrival(KEY, "house", cost=1000.0, now=NOW)
    report(member, to=relay)
    sent = 0
    for tick in range(15):
        now = NOW + 0.1 * tick
        report(member, to=relay, now=now)
        sent += bool(relay.fleet_news(now=now).demands)
    assert sent >= 3


def test_relay_without_own_requests_passes_on_all(make_vm, member, other):
    """Guards against a relay that has not sent to the pool itself.

    After its start, or while the load balancer avoids it, it does not know that
    the pool is adaptive.
    """
    relay = make_vm(RELAY, adaptive=False)
    other.load.record_report(UPSTREAM, SLOW, now=NOW)
    other.load.shares.record_arrival(KEY, "house", cost=1000.0, now=NOW)
    other.invite("d-1")
    report(member, other, to=relay)
    news = relay.fleet_news()
    assert news.observations
    assert news.demands
    assert news.invitations
    assert relay.domain_news().demands
