"""Lookup of routes, keys and pools in one revision of the declarations."""

import collections

from lagoonrun_router import declarations, route_table
from lagoonrun_standins.router_samples import make_declarations, make_route


def make_table(*routes, **changes):
    return route_table.RouteTable(
        declared=make_declarations(*routes, **changes)
    )


def test_longest_matching_prefix_is_chosen():
    wide = make_route(name="wide", path_prefix="/a/")
    narrow = make_route(name="narrow", path_prefix="/a/b/")
    table = make_table(wide, narrow)
    assert table.route_of("portal.test", "/a/b/c?x=/z/").name == "narrow"
    assert table.route_of("portal.test", "/a/bc/d").name == "wide"
    assert table.route_of("portal.test", "/a/").name == "wide"


def test_path_without_the_final_slash_does_not_match_the_prefix():
    assert make_table().route_of("portal.test", "/lookups") is None


def test_query_does_not_lengthen_the_path():
    assert make_table().route_of("portal.test", "/x?/lookups/") is None


def test_other_host_has_no_route():
    assert make_table().route_of("other.test", "/lookups/1") is None


def test_root_prefix_takes_every_path():
    table = make_table(make_route(name="all", path_prefix="/"))
    assert table.route_of("portal.test", "/any/thing").name == "all"


def test_only_a_valid_key_identifies_an_organisation():
    table = make_table()
    assert table.organisation_of("key-of-house").id == "house"
    assert table.organisation_of("key-of-house ") is None
    assert table.organisation_of("") is None
    assert table.organisation_of(None) is None


def test_pools_get_their_shares_and_a_request_id_always_the_same_pool():
    route = make_route(
        destinations=(
            declarations.Destination(pool="a", weight=3.0),
            declarations.Destination(pool="b", weight=1.0),
            declarations.Destination(pool="c", weight=0.0),
        )
    )
    pools = [route_table.choose_pool(route, f"r-{n}") for n in range(4000)]
    counts = collections.Counter(pools)
    assert 2850 < counts["a"] < 3150
    assert counts["c"] == 0
    assert pools[7] == route_table.choose_pool(route, "r-7")
