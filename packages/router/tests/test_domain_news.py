"""News of a whole failure domain, sent by its relay to the other ones."""

import dataclasses

import pytest

from lagoonrun_router import (
    adaptive_load,
    domain_aggregate,
    domain_news,
    load_ledger,
    loads,
    peer_loads,
    peer_table,
    pressure,
    prompt_locations,
    reach,
    roster,
    settings,
)
from lagoonrun_standins.router_samples import make_stream_route
from lagoonrun_standins.router_upstream import answer_events
from lagoonrun_standins.router_world import wait_for

DOMAIN_OF = {"n-1": "north", "n-2": "north", "s-1": "south", "s-2": "south"}


def make_roster(name, table):
    return roster.Roster(
        duty="relay",
        wanted_count=2,
        own=name,
        others=table,
    )


def first_in_order(*names):
    table = peer_table.PeerTable(entry_vm=names[0], domain="any")
    order = make_roster(names[0], table).order_of(dict.fromkeys(names, 1.0))
    return order[0]


def address_of(name):
    return settings.Address(
        host=f"10.0.0.{sorted(DOMAIN_OF).index(name)}", port=1
    )


@dataclasses.dataclass(kw_only=True)
class Replica:
    """Revisions of an entry VM's store replica."""

    revision: int = 3
    store_revision: int = 8
    read_revision: int = 9
    follows_store: bool = True


@dataclasses.dataclass(kw_only=True)
class Vm:
    """One entry VM's side of the exchange, with the messages it has sent."""

    name: str
    exchange: domain_news.DomainNewsExchange
    ledger: load_ledger.LoadLedger
    prompt_locations: prompt_locations.PromptLocations
    pressure: pressure.Pressure
    table: peer_table.PeerTable
    relays: roster.Roster
    aggregate: domain_aggregate.DomainAggregate
    sent: list

    def tick(self, now):
        """Let a tenth of a second pass: two ticks."""
        self.exchange.tick(now=now)
        self.exchange.tick(now=now)

    def receive_state_of(self, name, now, sequence=1, **more):
        """Record a state of another entry VM."""
        self.table.record_message(
            name,
            address_of(name),
            start=1,
            sequence=sequence,
            now=now,
            domain=DOMAIN_OF[name],
            processor_cores=1.0,
            **more,
        )


@pytest.fixture
def make_vm():
    """Return a factory of entry VMs that have heard from all others."""

    def make(name, now=0.0):
        sent = []
        table = peer_table.PeerTable(entry_vm=name, domain=DOMAIN_OF[name])
        shared = {
            "ledger": load_ledger.LoadLedger(),
            "prompt_locations": prompt_locations.PromptLocations(
                reuse_seconds=10.0
            ),
            "pressure": pressure.Pressure(),
            "table": table,
            "relays": make_roster(name, table),
            "aggregate": domain_aggregate.DomainAggregate(),
        }
        exchange = domain_news.DomainNewsExchange(
            adaptive=adaptive_load.AdaptiveLoad(
                contended=False, weight_override=lambda id: None
            ),
            entry_vm=name,
            domain=DOMAIN_OF[name],
            port=1,
            start=1,
            replica=Replica(),
            domains=reach.DomainReach(),
            send=lambda news, to: sent.append((news, tuple(to))),
            **shared,
        )
        made = Vm(name=name, exchange=exchange, sent=sent, **shared)
        for other in DOMAIN_OF:
            if other != name:
                made.receive_state_of(other, now)
        return made

    return make


@pytest.fixture
def relay(make_vm):
    return make_vm(first_in_order("n-1", "n-2"))


@pytest.fixture
def remote_relay(make_vm):
    return make_vm(first_in_order("s-1", "s-2"))


def neighbour_of(vm):
    return next(
        one
        for one in DOMAIN_OF
        if one != vm.name and DOMAIN_OF[one] == DOMAIN_OF[vm.name]
    )


def begin_request(vm, tokens, now):
    request = loads.InFlightRequest(
        upstream="u-1", new_tokens=tokens, sensitivity=0.0
    )
    vm.ledger.begin(request, now=now)


def test_relay_sums_up_its_domain_and_the_remote_relay_forwards_it(
    relay, remote_relay
):
    """An entry VM of another domain must count the load of each VM once.

    Here two entry VMs of one domain send long prompts to the same runner.
    """
    begin_request(relay, 3000.0, now=0.0)
    relay.ledger.apply_report(
        neighbour_of(relay),
        {"u-1": loads.Load(waiting_by_tier=(4000.0,), running=1)},
        now=0.0,
    )
    relay.tick(now=0.1)
    news, addresses = relay.sent[-1]
    assert address_of(remote_relay.name) in addresses
    assert peer_loads.from_rows(news.loads)["u-1"].running == 2
    remote_relay.exchange.receive(
        news, host=address_of(relay.name).host, now=0.1
    )
    known = remote_relay.ledger.load_of("u-1", now=0.1)
    assert (known.running, known.waiting_tokens) == (2, 7000.0)
    forwarded, neighbours = remote_relay.sent[-1]
    assert forwarded == news
    assert neighbours == (address_of(neighbour_of(remote_relay)),)


