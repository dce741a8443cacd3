"""Shared fixtures: a clock, a store and the settings of a deployment."""

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_duties import platform_calls
from lagoonrun_platform import memory_store


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def store(clock):
    return memory_store.MemoryStore(clock=clock)


@pytest.fixture
def configured():
    return platform_calls.DutySettings(
        duties=frozenset(platform_calls.Duty),
        window_seconds=5.0,
        report_deadline_seconds=10.0,
        reacquire_delay_seconds=3.0,
    )
