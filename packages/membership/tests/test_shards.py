"""Shard summaries reach the domains that need them; the newest wins."""

from lagoonrun_membership import shards
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import messages


def _one_region(domain):
    return ""


def test_domains_receive_from_a_limited_number_of_others():
    domains = [f"domain-{n}" for n in range(30)]
    source_counts = dict.fromkeys(domains, 0)
    for domain in domains:
        for receiver in shards.receiving_domains(
            domain, domains, count=4, region_of=_one_region
        ):
            source_counts[receiver] += 1
    assert set(source_counts.values()) == {4}
    few = domains[:4]
    for domain in few:
        receivers = shards.receiving_domains(
            domain, few, count=4, region_of=_one_region
        )
        assert set(receivers) == set(few) - {domain}


def test_domains_receive_from_their_own_region_first():
    domains = [f"domain-{n}" for n in range(12)]
    regions_by_domain = {d: str(n % 3) for n, d in enumerate(domains)}
    for domain in domains:
        receivers = shards.receiving_domains(
            domain,
            domains,
            count=4,
            region_of=regions_by_domain.__getitem__,
        )
        same_region = {
            other
            for other in domains
            if regions_by_domain[other] == regions_by_domain[domain]
        }
        assert same_region - {domain} <= set(receivers)


def test_newest_summary_wins_in_any_order():
    table = shards.ShardTable(domain="south", timing=timings.Timing())

    def summary(free, age):
        return messages.ShardSummary(
            shard="scans@north/0",
            dispatcher="vm-1",
            free=free,
            lowest_waiting_tier=0,
            lowest_running_tier=0,
            wait_seconds=0.0,
            age_seconds=age,
        )

    table.apply(summary(5, 1.0), now=100.0)
    table.apply(summary(1, 4.0), now=102.0)
    table.apply(summary(7, 0.5), now=103.0)
    seen = table.by_shard(104.0)["scans@north/0"]
    assert (seen.free, seen.age_seconds) == (7, 1.5)
    assert table.by_shard(113.0) == {}
    assert table.summary("scans@north/0", 104.0) == seen
    assert table.summary("scans@north/0", 113.0) is None


def test_single_summaries_equal_those_of_the_whole_table():
    table = shards.ShardTable(domain="south", timing=timings.Timing())

    def summary(shard, age):
        return messages.ShardSummary(
            shard=shard,
            dispatcher="vm-1",
            free=1,
            lowest_waiting_tier=0,
            lowest_running_tier=0,
            wait_seconds=0.0,
            age_seconds=age,
        )

    table.announce([summary("scans@south/0", 0.0)], now=100.0)
    table.apply(summary("scans@north/0", 2.0), now=100.0)
    for now in (100.0, 107.0, 109.0, 111.0):
        whole = table.by_shard(now)
        for shard in ("scans@south/0", "scans@north/0", "scans@west/0"):
            assert table.summary(shard, now) == whole.get(shard)


def test_other_regions_follow_the_own_region_in_turn():
    regions = {f"domain-{n}": f"region-{n % 4}" for n in range(10)}
    sources_by_receiver = {receiver: set() for receiver in regions}
    for domain in regions:
        for receiver in shards.receiving_domains(
            domain, regions, count=4, region_of=regions.get
        ):
            sources_by_receiver[receiver].add(domain)
    for receiver, domains in sources_by_receiver.items():
        own = {d for d in regions if regions[d] == regions[receiver]} - {
            receiver
        }
        assert own <= domains
        other_regions = [regions[d] for d in domains - own]
        assert len(domains) == 4
        assert len(set(other_regions)) == min(len(other_regions), 3)


def test_one_slot_is_left_for_other_regions():
    regions = dict.fromkeys((f"domain-{n}" for n in range(9)), "large")
    regions["domain-9"] = "small"
    receivers = [
        receiver
        for receiver in regions
        if receiver
        in shards.receiving_domains(
            "domain-9", regions, count=4, region_of=regions.get
        )
    ]
    assert len(receivers) == 9
