"""The admission floor is shared among all entry VMs."""

from lagoonrun_router import admission_floor


def test_floor_is_due_after_all_entry_vms_shares():
    floor = admission_floor.AdmissionFloor(started_at=0.0)
    floor.set_entry_vm_count(8)
    interval = 8 * admission_floor.FLOOR_SECONDS
    assert not floor.is_due("c", now=interval - 0.1)
    assert floor.is_due("c", now=interval)
    floor.record_admission("c", now=interval)
    assert not floor.is_due("c", now=interval + 1.0)
    assert floor.is_due("other", now=interval + 1.0)
