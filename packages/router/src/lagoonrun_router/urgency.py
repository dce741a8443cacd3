"""The order in which an engine serves requests of classes and organisations.

Both have tiers. The class goes first: an organisation's tier orders the
requests within a class, and never puts a long summary of one organisation
before the urgent questions of all others. Ways weighed, with the figures of
each, are on the page about the users' platform.
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
        Tier of the request's class.
    organisation
        Who asks; one without a tier comes last within a class.
    organisation_tiers
        Lowest tier of any organisation, at least 1.
    """
    own = organisation_tiers
    if organisation is not None and organisation.tier is not None:
        own = organisation.tier
    return (tier - 1) * organisation_tiers + own - 1


def last(tiers: Iterable[types.Tier], *, organisation_tiers: int) -> int:
    """Return the urgency after those of all `tiers`."""
    return max(tiers, default=types.HIGHEST_TIER) * organisation_tiers
