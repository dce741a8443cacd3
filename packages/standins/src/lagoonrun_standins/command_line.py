"""Runs one stand-in as a process: flags, the READY line and SIGTERM."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from typing import Protocol

from absl import flags

READY_PREFIX = "READY "
STOP_WITH_INPUT = "stop_with_input"
_READ_BYTES = 4096


class StandIn(Protocol):
    """What this module can run."""

    host: str

    @property
    def port(self) -> int:
        """Return the port listened on."""

    async def start(self) -> None:
        """Listen."""

    async def close(self) -> None:
        """Stop listening and end every task."""


def address_flags() -> flags.FlagValues:
    """Return a set of flags of its own that holds `host` and `port`."""
    values = flags.FlagValues()
    flags.DEFINE_string(
        "host", "127.0.0.1", "IP number to listen on.", flag_values=values
    )
    flags.DEFINE_integer(
        "port",
        0,
        "Port to listen on; 0 lets the system choose.",
        flag_values=values,
    )
    flags.DEFINE_bool(
        STOP_WITH_INPUT,
        False,
        "Stop when standard input ends, as it does when the parent dies.",
        flag_values=values,
    )
    return values


def run(build: Callable[[], StandIn], values: flags.FlagValues) -> None:
    """Serve until SIGTERM or SIGINT, after printing one READY line.

    Parameters
    ----------
    build
        Called within the event loop.
    values
        Flags that began as `address_flags`.
    """
    asyncio.run(_run(build, values))


async def _run(build: Callable[[], StandIn], values: flags.FlagValues) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    if values[STOP_WITH_INPUT].value:
        loop.add_reader(sys.stdin.fileno(), _stop_at_end, stop)
    stand_in = build()
    await stand_in.start()
    print(f"{READY_PREFIX}{stand_in.host}:{stand_in.port}", flush=True)
    await stop.wait()
    await stand_in.close()


def _stop_at_end(stop: asyncio.Event) -> None:
    descriptor = sys.stdin.fileno()
    if not os.read(descriptor, _READ_BYTES):
        asyncio.get_running_loop().remove_reader(descriptor)
        stop.set()
