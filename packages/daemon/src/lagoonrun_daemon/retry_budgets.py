"""Retry budgets by class: retries add at most a share to a class's load."""

import dataclasses

from lagoonrun_core import types

_MOST_SAVED_RETRIES = 10.0


@dataclasses.dataclass(kw_only=True)
class _Budget:
    saved: float = _MOST_SAVED_RETRIES


class RetryBudgets:
    """One bucket a class, filled by first attempts.

    A class whose upstreams fail altogether would otherwise multiply its own
    load with each retry. The bucket starts full, so that a class with little
    traffic can retry at all.
    """

    def __init__(self) -> None:
        self._budgets_by_profile: dict[types.ProfileName, _Budget] = {}

    def on_first_attempt(
        self, profile: types.ProfileName, *, ratio: float
    ) -> None:
        """Count a first attempt, which earns `ratio` of a retry."""
        budget = self._budget(profile)
        budget.saved = min(budget.saved + ratio, _MOST_SAVED_RETRIES)

    def take(self, profile: types.ProfileName) -> bool:
        """Spend one retry; return False where the budget is empty."""
        budget = self._budget(profile)
        if budget.saved < 1.0:
            return False
        budget.saved -= 1.0
        return True

    def _budget(self, profile: types.ProfileName) -> _Budget:
        return self._budgets_by_profile.setdefault(profile, _Budget())
