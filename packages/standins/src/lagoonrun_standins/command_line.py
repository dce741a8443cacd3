"""Runs one stand-in as a process: flags, READY line and signals."""

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
    """A server that `run` can start and stop."""

    host: str

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""

    async def start(self) -> None:
        """Start listening."""

    async def close(self) -> None:
        """Stop listening and cancel every task."""


def address_flags() -> flags.FlagValues:
    """Return a new set of flags, which every stand-in has."""
    values = flags.FlagValues()
    flags.DEFINE_string(
        "host", "127.0.0.1", "IP address to listen on.", flag_values=values
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
        "Stop at the end of standard input: the parent process has exited.",
        flag_values=values,
    )
    return values


def run(build: Callable[[], StandIn], values: flags.FlagValues) -> None:
    """Serve until SIGTERM or SIGINT, after printing one READY line.

    Parameters
    ----------
    build
        Creates the stand-in; called within the event loop.
    values
        Parsed flags, created by `address_flags`.
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
