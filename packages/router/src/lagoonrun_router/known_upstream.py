"""What is known of one upstream."""

import dataclasses
import enum

from lagoonrun_router import registration as registrations

_CONTINUING_SECONDS = 1.0
"""Time after the notice that an upstream leaves in which a broken stream may
still be continued there. It serves for at least two seconds after its notice;
the rest allows for the notice's delay and for that of the request."""


class UpstreamState(enum.Enum):
    """Whether an upstream may be sent requests."""

    SERVING = "serving"
    LEAVING = "leaving"
    MISSING = "missing"
    UNREADABLE = "unreadable"
    """Its entry was overwritten by a value that cannot be decoded."""


USABLE_STATES = (UpstreamState.SERVING, UpstreamState.MISSING)


@dataclasses.dataclass(kw_only=True)
class KnownUpstream:
    """The registration and the state of one upstream."""

    registration: registrations.Registration
    state: UpstreamState
    heard_at: float
    missing_since: float = 0.0
    kept_until: float = 0.0
    """Time until which it is used although it is missing."""
    left_at: float | None = None


def left_at(
    known: KnownUpstream | None, state: UpstreamState, now: float
) -> float | None:
    """Return when an upstream began to leave; None if that was not seen.

    One that was leaving when it became known may be about to end.
    """
    if known is None or state is not UpstreamState.LEAVING:
        return None
    return now if known.state is UpstreamState.SERVING else known.left_at


def left_recently(known: KnownUpstream, now: float) -> bool:
    """Return whether broken streams may still be continued there."""
    return (
        known.state is UpstreamState.LEAVING
        and known.left_at is not None
        and now - known.left_at < _CONTINUING_SECONDS
    )
