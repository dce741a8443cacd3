"""Placement plans: what is ordered, what waits, and that they terminate."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_orders import plan as plan_module
from lagoonrun_orders import upstream_orders

DOMAIN = types.FailureDomain("d")
SEND = plan_module.Verdict.SEND
MODELS = ("a", "b", "c")
ROLES = ("serve", "embed")


def _plan(placements, views, *, room=1 << 60, **options):
    return plan_module.plan(
        domain=DOMAIN,
        placements=placements,
        views=views,
        allows=lambda size, spent: size + spent <= room,
        **options,
    )


def _shown(planned):
    return [
        (
            one.order.upstream,
            one.order.kind.value,
            one.order.model or one.order.role,
            one.verdict.value,
        )
        for one in planned.decisions
    ]


def test_a_declared_model_is_loaded_where_it_is_missing(
    make_view, make_placement
):
    views = [make_view("u1", ["a"]), make_view("u2"), make_view("u3")]
    planned = _plan([make_placement("a", 2)], views)
    assert _shown(planned) == [("u2", "load", "a", "send")]


def test_nothing_is_ordered_when_all_is_as_declared(make_view, make_placement):
    views = [make_view("u1", ["a"]), make_view("u2", ["b"], role="embed")]
    placements = [make_placement("a", 1), make_placement("b", 1, role="embed")]
    assert _plan(placements, views).decisions == ()


def test_pools_without_a_placement_are_left_alone(make_view, make_placement):
    views = [make_view("u1", ["x"], pool="other"), make_view("u2", ["a"])]
    assert _plan([make_placement("a", 1)], views).decisions == ()


def test_a_leaving_upstream_gets_no_order_and_is_replaced(
    make_view, make_placement
):
    views = [make_view("u1", ["a"], leaving=True), make_view("u2")]
    planned = _plan([make_placement("a", 1)], views)
    assert _shown(planned) == [("u2", "load", "a", "send")]


def test_a_part_of_a_pool_changes_at_once(make_view, make_placement):
    views = [make_view(f"u{number}", {"a": "1"}) for number in range(6)]
    planned = _plan([make_placement("a", 6, version="2")], views)
    verdicts = [one.verdict for one in planned.decisions]
    assert verdicts.count(SEND) == 2
    assert verdicts[2:] == [plan_module.Verdict.WAIT_FOR_RELOADS] * 4
    views[0] = dataclasses.replace(views[0], changing=True)
    planned = _plan([make_placement("a", 6, version="2")], views)
    assert [one.verdict for one in planned.decisions].count(SEND) == 1


def test_loads_wait_for_the_weight_store(make_view, make_placement):
    views = [make_view("u1"), make_view("u2")]
    placement = make_placement("a", 2, weight_bytes=10)
    planned = _plan([placement], views, room=15, reloading_share=1.0)
    assert [one.verdict for one in planned.decisions] == [
        SEND,
        plan_module.Verdict.WAIT_FOR_WEIGHTS,
    ]


def test_an_old_state_gets_no_order(make_view, make_placement):
    views = [make_view("u1", current=False)]
    planned = _plan([make_placement("a", 1)], views)
    verdicts = [one.verdict for one in planned.decisions]
    assert verdicts == [plan_module.Verdict.WAIT_FOR_STATE]


def test_a_model_is_unloaded_after_its_replacement_is_there(
    make_view, make_placement
):
    placements = [make_placement("a", 1, role="embed"), make_placement("b", 1)]
    views = [
        make_view("u1", ["b", "a"], role="serve"),
        make_view("u2", role="embed"),
    ]
    planned = _plan(placements, views, reloading_share=1.0)
    assert ("u2", "load", "a", "send") in _shown(planned)
    views = [make_view("u1", ["a"]), make_view("u2", ["a"], role="embed")]
    held = [make_placement("a", 1), make_placement("b", 1, role="embed")]
    views[1] = dataclasses.replace(views[1], changing=True)
    assert ("u1", "unload", "a", "send") not in _shown(_plan(held, views))


def test_a_pool_that_is_too_small_reports_missing_upstreams(
    make_view, make_placement
):
    placements = [make_placement("a", 1), make_placement("b", 2, role="embed")]
    planned = _plan(placements, [make_view("u1", ["a"])])
    assert planned.missing_by_role_by_pool == {"p": {"embed": 2}}
    assert planned.decisions == ()


@strategies.composite
def _fleets(draw):
    views = [
        plan_module.View(
            upstream=model.Upstream(
                id=types.UpstreamId(f"u{number}"),
                pool=types.PoolName("p"),
                domain=DOMAIN,
                address="10.0.0.1",
                port=number + 1,
            ),
            state=upstream_orders.UpstreamState(
                version_by_model=draw(
                    strategies.dictionaries(
                        strategies.sampled_from(MODELS),
                        strategies.sampled_from(["1", "2"]),
                    )
                ),
                role=draw(strategies.sampled_from(ROLES)),
                leaving=draw(strategies.integers(0, 5)) == 0,
            ),
        )
        for number in range(draw(strategies.integers(1, 6)))
    ]
    names = draw(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(MODELS), strategies.sampled_from(ROLES)
            ),
            unique=True,
            min_size=1,
        )
    )
    placements = [
        model.Placement(
            pool=types.PoolName("p"),
            domain=DOMAIN,
            model=name,
            role=role,
            count=draw(strategies.integers(0, len(views))),
            weight_bytes=draw(strategies.integers(0, 9)),
            version=draw(strategies.sampled_from(["", "2"])),
        )
        for name, role in names
    ]
    return placements, views


def _execute(view, order):
    versions = dict(view.state.version_by_model)
    role = view.state.role
    if order.kind is upstream_orders.OrderKind.LOAD:
        versions[order.model] = order.version
    elif order.kind is upstream_orders.OrderKind.UNLOAD:
        del versions[order.model]
    else:
        role = order.role
    state = dataclasses.replace(
        view.state, version_by_model=versions, role=role
    )
    return dataclasses.replace(view, state=state)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(fleet=_fleets())
def test_rounds_end_with_the_declared_placement(fleet):
    """Guards against models moved to and fro forever, and unfinished changes.

    Rounds are run until no order is due. Each model is loaded at most once on
    an upstream, leaving upstreams get no order, limits hold in each round, and
    the final state has every placement for which the pool has enough upstreams.
    """
    placements, views = fleet
    limit = max(1, sum(not view.state.leaving for view in views) // 3)
    loaded = set()
    for _ in range(60):
        planned = _plan(placements, views, room=10)
        assert planned == _plan(placements[::-1], views[::-1], room=10)
        orders = [one.order for one in planned.decisions if one.verdict is SEND]
        assert len(orders) <= limit
        if not orders:
            break
        for order in orders:
            view = next(v for v in views if v.upstream.id == order.upstream)
            assert not view.state.leaving
            if order.kind is upstream_orders.OrderKind.LOAD:
                assert (order.upstream, order.model) not in loaded
                loaded.add((order.upstream, order.model))
            views[views.index(view)] = _execute(view, order)
    assert planned.decisions == ()
    if planned.missing_by_role_by_pool:
        return
    staying = [view.state for view in views if not view.state.leaving]
    for placement in placements:
        holders = [
            state
            for state in staying
            if state.role == placement.role
            and placement.model in state.version_by_model
        ]
        assert len(holders) >= placement.count


def test_a_round_never_leaves_less_than_was_declared(make_view, make_placement):
    placements = [make_placement("a", 2), make_placement("b", 1, role="embed")]
    views = [make_view(f"u{number}", ["a"]) for number in range(2)]
    planned = _plan(placements, views, reloading_share=1.0)
    assert planned.decisions == ()
    views.append(make_view("u2", ["a"]))
    planned = _plan(placements, views, reloading_share=1.0)
    assert _shown(planned) == [("u2", "role", "embed", "send")]


@pytest.mark.parametrize("changing", [True, False])
def test_an_upstream_has_one_order_at_a_time(
    make_view, make_placement, changing
):
    views = [make_view("u1", ["x", "y"], changing=changing)]
    placements = [make_placement("a", 1), make_placement("b", 1)]
    assert len(_plan(placements, views).decisions) == (0 if changing else 1)
