"""At-most-once execution of warnings, as counted by the upstreams."""

import asyncio

import pytest

from .conftest import (
    LOOKUP,
    NORTH_1,
    NORTH_2,
    PORTALS,
    SOUTH_1,
    reported,
    until,
)

pytestmark = pytest.mark.asyncio(loop_scope="module")

_CLAIM_DELAY_SECONDS = 0.6


async def _begin_claim(trial, key):
    """Start a warning whose claim is written but not yet confirmed."""
    await trial.control("platform", delay_seconds=_CLAIM_DELAY_SECONDS)
    before = await trial.platform_calls("txn")
    caller = asyncio.create_task(trial.warn(NORTH_1, key))
    await trial.wait_calls("txn", before)
    return caller


async def _begin_run(trial, key):
    """Start a warning that is running at an upstream."""
    for name in PORTALS:
        await trial.control(name, service_seconds=1.0)
    before = await trial.total("runs")
    caller = asyncio.create_task(trial.warn(NORTH_1, key))

    async def runs():
        return await trial.total("runs") > before

    await until(runs)
    return caller


@pytest.mark.parametrize("begin", [_begin_claim, _begin_run])
async def test_killed_ingress_leaves_no_second_run(trial, begin, request):
    """A caller's entry VM dies and the caller retries at another one.

    The first VM is killed after its claim was written, or while the upstream
    runs the request. The caller's connection breaks and it sends the same key
    to another VM. The claim remains, so the retry gets the outcome "unknown".
    """
    key = request.node.name
    caller = await begin(trial, key)
    await trial.process(NORTH_1).kill()
    with pytest.raises(ConnectionError):
        await caller
    await trial.control("platform", delay_seconds=0.0)
    retry = await trial.warn(NORTH_2, key)
    assert reported(retry) == (409, "unknown")
    assert await trial.runs_of_key(key) <= 1


@pytest.mark.parametrize("begin", [_begin_claim, _begin_run])
async def test_frozen_ingress_runs_once_on_waking(trial, begin, request):
    """An entry VM freezes, its caller retries elsewhere, and it resumes.

    It freezes after its claim was written, or while the upstream runs the
    request. When it resumes, its claim still allows the request; the retry
    must not have run meanwhile.
    """
    key = request.node.name
    caller = await begin(trial, key)
    trial.process(NORTH_1).freeze()
    await trial.control("platform", delay_seconds=0.0)
    retry = await trial.warn(SOUTH_1, key)
    assert reported(retry) == (409, "unknown")
    trial.process(NORTH_1).resume()
    first = await caller
    assert reported(first) == (200, "complete")
    assert await trial.runs_of_key(key) == 1


async def test_lost_reply_of_the_claim_is_read_back(trial):
    """The platform writes the claim, but its reply is lost.

    Treating the missing reply as a failure would refuse a key that stays
    claimed; claiming again would create two claims for one request.
    """
    await trial.control("platform", lose_replies=1)
    answer = await trial.warn(NORTH_1, "lost-reply")
    assert reported(answer) == (200, "complete")
    assert await trial.runs_of_key("lost-reply") == 1


async def test_two_entry_vms_at_once_run_one(trial):
    """A caller sends one warning to all entry VMs concurrently.

    Each obtains a permit and claims; the platform accepts one claim.
    """
    answers = await asyncio.gather(
        *(
            trial.warn(vm, f"at-once-{number}")
            for number in range(5)
            for vm in (NORTH_1, NORTH_2, SOUTH_1)
        )
    )
    statuses = sorted(answer.status for answer in answers)
    assert statuses == [200] * 5 + [409] * 10
    runs = await trial.runs("by_idempotency_key")
    assert {runs[f"at-once-{number}"] for number in range(5)} == {1}


async def test_later_caller_is_told_how_the_first_ended(trial):
    """A caller lost the response to a warning and retries with its key.

    The retry must not be reported as "not-run", because the request was run.
    It gets the first attempt's outcome as soon as that is recorded.
    """
    assert reported(await trial.warn(NORTH_1, "ended")) == (200, "complete")

    async def known():
        return reported(await trial.warn(SOUTH_1, "ended")) == (409, "complete")

    await until(known)
    assert await trial.runs_of_key("ended") == 1


@pytest.mark.parametrize("key", ["closed", None])
@pytest.mark.parametrize(
    ("fault", "most_runs"),
    [("close_at_first_byte", 0), ("close_before_answer", 1)],
)
async def test_closed_connection_is_not_tried_again(
    trial, key, fault, most_runs
):
    """An upstream closes the connection after receiving part of a warning.

    Whether it ran is unknown, so the outcome is "unknown" and nothing is sent
    again, neither by the router nor for a retry with the key.
    """
    key = f"{key}-{fault}" if key else None
    before = await trial.total("runs")
    for name in PORTALS:
        # Load reports and control calls also consume the fault.
        await trial.control(name, **{fault: 4})
    answer = await trial.warn(NORTH_1, key)
    for name in PORTALS:
        await trial.clear(name, **{fault: 0})
    assert reported(answer) == (502, "unknown")
    if key:
        assert reported(await trial.warn(SOUTH_1, key)) == (409, "unknown")
    assert await trial.total("runs") - before == most_runs


@pytest.mark.parametrize("outage", ["close", "hang"])
async def test_platform_outage_refuses_keys_only(trial, outage):
    """The platform is down while warnings arrive.

    Without a claim, a warning with a key might run twice, so it is refused
    immediately as "not-run"; a warning without a key does not need the
    platform.
    """
    await trial.control("platform", outage=outage)
    refused = await trial.warn(NORTH_1, f"outage-{outage}")
    assert reported(refused) == (503, "not-run")
    assert int(refused.head.headers["retry-after"]) >= 1
    assert await trial.runs_of_key(f"outage-{outage}") == 0
    assert reported(await trial.warn(NORTH_1)) == (200, "complete")
    lookup = await trial.ask(NORTH_1, LOOKUP, method="GET")
    assert reported(lookup) == (200, "complete")
