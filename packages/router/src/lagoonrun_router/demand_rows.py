"""Conversion of organisations' demand to and from rows of a message."""

from collections.abc import Iterable

from lagoonrun_core import errors, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import demand_row, format_error, peer_loads

_WIDTH = 5


def to_rows(
    demands: Iterable[demand_row.DemandRow],
) -> router_messages.DemandRows:
    """Return demand as rows for a message."""
    listed = tuple(demands)
    if not listed:
        return router_messages.NO_DEMANDS
    index_by_pool: dict[types.PoolName, int] = {}
    numbers: list[float] = []
    for one in listed:
        pool_index = index_by_pool.setdefault(one.key.pool, len(index_by_pool))
        numbers += (
            pool_index,
            one.key.tier,
            one.organisations,
            one.asked,
            one.admitted,
        )
    return router_messages.DemandRows(
        pools="\n".join(index_by_pool),
        organisations="\n".join(one.organisation for one in listed),
        numbers=peer_loads.packed(numbers),
    )


def from_rows(
    rows: router_messages.DemandRows,
) -> tuple[demand_row.DemandRow, ...]:
    """Return the demand in the rows of a message.

    Raises
    ------
    FormatError
        If the number of rows does not match the organisations, or a pool is
        not listed.
    """
    if not rows:
        return ()
    pools = rows.pools.split("\n")
    organisations = rows.organisations.split("\n")
    numbers = peer_loads.unpacked(
        rows.numbers, count=_WIDTH * len(organisations)
    )
    return tuple(
        _demand(
            pools, organisation, numbers[index * _WIDTH : (index + 1) * _WIDTH]
        )
        for index, organisation in enumerate(organisations)
    )


def _demand(
    pools: list[str], organisation: str, row: tuple[int, ...]
) -> demand_row.DemandRow:
    pool_index, tier, organisations, asked, admitted = row
    if pool_index >= len(pools):
        raise format_error.FormatError(
            step=errors.Step.PEER_FRAME,
            detail=f"pool {pool_index} of {len(pools)}; valid: a listed pool",
        )
    return demand_row.DemandRow(
        key=demand_row.ShareKey(
            pool=types.PoolName(pools[pool_index]), tier=types.Tier(tier)
        ),
        organisation=types.OrganisationId(organisation),
        organisations=organisations,
        asked=float(asked),
        admitted=float(admitted),
    )
