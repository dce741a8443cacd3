"""Speed, slowness and load of upstreams, learnt from answers and peers."""

import math
import random
import statistics
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_router import (
    load_report,
    pool_medians,
    speed_observation,
    upstream_speeds,
)

FAST = 48_000.0
SLOW = 22_000.0


@pytest.fixture
def speeds():
    return upstream_speeds.UpstreamSpeeds()


def prefill(speeds, upstream, speed, *, start=1, tokens=4000, now=0.0):
    speeds.record_prefill(
        upstream,
        start,
        tokens=tokens,
        seconds=tokens / speed,
        slowness=None,
        now=now,
    )


def report(speeds, upstream, slowness=None, *, start=1, waiting=0, now=0.0):
    speeds.record_report(
        upstream,
        start,
        load_report.LoadReport(
            running=2, waiting=waiting, slots=4, slowness=slowness
        ),
        now=now,
    )


def observation(upstream="u", start=1, **more):
    if "tokens_per_second" in more or "service_seconds" in more:
        more.setdefault("samples", 1)
    return speed_observation.SpeedObservation(
        upstream=upstream, start=start, **more
    )


def speed_of(speeds, upstream, now=10.0):
    return speeds.estimate(upstream, now=now).tokens_per_second


# Lasting speed.


def test_unknown_upstream_has_the_default_speed(speeds):
    """Guards against a division by zero at an entry VM that has just started."""
    estimate = speeds.estimate("u", now=0.0)
    assert estimate.tokens_per_second == 40_000.0
    assert estimate.relative_speed == 1.0
    assert estimate.slowness == 1.0
    assert estimate.current_tokens_per_second == 40_000.0
    assert estimate.samples == 0
    assert estimate.age_seconds is None
    assert estimate.running is None
    assert estimate.service_seconds is None


def test_unknown_upstream_counts_as_a_median_one(speeds):
    """Guards against a new upstream that gets all requests, or none."""
    for number, speed in enumerate((10_000.0, 20_000.0, 90_000.0)):
        prefill(speeds, f"u-{number}", speed)
    before = [speed_of(speeds, f"u-{number}") for number in range(3)]
    assert speed_of(speeds, "new") == sorted(before)[1]
    assert speeds.estimate("new", now=10.0).relative_speed == 1.0


@pytest.mark.parametrize("seed", range(20))
def test_slow_upstream_among_fast_ones_is_found_within_few_samples(seed):
    """Guards against a runner at 0.55 that is loaded like those at 1.2."""
    rng = random.Random(seed)
    speeds = upstream_speeds.UpstreamSpeeds()
    for step in range(6):
        for number in range(8):
            speed = SLOW if number == 3 else FAST
            noisy = speed * math.exp(rng.gauss(0.0, 0.2))
            prefill(speeds, f"u-{number}", noisy, now=float(step))
    estimates = [speeds.estimate(f"u-{n}", now=9.0) for n in range(8)]
    assert min(range(8), key=lambda n: estimates[n].relative_speed) == 3
    assert estimates[3].relative_speed < 0.7
    assert estimates[3].samples == 6


def test_one_straggler_hardly_changes_the_speed(speeds):
    """Guards against one request behind the prompts of another entry VM."""
    for _ in range(20):
        prefill(speeds, "u", FAST)
    prefill(speeds, "u", FAST / 20)
    assert speed_of(speeds, "u") == pytest.approx(FAST, rel=0.1)


def test_straggler_is_reported_to_peers_with_its_deviation_clipped(speeds):
    """Guards against an outlier that dominates a merged observation."""
    for _ in range(20):
        prefill(speeds, "u", FAST)
    speeds.pop_own(now=0.0)
    prefill(speeds, "u", FAST / 1000)
    (reported,) = speeds.pop_own(now=0.0)
    assert reported.tokens_per_second > FAST / 3


def test_prefill_in_a_slow_period_is_corrected(speeds):
    """Guards against a slow period that lowers the lasting speed."""
    speeds.record_prefill(
        "u", 1, tokens=2000, seconds=0.0025 * 50, slowness=2.5, now=0.0
    )
    assert speed_of(speeds, "u") == pytest.approx(40_000.0, rel=0.15)


def test_short_prompts_count_only_together(speeds):
    """Guards against the fixed time of a request taken for prefill time."""
    prefill(speeds, "u", 5000.0, tokens=150)
    for _ in range(3):
        prefill(speeds, "u", 30_000.0, tokens=500)
    assert speeds.estimate("u", now=0.0).samples == 0
    prefill(speeds, "u", 30_000.0, tokens=500)
    estimate = speeds.estimate("u", now=0.0)
    assert estimate.samples == 1
    assert estimate.tokens_per_second == pytest.approx(30_000.0)


