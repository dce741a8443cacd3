"""Loads, placements and pressed tiers as entry VMs tell them each other."""

from collections.abc import Iterable, Mapping

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import loads
from lagoonrun_router import pressure as pressures


def to_messages(
    loads_by_upstream: Mapping[types.UpstreamId, loads.Load],
) -> tuple[router_messages.UpstreamLoad, ...]:
    """Return what is told of the work at each upstream."""
    return tuple(
        router_messages.UpstreamLoad(
            upstream=upstream,
            waiting_by_tier=tuple(map(round, load.waiting_by_tier)),
            running=load.running,
            sensitive_hundredths=round(load.sensitive * 100),
            held_tokens=round(load.held_tokens),
            pause_milliseconds=round(load.pause_seconds * 1000),
            pauses_tenths=round(load.pauses * 10),
            overdue=load.overdue,
        )
        for upstream, load in loads_by_upstream.items()
    )


def from_messages(
    told: Iterable[router_messages.UpstreamLoad],
) -> dict[types.UpstreamId, loads.Load]:
    """Return the work at each upstream by what was told."""
    return {one.upstream: _load_of(one) for one in told}


def _load_of(told: router_messages.UpstreamLoad) -> loads.Load:
    return loads.Load(
        waiting_by_tier=tuple(map(float, told.waiting_by_tier)),
        running=told.running,
        sensitive=told.sensitive_hundredths / 100,
        held_tokens=float(told.held_tokens),
        pause_seconds=told.pause_milliseconds / 1000,
        pauses=told.pauses_tenths / 10,
        overdue=told.overdue,
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
