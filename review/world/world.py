"""A small deployment on loopback addresses: real routers, stand-ins around them.

The store, the runners and the requesters follow PROTOCOL.md. All of them write
what they saw into one record, with seconds since the start of the case.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_STORE_SECONDS = 0.004
_PAGE_ITEMS = 500
_REASONS = {200: "OK", 421: "Misdirected", 503: "Unavailable"}


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{self.now():9.3f} {what} {text}\n")
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")[:-2]
    headers = {}
    for one in lines[1:]:
        name, _, value = one.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, *, to_end=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


def message(first, headers, body):
    """Return an HTTP message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's metadata store, as far as routers call it."""

    def __init__(self, record):
        self.record = record
        self.revision = 1000
        self.items = {}
        self.events = []
        self.leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._server = None
        self.calls = 0
        self.refuse = lambda peer, path: 0
        """Returns a status for calls that are rejected, else 0."""

    async def start(self, host, port):
        self.address = (host, port)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self):
        self._server.close()

    def _commit(self, puts, removed):
        self.revision += 1
        for key, value, lease in puts:
            before = self.items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": before["created"] if before else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self.events.append(item)
        for key in removed:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision}
                self.events.append(event | {"tombstone": True})
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def put(self, key, value):
        """Write as the operator and the runners do."""
        return self._commit([(key, value, 0)], [])

    def remove(self, key):
        return self._commit([], [key])

    def _expire(self):
        now = time.monotonic()
        for lease in [one for one, at in self.leases.items() if now >= at[1]]:
            del self.leases[lease]
            keys = [k for k, i in self.items.items() if i["lease"] == lease]
            if keys:
                self._commit([], keys)

    async def _serve(self, reader, writer):
        peer = writer.get_extra_info("peername")
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                self.calls += 1
                status, answer = await self._answer(first, body, peer)
                writer.write(
                    message(
                        f"HTTP/1.1 {status} x",
                        {"Content-Type": "application/json"},
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    async def _answer(self, first, body, peer):
        method, target, _ = first.split(" ")
        await asyncio.sleep(_STORE_SECONDS)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        name, _, rest = url.path.strip("/").partition("/")
        status = self.refuse(peer, url.path)
        if status:
            return status, {}
        self._expire()
        given = json.loads(body or b"{}")
        if name == "kv-key":
            item = self.items.get(query["key"])
            known = {"store_revision": self.revision}
            return (200, item | known) if item else (404, known)
        if name == "kv-range":
            after = query.get("after", "")
            found = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > after
            )
            return 200, {
                "items": [self.items[one] for one in found[:_PAGE_ITEMS]],
                "has_more": len(found) > _PAGE_ITEMS,
                "store_revision": self.revision,
            }
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(given)
        if name == "kv-lease":
            lease = self._next_lease
            self._next_lease += 1
            ttl = given["ttl_ms"]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if name == "kv-keep":
            held = self.leases.get(int(rest))
            if held is None:
                return 404, {}
            self.leases[int(rest)] = (held[0], time.monotonic() + held[0] / 1000)
            return 200, {"ttl_ms": held[0]}
        if name == "kv-lease-end":
            held = self.leases.get(int(rest))
            if held is None:
                return 404, {}
            self.leases[int(rest)] = (held[0], 0.0)
            self._expire()
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        if after > self.revision:
            return 410, {}
        while True:
            events = [
                one
                for one in self.events
                if one["revision"] > after
                and one["key"].startswith(query["prefix"])
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    def _transact(self, given):
        for row in given.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [one["key"] for one in given["expected"]]
                found = [self.items[one] for one in keys if one in self.items]
                return 412, {"items": found, "store_revision": self.revision}
        puts = []
        for one in given.get("puts", []):
            if one["key"].startswith(("op/", "servers/")):
                return 403, {}
            lease = one.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            puts.append((one["key"], base64.b64decode(one["value"]), lease))
        if puts or given.get("remove"):
            self._commit(puts, given.get("remove", []))
        return 200, {"revision": self.revision}


class Runner:
    """A runner of a plain service, or one that streams events.

    Attributes
    ----------
    behave
        Coroutine that answers a request in place of the usual answer, given
        the runner, the request's headers and body and its connection; it
        returns whether the connection goes on.
    """

    def __init__(self, world, id, service, zone, host, port, *, slots=16):
        self.world = world
        self.id = id
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.slots = slots
        self.running = 0
        self.work_seconds = 0.02
        self.events = 0
        self.event_seconds = 0.05
        self.behave = None
        self.state = "ready"
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )

    def register(self, state="ready"):
        """Write the entry; the store's answer is the acknowledgement."""
        self.state = state
        self.world.store.put(
            f"servers/{self.id}",
            json.dumps(
                {
                    "service": self.service,
                    "address": f"{self.host}:{self.port}",
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": state,
                    "cold_remaining_ms": 0,
                    "seq_no": 1,
                }
            ).encode(),
        )
        self.world.record.line("runner-entry", id=self.id, state=state)

    def deregister(self):
        self.world.store.remove(f"servers/{self.id}")
        self.world.record.line("runner-entry", id=self.id, state="removed")

    async def close(self, *, reset=False):
        self._server.close()
        for writer in tuple(self._writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    def headers(self, id):
        return {
            "X-Request-Id": id,
            "X-Server-Signature": f"sig.{self.id}.{id}",
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                self.world.arrived(self, first, headers, body)
                id = headers.get("x-request-id", "")
                expected = headers.get("x-expected-instance")
                if expected not in (None, self.id):
                    told = self.headers(id) | {"X-Not-Executed": "1"}
                    writer.write(message("HTTP/1.1 421 x", told, b""))
                    continue
                self.running += 1
                try:
                    if self.behave is not None:
                        if not await self.behave(
                            self, headers, body, reader, writer
                        ):
                            return
                    else:
                        await self.answer(headers, writer)
                finally:
                    self.running -= 1
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, headers, writer):
        id = headers["x-request-id"]
        self.world.ran(self, id)
        if self.events:
            await self.stream(headers, writer)
            return
        await asyncio.sleep(self.work_seconds)
        writer.write(message("HTTP/1.1 200 OK", self.headers(id), self.body(id)))

    def body(self, id):
        return f"answer to {id}".encode()

    async def stream(self, headers, writer, *, upto=None):
        id = headers["x-request-id"]
        told = self.headers(id) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in told.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        start = int(headers.get("last-event-id") or 0) + 1
        for number in range(start, (upto or self.events) + 1):
            await asyncio.sleep(self.event_seconds)
            if writer.transport.is_closing():
                return
            event = f"id: {number}\ndata: {id} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        writer.write(b"0\r\n\r\n")


class Vm:
    """A router process with the command of the deploy file."""

    def __init__(self, world, name, zone, ip):
        self.world = world
        self.name = name
        self.zone = zone
        self.ip = ip
        self.process = None
        self.store_address = None
        self.log_path = world.folder / f"{name}.log"
        self.settings_path = world.folder / f"{name}.toml"

    def write_settings(self):
        world = self.world
        host, port = self.store_address or world.store.address
        bounds = "\n".join(f"{k} = {v}" for k, v in world.bounds.items())
        zones = "\n".join(f'{one} = "here"' for one in world.zones)
        seeds = json.dumps([f"{one.ip}:8229" for one in world.vms[:3]])
        extra = world.settings_extra
        self.settings_path.write_text(
            f'''node = "{self.name}"
role = "entry"
machine_class = "front"
serves = ["front", "control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "here"
internal_ports = [7340, 7355]
seed_nodes = {seeds}
bootstrap = true
loss_counts = false
discovery = "platform"
entry_mode = "vip"
heartbeat_ms = 1200
contracts = {json.dumps(world.contracts)}
[zones]
{zones}
[listen]
front = "{self.ip}:8227"
readiness = "{self.ip}:8220"
control = "{self.ip}:8229"
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
{bounds}
[platform]
address = "{host}:{port}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
{extra}
''',
            encoding="utf-8",
        )

    async def start(self):
        self.write_settings()
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "-m",
                "lagoonrun_users_platform.main",
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "LAGOONRUN_SETTINGS": str(self.settings_path),
                },
                stdout=log,
                stderr=log,
            )
        self.world.record.line("vm-start", name=self.name)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.world.record.line("vm-signal", name=self.name, signal=number.name)

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8220)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(0.5):
                first, _ = await read_head(reader)
            writer.close()
            return " 200 " in first + " "
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def close(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    def log_lines(self, *words):
        """Return the log lines that have one of some words."""
        text = self.log_path.read_text(encoding="utf-8", errors="replace")
        return [
            one for one in text.split("\n") if any(word in one for word in words)
        ]


class World:
    """One deployment and its record."""

    def __init__(self, case, *, zones, vms_by_zone, bounds=None):
        self.record = Record(pathlib.Path(case) / "record.txt")
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self.zones = zones
        self.octet = _free_octet()
        self.store = Store(self.record)
        self.bounds = {
            "seed_lag_s": 3,
            "reuse_delay_s": 2,
            "contact_ms": 3000,
            "ack_timeout_ms": 4000,
            "catch_up_s": 4,
            "drain_ms": 2000,
            "grace_s": 8,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "rollback_slack_ms": 250,
            "max_stretch_ms": 5000,
            "strict_revocation": "false",
            "revoke_ms": 5000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_slack": 56,
            "recovery_s": 12,
            "pass_ms": 120,
            "reuse_window_s": 10,
        } | (bounds or {})
        self.contracts = "base drain config cost retry recover engine stream tenants platform".split()
        self.settings_extra = ""
        self.vms = []
        for index, zone in enumerate(zones):
            for number in range(vms_by_zone[index]):
                self.vms.append(
                    Vm(
                        self,
                        f"front-{zone}-{number + 1}",
                        zone,
                        f"127.{self.octet}.{index}.{number + 10}",
                    )
                )
        self.runners = {}
        self._next_runner = 10
        self.arrivals = []
        self.runs = []
        self.on_arrival = None
        self.config = None
        self._next_id = random.Random(int.from_bytes(os.urandom(4), "big"))

    def runner(self, id, service, zone, **given):
        host = f"127.{self.octet}.100.{self._next_runner}"
        self._next_runner += 1
        made = Runner(self, id, service, zone, host, 9000, **given)
        self.runners[id] = made
        return made

    def arrived(self, runner, first, headers, body):
        id = headers.get("x-request-id", "")
        self.arrivals.append((self.record.now(), runner.id, id, first, headers))
        self.record.line("arrives", id=id, runner=runner.id, first=repr(first))
        if self.on_arrival is not None:
            self.on_arrival(runner, headers)

    def ran(self, runner, id):
        self.runs.append((self.record.now(), runner.id, id))
        self.record.line("runs", id=id, runner=runner.id)

    def configure(self, config):
        """Write a configuration as the operator; returns when acknowledged."""
        self.config = config
        self.store.put("op/config", json.dumps(config).encode())
        self.record.line("config", version=config["version"])

    async def start(self):
        await self.store.start(f"127.{self.octet}.200.1", 8223)
        for one in self.runners.values():
            await one.start()
            one.register()
        for vm in self.vms:
            await vm.start()
        async with asyncio.timeout(30):
            for vm in self.vms:
                while not await vm.ready():
                    await asyncio.sleep(0.1)
        self.record.line("all-ready")

    async def close(self):
        await asyncio.gather(*(vm.close() for vm in self.vms))
        for one in self.runners.values():
            with contextlib.suppress(Exception):
                await one.close()
        await self.store.close()
        self._folder.cleanup()

    def new_id(self):
        return f"{self._next_id.getrandbits(64):016x}"

    async def request(
        self,
        vm,
        path,
        *,
        host,
        key="k1",
        method="POST",
        body=b"",
        deadline_ms=1000,
        extra=None,
        id=None,
        connection=None,
        leave_after=None,
    ):
        """Send one request; return its id, its status, headers and body.

        The status is 0 if the connection ends or the time limit passes.
        """
        id = id or self.new_id()
        headers = {
            "Host": host,
            "X-Request-Id": id,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {key}",
        } | (extra or {})
        sent_at = self.record.now()
        self.record.line("sends", id=id, vm=vm.name, path=path)
        reader = writer = None
        status, told, answer = 0, {}, b""
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.6):
                if connection is None:
                    reader, writer = await asyncio.open_connection(vm.ip, 8227)
                else:
                    reader, writer = connection
                writer.write(message(f"{method} {path} HTTP/1.1", headers, body))
                if leave_after is not None:
                    await asyncio.sleep(leave_after)
                    writer.transport.abort()
                    self.record.line("leaves", id=id)
                    return id, -1, {}, b"", sent_at
                first, told = await read_head(reader)
                status = int(first.split(" ")[1])
                answer = await read_body(reader, told, to_end=True)
        except TimeoutError:
            told = {"error": "time limit"}
        except (OSError, asyncio.IncompleteReadError) as error:
            told = told | {"error": type(error).__name__}
            status = status if not isinstance(error, OSError) else 0
        finally:
            if writer is not None and connection is None:
                writer.close()
        self.record.line(
            "answered",
            id=id,
            status=status,
            seconds=round(self.record.now() - sent_at, 3),
            by=told.get("x-server-signature", "-"),
            error=told.get("error", "-"),
            size=len(answer),
        )
        return id, status, told, answer, sent_at


