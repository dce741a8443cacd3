"""Shared fixtures of the stand-ins' tests."""

import pytest

from lagoonrun_core import clock as clock_lib


@pytest.fixture
def clock():
    return clock_lib.ManualClock()
