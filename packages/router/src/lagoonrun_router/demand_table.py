"""Demand of organisations for one pool and tier, and sums of such tables."""

import dataclasses
import heapq
import math
from collections.abc import Iterable, Mapping, Sequence

from lagoonrun_core import types
from lagoonrun_router import demand_row


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Rest:
    """Demand of all organisations that a table does not list.

    Parameters
    ----------
    organisations
        Their number.
    asked, admitted
        Their sums, in tokens a second.
    """

    organisations: int = 0
    asked: float = 0.0
    admitted: float = 0.0


NO_REST = Rest()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DemandTable:
    """Demand by organisation for one pool and tier.

    Parameters
    ----------
    asked_by_organisation, admitted_by_organisation
        Tokens a second of each listed organisation; the keys are the same.
    rest
        Demand of the organisations that are not listed.
    """

    asked_by_organisation: Mapping[types.OrganisationId, float]
    admitted_by_organisation: Mapping[types.OrganisationId, float]
    rest: Rest = NO_REST

    @property
    def organisations(self) -> int:
        """Number of organisations, listed or not."""
        return len(self.asked_by_organisation) + self.rest.organisations

    @property
    def unlisted_asked(self) -> float:
        """Mean demand of an organisation that is not listed."""
        return self.rest.asked / max(1, self.rest.organisations)

    @property
    def asked(self) -> float:
        """Demand of all organisations."""
        return sum(self.asked_by_organisation.values()) + self.rest.asked

    @property
    def admitted(self) -> float:
        """Admitted demand of all organisations."""
        return sum(self.admitted_by_organisation.values()) + self.rest.admitted

    def asked_of(self, organisation: types.OrganisationId) -> float:
        """Return the demand of an organisation, the mean one if not listed."""
        return self.asked_by_organisation.get(organisation, self.unlisted_asked)

    def shortened(
        self, listed: int = demand_row.LISTED_ORGANISATIONS
    ) -> "DemandTable":
        """Return a table that lists only the largest organisations by name."""
        asked = self.asked_by_organisation
        if len(asked) <= listed:
            return self
        # The name makes the order definite among equal demands.
        largest = heapq.nlargest(
            listed,
            asked,
            key=lambda organisation: (asked[organisation], organisation),
        )
        kept_asked = {one: asked[one] for one in largest}
        admitted = self.admitted_by_organisation
        kept_admitted = {one: admitted[one] for one in largest}
        return DemandTable(
            asked_by_organisation=kept_asked,
            admitted_by_organisation=kept_admitted,
            rest=Rest(
                organisations=self.organisations - len(largest),
                asked=self.rest.asked + _excess(asked, kept_asked),
                admitted=self.rest.admitted + _excess(admitted, kept_admitted),
            ),
        )

    def rows(
        self,
        key: demand_row.ShareKey,
        *,
        listed: int = demand_row.LISTED_ORGANISATIONS,
    ) -> tuple[demand_row.DemandRow, ...]:
        """Return the rows of a message: the largest by name and the rest."""
        table = self.shortened(listed)
        rows = [
            demand_row.DemandRow(
                key=key,
                organisation=organisation,
                organisations=1,
                asked=asked,
                admitted=table.admitted_by_organisation[organisation],
            )
            for organisation, asked in table.asked_by_organisation.items()
        ]
        if table.rest.organisations:
            rows.append(
                demand_row.DemandRow(
                    key=key,
                    organisation=demand_row.OTHERS,
                    organisations=table.rest.organisations,
                    asked=table.rest.asked,
                    admitted=table.rest.admitted,
                )
            )
        return tuple(rows)


NO_DEMAND = DemandTable(asked_by_organisation={}, admitted_by_organisation={})


def from_rows(
    rows: Iterable[demand_row.DemandRow],
) -> dict[demand_row.ShareKey, DemandTable]:
    """Return the tables of a message by pool and tier."""
    rows_by_key: dict[demand_row.ShareKey, list[demand_row.DemandRow]] = {}
    for row in rows:
        rows_by_key.setdefault(row.key, []).append(row)
    return {key: _table(of_key) for key, of_key in rows_by_key.items()}


