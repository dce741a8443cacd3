"""Fair shares of a pool's capacity for organisations, while it is short.

The capacity for a tier is divided by weighted max-min fairness among the
organisations of the whole fleet. Each entry VM admits a request if a random
draw is below the fraction of its organisation's demand that the share covers:
an entry VM of a large fleet sees too few requests of most organisations to
count them against a rate.

The demand is what is asked, not what is admitted, so that a limit does not
change the figures that it is derived from.
"""

import dataclasses
import math
from collections.abc import Callable, Iterable, Mapping

from lagoonrun_core import types
from lagoonrun_router import demand_row, demand_table, max_min, own_demand

REPORT_SECONDS = 1.5
"""Age from which a report of demand is ignored; the same as for loads."""

MAX_RETRY_SECONDS = 10.0
"""Maximum of `ShareDecision.retry_seconds`. The admission floor admits one
request of a class in this time, whatever the share."""

_CACHE_SECONDS = 0.1
"""Time for which the sum of all reports is reused. Reports are up to 0.5 s old
anyway, and a sum of a hundred of them takes about a millisecond."""

_PART_HALF_LIFE_SECONDS = 5.0
"""Half-life of the average of the own part of the demand. Over a few seconds, an
entry VM of a large fleet receives too few requests to derive it from."""

_PART_EXPIRY_SECONDS = 60.0
"""Time without reports after which the own part is 1. Until then the other entry
VMs may be cut off but running; by then they are more likely to have ended, and a
remaining entry VM should use the whole capacity."""

_MIN_PART = 0.002
"""Minimum of the own part: that of an average entry VM in the largest fleet, 510.
An entry VM that had no requests when it was cut off may receive some later."""

