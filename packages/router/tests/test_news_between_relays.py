"""News that two entry VMs hand on at a time, each as the relay of its domain."""

import itertools
import random

import pytest

from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    limit_news,
    news_broadcaster,
    peer_table,
    rest_news,
    settings,
    upstream_limits,
    upstream_rests,
)

NOW = 1000.0
HOP_SECONDS = 0.002
MOST_MESSAGES = 20


class Leads:
    """Each entry VM takes itself for the relay."""

    def remote_relay_addresses(self):
        """Return nobody: the other domain is not of interest."""
        return ()

    def is_relay(self):
        """Return what each believes."""
        return True


class Pair:
    """Two neighbours, and the messages between them that are under way."""

    def __init__(self, exchange_of):
        self.under_way = []
        self.sent = 0
        self.exchanges = [
            exchange_of(f"vm-{n}", self._spreader(n)) for n in range(2)
        ]

    def _spreader(self, number):
        table = peer_table.PeerTable(entry_vm=f"vm-{number}", domain="north")
        other = f"vm-{1 - number}"
        address = settings.Address(host=other, port=1)
        table.add(other, address, "north")

        def send(message, addresses):
            for _ in addresses:
                self.sent += 1
                self.under_way.append((1 - number, message))

        return news_broadcaster.NewsBroadcaster(
            domain="north",
            table=table,
            fleet=Leads(),
            send=send,
            rng=random.Random(1),
        )

    def run(self, *messages):
        """Deliver messages of another domain, and all that they bring about."""
        self.under_way = [(n, one) for one in messages for n in range(2)]
        for step in itertools.count():
            if not self.under_way or self.sent > MOST_MESSAGES:
                return
            number, message = self.under_way.pop(0)
            now = NOW + step * HOP_SECONDS
            self.exchanges[number].take(message, now=now)


def rest_exchange(name, spreader):
    return rest_news.RestNewsExchange(
        entry_vm=name,
        domain="north",
        rests=upstream_rests.UpstreamRests(rng=random.Random(1)),
        spreader=spreader,
    )


def limit_exchange(name, spreader):
    return limit_news.LimitNewsExchange(
        entry_vm=name,
        domain="north",
        limits=upstream_limits.UpstreamLimits(),
        spreader=spreader,
    )


def rest(milliseconds):
    return router_messages.RestNews(
        entry_vm="far-1",
        domain="south",
        upstream="u-1",
        start=1,
        left_milliseconds=milliseconds,
    )


def limit(thousandths, age_milliseconds):
    return router_messages.LimitNews(
        entry_vm="far-1",
        domain="south",
        limits=(
            router_messages.UpstreamLimit(
                upstream="u-1",
                start=1,
                thousandths_per_second=thousandths,
                age_milliseconds=age_milliseconds,
            ),
        ),
    )


@pytest.mark.parametrize(
    ("exchange_of", "messages"),
    [
        (rest_exchange, (rest(3000),)),
        (rest_exchange, (rest(3000), rest(3001))),
        (limit_exchange, (limit(1500, 5),)),
        (limit_exchange, (limit(1500, 5), limit(0, 4))),
        (limit_exchange, (limit(0, 4), limit(1500, 5))),
    ],
)
def test_news_that_two_relays_hand_on_comes_to_rest(exchange_of, messages):
    """Guards against news that goes round between relays for ever."""
    pair = Pair(exchange_of)
    pair.run(*messages)
    assert pair.sent <= MOST_MESSAGES
