"""News of a whole failure domain, by one entry VM of it to all others."""

import dataclasses

import pytest

from lagoonrun_router import (
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


def relays_of(name, table):
    return roster.Roster(
        duty="relay",
        wanted_count=2,
        own=name,
        others=table,
    )


def first_of(*names):
    table = peer_table.PeerTable(entry_vm=names[0], domain="any")
    order = relays_of(names[0], table).order_of(dict.fromkeys(names, 1.0))
    return order[0]


def address_of(name):
    return settings.Address(
        host=f"10.0.0.{sorted(DOMAIN_OF).index(name)}", port=1
    )


@dataclasses.dataclass(kw_only=True)
class Replica:
    """What an entry VM knows of the store."""

    revision: int = 3
    store_revision: int = 8
    read_revision: int = 9
    follows_store: bool = True


@dataclasses.dataclass(kw_only=True)
class Vm:
    """One entry VM's part in the exchange, with what it has sent."""

    name: str
    exchange: domain_news.DomainNewsExchange
    ledger: load_ledger.LoadLedger
    prompt_locations: prompt_locations.PromptLocations
    pressed: pressure.Pressure
    table: peer_table.PeerTable
    relays: roster.Roster
    aggregate: domain_aggregate.DomainAggregate
    sent: list

    def tick(self, now):
        """Let a tenth of a second pass."""
        self.exchange.tick(now=now)
        self.exchange.tick(now=now)

    def hear_of(self, name, now, sequence=1, **more):
        """Take in another one's state."""
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
def vm_of():
    """Return a function that makes an entry VM that has heard all others."""

    def make(name, now=0.0):
        sent = []
        table = peer_table.PeerTable(entry_vm=name, domain=DOMAIN_OF[name])
        shared = {
            "ledger": load_ledger.LoadLedger(),
            "prompt_locations": prompt_locations.PromptLocations(
                reuse_seconds=10.0
            ),
            "pressed": pressure.Pressure(),
            "table": table,
            "relays": relays_of(name, table),
            "aggregate": domain_aggregate.DomainAggregate(),
        }
        exchange = domain_news.DomainNewsExchange(
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
                made.hear_of(other, now)
        return made

    return make


@pytest.fixture
def relay(vm_of):
    return vm_of(first_of("n-1", "n-2"))


@pytest.fixture
def far_relay(vm_of):
    return vm_of(first_of("s-1", "s-2"))


def neighbour_of(vm):
    return next(
        one
        for one in DOMAIN_OF
        if one != vm.name and DOMAIN_OF[one] == DOMAIN_OF[vm.name]
    )


def begin(vm, tokens, now):
    work = loads.InFlightRequest(
        upstream="u-1", new_tokens=tokens, sensitivity=0.0
    )
    vm.ledger.begin(work, now=now)


def test_relay_sums_up_its_domain_and_the_other_hands_it_on(relay, far_relay):
    """Two entry VMs of one domain send long prompts to the same runner.

    An entry VM of another domain has to know of both, and of nothing twice.
    """
    begin(relay, 3000.0, now=0.0)
    relay.ledger.apply_report(
        neighbour_of(relay),
        {"u-1": loads.Load(waiting_by_tier=(4000.0,), running=1)},
        now=0.0,
    )
    relay.tick(now=0.1)
    news, addresses = relay.sent[-1]
    assert address_of(far_relay.name) in addresses
    assert peer_loads.from_rows(news.loads)["u-1"].running == 2
    far_relay.exchange.receive(news, host=address_of(relay.name).host, now=0.1)
    known = far_relay.ledger.load_of("u-1", now=0.1)
    assert (known.running, known.waiting_tokens) == (2, 7000.0)
    handed_on, neighbours = far_relay.sent[-1]
    assert handed_on == news
    assert neighbours == (address_of(neighbour_of(far_relay)),)


def test_relay_tells_what_its_domain_knows_of_the_store(relay, far_relay):
    relay.tick(now=0.1)
    news, _ = relay.sent[-1]
    assert (news.revision, news.store_revision, news.read_revision) == (3, 8, 9)
    assert news.reads_store
    assert far_relay.exchange.receive(
        news, host=address_of(relay.name).host, now=0.1
    )
    assert far_relay.exchange._domains.is_reading("north")


def test_news_that_were_handed_on_go_no_further(vm_of, relay, far_relay):
    relay.tick(now=0.1)
    news, _ = relay.sent[-1]
    other = vm_of(neighbour_of(far_relay))
    other.exchange.receive(news, host=address_of(far_relay.name).host, now=0.1)
    assert other.sent == []


def test_far_work_is_not_told_back(relay, far_relay):
    begin(far_relay, 3000.0, now=0.0)
    far_relay.tick(now=0.1)
    relay.exchange.receive(
        far_relay.sent[-1][0], host=address_of(far_relay.name).host, now=0.1
    )
    relay.tick(now=0.2)
    assert relay.sent[-1][0].loads.upstreams == ""


def test_news_that_come_twice_or_late_change_nothing(relay, far_relay):
    relay.tick(now=0.1)
    first = relay.sent[-1][0]
    begin(relay, 3000.0, now=0.2)
    relay.tick(now=0.2)
    second = relay.sent[-1][0]
    host = address_of(relay.name).host
    for news in (second, first, second):
        far_relay.exchange.receive(news, host=host, now=0.3)
    assert far_relay.ledger.load_of("u-1", now=0.3).running == 1


def test_another_speaks_when_the_relay_falls_silent_or_stops(vm_of, relay):
    """The entry VM that spoke for its domain is lost.

    Its like in other domains would take the last news for old and know
    nothing of the work here, if no other took its place.
    """
    other = vm_of(neighbour_of(relay))
    other.tick(now=0.1)
    assert other.sent == []
    other.tick(now=0.1 + roster.SILENT_SECONDS)
    assert len(other.sent) == 1
    other.hear_of(relay.name, 3.0, sequence=2)
    other.tick(now=3.0)
    assert len(other.sent) == 1
    other.hear_of(relay.name, 3.1, sequence=3, stopping=True)
    other.tick(now=3.1)
    assert len(other.sent) == 2


def test_relay_that_is_heard_gets_the_news_alone(relay, far_relay):
    """Until it is, the first two of its domain get them."""
    relay.tick(now=0.1)
    assert len(relay.sent[-1][1]) == 2
    far_relay.tick(now=0.1)
    relay.exchange.receive(
        far_relay.sent[-1][0], host=address_of(far_relay.name).host, now=0.1
    )
    relay.tick(now=0.2)
    assert relay.sent[-1][1] == (address_of(far_relay.name),)
    relay.tick(now=2.0)
    assert len(relay.sent[-1][1]) == 2


def test_placements_and_pressed_tiers_reach_other_domains(relay, far_relay):
    relay.prompt_locations.record_placement("part", "u-1", now=0.0)
    for _ in range(pressure.LEAST_REQUESTS):
        relay.pressed.record_rejection("pool", 1, now=0.0)
    relay.tick(now=0.1)
    far_relay.exchange.receive(
        relay.sent[-1][0], host=address_of(relay.name).host, now=0.1
    )
    assert far_relay.prompt_locations.has("part", "u-1", now=0.1)
    assert far_relay.pressed.higher_tier_pressed("pool", 2, now=0.1)


async def test_loads_reach_entry_vms_of_another_domain(world_of):
    """Three entry VMs in two domains, as processes on sockets."""
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
