"""Rounds of an orderer that holds the lease."""

import asyncio

import pytest
import pytest_asyncio

from lagoonrun_core import events, logs, types
from lagoonrun_orders import orderer as orderer_module
from lagoonrun_orders import tenure as tenure_module
from lagoonrun_orders import upstream_orders, weight_budget

DOMAIN = types.FailureDomain("d")
EMPTY = upstream_orders.UpstreamState(version_by_model={}, role="serve")
SILENT = upstream_orders.StateUnknown(detail="timeout")
DONE = upstream_orders.Done()


class _Held:
    """Leadership that holds one tenure for ever."""

    def __init__(self):
        self.tenure = tenure_module.Tenure(
            duty=tenure_module.duty_of_domain(DOMAIN),
            fencing=types.FencingNumber(7),
            first_order_at=0.0,
        )
        self.closed_clean = None

    def remaining_seconds(self, _tenure):
        return 1000.0

    async def start(self):
        pass

    async def close(self, *, clean):
        self.closed_clean = clean


class _Upstreams:
    """Responds with prepared states and results; records the orders."""

    def __init__(self):
        self.state_by_id, self.result, self.sent = {}, DONE, []

    async def state(self, upstream):
        return self.state_by_id.get(upstream.id, EMPTY)

    async def send(self, upstream, order, *, fencing, may_send, **_options):
        assert may_send()
        self.sent.append((order.upstream, order.kind.value, fencing))
        if self.result is DONE:
            loaded = {order.model: order.version}
            self.state_by_id[upstream.id] = upstream_orders.UpstreamState(
                version_by_model=loaded, role="serve"
            )
        return self.result


@pytest.fixture
def upstreams():
    return _Upstreams()


@pytest.fixture
def leadership():
    return _Held()


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        logs, "emit", lambda event, **fields: found.append((event, fields))
    )
    return found


@pytest_asyncio.fixture
async def make_rounds(
    clock, upstreams, leadership, make_upstream, make_placement
):
    """Return a function that starts an orderer and runs rounds."""
    made = []
    wake = asyncio.Event()

    async def sleep(_seconds):
        await wake.wait()
        wake.clear()

    async def make(count=2, **options):
        declared = [make_upstream(f"u{number}") for number in (1, 2)]
        made.append(
            orderer_module.Orderer(
                domain=DOMAIN,
                leadership=leadership,
                upstream_orders=upstreams,
                placements=lambda: [make_placement("a", count, **options)],
                upstreams=lambda: {one.id: one for one in declared},
                is_leaving=lambda _: False,
                budget=weight_budget.WeightBudget(
                    clock=clock, bytes_per_second=1.0, burst_bytes=10.0
                ),
                clock=clock,
                sleep=sleep,
            )
        )
        await made[0].start()
        await _settle()

        async def rounds(number=1, *, seconds=1.0):
            for _ in range(number):
                clock.advance(seconds)
                wake.set()
                await _settle()

        rounds.orderer = made[0]
        return rounds

    yield make
    for one in made:
        await one.close()


async def _settle():
    for _ in range(20):
        await asyncio.sleep(0)


async def test_orders_carry_the_fencing_number(make_rounds, upstreams):
    await make_rounds()
    assert upstreams.sent == [("u1", "load", 7)]


async def test_an_unknown_result_is_read_back_after_its_timeout(
    make_rounds, upstreams, leadership
):
    """Guards against loading a model twice, or taking a slow load for failed.

    The response was lost. Until the order's time limit is over, the state may
    be from before its effect, and a second order would overlap with the first.
    """
    upstreams.result = upstream_orders.OrderUnknown(detail="reset")
    rounds = await make_rounds(count=1)
    await rounds(9)
    assert len(upstreams.sent) == 1
    loaded = upstream_orders.UpstreamState(
        version_by_model={"a": ""}, role="serve"
    )
    upstreams.state_by_id["u1"] = loaded
    await rounds(5)
    assert len(upstreams.sent) == 1


async def test_an_order_with_unknown_result_makes_the_close_unclean(
    make_rounds, upstreams, leadership
):
    rounds = await make_rounds()
    await rounds.orderer.close()
    assert leadership.closed_clean
    upstreams.result = upstream_orders.OrderUnknown(detail="reset")
    await rounds.orderer.start()
    await rounds()
    await rounds.orderer.close()
    assert not leadership.closed_clean


async def test_a_short_silence_moves_no_model(make_rounds, upstreams):
    """Guards against loading all models again when an orderer takes over.

    One upstream does not answer the new orderer's first request, so the models
    that it holds look missing.
    """
    upstreams.state_by_id["u1"] = SILENT
    rounds = await make_rounds(count=1)
    await rounds(50)
    assert upstreams.sent == []
    await rounds(12)
    assert upstreams.sent[0] == ("u2", "load", 7)


async def test_a_decision_is_logged_once(make_rounds, upstreams, lines):
    rounds = await make_rounds(weight_bytes=10)
    await rounds(30)
    decided = [
        (fields["upstream"], fields["verdict"])
        for event, fields in lines
        if event is events.LogEvent.ORDER_DECIDED
    ]
    assert decided == [
        ("u1", "send"),
        ("u2", "wait-for-reloads"),
        ("u2", "wait-for-weights"),
        ("u2", "send"),
    ]


async def test_an_order_that_was_not_sent_costs_no_weights(
    make_rounds, upstreams
):
    upstreams.result = upstream_orders.NotSent(detail="refused")
    rounds = await make_rounds(weight_bytes=10)
    await rounds(3)
    assert len(upstreams.sent) == 4
