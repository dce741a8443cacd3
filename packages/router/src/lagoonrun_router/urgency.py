"""Urgency of a request: the order in which an engine serves queued requests.

Request classes and organisations both have tiers. The tier of the class takes
precedence; the organisation's tier only orders requests within a class, so
that a long summary of one organisation never precedes urgent questions of the
others. The page about the users' platform compares the alternatives.
"""

from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import declarations


def of(
    tier: types.Tier,
    organisation: declarations.RankedOrganisation | None,
    *,
    organisation_tiers: int,
) -> int:
    """Return the urgency of a request, 0 for the most urgent.

    Parameters
    ----------
    tier
        Tier of the request class.
    organisation
        Organisation of the caller; without a tier it ranks last in the class.
    organisation_tiers
        Lowest tier (greatest number) of any organisation, at least 1.
    """
    own = organisation_tiers
    if organisation is not None and organisation.tier is not None:
        own = organisation.tier
    return (tier - 1) * organisation_tiers + own - 1


def last(tiers: Iterable[types.Tier], *, organisation_tiers: int) -> int:
    """Return an urgency lower than that of any request of `tiers`."""
    return max(tiers, default=types.HIGHEST_TIER) * organisation_tiers
