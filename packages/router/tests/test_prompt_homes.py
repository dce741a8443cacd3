"""Where shared parts of prompts were read."""

import pytest

from lagoonrun_router import prompt_locations

REUSE_SECONDS = 7.0


@pytest.fixture
def homes():
    return prompt_locations.PromptLocations(reuse_seconds=REUSE_SECONDS)


def test_part_is_at_its_upstream_until_it_is_old(homes):
    homes.record_placement("p", "u-1", now=0.0)
    assert homes.has("p", "u-1", now=1.0)
    assert not homes.has("p", "u-2", now=1.0)
    assert not homes.has("p", "u-1", now=prompt_locations.KEPT_SECONDS)


def test_recent_use_anywhere_is_seen(homes):
    homes.apply_report("p", "u-2", now=0.0)
    assert homes.used_lately("p", now=REUSE_SECONDS - 0.1)
    assert not homes.used_lately("p", now=REUSE_SECONDS)
    assert not homes.used_lately("q", now=0.0)


def test_own_placements_are_told_once_and_told_ones_are_not_passed_on(homes):
    homes.record_placement("p", "u-1", now=0.0)
    homes.apply_report("q", "u-2", now=0.0)
    assert homes.pop_own() == {"p": "u-1"}
    assert homes.pop_own() == {}


def test_a_burst_is_told_in_several_messages(homes):
    for number in range(100):
        homes.record_placement(f"p-{number}", "u-1", now=0.0)
    told = []
    while batch := homes.pop_own():
        assert len(batch) <= 24
        told += batch
    assert len(told) == 100


def test_number_of_parts_is_bounded(homes):
    for number in range(9000):
        homes.apply_report(f"p-{number}", "u-1", now=0.0)
    assert not homes.has("p-0", "u-1", now=0.0)
    assert homes.has("p-8999", "u-1", now=0.0)


def test_restarted_upstream_has_read_nothing(homes):
    """A runner starts again under its id: its memory is empty.

    Prompts sent there for their shared parts would be read anew, and nobody
    else is to be told that the parts are there.
    """
    homes.record_placement("p", "u-1", now=0.0)
    homes.record_placement("p", "u-2", now=0.0)
    homes.record_placement("q", "u-1", now=0.0)
    homes.forget_upstream("u-1")
    assert not homes.has("p", "u-1", now=0.0)
    assert homes.has("p", "u-2", now=0.0)
    assert not homes.used_lately("q", now=0.0)
    assert homes.pop_own() == {"p": "u-2"}
    assert homes.pop_for_other_domains() == {"p": "u-2"}


def test_placements_of_all_are_for_the_neighbours(homes):
    """A relay tells its neighbours of the whole fleet.

    Other domains are told of this one only: they hear from each domain itself.
    """
    homes.record_placement("own", "u-1", now=0.0)
    homes.apply_report("near", "u-2", now=0.0)
    homes.apply_remote_report("far", "u-3", now=0.0)
    homes.apply_relayed_report("known", "u-4", now=0.0)
    assert homes.pop_for_other_domains() == {"own": "u-1", "near": "u-2"}
    assert homes.pop_for_neighbours() == {
        "own": "u-1",
        "near": "u-2",
        "far": "u-3",
    }
    assert homes.pop_for_neighbours() == {}
    assert homes.has("known", "u-4", now=0.0)
