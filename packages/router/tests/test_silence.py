"""Decisions about runs that are silent for longer than allowed."""

import pytest

from lagoonrun_router import load_ledger, loads, silence
from lagoonrun_router.silence import Fitness, Verdict


def fitness(entry_vm_count=1, **changes):
    values = {"heard_seconds": 0.1, "slots": 16}
    return silence.fitness_of(
        silence.Target(**{**values, **changes}),
        allowed_seconds=1.0,
        entry_vm_count=entry_vm_count,
    )


def verdict(*fitnesses, silent=1.0, may_repeat=True, budget_left=5.0):
    return silence.verdict_on(
        frozenset(fitnesses),
        silent_allowances=silent,
        may_repeat=may_repeat,
        budget_left=budget_left,
    )


def test_upstream_that_fell_silent_with_a_run_is_no_target():
    """Guards against moves among upstreams that stand still together."""
    assert fitness(heard_seconds=0.6, awaited=1) is Fitness.SILENT
    assert fitness(heard_seconds=0.6) is Fitness.UNTRIED


def test_moves_wait_for_the_answers_of_their_target():
    """Guards against hundreds of streams that move to one upstream at once."""
    assert fitness(moving=1) is Fitness.HEARD
    assert fitness(moving=2) is Fitness.BUSY
    assert fitness(moving=1, running=8, entry_vm_count=8) is Fitness.BUSY
    assert fitness(running=16) is Fitness.FULL


@pytest.mark.parametrize(
    ("fitnesses", "silent", "expected"),
    [
        ((), 9.0, Verdict.NO_TARGET),
        ((Fitness.SILENT,), 9.0, Verdict.NONE_HEARD),
        ((Fitness.SILENT, Fitness.HEARD), 1.0, Verdict.MOVE),
        ((Fitness.UNTRIED,), 1.0, Verdict.MOVE),
        ((Fitness.SILENT, Fitness.UNTRIED), 1.0, Verdict.NONE_HEARD),
        ((Fitness.SILENT, Fitness.UNTRIED), 1.5, Verdict.MOVE),
        ((Fitness.BUSY,), 9.0, Verdict.TARGETS_BUSY),
        ((Fitness.FULL,), 1.0, Verdict.TARGETS_BUSY),
        ((Fitness.FULL,), 1.5, Verdict.MOVE),
    ],
)
def test_run_moves_only_to_an_upstream_that_would_serve_it(
    fitnesses, silent, expected
):
    """Guards against a run that is given up for nothing, or never."""
    assert verdict(*fitnesses, silent=silent) is expected


def test_run_is_kept_without_an_attempt_or_budget():
    """Guards against silence that is passed to the caller as a failure."""
    assert verdict(Fitness.HEARD, may_repeat=False) is Verdict.NO_ATTEMPT
    assert verdict(Fitness.HEARD, budget_left=0.9) is Verdict.NO_BUDGET


def test_silent_runs_do_not_blame_their_upstream_without_bound():
    """Guards against an upstream avoided for long after it stood still."""
    ledger = load_ledger.LoadLedger()
    for _ in range(100):
        ledger.add_failure("u-1", now=0.0, silent=True)
    assert ledger.failures("u-1", now=0.0) == 3.0
    ledger.add_failure("u-1", now=0.0)
    assert ledger.failures("u-1", now=0.0) == 4.0


def test_runs_that_were_moved_count_until_their_first_event():
    """Guards against a bound on moves that counts other requests."""
    ledger = load_ledger.LoadLedger()
    requests = [
        loads.InFlightRequest(
            upstream="u-1", new_tokens=1.0, sensitivity=0.0, moved=moved
        )
        for moved in (True, True, False)
    ]
    for one in requests:
        ledger.begin(one, now=0.0)
    assert ledger.own_moving_count("u-1") == 2
    ledger.first_event(requests[0])
    assert ledger.own_moving_count("u-1") == 1
    assert ledger.own_running_count("u-1") == 3
