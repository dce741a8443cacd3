"""Records of the demand of organisations, as entry VMs exchange them."""

import dataclasses

from lagoonrun_core import types

OTHERS = types.OrganisationId("")
"""Organisation of a row that aggregates those that are not listed by name."""

PUBLIC = types.OrganisationId("public")
"""Organisation of the requests that name none."""

LISTED_ORGANISATIONS = 24
"""Number of organisations that a message lists by name for each pool and tier.

It bounds the size of messages for any number of organisations.
"""

LISTED_ROWS = 6 * LISTED_ORGANISATIONS
"""Number of rows of listed organisations in a message: those of six tiers of one
pool, about 4 KB. With more pools, fewer organisations are listed for each."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShareKey:
    """A pool and tier, whose capacity is shared among organisations."""

    pool: types.PoolName
    tier: types.Tier


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DemandRow:
    """Demand of an organisation, or of all that are not listed.

    Parameters
    ----------
    organisation
        `OTHERS` for the aggregated rest.
    organisations
        1, or the number of organisations in the rest.
    asked
        Demand in tokens a second: prompt tokens that are not cached.
    admitted
        Admitted part of it.
    """

    key: ShareKey
    organisation: types.OrganisationId
    organisations: int
    asked: float
    admitted: float


def listed_organisations(keys: int) -> int:
    """Return how many organisations a message lists for each of its keys."""
    return max(1, min(LISTED_ORGANISATIONS, LISTED_ROWS // max(1, keys)))
