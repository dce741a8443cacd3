"""Crashes become known to all entry VMs, though datagrams are lost."""

import random

import pytest

from lagoonrun_protocol import router_codec
from lagoonrun_router import (
    crash_evidence,
    crash_news,
    news_broadcaster,
    peer_table,
    running_requests,
    settings,
)

NOW = 1000.0
NEAR = {f"vm-{n}": settings.Address(host="10.1.0.1", port=n) for n in (2, 3, 4)}
FAR = settings.Address(host="10.2.0.1", port=9)
RELAY = settings.Address(host="10.2.0.1", port=8)
TICKS_PER_SECOND = 20


class Fleet:
    """Who the relays are."""

    def __init__(self):
        self.leading = False

    def remote_relay_addresses(self):
        """Return one relay."""
        return (RELAY,)

    def is_relay(self):
        """Return what the test says."""
        return self.leading


def record(number, *, seen_at=NOW, **more):
    return crash_evidence.CrashRecord(
        request=f"r-{number}",
        at=running_requests.UpstreamInstance(upstream="u-1", start=7),
        route="lookups",
        seen_at=seen_at,
        **more,
    )


@pytest.fixture
def fleet():
    return Fleet()


@pytest.fixture
def evidence():
    return crash_evidence.CrashEvidence()


@pytest.fixture
def sent():
    return []


@pytest.fixture
def news(fleet, evidence, sent):
    table = peer_table.PeerTable(entry_vm="vm-1", domain="north")
    for name, address in NEAR.items():
        table.add(name, address, "north")
    table.add("far-1", FAR, "south")
    return crash_news.CrashNewsExchange(
        entry_vm="vm-1",
        domain="north",
        spreader=news_broadcaster.NewsBroadcaster(
            domain="north",
            table=table,
            fleet=fleet,
            send=lambda message, to: sent.append((message, tuple(to))),
            rng=random.Random(1),
        ),
        records=evidence.records,
    )


def test_crash_is_told_to_neighbours_and_other_domains_at_once(news, sent):
    news.broadcast((record(1),), now=NOW + 0.5)
    assert {one for _, to in sent for one in to} == {*NEAR.values(), RELAY}
    message = router_codec.decode(router_codec.encode(sent[0][0]))
    (told,) = crash_news.records_of(message, now=NOW + 2.5)
    assert told == record(1, seen_at=NOW + 2.0)


def test_news_is_repeated_to_one_near_and_one_far(news, evidence, sent):
    """The first datagrams are lost; the next reach all within a second or two."""
    evidence.take(record(1), now=NOW)
    for _ in range(3 * TICKS_PER_SECOND):
        news.tick(now=NOW + 1.0)
    reached = {one for _, to in sent for one in to}
    assert reached == {*NEAR.values(), FAR}
    assert all(len(to) == 2 for _, to in sent)
    assert len(sent) <= 4 * 3


def test_old_records_are_repeated_seldom_and_all(news, evidence, sent):
    """A failure domain that was cut off hears of what came meanwhile."""
    old = NOW - crash_news.NEWS_SECONDS - 1.0
    for number in range(100):
        evidence.take(record(number, seen_at=old), now=NOW)
    for _ in range(12 * TICKS_PER_SECOND):
        news.tick(now=NOW)
    told = {one.request for message, _ in sent for one in message.runs}
    assert len(told) == 100
    assert len(sent) <= 12


def test_flood_of_news_is_told_in_part(news, evidence, sent):
    for number in range(1000):
        evidence.take(record(number), now=NOW)
    for _ in range(TICKS_PER_SECOND):
        news.tick(now=NOW)
    assert len(sent) <= 4
    assert all(len(router_codec.encode(one)) < 4096 for one, _ in sent)


def test_nothing_is_said_without_a_crash(news, sent):
    for _ in range(10 * TICKS_PER_SECOND):
        news.tick(now=NOW)
    assert sent == []


def test_relay_hands_on_what_is_new_from_another_domain(news, fleet, sent):
    news.broadcast((record(1),), now=NOW)
    message = sent[0][0]
    far = type(message)(entry_vm="far-1", domain="south", runs=message.runs)
    sent.clear()
    news.forward(far, (record(1),), now=NOW)
    assert sent == []
    fleet.leading = True
    news.forward(far, (), now=NOW)
    news.forward(message, (record(1),), now=NOW)
    assert sent == []
    news.forward(far, (record(1),), now=NOW)
    assert [to for _, to in sent] == [tuple(NEAR.values())]
