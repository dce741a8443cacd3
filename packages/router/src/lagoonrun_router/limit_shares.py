"""Shares of an upstream's rate limit, as pure functions.

A place is the right to send one request to a rate-limited upstream. One entry
VM (the giver) allocates the places, and can't tell entry VMs that are cut off
from those that have ended. So it reserves the shares of those from which it
receives nothing, and those that cannot ask it use no more than their shares.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetCounts:
    """Numbers of entry VMs as one of them sees the fleet.

    Parameters
    ----------
    known
        All that may exist, including this one.
    in_domain
        Those of the own failure domain that are not lost, including this one.
    silent
        All that this one receives nothing from, or that receive nothing.
    """

    known: int
    in_domain: int
    silent: int


def giver_share(counts: FleetCounts) -> float:
    """Return the share of the limit that the giver allocates for the fleet."""
    return max(1, counts.known - counts.silent) / max(1, counts.known)


def domain_share(counts: FleetCounts) -> float:
    """Return the share of a failure domain that cannot ask the giver."""
    return max(1, counts.in_domain) / max(1, counts.known)


def single_share(counts: FleetCounts) -> float:
    """Return the share of a single entry VM that cannot ask the giver."""
    return 1.0 / max(1, counts.known)
