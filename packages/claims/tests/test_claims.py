"""Claims under failures, one story each."""

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


async def test_the_second_arrival_learns_of_the_first(
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


async def test_two_entry_vms_at_once_have_one_winner(make_claims, arrive):
    """A balancer sends a caller's retry to another entry VM at once.

    Both ingresses claim in the same moment; exactly one may send.
    """
    vms = [await make_claims() for _ in range(4)]
    results = await asyncio.gather(*(arrive(vm) for vm in vms * 3))
    won = [one for one in results if isinstance(one, claims_module.Won)]
    assert len(won) == 1
    assert sum(isinstance(r, claims_module.Taken) for r in results) == 11


async def test_keys_of_two_organisations_are_two_claims(make_claims, arrive):
    claims = await make_claims()
    one = await arrive(claims, organisation="house")
    other = await arrive(claims, organisation="rival")
    assert isinstance(one, claims_module.Won)
    assert isinstance(other, claims_module.Won)


async def test_another_body_under_the_key_is_told(make_claims, arrive):
    claims = await make_claims()
    await arrive(claims, body="b")
    other = await arrive(claims, body="c")
    assert isinstance(other, claims_module.BodyDiffers)


async def test_a_lost_reply_is_read_back(make_claims, arrive, store):
    """The caller waits for a warning that nobody else has asked for.

    The store applies the claim and its reply is lost. Taken for a failure,
    the key would be held by an attempt that never sends.
    """
    claims = await make_claims()
    store.lost_replies = 1
    assert isinstance(await arrive(claims, key="lease"), claims_module.Won)
    store.lost_replies = 1
    assert isinstance(await arrive(claims, key="claim"), claims_module.Won)
    assert store.lost_replies == 0


async def test_a_lost_request_is_sent_again(make_claims, arrive, store):
    claims = await make_claims()
    await arrive(claims, key="first")
    store.lost_requests = 1
    assert isinstance(await arrive(claims), claims_module.Won)


async def test_an_outage_after_the_claim_leaves_a_usable_key(
    make_claims, arrive, store, clock
):
    """A caller is told "not run, come back", comes back and is let through.

    The claim was applied, its reply lost, and the store went away before it
    could be read back. When it returns, the abandoned claim is released.
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


async def test_a_claim_applied_after_its_release_is_refused(
    make_claims, arrive, store, clock
):
    """A key seems free, and an hour later it is held by nobody.

    The claim hung on its way to the store, its caller was told "not run",
    the release found no record, and only then did the claim arrive. The
    release therefore leaves a record, which the late claim runs into.
    """
    claims = await make_claims(write_timeout_seconds=0.01)
    await arrive(claims, key="first")
    transact = store.transact
    hanging = []

    async def hang(**options):
        store.transact = transact
        hanging.append(options)
        await asyncio.Event().wait()

    store.transact = hang
    waiting = asyncio.create_task(arrive(claims))
    await _until(lambda: hanging)
    waiting.cancel()
    await asyncio.wait([waiting])
    await _until(lambda: claims.pending == 0)
    late = await transact(**hanging[0])
    assert isinstance(late, store_module.Rejected)
    assert isinstance(await arrive(claims), claims_module.Won)


async def test_a_released_key_goes_to_the_next(make_claims, arrive):
    first, second = await make_claims(), await make_claims()
    won = await arrive(first)
    status = await first.release(won.attempt)
    assert status is final_states.WriteStatus.RECORDED
    assert not first.may_send(won.attempt)
    assert isinstance(await arrive(second, body="new"), claims_module.Won)


async def test_an_attempt_ends_once(make_claims, arrive):
    claims = await make_claims()
    won = await arrive(claims)
    with pytest.raises(ValueError, match="valid: release"):
        await claims.record_end(won.attempt, outcomes.Outcome.NOT_RUN)
    await claims.record_end(won.attempt, outcomes.Outcome.COMPLETE)
    with pytest.raises(errors.LagoonrunError, match="not open"):
        await claims.release(won.attempt)


async def test_a_dead_claimant_is_never_taken_over(make_claims, arrive, clock):
    """A spill warning is sent twice, hours apart.

    An ingress froze between its claim and its write; a retry took the old
    claim for dead and ran, and the frozen one woke and wrote as well.
    """
    frozen, other = await make_claims(), await make_claims()
    won = await arrive(frozen)
    clock.advance(DAY_SECONDS * 0.49)
    assert (await arrive(other)).state is CLAIMED
    assert frozen.may_send(won.attempt)
    clock.advance(DAY_SECONDS * 0.02)
    assert not frozen.may_send(won.attempt)
    assert (await arrive(other)).state is CLAIMED


async def test_claims_go_away_after_the_retention(make_claims, arrive, clock):
    first, second = await make_claims(), await make_claims()
    won = await arrive(first)
    clock.advance(DAY_SECONDS - 1.0)
    assert (await arrive(second)).state is CLAIMED
    await first.record_end(won.attempt, outcomes.Outcome.COMPLETE)
    clock.advance(DAY_SECONDS - 1.0)
    assert (await arrive(second)).state is ENDED
    clock.advance(1202.0)
    assert isinstance(await arrive(second), claims_module.Won)


async def test_a_lost_lease_does_not_lose_a_release(
    make_claims, arrive, store, clock
):
    """A key stays claimed for a day although its request never left.

    The lease of later claims was revoked, and the store's refusal was taken
    for a record that is gone, so the release was thought needless.
    """
    claims = await make_claims()
    won = await arrive(claims)
    clock.advance(601.0)
    await arrive(claims, key="later")
    await store.revoke_lease(store_module.LeaseId(number=2))
    assert store.calls_by_kind["lease"] == 3
    await claims.release(won.attempt)
    assert isinstance(await arrive(claims), claims_module.Won)


async def test_an_outage_is_not_hammered(make_claims, arrive, store, clock):
    """The store comes back and is called by everything that waited.

    In an outage each arrival is refused without a call of its own.
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


async def test_a_deadline_ends_the_wait_for_a_slow_store(
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


async def test_an_unreadable_record_is_not_taken_over(
    make_claims, arrive, store
):
    claims = await make_claims()
    won = await arrive(claims)
    record = won.attempt.record
    key = claim_module.store_key(record.organisation, record.key_digest)
    found = (await store.get(key)).found
    await store.transact(
        comparisons=[_at(found)], puts=[_put(key, b'{"version":9}')]
    )
    refused = await arrive(claims)
    assert isinstance(refused, claims_module.Unavailable)
    assert "version 9" in refused.detail
    await claims.record_end(won.attempt, outcomes.Outcome.COMPLETE)
    assert (await store.get(key)).found.value == b'{"version":9}'


def _at(found):
    return store_module.Comparison(key=found.key, modified=found.modified)


def _put(key, value):
    return store_module.Put(key=key, value=value)


@pytest.mark.parametrize("name", ["transact", "grant_lease"])
async def test_a_fault_of_the_adapter_does_not_end_the_claims(
    make_claims, arrive, store, clock, monkeypatch, name
):
    """Every request with a key is refused until the entry VM is replaced.

    The store's client failed once on an answer that it could not read, and
    the task that writes claims ended with it.
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
