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
    rows = zip(
        told.upstreams,
        told.running,
        told.sensitive_hundredths,
        told.held_tokens,
        told.overdue,
        strict=True,
    )
    if len(told.waiting_tokens) != told.tiers * len(told.upstreams):
        raise _uneven(told, f"{len(told.waiting_tokens)} waiting tokens")
    try:
        return {
            upstream: loads.Load(
                waiting_by_tier=told.waiting_tokens[
                    place * told.tiers : (place + 1) * told.tiers
                ],
                running=running,
                sensitive=sensitive / 100,
                held_tokens=held,
                overdue=overdue,
            )
            for place, (
                upstream,
                running,
                sensitive,
                held,
                overdue,
            ) in enumerate(rows)
        }
    except ValueError as error:
        raise _uneven(told, str(error)) from error


def _uneven(
    told: router_messages.LoadColumns, detail: str
) -> format_error.FormatError:
    return format_error.FormatError(
        step=errors.Step.PEER_FRAME,
        detail=f"loads of {len(told.upstreams)} upstreams with columns of "
        f"other lengths: {detail}",
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
