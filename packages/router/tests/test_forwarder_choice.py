"""The order in which peers are asked to forward a connection."""

import collections
import random

import pytest

from lagoonrun_router import forwarder_choice, peer_table, reach, settings


def make_choice(peers, *, seed=1, silent=()):
    """Return a choice over peers, given as domains by name."""
    table = peer_table.PeerTable(entry_vm="own", domain="north")
    domains = reach.DomainReach()
    for number, (peer, domain) in enumerate(peers.items()):
        table.record_message(
            peer,
            settings.Address(
                host=f"10.0.{number // 250}.{number % 250}", port=1
            ),
            start=1,
            sequence=1,
            now=0.0 if domain in silent else 9.9,
            domain=domain,
        )
        domains.record_contact(domain, now=0.0 if domain in silent else 9.9)
    return table, forwarder_choice.ForwarderChoice(
        domain="north", table=table, domains=domains, rng=random.Random(seed)
    )


def names(choice, *, domain="south", count=3, now=10.0):
    return [peer for peer, _ in choice.ordered(domain, count=count, now=now)]


def test_neighbours_come_before_peers_elsewhere():
    """Guards against traffic between failure domains without need."""
    _, choice = make_choice({"s": "south", "e": "east", "n": "north"})
    assert names(choice) == ["n", "s", "e"]


def test_peer_that_failed_is_asked_last_for_a_while():
    """Guards against asking an entry VM again that is cut as well."""
    _, choice = make_choice({"a": "north", "b": "north", "s": "south"})
    choice.record_failed("a", now=10.0)
    assert names(choice)[-1] == "a"
    assert set(names(choice, now=11.0)[:2]) == {"a", "b"}


def test_stopping_peers_are_not_asked():
    """Guards against connections that a planned stop ends."""
    table, choice = make_choice({"a": "north", "b": "north"})
    table.record_message(
        "a",
        settings.Address(host="10.0.0.0", port=1),
        start=1,
        sequence=2,
        now=9.9,
        domain="north",
        stopping=True,
    )
    assert names(choice) == ["b"]


def test_domain_that_is_cut_off_is_asked_last():
    _, choice = make_choice({"s": "south", "e": "east"}, silent=("south",))
    assert names(choice) == ["e", "s"]


@pytest.mark.parametrize("count", [3, 60])
def test_connections_are_spread_over_equal_peers(count):
    """Guards against one entry VM that carries the traffic of all cut ones."""
    peers = {f"n-{number}": "north" for number in range(count)}
    _, choice = make_choice(peers)
    uses = collections.Counter()
    for _ in range(count * 10):
        first = names(choice, count=1)[0]
        uses[first] += 1
        choice.record_opened(first, now=10.0)
    assert max(uses.values()) <= 20


def test_fleet_whose_neighbours_are_few_also_asks_elsewhere():
    """Guards against a failure domain that is cut as a whole."""
    peers = {f"s-{number}": "south" for number in range(300)}
    peers["n"] = "north"
    _, choice = make_choice(peers)
    found = names(choice)
    assert found[0] == "n"
    assert len(found) == 3
