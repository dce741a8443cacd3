"""Scheduler behaviour, one guarantee per test."""

import pytest

from lagoonrun_core import outcomes, types
from lagoonrun_policy import decision, messages

from .conftest import class_policy, shard_policy

_HIGH = class_policy("lookup", 1)
_LOW = class_policy("digest", 2, limit_seconds=60.0, floor_share=0.1)


def test_free_slots_are_granted_to_the_least_loaded(drive):
    driver = drive(_HIGH)
    keys = [driver.request("lookup") for _ in range(4)]
    assert driver.granted() == keys
    assert sorted(driver.upstream_by_key.values()) == ["r0", "r0", "r1", "r1"]


def test_higher_tier_goes_first(drive):
    driver = drive(_HIGH, _LOW, runners=1, slots=1)
    first = driver.request("digest")
    low = driver.request("digest")
    high = driver.request("lookup")
    driver.end(first)
    assert driver.granted() == [first, high]
    driver.end(high)
    assert driver.granted() == [first, high, low]


def test_waiting_lower_class_gets_its_share_of_grants(drive):
    driver = drive(_HIGH, _LOW, runners=1, slots=1)
    running = driver.request("lookup")
    low = driver.request("digest", remaining_seconds=60.0)
    for _ in range(30):
        driver.request("lookup")
        driver.now += 0.1
        driver.end(running)
        running = driver.granted()[-1]
        if running == low:
            break
    assert driver.granted().index(low) == 11
    assert driver.actions[-1].record.floor_grant


def test_deadline_refusal_needs_samples(drive):
    driver = drive(_HIGH, runners=1, slots=1)
    for _ in range(30):
        key = driver.request("lookup")
        assert key in driver.granted()
        driver.now += 4.0
        driver.end(key, total_seconds=4.0)
    late = driver.request("lookup", remaining_seconds=3.0)
    refusal = driver.refused()[late]
    assert refusal.reason is outcomes.Reason.DEADLINE
    assert refusal.record.expected_samples >= 20
    assert refusal.record.expected_service_seconds == pytest.approx(4, rel=0.05)


def test_waiting_request_is_refused_once_it_cannot_meet_its_limit(drive):
    driver = drive(_HIGH, runners=1, slots=1)
    driver.request("lookup")
    waiting = driver.request("lookup", remaining_seconds=2.0)
    assert driver.subject.next_wake(now=driver.now) <= driver.now + 5.0
    driver.now += 2.5
    driver.send(messages.Ticked())
    assert driver.refused()[waiting].reason is outcomes.Reason.DEADLINE


def test_full_queue_sheds_the_lowest_tier(drive):
    high = class_policy("lookup", 1, queue_capacity=2)
    driver = drive(high, _LOW, runners=1, slots=1)
    driver.request("lookup")
    lows = [driver.request("digest") for _ in range(3)]
    for _ in range(4):
        driver.request("lookup")
    assert {k: r.reason for k, r in driver.refused().items()} == {
        lows[2]: outcomes.Reason.SHED_FOR_HIGHER_TIER,
        lows[1]: outcomes.Reason.SHED_FOR_HIGHER_TIER,
    }
    last = driver.request("lookup")
    assert driver.refused()[last].reason is outcomes.Reason.QUEUE_FULL
    assert driver.refused()[last].record.lower_tier_waiting == 0


def test_large_organisation_cannot_starve_a_small_one(drive):
    driver = drive(_HIGH, runners=1, slots=1)
    running = driver.request("lookup", organisation="large")
    for _ in range(50):
        driver.request("lookup", organisation="large")
    small = driver.request("lookup", organisation="small")
    for _ in range(2):
        driver.end(running)
        running = driver.granted()[-1]
    assert small in driver.granted()


