"""Claims under failures, one scenario per test."""

import asyncio

import pytest

from lagoonrun_claims import claim as claim_module
from lagoonrun_claims import claims as claims_module
from lagoonrun_claims import final_states
from lagoonrun_core import errors, outcomes
from lagoonrun_platform import store as store_module

CLAIMED = claim_module.ClaimState.CLAIMED
ENDED = claim_module.ClaimState.ENDED
DAY_SECONDS = 24 * 3600.0


async def _until(condition):
    for _ in range(100_000):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError("condition did not come true")


async def test_second_arrival_gets_the_state_of_the_first(
    make_claims, arrive, clock
):
    first, second = await make_claims(), await make_claims()
    won = await arrive(first)
    clock.advance(3.0)
    taken = await arrive(second)
    assert taken == claims_module.Taken(
        state=CLAIMED,
        outcome=None,
        entry_vm=won.attempt.record.entry_vm,
        request_id=won.attempt.record.request_id,
        age_seconds=3.0,
    )
    await first.record_end(won.attempt, outcomes.Outcome.PARTIAL)
    taken = await arrive(second)
    assert (taken.state, taken.outcome) == (ENDED, outcomes.Outcome.PARTIAL)


async def test_concurrent_claims_have_one_winner(make_claims, arrive):
    """A load balancer sends a caller's retry to another entry VM.

    Both ingresses claim the key at the same time; exactly one may send.
    """
    vms = [await make_claims() for _ in range(4)]
    results = await asyncio.gather(*(arrive(vm) for vm in vms * 3))
    won = [one for one in results if isinstance(one, claims_module.Won)]
    assert len(won) == 1
    assert sum(isinstance(r, claims_module.Taken) for r in results) == 11


async def test_equal_keys_of_two_organisations_are_separate_claims(
    make_claims, arrive
):
    claims = await make_claims()
    one = await arrive(claims, organisation="house")
    other = await arrive(claims, organisation="rival")
    assert isinstance(one, claims_module.Won)
    assert isinstance(other, claims_module.Won)


async def test_different_body_under_the_same_key_is_reported(
    make_claims, arrive
):
    claims = await make_claims()
    await arrive(claims, body="b")
    other = await arrive(claims, body="c")
    assert isinstance(other, claims_module.BodyDiffers)


async def test_claim_with_a_lost_reply_is_won(make_claims, arrive, store):
    """The store applies a claim, but its reply is lost.

    If that counted as a failure, the key would be held by an attempt that
    never sends.
    """
    claims = await make_claims()
    store.lost_replies = 1
    assert isinstance(await arrive(claims, key="lease"), claims_module.Won)
    store.lost_replies = 1
    assert isinstance(await arrive(claims, key="claim"), claims_module.Won)
    assert store.lost_replies == 0


async def test_lost_request_is_sent_again(make_claims, arrive, store):
    claims = await make_claims()
    await arrive(claims, key="first")
    store.lost_requests = 1
    assert isinstance(await arrive(claims), claims_module.Won)


async def test_outage_after_the_claim_leaves_a_usable_key(
    make_claims, arrive, store, clock
):
    """A caller that got "not run" can retry once the store is back.

    The claim was applied and its reply lost, and the store failed before the
    claim could be read back. Afterwards the abandoned claim is released.
    """
    claims = await make_claims()
    await arrive(claims, key="first")
    store.reply_gate = asyncio.Event()
    waiting = asyncio.create_task(arrive(claims))
    await _until(lambda: store.calls_by_kind["transact"] == 2)
    store.stop()
    store.reply_gate.set()
    refused = await waiting
    assert isinstance(refused, claims_module.Unavailable)
    assert refused.retry_after_seconds > 0
    assert claims.pending == 1
    store.resume()
    clock.advance(10.0)
    await _until(lambda: claims.pending == 0)
    assert isinstance(await arrive(claims), claims_module.Won)


async def test_claim_that_arrives_after_its_release_is_rejected(
    make_claims, arrive, store, clock
):
    """A delayed claim reaches the store after its release.

    Its caller got "not run" in the meantime. If the release left no record
    where it finds none, the late claim would be applied and the key held by
    an attempt that never sends.
    """
    claims = await make_claims(write_timeout_seconds=0.01)
    await arrive(claims, key="first")
    transact = store.transact
    delayed = []

    async def delay(**options):
        store.transact = transact
        delayed.append(options)
        await asyncio.Event().wait()

    store.transact = delay
    waiting = asyncio.create_task(arrive(claims))
    await _until(lambda: delayed)
    waiting.cancel()
    await asyncio.wait([waiting])
    await _until(lambda: claims.pending == 0)
    late = await transact(**delayed[0])
    assert isinstance(late, store_module.Rejected)
    assert isinstance(await arrive(claims), claims_module.Won)


async def test_released_key_can_be_claimed_again(make_claims, arrive):
    first, second = await make_claims(), await make_claims()
    won = await arrive(first)
    status = await first.release(won.attempt)
    assert status is final_states.WriteStatus.RECORDED
    assert not first.may_send(won.attempt)
    assert isinstance(await arrive(second, body="new"), claims_module.Won)


