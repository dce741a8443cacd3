"""Homes of shared parts that all entry VMs find alike."""

from lagoonrun_router import hash_home
from lagoonrun_standins.router_samples import make_registration

PARTS = [f"part-{number}" for number in range(300)]


def upstreams(domain, count):
    return tuple(
        make_registration(f"{domain}-{number}", domain=domain)
        for number in range(count)
    )


def homes(registered):
    return {part: hash_home.of(part, registered) for part in PARTS}


def test_all_entry_vms_agree_whatever_the_order():
    registered = upstreams("north", 5) + upstreams("south", 5)
    assert homes(registered) == homes(registered[::-1])


def test_domains_share_one_home():
    """Each domain with a home of its own reads every part once more.

    In a large fleet a part is used about once in ten seconds; three readings
    in place of one left the engines no time for anything else.
    """
    registered = upstreams("north", 5) + upstreams("south", 5)
    domains = [one.split("-")[0] for one in homes(registered).values()]
    assert 100 < domains.count("north") < 200


def test_parts_are_spread_over_all():
    counts = list(homes(upstreams("north", 5)).values())
    assert all(30 < counts.count(f"north-{n}") < 90 for n in range(5))


def test_only_the_parts_of_a_lost_upstream_move():
    registered = upstreams("north", 6)
    before, after = homes(registered), homes(registered[:-1])
    moved = [part for part in PARTS if before[part] != after[part]]
    assert all(before[part] == "north-5" for part in moved)
