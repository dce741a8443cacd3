"""Retry budgets."""

import pytest

from lagoonrun_core import outcomes, types
from lagoonrun_policy import retries

from .conftest import class_policy


@pytest.fixture
def ask():
    """Return a function that requests a retry from one budget."""
    classes = [
        class_policy("lookup", 1, retry_ratio=0.5),
        class_policy("warning", 1, idempotent=False),
    ]
    budget = retries.RetryBudget(classes_by_name={c.name: c for c in classes})

    def decide(profile="lookup", first=True, **changes):
        if first:
            budget.record_first_attempt(types.ProfileName(profile))
        fields = {
            "profile": types.ProfileName(profile),
            "request_id": types.RequestId("q1"),
            "attempts": 1,
            "maximum_attempts": 3,
            "reason": outcomes.Reason.UPSTREAM_CLOSED,
            "sent": True,
        }
        return budget.decide(**(fields | changes))

    return decide


def test_retries_stay_within_the_budget(ask):
    granted = [isinstance(ask(), retries.RetryGranted) for _ in range(20)]
    assert sum(granted) == 11
    denied = ask(first=False)
    while isinstance(denied, retries.RetryGranted):
        denied = ask(first=False)
    assert denied.reason is outcomes.Reason.RETRY_BUDGET


def test_resumed_streams_use_no_budget(ask):
    """An engine crashes with more streams than the budget covers.

    If resumptions used the budget, all but the first streams would be lost
    although another engine could resume them.
    """
    answers = [ask(first=False, resumes=True) for _ in range(20)]
    assert all(isinstance(a, retries.RetryGranted) for a in answers)
    assert isinstance(ask(first=False), retries.RetryGranted)
    assert isinstance(ask(resumes=True, attempts=3), retries.RetryDenied)


@pytest.mark.parametrize(
    "changes",
    [
        {"reason": outcomes.Reason.DEADLINE},
        {"reason": outcomes.Reason.QUEUE_FULL},
        {"attempts": 3},
        {"profile": "warning"},
        {"profile": "unheard-of"},
    ],
)
def test_no_retry(ask, changes):
    assert isinstance(ask(**changes), retries.RetryDenied)


def test_unsent_request_is_retried_even_if_not_idempotent(ask):
    granted = ask(profile="warning", sent=False)
    assert isinstance(granted, retries.RetryGranted)


def test_backoff_grows_with_jitter():
    def delays(attempts):
        return [
            retries.backoff_seconds(
                request_id=types.RequestId(f"q{i}"), attempts=attempts
            )
            for i in range(100)
        ]

    assert max(delays(1)) <= 0.1
    assert max(delays(9)) <= 2.0
    assert len(set(delays(3))) > 90
    assert sum(delays(4)) > 2 * sum(delays(1))


@pytest.mark.parametrize("idempotent", [True, False])
def test_unreached_upstreams_use_no_budget_and_are_bounded(idempotent):
    """Requests are sent to a crashed server that cannot be reached.

    No byte of them was sent. If such failures counted as attempts, callers
    would get "not run" and have to retry although another server was idle.
    """
    policy = class_policy(
        "warning",
        1,
        idempotent=idempotent,
        retry_ratio=0.1 if idempotent else 0.0,
    )
    budget = retries.RetryBudget(classes_by_name={policy.name: policy})
    for request in range(50):
        decided = [
            budget.decide(
                profile=policy.name,
                request_id=types.RequestId(f"q{request}"),
                attempts=attempts,
                maximum_attempts=1,
                reason=outcomes.Reason.UPSTREAM_CONNECT,
                sent=False,
            )
            for attempts in (1, 2, 3)
        ]
        granted = [isinstance(d, retries.RetryGranted) for d in decided]
        assert granted == [True, True, False]
