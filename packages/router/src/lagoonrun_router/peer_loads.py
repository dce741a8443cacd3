"""Loads, placements and pressed tiers as entry VMs tell them each other."""

from collections.abc import Iterable, Mapping

from lagoonrun_core import errors, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import format_error, loads
from lagoonrun_router import pressure as pressures


def to_columns(
    loads_by_upstream: Mapping[types.UpstreamId, loads.Load],
) -> router_messages.LoadColumns:
    """Return what is told of the work at each upstream."""
    known = tuple(loads_by_upstream.values())
    tiers = max((len(load.waiting_by_tier) for load in known), default=0)
    waiting: list[int] = []
    for load in known:
        waiting.extend(map(round, load.waiting_by_tier))
        waiting.extend([0] * (tiers - len(load.waiting_by_tier)))
    return router_messages.LoadColumns(
        upstreams=tuple(loads_by_upstream),
        tiers=tiers,
        waiting_tokens=tuple(waiting),
        running=tuple(load.running for load in known),
        sensitive_hundredths=tuple(
            round(load.sensitive * 100) for load in known
        ),
        held_tokens=tuple(round(load.held_tokens) for load in known),
        overdue=tuple(load.overdue for load in known),
    )


def from_columns(
    told: router_messages.LoadColumns,
) -> dict[types.UpstreamId, loads.Load]:
    """Return the work at each upstream by what was told.

    Raises
    ------
    FormatError
        Where the columns are not of one length.
    """
    check(told)
    return {
        upstream: at_place(told, place)
        for place, upstream in enumerate(told.upstreams)
    }


def at_place(told: router_messages.LoadColumns, place: int) -> loads.Load:
    """Return the work at the upstream of one place in checked columns."""
    tiers = told.tiers
    return loads.Load(
        waiting_by_tier=told.waiting_tokens[
            place * tiers : (place + 1) * tiers
        ],
        running=told.running[place],
        sensitive=told.sensitive_hundredths[place] / 100,
        held_tokens=told.held_tokens[place],
        overdue=told.overdue[place],
    )


def check(told: router_messages.LoadColumns) -> None:
    """Raise `FormatError` where the columns are not of one length."""
    upstreams = len(told.upstreams)
    wanted_by_column = {
        "waiting_tokens": upstreams * told.tiers,
        "running": upstreams,
        "sensitive_hundredths": upstreams,
        "held_tokens": upstreams,
        "overdue": upstreams,
    }
    for column, wanted in wanted_by_column.items():
        length = len(getattr(told, column))
        if length != wanted:
            raise format_error.FormatError(
                step=errors.Step.PEER_FRAME,
                detail=f"{length} {column} of {upstreams} upstreams; "
                f"valid: {wanted}",
            )


def placements(
    upstreams_by_part: Mapping[str, types.UpstreamId],
) -> tuple[router_messages.PromptPlacement, ...]:
    """Return what is told of placed prompt parts."""
    return tuple(
        router_messages.PromptPlacement(part=part, upstream=upstream)
        for part, upstream in upstreams_by_part.items()
    )


def pressed(
    tiers: Iterable[pressures.Pressed],
) -> tuple[router_messages.PressedTier, ...]:
    """Return what is told of tiers that could not be served."""
    return tuple(
        router_messages.PressedTier(
            pool=one.pool, tier=one.tier, requests=one.requests
        )
        for one in tiers
    )


def pressed_of(
    told: Iterable[router_messages.PressedTier],
) -> tuple[pressures.Pressed, ...]:
    """Return the tiers that could not be served by what was told."""
    return tuple(
        pressures.Pressed(pool=one.pool, tier=one.tier, requests=one.requests)
        for one in told
    )