@pytest.mark.parametrize(
    ("tokens", "seconds"), [(0, 0.1), (4000, 0.0), (4000, -1.0), (4000, 1e-9)]
)
def test_implausible_prefill_is_ignored(speeds, tokens, seconds):
    """Guards against a first event that is read before its time is taken."""
    speeds.record_prefill(
        "u", 1, tokens=tokens, seconds=seconds, slowness=None, now=0.0
    )
    assert speeds.estimate("u", now=0.0).samples == 0


def test_usual_service_time_of_a_plain_service_is_learnt(speeds):
    """Guards against a service chosen by one slow or lucky answer."""
    for _ in range(15):
        speeds.record_service("s", 1, seconds=0.02, slowness=1.0, now=0.0)
    speeds.record_service("s", 1, seconds=2.0, slowness=1.0, now=0.0)
    speeds.record_service("s", 1, seconds=0.001, slowness=1.0, now=0.0)
    estimate = speeds.estimate("s", now=0.0)
    assert estimate.service_seconds == pytest.approx(0.02, rel=0.15)
    assert estimate.samples == 17
    (reported,) = speeds.pop_own(now=0.0)
    assert (reported.samples, reported.tokens_per_second) == (17, None)


def test_plain_services_do_not_count_in_the_median_of_prefill_speeds(speeds):
    """Guards against a relative speed that mixes runners and services."""
    speeds.record_service("s", 1, seconds=0.02, slowness=None, now=0.0)
    prefill(speeds, "u", FAST)
    assert speeds.estimate("u", now=1.0).relative_speed == pytest.approx(1.0)


# Reports.


def test_load_is_known_while_its_report_is_recent(speeds):
    """Guards against choosing by a queue that has long been worked off."""
    report(speeds, "u", 1.0, waiting=3, now=5.0)
    estimate = speeds.estimate("u", now=5.9)
    assert (estimate.running, estimate.waiting) == (2, 3)
    assert estimate.age_seconds == pytest.approx(0.9)
    old = speeds.estimate("u", now=6.1)
    assert (old.running, old.waiting) == (None, None)
    assert old.age_seconds == pytest.approx(1.1)


def test_slow_period_counts_at_once_and_fades(speeds):
    """Guards against requests to a runner in its slow period."""
    prefill(speeds, "u", 40_000.0)
    report(speeds, "u", 1.0, now=0.0)
    report(speeds, "u", 2.5, now=1.0)
    at_once = speeds.estimate("u", now=1.0)
    assert at_once.slowness == 2.5
    assert at_once.current_tokens_per_second == pytest.approx(16_000.0)
    assert 1.0 < speeds.estimate("u", now=1.3).slowness < 2.5
    assert (
        speeds.estimate("u", now=1.6).slowness
        == speeds.estimate("u", now=60.0).slowness
    )


def test_upstream_states_its_slowness_or_does_not(speeds):
    """Guards against treating a pool as adaptive that reports three figures."""
    assert not speeds.states_slowness("u")
    report(speeds, "u")
    assert not speeds.states_slowness("u")
    report(speeds, "u", 1.0)
    assert speeds.states_slowness("u")
    speeds.forget_instance("u")
    assert speeds.states_slowness("u")
    report(speeds, "u")
    assert not speeds.states_slowness("u")


def test_peer_that_reports_late_does_not_replace_a_newer_report(speeds):
    """Guards against reordered datagrams and a relay's echo of old reports."""
    report(speeds, "u", 1.0, waiting=1, now=10.0)
    speeds.apply_observations(
        [observation(slowness=2.5, running=9, waiting=9, age_seconds=0.3)],
        now=10.2,
    )
    # The echo of an own report seems newer by the delay of its messages.
    speeds.apply_relayed_observations(
        [observation(slowness=1.0, running=9, waiting=9, age_seconds=0.16)],
        now=10.2,
    )
    estimate = speeds.estimate("u", now=10.2)
    assert estimate.waiting == 1
    assert estimate.age_seconds == pytest.approx(0.2)
    speeds.apply_observations(
        [observation(slowness=2.5, running=9, waiting=9, age_seconds=0.05)],
        now=10.2,
    )
    assert speeds.estimate("u", now=10.2).waiting == 9


# Restarts and removal.