def _table(rows: Iterable[demand_row.DemandRow]) -> DemandTable:
    asked: dict[types.OrganisationId, float] = {}
    admitted: dict[types.OrganisationId, float] = {}
    rest = NO_REST
    for row in rows:
        if row.organisation == demand_row.OTHERS:
            rest = Rest(
                organisations=max(1, row.organisations),
                asked=_valid_rate(row.asked),
                admitted=_valid_rate(row.admitted),
            )
        else:
            asked[row.organisation] = _valid_rate(row.asked)
            admitted[row.organisation] = _valid_rate(row.admitted)
    table = DemandTable(
        asked_by_organisation=asked,
        admitted_by_organisation=admitted,
        rest=rest,
    )
    # A longer message must not use more memory.
    return table.shortened()


def sum_of(tables: Sequence[DemandTable]) -> DemandTable:
    """Return the sum of tables, which lists all organisations listed by any.

    An organisation may be listed by one table and be in the rest of another.
    Each rest is divided equally among the organisations that its table may
    contain without listing them, so the demand of a listed organisation is not
    understated, and the sum of all demands is exact.

    The number of all organisations is unknown, because the same ones may be in
    several rests. It is taken as the largest number that is certain: most
    organisations are seen by several entry VMs.
    """
    if len(tables) == 1:
        return tables[0]
    asked: dict[types.OrganisationId, float] = {}
    admitted: dict[types.OrganisationId, float] = {}
    for table in tables:
        for organisation, rate in table.asked_by_organisation.items():
            asked[organisation] = asked.get(organisation, 0.0) + rate
        for organisation, rate in table.admitted_by_organisation.items():
            admitted[organisation] = admitted.get(organisation, 0.0) + rate
    organisations = max(
        (len(asked), *(table.organisations for table in tables))
    )
    unlisted_asked = 0.0
    unlisted_admitted = 0.0
    for table in tables:
        if not table.rest.organisations:
            continue
        unlisted = organisations - len(table.asked_by_organisation)
        asked_by_each = table.rest.asked / unlisted
        admitted_by_each = table.rest.admitted / unlisted
        unlisted_asked += asked_by_each
        unlisted_admitted += admitted_by_each
        for organisation in table.asked_by_organisation:
            asked[organisation] -= asked_by_each
            admitted[organisation] -= admitted_by_each
    if unlisted_asked or unlisted_admitted:
        for organisation in asked:
            asked[organisation] = max(0.0, asked[organisation] + unlisted_asked)
            admitted[organisation] = max(
                0.0, admitted[organisation] + unlisted_admitted
            )
    in_rest = organisations - len(asked)
    return DemandTable(
        asked_by_organisation=asked,
        admitted_by_organisation=admitted,
        rest=Rest(
            organisations=in_rest,
            asked=in_rest * unlisted_asked,
            admitted=in_rest * unlisted_admitted,
        ),
    )


def larger_of(reported: DemandTable, own: DemandTable) -> DemandTable:
    """Return a reported sum, with the own demand where that is larger.

    The sum contains the own demand except the newest, so the two must not be
    added.
    """
    asked = dict(reported.asked_by_organisation)
    admitted = dict(reported.admitted_by_organisation)
    rest = reported.rest
    unlisted_asked = reported.unlisted_asked
    taken = 0
    for organisation, own_asked in own.asked_by_organisation.items():
        if own_asked > asked.get(organisation, unlisted_asked):
            taken += organisation not in asked
            asked[organisation] = own_asked
            admitted[organisation] = own.admitted_by_organisation[organisation]
    left = max(0, rest.organisations - taken)
    part = left / max(1, rest.organisations)
    return DemandTable(
        asked_by_organisation=asked,
        admitted_by_organisation=admitted,
        rest=Rest(
            organisations=left,
            asked=rest.asked * part,
            admitted=rest.admitted * part,
        ),
    )


def _excess(
    rates: Mapping[types.OrganisationId, float],
    kept: Mapping[types.OrganisationId, float],
) -> float:
    # Clamped because of rounding errors.
    return max(0.0, sum(rates.values()) - sum(kept.values()))


def _valid_rate(rate: float) -> float:
    return rate if math.isfinite(rate) and rate > 0.0 else 0.0
