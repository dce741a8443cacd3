"""Settling and reporting windows under lost responses, holders and store."""

import pytest

from lagoonrun_core import types
from lagoonrun_duties import (
    filtered_clock,
    platform_calls,
    usage_record,
    usage_reporter,
)
from lagoonrun_orders import tenure as tenures
from lagoonrun_platform import store as store_module
from lagoonrun_platform import store_eras

DUTY = types.DutyName("duties")


class _Platform:
    def __init__(self):
        self.result = platform_calls.Accepted()
        self.reports = []

    async def report_usage(self, report, *, fencing):
        counts = dict(report.count_by_organisation)
        self.reports.append((report.window, counts, fencing))
        return self.result


class _Holder:
    """One entry VM that holds the duty, with the counts that it knows."""

    def __init__(self, configured, store, platform, clock):
        self.count = 0
        self.complete = True
        self.may_call = True
        self.store = store
        self.tenure = None
        self.eras = store_eras.StoreEras(clock=clock)
        self.reporter = usage_reporter.UsageReporter(
            configured=configured,
            store=store,
            platform=platform,
            may_call=lambda tenure: self.may_call,
            counts_of=lambda window: {"house": self.count},
            is_complete=lambda: self.complete,
            eras=self.eras,
            time=filtered_clock.FilteredClock(clock=clock),
            clock=clock,
        )

    async def begin_tenure(self):
        key = tenures.holder_key(DUTY)
        written = await self.store.transact(
            comparisons=(), puts=[store_module.Put(key=key, value=b"")]
        )
        self.tenure = tenures.Tenure(
            duty=DUTY, fencing=written.revision, first_order_at=0.0
        )

    async def step(self):
        await self.reporter.step(self.tenure)


@pytest.fixture
def platform():
    return _Platform()


@pytest.fixture
def make_holder(configured, store, platform, clock):
    return lambda: _Holder(configured, store, platform, clock)


@pytest.fixture
async def holder(make_holder):
    made = make_holder()
    await made.begin_tenure()
    return made


async def pass_time(clock, seconds, *holders):
    for _ in range(round(seconds / 0.25)):
        clock.advance(0.25)
        for one in holders:
            await one.step()


async def test_each_window_is_reported_once_soon_after_its_end(
    holder, platform, clock
):
    holder.count = 3
    await pass_time(clock, 30.0, holder)
    windows = [window for window, _, _ in platform.reports]
    assert windows == [200, 201, 202, 203, 204]


async def test_unanswered_report_is_repeated_with_the_same_counts(
    holder, platform, clock
):
    """The response to a report is lost, and more counts arrive meanwhile.

    A second report with other counts would contradict the first, which may have
    been accepted.
    """
    platform.result = platform_calls.Unanswered(detail="lost")
    holder.count = 3
    await pass_time(clock, 7.0, holder)
    holder.count = 8
    platform.result = platform_calls.Accepted()
    await pass_time(clock, 3.0, holder)
    assert len(platform.reports) > 1
    assert {str(one) for _, one, _ in platform.reports} == {"{'house': 3}"}
    assert [one[0] for one in platform.reports[-1:]] == [200]


async def test_successor_reports_what_was_settled_and_continues(
    holder, make_holder, platform, clock
):
    """A holder is killed between settling a window and reporting it.

    Its successor has other counts, since it received other messages.
    """
    holder.count = 3
    holder.may_call = False
    await pass_time(clock, 7.0, holder)
    successor = make_holder()
    successor.count = 9
    await successor.begin_tenure()
    await pass_time(clock, 5.0, successor)
    assert [one[:2] for one in platform.reports] == [
        (200, {"house": 3}),
        (201, {"house": 9}),
    ]


async def test_holder_that_lost_its_key_settles_nothing(
    holder, make_holder, platform, clock, store
):
    """Guards against a holder that wakes after its lease and settles again."""
    successor = make_holder()
    await pass_time(clock, 4.0, holder)
    await successor.begin_tenure()
    await pass_time(clock, 4.0, holder)
    assert (await store.get(usage_record.KEY)).found is None
    assert not platform.reports


