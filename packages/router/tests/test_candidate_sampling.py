"""Each request to a large pool considers a sample of its upstreams.

Guards against collisions under this load: 80 entry VMs place 370 long prompts
per second on 45 runners, by reports that are 0.2 s old. If each considers all
runners, they send the prompts of those 0.2 s to the same few, where the prompts
wait three times as long as expected.
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


def test_holders_of_shared_parts_are_always_considered(pool):
    always_included = {"u-07", "u-31"}
    for number in range(20):
        assert always_included <= set(
            ids_for(pool, f"r-{number}", always_included=always_included)
        )


def test_concurrent_requests_consider_different_upstreams(pool):
    """Guards against a burst sent to the few upstreams last reported as idle.

    At most a third of the requests may consider the same upstream.
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
