"""Sums of the fleet's load that the relay of a large failure domain sends.

The case to support is forty neighbours that each route two or three requests a
second. If each sent its state to all, a request would cost fifty messages; with
a relay each receives ten a second, whatever their number.
"""

import dataclasses

import pytest

from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    adaptive_load,
    domain_aggregate,
    fleet_news,
    format_error,
    load_ledger,
    loads,
    peer_loads,
    peer_table,
    pressure,
    prompt_locations,
    reach,
    settings,
    upstreams,
)
from lagoonrun_standins.router_samples import make_registration

NAMES = tuple(f"vm-{number:02}" for number in range(20))
RELAY, SECOND, MEMBER, OTHER = NAMES[:4]
POOL = "engines"


def address_of(name):
    return settings.Address(host=f"10.0.0.{NAMES.index(name)}", port=1)


@dataclasses.dataclass(kw_only=True)
class Vm:
    """One entry VM's side of the exchange, with the messages it has sent."""

    name: str
    exchange: fleet_news.FleetNewsExchange
    aggregate: domain_aggregate.DomainAggregate
    ledger: load_ledger.LoadLedger
    prompt_locations: prompt_locations.PromptLocations
    pressure: pressure.Pressure
    domains: reach.DomainReach
    directory: upstreams.UpstreamDirectory
    table: peer_table.PeerTable
    sent: list
    sequence: int = 0

    def state(self, relay, *, now=0.0, **more):
        """Return the state that it sends next."""
        self.sequence += 1
        made = router_messages.RouterState(
            entry_vm=self.name,
            domain="north",
            start=7,
            sequence=self.sequence,
            port=1,
            revision=1,
            relay=relay,
            loads=peer_loads.to_rows(self.ledger.own_loads(now=now)),
            pressed=peer_loads.to_pressed_tiers(self.pressure.recent(now=now)),
            placements=peer_loads.to_placements(
                self.prompt_locations.pop_own()
            ),
            **more,
        )
        self.exchange.record_sent_state(made)
        return made

    def begin_request(self, tokens=2000.0, upstream="u-1", now=0.0):
        """Send a request to an upstream."""
        request = loads.InFlightRequest(
            upstream=upstream, new_tokens=tokens, sensitivity=1.0
        )
        self.ledger.begin(request, now=now)
        return request

    def tick(self, now):
        """Let two ticks, a tenth of a second, pass; return the news sent."""
        before = len(self.sent)
        self.exchange.tick(now=now)
        self.exchange.tick(now=now)
        return [news for news, _ in self.sent[before:]]


@pytest.fixture
def make_vm():
    """Return a factory of entry VMs in a large failure domain."""

    def make(name):
        sent = []
        table = peer_table.PeerTable(entry_vm=name, domain="north")
        for other in NAMES:
            table.add(other, address_of(other), "north")
        shared = {
            "aggregate": domain_aggregate.DomainAggregate(),
            "ledger": load_ledger.LoadLedger(),
            "prompt_locations": prompt_locations.PromptLocations(
                reuse_seconds=10.0
            ),
            "pressure": pressure.Pressure(),
            "domains": reach.DomainReach(),
            "directory": upstreams.UpstreamDirectory(),
            "table": table,
        }
        exchange = fleet_news.FleetNewsExchange(
            adaptive=adaptive_load.AdaptiveLoad(
                contended=False, weight_override=lambda id: None
            ),
            entry_vm=name,
            port=1,
            start=7,
            send=lambda news, to: sent.append((news, tuple(to))),
            **shared,
        )
        return Vm(name=name, exchange=exchange, sent=sent, **shared)

    return make


@pytest.fixture
def relay(make_vm):
    return make_vm(RELAY)


@pytest.fixture
def member(make_vm):
    return make_vm(MEMBER)


@pytest.fixture
def other(make_vm):
    return make_vm(OTHER)


def test_member_knows_the_load_of_all_and_its_own_once(relay, member, other):
    """Two members send long prompts to the same runner.

    The sum includes both; each must count its own current load, and only once.
    """
    member.begin_request(tokens=3000.0)
    other.begin_request(tokens=4000.0)
    for vm in (member, other):
        relay.exchange.receive_state(vm.state(RELAY), now=0.1)
    (news,) = relay.tick(0.1)
    for vm in (member, other):
        vm.exchange.receive(news, now=0.1)
        known = vm.ledger.load_of("u-1", now=0.1)
        assert (known.running, known.waiting_tokens) == (2, 7000.0)


def test_own_request_that_has_ended_since_is_not_counted(relay, member):
    request = member.begin_request()
    relay.exchange.receive_state(member.state(RELAY), now=0.1)
    (news,) = relay.tick(0.1)
    member.ledger.end(request)
    member.exchange.receive(news, now=0.1)
    known = member.ledger.load_of("u-1", now=0.1)
    assert (known.running, known.waiting_tokens) == (0, 0.0)


def test_own_load_is_subtracted_as_the_relay_received_it(relay, member):
    """The newest state of a member was lost or has not arrived at the relay."""
    member.begin_request(tokens=3000.0)
    heard = member.state(RELAY)
    member.begin_request(tokens=500.0)
    member.state(RELAY)
    relay.exchange.receive_state(heard, now=0.1)
    (news,) = relay.tick(0.1)
    member.exchange.receive(news, now=0.1)
    known = member.ledger.load_of("u-1", now=0.1)
    assert (known.running, known.waiting_tokens) == (2, 3500.0)


