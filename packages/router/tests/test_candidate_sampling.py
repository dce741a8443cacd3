"""Each request of a large pool considers some upstreams, not all.

The load: 80 entry VMs place 370 long prompts a second among 45 runners, each by
news that are two tenths of a second old. All that look at all runners send the
prompts of those two tenths to the same few, where they wait three times as long
as foreseen.
"""

import collections

import pytest

from lagoonrun_router import candidate_sampling
from lagoonrun_standins.router_samples import make_registration

DOMAINS = ("north", "south", "east")


def pool_of(size):
    return tuple(
        make_registration(
            f"u-{number:02}", port=1, domain=DOMAINS[number % len(DOMAINS)]
        )
        for number in range(size)
    )


@pytest.fixture
def pool():
    return pool_of(45)


def ids_for(pool, request_id, domain="north", always_included=()):
    chosen = candidate_sampling.sample(
        pool,
        request_id=request_id,
        domain=domain,
        always_included=always_included,
    )
    return [one.id for one in chosen]


def test_small_pool_is_considered_as_a_whole():
    pool = pool_of(candidate_sampling.MAX_UNSAMPLED_POOL)
    assert ids_for(pool, "r-1") == [one.id for one in pool]


def test_some_of_the_own_domain_and_some_of_the_others(pool):
    domain_by_id = {one.id: one.domain for one in pool}
    domains = [domain_by_id[id] for id in ids_for(pool, "r-1")]
    assert domains.count("north") == 4
    assert len(domains) == 8


def test_domain_with_none_of_its_own_considers_as_many(pool):
    assert len(ids_for(pool, "r-1", domain="west")) == 8


def test_those_that_have_the_shared_parts_are_always_considered(pool):
    always_included = {"u-07", "u-31"}
    for number in range(20):
        assert always_included <= set(
            ids_for(pool, f"r-{number}", always_included=always_included)
        )


def test_requests_of_one_moment_look_at_different_upstreams(pool):
    """All entry VMs believe the same few upstreams to be idle.

    No more than every third request may go to the same one.
    """
    considered_by = collections.Counter()
    for number in range(300):
        considered_by.update(ids_for(pool, f"r-{number}"))
    assert max(considered_by.values()) < 100


def test_every_upstream_is_considered_by_some_request(pool):
    seen = set()
    for number in range(200):
        seen.update(ids_for(pool, f"r-{number}"))
    assert seen == {one.id for one in pool}
