"""Changes are accepted at most once, reported truthfully and never lost."""

import asyncio
import dataclasses
import random

import pytest

from lagoonrun_config import (
    change_outcomes,
    configuration_store,
    draft,
    head,
    snapshot,
)
from lagoonrun_platform import memory_store, store


@pytest.fixture
def memory():
    return memory_store.MemoryStore()


@pytest.fixture
def configurations(memory):
    return configuration_store.ConfigurationStore(
        store=memory, rng=random.Random(3), first_delay_seconds=0.0
    )


@pytest.fixture
def apply(configurations):
    async def apply_draft(wanted, *, base, change_id, operator="leila"):
        return await configurations.apply(
            wanted, base=base, change_id=change_id, operator=operator
        )

    return apply_draft


def _with_target(content: draft.Draft, name: str, seconds: float):
    changed = dataclasses.replace(
        content.profiles_by_name[name], target_seconds=seconds
    )
    return dataclasses.replace(
        content, profiles_by_name={**content.profiles_by_name, name: changed}
    )


async def _in_force(configurations) -> draft.Draft:
    return draft.draft_of(await configurations.get())


async def test_changes_to_different_profiles_rebase(
    apply, configurations, small_draft
):
    await apply(small_draft, base=0, change_id="c1")
    first_change = _with_target(small_draft, "lookup", 0.4)
    second_change = _with_target(small_draft, "summary", 50.0)
    first = await apply(first_change, base=1, change_id="c2")
    second = await apply(
        second_change, base=1, change_id="c3", operator="tevita"
    )
    assert first == change_outcomes.Accepted(
        revision=2, names=("profile:lookup",)
    )
    assert second == change_outcomes.Accepted(
        revision=3, names=("profile:summary",)
    )
    assert await _in_force(configurations) == _with_target(
        first_change, "summary", 50.0
    )


async def test_changes_to_one_profile_conflict(
    apply, configurations, small_draft
):
    """Guards against a change that silently reverts a concurrent one.

    Two operators edit revision 1. The second one receives the name of the
    profile and the change that was accepted first.
    """
    await apply(small_draft, base=0, change_id="c1")
    first_change = _with_target(small_draft, "lookup", 0.4)
    await apply(first_change, base=1, change_id="c2")
    late = _with_target(small_draft, "lookup", 0.3)
    conflict = await apply(late, base=1, change_id="c3", operator="tevita")
    assert isinstance(conflict, change_outcomes.ChangeConflict)
    assert [str(name) for name in conflict.names] == ["profile:lookup"]
    assert (conflict.revision, conflict.changes[0].operator) == (2, "leila")
    assert await _in_force(configurations) == first_change


async def test_merge_that_contradicts_itself_is_refused(apply, small_draft):
    """One operator removes a profile, another adds a service that uses it.

    Each change is valid alone and they change different entries, so they are
    merged; the service would have no profile.
    """
    spare = dataclasses.replace(
        small_draft.profiles_by_name["lookup"], name="spare"
    )
    start = dataclasses.replace(
        small_draft,
        profiles_by_name={**small_draft.profiles_by_name, "spare": spare},
    )
    await apply(start, base=0, change_id="c1")
    await apply(small_draft, base=1, change_id="c2")
    service = dataclasses.replace(
        start.services_by_name["page-lookups"], profile="spare"
    )
    using = dataclasses.replace(
        start,
        services_by_name={**start.services_by_name, "page-lookups": service},
    )
    refused = await apply(using, base=1, change_id="c3")
    assert isinstance(refused, change_outcomes.Refused)
    assert [fault.key for fault in refused.faults] == [
        "services.page-lookups.profile"
    ]


async def test_lost_reply_is_read_back_and_accepted_once(
    apply, configurations, memory, small_draft
):
    """Guards against reporting an error for a change that is in force.

    The reply to the head write is lost. The tail of the head contains the
    change id, so that the change is accepted once.
    """
    memory.lost_replies = 2
    assert await apply(small_draft, base=0, change_id="c1") == (
        change_outcomes.Accepted(
            revision=1, names=head_names(small_draft, limit=20)
        )
    )
    again = await apply(small_draft, base=0, change_id="c1")
    assert again.revision == 1
    history = await configurations.history()
    assert [change.change_id for change in history.changes] == ["c1"]


