"""News that two neighbours both forward, each considering itself the relay."""

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
MAX_MESSAGES = 20


class AlwaysRelay:
    """Relays of the fleet, as seen by an entry VM that considers itself one."""

    def remote_relay_addresses(self):
        """Return none: messages to the other domain are not simulated."""
        return ()

    def is_relay(self):
        """Return true for each entry VM."""
        return True


class Pair:
    """Two neighbours, and the messages in transit between them."""

    def __init__(self, make_exchange):
        self.in_transit = []
        self.sent = 0
        self.exchanges = [
            make_exchange(f"vm-{n}", self._broadcaster(n)) for n in range(2)
        ]

    def _broadcaster(self, number):
        table = peer_table.PeerTable(entry_vm=f"vm-{number}", domain="north")
        other = f"vm-{1 - number}"
        address = settings.Address(host=other, port=1)
        table.add(other, address, "north")

        def send(message, addresses):
            for _ in addresses:
                self.sent += 1
                self.in_transit.append((1 - number, message))

        return news_broadcaster.NewsBroadcaster(
            domain="north",
            table=table,
            fleet=AlwaysRelay(),
            send=send,
            rng=random.Random(1),
        )

    def run(self, *messages):
        """Deliver messages of another domain and all that follow."""
        self.in_transit = [(n, one) for one in messages for n in range(2)]
        for step in itertools.count():
            if not self.in_transit or self.sent > MAX_MESSAGES:
                return
            number, message = self.in_transit.pop(0)
            now = NOW + step * HOP_SECONDS
            self.exchanges[number].receive(message, now=now)


def rest_exchange(name, broadcaster):
    return rest_news.RestNewsExchange(
        entry_vm=name,
        domain="north",
        rests=upstream_rests.UpstreamRests(rng=random.Random(1)),
        broadcaster=broadcaster,
    )


def limit_exchange(name, broadcaster):
    return limit_news.LimitNewsExchange(
        entry_vm=name,
        domain="north",
        limits=upstream_limits.UpstreamLimits(),
        broadcaster=broadcaster,
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
    ("make_exchange", "messages"),
    [
        (rest_exchange, (rest(3000),)),
        (rest_exchange, (rest(3000), rest(3001))),
        (limit_exchange, (limit(1500, 5),)),
        (limit_exchange, (limit(1500, 5), limit(0, 4))),
        (limit_exchange, (limit(0, 4), limit(1500, 5))),
    ],
)
def test_forwarding_between_two_relays_terminates(make_exchange, messages):
    """Guards against news that two relays forward to each other for ever."""
    pair = Pair(make_exchange)
    pair.run(*messages)
    assert pair.sent <= MAX_MESSAGES
