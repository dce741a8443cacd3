"""Stand-in of the platform's store, as the protocol page describes it."""

import asyncio
import base64
import contextlib
import dataclasses
import json
import time
import urllib.parse

from standins import http1

_PAGE_ITEMS = 500


@dataclasses.dataclass(kw_only=True)
class _Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def as_json(self) -> dict[str, object]:
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


class Store:
    """Keeps items in memory and answers the store's calls.

    Attributes
    ----------
    away
        Whether connections are reset, as while the store is down.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.away = False
        self._revision = 1
        self._items: dict[str, _Item] = {}
        self._events: list[dict[str, object]] = []
        self._lease_ends: dict[int, float] = {}
        self._lease_seconds: dict[int, float] = {}
        self._next_lease = 1000
        self._changed = asyncio.Condition()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """IP:PORT of the store."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self._expiry = asyncio.create_task(self._expire())

    async def close(self) -> None:
        """Stop listening."""
        if self._expiry is not None:
            self._expiry.cancel()
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_away(self, away: bool) -> None:
        """Go down, which resets all connections, or come back."""
        self.away = away
        if away:
            self._reset_all()

    def _reset_all(self) -> None:
        for writer in tuple(self._writers):
            http1.reset(writer)

    # Writes of the operator and of the runners.

    async def put(self, key: str, value: object) -> float:
        """Write an item; return the time of the acknowledgement."""
        async with self._changed:
            self._revision += 1
            self._put(key, json.dumps(value).encode(), lease=0)
            self._changed.notify_all()
        return time.monotonic()

    async def remove(self, key: str) -> float:
        """Remove an item; return the time of the acknowledgement."""
        async with self._changed:
            if key in self._items:
                self._revision += 1
                self._remove(key)
                self._changed.notify_all()
        return time.monotonic()

    def _put(self, key: str, value: bytes, *, lease: int) -> None:
        known = self._items.get(key)
        item = _Item(
            key=key,
            value=value,
            revision=self._revision,
            created=known.created if known else self._revision,
            lease=lease,
        )
        self._items[key] = item
        self._events.append(item.as_json())

    def _remove(self, key: str) -> None:
        del self._items[key]
        self._events.append(
            {"key": key, "revision": self._revision, "tombstone": True}
        )

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            ended = [id for id, at in self._lease_ends.items() if at <= now]
            async with self._changed:
                for lease in ended:
                    self._end_lease(lease)
                if ended:
                    self._changed.notify_all()

    def _end_lease(self, lease: int) -> None:
        self._lease_ends.pop(lease, None)
        keys = [one.key for one in self._items.values() if one.lease == lease]
        if keys:
            self._revision += 1
        for key in keys:
            self._remove(key)

    # Calls of the system.

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.away:
            http1.reset(writer)
            return
        self._writers.add(writer)
        try:
            while (request := await http1.read_message(reader)) is not None:
                status, reply = await self._answer(request)
                if self.away:
                    http1.reset(writer)
                    return
                writer.write(
                    http1.response(
                        status,
                        {"Content-Type": "application/json"},
                        json.dumps(reply).encode(),
                    )
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Cancelled at the end of the case.
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(
        self, request: http1.Message
    ) -> tuple[int, dict[str, object]]:
        method, target, _ = request.first_line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        name, _, rest = url.path.strip("/").partition("/")
        if (method, name) == ("GET", "kv-key"):
            return self._read_key(query["key"])
        if (method, name) == ("GET", "kv-range"):
            return self._read_range(query)
        if (method, name) == ("GET", "kv-watch"):
            return await self._watch(query)
        async with self._changed:
            body = json.loads(request.body or b"{}")
            reply = self._write(method, name, rest, body)
            self._changed.notify_all()
            return reply

    def _read_key(self, key: str) -> tuple[int, dict[str, object]]:
        item = self._items.get(key)
        if item is None:
            return 404, {"store_revision": self._revision}
        return 200, {**item.as_json(), "store_revision": self._revision}

    def _read_range(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["prefix"]) and key > after
        )
        return 200, {
            "items": [self._items[key].as_json() for key in keys[:_PAGE_ITEMS]],
            "has_more": len(keys) > _PAGE_ITEMS,
            "store_revision": self._revision,
        }

    async def _watch(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, object]]:
        after = int(query["after"])
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
        async with self._changed:
            while True:
                events = [
                    one
                    for one in self._events
                    if one["revision"] > after
                    and str(one["key"]).startswith(query["prefix"])
                ]
                left = ends_at - time.monotonic()
                if events or left <= 0:
                    return 200, {
                        "events": events,
                        "store_revision": self._revision,
                    }
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left):
                        await self._changed.wait()

    def _write(
        self, method: str, name: str, rest: str, body: dict[str, object]
    ) -> tuple[int, dict[str, object]]:
        if (method, name) == ("POST", "kv-txn"):
            return self._transact(body)
        if (method, name) == ("POST", "kv-lease"):
            self._next_lease += 1
            self._lease_seconds[self._next_lease] = body["ttl_ms"] / 1000
            return self._renew(self._next_lease)
        lease = int(rest)
        if lease not in self._lease_ends:
            return 404, {}
        if (method, name) == ("POST", "kv-keep"):
            return self._renew(lease)
        self._end_lease(lease)
        return 200, {}

    def _renew(self, lease: int) -> tuple[int, dict[str, object]]:
        seconds = self._lease_seconds[lease]
        self._lease_ends[lease] = time.monotonic() + seconds
        return 200, {"lease": lease, "ttl_ms": round(seconds * 1000)}

    def _transact(
        self, body: dict[str, object]
    ) -> tuple[int, dict[str, object]]:
        present = [self._items.get(one["key"]) for one in body["expected"]]
        revisions = [one.revision if one else 0 for one in present]
        if revisions != [one["revision"] for one in body["expected"]]:
            return 412, {
                "items": [one.as_json() for one in present if one],
                "store_revision": self._revision,
            }
        for put in body["puts"]:
            if put.get("lease", 0) and put["lease"] not in self._lease_ends:
                return 404, {}
        removed = [key for key in body["remove"] if key in self._items]
        if body["puts"] or removed:
            self._revision += 1
        for put in body["puts"]:
            value = base64.b64decode(put["value"])
            self._put(put["key"], value, lease=put.get("lease", 0))
        for key in removed:
            self._remove(key)
        return 200, {"revision": self._revision}