def head_names(content, *, limit):
    return tuple(sorted(map(str, content.entries_by_name())))[:limit]


@pytest.mark.parametrize("applied", [True, False])
async def test_settle_returns_the_final_outcome(
    configurations, memory, small_draft, applied
):
    """The store fails between the head write and its reply.

    The outcome is unknown. Once the store has recovered, `settle` determines
    whether the change is in force; if not, the late write must have no effect.
    """
    pending = _HoldingStore(memory, applied=applied)
    held = configuration_store.ConfigurationStore(
        store=pending, rng=random.Random(3), first_delay_seconds=0.0
    )
    unknown = await held.apply(
        small_draft, base=0, change_id="c1", operator="leila"
    )
    assert isinstance(unknown, change_outcomes.Unknown)
    memory.resume()
    settled = await configurations.settle(unknown.change_id, base=unknown.base)
    if applied:
        assert isinstance(settled, change_outcomes.Accepted)
    else:
        assert isinstance(settled, change_outcomes.Cancelled)
    late = await pending.release()
    assert not isinstance(late, store.Committed)
    history = await configurations.history()
    assert [one.change_id for one in history.changes] == (
        ["c1"] if applied else []
    )
    again = await configurations.settle("c1", base=0)
    assert type(again) is type(settled)


class _HoldingStore:
    """Delays the head write until `release` and stops the store."""

    def __init__(self, memory, *, applied):
        self._memory = memory
        self._applied = applied
        self._held = None

    async def transact(self, *, comparisons, puts=(), deletes=()):
        call = {
            "comparisons": comparisons,
            "puts": puts,
            "deletes": deletes,
        }
        if puts and puts[0].key == head.HEAD_KEY and self._held is None:
            self._held = call
            if self._applied:
                await self._memory.transact(**call)
            self._memory.stop()
            return store.Unknown(detail="reply lost")
        return await self._memory.transact(**call)

    async def list_prefix(self, prefix, *, keys_only=False):
        return await self._memory.list_prefix(prefix, keys_only=keys_only)

    async def release(self):
        return await self._memory.transact(**self._held)


async def test_cancelled_change_is_refused_afterwards(
    apply, configurations, small_draft
):
    await configurations.settle("c1", base=0)
    refused = await apply(small_draft, base=0, change_id="c1")
    assert isinstance(refused, change_outcomes.Refused)
    assert refused.faults[0].key == "change_id"


async def test_outage_is_unavailable_and_nothing_is_written(
    apply, memory, small_draft
):
    memory.stop()
    result = await apply(small_draft, base=0, change_id="c1")
    assert isinstance(result, change_outcomes.Unavailable)
    memory.resume()
    assert (await memory.list_prefix("")).items == ()


async def test_rollback_is_a_new_revision_with_old_content(
    apply, configurations, small_draft
):
    await apply(small_draft, base=0, change_id="c1")
    changed = _with_target(small_draft, "lookup", 0.4)
    await apply(changed, base=1, change_id="c2")
    result = await configurations.rollback(1, change_id="c3", operator="leila")
    assert result.revision == 3
    assert await _in_force(configurations) == small_draft
    absent = await configurations.rollback(9, change_id="c4", operator="leila")
    assert absent == change_outcomes.NoSuchRevision(wanted=9, kept=(1, 2, 3))


async def test_stale_reads_do_not_affect_changes(apply, memory, small_draft):
    await apply(small_draft, base=0, change_id="c1")
    memory.stale_revision = store.StoreRevision(1)
    changed = _with_target(small_draft, "lookup", 0.4)
    accepted = await apply(changed, base=1, change_id="c2")
    assert accepted.revision == 2


