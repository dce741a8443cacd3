"""Floors: every class is served, and none causes missed deadlines above."""

import heapq
import random

import pytest

from lagoonrun_core import outcomes
from lagoonrun_policy import features, floors

from .conftest import class_policy

_SERVICE_SECONDS = 1.0


def _observe_service_times(driver, *profiles):
    """Add observations of each class's service time."""
    for profile in profiles:
        for _ in range(25):
            key = driver.request(profile)
            driver.end(key, total_seconds=_SERVICE_SECONDS)


def _endless_burst(driver, burst, waits, grants=400):
    """Keep class `burst` waiting; return the grants until each was served."""
    served = {}
    for profile in waits:
        driver.request(profile, remaining_seconds=1e6)
    start = len(driver.actions)
    running = list(driver.granted())
    while len(driver.actions) < start + grants:
        driver.request(burst, remaining_seconds=1e6)
        driver.end(running.pop(0))
        key = driver.granted()[-1]
        record = next(a.record for a in driver.actions if a.key == key)
        served.setdefault(record.profile, len(driver.actions) - start)
        running.append(key)
    served.pop(burst)
    return served


@pytest.mark.parametrize("shares", [(0.02, 0.02), (0.1, 0.05), (0.5, 0.5)])
def test_every_class_is_served_in_an_endless_burst(drive, shares):
    """Lower classes wait during an endless burst of lookups.

    With strict tiers alone they would starve. With a floor of share s a
    class must be served within about 1/s grants, a few more if several
    floors are due at once.
    """
    classes = [
        class_policy("lookup", 1, queue_capacity=10_000),
        class_policy("answer", 2, floor_share=shares[0], limit_seconds=1e6),
        class_policy("digest", 3, floor_share=shares[1], limit_seconds=1e6),
    ]
    driver = drive(*classes, runners=1, slots=1)
    driver.request("lookup")
    for _ in range(3):
        driver.request("lookup", remaining_seconds=1e6)
    served = _endless_burst(driver, "lookup", ["answer", "digest"])
    total = min(1.0, floors.MAXIMUM_TOTAL_SHARE / sum(shares))
    for name, share in zip(("answer", "digest"), shares, strict=True):
        assert served[name] <= 2 / (share * total) + 4


def test_without_floors_a_lower_class_starves(drive):
    driver = drive(
        class_policy("lookup", 1, queue_capacity=10_000),
        class_policy("digest", 3, limit_seconds=1e6),
        runners=1,
        slots=1,
        switches=features.Features(floors=False),
    )
    for _ in range(4):
        driver.request("lookup", remaining_seconds=1e6)
    assert not _endless_burst(driver, "lookup", ["digest"])


def test_floor_gets_no_more_than_its_share(drive):
    driver = drive(
        class_policy("lookup", 1, queue_capacity=10_000, limit_seconds=1e6),
        class_policy("digest", 2, floor_share=0.1, limit_seconds=1e6),
        runners=2,
        slots=2,
    )
    running = [driver.request("lookup") for _ in range(4)]
    for _ in range(50):
        driver.request("digest", remaining_seconds=1e6)
    for _ in range(300):
        driver.request("lookup", remaining_seconds=1e6)
        driver.end(running.pop(0))
        running.append(driver.granted()[-1])
    grants = [a.record for a in driver.actions if a.key in driver.granted()]
    on_floor = sum(r.floor_grant for r in grants)
    assert 20 <= on_floor <= 0.1 * len(grants) + 1
    assert all(r.profile == "digest" for r in grants if r.floor_grant)


def test_floor_holds_its_share_of_slots_at_most(drive):
    """Digests hold their slots a hundred times longer than lookups.

    If the share were counted in grants alone, digests granted on the floor
    would accumulate until they held most slots, and lookups would wait.
    """
    driver = drive(
        class_policy("lookup", 1, queue_capacity=10_000, limit_seconds=1e6),
        class_policy("digest", 2, floor_share=0.25, limit_seconds=1e6),
        runners=2,
        slots=4,
    )
    running = [driver.request("lookup") for _ in range(8)]
    for _ in range(50):
        driver.request("digest", remaining_seconds=1e6)
    for _ in range(200):
        driver.request("lookup", remaining_seconds=1e6)
        driver.end(running.pop(0))
        key = driver.granted()[-1]
        if not driver.actions[-1].record.floor_grant:
            running.append(key)
    assert len(running) >= 6


