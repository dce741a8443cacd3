"""The next orders that bring upstreams to their declared placement. Pure.

Each round looks at what upstreams report and gives each of them one order at
most. What may not go out now is a decision as well, with its reason.
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
    """What becomes of a due order in this round."""

    SEND = "send"
    WAIT_FOR_RELOADS = "wait-for-reloads"
    WAIT_FOR_WEIGHTS = "wait-for-weights"
    WAIT_FOR_REPLACEMENT = "wait-for-replacement"
    WAIT_FOR_STATE = "wait-for-state"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Decision:
    """One due order and whether it goes out now."""

    order: upstream_orders.Order
    verdict: Verdict
    weight_bytes: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
    """What is known of one upstream.

    Parameters
    ----------
    state
        Last state that it reported.
    current
        Whether the state is from this round and no order is under way.
    changing
        Whether an order is under way or its result is not known.
    """

    upstream: model.Upstream
    state: upstream_orders.UpstreamState
    current: bool = True
    changing: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Decisions of one round and what the pools lack."""

    decisions: tuple[Decision, ...]
    missing_by_role_by_pool: Mapping[types.PoolName, Mapping[str, int]]


def plan(
    *,
    domain: types.FailureDomain,
    placements: Sequence[model.Placement],
    views: Sequence[View],
    affords: Callable[[int, int], bool],
    reloading_share: float = DEFAULT_RELOADING_SHARE,
) -> Plan:
    """Return the decisions of one round.

    Parameters
    ----------
    placements, views
        Those of other domains are ignored. Pools without a placement are
        left alone; so are upstreams that leave.
    affords
        Says whether a load of the first number of bytes is let through
        after loads of the second number in the same round.
    reloading_share
        Part of a pool that may change at once; one upstream may always.
    """
    decisions: list[Decision] = []
    missing: dict[types.PoolName, Mapping[str, int]] = {}
    here = [one for one in placements if one.domain == domain]
    spent = 0
    for pool in sorted({one.pool for one in here}):
        found = _Pool(
            placements=[one for one in here if one.pool == pool],
            views=_usable(views, domain, pool),
            reloading_share=reloading_share,
        )
        if found.assignment.missing_by_role:
            missing[pool] = found.assignment.missing_by_role
        for decision in found.decide(affords, spent):
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


class _Pool:
    """The round of one pool."""

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
        # Holders that this round leaves as they are.
        self._ready = collections.Counter(
            holding for view in views for holding in self._holdings(view)
        )

    def decide(
        self, affords: Callable[[int, int], bool], spent: int
    ) -> Iterator[Decision]:
        changing = sum(view.changing for view in self._views)
        for view in self._views:
            if view.changing:
                continue
            due = self._due(view)
            if due is None:
                continue
            verdict = self._judge(view, due, changing, affords, spent)
            decision = dataclasses.replace(due, verdict=verdict)
            if verdict is Verdict.SEND:
                changing += 1
                spent += decision.weight_bytes
                self._leave(view, decision.order)
            yield decision

    def _judge(
        self,
        view: View,
        due: Decision,
        changing: int,
        affords: Callable[[int, int], bool],
        spent: int,
    ) -> Verdict:
        if not view.current:
            return Verdict.WAIT_FOR_STATE
        if due.verdict is not Verdict.SEND:
            return due.verdict
        if changing >= self._limit:
            return Verdict.WAIT_FOR_RELOADS
        if due.weight_bytes and not affords(due.weight_bytes, spent):
            return Verdict.WAIT_FOR_WEIGHTS
        return Verdict.SEND

    def _due(self, view: View) -> Decision | None:
        """Return the first due order of one upstream.

        A role comes first, then loads, then unloads: a load order names the
        role, and an engine that has it takes the model up at once.
        """
        wanted = self.assignment.wanted_by_id[view.upstream.id]
        state = view.state
        if wanted.role is not None and state.role != wanted.role:
            return self._change_role(view, wanted.role)
        for name, placement in sorted(wanted.placement_by_model.items()):
            loaded = state.version_by_model.get(name)
            if loaded is None or placement.version not in ("", loaded):
                return _load(view, placement)
        return self._unload(view, wanted)

    def _change_role(self, view: View, role: str) -> Decision:
        order = upstream_orders.Order(
            upstream=view.upstream.id,
            kind=upstream_orders.OrderKind.ROLE,
            role=role,
        )
        # A change before the replacement is there would leave fewer
        # upstreams with a model than were declared.
        if all(
            self._is_spare(view, one) for one in view.state.version_by_model
        ):
            return Decision(order=order, verdict=Verdict.SEND)
        return Decision(order=order, verdict=Verdict.WAIT_FOR_REPLACEMENT)

    def _unload(
        self, view: View, wanted: assignment_module.Wanted
    ) -> Decision | None:
        extra = sorted(
            view.state.version_by_model.keys()
            - wanted.placement_by_model.keys()
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
        """Return whether the others leave what is declared of a model."""
        holding = _Holding(model=name, role=view.state.role)
        if holding not in self._holdings(view):
            return True
        return self._ready[holding] - 1 >= self._declared[holding]

    def _holdings(self, view: View) -> list["_Holding"]:
        """Return the placements that an upstream counts for."""
        if view.changing:
            return []
        held = [
            _Holding(model=name, role=view.state.role)
            for name in view.state.version_by_model
        ]
        return [one for one in held if one in self._declared]

    def _leave(self, view: View, order: upstream_orders.Order) -> None:
        """Count out what an order takes away from its upstream."""
        for holding in self._holdings(view):
            if order.kind is upstream_orders.OrderKind.ROLE or (
                order.kind is upstream_orders.OrderKind.UNLOAD
                and order.model == holding.model
            ):
                self._ready[holding] -= 1


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Holding:
    """A model in a role, as a placement declares and an upstream holds it."""

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
