"""The next orders that bring upstreams to their declared placement; no I/O.

Each round compares the reported states with the placements and plans at most
one order for each upstream. An order that must wait is a decision as well, with
its reason.
"""

import collections
import dataclasses
import enum
from collections.abc import Callable, Iterator, Mapping, Sequence

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_orders import assignment as assignment_module
from lagoonrun_orders import upstream_orders

DEFAULT_RELOADING_SHARE = 1 / 3


class Verdict(enum.Enum):
    """What happens to a due order in this round."""

    SEND = "send"
    WAIT_FOR_RELOADS = "wait-for-reloads"
    WAIT_FOR_WEIGHTS = "wait-for-weights"
    WAIT_FOR_REPLACEMENT = "wait-for-replacement"
    WAIT_FOR_STATE = "wait-for-state"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """One due order and whether it is sent now."""

    order: upstream_orders.Order
    verdict: Verdict
    weight_bytes: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """The known state of one upstream.

    Parameters
    ----------
    state
        Last state that it reported.
    current
        Whether the state is from this round and no order is in progress.
    changing
        Whether an order is in progress or its result is unknown.
    """

    upstream: model.Upstream
    state: upstream_orders.UpstreamState
    current: bool = True
    changing: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Decisions of one round, and the upstreams that the pools lack."""

    decisions: tuple[Decision, ...]
    missing_by_role_by_pool: Mapping[types.PoolName, Mapping[str, int]]


def plan(
    *,
    domain: types.FailureDomain,
    placements: Sequence[model.Placement],
    views: Sequence[View],
    allows: Callable[[int, int], bool],
    reloading_share: float = DEFAULT_RELOADING_SHARE,
) -> Plan:
    """Return the decisions of one round.

    Parameters
    ----------
    placements, views
        Those of other domains are ignored. Pools without a placement are not
        changed; neither are upstreams that are leaving.
    allows
        Returns whether a load of the first number of bytes is allowed after
        loads of the second number in the same round.
    reloading_share
        Fraction of a pool that may change at once; one upstream always may.
    """
    decisions: list[Decision] = []
    missing: dict[types.PoolName, Mapping[str, int]] = {}
    local = [one for one in placements if one.domain == domain]
    spent = 0
    for pool in sorted({one.pool for one in local}):
        pool_round = _PoolRound(
            placements=[one for one in local if one.pool == pool],
            views=_usable(views, domain, pool),
            reloading_share=reloading_share,
        )
        if pool_round.assignment.missing_by_role:
            missing[pool] = pool_round.assignment.missing_by_role
        for decision in pool_round.decide(allows, spent):
            decisions.append(decision)
            if decision.verdict is Verdict.SEND:
                spent += decision.weight_bytes
    return Plan(decisions=tuple(decisions), missing_by_role_by_pool=missing)


def _usable(
    views: Sequence[View], domain: types.FailureDomain, pool: types.PoolName
) -> list[View]:
    return sorted(
        (
            view
            for view in views
            if view.upstream.domain == domain
            and view.upstream.pool == pool
            and not view.state.leaving
        ),
        key=lambda view: view.upstream.id,
    )


class _PoolRound:
    """One round of one pool."""

    def __init__(
        self,
        *,
        placements: Sequence[model.Placement],
        views: Sequence[View],
        reloading_share: float,
    ) -> None:
        self._placements = placements
        self._views = views
        self._limit = max(1, int(reloading_share * len(views)))
        self.assignment = assignment_module.assign(
            placements, {view.upstream.id: view.state for view in views}
        )
        self._declared = {
            _Holding(model=one.model, role=one.role): one.count
            for one in placements
        }
        # Number of upstreams with each holding that this round does not change.
        self._ready_by_holding = collections.Counter(
            holding for view in views for holding in self._holdings(view)
        )

    def decide(
        self, allows: Callable[[int, int], bool], spent: int
    ) -> Iterator[Decision]:
        changing = sum(view.changing for view in self._views)
        for view in self._views:
            if view.changing:
                continue
            due = self._next_decision(view)
            if due is None:
                continue
            verdict = self._verdict(view, due, changing, allows, spent)
            decision = dataclasses.replace(due, verdict=verdict)
            if verdict is Verdict.SEND:
                changing += 1
                spent += decision.weight_bytes
                self._remove_holdings(view, decision.order)
            yield decision

    def _verdict(
        self,
        view: View,
        due: Decision,
        changing: int,
        allows: Callable[[int, int], bool],
        spent: int,
    ) -> Verdict:
        if not view.current:
            return Verdict.WAIT_FOR_STATE
        if due.verdict is not Verdict.SEND:
            return due.verdict
        if changing >= self._limit:
            return Verdict.WAIT_FOR_RELOADS
        if due.weight_bytes and not allows(due.weight_bytes, spent):
            return Verdict.WAIT_FOR_WEIGHTS
        return Verdict.SEND

    def _next_decision(self, view: View) -> Decision | None:
        """Return the first due order of one upstream.

        A change of role comes first, then loads, then unloads: a load order
        names the role, and an engine that has this role serves the model at
        once.
        """
        desired = self.assignment.desired_by_id[view.upstream.id]
        state = view.state
        if desired.role is not None and state.role != desired.role:
            return self._change_role(view, desired.role)
        for name, placement in sorted(desired.placement_by_model.items()):
            loaded = state.version_by_model.get(name)
            if loaded is None or placement.version not in ("", loaded):
                return _load(view, placement)
        return self._unload(view, desired)

    def _change_role(self, view: View, role: str) -> Decision:
        order = upstream_orders.Order(
            upstream=view.upstream.id,
            kind=upstream_orders.OrderKind.ROLE,
            role=role,
        )
        # Changing the role before a replacement is loaded would leave fewer
        # upstreams with a model than declared.
        if all(
            self._is_spare(view, one) for one in view.state.version_by_model
        ):
            return Decision(order=order, verdict=Verdict.SEND)
        return Decision(order=order, verdict=Verdict.WAIT_FOR_REPLACEMENT)

    def _unload(
        self, view: View, desired: assignment_module.DesiredState
    ) -> Decision | None:
        extra = sorted(
            view.state.version_by_model.keys()
            - desired.placement_by_model.keys()
        )
        if not extra:
            return None
        order = upstream_orders.Order(
            upstream=view.upstream.id,
            kind=upstream_orders.OrderKind.UNLOAD,
            model=extra[0],
            role=view.state.role,
        )
        if self._is_spare(view, extra[0]):
            return Decision(order=order, verdict=Verdict.SEND)
        return Decision(order=order, verdict=Verdict.WAIT_FOR_REPLACEMENT)

    def _is_spare(self, view: View, name: str) -> bool:
        """Return whether the other upstreams hold enough of a model."""
        holding = _Holding(model=name, role=view.state.role)
        if holding not in self._holdings(view):
            return True
        return self._ready_by_holding[holding] - 1 >= self._declared[holding]

    def _holdings(self, view: View) -> list["_Holding"]:
        """Return the declared holdings that an upstream counts for."""
        if view.changing:
            return []
        held = [
            _Holding(model=name, role=view.state.role)
            for name in view.state.version_by_model
        ]
        return [one for one in held if one in self._declared]

    def _remove_holdings(
        self, view: View, order: upstream_orders.Order
    ) -> None:
        """Subtract the holdings that an order removes from its upstream."""
        for holding in self._holdings(view):
            if order.kind is upstream_orders.OrderKind.ROLE or (
                order.kind is upstream_orders.OrderKind.UNLOAD
                and order.model == holding.model
            ):
                self._ready_by_holding[holding] -= 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Holding:
    """A model in a role, as a placement declares it or an upstream holds it."""

    model: str
    role: str


def _load(view: View, placement: model.Placement) -> Decision:
    order = upstream_orders.Order(
        upstream=view.upstream.id,
        kind=upstream_orders.OrderKind.LOAD,
        model=placement.model,
        version=placement.version,
        role=placement.role,
    )
    return Decision(
        order=order,
        verdict=Verdict.SEND,
        weight_bytes=placement.weight_bytes,
    )
