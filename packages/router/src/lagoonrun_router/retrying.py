"""Whether a lost request may be sent to another upstream. Pure decisions."""

import dataclasses
import enum

from lagoonrun_core import outcomes
from lagoonrun_router import attempt_result
from lagoonrun_router import call as calls

MAX_UNREACHED = 3
"""Upstreams that a request fails to reach before its caller is told. Each takes
0.4 s where it is dark or cut off."""

MAX_REFUSED = 12
"""Upstreams that refuse a connection before the caller is told. Each takes a round
trip; after a crash of a third of a pool, one request in thirty finds three of them
in a row, until the store lists them no more seconds later."""

MAX_REFUSAL_SECONDS = 0.05
"""Time within which an upstream that refuses connections has done so: ten round
trips between failure domains."""

_MIN_TARGET_FRACTION = 0.25
"""Part of the target below which another attempt can't succeed any more."""


class RetryDecision(enum.Enum):
    """What becomes of a lost request."""

    FREE = "free"
    """Another send that repeats nothing: no upstream has had the request."""

    PAID = "paid"
    """Another send that draws on the shared budget."""

    END = "end"
    """No other send."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendCounts:
    """Sends of one request so far.

    Parameters
    ----------
    reached
        Upstreams that had the request, those that were not meant left out.
    unreached
        Upstreams that no connection was had to, or that were not meant.
    refused
        Upstreams that refused a connection at once.
    """

    reached: int = 0
    unreached: int = 0
    refused: int = 0

    def with_lost(
        self, lost: attempt_result.Lost, *, seconds: float
    ) -> "SendCounts":
        """Return the count with one more lost attempt.

        Parameters
        ----------
        seconds
            How long the attempt took.
        """
        if lost.sent and not lost.misdirected:
            return dataclasses.replace(self, reached=self.reached + 1)
        if not lost.misdirected and seconds < MAX_REFUSAL_SECONDS:
            return dataclasses.replace(self, refused=self.refused + 1)
        return dataclasses.replace(self, unreached=self.unreached + 1)


def decide(
    call: calls.Call,
    lost: attempt_result.Lost,
    sends: SendCounts,
    *,
    now: float,
) -> RetryDecision:
    """Return whether `call` may go to another upstream.

    Parameters
    ----------
    sends
        All sends so far, the lost one included.
    """
    target = call.route.profile.target_seconds
    if call.limit_at - now < _MIN_TARGET_FRACTION * min(target, 1.0):
        return RetryDecision.END
    if not lost.sent or lost.misdirected:
        if sends.unreached >= MAX_UNREACHED or sends.refused >= MAX_REFUSED:
            return RetryDecision.END
        # A request at an address that another process has by now counts as
        # an arrival there, although that process does not run it.
        return RetryDecision.PAID if lost.misdirected else RetryDecision.FREE
    if sends.reached >= call.route.profile.maximum_attempts:
        return RetryDecision.END
    if lost.ran is outcomes.Outcome.NOT_RUN:
        return RetryDecision.PAID
    if lost.ran is outcomes.Outcome.PARTIAL:
        return RetryDecision.PAID if call.route.resumable else RetryDecision.END
    may_repeat = call.idempotent or call.route.resumable
    return RetryDecision.PAID if may_repeat else RetryDecision.END
