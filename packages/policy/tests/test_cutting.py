"""Cutting of running requests, if enabled."""

import pytest

from lagoonrun_policy import features, messages

from .conftest import class_policy


@pytest.fixture
def full_runner(drive):
    """Return a factory of drivers whose two slots run lower-tier requests."""

    def make(*lower, cutting=True):
        driver = drive(
            class_policy("lookup", 1),
            *lower,
            runners=1,
            slots=2,
            switches=features.Features(cutting=cutting),
        )
        keys = [driver.request(c.name) for c in lower for _ in range(2)]
        return driver, keys[:2]

    return make


def _cuts(driver):
    return [a.key for a in driver.actions if isinstance(a, messages.Cut)]


def test_request_with_the_fewest_tokens_is_cut(full_runner):
    driver, keys = full_runner(class_policy("digest", 3))
    driver.send(
        messages.WorkProgressed(key=keys[0], tokens=50, first_token_seconds=0.1)
    )
    driver.request("lookup")
    assert not _cuts(driver)
    driver.now = driver.subject.next_wake(now=driver.now) + 0.001
    while driver.now < 100.3:
        driver.send(messages.Ticked())
        driver.now += 0.05
    assert _cuts(driver) == [keys[1]]
    driver.end(keys[1])
    assert driver.granted()[-1].request_id == "q3"


@pytest.mark.parametrize(
    ("lower", "cutting"),
    [
        (class_policy("digest", 3, idempotent=False), True),
        (class_policy("digest", 1), True),
        (class_policy("digest", 3), False),
    ],
)
def test_nothing_is_cut(full_runner, lower, cutting):
    driver, _ = full_runner(lower, cutting=cutting)
    driver.request("lookup")
    driver.now += 0.5
    driver.send(messages.Ticked())
    assert not _cuts(driver)
