"""Callers that send requests over kept-alive connections."""

import asyncio
import contextlib
import itertools
import random
import time
from collections.abc import Sequence

from lagoonrun_core import types
from lagoonrun_router import answers
from lagoonrun_soak import layout, record, upstream, vm
from lagoonrun_standins import router_world
from lagoonrun_users_platform import standin_messages

_MAX_PAUSE_SECONDS = 0.25
_CONNECT_SECONDS = 1.0
_TIME_LIMIT_SLACK_SECONDS = 1.0
_MAX_TAKE_UPS = 3
"""Further tries of a caller whose stream broke."""

_LOST_AFTER_SECONDS_RANGE = (0.1, 0.4)
"""Time after which the connection of a stream breaks, while it does."""

_CROWD_SHARE = 0.9
"""Share of the new connections that a crowded entry VM gets."""

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
    crashing_part
        Id of a part that its prompts have and that crashes upstreams; empty
        for a caller of ordinary requests.
    vms
        All entry VMs, at which it takes up streams that broke.
    crowd
        Entry VM that gets most new connections, if any.
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
        crashing_part: str = "",
        vms: Sequence[vm.EntryVm] = (),
        crowd: vm.CrowdedVm | None = None,
    ) -> None:
        self._crowd = crowd or vm.CrowdedVm()
        self._vms = vms
        self._crashing_request = crashing_request
        self._crashing_part = crashing_part
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
            target = self._choose_target()
            if not target.in_rotation:
                await asyncio.sleep(0.1)
                continue
            with contextlib.suppress(OSError, TimeoutError):
                # A refused connection carries no request, so try another one.
                await self._use_connection(target)
            await asyncio.sleep(_MAX_PAUSE_SECONDS * self._rng.random())

    def _choose_target(self) -> vm.EntryVm:
        """Return the entry VM of the next connection."""
        crowded = self._crowd.find(self._vms)
        if crowded is None or self._rng.random() >= _CROWD_SHARE:
            return self._target
        return crowded

    async def _use_connection(self, target: vm.EntryVm) -> None:
        connection = await _connect(target)
        boot = target.boot
        crowd = self._crowd.name
        try:
            while await self._use_for_request(connection, target, boot):
                if self._crowd.name != crowd:
                    return
                pause = _MAX_PAUSE_SECONDS * self._rng.random()
                await asyncio.sleep(pause)
        finally:
            connection.writer.transport.abort()

    async def _use_for_request(
        self, connection: router_world.Caller, target: vm.EntryVm, boot: int
    ) -> bool:
        """Send one request; return whether the connection can be reused.

        A resumable stream that breaks is taken up at other entry VMs.
        """
        request = self._new_request(target, boot)
        reusable = await self._send_request(connection, request, target)
        crashes = self._crashing_request or self._crashing_part
        if self._kind.route.resumable and not crashes:
            await self._take_up(request)
        return reusable

    async def _take_up(self, begun: record.CallerRequest) -> None:
        """Take a broken stream up elsewhere until it is whole or tries end."""
        last = begun
        for _ in range(_MAX_TAKE_UPS):
            after = last.resumes_after + len(upstream.versions_in(last.body))
            if last.whole or not after:
                return
            others = [
                one
                for one in self._vms
                if one.in_rotation and one.name != last.vm
            ]
            if not others:
                return
            target = self._rng.choice(others)
            try:
                connection = await _connect(target)
            except (OSError, TimeoutError):
                return
            last = self._new_request(
                target, target.boot, resumes=begun.id, resumes_after=after
            )
            try:
                await self._send_request(connection, last, target)
            finally:
                connection.writer.transport.abort()

    async def _send_request(
        self,
        connection: router_world.Caller,
        request: record.CallerRequest,
        target: vm.EntryVm,
    ) -> bool:
        """Send one request; return whether the connection can be reused."""
        limit_seconds = self._write_request(connection, request)
        if target.loses_callers and self._kind.route.resumable:
            asyncio.get_running_loop().call_later(
                self._rng.uniform(*_LOST_AFTER_SECONDS_RANGE),
                connection.writer.transport.abort,
            )
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

    def _new_request(
        self,
        target: vm.EntryVm,
        boot: int,
        *,
        resumes: str = "",
        resumes_after: int = 0,
    ) -> record.CallerRequest:
        """Return a request that is about to be sent."""
        return record.CallerRequest(
            id=f"{self._name}-{next(self._numbers)}",
            organisation=self._organisation,
            kind=self._kind.name,
            vm=target.name,
            boot=boot,
            key_revision=0,
            sent_at=time.monotonic(),
            crashing_request=self._crashing_request,
            crashing_part=self._crashing_part,
            resumes=resumes,
            resumes_after=resumes_after,
        )

    def _write_request(
        self, connection: router_world.Caller, request: record.CallerRequest
    ) -> float:
        """Send a request; return how long its answer is waited for."""
        profile = self._kind.route.profile
        request.sent_at = time.monotonic()
        request.key_revision, key = self._choose_key(request.sent_at)
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
                shared_parts=self._shared_parts(),
                # Without a body of their own, all requests of an organisation
                # and class would have the same digest.
                body=upstream.crashing_body(self._crashing_request)
                or (request.resumes or request.id).encode(),
                resumes=request.resumes,
                resumes_after=request.resumes_after,
            )
        )
        return profile.limit_seconds + _TIME_LIMIT_SLACK_SECONDS

    def _shared_parts(self) -> tuple[str, ...]:
        """Return parts that many callers share, and one of few callers."""
        own = self._crashing_part or layout.manual_part(
            self._crashing_request or self._name
        )
        return (layout.INSTRUCTIONS_PART, own)

    def _choose_key(self, now: float) -> tuple[int, str]:
        """Return a key and the revision that added it; 0 for every revision."""
        key = layout.KEYS_BY_OTHER_ORGANISATION.get(self._organisation)
        if key is not None:
            return 0, key
        age = self._rng.choice(_KEY_AGES_SECONDS)
        revision = 0 if age is None else self._history.revision_at(now - age)
        added_key = layout.added_key(revision)
        return revision, added_key if revision else layout.STABLE_KEY


async def _connect(target: vm.EntryVm) -> router_world.Caller:
    """Return a new connection to an entry VM."""
    address = target.vm_settings.caller
    async with asyncio.timeout(_CONNECT_SECONDS):
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
    return router_world.Caller(reader=reader, writer=writer)