def _free_octet():
    """Return a second octet of addresses that nobody uses now."""
    drawn = random.Random(int.from_bytes(os.urandom(4), "big"))
    while True:
        octet = drawn.randrange(20, 250)
        try:
            for part in ("0.10", "200.1", "100.10"):
                for port in (8227, 8223, 9000, 7340):
                    with socket.socket() as tried:
                        tried.bind((f"127.{octet}.{part}", port))
            return octet
        except OSError:
            continue


def config(version, *, routes, services, tenants=None, idle_ms=15000):
    """Return a configuration in the platform's format."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": tenants or [{"name": "t1", "api_keys": ["k1"]}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": idle_ms,
        },
    }


def route(name, host, prefix, service, kind, **given):
    """Return a route."""
    return {
        "name": name,
        "host": host,
        "prefix": prefix,
        "service": service,
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 125,
        "max_attempts": 1,
        "priority": 2,
    } | given


def run(case, main):
    """Run a case: exit with 1 if the rule was broken, 0 if not, 2 if it failed."""

    async def bounded():
        async with asyncio.timeout(115):
            return await main(pathlib.Path(case))

    try:
        broken = asyncio.run(bounded())
    except Exception as error:  # the case could not run
        print(f"could not run: {error!r}")
        raise SystemExit(2) from error
    print("broken" if broken else "held")
    raise SystemExit(1 if broken else 0)