def test_restart_clears_the_estimates(speeds):
    """Guards against a replaced process that inherits the speed of another."""
    prefill(speeds, "m", 40_000.0)
    for _ in range(10):
        prefill(speeds, "u", 10_000.0)
        report(speeds, "u", 3.0)
    speeds.apply_observations([observation(start=2, running=0)], now=1.0)
    estimate = speeds.estimate("u", now=1.0)
    assert estimate.samples == 0
    assert estimate.relative_speed == 1.0
    assert estimate.slowness == 1.0
    assert estimate.running == 0
    assert [one.upstream for one in speeds.pop_own(now=1.0)] == ["m"]


def test_observations_of_an_older_start_are_ignored(speeds):
    """Guards against a datagram of before the restart that arrives after it."""
    prefill(speeds, "u", FAST, start=2)
    before = speeds.estimate("u", now=0.0)
    prefill(speeds, "u", 1000.0, start=1)
    report(speeds, "u", 3.0, start=1)
    speeds.record_service("u", 1, seconds=1.0, slowness=None, now=0.0)
    old = observation(start=1, tokens_per_second=1000.0, slowness=3.0)
    speeds.apply_observations([old], now=0.0)
    speeds.apply_remote_observations([old], now=0.0)
    speeds.apply_relayed_observations([old], now=0.0)
    assert speeds.estimate("u", now=0.0) == before
    for popped in (
        speeds.pop_own(now=0.0),
        speeds.pop_for_other_domains(now=0.0),
        speeds.pop_for_neighbours(now=0.0),
    ):
        assert [(one.start, one.samples) for one in popped] == [(2, 1)]


def test_forgotten_instance_counts_as_a_median_upstream(speeds):
    """Guards against a restart without start numbers that changes nothing."""
    prefill(speeds, "u", 1000.0)
    speeds.forget_instance("u")
    assert speed_of(speeds, "u") == 40_000.0
    assert speeds.pop_own(now=0.0) == ()
    prefill(speeds, "u", FAST)
    assert speed_of(speeds, "u") == pytest.approx(FAST)


def test_removed_upstreams_are_dropped_everywhere(speeds):
    """Guards against memory that grows with each replaced upstream."""
    for number in range(50):
        prefill(speeds, f"u-{number}", 1000.0)
    prefill(speeds, "kept", FAST)
    speeds.forget_upstreams(["kept"])
    assert speeds.estimate("u-1", now=0.0).samples == 0
    assert speed_of(speeds, "u-1") == speed_of(speeds, "kept")
    for popped in (
        speeds.pop_own(now=0.0),
        speeds.pop_for_other_domains(now=0.0),
        speeds.pop_for_neighbours(now=0.0),
    ):
        assert [one.upstream for one in popped] == ["kept"]
    speeds.forget_upstreams([])
    assert speed_of(speeds, "kept") == 40_000.0


# Exchange with other entry VMs.


def upstreams_of(observations):
    return [one.upstream for one in observations]


def test_observations_are_passed_on_like_prompt_locations(speeds):
    """Guards against observations that circulate between failure domains."""
    prefill(speeds, "own", FAST)
    speeds.apply_observations(
        [observation("domain", tokens_per_second=FAST)], now=0.0
    )
    speeds.apply_remote_observations(
        [observation("remote", tokens_per_second=FAST)], now=0.0
    )
    speeds.apply_relayed_observations(
        [observation("relayed", tokens_per_second=FAST)], now=0.0
    )
    assert upstreams_of(speeds.pop_own(now=0.0)) == ["own"]
    assert upstreams_of(speeds.pop_for_other_domains(now=0.0)) == [
        "domain",
        "own",
    ]
    assert upstreams_of(speeds.pop_for_neighbours(now=0.0)) == [
        "remote",
        "domain",
        "own",
    ]
    for upstream in ("own", "domain", "remote", "relayed"):
        assert speeds.estimate(upstream, now=0.0).samples == 1
    assert speeds.pop_own(now=0.0) == ()


def test_peer_learns_from_reported_observations(speeds):
    """Guards against an entry VM that stays at the default after its start."""
    for _ in range(8):
        prefill(speeds, "u", SLOW)
    report(speeds, "u", 2.5, waiting=4)
    peer = upstream_speeds.UpstreamSpeeds()
    peer.apply_observations(speeds.pop_own(now=0.1), now=0.1)
    estimate = peer.estimate("u", now=0.1)
    assert estimate.tokens_per_second == pytest.approx(SLOW, rel=0.01)
    assert estimate.samples == 8
    assert estimate.waiting == 4
    assert 2.0 < estimate.slowness < 2.5
    assert peer.states_slowness("u")


