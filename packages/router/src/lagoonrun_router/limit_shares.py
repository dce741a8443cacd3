"""Which part of what the fleet shares falls to whom. Pure decisions.

Places at a limited upstream are given out by one entry VM, which can't tell those
that are cut off from those that have ended. So it leaves to whoever it does not hear
their part of the limit, and they use no more than that among themselves.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetCounts:
    """The entry VMs as one of them sees them; each count has itself in it.

    Parameters
    ----------
    known
        All that there may be.
    near
        Those of the own failure domain that are heard.
    silent
        All that can't be heard from here, or can't hear.
    """

    known: int
    near: int
    silent: int


def giver_share(view: FleetCounts) -> float:
    """Return the part that falls to who gives out places for the fleet."""
    return max(1, view.known - view.silent) / max(1, view.known)


def domain_share(view: FleetCounts) -> float:
    """Return the part that falls to a failure domain that can't ask."""
    return max(1, view.near) / max(1, view.known)


def single_share(view: FleetCounts) -> float:
    """Return the part that falls to one entry VM that can't ask."""
    return 1.0 / max(1, view.known)