def test_only_subscribers_are_sent_the_sum(relay, member, other):
    """The second in the order receives all states but sends no sum."""
    relay.exchange.receive_state(member.state(RELAY), now=0.0)
    relay.exchange.receive_state(other.state(SECOND), now=0.0)
    relay.tick(0.1)
    assert relay.sent[-1][1] == (address_of(MEMBER),)
    relay.exchange.receive_state(member.state(SECOND), now=0.2)
    assert relay.tick(0.2) == []


def test_relay_sends_nothing_to_silent_subscribers(relay, member):
    relay.exchange.receive_state(member.state(RELAY), now=0.0)
    assert relay.tick(domain_aggregate.REPORTER_TIMEOUT_SECONDS) == []


def test_second_in_order_takes_over_with_all_received_states(
    make_vm, relay, member, other
):
    """The relay is killed; the members then subscribe to the second."""
    second = make_vm(SECOND)
    other.begin_request(tokens=4000.0)
    for vm in (member, other):
        state = vm.state(RELAY)
        relay.exchange.receive_state(state, now=0.0)
        second.exchange.receive_state(state, now=0.0)
    assert second.tick(0.1) == []
    second.exchange.receive_state(member.state(SECOND), now=0.5)
    (news,) = second.tick(0.5)
    member.exchange.receive(news, now=0.5)
    assert member.ledger.load_of("u-1", now=0.5).running == 1


def test_relay_uses_its_own_sum(relay, other):
    """A relay bases its decisions on the same data as the other entry VMs."""
    other.begin_request()
    own = relay.begin_request()
    relay.exchange.receive_state(relay.state(RELAY), now=0.0)
    relay.exchange.receive_state(other.state(RELAY), now=0.0)
    relay.tick(0.1)
    assert relay.ledger.load_of("u-1", now=0.1).running == 2
    relay.ledger.end(own)
    assert relay.ledger.load_of("u-1", now=0.1).running == 1


def test_sum_expires_when_all_relays_are_silent(relay, member, other):
    other.begin_request()
    for vm in (member, other):
        relay.exchange.receive_state(vm.state(RELAY), now=0.0)
    (news,) = relay.tick(0.0)
    member.exchange.receive(news, now=0.0)
    assert member.ledger.load_of("u-1", now=1.0).running == 1
    old = load_ledger.PEER_LOAD_SECONDS
    assert member.ledger.load_of("u-1", now=old) == loads.NO_LOAD


def test_out_of_order_news_are_ignored(relay, member, other):
    relay.exchange.receive_state(member.state(RELAY), now=0.0)
    (first,) = relay.tick(0.0)
    other.begin_request()
    relay.exchange.receive_state(other.state(RELAY), now=0.1)
    (second,) = relay.tick(0.1)
    member.exchange.receive(second, now=0.1)
    member.exchange.receive(first, now=0.1)
    assert member.ledger.load_of("u-1", now=0.1).running == 1


def test_other_domains_are_part_of_the_sum(relay, member):
    relay.exchange.receive_state(member.state(RELAY), now=0.0)
    relay.aggregate.apply_domain_news(
        router_messages.DomainNews(
            entry_vm="s-1",
            domain="south",
            start=1,
            sequence=1,
            loads=peer_loads.to_rows({"u-2": loads.Load(running=5)}),
        ),
        now=0.0,
    )
    relay.domains.record_contact("south", now=0.0)
    (news,) = relay.tick(0.3)
    member.exchange.receive(news, now=0.3)
    assert member.ledger.load_of("u-2", now=0.3).running == 5
    assert not member.domains.is_silent("south", now=0.9)
    assert member.domains.is_silent("south", now=1.1)


def test_placements_pressed_tiers_and_prefill_rates_are_reported(
    relay, member, other
):
    other.prompt_locations.record_placement("part", "u-1", now=0.0)
    for _ in range(pressure.MIN_REJECTIONS):
        other.pressure.record_rejection(POOL, 1, now=0.0)
    relay.exchange.receive_state(member.state(RELAY), now=0.0)
    other.begin_request(tokens=9000.0)
    relay.exchange.receive_state(other.state(RELAY), now=0.0)
    (news,) = relay.tick(0.1)
    member.exchange.receive(news, now=0.1)
    assert member.prompt_locations.has("part", "u-1", now=0.1)
    assert member.pressure.higher_tier_pressed(POOL, 2, now=0.1)
    assert member.ledger.recent_prefill("u-1", now=0.1) > 1000.0


def test_members_learn_from_the_relay_who_is_alive(relay, member, other):
    """A member sends its state to the relay only; others still know of it."""
    for vm in (member, other):
        relay.exchange.receive_state(vm.state(RELAY), now=0.0)
    (news,) = relay.tick(0.1)
    member.exchange.receive(news, now=0.1)
    assert OTHER in member.table.neighbours()
    relay.exchange.receive_state(other.state(RELAY, stopping=True), now=0.2)
    (news,) = relay.tick(0.2)
    assert domain_aggregate.short_hash(OTHER) not in news.tellers


def test_leaving_upstreams_are_reported(relay, member):
    relay.directory.apply_entry(make_registration("u-1", port=1), now=0.0)
    relay.directory.mark_leaving("u-1", start=0, source="store", now=0.0)
    relay.exchange.receive_state(member.state(RELAY), now=0.0)
    (news,) = relay.tick(0.1)
    assert [one.upstream for one in news.leaving_starts] == ["u-1"]


def test_news_with_too_few_numbers_are_refused(relay, member, other):
    other.begin_request()
    for vm in (member, other):
        relay.exchange.receive_state(vm.state(RELAY), now=0.0)
    (news,) = relay.tick(0.1)
    broken = dataclasses.replace(news, prefill_rates=b"")
    with pytest.raises(format_error.FormatError):
        member.exchange.receive(broken, now=0.1)
