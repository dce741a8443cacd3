"""Loads, placements and pressed tiers as entry VMs tell them each other."""

import struct
from collections.abc import Iterable, Iterator, Mapping

from lagoonrun_core import errors, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import format_error, loads
from lagoonrun_router import pressure as pressures

_NUMBER_BYTES = 4
_LARGEST_NUMBER = 2**32 - 1
_NUMBERS_BESIDE_TIERS = 4
"""Running, sensitive, held and overdue."""


class ToldRows:
    """Rows of work at upstreams as somebody told them, checked.

    Parameters
    ----------
    told
        What was told.

    Raises
    ------
    FormatError
        Where the rows are not of one length.
    """

    def __init__(self, *, told: router_messages.LoadRows) -> None:
        self.upstreams = tuple(
            types.UpstreamId(id) for id in told.upstreams.splitlines()
        )
        self._tiers = told.tiers
        self._width = told.tiers + _NUMBERS_BESIDE_TIERS
        self._numbers = numbers_in(
            told.numbers, wanted=self._width * len(self.upstreams)
        )

    def load_at(self, place: int) -> loads.Load:
        """Return the work at the upstream of one row."""
        start = place * self._width
        row = self._numbers[start : start + self._width]
        running, sensitive, held, overdue = row[self._tiers :]
        return loads.Load(
            waiting_by_tier=row[: self._tiers],
            running=running,
            sensitive=sensitive / 100,
            held_tokens=held,
            overdue=overdue,
        )

    def by_upstream(self) -> dict[types.UpstreamId, loads.Load]:
        """Return the work at each upstream."""
        return {
            upstream: self.load_at(place)
            for place, upstream in enumerate(self.upstreams)
        }


def to_rows(
    loads_by_upstream: Mapping[types.UpstreamId, loads.Load],
) -> router_messages.LoadRows:
    """Return what is told of the work at each upstream."""
    known = tuple(loads_by_upstream.values())
    tiers = max((len(load.waiting_by_tier) for load in known), default=0)
    numbers: list[float] = []
    for load in known:
        numbers.extend(_row(load, tiers))
    return router_messages.LoadRows(
        upstreams="\n".join(loads_by_upstream),
        tiers=tiers,
        numbers=packed(numbers),
    )


def _row(load: loads.Load, tiers: int) -> Iterator[float]:
    yield from load.waiting_by_tier
    yield from [0] * (tiers - len(load.waiting_by_tier))
    yield load.running
    yield load.sensitive * 100
    yield load.held_tokens
    yield load.overdue


def from_rows(
    told: router_messages.LoadRows,
) -> dict[types.UpstreamId, loads.Load]:
    """Return the work at each upstream by what was told.

    Raises
    ------
    FormatError
        Where the rows are not of one length.
    """
    return ToldRows(told=told).by_upstream()


def packed(numbers: Iterable[float]) -> bytes:
    """Return numbers of at least 0, rounded, in four bytes each."""
    whole = [min(round(number), _LARGEST_NUMBER) for number in numbers]
    return struct.pack(f"<{len(whole)}I", *whole)


def numbers_in(data: bytes, *, wanted: int) -> tuple[int, ...]:
    """Return the numbers in packed bytes.

    Raises
    ------
    FormatError
        Where there are not as many as `wanted`.
    """
    if len(data) != wanted * _NUMBER_BYTES:
        raise format_error.FormatError(
            step=errors.Step.PEER_FRAME,
            detail=f"{len(data)} bytes of numbers; valid: {wanted} numbers of "
            f"{_NUMBER_BYTES} bytes",
        )
    return struct.unpack(f"<{wanted}I", data)


def placements(
    upstreams_by_part: Mapping[str, types.UpstreamId],
) -> tuple[router_messages.PromptPlacement, ...]:
    """Return what is told of placed prompt parts."""
    return tuple(
        router_messages.PromptPlacement(part=part, upstream=upstream)
        for part, upstream in upstreams_by_part.items()
    )


def pressed(
    tiers: Iterable[pressures.PressedTier],
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
) -> tuple[pressures.PressedTier, ...]:
    """Return the tiers that could not be served by what was told."""
    return tuple(
        pressures.PressedTier(
            pool=one.pool, tier=one.tier, requests=one.requests
        )
        for one in told
    )
