"""Runs the real entry VM program as a process."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import time
from collections.abc import Sequence
from typing import BinaryIO

from lagoonrun_router import settings
from lagoonrun_users_platform import settings_file, standin_messages

PROGRAM = "lagoonrun_soak.entry_program"

_POLL_SECONDS = 0.5
_POLL_TIMEOUT_SECONDS = 0.4
_UNHEALTHY_THRESHOLD = 2
_EXIT_SECONDS = 3.0


class CrowdedVm:
    """Names the entry VM that gets most new connections.

    Attributes
    ----------
    name
        Name of the entry VM; empty for none.
    """

    def __init__(self) -> None:
        self.name = ""

    def find(self, vms: Sequence["EntryVm"]) -> "EntryVm | None":
        """Return the entry VM of that name."""
        return next((one for one in vms if one.name == self.name), None)


class EntryVm:
    """An entry VM process, controlled by signals to its own process id only.

    Parameters
    ----------
    vm_settings
        Settings of the entry VM.
    link_prefixes
        Prefixes of the hosts of upstreams and of its links to them.
    folder
        Directory of its settings file and log.
    planted
        Defect planted into the program; empty for none.

    Attributes
    ----------
    boot
        Number of times that the process was started.
    in_rotation
        Whether the load balancer sends it new connections.
    loses_callers
        Whether connections break over which callers receive a stream.
    """

    def __init__(
        self,
        *,
        vm_settings: settings.RouterSettings,
        link_prefixes: tuple[str, str],
        folder: pathlib.Path,
        planted: str = "",
    ) -> None:
        self.vm_settings = vm_settings
        self.name = str(vm_settings.entry_vm)
        self._link_prefixes = link_prefixes
        self._folder = folder
        self._planted = planted
        self._process: asyncio.subprocess.Process | None = None
        self._poller: asyncio.Task[None] | None = None
        self.boot = 0
        self.in_rotation = False
        self.loses_callers = False

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._folder / f"{self.name}.toml"

    async def start(self) -> None:
        """Start the program."""
        self.write_settings("")
        with self._open_log() as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                PROGRAM,
                *self._link_prefixes,
                self._planted,
                env={
                    **os.environ,
                    settings_file.PATH_VARIABLE: str(self._settings_path),
                },
                stdout=log,
                stderr=log,
            )
        self.boot += 1
        if self._poller is None:
            self._poller = asyncio.create_task(self._poll())

    def _open_log(self) -> BinaryIO:
        return open(self._folder / f"{self.name}.log", "ab")

    def write_settings(self, comment: str) -> None:
        """Write the settings file with a comment that makes it differ."""
        text = standin_messages.settings_text(self.vm_settings)
        self._settings_path.write_text(f"# {comment}\n{text}", encoding="utf-8")

    def send(self, number: signal.Signals) -> None:
        """Send the process a signal unless it has exited."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait_for_exit(self, seconds: float) -> bool:
        """Wait for the process to exit; return whether it did so in time."""
        if self._process is None:
            return True
        try:
            async with asyncio.timeout(seconds):
                await self._process.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Kill the process and stop the readiness checks."""
        if self._poller is not None:
            self._poller.cancel()
            await asyncio.gather(self._poller, return_exceptions=True)
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.wait_for_exit(_EXIT_SECONDS)

    async def _poll(self) -> None:
        """Poll readiness as the platform's load balancer does."""
        failed_polls = _UNHEALTHY_THRESHOLD
        while True:
            failed_polls = 0 if await self._is_ready() else failed_polls + 1
            self.in_rotation = failed_polls < _UNHEALTHY_THRESHOLD
            await asyncio.sleep(_POLL_SECONDS)

    async def _is_ready(self) -> bool:
        address = self.vm_settings.readiness
        writer = None
        try:
            async with asyncio.timeout(_POLL_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
                writer.write(b"GET /ready HTTP/1.1\r\nHost: vm\r\n\r\n")
                status = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.transport.abort()
        return b" 200 " in status


async def wait_until_ready(vms: list[EntryVm], *, seconds: float) -> None:
    """Wait until all entry VMs are in rotation.

    Raises
    ------
    TimeoutError
        If an entry VM is not ready in time.
    """
    ends_at = time.monotonic() + seconds
    while not all(vm.in_rotation for vm in vms):
        if time.monotonic() > ends_at:
            raise TimeoutError(f"not all of {len(vms)} entry VMs are ready")
        with contextlib.suppress(TimeoutError):
            await asyncio.sleep(0.05)
