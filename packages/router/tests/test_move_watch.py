"""The wait for an answer ends once its request is moved elsewhere."""

import asyncio

import pytest

from lagoonrun_router import move_watch


@pytest.fixture
async def watch_of():
    """Return a function that watches a wait from a moment on."""
    started = []

    def start(wait, may_move):
        """Ask after a short silence."""
        watch = move_watch.MoveWatch(
            wait=wait, allowed_seconds=0.01, may_move=may_move
        )
        watch.start()
        started.append(watch)
        return watch

    yield start
    for watch in started:
        watch.close()


async def test_wait_ends_when_the_request_is_moved(watch_of):
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(None) as wait:
            watch_of(wait, lambda allowed: True)
            await asyncio.Event().wait()


async def test_answer_at_the_moment_of_the_move_is_told_apart(watch_of):
    """Guards against a retry that is paid for while its run goes on."""
    answered = asyncio.Event()

    def may_move(allowed):
        answered.set()
        return True

    async with asyncio.timeout(None) as wait:
        watch = watch_of(wait, may_move)
        await answered.wait()
    assert watch.moved


async def test_request_that_is_kept_is_asked_about_again(watch_of):
    """Guards against a run at a dead upstream that is asked about once."""
    asked = []

    def may_move(allowed):
        asked.append(allowed)
        return len(asked) == 2

    with pytest.raises(TimeoutError):
        async with asyncio.timeout(None) as wait:
            watch_of(wait, may_move)
            await asyncio.Event().wait()
    assert asked == [0.01, 0.01]