def test_leaving_runner_gets_no_requests(drive):
    driver = drive(_HIGH)
    for upstream in ("r0", "r1"):
        driver.send(
            messages.UpstreamChanged(
                upstream=types.UpstreamId(upstream),
                state=messages.UpstreamState.LEAVING,
            )
        )
    driver.send(messages.PolicyChanged(policy=shard_policy([_HIGH])))
    key = driver.request("lookup")
    assert driver.refused()[key].reason is outcomes.Reason.NO_UPSTREAM


def test_removed_class_is_refused_and_removed_runner_is_drained(drive):
    driver = drive(_HIGH, _LOW, runners=2, slots=1)
    running = [driver.request("lookup") for _ in range(2)]
    waiting = driver.request("digest")
    driver.send(messages.PolicyChanged(policy=shard_policy([_HIGH], runners=1)))
    assert driver.refused()[waiting].reason is outcomes.Reason.UNCONFIGURED
    for key in running:
        driver.end(key)
    again = [driver.request("lookup") for _ in range(2)]
    assert {driver.upstream_by_key[k] for k in again} == {"r0"}


def test_repeated_request_is_answered_with_the_same_grant(drive):
    """An ingress that lost a grant repeats its request.

    The connection broke after the grant was sent. A second grant would leak
    the slot of the first one for ever.
    """
    driver = drive(_HIGH, runners=1, slots=2)
    key = driver.request("lookup")
    request = messages.PermitRequested(
        key=key,
        ingress=types.EntryVmId("vm0"),
        profile=types.ProfileName("lookup"),
        organisation=types.OrganisationId("house"),
        remaining_seconds=10.0,
        remaining_target_seconds=1.0,
    )
    again = driver.send(request)
    assert [a.upstream for a in again] == [driver.upstream_by_key[key]]
    other = driver.request("lookup")
    assert other in driver.granted()


def test_record_survives_json_and_replays(drive):
    driver = drive(_HIGH, _LOW)
    driver.request("lookup", excluded=(types.UpstreamId("r0"),))
    record = driver.actions[-1].record
    copy = decision.record_from_json(decision.record_to_json(record))
    assert copy == record
    assert decision.check(copy).agrees
    tampered = decision.record_from_json(
        decision.record_to_json(record)
        .replace('"upstream": "r1", "verdict"', '"upstream": "r0", "verdict"')
        .replace('"verdict": "grant"', '"verdict": "wait"')
    )
    assert not decision.check(tampered).agrees
    with pytest.raises(ValueError, match="not a decision record"):
        decision.record_from_json("{}")


def test_first_digest_after_a_pause_frees_slots_of_lost_ends(drive):
    """A dispatcher is paused while requests that it granted end.

    Its connections were closed and the end reports lost. If it kept their
    slots occupied until two digests did not list them, the highest tier would
    wait for idle runners.
    """
    driver = drive(_HIGH, runners=1, slots=1)
    lost = driver.request("lookup")
    waiting = driver.request("lookup", remaining_seconds=60.0)
    driver.now += 5.0
    driver.send(messages.DispatcherStalled())
    assert driver.granted() == [lost]
    driver.send(
        messages.InFlightDigest(
            ingress=types.EntryVmId("vm0"), running=(), waiting=(waiting,)
        )
    )
    assert driver.granted() == [lost, waiting]


def test_request_running_through_a_pause_keeps_its_slot(drive):
    driver = drive(_HIGH, runners=1, slots=1)
    running = driver.request("lookup")
    waiting = driver.request("lookup", remaining_seconds=60.0)
    driver.now += 5.0
    driver.send(messages.DispatcherStalled())
    listed = messages.InFlight(
        key=running,
        upstream=driver.upstream_by_key[running],
        profile=types.ProfileName("lookup"),
        organisation=types.OrganisationId("house"),
        running_seconds=5.0,
        tokens=3,
    )
    for _ in range(2):
        driver.send(
            messages.InFlightDigest(
                ingress=types.EntryVmId("vm0"),
                running=(listed,),
                waiting=(waiting,),
            )
        )
    assert driver.granted() == [running]
