"""Whether a failed attempt may be retried elsewhere. Pure functions."""

import dataclasses
import enum

from lagoonrun_core import outcomes
from lagoonrun_router import attempt_result
from lagoonrun_router import call as calls

MAX_UNREACHED = 3
"""Upstreams that a request fails to reach before the caller gets an error. Each
attempt takes 0.4 s if the upstream is unresponsive or cut off."""

MAX_REFUSED = 12
"""Upstreams that refuse a connection before the caller gets an error. Each
attempt takes one round trip. After a crash of a third of a pool, one request in
thirty meets three crashed upstreams in a row, until the store removes them
seconds later."""

MAX_REFUSAL_SECONDS = 0.05
"""Maximum duration of an attempt that counts as a refused connection: ten round
trips between failure domains."""

_MIN_TARGET_FRACTION = 0.25
"""Remaining time, as a fraction of the target, below which a retry can't
succeed."""


class RetryDecision(enum.Enum):
    """Whether a failed attempt is followed by another one."""

    FREE = "free"
    """Retry without drawing on the retry budget: no upstream got the
    request."""

    PAID = "paid"
    """Retry that draws on the shared retry budget."""

    END = "end"
    """No retry."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SendCounts:
    """Attempts of one request so far, by result.

    Parameters
    ----------
    reached
        Upstreams that received the request and were the intended ones.
    unreached
        Upstreams without a connection, and processes that were not the
        intended upstream.
    refused
        Upstreams that refused the connection at once.
    """

    reached: int = 0
    unreached: int = 0
    refused: int = 0

    def with_lost(
        self, lost: attempt_result.Lost, *, seconds: float
    ) -> "SendCounts":
        """Return the counts with one more failed attempt.

        Parameters
        ----------
        seconds
            Duration of the attempt.
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
    """Return whether `call` may be sent to another upstream.

    Parameters
    ----------
    sends
        All attempts so far, including the failed one.
    """
    target = call.route.profile.target_seconds
    if call.limit_at - now < _MIN_TARGET_FRACTION * min(target, 1.0):
        return RetryDecision.END
    if not lost.sent or lost.misdirected:
        if sends.unreached >= MAX_UNREACHED or sends.refused >= MAX_REFUSED:
            return RetryDecision.END
        # A misdirected request reached another process that now listens at
        # the address. It counts as an arrival there although it is not run,
        # so the retry draws on the budget.
        return RetryDecision.PAID if lost.misdirected else RetryDecision.FREE
    if sends.reached >= call.route.profile.maximum_attempts:
        return RetryDecision.END
    if lost.ran is outcomes.Outcome.NOT_RUN:
        return RetryDecision.PAID
    if lost.ran is outcomes.Outcome.PARTIAL:
        return RetryDecision.PAID if call.route.resumable else RetryDecision.END
    may_repeat = call.idempotent or call.route.resumable
    return RetryDecision.PAID if may_repeat else RetryDecision.END
