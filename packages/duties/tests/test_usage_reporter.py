"""Settling and reporting windows while answers, holders and the store are lost."""

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
    """One entry VM that holds the duty, with what it knows of the counts."""

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

    async def take_office(self):
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
    await made.take_office()
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
    """The answer to a report is lost, and more counts come in meanwhile.

    A second report with other counts would be a contradiction; nobody knows
    whether the first was taken.
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


async def test_successor_says_what_was_settled_and_goes_on(
    holder, make_holder, platform, clock
):
    """A holder is killed between the settling of a window and its report.

    Its successor counted something else, since it heard others.
    """
    holder.count = 3
    holder.may_call = False
    await pass_time(clock, 7.0, holder)
    successor = make_holder()
    successor.count = 9
    await successor.take_office()
    await pass_time(clock, 5.0, successor)
    assert [one[:2] for one in platform.reports] == [
        (200, {"house": 3}),
        (201, {"house": 9}),
    ]


async def test_holder_that_lost_its_key_settles_nothing(
    holder, make_holder, platform, clock, store
):
    """A holder wakes up after its lease and settles a window once more."""
    successor = make_holder()
    await pass_time(clock, 4.0, holder)
    await successor.take_office()
    await pass_time(clock, 4.0, holder)
    assert (await store.get(usage_record.KEY)).found is None
    assert not platform.reports


@pytest.mark.parametrize("fault", ["lost_replies", "lost_requests"])
async def test_lost_write_is_read_back_before_anything_is_said(
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


async def test_windows_of_an_outage_are_caught_up_within_their_time(
    holder, platform, clock, store
):
    await pass_time(clock, 4.0, holder)
    store.stop()
    await pass_time(clock, 9.0, holder)
    assert not platform.reports
    store.resume()
    await pass_time(clock, 1.0, holder)
    assert [one[0] for one in platform.reports] == [200, 201]


async def test_window_that_is_due_no_more_is_left_out(
    holder, platform, clock, store
):
    store.stop()
    await pass_time(clock, 18.0, holder)
    store.resume()
    await pass_time(clock, 1.0, holder)
    assert [one[0] for one in platform.reports] == [201, 202]


async def test_silent_domain_is_waited_for_but_not_past_its_time(
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


async def test_holder_remembers_what_a_restored_store_has_forgotten(
    holder, platform, clock, store
):
    """The store comes back from a copy without the window that was reported.

    A second report of it, with the counts that came in since, would contradict.
    """
    holder.eras.take(1)
    copy = store.revision
    holder.count = 3
    await pass_time(clock, 7.0, holder)
    store.restore(copy)
    holder.eras.take(2)
    holder.count = 8
    await holder.take_office()
    await pass_time(clock, 6.0, holder)
    counts_by_window = {}
    for window, counts, _ in platform.reports:
        counts_by_window.setdefault(window, []).append(counts["house"])
    assert set(counts_by_window) == {200, 201}
    assert set(counts_by_window[200]) == {3}


async def test_successor_leaves_out_what_may_have_been_said_and_forgotten(
    make_holder, platform, clock, store
):
    """The holder has reported a window and ended; the store has forgotten both."""
    first, second = make_holder(), make_holder()
    first.eras.take(1)
    copy = store.revision
    await first.take_office()
    first.count = 3
    await pass_time(clock, 7.0, first)
    store.restore(copy)
    second.eras.take(2)
    second.count = 8
    await second.take_office()
    await pass_time(clock, 6.0, second)
    reports = [(window, one["house"]) for window, one, _ in platform.reports]
    assert set(reports) == {(200, 3), (201, 8)}


async def test_successor_that_has_just_started_catches_up_without_a_restore(
    make_holder, platform, clock
):
    """All entry VMs were killed; the record says that nothing was forgotten."""
    first, second = make_holder(), make_holder()
    first.eras.take(4)
    await first.take_office()
    await pass_time(clock, 7.0, first)
    clock.advance(5.0)
    second.eras.take(4)
    await second.take_office()
    await pass_time(clock, 2.0, second)
    assert {window for window, _, _ in platform.reports} >= {200, 201}
