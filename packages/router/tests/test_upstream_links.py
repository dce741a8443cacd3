"""State of the links to upstreams, without I/O."""

import itertools

import pytest

from lagoonrun_router import upstream_links

IDS = tuple(f"u-{number}" for number in range(45))
TICK_SECONDS = 0.05


@pytest.fixture
def links():
    return upstream_links.UpstreamLinks()


def test_open_connections_are_used_while_no_link_is_cut(links):
    assert links.may_reuse("u-0")
    links.record_unreachable("u-1", now=1.0)
    assert links.may_reuse("u-0")
    assert links.may_reuse("u-1")


def test_cut_link_casts_doubt_on_connections_over_other_links(links):
    """Guards against requests on connections that the same fault has cut."""
    links.record_reached("u-1", now=0.5)
    links.record_cut("u-0", detail="", now=1.0)
    assert not links.may_reuse("u-0")
    assert not links.may_reuse("u-1")
    links.record_reached("u-1", now=1.1)
    assert links.may_reuse("u-1")
    assert not links.may_reuse("u-0")
    links.record_reached("u-0", now=2.0)
    assert links.may_reuse("u-2")


def test_upstream_that_nobody_reached_is_not_asked_for_again_at_once(links):
    """Guards against a crowd of connections to an upstream that is lost."""
    assert links.may_forward("u-0", now=1.0)
    links.record_unreachable("u-0", now=1.0)
    assert not links.may_forward("u-0", now=1.9)
    assert links.may_forward("u-0", now=2.0)
    links.record_unreachable("u-0", now=2.0)
    links.record_reached("u-0", now=2.1)
    assert links.may_forward("u-0", now=2.2)


@pytest.mark.parametrize("cut_count", [1, 3, 6, 45])
def test_each_cut_link_is_tried_within_a_second(links, cut_count):
    """Guards against detours that outlast the cut."""
    for id in IDS[:cut_count]:
        links.record_cut(id, detail="", now=0.0)
    tried = {}
    for tick in range(200):
        now = tick * TICK_SECONDS
        while (id := links.pop_trial(now=now)) is not None:
            tried.setdefault(id, []).append(now)
    assert set(tried) == set(IDS[:cut_count])
    for times in tried.values():
        pauses = [later - sooner for sooner, later in itertools.pairwise(times)]
        assert round(max(pauses), 6) <= 1.0 + TICK_SECONDS
    trials_a_second = sum(map(len, tried.values())) / 10.0
    assert trials_a_second <= max(4.0, cut_count) + 1.0


def test_first_link_that_works_again_has_the_others_tried_at_once(links):
    """Guards against links that are found to work one after the other."""
    for id in IDS[:4]:
        links.record_cut(id, detail="", now=0.0)
    assert links.pop_trial(now=0.25) is not None
    links.record_reached("u-0", now=0.3)
    assert links.pop_trial(now=0.3) in IDS[1:4]
    assert links.pop_trial(now=0.31) is None


def test_links_to_upstreams_that_are_gone_are_forgotten(links):
    links.record_cut("u-0", detail="", now=0.0)
    links.record_cut("u-1", detail="", now=0.0)
    links.retain(frozenset(("u-1",)))
    assert links.cut == ("u-1",)