def test_relay_reports_the_store_revisions_of_its_domain(relay, remote_relay):
    relay.tick(now=0.1)
    news, _ = relay.sent[-1]
    assert (news.revision, news.store_revision, news.read_revision) == (3, 8, 9)
    assert news.reads_store
    assert remote_relay.exchange.receive(
        news, host=address_of(relay.name).host, now=0.1
    )
    assert remote_relay.exchange._domains.is_reading("north")


def test_forwarded_news_are_not_forwarded_again(make_vm, relay, remote_relay):
    relay.tick(now=0.1)
    news, _ = relay.sent[-1]
    other = make_vm(neighbour_of(remote_relay))
    other.exchange.receive(
        news, host=address_of(remote_relay.name).host, now=0.1
    )
    assert other.sent == []


def test_remote_load_is_not_reported_back(relay, remote_relay):
    begin_request(remote_relay, 3000.0, now=0.0)
    remote_relay.tick(now=0.1)
    relay.exchange.receive(
        remote_relay.sent[-1][0],
        host=address_of(remote_relay.name).host,
        now=0.1,
    )
    relay.tick(now=0.2)
    assert relay.sent[-1][0].loads.upstreams == ""


def test_news_that_come_twice_or_late_change_nothing(relay, remote_relay):
    relay.tick(now=0.1)
    first = relay.sent[-1][0]
    begin_request(relay, 3000.0, now=0.2)
    relay.tick(now=0.2)
    second = relay.sent[-1][0]
    host = address_of(relay.name).host
    for news in (second, first, second):
        remote_relay.exchange.receive(news, host=host, now=0.3)
    assert remote_relay.ledger.load_of("u-1", now=0.3).running == 1


def test_second_in_order_sends_when_the_relay_falls_silent_or_stops(
    make_vm, relay
):
    """The relay of a domain is lost.

    If no other entry VM took over, the other domains would drop its last news
    as expired and know nothing of this domain's load.
    """
    other = make_vm(neighbour_of(relay))
    other.tick(now=0.1)
    assert other.sent == []
    other.tick(now=0.1 + roster.SILENT_SECONDS)
    assert len(other.sent) == 1
    other.receive_state_of(relay.name, 3.0, sequence=2)
    other.tick(now=3.0)
    assert len(other.sent) == 1
    other.receive_state_of(relay.name, 3.1, sequence=3, stopping=True)
    other.tick(now=3.1)
    assert len(other.sent) == 2


def test_known_remote_relay_is_the_only_recipient(relay, remote_relay):
    """Until it is known, the first two of its domain get the news."""
    relay.tick(now=0.1)
    assert len(relay.sent[-1][1]) == 2
    remote_relay.tick(now=0.1)
    relay.exchange.receive(
        remote_relay.sent[-1][0],
        host=address_of(remote_relay.name).host,
        now=0.1,
    )
    relay.tick(now=0.2)
    assert relay.sent[-1][1] == (address_of(remote_relay.name),)
    relay.tick(now=2.0)
    assert len(relay.sent[-1][1]) == 2


def test_placements_and_pressed_tiers_reach_other_domains(relay, remote_relay):
    relay.prompt_locations.record_placement("part", "u-1", now=0.0)
    for _ in range(pressure.MIN_REJECTIONS):
        relay.pressure.record_rejection("pool", 1, now=0.0)
    relay.tick(now=0.1)
    remote_relay.exchange.receive(
        relay.sent[-1][0], host=address_of(relay.name).host, now=0.1
    )
    assert remote_relay.prompt_locations.has("part", "u-1", now=0.1)
    assert remote_relay.pressure.higher_tier_pressed("pool", 2, now=0.1)


async def test_loads_reach_entry_vms_of_another_domain(world_of):
    """Three routers in two domains exchange messages over real sockets."""
    north = await world_of("n-1", domain="north")
    await north.declare(make_stream_route())
    await north.add_upstream(answer_events(b"id: 1\n\n", then="hang"))
    souths = [await world_of(name, domain="south") for name in ("s-1", "s-2")]
    for south in souths:
        await south.ready()
        await wait_for(lambda south=south: south.router.peer_count == 2)
    caller = await north.caller()
    caller.send(
        "/lookups/1", method="POST", body=b"x", headers=["Tokens: 5000"]
    )
    for south in souths:
        await wait_for(
            lambda south=south: south.router.known_running("u-1") == 1
        )
    caller.writer.close()
    for south in souths:
        await wait_for(
            lambda south=south: south.router.known_running("u-1") == 0
        )
