"""Assign models and roles to upstreams; no I/O.

The assignment follows what the upstreams already hold, so that it moves as few
models as possible and is stable once it is reached.
"""

import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_orders import upstream_orders


@dataclasses.dataclass(frozen=True, kw_only=True)
class DesiredState:
    """Desired models and role of one upstream.

    Parameters
    ----------
    role
        None where no placement needs the upstream: its role stays as it is.
    placement_by_model
        Models and adapters to be loaded.
    """

    role: str | None
    placement_by_model: Mapping[str, model.Placement]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Assignment:
    """Desired state of every usable upstream of a pool.

    Parameters
    ----------
    missing_by_role
        Number of upstreams that a role lacks because the pool has too few.
    """

    desired_by_id: Mapping[types.UpstreamId, DesiredState]
    missing_by_role: Mapping[str, int]


def assign(
    placements: Sequence[model.Placement],
    state_by_id: Mapping[types.UpstreamId, upstream_orders.UpstreamState],
) -> Assignment:
    """Assign the placements of one pool in one domain to its upstreams.

    Parameters
    ----------
    state_by_id
        Usable upstreams of the pool: neither leaving nor silent for a long
        time.
    """
    ids_by_role, missing_by_role = _assign_roles(placements, state_by_id)
    chosen_by_id: dict[types.UpstreamId, dict[str, model.Placement]] = {
        upstream: {} for upstream in state_by_id
    }
    for placement in _sorted(placements):
        candidates = ids_by_role.get(placement.role, ())
        for upstream in _choose_upstreams(
            placement, candidates, state_by_id, chosen_by_id
        ):
            chosen_by_id[upstream][placement.model] = placement
    role_by_id = {
        upstream: role for role, ids in ids_by_role.items() for upstream in ids
    }
    desired_by_id = {
        upstream: DesiredState(
            role=role_by_id.get(upstream),
            placement_by_model=chosen_by_id[upstream],
        )
        for upstream in state_by_id
    }
    return Assignment(
        desired_by_id=desired_by_id, missing_by_role=missing_by_role
    )


def _assign_roles(
    placements: Sequence[model.Placement],
    state_by_id: Mapping[types.UpstreamId, upstream_orders.UpstreamState],
) -> tuple[dict[str, list[types.UpstreamId]], dict[str, int]]:
    """Assign to each role as many upstreams as its largest placement needs."""
    needed_by_role: dict[str, int] = {}
    models_by_role: dict[str, set[str]] = {}
    for one in _sorted(placements):
        largest = max(one.count, needed_by_role.get(one.role, 0))
        needed_by_role[one.role] = largest
        models_by_role.setdefault(one.role, set()).add(one.model)
    free = set(state_by_id)
    ids_by_role: dict[str, list[types.UpstreamId]] = {}
    # Upstreams keep their role before any role takes from the rest.
    for role, needed in needed_by_role.items():
        holders = [one for one in free if state_by_id[one].role == role]
        ids_by_role[role] = _by_models_loaded(
            holders, models_by_role[role], state_by_id
        )[:needed]
        free.difference_update(ids_by_role[role])
    missing_by_role: dict[str, int] = {}
    for role, needed in needed_by_role.items():
        lacking = needed - len(ids_by_role[role])
        added = _by_models_loaded(free, models_by_role[role], state_by_id)[
            :lacking
        ]
        ids_by_role[role].extend(added)
        free.difference_update(added)
        if lacking > len(added):
            missing_by_role[role] = lacking - len(added)
    return ids_by_role, missing_by_role


def _by_models_loaded(
    ids: Iterable[types.UpstreamId],
    models: set[str],
    state_by_id: Mapping[types.UpstreamId, upstream_orders.UpstreamState],
) -> list[types.UpstreamId]:
    """Sort by how many of the models are loaded already, then by id."""
    return sorted(
        ids,
        key=lambda one: (
            -len(models & state_by_id[one].version_by_model.keys()),
            one,
        ),
    )


def _choose_upstreams(
    placement: model.Placement,
    candidates: Iterable[types.UpstreamId],
    state_by_id: Mapping[types.UpstreamId, upstream_orders.UpstreamState],
    chosen_by_id: Mapping[types.UpstreamId, Mapping[str, model.Placement]],
) -> list[types.UpstreamId]:
    def rank(upstream: types.UpstreamId) -> tuple[bool, bool, int, str]:
        version = state_by_id[upstream].version_by_model.get(placement.model)
        return (
            version is None,
            placement.version not in ("", version),
            len(chosen_by_id[upstream]),
            upstream,
        )

    return sorted(candidates, key=rank)[: placement.count]


def _sorted(
    placements: Sequence[model.Placement],
) -> list[model.Placement]:
    return sorted(placements, key=lambda one: (one.role, one.model))
