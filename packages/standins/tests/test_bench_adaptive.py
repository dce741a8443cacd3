"""Tests that `bench_adaptive` measures the decisions that its tables name."""

import pytest
from absl import flags

from lagoonrun_router import admission, choosing, pool_capacity
from lagoonrun_standins import bench_adaptive

DECISIONS = 40


@pytest.fixture(autouse=True)
def parsed_flags():
    if not flags.FLAGS.is_parsed():
        flags.FLAGS(["bench-adaptive"])


def run(kind):
    """Return the results of decisions with 12 upstreams."""
    bench = bench_adaptive._Bench(kind, upstreams=12)
    assert len(bench.run(DECISIONS)) == DECISIONS
    return bench.results


@pytest.mark.parametrize(
    "kind", bench_adaptive._KINDS, ids=lambda one: one.name
)
async def test_pool_with_capacity_admits_each_call(kind):
    """Guards against figures of refused calls, or of another kind of pool."""
    adaptive = kind is not bench_adaptive._NOT_ADAPTIVE
    for result in run(kind):
        assert isinstance(result, choosing.Choice)
        assert result.adaptive is adaptive


@pytest.mark.parametrize("from_relay", [True, False])
async def test_short_pool_decides_by_shares(from_relay):
    """Guards against figures of calls whose share is not decided on."""
    results = run(bench_adaptive._short_kind(24, from_relay=from_relay))
    refused = [
        one for one in results if isinstance(one, pool_capacity.Rejection)
    ]
    assert 0 < len(refused) < DECISIONS
    for one in refused:
        assert one.refusal is admission.Refusal.OVER_SHARE
        assert one.share.from_fleet