@pytest.mark.parametrize("fault", ["lost_replies", "lost_requests"])
async def test_lost_write_is_read_back_before_anything_is_reported(
    holder, platform, clock, store, fault
):
    holder.count = 3
    await pass_time(clock, 6.25, holder)
    setattr(store, fault, 1)
    await pass_time(clock, 0.25, holder)
    assert not platform.reports
    holder.count = 5
    await pass_time(clock, 1.0, holder)
    expected = 3 if fault == "lost_replies" else 5
    assert [one[:2] for one in platform.reports] == [(200, {"house": expected})]


async def test_windows_of_an_outage_are_reported_within_their_deadline(
    holder, platform, clock, store
):
    await pass_time(clock, 4.0, holder)
    store.stop()
    await pass_time(clock, 9.0, holder)
    assert not platform.reports
    store.resume()
    await pass_time(clock, 1.0, holder)
    assert [one[0] for one in platform.reports] == [200, 201]


async def test_window_past_its_deadline_is_skipped(
    holder, platform, clock, store
):
    store.stop()
    await pass_time(clock, 18.0, holder)
    store.resume()
    await pass_time(clock, 1.0, holder)
    assert [one[0] for one in platform.reports] == [201, 202]


async def test_silent_domain_is_waited_for_up_to_a_limit(
    holder, platform, clock
):
    holder.complete = False
    await pass_time(clock, 9.0, holder)
    assert not platform.reports
    await pass_time(clock, 1.5, holder)
    assert [one[0] for one in platform.reports] == [200]


async def test_unreadable_record_does_not_end_the_reports(
    holder, platform, clock, store
):
    put = store_module.Put(key=usage_record.KEY, value=b"{}")
    await store.transact(comparisons=(), puts=[put])
    await pass_time(clock, 7.0, holder)
    assert [one[0] for one in platform.reports] == [200]


async def test_holder_knows_what_a_restored_store_has_lost(
    holder, platform, clock, store
):
    """The store is restored from a backup without the window that was reported.

    A second report, with the counts received since, would contradict the first.
    """
    holder.eras.observe(1)
    backup = store.revision
    holder.count = 3
    await pass_time(clock, 7.0, holder)
    store.restore(backup)
    holder.eras.observe(2)
    holder.count = 8
    await holder.begin_tenure()
    await pass_time(clock, 6.0, holder)
    counts_by_window = {}
    for window, counts, _ in platform.reports:
        counts_by_window.setdefault(window, []).append(counts["house"])
    assert set(counts_by_window) == {200, 201}
    assert set(counts_by_window[200]) == {3}


async def test_successor_skips_what_may_have_been_reported_and_lost(
    make_holder, platform, clock, store
):
    """The holder has reported a window and ended; the restore has lost both."""
    first, second = make_holder(), make_holder()
    first.eras.observe(1)
    backup = store.revision
    await first.begin_tenure()
    first.count = 3
    await pass_time(clock, 7.0, first)
    store.restore(backup)
    second.eras.observe(2)
    second.count = 8
    await second.begin_tenure()
    await pass_time(clock, 6.0, second)
    reports = [(window, one["house"]) for window, one, _ in platform.reports]
    assert set(reports) == {(200, 3), (201, 8)}


async def test_successor_that_has_just_started_catches_up_without_a_restore(
    make_holder, platform, clock
):
    """All VMs were killed; the record's era shows that nothing was lost."""
    first, second = make_holder(), make_holder()
    first.eras.observe(4)
    await first.begin_tenure()
    await pass_time(clock, 7.0, first)
    clock.advance(5.0)
    second.eras.observe(4)
    await second.begin_tenure()
    await pass_time(clock, 2.0, second)
    assert {window for window, _, _ in platform.reports} >= {200, 201}
