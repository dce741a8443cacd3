"""When this entry VM may let a request in although there is no room for it."""

from lagoonrun_core import types

FLOOR_SECONDS = 10.0
"""Time between two requests of a class that all entry VMs together let in
although a higher tier takes all room.

Long enough that the higher tier does not notice; every class is served in the
longest overload all the same.
"""


class AdmissionFloor:
    """Times by class at which the last request was let in here.

    Parameters
    ----------
    started_at
        Reading of the clock; stands for a request of every class.
    """

    def __init__(self, *, started_at: float) -> None:
        self._started_at = started_at
        self._admitted_at_by_profile: dict[types.ProfileName, float] = {}
        self._entry_vm_count = 1

    def set_entry_vm_count(self, entry_vms: int) -> None:
        """Set the number of entry VMs, this one included."""
        self._entry_vm_count = max(1, entry_vms)

    def record_admission(
        self, profile: types.ProfileName, *, now: float
    ) -> None:
        """Note that a request was let in."""
        self._admitted_at_by_profile[profile] = now

    def is_due(self, profile: types.ProfileName, *, now: float) -> bool:
        """Return whether a class has waited for its share of the floor."""
        last = self._admitted_at_by_profile.get(profile, self._started_at)
        return now - last >= FLOOR_SECONDS * self._entry_vm_count
