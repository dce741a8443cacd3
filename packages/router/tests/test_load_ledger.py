"""Own and reported loads, and their decay."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_router import load_ledger, loads


@pytest.fixture
def ledger():
    return load_ledger.LoadLedger()


def make_request(upstream="u-1", tokens=1000.0, sensitivity=2.0):
    return loads.InFlightRequest(
        upstream=upstream, new_tokens=tokens, sensitivity=sensitivity
    )


def test_own_request_is_counted_from_its_sending_to_its_end(ledger):
    request = make_request()
    ledger.begin(request, now=0.0)
    assert ledger.load_of("u-1", now=0.0) == loads.Load(
        waiting_by_tier=(1000.0,),
        running=1,
        sensitive=2.0,
        held_tokens=1000.0,
        running_by_tier=(1,),
    )
    ledger.first_event(request)
    assert ledger.load_of("u-1", now=0.0).waiting_tokens == 0.0
    assert ledger.load_of("u-1", now=0.0).running == 1
    ledger.end(request)
    assert ledger.load_of("u-1", now=0.0) == loads.NO_LOAD


def test_running_requests_are_reported_by_tier(ledger):
    """Guards against a higher tier that is refused for a lower one's requests.

    The tiers of all reporters are added, those of a forgotten one subtracted.
    """
    first, third = make_request(), make_request()
    third.tier = 3
    ledger.begin(first, now=0.0)
    ledger.begin(third, now=0.0)
    report = {"u-1": loads.Load(running=5, running_by_tier=(0, 2, 3))}
    ledger.apply_report("vm-2", report, now=0.0)
    load = ledger.load_of("u-1", now=0.0)
    assert load.running_by_tier == (1, 2, 4)
    assert [load.running_through(tier) for tier in (1, 2, 3)] == [1, 3, 7]
    ledger.forget_peer("vm-2")
    assert ledger.load_of("u-1", now=0.0).running_by_tier == (1, 0, 1)


def test_two_equal_requests_are_counted_separately(ledger):
    first, second = make_request(), make_request()
    ledger.begin(first, now=0.0)
    ledger.begin(second, now=0.0)
    ledger.end(first)
    assert ledger.load_of("u-1", now=0.0).running == 1


def test_reports_of_peers_are_added_until_they_expire(ledger):
    report = {"u-1": loads.Load(waiting_by_tier=(500.0,), running=2)}
    ledger.apply_report("vm-2", report, now=10.0)
    ledger.apply_report("vm-3", report, now=10.0)
    assert ledger.load_of("u-1", now=10.1).running == 4
    old = 10.0 + load_ledger.PEER_LOAD_SECONDS
    assert ledger.load_of("u-1", now=old).running == 0


def test_report_of_a_lost_peer_is_dropped(ledger):
    ledger.apply_report("vm-2", {"u-1": loads.Load(running=2)}, now=10.0)
    ledger.forget_peer("vm-2")
    assert ledger.load_of("u-1", now=10.0).running == 0


def test_failures_decay(ledger):
    ledger.add_failure("u-1", now=0.0)
    ledger.add_failure("u-1", now=0.0)
    assert ledger.failures("u-1", now=0.0) == pytest.approx(2.0)
    assert ledger.failures("u-1", now=3.0) == pytest.approx(1.0)
    assert ledger.failures("u-2", now=0.0) == 0.0


def test_steady_prefill_is_returned_as_its_rate(ledger):
    for step in range(200):
        ledger.add_prefill("u-1", 100.0, now=step * 0.1)
    assert ledger.recent_prefill("u-1", now=20.0) == pytest.approx(
        1000.0, rel=0.1
    )


def test_repeated_report_adds_prefill_once(ledger):
    report = {"u-1": loads.Load(waiting_by_tier=(1000.0,), running=1)}
    ledger.apply_report("vm-2", report, now=0.0)
    once = ledger.recent_prefill("u-1", now=0.0)
    ledger.apply_report("vm-2", report, now=0.0)
    assert ledger.recent_prefill("u-1", now=0.0) == pytest.approx(once)


def test_failures_of_removed_upstreams_are_dropped(ledger):
    ledger.add_failure("u-1", now=0.0)
    ledger.forget_upstreams(["u-2"])
    assert ledger.failures("u-1", now=0.0) == 0.0


def test_request_without_an_answer_becomes_overdue(ledger):
    """A runner stops answering while its connections stay open.

    Nothing fails until the callers leave, and more requests would be sent to it
    until then.
    """
    at = loads.overdue_at(now=0.0, expected_seconds=0.5)
    request = loads.InFlightRequest(
        upstream="u-1", new_tokens=10.0, sensitivity=0.0, overdue_at=at
    )
    ledger.begin(request, now=0.0)
    assert ledger.load_of("u-1", now=1.4).overdue == 0
    assert ledger.load_of("u-1", now=1.5).overdue == 1
    ledger.first_event(request)
    assert ledger.load_of("u-1", now=1.5).overdue == 0


def test_short_wait_is_not_overdue_at_once():
    at = loads.overdue_at(now=0.0, expected_seconds=0.0)
    assert at == loads.MIN_OVERDUE_SECONDS


def test_load_of_a_restarted_upstream_is_dropped(ledger):
    """A runner restarts under the same id while requests run there.

    If they were still counted, new requests would avoid an idle runner. When
    their end is noticed later, it must not be counted a second time.
    """
    lost = make_request()
    ledger.begin(lost, now=0.0)
    ledger.add_failure("u-1", now=0.0)
    report = {"u-1": loads.Load(running=2), "u-2": loads.Load(running=3)}
    ledger.apply_report("vm-2", report, now=0.0)
    ledger.forget_instance("u-1")
    assert ledger.load_of("u-1", now=0.0) == loads.NO_LOAD
    assert ledger.failures("u-1", now=0.0) == 0.0
    assert ledger.recent_prefill("u-1", now=0.0) == 0.0
    assert ledger.load_of("u-2", now=0.0).running == 3
    fresh = make_request()
    ledger.begin(fresh, now=0.1)
    ledger.end(lost)
    assert ledger.load_of("u-1", now=0.1).running == 1


REPORTS = st.dictionaries(
    st.sampled_from(["u-1", "u-2", "u-3"]),
    st.builds(
        loads.Load,
        waiting_by_tier=st.lists(st.integers(0, 9000), max_size=3).map(tuple),
        running=st.integers(0, 9),
        sensitive=st.integers(0, 900).map(lambda n: n / 100),
        held_tokens=st.integers(0, 90_000),
        overdue=st.integers(0, 2),
    ),
    max_size=3,
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["vm-2", "vm-3", "south"]), REPORTS, st.floats(0, 1)
    )
)


@given(STEPS)
def test_sums_are_those_of_the_latest_messages(steps):
    """Compares the sums with sums of the reporters' last reports."""
    ledger = load_ledger.LoadLedger()
    latest = {}
    now = 0.0
    for reporter, report, pause in steps:
        now += pause
        ledger.apply_report(reporter, report, now=now)
        latest[reporter] = (now, report)
        for upstream in ("u-1", "u-2", "u-3"):
            known = [
                loads_by_upstream[upstream]
                for at, loads_by_upstream in latest.values()
                if now - at < load_ledger.PEER_LOAD_SECONDS
                and upstream in loads_by_upstream
            ]
            naive = loads.NO_LOAD
            for load in known:
                naive = naive.plus(load)
            found = ledger.load_of(upstream, now=now)
            assert found.waiting_tokens == pytest.approx(naive.waiting_tokens)
            assert found.waiting_before(2) == pytest.approx(
                naive.waiting_before(2)
            )
            assert found.running == naive.running
            assert found.sensitive == pytest.approx(naive.sensitive, abs=1e-6)
            assert found.held_tokens == pytest.approx(naive.held_tokens)
            assert found.overdue == naive.overdue
