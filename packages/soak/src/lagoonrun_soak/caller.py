"""Callers of the soak: they use their connections until these are gone."""

import asyncio
import contextlib
import itertools
import random
import time

from lagoonrun_router import answers
from lagoonrun_soak import layout, record, upstream, vm
from lagoonrun_standins import router_world
from lagoonrun_users_platform import standin_messages

_LONGEST_PAUSE_SECONDS = 0.25
_CONNECT_SECONDS = 1.0
_PATIENCE_SLACK_SECONDS = 1.0
_KEY_AGES_SECONDS = (None, 0.0, 2.5)
"""Keys that callers use: the one that is always there, the newest, and the
newest that has to be in force everywhere (two seconds by the platform's
bounds, and the time of a request's way)."""


class Caller:
    """One caller of one entry VM and one class.

    Parameters
    ----------
    name
        Beginning of its requests' ids.
    kind
        What it asks for.
    target
        The entry VM.
    seen
        Where requests are noted.
    rng
        Source of pauses.
    crashing
        Name of a request that ends upstreams, which this caller sends again and
        again; empty for one that sends others.
    """

    def __init__(
        self,
        *,
        name: str,
        kind: layout.RequestKind,
        target: vm.EntryVm,
        seen: record.Record,
        rng: random.Random,
        crashing: str = "",
    ) -> None:
        self._crashing = crashing
        self._name = name
        self._kind = kind
        self._target = target
        self._seen = seen
        self._rng = rng
        self._numbers = itertools.count()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to ask."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop asking."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            if not self._target.in_rotation:
                await asyncio.sleep(0.1)
                continue
            with contextlib.suppress(OSError, TimeoutError):
                # A refused connection is no request; the next one follows.
                await self._use_connection()
            await asyncio.sleep(_LONGEST_PAUSE_SECONDS * self._rng.random())

    async def _use_connection(self) -> None:
        address = self._target.configured.caller
        async with asyncio.timeout(_CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
        connection = router_world.Caller(reader=reader, writer=writer)
        boot = self._target.boot
        try:
            while await self._ask(connection, boot):
                pause = _LONGEST_PAUSE_SECONDS * self._rng.random()
                await asyncio.sleep(pause)
        finally:
            writer.transport.abort()

    async def _ask(self, connection: router_world.Caller, boot: int) -> bool:
        """Send one request; return whether the connection may be used on."""
        ask, limit_seconds = self._write(connection, boot)
        try:
            async with asyncio.timeout(limit_seconds):
                answer = await connection.answer()
        except (TimeoutError, OSError, ValueError):
            ask.ended_at = time.monotonic()
            return False
        ask.ended_at = time.monotonic()
        ask.status = answer.status
        ask.body = answer.body
        ask.whole = answer.whole
        ask.reason = answer.headers.get(answers.REASON_HEADER.lower(), "")
        ask.genuine = standin_messages.is_genuine(answer.headers)
        closes = answer.headers.get("connection", "").lower() == "close"
        return answer.whole and answer.status > 0 and not closes

    def _write(
        self, connection: router_world.Caller, boot: int
    ) -> tuple[record.Ask, float]:
        now = time.monotonic()
        age = self._rng.choice(_KEY_AGES_SECONDS)
        revision = 0 if age is None else self._seen.revision_at(now - age)
        profile = self._kind.route.profile
        ask = record.Ask(
            id=f"{self._name}-{next(self._numbers)}",
            kind=self._kind.name,
            vm=self._target.name,
            boot=boot,
            key_revision=revision,
            sent_at=now,
            crashing=self._crashing,
        )
        self._seen.asks_by_id[ask.id] = ask
        connection.writer.write(
            standin_messages.request_bytes(
                method="GET" if profile.idempotent else "POST",
                host=layout.HOST,
                path=f"{self._kind.route.path_prefix}x",
                request_id=ask.id,
                key=layout.key_of(revision) if revision else layout.STABLE_KEY,
                patience_seconds=profile.limit_seconds,
                prompt_tokens=self._kind.prompt_tokens,
                body=upstream.crashing_body(self._crashing),
            )
        )
        return ask, profile.limit_seconds + _PATIENCE_SLACK_SECONDS