async def test_attempt_ends_only_once(make_claims, arrive):
    claims = await make_claims()
    won = await arrive(claims)
    with pytest.raises(ValueError, match="valid: release"):
        await claims.record_end(won.attempt, outcomes.Outcome.NOT_RUN)
    await claims.record_end(won.attempt, outcomes.Outcome.COMPLETE)
    with pytest.raises(errors.LagoonrunError, match="not open"):
        await claims.release(won.attempt)


async def test_claim_of_a_paused_claimant_is_never_taken_over(
    make_claims, arrive, clock
):
    """An ingress is paused between its claim and its send, for hours.

    If a retry took over the old claim, the request would run twice: once for
    the retry, and once when the paused ingress resumes.
    """
    paused, other = await make_claims(), await make_claims()
    won = await arrive(paused)
    clock.advance(DAY_SECONDS * 0.49)
    assert (await arrive(other)).state is CLAIMED
    assert paused.may_send(won.attempt)
    clock.advance(DAY_SECONDS * 0.02)
    assert not paused.may_send(won.attempt)
    assert (await arrive(other)).state is CLAIMED


async def test_claims_expire_after_the_retention_time(
    make_claims, arrive, clock
):
    first, second = await make_claims(), await make_claims()
    won = await arrive(first)
    clock.advance(DAY_SECONDS - 1.0)
    assert (await arrive(second)).state is CLAIMED
    await first.record_end(won.attempt, outcomes.Outcome.COMPLETE)
    clock.advance(DAY_SECONDS - 1.0)
    assert (await arrive(second)).state is ENDED
    clock.advance(1202.0)
    assert isinstance(await arrive(second), claims_module.Won)


async def test_lost_lease_does_not_lose_a_release(
    make_claims, arrive, store, clock
):
    """The lease of newer claims is revoked before a release.

    If the store's rejection were taken for a missing record, the release
    would be skipped and the key stay claimed for a day unused.
    """
    claims = await make_claims()
    won = await arrive(claims)
    clock.advance(601.0)
    await arrive(claims, key="later")
    await store.revoke_lease(store_module.LeaseId(number=2))
    assert store.calls_by_kind["lease"] == 3
    await claims.release(won.attempt)
    assert isinstance(await arrive(claims), claims_module.Won)


async def test_store_is_not_called_repeatedly_during_an_outage(
    make_claims, arrive, store, clock
):
    """Arrivals during an outage are refused without a store call each.

    Otherwise a recovering store would be overloaded by calls.
    """
    claims = await make_claims()
    await arrive(claims, key="first")
    store.stop()
    before = sum(store.calls_by_kind.values())
    for number in range(200):
        refused = await arrive(claims, key=f"k{number}")
        assert isinstance(refused, claims_module.Unavailable)
    assert sum(store.calls_by_kind.values()) - before == 1
    store.resume()
    clock.advance(5.0)
    assert isinstance(await arrive(claims), claims_module.Won)


async def test_deadline_ends_the_wait_for_a_slow_store(
    make_claims, arrive, store
):
    claims = await make_claims()
    await arrive(claims, key="first")
    store.gate = asyncio.Event()
    refused = await arrive(claims, deadline_seconds=0.01)
    assert isinstance(refused, claims_module.Unavailable)
    assert claims.pending == 1
    store.gate.set()
    await _until(lambda: claims.pending == 0)
    assert isinstance(await arrive(claims), claims_module.Won)


async def test_unreadable_record_is_not_taken_over(make_claims, arrive, store):
    claims = await make_claims()
    won = await arrive(claims)
    record = won.attempt.record
    key = claim_module.store_key(record.organisation, record.key_digest)
    found = (await store.get(key)).found
    await store.transact(
        comparisons=[_comparison(found)], puts=[_put(key, b'{"version":9}')]
    )
    refused = await arrive(claims)
    assert isinstance(refused, claims_module.Unavailable)
    assert "version 9" in refused.detail
    await claims.record_end(won.attempt, outcomes.Outcome.COMPLETE)
    assert (await store.get(key)).found.value == b'{"version":9}'


def _comparison(found):
    return store_module.Comparison(key=found.key, modified=found.modified)


def _put(key, value):
    return store_module.Put(key=key, value=value)


@pytest.mark.parametrize("name", ["transact", "grant_lease"])
async def test_fault_of_the_adapter_does_not_stop_claims(
    make_claims, arrive, store, clock, monkeypatch, name
):
    """The store's client raises once, on a reply that it cannot parse.

    If the task that writes claims ended with it, every request with a key
    would be refused until the entry VM is restarted.
    """
    claims = await make_claims()

    async def fail(**_options):
        raise ValueError("unreadable answer")

    with monkeypatch.context() as patched:
        patched.setattr(store, name, fail)
        refused = await arrive(claims)
        assert isinstance(refused, claims_module.Unavailable)
    clock.advance(10.0)
    await _until(lambda: claims.pending == 0)
    assert isinstance(await arrive(claims), claims_module.Won)