_MIN_WEIGHT = 0.01
"""The smallest weight that an operator may set."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ShareDecision:
    """Whether the share of an organisation admits a request, and why.

    Parameters
    ----------
    admitted
        Whether the request is admitted.
    fraction
        Fraction of the organisation's requests that is admitted.
    asked
        Tokens a second asked by the organisation, without this request; in the
        whole fleet, or at this entry VM if `from_fleet` is false.
    fair_rate
        Tokens a second up to which an organisation of its weight is not
        limited; at most the capacity.
    retry_seconds
        Time until the share of the organisation has capacity; 0 if admitted.
    from_fleet
        Whether other entry VMs have reported their demand recently.
    scarce
        Whether the capacity is less than the demand, so that some organisation
        is limited.
    """

    admitted: bool
    fraction: float
    asked: float
    fair_rate: float
    retry_seconds: float
    from_fleet: bool
    scarce: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Report:
    table_by_key: Mapping[demand_row.ShareKey, demand_table.DemandTable]
    asked_by_key: Mapping[demand_row.ShareKey, float]
    at: float

    def is_current(self, now: float) -> bool:
        return now - self.at < REPORT_SECONDS


@dataclasses.dataclass(kw_only=True)
class _View:
    """Demand for a pool and tier, as known at a time.

    Parameters
    ----------
    own
        Demand of this entry VM.
    total
        Demand that the capacity is divided among.
    asked
        Sum of `total`.
    from_fleet
        Whether there is a current report of other entry VMs.
    reported_sum
        Sum reported by a relay, which contains the own demand except the
        newest; None without a current one.
    levels
        Fair levels of `total`; None until the first decision.
    """

    at: float
    own: demand_table.DemandTable
    total: demand_table.DemandTable
    asked: float
    from_fleet: bool
    reported_sum: demand_table.DemandTable | None
    levels: max_min.FairLevels | None = None


@dataclasses.dataclass(kw_only=True)
class _Part:
    """Own part of the demand for a pool and tier, over the last seconds.

    Parameters
    ----------
    own_tokens, tokens
        Decaying sums of the own and the whole demand over time.
    at
        Monotonic time of the newest sample, which had a current report.
    """

    own_tokens: float = 0.0
    tokens: float = 0.0
    at: float

    def add(self, *, own_asked: float, asked: float, now: float) -> None:
        # Time without reports does not count.
        seconds = min(max(0.0, now - self.at), REPORT_SECONDS)
        kept = 0.5 ** (seconds / _PART_HALF_LIFE_SECONDS)
        self.own_tokens = self.own_tokens * kept + own_asked * seconds
        self.tokens = self.tokens * kept + asked * seconds
        self.at = max(self.at, now)


class OrganisationShares:
    """Demand by organisation, own and reported, and decisions by shares."""

    def __init__(self) -> None:
        self._own = own_demand.OwnDemand()
        self._report_by_peer: dict[types.LoadReporter, _Report] = {}
        self._fleet_report = _report((), float("-inf"))
        self._view_by_key: dict[demand_row.ShareKey, _View] = {}
        self._part_by_key: dict[demand_row.ShareKey, _Part] = {}

    # Own requests.

    def record_arrival(
        self,
        key: demand_row.ShareKey,
        organisation: types.OrganisationId,
        *,
        cost: float,
        now: float,
        repeated: bool = False,
    ) -> None:
        """Count a request that has arrived, whether or not it is admitted.

        Parameters
        ----------
        cost
            Prompt tokens that are not cached.
        repeated
            Whether the caller repeats a refused request, which is not counted
            again: refusing an organisation must not raise its demand.
        """
        if not repeated:
            self._own.record_arrival(
                key,
                organisation or demand_row.PUBLIC,
                cost=max(1.0, cost),
                now=now,
            )

    def record_admission(
        self,
        key: demand_row.ShareKey,
        organisation: types.OrganisationId,
        *,
        cost: float,
        now: float,
    ) -> None:
        """Count a request that is admitted."""
        self._own.record_admission(
            key, organisation or demand_row.PUBLIC, cost=max(1.0, cost), now=now
        )

    # Decisions.

    def decide(
        self,
        key: demand_row.ShareKey,
        organisation: types.OrganisationId,
        *,
        cost: float,
        capacity: float,
        weights: Callable[[types.OrganisationId], float],
        draw: float,
        now: float,
    ) -> ShareDecision:
        """Return whether the share of an organisation admits a request.

        Parameters
        ----------
        cost
            Prompt tokens of the request that are not cached.
        capacity
            Tokens a second that the tier may use, fleet-wide.
        weights
            Returns the weight of an organisation. Those that are not listed by
            name have the mean weight of the others.
        draw
            Number from 0 to 1, uniform over requests.
        """
        organisation = organisation or demand_row.PUBLIC
        view = self._view(key, now)
        if not view.from_fleet:
            capacity *= self._part(key, now)
        capacity = max(0.0, capacity)
        if view.levels is None:
            view.levels = max_min.FairLevels(_demands(view.total, weights))
        level = view.levels.level(capacity)
        fair_rate = min(capacity, level * _valid_weight(weights(organisation)))
        asked = self._asked(key, organisation, view, now)
        fraction = fair_rate / asked if asked > fair_rate else 1.0
        admitted = draw < fraction or fraction >= 1.0
        return ShareDecision(
            admitted=admitted,
            fraction=fraction,
            asked=asked,
            fair_rate=fair_rate,
            retry_seconds=(
                0.0 if admitted else _retry_seconds(asked, fair_rate, cost)
            ),
            from_fleet=view.from_fleet,
            scarce=level < math.inf,
        )

    def demand_of(self, key: demand_row.ShareKey, *, now: float) -> float:
        """Return the tokens a second asked by all organisations.

        Without a current report it is extrapolated from the own demand.
        """
        view = self._view(key, now)
        if view.from_fleet:
            return view.asked
        return view.own.asked / self._part(key, now)

    def admitted_of(self, key: demand_row.ShareKey, *, now: float) -> float:
        """Return the tokens a second that were admitted of all organisations.

        Without a current report it is extrapolated from the own admissions.
        """
        view = self._view(key, now)
        if view.from_fleet:
            return view.total.admitted
        return view.own.admitted / self._part(key, now)

    def own_part(self, key: demand_row.ShareKey, *, now: float) -> float:
        """Return the part of the demand that this entry VM receives.

        It is an average over the last seconds with reports, sampled by
        `own_rows`. Without any report it is 1.
        """
        return self._part(key, now)

    # Reports.

    def own_rows(self, *, now: float) -> tuple[demand_row.DemandRow, ...]:
        """Return the own demand, to be reported to the other entry VMs.

        It is called several times a second, and also removes what has expired.
        """
        self._remove_expired(now)
        tables = self._own.tables(now=now)
        self._sample_parts(tables, now)
        return _message_rows(tables)

    def apply_report(
        self,
        peer: types.LoadReporter,
        rows: Iterable[demand_row.DemandRow],
        *,
        now: float,
    ) -> None:
        """Replace a peer's report of its own demand."""
        self._report_by_peer[peer] = _report(rows, now)

    def record_contact(self, peer: types.LoadReporter, *, now: float) -> None:
        """Record that a peer is connected, though this message has no demand.

        A peer that asks for nothing sends no rows; without this it would be
        taken to be cut off. Rows that it sent recently stay in effect.
        """
        report = self._report_by_peer.get(peer)
        if (
            report is None
            or not report.table_by_key
            or not report.is_current(now)
        ):
            self._report_by_peer[peer] = _report((), now)

    def apply_fleet_report(
        self, rows: Iterable[demand_row.DemandRow], *, now: float
    ) -> None:
        """Replace the sum of the demand at all entry VMs, own included."""
        self._report_by_peer.clear()
        self._fleet_report = _report(rows, now)

    def forget_peer(self, peer: types.LoadReporter) -> None:
        """Drop the report of a lost peer."""
        self._report_by_peer.pop(peer, None)

    def rows_with(
        self, peers: Iterable[types.LoadReporter], *, now: float
    ) -> tuple[demand_row.DemandRow, ...]:
        """Return the sum of the own demand and that reported by `peers`."""
        self._remove_expired(now)
        tables_by_key: dict[
            demand_row.ShareKey, list[demand_table.DemandTable]
        ] = {}
        for key, table in self._own.tables(now=now).items():
            tables_by_key[key] = [table]
        for peer in peers:
            report = self._report_by_peer.get(peer)
            if report is not None:
                for key, table in report.table_by_key.items():
                    tables_by_key.setdefault(key, []).append(table)
        return _message_rows(
            {
                key: demand_table.sum_of(tables)
                for key, tables in tables_by_key.items()
            }
        )

    def known_rows(self, *, now: float) -> tuple[demand_row.DemandRow, ...]:
        """Return the known demand of the fleet, for operators."""
        if not self._fleet_report.is_current(now):
            return self.rows_with(tuple(self._report_by_peer), now=now)
        return tuple(
            row
            for key, table in self._fleet_report.table_by_key.items()
            for row in table.rows(key)
        )

    # Helpers.

    def _view(self, key: demand_row.ShareKey, now: float) -> _View:
        """Return the known demand, at most `_CACHE_SECONDS` old."""
        view = self._view_by_key.get(key)
        if view is None or now - view.at >= _CACHE_SECONDS:
            view = self._view_by_key[key] = self._new_view(key, now)
        return view

    def _new_view(self, key: demand_row.ShareKey, now: float) -> _View:
        own = self._own.table(key, now=now)
        if self._fleet_report.is_current(now):
            reported_sum = self._fleet_report.table_by_key.get(
                key, demand_table.NO_DEMAND
            )
            total = demand_table.larger_of(reported_sum, own)
            return _View(
                at=now,
                own=own,
                total=total,
                asked=total.asked,
                from_fleet=True,
                reported_sum=reported_sum,
            )
        reports = self._current_reports(now)
        tables = (report.table_by_key.get(key) for report in reports)
        total = demand_table.sum_of(
            [own, *(table for table in tables if table is not None)]
        )
        return _View(
            at=now,
            own=own,
            total=total,
            asked=total.asked,
            from_fleet=bool(reports),
            reported_sum=None,
        )

    def _asked(
        self,
        key: demand_row.ShareKey,
        organisation: types.OrganisationId,
        view: _View,
        now: float,
    ) -> float:
        """Return the demand of an organisation without its newest request.

        The own part is not taken from the view, so that a burst is limited from
        its first requests on.
        """
        own = self._own.asked_before(key, organisation, now=now)
        if view.reported_sum is not None:
            return max(own, view.reported_sum.asked_of(organisation))
        own_in_view = view.own.asked_by_organisation.get(organisation, 0.0)
        others = view.total.asked_of(organisation) - own_in_view
        return own + max(0.0, others)

    def _current_reports(self, now: float) -> list[_Report]:
        """Return the current reports of single peers."""
        return [
            report
            for report in self._report_by_peer.values()
            if report.is_current(now)
        ]

    def _sample_parts(
        self,
        own_tables: Mapping[demand_row.ShareKey, demand_table.DemandTable],
        now: float,
    ) -> None:
        asked_by_key = {key: one.asked for key, one in own_tables.items()}
        own_asked_by_key = dict(asked_by_key)
        if self._fleet_report.is_current(now):
            for key, asked in self._fleet_report.asked_by_key.items():
                asked_by_key[key] = max(asked, asked_by_key.get(key, 0.0))
        else:
            reports = self._current_reports(now)
            if not reports:
                return
            for report in reports:
                for key, asked in report.asked_by_key.items():
                    asked_by_key[key] = asked_by_key.get(key, 0.0) + asked
        for key, asked in asked_by_key.items():
            part = self._part_by_key.get(key)
            if part is None:
                part = self._part_by_key[key] = _Part(at=now)
            part.add(
                own_asked=own_asked_by_key.get(key, 0.0), asked=asked, now=now
            )

    def _part(self, key: demand_row.ShareKey, now: float) -> float:
        part = self._part_by_key.get(key)
        if (
            part is None
            or not part.tokens
            or now - part.at >= _PART_EXPIRY_SECONDS
        ):
            return 1.0
        return max(_MIN_PART, part.own_tokens / part.tokens)

    def _remove_expired(self, now: float) -> None:
        for peer, report in tuple(self._report_by_peer.items()):
            if not report.is_current(now):
                del self._report_by_peer[peer]
        for key, view in tuple(self._view_by_key.items()):
            if now - view.at >= REPORT_SECONDS:
                del self._view_by_key[key]
        for key, part in tuple(self._part_by_key.items()):
            if now - part.at >= _PART_EXPIRY_SECONDS:
                del self._part_by_key[key]


