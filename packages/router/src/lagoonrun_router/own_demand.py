"""Demand of organisations as this entry VM sees it in its own requests."""

import dataclasses
import math

from lagoonrun_core import types
from lagoonrun_router import demand_row, demand_table

TIME_CONSTANT_SECONDS = 1.0
"""Time in which the weight of a request in the measured rates decays to 1/e.

The rates have the noise and the mean delay of those over a sliding window of
2 s. All entry VMs use the same linear filter, so their figures can be summed.
"""

MAX_ORGANISATIONS = 4096
"""Maximum number of organisations over all pools and tiers; at about 250 bytes
each, one megabyte."""

_IDLE_SECONDS = 5.0
"""Time after its last request from which an organisation is not counted.

By then less than 1 % of its last request is left in its rate.
"""


@dataclasses.dataclass(kw_only=True, slots=True)
class _Traffic:
    """Decaying rates, in tokens a second.

    Parameters
    ----------
    asked, admitted
        Rates at `at`.
    asked_before
        Asked rate at `at` without the newest request.
    at
        Monotonic time of the newest request or admission.
    """

    asked: float = 0.0
    admitted: float = 0.0
    asked_before: float = 0.0
    at: float

    def decay_factor(self, now: float) -> float:
        """Return what is left at `now` of a rate at `at`."""
        return math.exp(min(0.0, self.at - now) / TIME_CONSTANT_SECONDS)

    def decay_to(self, now: float) -> None:
        """Decay the rates to `now`."""
        factor = self.decay_factor(now)
        self.asked *= factor
        self.admitted *= factor
        self.asked_before *= factor
        self.at = max(self.at, now)


@dataclasses.dataclass(kw_only=True, slots=True)
class _KeyTraffic:
    """Traffic for one pool and tier.

    Parameters
    ----------
    evicted
        Traffic of organisations that were evicted, which remains part of the
        demand.
    """

    by_organisation: dict[types.OrganisationId, _Traffic]
    evicted: _Traffic


class OwnDemand:
    """Rates by organisation of the requests that this entry VM received."""

    def __init__(self) -> None:
        self._traffic_by_key: dict[demand_row.ShareKey, _KeyTraffic] = {}
        self._size = 0

    @property
    def size(self) -> int:
        """Number of organisations over all pools and tiers."""
        return self._size

    def record_arrival(
        self,
        key: demand_row.ShareKey,
        organisation: types.OrganisationId,
        *,
        cost: float,
        now: float,
    ) -> None:
        """Count a request, whether or not it will be admitted."""
        traffic = self._decayed_traffic(key, organisation, now)
        traffic.asked_before = traffic.asked
        traffic.asked += cost / TIME_CONSTANT_SECONDS

    def record_admission(
        self,
        key: demand_row.ShareKey,
        organisation: types.OrganisationId,
        *,
        cost: float,
        now: float,
    ) -> None:
        """Count an admitted request."""
        traffic = self._decayed_traffic(key, organisation, now)
        traffic.admitted += cost / TIME_CONSTANT_SECONDS

    def asked_before(
        self,
        key: demand_row.ShareKey,
        organisation: types.OrganisationId,
        *,
        now: float,
    ) -> float:
        """Return the rate asked by an organisation without its newest request.

        A rate that contains the request to be decided on overstates the demand
        of organisations with few requests.
        """
        of_key = self._traffic_by_key.get(key)
        traffic = of_key and of_key.by_organisation.get(organisation)
        if not traffic:
            return 0.0
        return traffic.asked_before * traffic.decay_factor(now)

    def table(
        self, key: demand_row.ShareKey, *, now: float
    ) -> demand_table.DemandTable:
        """Return the rates of all organisations for a pool and tier."""
        of_key = self._traffic_by_key.get(key)
        if of_key is None:
            return demand_table.NO_DEMAND
        asked: dict[types.OrganisationId, float] = {}
        admitted: dict[types.OrganisationId, float] = {}
        for organisation, traffic in of_key.by_organisation.items():
            if now - traffic.at < _IDLE_SECONDS:
                factor = traffic.decay_factor(now)
                asked[organisation] = traffic.asked * factor
                admitted[organisation] = traffic.admitted * factor
        if not asked:
            return demand_table.NO_DEMAND
        return demand_table.DemandTable(
            asked_by_organisation=asked,
            admitted_by_organisation=admitted,
            rest=_evicted_rest(of_key.evicted, asked, now),
        )

    def tables(
        self, *, now: float
    ) -> dict[demand_row.ShareKey, demand_table.DemandTable]:
        """Return the rates by pool and tier."""
        self._remove_idle(now)
        return {key: self.table(key, now=now) for key in self._traffic_by_key}

    def _decayed_traffic(
        self,
        key: demand_row.ShareKey,
        organisation: types.OrganisationId,
        now: float,
    ) -> _Traffic:
        """Return the traffic of an organisation, decayed to `now`."""
        of_key = self._traffic_by_key.get(key)
        if of_key is None:
            of_key = self._traffic_by_key[key] = _KeyTraffic(
                by_organisation={}, evicted=_Traffic(at=now)
            )
        traffic = of_key.by_organisation.get(organisation)
        if traffic is None:
            if self._size >= MAX_ORGANISATIONS:
                self._evict(now)
            traffic = of_key.by_organisation[organisation] = _Traffic(at=now)
            self._size += 1
        else:
            traffic.decay_to(now)
        return traffic

    def _evict(self, now: float) -> None:
        """Drop the least recent quarter of the organisations."""
        times = sorted(
            traffic.at
            for of_key in self._traffic_by_key.values()
            for traffic in of_key.by_organisation.values()
        )
        count = max(1, len(times) // 4)
        newest_evicted = times[count - 1]
        for of_key in self._traffic_by_key.values():
            of_key.evicted.decay_to(now)
            for organisation, traffic in tuple(of_key.by_organisation.items()):
                # Of several with the time of the newest, only as many as needed.
                if count and traffic.at <= newest_evicted:
                    traffic.decay_to(now)
                    of_key.evicted.asked += traffic.asked
                    of_key.evicted.admitted += traffic.admitted
                    del of_key.by_organisation[organisation]
                    self._size -= 1
                    count -= 1

    def _remove_idle(self, now: float) -> None:
        for key, of_key in tuple(self._traffic_by_key.items()):
            for organisation, traffic in tuple(of_key.by_organisation.items()):
                if now - traffic.at >= _IDLE_SECONDS:
                    del of_key.by_organisation[organisation]
                    self._size -= 1
            if not of_key.by_organisation:
                del self._traffic_by_key[key]


def _evicted_rest(
    evicted: _Traffic,
    asked_by_organisation: dict[types.OrganisationId, float],
    now: float,
) -> demand_table.Rest:
    """Return the demand of evicted organisations.

    Their number is not kept, because one may come back: they are taken to ask
    as much as the others, which understates their number.
    """
    factor = evicted.decay_factor(now)
    asked = evicted.asked * factor
    mean = sum(asked_by_organisation.values()) / len(asked_by_organisation)
    if not mean or asked < mean:
        return demand_table.NO_REST
    return demand_table.Rest(
        organisations=round(asked / mean),
        asked=asked,
        admitted=evicted.admitted * factor,
    )