async def test_only_snapshots_of_the_tail_are_kept(
    apply, configurations, memory, small_draft
):
    count = head.TAIL_LENGTH + 5
    for number in range(count):
        content = _with_target(small_draft, "lookup", 0.1 + number / 1000)
        await apply(content, base=number, change_id=f"c{number}")
    listing = await memory.list_prefix(head.SNAPSHOT_PREFIX, keys_only=True)
    assert len(listing.items) == head.TAIL_LENGTH
    oldest = await configurations.get(count - head.TAIL_LENGTH + 1)
    assert oldest.revision == count - head.TAIL_LENGTH + 1
    forgotten = await apply(small_draft, base=1, change_id="late")
    assert isinstance(forgotten, change_outcomes.Refused)
    assert forgotten.faults[0].key == "base"
    unsettled = await configurations.settle("c1", base=0)
    assert isinstance(unsettled, change_outcomes.Unknown)


async def test_snapshot_deleted_by_a_concurrent_change_is_rewritten(
    configurations, memory, small_draft
):
    """Guards against a head that references a deleted snapshot.

    The change of another operator deletes snapshots that its head does not
    reference, including one whose head is not written yet. The
    compare-and-swap of that head fails and is retried.
    """
    racing = _RacingStore(memory)
    racing.race = lambda: configurations.apply(
        small_draft, base=0, change_id="first", operator="tevita"
    )
    slow = configuration_store.ConfigurationStore(
        store=racing, rng=random.Random(3), first_delay_seconds=0.0
    )
    with_spare = dataclasses.replace(
        draft.EMPTY_DRAFT,
        profiles_by_name={
            "spare": dataclasses.replace(
                small_draft.profiles_by_name["lookup"], name="spare"
            )
        },
    )
    accepted = await slow.apply(
        with_spare, base=0, change_id="c2", operator="leila"
    )
    assert accepted.revision == 2
    content = await _in_force(configurations)
    assert set(content.profiles_by_name) == {"lookup", "summary", "spare"}


class _RacingStore(_HoldingStore):
    """Runs another change between the writes of snapshot and head."""

    def __init__(self, memory):
        super().__init__(memory, applied=False)
        self.race = None

    async def transact(self, *, comparisons, puts=(), deletes=()):
        is_head = bool(puts) and puts[0].key == head.HEAD_KEY
        if is_head and self.race is not None:
            race, self.race = self.race, None
            await asyncio.wait_for(race(), 5)
        return await self._memory.transact(
            comparisons=comparisons, puts=puts, deletes=deletes
        )


async def test_change_that_left_the_tail_is_unknown(
    configurations, memory, small_draft
):
    """A reply is lost, and many changes follow before the head is read.

    The tail no longer contains the change. A conflict or refusal would claim
    that it was not applied, although it was.
    """
    forgetful = _ForgetfulStore(memory)

    async def fill_the_tail():
        for number in range(1, head.TAIL_LENGTH + 1):
            content = _with_target(small_draft, "lookup", 0.1 + number / 999)
            await configurations.apply(
                content, base=number, change_id=f"n{number}", operator="mere"
            )

    forgetful.race = fill_the_tail
    slow = configuration_store.ConfigurationStore(
        store=forgetful, rng=random.Random(3), first_delay_seconds=0.0
    )
    result = await slow.apply(
        small_draft, base=0, change_id="c1", operator="leila"
    )
    assert isinstance(result, change_outcomes.Unknown)


class _ForgetfulStore(_RacingStore):
    """Returns the lost reply of the head write only after other changes."""

    async def transact(self, *, comparisons, puts=(), deletes=()):
        result = await self._memory.transact(
            comparisons=comparisons, puts=puts, deletes=deletes
        )
        is_head = bool(puts) and puts[0].key == head.HEAD_KEY
        if is_head and self.race is not None:
            race, self.race = self.race, None
            await asyncio.wait_for(race(), 5)
            return store.Unknown(detail="reply lost")
        return result


async def test_error_of_an_invalid_head_contains_its_key(
    configurations, memory
):
    await memory.transact(
        comparisons=[], puts=[store.Put(key=head.HEAD_KEY, value=b"{}")]
    )
    with pytest.raises(snapshot.SnapshotError, match=head.HEAD_KEY):
        await configurations.get()