class _Overload:
    """Simulated overload with a constant service time."""

    def __init__(self, driver, slots, seed):
        self.driver = driver
        self.slots = slots
        self.rng = random.Random(seed)
        self.ends = []
        self.waiting = {}
        self.harmed = []
        self.floor_grants = 0

    def run(self, seconds):
        until = self.driver.now + seconds
        arrival = self.driver.now
        while self.driver.now < until:
            if self.ends and self.ends[0][0] <= arrival:
                self.driver.now, _, key = heapq.heappop(self.ends)
                self.driver.end(key, total_seconds=_SERVICE_SECONDS)
            else:
                self.driver.now = arrival
                self._arrive()
                burst = self.driver.now % 20 < 8
                rate = (3.0 if burst else 0.7) * self.slots
                arrival += self.rng.expovariate(rate)
            self._apply_actions()

    def _arrive(self):
        high = self.rng.random() < 0.7
        limit = self.rng.uniform(1.5, 8.0) if high else 12.0
        key = self.driver.request(
            "lookup" if high else "digest", remaining_seconds=limit
        )
        self.waiting[key] = (high, self.driver.now + limit)

    def _apply_actions(self):
        for action in self.driver.actions:
            self.waiting.pop(action.key, None)
            if action.key in self.driver.upstream_by_key:
                if action.record.floor_grant:
                    self.floor_grants += 1
                    self._check_harm()
                end = self.driver.now + _SERVICE_SECONDS
                heapq.heappush(
                    self.ends, (end, action.key.request_id, action.key)
                )
        self.driver.actions.clear()

    def _check_harm(self):
        """Simulate the waiting lookups without and with the floor grant."""
        without_grant = self._missed([])
        with_grant = self._missed([self.driver.now + _SERVICE_SECONDS])
        if len(with_grant) > len(without_grant):
            self.harmed.append(with_grant)

    def _missed(self, granted):
        free = [end for end, *_ in self.ends] + granted
        free += [self.driver.now] * (self.slots - len(free))
        heapq.heapify(free)
        missed = []
        for deadline in sorted(d for high, d in self.waiting.values() if high):
            if free[0] + _SERVICE_SECONDS > deadline:
                missed.append(deadline)
            else:
                heapq.heapreplace(free, free[0] + _SERVICE_SECONDS)
        return missed


def _overload(drive, seed):
    driver = drive(
        class_policy("lookup", 1, limit_seconds=8.0),
        class_policy("digest", 2, floor_share=0.0, limit_seconds=12.0),
        runners=3,
        slots=2,
        switches=features.Features(adaptive_room=False),
    )
    _observe_service_times(driver, "lookup", "digest")
    driver.actions.clear()
    overload = _Overload(driver, 6, seed)
    overload.run(60.0)
    return overload


def test_floor_beyond_its_share_causes_no_missed_deadline(drive):
    """A digest close to its limit is served early while lookups wait.

    Its class has no share, so the grant must be harmless: no lookup waiting
    at that moment may miss a deadline that it would have met without it.
    """
    runs = [_overload(drive, seed) for seed in range(8)]
    assert sum(r.floor_grants for r in runs) > 10
    assert not any(r.harmed for r in runs)


def test_harm_check_detects_an_unconditional_floor(drive, monkeypatch):
    monkeypatch.setattr(floors, "keeps_higher_deadlines", lambda *_, **__: True)
    runs = [_overload(drive, seed) for seed in range(8)]
    assert any(r.harmed for r in runs)


def test_refusal_records_the_reserved_share(drive):
    driver = drive(
        class_policy("lookup", 1),
        class_policy("digest", 2, floor_share=0.2, limit_seconds=1e6),
        runners=1,
        slots=1,
    )
    _observe_service_times(driver, "lookup", "digest")
    driver.request("digest", remaining_seconds=1e6)
    driver.request("digest", remaining_seconds=1e6)
    for _ in range(20):
        driver.request("lookup")
    refusal = next(iter(driver.refused().values()))
    assert refusal.reason is outcomes.Reason.DEADLINE
    assert refusal.record.reserved_floor_share == 0.2
