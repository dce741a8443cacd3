"""Runner state: concurrency limit, failures, pace, load reports, prefixes."""

import dataclasses

import pytest

from lagoonrun_core import outcomes, types
from lagoonrun_policy import affinity, concurrency_limit, features, messages

from .conftest import class_policy, shard_policy

_FEATURES = features.Features(adaptive_room=False, straggler_penalty=False)
_PROFILE = types.ProfileName("lookup")


def _observe(subject, count, seconds, *, in_flight=16, now=0.0):
    for _ in range(count):
        subject.observe(
            profile=_PROFILE,
            first_token_seconds=seconds * 10,
            seconds_per_token=seconds,
            in_flight=in_flight,
            now=now,
        )


def test_limit_falls_while_answers_are_slow_and_recovers():
    subject = concurrency_limit.AdaptiveConcurrencyLimit(slots=16)
    _observe(subject, 50, 0.004)
    assert subject.value == 16
    _observe(subject, 300, 0.04)
    assert subject.value < 8
    _observe(subject, 2000, 0.004)
    assert subject.value == 16


def test_limit_falls_gradually_and_not_below_the_minimum():
    subject = concurrency_limit.AdaptiveConcurrencyLimit(slots=16)
    _observe(subject, 50, 0.004)
    _observe(subject, 45, 0.04)
    assert subject.value > 10
    _observe(subject, 5000, 0.4)
    assert subject.value >= concurrency_limit.MIN_LIMIT


def test_long_prompts_of_another_class_do_not_lower_the_limit():
    subject = concurrency_limit.AdaptiveConcurrencyLimit(slots=16)
    for number in range(500):
        summary = number % 2 or number > 250
        subject.observe(
            profile=types.ProfileName("summary" if summary else "lookup"),
            first_token_seconds=2.0 if summary else 0.02,
            seconds_per_token=0.004,
            in_flight=16,
            now=0.0,
        )
    assert subject.value == 16


def _fail(driver, upstream, count=1, **shape):
    """Let `count` requests at one runner fail; all others succeed."""
    failed = 0
    for _ in range(200):
        key = driver.request("lookup", **shape)
        if driver.upstream_by_key.get(key) == upstream and failed < count:
            driver.end(
                key,
                outcome=outcomes.Outcome.FAILED,
                reason=outcomes.Reason.UPSTREAM_CONNECT,
            )
            failed += 1
        elif key in driver.upstream_by_key:
            driver.end(key)
        if failed == count:
            return
    raise AssertionError(f"{upstream} got only {failed} of {count} requests")


def _runners_used(driver, count=12, **changes):
    keys = [driver.request("lookup", **changes) for _ in range(count)]
    used = [driver.upstream_by_key[k] for k in keys]
    for key in keys:
        driver.end(key)
    return used


def test_failing_runner_is_ejected_probed_and_restored(drive):
    driver = drive(class_policy("lookup", 1), runners=3, slots=4)
    _fail(driver, "r1", 3)
    assert "r1" not in _runners_used(driver, 8)
    driver.now += 1.5
    keys = [driver.request("lookup") for _ in range(8)]
    probes = [k for k in keys if driver.upstream_by_key[k] == "r1"]
    assert len(probes) == 1
    driver.end(probes[0])
    for key in set(keys) - set(probes):
        driver.end(key)
    assert "r1" in _runners_used(driver, 8)


def test_at_most_a_third_is_ejected(drive):
    """A common fault makes every runner fail.

    Ejecting one after another would send all requests to the last one.
    """
    driver = drive(class_policy("lookup", 1), runners=3, slots=4)
    for upstream in ("r0", "r1", "r2"):
        _fail(driver, upstream, 3)
    assert len(set(_runners_used(driver, 8))) == 2


def test_probe_does_not_use_a_request_that_is_not_idempotent(drive):
    warning = class_policy("lookup", 1, idempotent=False)
    driver = drive(warning, runners=3, slots=4)
    _fail(driver, "r1", 3)
    driver.now += 2.0
    assert "r1" not in _runners_used(driver, 8)
    driver.now += 20.0
    assert "r1" in _runners_used(driver, 8)


def _reconfigure_leaving_runner(drive, *, with_digest):
    """Return the runners granted after a revision with the leaving "r1"."""
    lookup = class_policy("lookup", 1)
    driver = drive(lookup, runners=1)
    leaving = types.UpstreamId("r1")
    driver.send(
        messages.UpstreamChanged(
            upstream=leaving, state=messages.UpstreamState.LEAVING
        )
    )
    running = messages.InFlight(
        key=messages.PermitKey(
            request_id=types.RequestId("earlier"),
            attempt_id=types.AttemptId(1),
        ),
        upstream=leaving,
        profile=_PROFILE,
        organisation=types.OrganisationId("house"),
        running_seconds=1.0,
        tokens=1,
    )
    if with_digest:
        driver.send(
            messages.InFlightDigest(
                ingress=types.EntryVmId("vm0"), running=(running,), waiting=()
            )
        )
    policy = shard_policy([lookup], runners=2)
    driver.send(messages.PolicyChanged(policy=policy))
    for _ in range(4):
        driver.request("lookup")
    return set(driver.upstream_by_key.values())


