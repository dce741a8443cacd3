"""Conversion of loads, placements and pressed tiers to and from messages."""

import struct
from collections.abc import Iterable, Iterator, Mapping

from lagoonrun_core import errors, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import format_error, loads
from lagoonrun_router import pressure as pressures

_NUMBER_BYTES = 4
_MAX_NUMBER = 2**32 - 1
_NUMBERS_AFTER_TIERS = 4
"""Columns after those of the tiers: running, sensitive, held, overdue."""


class ReportedRows:
    """Load rows of a message, checked and unpacked.

    Parameters
    ----------
    rows
        Rows of the message, one for each upstream.

    Raises
    ------
    FormatError
        If the rows do not all have the same length.
    """

    def __init__(self, *, rows: router_messages.LoadRows) -> None:
        self.upstreams = tuple(
            types.UpstreamId(id) for id in rows.upstreams.splitlines()
        )
        self._tiers = rows.tiers
        self._width = rows.tiers + _NUMBERS_AFTER_TIERS
        self._numbers = unpacked(
            rows.numbers, count=self._width * len(self.upstreams)
        )
        # An entry VM of an older version does not send these numbers.
        row_count = max(1, len(self.upstreams))
        self._running_tiers = len(rows.running) // (_NUMBER_BYTES * row_count)
        self._running = unpacked(
            rows.running, count=self._running_tiers * row_count
        )

    def row_load(self, index: int) -> loads.Load:
        """Return the load in one row."""
        start = index * self._width
        row = self._numbers[start : start + self._width]
        running, sensitive, held, overdue = row[self._tiers :]
        running_start = index * self._running_tiers
        return loads.Load(
            waiting_by_tier=row[: self._tiers],
            running=running,
            sensitive=sensitive / 100,
            held_tokens=held,
            overdue=overdue,
            running_by_tier=self._running[
                running_start : running_start + self._running_tiers
            ],
        )

    def by_upstream(self) -> dict[types.UpstreamId, loads.Load]:
        """Return the load at each upstream."""
        return {
            upstream: self.row_load(index)
            for index, upstream in enumerate(self.upstreams)
        }


def to_rows(
    loads_by_upstream: Mapping[types.UpstreamId, loads.Load],
) -> router_messages.LoadRows:
    """Return the load at each upstream as rows for a message."""
    ordered_loads = tuple(loads_by_upstream.values())
    tiers = max(
        (len(load.waiting_by_tier) for load in ordered_loads), default=0
    )
    running_tiers = max(
        (len(load.running_by_tier) for load in ordered_loads), default=0
    )
    numbers: list[float] = []
    running: list[float] = []
    for load in ordered_loads:
        numbers.extend(_row(load, tiers))
        running.extend(load.running_by_tier)
        running.extend([0] * (running_tiers - len(load.running_by_tier)))
    return router_messages.LoadRows(
        upstreams="\n".join(loads_by_upstream),
        tiers=tiers,
        numbers=packed(numbers),
        running=packed(running),
    )


def _row(load: loads.Load, tiers: int) -> Iterator[float]:
    yield from load.waiting_by_tier
    yield from [0] * (tiers - len(load.waiting_by_tier))
    yield load.running
    yield load.sensitive * 100
    yield load.held_tokens
    yield load.overdue


def from_rows(
    rows: router_messages.LoadRows,
) -> dict[types.UpstreamId, loads.Load]:
    """Return the load at each upstream from the rows of a message.

    Raises
    ------
    FormatError
        If the rows do not all have the same length.
    """
    return ReportedRows(rows=rows).by_upstream()


def packed(numbers: Iterable[float]) -> bytes:
    """Return numbers rounded to unsigned 32-bit integers and packed.

    Numbers must not be negative; larger ones are reduced to the maximum.
    """
    integers = [min(round(number), _MAX_NUMBER) for number in numbers]
    return struct.pack(f"<{len(integers)}I", *integers)


def unpacked(data: bytes, *, count: int) -> tuple[int, ...]:
    """Return the integers in packed bytes.

    Raises
    ------
    FormatError
        If there are not `count` of them.
    """
    if len(data) != count * _NUMBER_BYTES:
        raise format_error.FormatError(
            step=errors.Step.PEER_FRAME,
            detail=f"{len(data)} bytes of numbers; valid: {count} numbers of "
            f"{_NUMBER_BYTES} bytes",
        )
    return struct.unpack(f"<{count}I", data)


def to_placements(
    upstreams_by_part: Mapping[str, types.UpstreamId],
) -> tuple[router_messages.PromptPlacement, ...]:
    """Return the upstreams of prompt parts, encoded for a message."""
    return tuple(
        router_messages.PromptPlacement(part=part, upstream=upstream)
        for part, upstream in upstreams_by_part.items()
    )


def to_pressed_tiers(
    tiers: Iterable[pressures.PressedTier],
) -> tuple[router_messages.PressedTier, ...]:
    """Return recently rejected tiers, encoded for a message."""
    return tuple(
        router_messages.PressedTier(
            pool=one.pool, tier=one.tier, requests=one.requests
        )
        for one in tiers
    )


def from_pressed_tiers(
    tiers: Iterable[router_messages.PressedTier],
) -> tuple[pressures.PressedTier, ...]:
    """Return the recently rejected tiers that a message reports."""
    return tuple(
        pressures.PressedTier(
            pool=one.pool, tier=one.tier, requests=one.requests
        )
        for one in tiers
    )