def test_message_has_the_newest_observations_first(speeds):
    """Guards against messages too large for a datagram, and against old news."""
    for number in range(100):
        prefill(speeds, f"u-{number}", FAST, now=number / 100)
    prefill(speeds, "u-0", FAST, now=1.0)
    first = speeds.pop_own(now=1.0)
    assert len(first) == 24
    assert upstreams_of(first)[:3] == ["u-0", "u-99", "u-98"]
    assert first[0].samples == 2
    assert len(speeds.pop_for_other_domains(now=1.0)) == 48
    assert len(speeds.pop_for_neighbours(now=1.0)) == 48


def test_queues_are_bounded(speeds):
    """Guards against memory that grows in queues which nothing reads."""
    for number in range(5000):
        prefill(speeds, f"u-{number}", FAST)
    for pop in (
        speeds.pop_own,
        speeds.pop_for_other_domains,
        speeds.pop_for_neighbours,
    ):
        count = 0
        while popped := pop(now=0.0):
            count += len(popped)
        assert 100 < count < 300


def test_merged_samples_are_bounded(speeds):
    """Guards against an overlong queue that outweighs everything learnt since."""
    for _ in range(1000):
        prefill(speeds, "u", SLOW)
    (reported,) = speeds.pop_for_neighbours(now=0.0)
    assert reported.samples == 64
    assert reported.tokens_per_second == pytest.approx(SLOW)


def test_outdated_observations_are_not_reported(speeds):
    """Guards against a new relay that reports what it learnt long ago."""
    prefill(speeds, "old", FAST, now=0.0)
    report(speeds, "report", 1.0, now=8.0)
    prefill(speeds, "recent", FAST, now=8.0)
    popped = speeds.pop_for_other_domains(now=9.5)
    assert upstreams_of(popped) == ["recent"]
    assert popped[0].age_seconds == pytest.approx(1.5)


@pytest.mark.parametrize(
    "more",
    [
        {"tokens_per_second": math.nan},
        {"tokens_per_second": math.inf},
        {"tokens_per_second": 0.0},
        {"tokens_per_second": -5.0},
        {"tokens_per_second": 1.0, "samples": 0},
        {"tokens_per_second": 1.0, "samples": -3},
        {"service_seconds": math.nan},
        {"service_seconds": 0.0},
        {"service_seconds": -1.0},
        {"slowness": math.nan},
        {"slowness": 0.0},
        {"tokens_per_second": 1.0, "age_seconds": math.nan},
        {"tokens_per_second": 1.0, "age_seconds": -1.0},
    ],
)
def test_implausible_observations_are_ignored(speeds, more):
    """Guards against a faulty peer that breaks the estimates of the fleet."""
    prefill(speeds, "u", FAST)
    before = speeds.estimate("u", now=0.0)
    speeds.apply_observations([observation(**more)], now=0.0)
    assert speeds.estimate("u", now=0.0) == before


def test_repeated_observations_do_not_move_an_estimate_beyond_them(speeds):
    """Guards against an echo: a relay reports own observations back."""
    for _ in range(20):
        prefill(speeds, "u", 40_000.0)
    one = observation(tokens_per_second=30_000.0, samples=2)
    for _ in range(50):
        speeds.apply_relayed_observations([one], now=0.0)
    assert 29_999.0 < speed_of(speeds, "u") < 40_000.0


samples = st.lists(
    st.tuples(
        st.sampled_from(["u-1", "u-2"]),
        st.integers(1, 3),
        st.floats(5_000.0, 90_000.0),
        st.integers(1, 3),
        st.integers(10, 1000).map(lambda percent: percent / 100),
    ),
    min_size=1,
    max_size=12,
    unique_by=lambda row: row[4],
)


