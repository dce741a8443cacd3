"""Services and peers that send bytes without end: each call ends soon."""

import asyncio
import dataclasses
import time

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_platform import http_client
from lagoonrun_standins import endless_upstream

_Form = endless_upstream.EndlessForm

FORMS = (
    _Form.HEADER_LINE,
    _Form.HEADER_FIELDS,
    _Form.INFORMATIONAL,
    _Form.CHUNK_SIZE,
    _Form.CHUNK_EXTENSION,
    _Form.EXTENDED_CHUNKS,
    _Form.TINY_CHUNKS,
    _Form.TRAILER_FIELDS,
    _Form.BODY_WITHOUT_LENGTH,
    _Form.ERROR,
)

TIMEOUT_SECONDS = 0.5
STALL_SECONDS = 0.5

MAX_SECONDS = 4.0
"""Several times both limits, and the time that the largest body takes here."""

MAX_SENT_BYTES = 17 * 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """Address of a stand-in."""

    host: str
    port: int


@pytest.fixture
async def call_endless():
    """Return a function that calls an endless server, and returns that."""
    started = []

    async def call(form, *, drop_by_drop):
        endless = endless_upstream.EndlessUpstream(
            form, drop_by_drop=drop_by_drop
        )
        await endless.start()
        endless.begin()
        started.append(endless)
        pool = http_client.ConnectionPool(
            address=Address(host="127.0.0.1", port=endless.port),
            connect_timeout_seconds=1.0,
            clock=clocks.SystemClock(),
        )
        async with asyncio.timeout(MAX_SECONDS):
            with pytest.raises(http_client.ResponseLostError):
                await pool.call(
                    http_client.HttpRequest(method="GET", path="/"),
                    timeout_seconds=TIMEOUT_SECONDS,
                    stall_seconds=STALL_SECONDS,
                )
            while True:
                if not endless.open_connections:
                    return endless
                await asyncio.sleep(0.01)

    yield call
    for one in started:
        await one.close()


@pytest.mark.parametrize("drop_by_drop", [False, True], ids=["fast", "drops"])
async def test_endless_response_is_given_up(call_endless, drop_by_drop):
    """Guards against a store or a peer that occupies its reader for ever."""
    for endless in await asyncio.gather(
        *(call_endless(form, drop_by_drop=drop_by_drop) for form in FORMS)
    ):
        assert endless.requests == 1
        assert endless.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize(
    "form",
    [_Form.INFORMATIONAL, _Form.EXTENDED_CHUNKS, _Form.TINY_CHUNKS],
    ids=lambda one: one.name,
)
async def test_endless_framing_takes_little(call_endless, form):
    """Guards against bytes that are no data and are taken for ever."""
    began_at = time.process_time()
    endless = await call_endless(form, drop_by_drop=False)
    assert endless.sent_bytes < 1024 * 1024
    assert time.process_time() - began_at < TIMEOUT_SECONDS
