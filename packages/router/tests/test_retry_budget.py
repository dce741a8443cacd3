"""The retries of all entry VMs together stay within the allowance."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonrun_router import retry_budget

ALLOWANCE = retry_budget.Allowance(ratio=0.2, window_seconds=10.0, fixed=54.0)


def budget(entry_vms=1):
    made = retry_budget.RetryBudget(allowance=ALLOWANCE)
    made.set_entry_vm_count(entry_vms)
    return made


def test_fixed_part_is_shared():
    assert budget(1).left("p", now=0.0) > 7 * budget(8).left("p", now=0.0)


def test_requests_earn_retries_within_the_window():
    one = budget(8)
    before = one.left("p", now=0.0)
    for _ in range(100):
        one.record_request("p", now=0.0)
    assert one.left("p", now=0.0) > before + 15
    assert one.left("p", now=10.1) == before


def test_pools_have_separate_budgets():
    one = budget()
    while one.spend("p", now=0.0):
        pass
    assert one.spend("q", now=0.0)


def test_spent_retries_are_available_after_the_window():
    one = budget()
    while one.spend("p", now=0.0):
        pass
    assert not one.spend("p", now=9.9)
    assert one.spend("p", now=10.1)


# Drawing long lists is slow on a busy machine, which is not a failure.
@settings(max_examples=50, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(
        st.tuples(st.integers(0, 7), st.booleans(), st.floats(0.0, 0.3)),
        min_size=100,
        max_size=400,
    )
)
def test_retries_of_all_entry_vms_stay_within_the_allowance(steps):
    """Eight entry VMs retry whenever their shares allow it.

    All of them retry the requests of a failing service at once; together they
    must stay within the allowance in any window.
    """
    budgets = [budget(8) for _ in range(8)]
    now = 0.0
    requests, retries = [], []
    for vm, request, pause in steps:
        now += pause
        if request:
            budgets[vm].record_request("p", now=now)
            requests.append(now)
        while budgets[vm].spend("p", now=now):
            retries.append(now)
        window = now - ALLOWANCE.window_seconds
        recent = sum(1 for at in requests if at >= window)
        spent = sum(1 for at in retries if at >= window)
        assert spent <= ALLOWANCE.ratio * recent + ALLOWANCE.fixed


def test_retry_that_was_not_sent_is_available_again():
    """Guards against runs that are kept after all and use the budget up."""
    one = budget()
    before = one.left("p", now=0.0)
    assert one.spend("p", now=0.0)
    one.give_back("p")
    assert one.left("p", now=0.0) == before
