"""Signals that reach an entry VM process while it starts."""

import asyncio
import contextlib
import random
import signal

import pytest

from lagoonrun_soak import fleet, layout
from lagoonrun_standins import router_world
from lagoonrun_users_platform import standin_messages

_EXIT_SECONDS = 5.0
_ANSWER_SECONDS = 10.0
_POLL_SECONDS = 0.005


async def connect(address):
    """Connect as soon as the process listens, while it imports the product."""
    async with asyncio.timeout(_EXIT_SECONDS):
        while True:
            with contextlib.suppress(ConnectionRefusedError):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
                return router_world.Caller(reader=reader, writer=writer)
            await asyncio.sleep(_POLL_SECONDS)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
async def test_request_that_waits_at_the_start_is_answered(number, tmp_path):
    """Guards against a signal that ends a process which is just starting.

    By then its socket listens, and callers that connected wait.
    """
    deployment = fleet.Deployment(
        network=layout.Network.of_process(),
        vms=1,
        folder=tmp_path,
        rng=random.Random(1),
    )
    (entry_vm,) = deployment.vms
    try:
        await deployment.start()
        entry_vm.send(signal.SIGKILL)
        assert await entry_vm.wait_for_exit(_EXIT_SECONDS)
        await entry_vm.start()
        connection = await connect(entry_vm.vm_settings.caller)
        connection.writer.write(
            standin_messages.request_bytes(
                method="POST",
                host=layout.HOST,
                path="/lookup/x",
                request_id="r-1",
                key=layout.STABLE_KEY,
                patience_seconds=5.0,
                body=b"r-1",
            )
        )
        entry_vm.send(number)
        async with asyncio.timeout(_ANSWER_SECONDS):
            answer = await connection.answer()
        connection.writer.transport.abort()
    finally:
        await deployment.close()
    assert (answer.status, answer.whole) == (200, True)
