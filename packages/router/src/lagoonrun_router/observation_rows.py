"""Conversion of speed observations to and from rows of a message."""

from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import peer_loads, speed_observation

_WIDTH = 9
_HALF_BITS = 32
_HALF_MASK = (1 << _HALF_BITS) - 1
_HUNDREDTHS = 100.0
_MICROSECONDS = 1_000_000.0
_MILLISECONDS = 1000.0


def to_rows(
    observations: Iterable[speed_observation.SpeedObservation],
) -> router_messages.ObservationRows:
    """Return observations as rows for a message."""
    listed = tuple(observations)
    if not listed:
        return router_messages.NO_OBSERVATIONS
    numbers: list[float] = []
    for one in listed:
        numbers += (
            one.start >> _HALF_BITS,
            one.start & _HALF_MASK,
            one.tokens_per_second or 0,
            one.samples,
            (one.slowness or 0) * _HUNDREDTHS,
            0 if one.running is None else one.running + 1,
            0 if one.waiting is None else one.waiting + 1,
            (one.service_seconds or 0) * _MICROSECONDS,
            one.age_seconds * _MILLISECONDS,
        )
    return router_messages.ObservationRows(
        upstreams="\n".join(one.upstream for one in listed),
        numbers=peer_loads.packed(numbers),
    )


def from_rows(
    rows: router_messages.ObservationRows,
) -> tuple[speed_observation.SpeedObservation, ...]:
    """Return the observations in the rows of a message.

    Raises
    ------
    FormatError
        If the number of rows does not match the upstreams.
    """
    upstreams = rows.upstreams.split("\n") if rows.upstreams else []
    numbers = peer_loads.unpacked(rows.numbers, count=_WIDTH * len(upstreams))
    return tuple(
        _observation(upstream, numbers[index * _WIDTH : (index + 1) * _WIDTH])
        for index, upstream in enumerate(upstreams)
    )


def _observation(
    upstream: str, row: tuple[int, ...]
) -> speed_observation.SpeedObservation:
    upper, lower, speed, samples, slowness, running, waiting, service, age = row
    return speed_observation.SpeedObservation(
        upstream=types.UpstreamId(upstream),
        start=types.UpstreamStart(upper << _HALF_BITS | lower),
        tokens_per_second=float(speed) if speed else None,
        samples=samples,
        slowness=slowness / _HUNDREDTHS if slowness else None,
        running=running - 1 if running else None,
        waiting=waiting - 1 if waiting else None,
        service_seconds=service / _MICROSECONDS if service else None,
        age_seconds=age / _MILLISECONDS,
    )
