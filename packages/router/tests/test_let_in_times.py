"""One request of a class for all entry VMs together, from time to time."""

from lagoonrun_router import let_in_times


def test_floor_is_due_after_all_entry_vms_shares():
    times = let_in_times.LetInTimes(started_at=0.0)
    times.share_among(8)
    whole = 8 * let_in_times.FLOOR_SECONDS
    assert not times.is_due("c", now=whole - 0.1)
    assert times.is_due("c", now=whole)
    times.note("c", now=whole)
    assert not times.is_due("c", now=whole + 1.0)
    assert times.is_due("other", now=whole + 1.0)
