"""Test environment of a router: its store, upstreams and callers."""

import asyncio
import dataclasses
import json
import random
from collections.abc import Awaitable, Callable

from lagoonrun_core import clock as clocks
from lagoonrun_platform import memory_store
from lagoonrun_platform import store as store_module
from lagoonrun_router import retry_budget, router, settings
from lagoonrun_standins import reserved_ports
from lagoonrun_standins.router_samples import (
    HOST,
    KEY,
    make_declarations,
    make_registration,
)
from lagoonrun_standins.router_upstream import Upstream, answer_whole
from lagoonrun_standins.router_words import PlainDialect, PlainLayout

WAIT_SECONDS = 10.0
_POLL_SECONDS = 0.005


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Answer received by a caller; status 0 if the connection broke."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True


@dataclasses.dataclass(kw_only=True)
class World:
    """One router with its store and upstreams."""

    router: router.Router
    store: memory_store.MemoryStore
    layout: PlainLayout
    settings: settings.RouterSettings
    make_upstream: Callable[..., Awaitable[Upstream]] | None = None
    closing: list[asyncio.Task] = dataclasses.field(default_factory=list)
    """Tasks that stop upstreams; referenced here so they are not collected."""

    async def declare(self, *routes, revision: int = 1, **changes):
        """Write declarations into the store."""
        self.layout.declared_by_revision[revision] = make_declarations(
            *routes, revision=revision, **changes
        )
        await self.put(self.layout.declarations_key, str(revision).encode())

    async def put(self, key: str, value: bytes):
        """Write one key into the store."""
        await self.store.transact(
            comparisons=(), puts=[store_module.Put(key=key, value=value)]
        )

    async def keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys of the store that start with `prefix`."""
        listing = await self.store.list_prefix(prefix, keys_only=True)
        return tuple(item.key for item in listing.items)

    async def remove(self, key: str):
        """Delete one key from the store."""
        await self.store.transact(comparisons=(), deletes=[key])

    async def register_at(self, id: str, port: int, **changes):
        """Write the registration of an upstream that listens on `port`."""
        entry = make_registration(id, port=port, **changes)
        value = json.dumps(dataclasses.asdict(entry)).encode()
        await self.put(f"{self.layout.upstreams_prefix}{id}", value)

    async def register(self, upstream: Upstream, **changes):
        """Write the registration of an upstream."""
        await self.register_at(upstream.id, upstream.port, **changes)

    async def add_upstream(self, answer=answer_whole, id: str = "u-1", **more):
        """Start and register an upstream; wait until the router has it."""
        upstream = await self.make_upstream(answer, id)
        await self.register(upstream, **more)
        await wait_for(lambda: self.knows(id))
        return upstream

    def knows(self, id: str) -> bool:
        """Return whether the router has the registration of an upstream."""
        return any(one.id == id for one in self.router.directory.registrations)

    async def ready(self):
        """Wait until the router is ready for callers."""
        await wait_for(lambda: self.router.ready)

    async def ask(self, path="/lookups/1", **options) -> Answer:
        """Send a request on a new connection."""
        caller = await self.caller()
        try:
            return await caller.ask(path, **options)
        finally:
            caller.writer.close()

    async def caller(self) -> "Caller":
        """Connect as a caller."""
        reader, writer = await asyncio.open_connection(
            HOST, self.settings.caller.port
        )
        return Caller(reader=reader, writer=writer)


@dataclasses.dataclass(kw_only=True)
class Caller:
    """A caller with one connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def send(
        self, path, *, method="GET", id="r-1", body=b"", headers=(), key=KEY
    ):
        """Send a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: portal.test",
            f"X-Request-Id: {id}",
            f"Authorization: Bearer {key}",
            *headers,
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def ask(self, path, **options) -> Answer:
        """Send a request and read its answer."""
        self.send(path, **options)
        async with asyncio.timeout(WAIT_SECONDS):
            return await self.answer()

    async def answer(self) -> Answer:
        """Read one answer, fixed-length or chunked."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(status=0, headers={}, body=b"", whole=False)
        status_line, *lines = head.decode().split("\r\n")
        headers = {}
        for line in lines:
            if line:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
        status = int(status_line.split(" ")[1])
        body, whole = await self._body(headers)
        return Answer(status=status, headers=headers, body=body, whole=whole)

    async def _body(self, headers) -> tuple[bytes, bool]:
        if "content-length" in headers:
            size = int(headers["content-length"])
            return await self.reader.readexactly(size), True
        body = b""
        try:
            while True:
                line = await self.reader.readuntil(b"\r\n")
                size = int(line, 16)
                body += (await self.reader.readexactly(size + 2))[:-2]
                if size == 0:
                    return body, True
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False


def make_world(
    name: str,
    *,
    store: memory_store.MemoryStore,
    layout: PlainLayout,
    clock: clocks.Clock | None = None,
    **changes,
) -> World:
    """Return an entry VM that is not started and starts no upstreams.

    `changes` name fields of its settings.
    """
    addresses = [
        settings.Address(host=HOST, port=port) for port in free_ports(4)
    ]
    values = {
        "entry_vm": name,
        "domain": "north",
        "caller": addresses[0],
        "readiness": addresses[1],
        "peer": addresses[2],
        "metrics": addresses[3],
        "seeds": (),
        "store": settings.Address(host=HOST, port=1),
        "stop_seconds": 8.0,
        "retry_allowance": retry_budget.Allowance(
            ratio=0.2, window_seconds=10.0, fixed=50.0
        ),
        "reuse_seconds": 10.0,
    }
    configured = settings.RouterSettings(**{**values, **changes})
    return World(
        router=router.Router(
            configured=configured,
            store=store,
            layout=layout,
            dialect=PlainDialect(),
            clock=clock,
            rng=random.Random(1),
        ),
        store=store,
        layout=layout,
        settings=configured,
    )


async def wait_for(condition, seconds: float = WAIT_SECONDS):
    """Wait until `condition` holds; raise TimeoutError after `seconds`."""
    async with asyncio.timeout(seconds):
        while True:
            if condition():
                return
            await asyncio.sleep(_POLL_SECONDS)


def free_ports(count: int) -> list[int]:
    """Return reserved ports on which nothing listens."""
    return [reserved_ports.reserve(HOST) for _ in range(count)]
