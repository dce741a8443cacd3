"""Locations of shared prompt parts, and their reports to other entry VMs."""

import pytest

from lagoonrun_router import prompt_locations

REUSE_SECONDS = 7.0


@pytest.fixture
def locations():
    return prompt_locations.PromptLocations(reuse_seconds=REUSE_SECONDS)


def test_part_is_at_its_upstream_until_its_assumed_eviction(locations):
    locations.record_placement("p", "u-1", now=0.0)
    assert locations.has("p", "u-1", now=1.0)
    assert not locations.has("p", "u-2", now=1.0)
    assert not locations.has(
        "p", "u-1", now=prompt_locations.CACHE_LIFETIME_SECONDS
    )


def test_recent_use_anywhere_is_seen(locations):
    locations.apply_report("p", "u-2", now=0.0)
    assert locations.used_recently("p", now=REUSE_SECONDS - 0.1)
    assert not locations.used_recently("p", now=REUSE_SECONDS)
    assert not locations.used_recently("q", now=0.0)


def test_own_placements_are_reported_once_and_reported_ones_are_not(
    locations,
):
    locations.record_placement("p", "u-1", now=0.0)
    locations.apply_report("q", "u-2", now=0.0)
    assert locations.pop_own() == {"p": "u-1"}
    assert locations.pop_own() == {}


def test_burst_is_reported_in_several_messages(locations):
    for number in range(100):
        locations.record_placement(f"p-{number}", "u-1", now=0.0)
    reported = []
    while batch := locations.pop_own():
        assert len(batch) <= 24
        reported += batch
    assert len(reported) == 100


def test_number_of_parts_is_bounded(locations):
    for number in range(9000):
        locations.apply_report(f"p-{number}", "u-1", now=0.0)
    assert not locations.has("p-0", "u-1", now=0.0)
    assert locations.has("p-8999", "u-1", now=0.0)


def test_restarted_upstream_has_an_empty_prefix_cache(locations):
    """A runner restarts under its id with an empty prefix cache.

    Prompts must not be sent there for their shared parts, and its placements
    must not be reported.
    """
    locations.record_placement("p", "u-1", now=0.0)
    locations.record_placement("p", "u-2", now=0.0)
    locations.record_placement("q", "u-1", now=0.0)
    locations.forget_upstream("u-1")
    assert not locations.has("p", "u-1", now=0.0)
    assert locations.has("p", "u-2", now=0.0)
    assert not locations.used_recently("q", now=0.0)
    assert locations.pop_own() == {"p": "u-2"}
    assert locations.pop_for_other_domains() == {"p": "u-2"}


def test_relay_reports_all_placements_to_its_neighbours(locations):
    """A relay reports the placements of the whole fleet to its neighbours.

    It reports only those of its own domain to other domains, which get a report
    from each domain.
    """
    locations.record_placement("own", "u-1", now=0.0)
    locations.apply_report("near", "u-2", now=0.0)
    locations.apply_remote_report("far", "u-3", now=0.0)
    locations.apply_relayed_report("known", "u-4", now=0.0)
    assert locations.pop_for_other_domains() == {"own": "u-1", "near": "u-2"}
    assert locations.pop_for_neighbours() == {
        "own": "u-1",
        "near": "u-2",
        "far": "u-3",
    }
    assert locations.pop_for_neighbours() == {}
    assert locations.has("known", "u-4", now=0.0)
