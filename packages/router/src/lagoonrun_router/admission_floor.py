"""Admission floor: the rate at which each class is admitted in any overload."""

from lagoonrun_core import types

FLOOR_SECONDS = 10.0
"""Interval at which all entry VMs together admit one request of a class
although a higher tier uses all capacity.

Long enough not to affect the higher tier, yet every class makes progress in an
overload of any length.
"""


class AdmissionFloor:
    """Schedules this entry VM's share of the admission floor of each class.

    Parameters
    ----------
    started_at
        Monotonic time of the start; counts as an admission of every class.
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
        """Record that a request of a class was admitted."""
        self._admitted_at_by_profile[profile] = now

    def is_due(self, profile: types.ProfileName, *, now: float) -> bool:
        """Return whether a class is due for an admission at this entry VM."""
        last = self._admitted_at_by_profile.get(profile, self._started_at)
        return now - last >= FLOOR_SECONDS * self._entry_vm_count
