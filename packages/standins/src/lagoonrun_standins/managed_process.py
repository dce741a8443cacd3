"""One child process of the demo, a bench or a failure test."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import sys
from collections.abc import Mapping, Sequence

from lagoonrun_config import settings
from lagoonrun_standins import command_line

_LOG_TAIL_LINES = 20
_SOLE_ADDRESS = ""


class ProcessError(RuntimeError):
    """A process did not start or stop as expected."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ready:
    """The addresses of a READY line.

    Parameters
    ----------
    address_by_name
        `READY caller=H:P admin=H:P` gives named addresses; `READY H:P` gives
        a single one with an empty name.
    """

    address_by_name: Mapping[str, settings.Address]

    @classmethod
    def parse(cls, line: str) -> "Ready":
        """Return the addresses of a READY line.

        Raises
        ------
        ValueError
            If there is no address, or a port is not a number.
        """
        address_by_name = {}
        for word in line.removeprefix(command_line.READY_PREFIX).split():
            name, _, text = word.rpartition("=")
            host, _, port = text.rpartition(":")
            address_by_name[name] = settings.Address(host=host, port=int(port))
        if not address_by_name:
            raise ValueError(f"no address in {line!r}; valid: READY HOST:PORT")
        return cls(address_by_name=address_by_name)


class ManagedProcess:
    """A Python module run as a child process.

    Its standard output and error are written to `log_path`. `close` kills it
    by its process id if it still runs.

    Parameters
    ----------
    name
        Name in error messages.
    module
        Module to run by `python -m MODULE`.
    arguments
        Command-line arguments.
    log_path
        Log file, to which its output is appended.
    """

    def __init__(
        self,
        *,
        name: str,
        module: str,
        arguments: Sequence[str] = (),
        log_path: pathlib.Path,
    ) -> None:
        self.name = name
        self.log_path = log_path
        self.ready: Ready | None = None
        self._command = (sys.executable, "-m", module, *arguments)
        self._process: asyncio.subprocess.Process | None = None
        self._copy_task: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has started and not ended, even if frozen."""
        return self._process is not None and self._process.returncode is None

    @property
    def host(self) -> str:
        """Return the IP address of its only or first address."""
        return self._first_address().host

    @property
    def port(self) -> int:
        """Return the port of its only or first address."""
        return self._first_address().port

    def address(self, name: str = _SOLE_ADDRESS) -> settings.Address:
        """Return an address of its READY line.

        Raises
        ------
        ProcessError
            If the line has no address of that name.
        """
        addresses = self.ready.address_by_name if self.ready else {}
        if name not in addresses:
            raise ProcessError(
                f"{self.name} has no address {name!r}; valid:"
                f" {sorted(addresses)}"
            )
        return addresses[name]

    async def start(self, *, timeout_seconds: float) -> None:
        """Start the process and wait for its READY line.

        Raises
        ------
        ProcessError
            If it exits first, or the line is not printed in time. The message
            contains the end of its log.
        """
        with self.log_path.open("ab") as log:
            # Standard input stays open while this process lives. If it is
            # killed, a stand-in reads the end of its input and stops.
            self._process = await asyncio.create_subprocess_exec(
                *self._command,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        try:
            async with asyncio.timeout(timeout_seconds):
                line = await self._read_ready()
        except TimeoutError:
            await self.kill()
            raise self._error("was not ready in time") from None
        if line is None:
            await self._process.wait()
            raise self._error(f"exited with status {self._process.returncode}")
        self.ready = Ready.parse(line)
        self._copy_task = asyncio.create_task(self._copy_output())

    async def close(self) -> None:
        """Kill the process if it still runs."""
        await self.kill()

    def freeze(self) -> None:
        """Suspend the process; its connections stay open."""
        self._send(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a frozen process."""
        self._send(signal.SIGCONT)

    async def kill(self) -> None:
        """Kill the process, which simulates a crash of its VM."""
        if self.is_running:
            self._send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        await self._stop_copying()

    def request_stop(self) -> None:
        """Request a planned stop without waiting for the exit."""
        self._send(signal.SIGTERM)

    async def wait(self, *, timeout_seconds: float) -> int:
        """Wait until the process exits and return its exit code.

        Raises
        ------
        ProcessError
            If it does not exit in time; it keeps running.
        """
        assert self._process is not None
        try:
            async with asyncio.timeout(timeout_seconds):
                code = await self._process.wait()
        except TimeoutError:
            raise self._error("did not exit in time") from None
        await self._stop_copying()
        return code

    async def terminate(self, *, timeout_seconds: float) -> int:
        """Request a planned stop and return the exit code.

        Raises
        ------
        ProcessError
            If it does not exit in time; it keeps running.
        """
        self.request_stop()
        return await self.wait(timeout_seconds=timeout_seconds)

    def log_tail(self) -> str:
        """Return the last lines of its log."""
        text = self.log_path.read_text(errors="replace")
        return "\n".join(text.splitlines()[-_LOG_TAIL_LINES:])

    def _first_address(self) -> settings.Address:
        if self.ready is None:
            raise ProcessError(f"{self.name} is not ready")
        return next(iter(self.ready.address_by_name.values()))

    def _send(self, number: signal.Signals) -> None:
        if not self.is_running:
            raise ProcessError(
                f"{self.name} is not running; {number.name} not sent"
            )
        assert self._process is not None
        self._process.send_signal(number)

    async def _read_ready(self) -> str | None:
        assert self._process is not None
        assert self._process.stdout is not None
        async for raw in self._process.stdout:
            line = raw.decode(errors="replace")
            if line.startswith(command_line.READY_PREFIX):
                return line
            self._append(raw)
        return None

    async def _copy_output(self) -> None:
        assert self._process is not None
        assert self._process.stdout is not None
        async for raw in self._process.stdout:
            self._append(raw)

    def _append(self, raw: bytes) -> None:
        with self.log_path.open("ab") as log:
            log.write(raw)

    async def _stop_copying(self) -> None:
        if self._copy_task is None:
            return
        self._copy_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._copy_task
        self._copy_task = None

    def _error(self, what: str) -> ProcessError:
        return ProcessError(f"{self.name} {what}; its log:\n{self.log_tail()}")
