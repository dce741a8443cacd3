"""Long partitions between regions, on an in-memory network."""

import pytest

from lagoonrun_core import types
from lagoonrun_protocol import messages

_DEAD = messages.MemberState.DEAD
_REGIONS = {
    "east": ("east-a", "east-b", "east-c"),
    "north": ("north-a", "north-b", "north-c"),
    "south": ("south-a", "south-b"),
    "west": ("west-a", "west-b"),
}
_REGION_BY_DOMAIN = {
    types.FailureDomain(domain): types.Region(region)
    for region, domains in _REGIONS.items()
    for domain in domains
}


@pytest.fixture
def four_regions(make_network):
    """Return a network of two members in each of ten domains."""
    network = make_network(seed=2)
    network.start_fleet(domains=tuple(_REGION_BY_DOMAIN), per_domain=2)
    for node in network.nodes_by_id.values():
        node.set_regions(_REGION_BY_DOMAIN.get)
    network.introduce_all()
    return network


def _in_region(network, region):
    return [
        name
        for name, node in network.nodes_by_id.items()
        if _REGION_BY_DOMAIN[node.members.own.domain] == region
    ]


def _datagrams_per_second(network, seconds):
    before = network.datagram_count
    network.run(seconds)
    return (network.datagram_count - before) / seconds


def test_region_partition_costs_little_and_heals_within_seconds(four_regions):
    """A region is partitioned from the three others for some minutes.

    Inside it, no member is marked dead. Both sides send about as many
    datagrams as before, since dead members are probed rarely. After the
    partition, all know each other within seconds, without a burst.
    """
    network = four_regions
    steady = _datagrams_per_second(network, 30.0)
    west = _in_region(network, "west")
    rest = [name for name in network.nodes_by_id if name not in west]
    network.partition(west, rest)
    network.run(60.0)
    assert network.everyone_sees(_DEAD, rest, viewers=west)
    assert network.everyone_sees(_DEAD, west, viewers=rest)
    assert network.all_alive(west)
    assert network.all_alive(rest)
    partitioned = _datagrams_per_second(network, 60.0)
    network.heal()
    before = network.datagram_count
    took = network.run_until(network.all_alive, within=10.0)
    healing = (network.datagram_count - before) / took
    assert partitioned <= 1.5 * steady
    assert healing <= 3 * steady


def test_regions_that_forgot_each_other_rejoin(make_network):
    """A partition of two regions lasts until each forgets the other's members.

    The seeds of both were replaced long ago. Without the addresses of lost
    members, neither side would have anyone to probe, and the fleet would stay
    split forever.
    """
    network = make_network()
    network.start("vm-seed", domain="east-a")
    for n, domain in enumerate(("east-a", "west-a", "east-b", "west-a")):
        network.start(f"vm-{n}", domain=domain, seeds=("vm-seed",))
    network.run_until(network.all_alive, within=15.0)
    network.kill("vm-seed")
    network.partition(["vm-0", "vm-2"], ["vm-1", "vm-3"])
    network.run(network.timing.forget_seconds + 60.0)
    assert set(network.states("vm-0")) == {"vm-0", "vm-2"}
    # One of the lost members is replaced during the partition.
    network.kill("vm-3")
    network.start("vm-4", domain="west-a", seeds=("vm-1",))
    network.run(10.0)
    network.heal()
    network.run_until(network.all_alive, within=25.0)


def test_partitioned_region_does_not_count_as_a_source(four_regions):
    """A region is partitioned while dispatchers announce free capacity.

    Each domain receives the summaries of four others. If the lost domains
    still counted, some would receive fewer, and their requests would be
    refused although there is free capacity.
    """
    network = four_regions
    west = _in_region(network, "west")
    rest = [name for name in network.nodes_by_id if name not in west]
    network.partition(west, rest)
    network.run(40.0)
    for name in rest:
        if name.endswith("-0"):
            node = network.nodes_by_id[name]
            summary = messages.ShardSummary(
                shard=types.ShardId(f"scans@{node.members.own.domain}/0"),
                dispatcher=name,
                free=3,
                lowest_waiting_tier=types.Tier(0),
                lowest_running_tier=types.Tier(2),
                wait_seconds=0.0,
            )
            node.shards.announce([summary], now=network.now)
    network.run(6.0)
    for name in rest:
        node = network.nodes_by_id[name]
        own = types.ShardId(f"scans@{node.members.own.domain}/0")
        others = set(node.shards.by_shard(network.now)) - {own}
        assert len(others) == network.timing.summary_domains


def test_round_trips_are_measured_on_probes(network):
    network.run(30.0)
    node = network.nodes_by_id["vm-north-0"]
    for domain in ("south", "west"):
        assert node.round_trip_to(domain) == pytest.approx(0.004)
    assert node.round_trip_to("nowhere") is None
