"""Starts the project's program on a stand-in of an entry machine."""

import asyncio
import os
import pathlib
import signal
import tomllib
from collections.abc import Sequence
from typing import BinaryIO

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_PASSED_ON = ("PATH", "HOME", "LANG")
_READY_SECONDS = 20.0

CALLER_PORT = 8227
_READINESS_PORT = 8220
_CONTROL_PORT = 8229
_INTERNAL_PORTS = (7340, 7355)

_SETTINGS = """\
node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "tunis"
internal_ports = [{first_port},{last_port}]
seed_nodes = [{seeds}]
bootstrap = true
loss_counts = false
discovery = "platform"
entry_mode = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
hall-charguia = "tunis"
hall-lac = "tunis"
hall-manouba = "tunis"
[listen]
front = "{ip}:{caller_port}"
readiness = "{ip}:{readiness_port}"
control = "{ip}:{control_port}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_delay_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Machine:
    """One entry machine with one process of the program.

    Parameters
    ----------
    name, zone, ip
        Of the machine.
    folder
        Where its settings and its log go.
    """

    def __init__(
        self, *, name: str, zone: str, ip: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process; None while it runs."""
        return None if self._process is None else self._process.returncode

    def write_settings(self, *, seeds: Sequence[str], store: str) -> None:
        """Write the settings file."""
        text = _SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            first_port=_INTERNAL_PORTS[0],
            last_port=_INTERNAL_PORTS[1],
            seeds=",".join(f'"{one}:{_CONTROL_PORT}"' for one in seeds),
            caller_port=CALLER_PORT,
            readiness_port=_READINESS_PORT,
            control_port=_CONTROL_PORT,
            store=store,
        )
        self._settings_path.write_text(text, encoding="utf-8")

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._folder / f"{self.name}.toml"

    async def start(self) -> None:
        """Start the program with the command of the deploy file."""
        deploy = tomllib.loads((_ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name] for name in _PASSED_ON if name in os.environ
        }
        environment["PYTHONPATH"] = str(_ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LAGOONRUN_SETTINGS"] = str(self._settings_path)
        with self._open_log() as log:
            self._process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["entry"]["run"].split(" "),
                cwd=_ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def _open_log(self) -> BinaryIO:
        return open(self._folder / f"{self.name}.log", "ab")

    async def wait_until_ready(self) -> None:
        """Wait for 200 at the readiness address; raises `TimeoutError`."""
        async with asyncio.timeout(_READY_SECONDS):
            while True:
                if await self.is_ready():
                    return
                await asyncio.sleep(0.1)

    async def is_ready(self) -> bool:
        """Ask once whether the process is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, _READINESS_PORT
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: machine\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.transport.abort()

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal unless it has ended."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def close(self) -> None:
        """Kill the process."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
