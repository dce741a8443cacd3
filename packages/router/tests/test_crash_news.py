"""Crash records reach all entry VMs although datagrams are lost."""

import random

import pytest

from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import (
    answer_times,
    crash_evidence,
    crash_news,
    crash_records,
    news_broadcaster,
    peer_table,
    running_requests,
    settings,
)

NOW = 1000.0
NEIGHBOURS = {
    f"vm-{n}": settings.Address(host="10.1.0.1", port=n) for n in (2, 3, 4)
}
REMOTE = settings.Address(host="10.2.0.1", port=9)
RELAY = settings.Address(host="10.2.0.1", port=8)
TICKS_PER_SECOND = 20


class FakeFleet:
    """Relays of a fleet, as set by the test."""

    def __init__(self):
        self.leading = False

    def remote_relay_addresses(self):
        """Return one relay."""
        return (RELAY,)

    def is_relay(self):
        """Return the value set by the test."""
        return self.leading


def record(number, *, seen_at=NOW, **more):
    return crash_records.CrashRecord(
        request=f"r-{number}",
        instance=running_requests.UpstreamInstance(upstream="u-1", start=7),
        route="lookups",
        seen_at=seen_at,
        **{"ran_seconds": 0.05, **more},
    )


@pytest.fixture
def fleet():
    return FakeFleet()


@pytest.fixture
def evidence():
    return crash_evidence.CrashEvidence()


@pytest.fixture
def sent():
    return []


@pytest.fixture
def news(fleet, evidence, sent):
    table = peer_table.PeerTable(entry_vm="vm-1", domain="north")
    for name, address in NEIGHBOURS.items():
        table.add(name, address, "north")
    table.add("far-1", REMOTE, "south")
    return crash_news.CrashNewsExchange(
        entry_vm="vm-1",
        domain="north",
        broadcaster=news_broadcaster.NewsBroadcaster(
            domain="north",
            table=table,
            fleet=fleet,
            send=lambda message, to: sent.append((message, tuple(to))),
            rng=random.Random(1),
        ),
        records=evidence.records,
    )


def test_crash_is_sent_to_neighbours_and_other_domains_at_once(news, sent):
    news.broadcast((record(1),), now=NOW + 0.5)
    assert {one for _, to in sent for one in to} == {
        *NEIGHBOURS.values(),
        RELAY,
    }
    message = router_codec.decode(router_codec.encode(sent[0][0]))
    (decoded,) = crash_news.records_of(message, now=NOW + 2.5)
    assert decoded == record(1, seen_at=NOW + 2.0)


def test_new_records_are_repeated_to_a_neighbour_and_a_remote_entry_vm(
    news, evidence, sent
):
    """If the first datagrams are lost, repetitions reach all in two seconds."""
    evidence.merge(record(1), now=NOW)
    for _ in range(3 * TICKS_PER_SECOND):
        news.tick(now=NOW + 1.0)
    reached = {one for _, to in sent for one in to}
    assert reached == {*NEIGHBOURS.values(), REMOTE}
    assert all(len(to) == 2 for _, to in sent)
    assert len(sent) <= 4 * 3


def test_all_old_records_are_repeated_at_a_low_rate(news, evidence, sent):
    """A failure domain that was cut off receives the crashes it has missed."""
    old = NOW - crash_news.NEWS_SECONDS - 1.0
    for number in range(100):
        evidence.merge(record(number, seen_at=old), now=NOW)
    for _ in range(12 * TICKS_PER_SECOND):
        news.tick(now=NOW)
    repeated = {one.request for message, _ in sent for one in message.runs}
    assert len(repeated) == 100
    assert len(sent) <= 12


def test_many_new_records_are_sent_in_limited_messages(news, evidence, sent):
    for number in range(1000):
        evidence.merge(record(number), now=NOW)
    for _ in range(TICKS_PER_SECOND):
        news.tick(now=NOW)
    assert len(sent) <= 4
    assert all(len(router_codec.encode(one)) < 4096 for one, _ in sent)


def test_nothing_is_sent_without_a_crash(news, sent):
    for _ in range(10 * TICKS_PER_SECOND):
        news.tick(now=NOW)
    assert sent == []


def test_relay_forwards_new_records_of_another_domain(news, fleet, sent):
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
    assert [to for _, to in sent] == [tuple(NEIGHBOURS.values())]


def test_answer_that_is_told_to_and_fro_does_not_become_newer(
    news, fleet, sent
):
    """Guards against answers that clear later crashes after many repetitions."""
    fleet.leading = True
    answer = answer_times.Answer(suspect="part", version="v1", begun_at=NOW)
    now = NOW
    for _ in range(50):
        news.forward_answers(
            router_messages.CrashNews(entry_vm="far-1", domain="south"),
            (answer,),
            now=now,
        )
        now += 0.05
        message = router_codec.decode(router_codec.encode(sent[-1][0]))
        (answer,) = crash_news.answers_of(message, now=now)
        assert answer.begun_at <= NOW


def test_run_without_a_stated_duration_is_no_run_that_had_just_begun():
    """Guards against blocking bystanders on records of an earlier release."""
    run = router_messages.CrashedRun(
        request="one",
        route="lookups",
        upstream="u-1",
        start=1,
        age_milliseconds=0,
    )
    news = router_messages.CrashNews(
        entry_vm="vm-2", domain="north", runs=(run,)
    )
    received = router_codec.decode(router_codec.encode(news))
    (unstated,) = crash_news.records_of(received, now=NOW)
    assert unstated.ran_seconds >= 0.25


def test_shortest_run_states_its_duration(news, sent):
    news.broadcast((record(1, ran_seconds=0.0001),), now=NOW)
    (received,) = crash_news.records_of(sent[-1][0], now=NOW)
    assert received.ran_seconds < 0.01
