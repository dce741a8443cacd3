"""A small deployment on loopback addresses: store, runners and machines."""

import pathlib
import random
import socket
import tempfile
import time
from collections.abc import Mapping, Sequence

from standins import machine, runner, store

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
SERVICE = "wuno96b"
ENGINES = "huvo11a"
ZONES = ("hall-charguia", "hall-lac", "hall-manouba")
SAFE_PATH = "/cufi504/fi50/2f"
UNSAFE_PATH = "/puxa403/2f"
STREAM_PATH = "/lohu930/2f"
LIMIT_MS = 1000
STREAM_LIMIT_MS = 8000
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}

_STORE_PORT = 8223
_RUNNER_PORT = 8263


def configuration(
    version: int,
    *,
    limits: Mapping[str, int] = LIMITS,
    with_stream: bool = True,
) -> dict[str, object]:
    """Return a configuration with a safe and an unsafe route.

    Parameters
    ----------
    with_stream
        Whether there is a streaming route too.
    """
    common = {
        "host": HOST,
        "timeout_ms": LIMIT_MS,
        "target_latency_ms": 100,
        "priority": 2,
        "service": SERVICE,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    engine = {"slots": 64, "kv_capacity_tokens": 485596}
    routes: list[dict[str, object]] = [
        {
            "name": "access-check",
            "prefix": "/cufi504/",
            "kind": "safe",
            "max_attempts": 2,
            **common,
        },
        {
            "name": "page-lookup",
            "prefix": "/puxa403/",
            "kind": "unsafe",
            "max_attempts": 1,
            **common,
        },
    ]
    if with_stream:
        routes.append(
            {
                **common,
                "name": "catalogue-ask",
                "prefix": "/lohu930/",
                "kind": "streaming",
                "max_attempts": 1,
                "timeout_ms": STREAM_LIMIT_MS,
                "target_latency_ms": 400,
                "gap_target_ms": 300,
                "priority": 0,
                "service": ENGINES,
                "sticky": True,
            }
        )
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": connections,
                "protocol": "h1",
                "tls": False,
                **more,
            }
            for name, connections, more in (
                (SERVICE, 100, {}),
                (ENGINES, 360, {"engine": engine}),
            )
        ],
        "limits": dict(limits),
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


class World:
    """Starts and ends all parts; keeps what reached the runners.

    Parameters
    ----------
    machines
        Number of entry machines, in the zones in turn.
    runners
        Number of runners of the plain service, in the zones in turn.
    engines
        Number of runners of the model service.
    """

    def __init__(self, *, machines: int, runners: int, engines: int) -> None:
        network = _free_network()
        self.began_at = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.arrivals: list[runner.Arrival] = []
        self.store = store.Store(host=f"{network}.200.7", port=_STORE_PORT)
        self.machines = [
            machine.Machine(
                name=f"front-{ZONES[n % len(ZONES)]}-{n}",
                zone=ZONES[n % len(ZONES)],
                ip=f"{network}.1.{40 + n}",
                folder=self.folder,
            )
            for n in range(machines)
        ]
        services = [SERVICE] * runners + [ENGINES] * engines
        class_by_service = {SERVICE: runner.Runner, ENGINES: runner.Engine}
        started = [
            class_by_service[service](
                id=f"i-{random.getrandbits(32):08x}",
                service=service,
                zone=ZONES[n % len(ZONES)],
                host=f"{network}.64.{20 + n}",
                port=_RUNNER_PORT,
                platform=self.store,
                on_arrival=self.arrivals.append,
            )
            for n, service in enumerate(services)
        ]
        self.runners = started[:runners]
        self.engines = started[runners:]
        self._record: list[str] = []

    async def start(self, configured: Mapping[str, object]) -> None:
        """Start all parts; returns when all machines are ready."""
        await self.store.start()
        await self.store.put("op/config", configured)
        for one in (*self.runners, *self.engines):
            await one.start()
        for one in self.machines:
            one.write_settings(
                seeds=[seed.ip for seed in self.machines[:3]],
                store=self.store.address,
            )
            await one.start()
        for one in self.machines:
            await one.wait_until_ready()
        self.note("all machines are ready")

    async def close(self) -> None:
        """End all processes and servers."""
        for one in self.machines:
            await one.close()
        for one in (*self.runners, *self.engines):
            await one.close()
        await self.store.close()

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.began_at

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line to the record."""
        seconds = self.now() if at is None else at - self.began_at
        self._record.append(f"{seconds:9.3f} {text}")

    def write_record(self, path: pathlib.Path) -> None:
        """Write the record, in the order of time."""
        lines = sorted(self._record, key=lambda line: float(line[:9]))
        path.write_text("\n".join([*lines, ""]), encoding="utf-8")


def _free_network() -> str:
    """Return the first half of free loopback addresses."""
    while True:
        network = f"127.{random.randint(20, 250)}"
        needed: Sequence[tuple[str, int]] = (
            (f"{network}.200.7", _STORE_PORT),
            (f"{network}.1.40", machine.CALLER_PORT),
            (f"{network}.64.20", _RUNNER_PORT),
        )
        if all(_is_free(host, port) for host, port in needed):
            return network


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            one.bind((host, port))
        except OSError:
            return False
    return True
