"""Callers that send requests over kept-alive connections."""

import asyncio
import contextlib
import itertools
import random
import time

from lagoonrun_core import types
from lagoonrun_router import answers
from lagoonrun_soak import layout, record, upstream, vm
from lagoonrun_standins import router_world
from lagoonrun_users_platform import standin_messages

_MAX_PAUSE_SECONDS = 0.25
_CONNECT_SECONDS = 1.0
_TIME_LIMIT_SLACK_SECONDS = 1.0
_KEY_AGES_SECONDS = (None, 0.0, 2.5)
"""Ages of the declarations whose key a caller uses.

None is the key that every revision has, 0.0 the newest key, and 2.5 the newest
key that must be in force everywhere: the platform allows two seconds, and half
a second is left for the request's delivery.
"""


class Caller:
    """Sends requests of one class to one entry VM.

    Parameters
    ----------
    name
        Prefix of its request ids.
    kind
        Class of its requests.
    target
        Entry VM that receives them.
    history
        Records the requests.
    rng
        Draws pauses and keys.
    organisation
        Organisation whose keys it uses.
    crashing_request
        Name of a request that crashes upstreams and that this caller repeats;
        empty for a caller of ordinary requests.
    """

    def __init__(
        self,
        *,
        name: str,
        kind: layout.RequestKind,
        target: vm.EntryVm,
        history: record.History,
        rng: random.Random,
        organisation: types.OrganisationId,
        crashing_request: str = "",
    ) -> None:
        self._crashing_request = crashing_request
        self._name = name
        self._kind = kind
        self._target = target
        self._history = history
        self._rng = rng
        self._organisation = organisation
        self._numbers = itertools.count()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start sending requests."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop sending requests."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            if not self._target.in_rotation:
                await asyncio.sleep(0.1)
                continue
            with contextlib.suppress(OSError, TimeoutError):
                # A refused connection carries no request, so try another one.
                await self._use_connection()
            await asyncio.sleep(_MAX_PAUSE_SECONDS * self._rng.random())

    async def _use_connection(self) -> None:
        address = self._target.vm_settings.caller
        async with asyncio.timeout(_CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(
                address.host, address.port
            )
        connection = router_world.Caller(reader=reader, writer=writer)
        boot = self._target.boot
        try:
            while await self._send_request(connection, boot):
                pause = _MAX_PAUSE_SECONDS * self._rng.random()
                await asyncio.sleep(pause)
        finally:
            writer.transport.abort()

    async def _send_request(
        self, connection: router_world.Caller, boot: int
    ) -> bool:
        """Send one request; return whether the connection can be reused."""
        request, limit_seconds = self._write_request(connection, boot)
        try:
            async with asyncio.timeout(limit_seconds):
                response = await connection.answer()
        except (TimeoutError, OSError, ValueError):
            request.ended_at = time.monotonic()
            return False
        request.ended_at = time.monotonic()
        request.status = response.status
        request.body = response.body
        request.whole = response.whole
        request.reason = response.headers.get(answers.REASON_HEADER.lower(), "")
        request.genuine = standin_messages.is_genuine(response.headers)
        closes = response.headers.get("connection", "").lower() == "close"
        return response.whole and response.status > 0 and not closes

    def _write_request(
        self, connection: router_world.Caller, boot: int
    ) -> tuple[record.CallerRequest, float]:
        now = time.monotonic()
        revision, key = self._choose_key(now)
        profile = self._kind.route.profile
        request = record.CallerRequest(
            id=f"{self._name}-{next(self._numbers)}",
            organisation=self._organisation,
            kind=self._kind.name,
            vm=self._target.name,
            boot=boot,
            key_revision=revision,
            sent_at=now,
            crashing_request=self._crashing_request,
        )
        self._history.requests_by_id[request.id] = request
        connection.writer.write(
            standin_messages.request_bytes(
                method="GET" if profile.idempotent else "POST",
                host=layout.HOST,
                path=f"{self._kind.route.path_prefix}x",
                request_id=request.id,
                key=key,
                patience_seconds=profile.limit_seconds,
                prompt_tokens=self._kind.prompt_tokens,
                # Without a body of their own, all requests of an organisation
                # and class would have the same digest.
                body=upstream.crashing_body(self._crashing_request)
                or request.id.encode(),
            )
        )
        return request, profile.limit_seconds + _TIME_LIMIT_SLACK_SECONDS

    def _choose_key(self, now: float) -> tuple[int, str]:
        """Return a key and the revision that added it; 0 for every revision."""
        key = layout.KEYS_BY_OTHER_ORGANISATION.get(self._organisation)
        if key is not None:
            return 0, key
        age = self._rng.choice(_KEY_AGES_SECONDS)
        revision = 0 if age is None else self._history.revision_at(now - age)
        added_key = layout.added_key(revision)
        return revision, added_key if revision else layout.STABLE_KEY