def _report(rows: Iterable[demand_row.DemandRow], at: float) -> _Report:
    table_by_key = demand_table.from_rows(rows)
    return _Report(
        table_by_key=table_by_key,
        asked_by_key={key: table.asked for key, table in table_by_key.items()},
        at=at,
    )


def _message_rows(
    table_by_key: Mapping[demand_row.ShareKey, demand_table.DemandTable],
) -> tuple[demand_row.DemandRow, ...]:
    """Return the rows of a message with the tables."""
    listed = demand_row.listed_organisations(len(table_by_key))
    return tuple(
        row
        for key, table in table_by_key.items()
        for row in table.rows(key, listed=listed)
    )


def _demands(
    table: demand_table.DemandTable,
    weights: Callable[[types.OrganisationId], float],
) -> list[max_min.Demand]:
    demands = [
        max_min.Demand(asked=asked, weight=_valid_weight(weights(organisation)))
        for organisation, asked in table.asked_by_organisation.items()
    ]
    if table.rest.organisations:
        mean = 1.0
        if demands:
            mean = sum(demand.weight for demand in demands) / len(demands)
        demands.append(
            max_min.Demand(
                asked=table.rest.asked, weight=mean * table.rest.organisations
            )
        )
    return demands


def _valid_weight(weight: float) -> float:
    return weight if weight > _MIN_WEIGHT else _MIN_WEIGHT


def _retry_seconds(asked: float, fair_rate: float, cost: float) -> float:
    """Return the time in which the share serves what exceeds it.

    The excess is that of the time over which the demand is measured: callers
    refused during that time were told to return before this one.
    """
    excess = (asked - fair_rate) * own_demand.TIME_CONSTANT_SECONDS
    tokens = max(cost, excess)
    if tokens >= fair_rate * MAX_RETRY_SECONDS:
        return MAX_RETRY_SECONDS
    return tokens / fair_rate
