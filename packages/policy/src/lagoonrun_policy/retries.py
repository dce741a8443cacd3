"""Retries of idempotent requests, within a budget and with backoff.

Retries by callers and by the router multiply. Each first attempt adds a
fraction of a retry to the class's budget; once the budget is spent, a failure
is returned to the caller instead of adding to the load that caused it.
"""

import dataclasses

from lagoonrun_core import outcomes, types
from lagoonrun_policy import jitter, messages

_BASE_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 2.0
_MAX_SAVED_RETRIES = 10.0

_MAX_UNREACHED_UPSTREAMS = 3
"""Upstreams that a request may fail to reach before it fails."""

RETRYABLE_REASONS = frozenset(
    {
        outcomes.Reason.UPSTREAM_CONNECT,
        outcomes.Reason.UPSTREAM_CLOSED,
        outcomes.Reason.UPSTREAM_MISMATCH,
        outcomes.Reason.UPSTREAM_PROTOCOL,
        outcomes.Reason.UPSTREAM_REFUSED,
    }
)
"""Reasons after which another runner may succeed.

Refusals for lack of capacity are not included: a retry would add to the
load, and the caller was told when to retry.
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryGranted:
    """The request may be retried after the delay."""

    delay_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryDenied:
    """The request must not be retried; `reason` says why."""

    reason: outcomes.Reason


class RetryBudget:
    """Retry budgets of the classes.

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
        """Apply the classes of a new configuration."""
        self._classes_by_name = classes_by_name
        self._saved_by_name = {
            name: saved
            for name, saved in self._saved_by_name.items()
            if name in classes_by_name
        }

    def record_first_attempt(self, profile: types.ProfileName) -> None:
        """Add the class's fraction of a retry to its budget."""
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
        """Decide on a retry, and take it from the budget if it is granted.

        Parameters
        ----------
        attempts
            Attempts made so far, at least 1.
        sent
            Whether a byte of the request was sent to an upstream. A request
            that is not idempotent is never retried after that.
        resumes
            Whether a stream is resumed after its delivered tokens. This
            costs nothing: it repeats no work and happens once per lost
            stream. A crash loses more streams at once than any budget
            covers, and denying a resumption wastes the tokens delivered.
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
    """Retry at another upstream after a failure to connect.

    Nothing was sent, so this is not a second attempt: it is allowed for
    requests that are not idempotent and does not use the budget. Until a
    crashed upstream is out of service, it fails more requests at once than
    any budget covers. The number of retries is still bounded.
    """
    if attempts >= _MAX_UNREACHED_UPSTREAMS:
        return RetryDenied(reason=outcomes.Reason.UPSTREAM_CONNECT)
    return RetryGranted(
        delay_seconds=backoff_seconds(request_id=request_id, attempts=attempts)
    )


def backoff_seconds(*, request_id: types.RequestId, attempts: int) -> float:
    """Return the delay before the next attempt.

    Exponential backoff with full jitter, hashed from the request id, so that
    requests that failed together are not retried together.
    """
    max_delay = min(_MAX_BACKOFF_SECONDS, _BASE_BACKOFF_SECONDS * 2.0**attempts)
    return max_delay * jitter.fraction(f"{request_id}/retry/{attempts}")
