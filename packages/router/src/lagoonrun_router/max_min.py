"""Weighted max-min fairness, as pure functions.

Capacity is divided by a level: a demand that is at most the level times its
weight is met in full, any other one gets the level times its weight.
"""

import bisect
import dataclasses
import itertools
import math
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """The demand of one participant, or of several with the same ratio.

    Parameters
    ----------
    asked
        Demand, in units of the capacity.
    weight
        Weight, above 0; for several participants the sum of their weights.
    """

    asked: float
    weight: float


class FairLevels:
    """The fair level at any capacity, for a fixed set of demands.

    Finding a level takes time logarithmic in the number of demands.

    Parameters
    ----------
    demands
        The demands, in any order.
    """

    def __init__(self, demands: Iterable[Demand]) -> None:
        ascending = sorted(demands, key=_ratio)
        # Demands up to an index are met in full at the level of its ratio, and
        # those from the index on divide the rest by weight.
        self._asked_before = list(
            itertools.accumulate(
                (demand.asked for demand in ascending), initial=0.0
            )
        )
        self._weight_from = list(
            itertools.accumulate(
                demand.weight for demand in reversed(ascending)
            )
        )
        self._weight_from.reverse()
        used = (
            asked_before + _ratio(demand) * weight_from
            for asked_before, weight_from, demand in zip(
                self._asked_before, self._weight_from, ascending, strict=False
            )
        )
        # Rounding may break the order by a last digit.
        self._used_at_ratio = list(itertools.accumulate(used, max))

    @property
    def total(self) -> float:
        """Sum of the demands."""
        return self._asked_before[-1]

    def level(self, capacity: float) -> float:
        """Return the level at which the demands use the capacity.

        It is infinite if the capacity covers all demands.
        """
        if capacity >= self.total:
            return math.inf
        if capacity <= 0.0:
            return 0.0
        index = bisect.bisect_left(self._used_at_ratio, capacity)
        # The last entry may be below the total by a rounding error.
        index = min(index, len(self._weight_from) - 1)
        return (capacity - self._asked_before[index]) / self._weight_from[index]


def _ratio(demand: Demand) -> float:
    return demand.asked / demand.weight