def test_leaving_runner_stays_excluded_after_a_digest(drive):
    """A digest registers a request at a leaving runner not yet configured.

    The runner is then added as live, and gets requests from the next revision.
    """
    assert _reconfigure_leaving_runner(drive, with_digest=True) == {"r0"}


def test_leaving_runner_stays_excluded_without_a_digest(drive):
    assert _reconfigure_leaving_runner(drive, with_digest=False) == {"r0"}


def test_straggler_gets_fewer_requests(drive):
    driver = drive(
        class_policy("lookup", 1),
        runners=3,
        slots=8,
        switches=features.Features(deadline_refusal=False),
    )
    for _ in range(60):
        key = driver.request("lookup")
        slow = driver.upstream_by_key[key] == "r0"
        driver.now += 0.1
        driver.end(key, total_seconds=4.0 if slow else 1.0, tokens=100)
    used = _runners_used(driver, 9)
    assert used.count("r0") < used.count("r1")


@pytest.mark.parametrize("switched_on", [True, False])
def test_lookup_waits_for_a_runner_that_can_meet_its_target(drive, switched_on):
    """Only a straggler that is too slow for the target has a free slot.

    A slot of the fast runner becomes free soon. Granting the straggler at
    once would miss a target that is met after a short wait.
    """
    driver = drive(
        class_policy("lookup", 1),
        class_policy("digest", 2, limit_seconds=60.0),
        runners=2,
        slots=2,
        switches=dataclasses.replace(_FEATURES, target_runners=switched_on),
    )
    for _ in range(120):
        key = driver.request("lookup")
        driver.now += 0.05
        slow = driver.upstream_by_key[key] == "r0"
        seconds = 2.0 if slow else 0.2
        driver.end(key, total_seconds=seconds, tokens=100)
    keys = [driver.request("lookup") for _ in range(3)]
    used = [driver.upstream_by_key.get(k) for k in keys]
    if not switched_on:
        assert "r0" in used
        return
    assert used == ["r1", "r1", None]
    driver.end(keys[0])
    assert driver.upstream_by_key[keys[2]] == "r1"


def test_lookup_uses_the_straggler_once_waiting_no_longer_helps(drive):
    driver = drive(
        class_policy("lookup", 1), runners=2, slots=1, switches=_FEATURES
    )
    for _ in range(120):
        key = driver.request("lookup")
        driver.now += 0.05
        slow = driver.upstream_by_key[key] == "r0"
        driver.end(key, total_seconds=2.0 if slow else 0.2, tokens=100)
    driver.request("lookup")
    key = driver.request("lookup")
    assert key not in driver.upstream_by_key
    wake = driver.subject.next_wake(now=driver.now)
    assert driver.now < wake < driver.now + 1.0
    driver.now = wake + 0.1
    driver.send(messages.Ticked())
    assert driver.upstream_by_key[key] == "r0"


def test_load_of_other_senders_counts_and_decays(drive):
    driver = drive(class_policy("lookup", 1), runners=2, slots=8)
    report = messages.LoadReported(
        upstream=types.UpstreamId("r0"),
        running=6,
        waiting=2,
        cache_usage=0.0,
        age_seconds=0.1,
    )
    driver.send(report)
    assert _runners_used(driver, 4) == ["r1"] * 4
    driver.now += 30.0
    assert sorted(_runners_used(driver, 4)) == ["r0", "r0", "r1", "r1"]


def test_own_requests_in_an_old_report_are_not_counted_twice(drive):
    driver = drive(class_policy("lookup", 1), runners=2, slots=8)
    keys = [driver.request("lookup") for _ in range(8)]
    for key in keys:
        driver.end(key)
    for upstream, running in (("r0", 4), ("r1", 0)):
        driver.send(
            messages.LoadReported(
                upstream=types.UpstreamId(upstream),
                running=running,
                waiting=0,
                cache_usage=0.0,
                age_seconds=0.5,
            )
        )
    assert sorted(_runners_used(driver, 4)) == ["r0", "r0", "r1", "r1"]


def test_prefix_affinity_holds_within_an_organisation_only(drive):
    driver = drive(class_policy("lookup", 1), runners=3, slots=8)
    prefix = types.PrefixHash(77)
    first = driver.request("lookup", prefix_hash=prefix)
    first_runner = driver.upstream_by_key[first]
    driver.end(first)
    again = driver.request("lookup", prefix_hash=prefix)
    assert driver.upstream_by_key[again] == first_runner
    other = driver.request(
        "lookup", prefix_hash=prefix, organisation="another-house"
    )
    assert driver.upstream_by_key[other] != first_runner


@pytest.mark.parametrize("organisations", [1, 3])
def test_prefix_memory_is_bounded_per_organisation(organisations):
    subject = affinity.PrefixAffinity()
    for number in range(2000):
        subject.record_served(
            organisation=types.OrganisationId(f"o{number % organisations}"),
            prefix=types.PrefixHash(number + 1),
            upstream=types.UpstreamId("r0"),
            now=0.0,
        )
    known = [
        number
        for number in range(2000)
        if subject.cache_likelihoods(
            organisation=types.OrganisationId(f"o{number % organisations}"),
            prefix=types.PrefixHash(number + 1),
            now=0.0,
        )
    ]
    assert len(known) == 512 * organisations