@given(samples, st.randoms(use_true_random=False))
def test_merging_keeps_sums_in_any_order(rows, rng):
    """Guards against reordered datagrams that change what is passed on."""
    observations = [
        observation(
            upstream,
            start,
            tokens_per_second=speed,
            samples=count,
            # Ages differ by more than the delay of a message.
            slowness=slowness,
            running=0,
            waiting=0,
            age_seconds=slowness * 6.0,
        )
        for upstream, start, speed, count, slowness in rows
    ]
    rng.shuffle(observations)
    speeds = upstream_speeds.UpstreamSpeeds()
    for one in observations:
        speeds.apply_remote_observations([one], now=100.0)
    popped = {one.upstream: one for one in speeds.pop_for_neighbours(now=100.0)}
    assert popped.keys() == {one.upstream for one in observations}
    for upstream, merged in popped.items():
        newest_start = max(
            one.start for one in observations if one.upstream == upstream
        )
        counted = [
            one
            for one in observations
            if (one.upstream, one.start) == (upstream, newest_start)
        ]
        assert merged.start == newest_start
        assert merged.samples == sum(one.samples for one in counted)
        assert merged.samples * math.log(
            merged.tokens_per_second
        ) == pytest.approx(
            sum(
                one.samples * math.log(one.tokens_per_second) for one in counted
            )
        )
        newest = min(counted, key=lambda one: one.age_seconds)
        assert merged.slowness == newest.slowness
        assert merged.age_seconds == pytest.approx(newest.age_seconds)
        estimate = speeds.estimate(upstream, now=100.0)
        assert estimate.samples == merged.samples
        assert estimate.age_seconds == pytest.approx(newest.age_seconds)


@given(samples, st.randoms(use_true_random=False))
def test_lost_repeated_and_reordered_observations_do_no_harm(rows, rng):
    """Guards against datagrams that bring an estimate out of the measured range."""
    sent = [
        observation(upstream, tokens_per_second=speed, samples=count)
        for upstream, _, speed, count, _ in rows
    ]
    received = [rng.choice(sent) for _ in range(2 * len(sent))]
    speeds = upstream_speeds.UpstreamSpeeds()
    speeds.apply_observations(received, now=0.0)
    measured = [one.tokens_per_second for one in received]
    for upstream in ("u-1", "u-2"):
        estimate = speeds.estimate(upstream, now=0.0)
        assert (
            min(measured) * 0.999
            <= estimate.tokens_per_second
            <= max(measured) * 1.001
        )


def fleet_of(count):
    speeds = upstream_speeds.UpstreamSpeeds()
    speeds.apply_relayed_observations(
        [
            observation(f"u-{number}", tokens_per_second=20_000.0 + number)
            for number in range(count)
        ],
        now=0.0,
    )
    return speeds


def test_median_is_not_computed_for_each_estimate(monkeypatch):
    """Guards against sorting all speeds for each candidate of a decision."""
    speeds = fleet_of(100)
    computed = []
    median = statistics.median
    monkeypatch.setattr(
        pool_medians.statistics,
        "median",
        lambda values: computed.append(1) or median(values),
    )
    for step in range(1000):
        speeds.estimate(f"u-{step % 100}", now=10.0 + step / 1000)
    assert len(computed) <= 3


def test_median_of_a_large_fleet_is_that_of_a_part_of_it():
    """Guards against a median that takes milliseconds, and a distorted one."""
    speeds = fleet_of(11_000)
    median = speed_of(speeds, "new")
    exact = statistics.median(
        speed_of(speeds, f"u-{number}") for number in range(11_000)
    )
    assert median == pytest.approx(exact, rel=0.01)


def test_measured_upstreams_that_the_part_misses_still_count():
    """Guards against a median of nothing when every other upstream is new."""
    speeds = upstream_speeds.UpstreamSpeeds()
    for number in range(5000):
        report(speeds, f"u-{number}")
        if number % 2:
            prefill(speeds, f"u-{number}", FAST)
    assert speed_of(speeds, "new") == pytest.approx(FAST)


def test_estimate_takes_microseconds():
    """Guards against 100 estimates that take longer than a routing decision.

    The bound is twenty times the time of an estimate on an idle machine.
    """
    speeds = fleet_of(11_000)
    speeds.estimate("u-0", now=1.0)
    best = math.inf
    for _ in range(10):
        began = time.perf_counter()
        for number in range(100):
            speeds.estimate(f"u-{number}", now=1.1)
        best = min(best, time.perf_counter() - began)
    assert best / 100 < 30e-6


def test_estimate_does_not_store_unknown_upstreams(speeds):
    """Guards against state of removed upstreams that an estimate brings back."""
    prefill(speeds, "u", FAST)
    for number in range(10):
        speeds.estimate(f"new-{number}", now=0.0)
    assert speeds.upstreams == 1


def test_relative_speed_without_measured_prefills(speeds):
    """Guards against fewer slots where all upstreams state the same slowness.

    Prompts may all be too short for a measurement.
    """
    for step in range(200):
        for upstream in ("u-1", "u-2", "u-3"):
            report(speeds, upstream, 2.0, now=float(step))
    assert speeds.estimate("u-1", now=200.0).relative_speed == pytest.approx(1)
