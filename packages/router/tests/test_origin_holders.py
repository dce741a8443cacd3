"""Which entry VMs keep the origin of a stream, and which are asked for it."""

import random

import pytest

from lagoonrun_router import origin_holders

DOMAINS = ("north", "south", "east", "west", "hill")


def fleet(per_domain, domains=DOMAINS):
    return {
        domain: [f"{domain}-{number}" for number in range(per_domain)]
        for domain in domains
    }


def without(fleet_by_domain, *lost):
    return {
        domain: [one for one in entry_vms if one not in lost]
        for domain, entry_vms in fleet_by_domain.items()
    }


@pytest.mark.parametrize("per_domain", [1, 2, 3, 102])
def test_holders_are_asked_after_the_sender_is_lost(per_domain):
    """Guards against a record that nobody finds."""
    everyone = fleet(per_domain)
    rng = random.Random(1)
    for number in range(50):
        domain = rng.choice(DOMAINS)
        sender = rng.choice(everyone[domain])
        peers = without(everyone, sender)
        told = origin_holders.holders(f"r-{number}", peers, own_domain=domain)
        assert len(told) == 2
        assert sender not in told
        for view in (everyone, peers):
            asked = origin_holders.asked(f"r-{number}", view)
            assert set(told) <= set(asked)
            assert len(asked) <= 3 * len(DOMAINS)


def test_holders_are_in_two_failure_domains():
    """Guards against a record that is lost with a failure domain."""
    for number in range(50):
        told = origin_holders.holders(
            f"r-{number}", fleet(4), own_domain="north"
        )
        assert told[0].startswith("north")
        assert not told[1].startswith("north")


def test_lone_domain_keeps_two_copies():
    told = origin_holders.holders(
        "r-1", fleet(3, domains=("north",)), own_domain="north"
    )
    assert len(set(told)) == 2
    assert origin_holders.holders("r-1", {}, own_domain="north") == ()


def test_records_are_spread_over_all_entry_vms():
    """Guards against one entry VM that keeps the records of the whole fleet."""
    peers = fleet(10, domains=("north", "south"))
    told = [
        origin_holders.holders(f"r-{number}", peers, own_domain="north")
        for number in range(2000)
    ]
    counts = {}
    for one in (holder for pair in told for holder in pair):
        counts[one] = counts.get(one, 0) + 1
    assert len(counts) == 20
    assert max(counts.values()) < 2 * 200
