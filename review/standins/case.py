"""Runs a case, and ends with the exit code that the review asks for."""

import asyncio
import os
import pathlib
import sys
import traceback
from collections.abc import Awaitable, Callable, Sequence

_HELD = 0
_BROKEN = 1
_NOT_RUN = 2
_MAX_SECONDS = 110.0

Scenario = Callable[[bool, pathlib.Path], Awaitable[Sequence[str]]]
"""Plays a case with or without its disruption, and writes the record to a path;
returns lines that say how the rule was broken, none if it held."""


def run(scenario: Scenario, *, folder: pathlib.Path) -> None:
    """Play a scenario and exit."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(_bounded(scenario, with_trouble, folder))
    except Exception:
        traceback.print_exc()
        print("the case could not run")
        sys.exit(_NOT_RUN)
    for line in broken:
        print(line)
    print("broken" if broken else "held")
    sys.exit(_BROKEN if broken else _HELD)


async def _bounded(
    scenario: Scenario, with_trouble: bool, folder: pathlib.Path
) -> Sequence[str]:
    async with asyncio.timeout(_MAX_SECONDS):
        return await scenario(with_trouble, folder / "record.txt")
