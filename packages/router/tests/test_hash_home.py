"""Homes of shared parts that all entry VMs find alike."""

from lagoonrun_router import hash_home
from lagoonrun_standins.router_samples import make_registration

PARTS = [f"part-{number}" for number in range(300)]


def upstreams(domain, count):
    return tuple(
        make_registration(f"{domain}-{number}", domain=domain)
        for number in range(count)
    )


def homes(registered, domain="north"):
    return {
        part: hash_home.of(part, registered, domain=domain) for part in PARTS
    }


def test_all_entry_vms_of_a_domain_agree_whatever_the_order():
    registered = upstreams("north", 5) + upstreams("south", 5)
    assert homes(registered) == homes(registered[::-1])


def test_domain_has_homes_of_its_own():
    registered = upstreams("north", 5) + upstreams("south", 5)
    assert {one.split("-")[0] for one in homes(registered).values()} == {
        "north"
    }


def test_small_domain_shares_the_homes_of_all():
    registered = upstreams("north", 2) + upstreams("south", 5)
    assert homes(registered, "north") == homes(registered, "west")


def test_parts_are_spread_over_all():
    counts = list(homes(upstreams("north", 5)).values())
    assert all(30 < counts.count(f"north-{n}") < 90 for n in range(5))


def test_only_the_parts_of_a_lost_upstream_move():
    registered = upstreams("north", 6)
    before, after = homes(registered), homes(registered[:-1])
    moved = [part for part in PARTS if before[part] != after[part]]
    assert all(before[part] == "north-5" for part in moved)
