"""Retries: only what is idempotent, within a budget, spread out in time.

Retries by callers and by the router multiply. Each first attempt earns the
class a fraction of a retry; once they are spent, a failure is told to the
caller instead of adding to the load that caused it.
"""

import dataclasses

from lagoonrun_core import outcomes, types
from lagoonrun_policy import jitter, messages

_BASE_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 2.0
_MAX_SAVED_RETRIES = 10.0

_MAX_UNREACHED_UPSTREAMS = 3
"""Upstreams that a request fails to reach before its caller is told."""

RETRYABLE_REASONS = frozenset(
    {
        outcomes.Reason.UPSTREAM_CONNECT,
        outcomes.Reason.UPSTREAM_CLOSED,
        outcomes.Reason.UPSTREAM_MISMATCH,
        outcomes.Reason.UPSTREAM_PROTOCOL,
        outcomes.Reason.UPSTREAM_REFUSED,
    }
)
"""Reasons for which another runner may do better.

A refusal for room is none of them: asking again adds to the load, and the
caller has been told when to come back.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryGranted:
    """Try again after the pause."""

    delay_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryDenied:
    """Do not try again; `reason` tells why."""

    reason: outcomes.Reason


class RetryBudget:
    """Retries that the classes have earned.

    Parameters
    ----------
    classes_by_name
        Classes of the configuration.
    """

    def __init__(
        self,
        *,
        classes_by_name: dict[types.ProfileName, messages.ClassPolicy],
    ) -> None:
        self._classes_by_name = classes_by_name
        self._saved_by_name: dict[types.ProfileName, float] = {}

    def configure(
        self, classes_by_name: dict[types.ProfileName, messages.ClassPolicy]
    ) -> None:
        """Take over the classes of a new configuration."""
        self._classes_by_name = classes_by_name
        self._saved_by_name = {
            name: saved
            for name, saved in self._saved_by_name.items()
            if name in classes_by_name
        }

    def record_first_attempt(self, profile: types.ProfileName) -> None:
        """Earn the class its fraction of a retry."""
        policy = self._classes_by_name.get(profile)
        if policy is None:
            return
        saved = self._saved_by_name.get(profile, 1.0) + policy.retry_ratio
        self._saved_by_name[profile] = min(_MAX_SAVED_RETRIES, saved)

    def decide(
        self,
        *,
        profile: types.ProfileName,
        request_id: types.RequestId,
        attempts: int,
        maximum_attempts: int,
        reason: outcomes.Reason,
        sent: bool,
        resumes: bool = False,
    ) -> RetryGranted | RetryDenied:
        """Spend a retry if the request may have one.

        Parameters
        ----------
        attempts
            Attempts made so far, at least 1.
        sent
            Whether a byte of the request has left for an upstream. A request
            that is not idempotent is never tried again after that.
        resumes
            Whether a stream goes on after its delivered tokens. That repeats
            no work, and there are no more of them than streams were lost, so
            that it spends nothing: a crash takes more streams at once than
            any budget has saved, and each denied one wastes what it has.
        """
        policy = self._classes_by_name.get(profile)
        if policy is None or reason not in RETRYABLE_REASONS:
            return RetryDenied(reason=reason)
        if sent and not policy.idempotent:
            return RetryDenied(reason=reason)
        if reason is outcomes.Reason.UPSTREAM_CONNECT and not sent:
            return _retry_unreached(request_id, attempts)
        if attempts >= maximum_attempts:
            return RetryDenied(reason=reason)
        saved = self._saved_by_name.get(profile, 1.0)
        cost = 0.0 if resumes else 1.0
        if policy.retry_ratio <= 0 or saved < cost:
            return RetryDenied(reason=outcomes.Reason.RETRY_BUDGET)
        self._saved_by_name[profile] = saved - cost
        return RetryGranted(
            delay_seconds=backoff_seconds(
                request_id=request_id, attempts=attempts
            )
        )


def _retry_unreached(
    request_id: types.RequestId, attempts: int
) -> RetryGranted | RetryDenied:
    """Try another upstream where none has been reached.

    Nothing was asked of anyone, so that this is no second attempt: also a
    request that may run only once goes on, and the budget is not touched. A
    crashed upstream takes more requests at once than any budget has saved
    until it is out of service. The number is bounded all the same.
    """
    if attempts >= _MAX_UNREACHED_UPSTREAMS:
        return RetryDenied(reason=outcomes.Reason.UPSTREAM_CONNECT)
    return RetryGranted(
        delay_seconds=backoff_seconds(request_id=request_id, attempts=attempts)
    )


def backoff_seconds(*, request_id: types.RequestId, attempts: int) -> float:
    """Return the pause before the next attempt.

    Exponential with full jitter, drawn from the request's id so that the
    requests of one failure do not come back together.
    """
    max_delay = min(_MAX_BACKOFF_SECONDS, _BASE_BACKOFF_SECONDS * 2.0**attempts)
    return max_delay * jitter.fraction(f"{request_id}/retry/{attempts}")
