"""Late timers run after what had arrived was read and handled."""

import asyncio
import contextlib
import gc
import os
import selectors
import signal
import socket
import subprocess
import sys
import time
import weakref

import pytest

from lagoonrun_core import event_loop, stalls

_STALL_SECONDS = 0.3


def block(seconds):
    """Keep the event loop from running."""
    time.sleep(seconds)


def run_in_loop(main, *, recorder=None):
    """Run a coroutine function in a new loop; return its result."""
    recorder = recorder or stalls.Stalls()
    with asyncio.Runner(
        loop_factory=lambda: event_loop.StallAwareEventLoop(stalls=recorder)
    ) as runner:
        return runner.run(main())


@contextlib.asynccontextmanager
async def stream_from(other):
    """Open a stream that reads from a socket."""
    reader, writer = await asyncio.open_connection(sock=other)
    try:
        yield reader
    finally:
        writer.close()


def test_result_that_arrived_during_a_stall_is_kept():
    """Guards against a timeout that throws away what lay in the socket."""

    async def main():
        ours, theirs = socket.socketpair()
        async with stream_from(ours) as reader:
            loop = asyncio.get_running_loop()
            loop.call_soon(time.sleep, _STALL_SECONDS)
            theirs.sendall(b"head\n")
            async with asyncio.timeout(_STALL_SECONDS / 2):
                return await reader.readline()

    assert run_in_loop(main) == b"head\n"


def test_connection_that_opened_during_a_stall_is_kept():
    """Guards against a connection given up that the kernel had opened."""

    async def main():
        listening = socket.create_server(("127.0.0.1", 0))
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, time.sleep, _STALL_SECONDS)
        async with asyncio.timeout(_STALL_SECONDS / 2):
            _, writer = await asyncio.open_connection(*listening.getsockname())
        writer.close()
        listening.close()
        return True

    assert run_in_loop(main)


_STOPPED_PROGRAM = """
import asyncio, socket, sys
from lagoonrun_core import event_loop, stalls

async def main():
    reader, _ = await asyncio.open_connection("127.0.0.1", int(sys.argv[1]))
    print("waits", flush=True)
    try:
        async with asyncio.timeout(0.5):
            print(await reader.readline(), flush=True)
    except TimeoutError:
        print("timeout", flush=True)

recorder = stalls.Stalls()
with asyncio.Runner(
    loop_factory=lambda: event_loop.StallAwareEventLoop(stalls=recorder)
) as runner:
    runner.run(main())
print(recorder.count_by_cause.total())
"""


def test_stopped_process_reads_before_it_times_out():
    """Guards against epoll, which reads nothing after SIGCONT."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listening,
        subprocess.Popen(
            [
                sys.executable,
                "-c",
                _STOPPED_PROGRAM,
                str(listening.getsockname()[1]),
            ],
            stdout=subprocess.PIPE,
        ) as process,
    ):
        accepted, _ = listening.accept()
        assert process.stdout.readline() == b"waits\n"
        os.kill(process.pid, signal.SIGSTOP)
        os.waitpid(process.pid, os.WUNTRACED)
        accepted.sendall(b"head\n")
        time.sleep(1.0)
        os.kill(process.pid, signal.SIGCONT)
        assert process.stdout.readline() == b"b'head\\n'\n"
        assert process.stdout.readline() == b"1\n"


def test_late_timers_run_in_the_order_of_their_times():
    """Guards against timers that overtake each other after a stall."""

    async def main():
        loop = asyncio.get_running_loop()
        ran = []
        for number in range(5):
            loop.call_later(0.02 * number, ran.append, number)
        block(0.09)
        await asyncio.sleep(0.1)
        return ran

    assert run_in_loop(main) == [0, 1, 2, 3, 4]


def test_late_timer_that_is_cancelled_does_not_run():
    """Guards against a delayed callback that cancelling no longer reaches."""

    async def main():
        loop = asyncio.get_running_loop()
        ran = []
        handle = loop.call_later(0.01, ran.append, "cancelled")
        block(0.1)
        await asyncio.sleep(0)
        handle.cancel()
        await asyncio.sleep(0.05)
        return ran

    assert run_in_loop(main) == []


def test_late_timer_without_data_expires():
    """Guards against a timeout that a stall puts off for good."""

    async def main():
        async with asyncio.timeout(0.05):
            asyncio.get_running_loop().call_soon(time.sleep, 0.2)
            await asyncio.get_running_loop().create_future()

    with pytest.raises(TimeoutError):
        run_in_loop(main)


def test_timer_that_ran_leaves_no_garbage():
    """Guards against a cycle for each timer, which costs collections."""

    class Callback:
        def __call__(self):
            pass

    async def main():
        callback = Callback()
        alive = weakref.ref(callback)
        asyncio.get_running_loop().call_later(0.0, callback)
        del callback
        await asyncio.sleep(0.02)
        return alive() is None

    gc.disable()
    try:
        assert run_in_loop(main)
    finally:
        gc.enable()


def test_stall_of_callbacks_is_counted():
    """Guards against a stall that no log line or metric shows."""
    recorder = stalls.Stalls()

    async def main():
        block(0.3)
        await asyncio.sleep(0)

    run_in_loop(main, recorder=recorder)
    assert recorder.count_by_cause == {stalls.StallCause.CALLBACKS: 1}
    assert recorder.total_seconds == pytest.approx(0.3, abs=0.1)


class _WaitingClock:
    """Clock that advances with each reading."""

    def __init__(self, *steps):
        self._now = 100.0
        self._steps = [0.0, *steps]

    def __call__(self):
        """Return the time, and advance it by the next step."""
        self._now += self._steps.pop(0)
        return self._now


def test_suspension_is_counted():
    """Guards against time of a suspension that counts as silence of peers."""
    recorder = stalls.Stalls()
    clock = _WaitingClock(0.1, 5.0)
    with event_loop.StallRecordingSelector(
        stalls=recorder, read_clock=clock
    ) as selector:
        selector.select(0.001)
    assert recorder.count_by_cause == {stalls.StallCause.WAITING: 1}
    assert recorder.total_seconds == pytest.approx(5.0, abs=0.01)


def test_idle_loop_is_not_stalled():
    """Guards against idle time that counts as a stall."""
    recorder = stalls.Stalls()
    ours, theirs = socket.socketpair()
    clock = _WaitingClock(0.1, 60.0, 0.1, 0.001)
    with (
        ours,
        theirs,
        event_loop.StallRecordingSelector(
            stalls=recorder, read_clock=clock
        ) as selector,
    ):
        selector.register(ours, selectors.EVENT_READ)
        theirs.sendall(b"x")
        selector.select(None)
        selector.select(60.0)
    assert recorder.total_seconds == 0.0
