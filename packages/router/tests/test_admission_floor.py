"""One request of a class for all entry VMs together, from time to time."""

from lagoonrun_router import admission_floor


def test_floor_is_due_after_all_entry_vms_shares():
    times = admission_floor.AdmissionFloor(started_at=0.0)
    times.set_entry_vm_count(8)
    whole = 8 * admission_floor.FLOOR_SECONDS
    assert not times.is_due("c", now=whole - 0.1)
    assert times.is_due("c", now=whole)
    times.record_admission("c", now=whole)
    assert not times.is_due("c", now=whole + 1.0)
    assert times.is_due("other", now=whole + 1.0)
