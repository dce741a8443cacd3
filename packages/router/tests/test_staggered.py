"""Attempts that start one after the other until one succeeds."""

import asyncio

import pytest

from lagoonrun_router import staggered

STAGGER_SECONDS = 0.02


def attempt(result=None, *, error=None, gate=None, log=None, name=""):
    """Return an attempt that waits for a gate, then succeeds or fails."""

    async def run():
        if log is not None:
            log.append(name)
        if gate is not None:
            await gate.wait()
        if error is not None:
            raise error
        return result

    return run


async def first(*attempts, discard=None):
    return await staggered.first_result(
        attempts, stagger_seconds=STAGGER_SECONDS, discard=discard
    )


async def test_later_attempts_do_not_start_if_the_first_succeeds():
    log = []
    got = await first(
        attempt(1, log=log, name="a"), attempt(2, log=log, name="b")
    )
    assert (got, log) == (1, ["a"])


async def test_failed_attempt_is_followed_at_once():
    """Guards against waiting for a connection that was refused."""
    started = asyncio.get_running_loop().time()
    got = await staggered.first_result(
        [attempt(error=OSError("refused")), attempt(2)],
        stagger_seconds=10.0,
    )
    assert got == 2
    assert asyncio.get_running_loop().time() - started < 5.0


async def test_attempt_that_hangs_is_overtaken_and_cancelled():
    """Guards against a hanging connection that holds up all others."""
    gate = asyncio.Event()
    assert await first(attempt(1, gate=gate), attempt(2)) == 2


async def test_error_of_the_first_attempt_is_reported():
    with pytest.raises(OSError, match="direct"):
        await first(
            attempt(error=OSError("direct")), attempt(error=OSError("other"))
        )


async def test_result_that_comes_too_late_is_released():
    """Guards against connections that nobody closes."""
    gate = asyncio.Event()
    discarded = asyncio.Queue()

    async def stubborn():
        try:
            await gate.wait()
        except asyncio.CancelledError:
            return 1

    assert await first(stubborn, attempt(2), discard=discarded.put_nowait) == 2
    async with asyncio.timeout(5.0):
        assert await discarded.get() == 1
