"""Which versions a pool may have had for as long as a stream lasts."""

import pytest

from lagoonrun_router import stream_origin, version_history
from lagoonrun_standins.router_samples import make_registration


@pytest.fixture
def history():
    return version_history.VersionHistory()


def observe(history, *versions, now, is_current=True):
    registrations = [
        make_registration(f"u-{version}", version=version)
        for version in versions
    ]
    history.observe(registrations, is_current=is_current, now=now)


def observe_until(history, *versions, since, until):
    for second in range(since, until + 1):
        observe(history, *versions, now=float(second))


def sole(history, *, now, seconds=30.0):
    return history.sole_version("portal", seconds=seconds, now=now)


def test_sole_version_is_known_after_as_long_as_a_stream_lasts(history):
    observe_until(history, "v1", since=0, until=29)
    assert sole(history, now=29.0) is None
    observe(history, "v1", now=30.0)
    assert sole(history, now=30.0) == "v1"


def test_version_that_left_counts_for_as_long_as_a_stream_lasts(history):
    """Guards against a stream that goes on right after a rollout has ended."""
    observe_until(history, "v1", "v2", since=0, until=40)
    observe_until(history, "v2", since=41, until=70)
    assert sole(history, now=70.0) is None
    assert history.has_several("portal", seconds=30.0, now=70.0)
    observe(history, "v2", now=71.0)
    assert sole(history, now=71.0) == "v2"
    assert not history.has_several("portal", seconds=30.0, now=71.0)


def test_versions_are_unknown_after_a_time_without_news(history):
    """Guards against versions that come and go while nobody can tell."""
    observe_until(history, "v1", since=0, until=40)
    for second in range(41, 47):
        observe(history, "v1", now=float(second), is_current=False)
    assert sole(history, now=45.0) == "v1"
    assert sole(history, now=46.0) is None
    observe_until(history, "v1", since=47, until=76)
    assert sole(history, now=76.0) is None
    observe(history, "v1", now=77.0)
    assert sole(history, now=77.0) == "v1"


def test_second_version_is_noticed_at_once(history):
    observe_until(history, "v1", since=0, until=40)
    observe(history, "v1", "v2", now=40.1)
    assert sole(history, now=40.1) is None
    seen = stream_origin.StreamOrigin(pool="portal", version="v2")
    unseen = stream_origin.StreamOrigin(pool="portal", version="v3")
    assert history.has_seen(seen)
    assert not history.has_seen(unseen)


def test_upstreams_without_a_version_have_several(history):
    """Guards against unknown versions that are taken for one."""
    registrations = [make_registration(f"u-{n}", version="") for n in (1, 2)]
    history.observe(registrations, is_current=True, now=0.0)
    assert history.has_several("portal", seconds=30.0, now=0.0)
