"""Traffic to a service whose runners leave, and the check of the drain time."""

import asyncio
import random
from collections.abc import Sequence

from standins import machine, requester, runner, world

DRAIN_SECONDS = 2.0
SERVES_ON_SECONDS = 6.0
_MEAN_PAUSE_SECONDS = 0.25


async def send(target: machine.Machine, sent: list[requester.Sent]) -> None:
    """Send safe and unsafe requests until it is cancelled."""
    connection = requester.Connection(
        target=target, host=world.HOST, key=world.KEY
    )
    try:
        while True:
            method, path, body = random.choice(
                (
                    ("GET", world.SAFE_PATH, b""),
                    ("POST", world.UNSAFE_PATH, b"p" * 600),
                )
            )
            sent.append(
                await connection.request(
                    method, path, limit_ms=world.LIMIT_MS, body=body
                )
            )
            await asyncio.sleep(2 * _MEAN_PAUSE_SECONDS * random.random())
    finally:
        await connection.close()


def late_arrivals(
    deployment: world.World, left: Sequence[runner.Runner]
) -> list[str]:
    """Return the requests that ran at a runner after its drain time."""
    left_at_by_runner = {one.id: one.left_at for one in left}
    broken = []
    for arrival in deployment.arrivals:
        left_at = left_at_by_runner.get(arrival.runner)
        if left_at is None or not arrival.ran:
            continue
        late = arrival.at - left_at - DRAIN_SECONDS
        if late > 0:
            broken.append(
                f"DRAIN: {arrival.request_id} reached {arrival.runner} "
                f"{(late + DRAIN_SECONDS) * 1000:.0f} ms after the store had "
                f"acknowledged that it is gone (bound "
                f"{DRAIN_SECONDS * 1000:.0f} ms)"
            )
    return broken


def note_all(deployment: world.World, sent: Sequence[requester.Sent]) -> None:
    """Add all requests, arrivals and leaves to the record."""
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
    for one in deployment.runners:
        if one.left_at is not None:
            deployment.note(f"{one.id} has left the store", one.left_at)
