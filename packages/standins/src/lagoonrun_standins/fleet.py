"""Starts and stops the processes of a demo, bench or failure test."""

import asyncio
import atexit
import dataclasses
import enum
import os
import pathlib
import signal
import tempfile
from collections.abc import Mapping, Sequence

from lagoonrun_config import settings
from lagoonrun_standins import command_line, managed_process, reserved_ports

_DAEMON_MODULE = "lagoonrun_daemon.main"
_STAND_IN_PACKAGE = "lagoonrun_standins"
_LOOPBACK = "127.0.0.1"
_EXPERIMENT = "experiment"

FlagValue = str | int | float | bool


class Fleet:
    """Named child processes, all of which are stopped by `close`.

    Parameters
    ----------
    directory
        Directory of settings and logs. If None, a temporary one is created,
        and kept after `close` for its logs.
    ready_timeout_seconds
        Maximum wait for a process's READY line.
    stop_timeout_seconds
        Maximum wait in `close` for planned stops; then processes are killed.
    """

    def __init__(
        self,
        *,
        directory: pathlib.Path | None = None,
        ready_timeout_seconds: float = 20.0,
        stop_timeout_seconds: float = 5.0,
    ) -> None:
        self.directory = directory
        self.processes_by_name: dict[str, managed_process.ManagedProcess] = {}
        self._ready_timeout_seconds = ready_timeout_seconds
        self._stop_timeout_seconds = stop_timeout_seconds

    async def start(self) -> None:
        """Create the directory; no process is started yet."""
        if self.directory is None:
            prefix = "lagoonrun-fleet-"
            self.directory = pathlib.Path(tempfile.mkdtemp(prefix=prefix))
        # A test run that exits without `close` must leave no process running.
        atexit.register(self._kill_running)

    async def close(self) -> None:
        """Stop every process by SIGTERM, then by SIGKILL after the timeout."""
        running = [p for p in self.processes_by_name.values() if p.is_running]
        for process in running:
            process.request_stop()
            process.resume()
        await asyncio.gather(*(self._stop(process) for process in running))
        atexit.unregister(self._kill_running)

    async def start_module(
        self, name: str, module: str, arguments: Sequence[str] = ()
    ) -> managed_process.ManagedProcess:
        """Start `python -m MODULE` and wait until it is ready.

        The name of a process that has ended may be reused, as for the
        replacement of a lost VM.

        Raises
        ------
        managed_process.ProcessError
            If a process of that name runs, or is not ready in time.
        """
        assert self.directory is not None
        previous = self.processes_by_name.get(name)
        if previous and previous.is_running:
            raise managed_process.ProcessError(f"{name} is already running")
        process = managed_process.ManagedProcess(
            name=name,
            module=module,
            arguments=arguments,
            log_path=self.directory / f"{name}.log",
        )
        self.processes_by_name[name] = process
        await process.start(timeout_seconds=self._ready_timeout_seconds)
        return process

    async def start_engine(
        self, name: str, **flags: FlagValue
    ) -> managed_process.ManagedProcess:
        """Start a model engine with these command-line flags."""
        return await self._start_stand_in(name, "engine", flags)

    async def start_path_source(
        self, name: str, **flags: FlagValue
    ) -> managed_process.ManagedProcess:
        """Start the engine of `bench_path` with these command-line flags."""
        return await self._start_stand_in(name, "path_source", flags)

    async def start_plain_service(
        self, name: str, **flags: FlagValue
    ) -> managed_process.ManagedProcess:
        """Start a plain service with these command-line flags."""
        return await self._start_stand_in(name, "plain_service", flags)

    async def start_platform_store(
        self, name: str = "platform", **flags: FlagValue
    ) -> managed_process.ManagedProcess:
        """Start the platform with these command-line flags."""
        return await self._start_stand_in(name, "platform_store", flags)

    async def start_daemon(
        self, configured: settings.Settings
    ) -> managed_process.ManagedProcess:
        """Start `lagoonrund` under the name of its entry VM.

        Its addresses are named `caller`, `admin` and `peer`.
        """
        assert self.directory is not None
        path = self.directory / f"{configured.entry_vm}.toml"
        path.write_text(settings_toml(configured), encoding="utf-8")
        return await self.start_module(
            configured.entry_vm, _DAEMON_MODULE, [f"--settings={path}"]
        )

    async def _start_stand_in(
        self, name: str, module: str, flags: Mapping[str, FlagValue]
    ) -> managed_process.ManagedProcess:
        arguments = [f"--{command_line.STOP_WITH_INPUT}"]
        arguments += [f"--{flag}={value}" for flag, value in flags.items()]
        return await self.start_module(
            name, f"{_STAND_IN_PACKAGE}.{module}", arguments
        )

    async def _stop(self, process: managed_process.ManagedProcess) -> None:
        try:
            await process.wait(timeout_seconds=self._stop_timeout_seconds)
        except managed_process.ProcessError:
            await process.kill()

    def _kill_running(self) -> None:
        for process in self.processes_by_name.values():
            if process.is_running:
                os.kill(process.pid, signal.SIGKILL)


def settings_toml(configured: settings.Settings) -> str:
    """Return the settings as the TOML that `lagoonrund` reads."""
    lines = []
    for field in dataclasses.fields(configured):
        value = getattr(configured, field.name)
        # An empty string or list has the same meaning as an absent key.
        if value not in ("", ()) and field.name != _EXPERIMENT:
            lines.append(f"{field.name} = {_toml_value(value)}\n")
    lines.append(f"\n[{_EXPERIMENT}]\n")
    for name, value in vars(configured.experiment).items():
        lines.append(f"{name} = {_toml_value(value)}\n")
    return "".join(lines)


def _toml_value(value: object) -> str:
    if isinstance(value, tuple):
        return f"[{', '.join(_toml_value(item) for item in value)}]"
    if isinstance(value, bytes):
        return f'"{value.hex()}"'
    if isinstance(value, enum.Enum):
        return f'"{value.value}"'
    if isinstance(value, str | settings.Address):
        return f'"{value}"'
    return str(value)


def free_peer_address() -> settings.Address:
    """Return a loopback address whose port is free for both TCP and UDP.

    The settings of an entry VM contain the peer addresses of the others, so
    these must be known before the processes start.

    Raises
    ------
    OSError
        If no free port is found.
    """
    return settings.Address(
        host=_LOOPBACK, port=reserved_ports.reserve(_LOOPBACK)
    )
