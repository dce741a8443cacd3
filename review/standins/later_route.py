"""Compares requests on a route that was added later with those on the first."""

import asyncio
import pathlib
import random
import time
from collections.abc import Awaitable, Callable, Sequence

from standins import machine, requester, world

_MACHINES = 4
_RUNNERS = 3
_ENGINES = 5
_REQUESTERS_PER_MACHINE = 3
_MEAN_PAUSE_SECONDS = 0.3
_FIRST_VERSION = 7
_LATER_VERSION = 9
_SETTLING_SECONDS = 4.0
_JUDGED_SECONDS = 8.0
_PROMPT_HEADERS = (
    "X-Model: m",
    "X-Token-Usage: 1460,80",
    "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250",
)
_MIN_REQUESTS = 20
_MIN_RATIO = 0.25

Trouble = Callable[[world.World], Awaitable[None]]
"""Brings the disruption about; returns when it is over."""


async def ask(
    connection: requester.Connection, *headers: str
) -> requester.Sent:
    """Send one request on the route that was added later."""
    return await connection.request(
        "POST",
        world.STREAM_PATH,
        limit_ms=world.STREAM_LIMIT_MS,
        body=b"p" * 1500,
        headers=(*_PROMPT_HEADERS, *headers),
    )


async def play(trouble: Trouble | None, record: pathlib.Path) -> Sequence[str]:
    """Play both kinds of requests, and the disruption if there is one."""
    deployment = world.World(
        machines=_MACHINES, runners=_RUNNERS, engines=_ENGINES
    )
    on_first: list[requester.Sent] = []
    on_later: list[requester.Sent] = []
    requesters: list[asyncio.Task[None]] = []
    try:
        await deployment.start(
            world.configuration(_FIRST_VERSION, with_stream=False)
        )
        acked_at = await deployment.store.put(
            "op/config", world.configuration(_LATER_VERSION)
        )
        deployment.note(
            "a version with one more route is acknowledged", acked_at
        )
        await asyncio.sleep(_SETTLING_SECONDS)
        for target in deployment.machines * _REQUESTERS_PER_MACHINE:
            requesters.append(
                asyncio.create_task(_send(target, on_first, on_later))
            )
        await asyncio.sleep(_SETTLING_SECONDS)
        if trouble is not None:
            await trouble(deployment)
            await asyncio.sleep(_SETTLING_SECONDS)
        judged_from = time.monotonic()
        deployment.note("from here on it is judged", judged_from)
        await asyncio.sleep(_JUDGED_SECONDS)
    finally:
        for task in requesters:
            task.cancel()
        await asyncio.gather(*requesters, return_exceptions=True)
        await deployment.close()
    _note_all(deployment, (*on_first, *on_later))
    deployment.write_record(record)
    return _unserved(
        [one for one in on_first if one.sent_at > judged_from],
        [one for one in on_later if one.sent_at > judged_from],
    )


async def _send(
    target: machine.Machine,
    on_first: list[requester.Sent],
    on_later: list[requester.Sent],
) -> None:
    connection = requester.Connection(
        target=target, host=world.HOST, key=world.KEY
    )
    try:
        while True:
            if random.random() < 0.5:
                on_later.append(await ask(connection))
            else:
                on_first.append(
                    await connection.request(
                        "GET", world.SAFE_PATH, limit_ms=world.LIMIT_MS
                    )
                )
            await asyncio.sleep(2 * _MEAN_PAUSE_SECONDS * random.random())
    finally:
        await connection.close()


def _note_all(deployment: world.World, sent: Sequence[requester.Sent]) -> None:
    for one in sent:
        deployment.note(f"{one.request_id} sent to {one.machine}", one.sent_at)
        deployment.note(
            f"{one.request_id} answered {one.status}", one.answered_at
        )
    for arrival in deployment.arrivals:
        deployment.note(
            f"{arrival.request_id} reached {arrival.runner}, "
            + ("run" if arrival.ran else "not run"),
            arrival.at,
        )


def _unserved(
    on_first: Sequence[requester.Sent], on_later: Sequence[requester.Sent]
) -> list[str]:
    """Compare how often requests on first and on later routes are served."""
    if len(on_first) < _MIN_REQUESTS or len(on_later) < _MIN_REQUESTS:
        raise RuntimeError("too few requests to judge the case")
    first = sum(one.status == 200 for one in on_first) / len(on_first)
    later = sum(one.status == 200 for one in on_later) / len(on_later)
    print(
        f"served: {first:.3f} of {len(on_first)} on the first routes, "
        f"{later:.3f} of {len(on_later)} on the route added later"
    )
    if later >= _MIN_RATIO * first:
        return []
    return [
        f"CONFIG: requests on a route that was added later are served "
        f"{later:.3f} as against {first:.3f} on the first routes"
    ]
