"""Counts that are told twice, late, by several ways or by killed entry VMs."""

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


def test_each_count_is_told_twice_and_then_not_again():
    own = usage_counts.UsageCounts()
    count(own, 7, "house", 3)
    count(own, 7, "trust", 1)
    first = over_the_wire(own.take_rows())
    assert usage_counts.from_rows(first) == {(7, "house"): 3, (7, "trust"): 1}
    assert own.take_rows() == first
    assert own.take_rows() == router_messages.NO_USAGE
    count(own, 7, "trust", 1)
    assert usage_counts.from_rows(own.take_rows()) == {(7, "trust"): 2}
    own.tell_all_again()
    assert len(own.take_rows().windows) == 2


def test_killed_entry_vm_keeps_what_it_told():
    """The count of a window falls when an entry VM is restarted.

    It counts from zero again, and its new numbers replaced those that it told
    before it was killed.
    """
    gathered = usage_counts.GatheredUsage()
    before, after = usage_counts.UsageCounts(), usage_counts.UsageCounts()
    count(before, 7, "house", 5)
    count(after, 7, "house", 2)
    gathered.take_in("vm", 1, before.take_rows())
    gathered.take_in("vm", 2, after.take_rows())
    assert gathered.counts(7) == {"house": 7}


def test_rows_of_different_lengths_say_nothing():
    rows = router_messages.UsageRows(
        windows=(1, 2), organisations="a", counts=b"\1\0\0\0"
    )
    assert usage_counts.from_rows(rows) == {}


def test_old_windows_are_forgotten():
    own = usage_counts.UsageCounts()
    gathered = usage_counts.GatheredUsage()
    for window in range(40):
        count(own, window, "house", 1)
        gathered.take_in("vm", window, own.take_rows())
        gathered.forget_before(window - usage_counts.KEPT_WINDOWS)
    assert len(own.windows()) == usage_counts.KEPT_WINDOWS
    assert len(gathered.windows()) <= usage_counts.KEPT_WINDOWS + 2


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
def test_lost_and_overtaken_rows_never_give_too_much(steps, rng):
    """Never more than was counted, and all of it once all is told again."""
    own = usage_counts.UsageCounts()
    gathered = usage_counts.GatheredUsage()
    told = []
    for window, organisation, tell in steps:
        count(own, window, organisation, 1)
        if tell:
            told.append(own.take_rows())
    rng.shuffle(told)
    for rows in told[: len(told) // 2]:
        gathered.take_in("vm", 1, rows)
        gathered.take_in("vm", 1, rows)
    for window in range(4):
        for organisation, known in gathered.counts(window).items():
            assert known <= own.counts(window)[organisation]
    own.tell_all_again()
    gathered.take_in("vm", 1, own.take_rows())
    for window in range(4):
        assert gathered.counts(window) == own.counts(window)
