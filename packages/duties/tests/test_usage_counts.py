"""Counts received twice, late, by several paths or from killed entry VMs."""

import hypothesis
from hypothesis import strategies

from lagoonrun_duties import usage_counts
from lagoonrun_protocol import router_codec, router_messages


def count(counts, window, organisation, times):
    for _ in range(times):
        counts.add(window, organisation)


def over_the_wire(rows):
    news = router_messages.UsageNews(entry_vm="a", domain="d", rows=rows)
    return router_codec.decode(router_codec.encode(news)).rows


def test_each_count_is_sent_twice_and_then_not_again():
    own = usage_counts.UsageCounts()
    count(own, 7, "house", 3)
    count(own, 7, "trust", 1)
    first = over_the_wire(own.pop_unsent_rows())
    assert usage_counts.from_rows(first) == {(7, "house"): 3, (7, "trust"): 1}
    assert own.pop_unsent_rows() == first
    assert own.pop_unsent_rows() == router_messages.NO_USAGE
    count(own, 7, "trust", 1)
    assert usage_counts.from_rows(own.pop_unsent_rows()) == {(7, "trust"): 2}
    own.mark_all_unsent()
    assert len(own.pop_unsent_rows().windows) == 2


def test_killed_entry_vm_keeps_what_it_sent():
    """Guards against a window whose count falls when an entry VM restarts.

    Its new process counts from zero; its numbers must not replace those that it
    sent before it was killed.
    """
    aggregated = usage_counts.AggregatedUsage()
    before, after = usage_counts.UsageCounts(), usage_counts.UsageCounts()
    count(before, 7, "house", 5)
    count(after, 7, "house", 2)
    aggregated.merge("vm", 1, before.pop_unsent_rows())
    aggregated.merge("vm", 2, after.pop_unsent_rows())
    assert aggregated.counts(7) == {"house": 7}


def test_rows_of_different_lengths_are_ignored():
    rows = router_messages.UsageRows(
        windows=(1, 2), organisations="a", counts=b"\1\0\0\0"
    )
    assert usage_counts.from_rows(rows) == {}


def test_old_windows_are_forgotten():
    own = usage_counts.UsageCounts()
    aggregated = usage_counts.AggregatedUsage()
    for window in range(40):
        count(own, window, "house", 1)
        aggregated.merge("vm", window, own.pop_unsent_rows())
        aggregated.forget_before(window - usage_counts.RETAINED_WINDOWS)
    assert len(own.windows()) == usage_counts.RETAINED_WINDOWS
    assert len(aggregated.windows()) <= usage_counts.RETAINED_WINDOWS + 2


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.sampled_from(["house", "trust"]),
            strategies.booleans(),
        )
    ),
    strategies.randoms(),
)
def test_lost_and_reordered_rows_never_overcount(steps, rng):
    """Counts are never too high, and complete once all rows are sent again."""
    own = usage_counts.UsageCounts()
    aggregated = usage_counts.AggregatedUsage()
    sent = []
    for window, organisation, send in steps:
        count(own, window, organisation, 1)
        if send:
            sent.append(own.pop_unsent_rows())
    rng.shuffle(sent)
    for rows in sent[: len(sent) // 2]:
        aggregated.merge("vm", 1, rows)
        aggregated.merge("vm", 1, rows)
    for window in range(4):
        for organisation, known in aggregated.counts(window).items():
            assert known <= own.counts(window)[organisation]
    own.mark_all_unsent()
    aggregated.merge("vm", 1, own.pop_unsent_rows())
    for window in range(4):
        assert aggregated.counts(window) == own.counts(window)
