"""Upstreams that send nothing for a while, and upstreams that never go on."""

import asyncio
import contextlib
import dataclasses

from lagoonrun_http import messages as http_messages
from lagoonrun_router import retry_budget, run_silence, upstream_signs
from lagoonrun_standins.router_samples import make_route, make_stream_route
from lagoonrun_standins.router_upstream import marked
from lagoonrun_standins.router_world import WAIT_SECONDS

EVENTS = 20
EVENT_SECONDS = 0.02
ALLOWED_SECONDS = 1.0
"""Silence of a stream after which another upstream may be tried."""

SILENT_SECONDS = 1.5 * ALLOWED_SECONDS
NO_RETRIES = retry_budget.Allowance(ratio=0.0, window_seconds=10.0, fixed=0.0)


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def stream_of(events):
    return b"".join(event(number) for number in range(1, events + 1))


WHOLE = stream_of(EVENTS)
LONG = 5 * EVENTS


@dataclasses.dataclass(kw_only=True)
class PausingUpstream:
    """Answers with a stream of events, or whole, while it is not paused.

    Parameters
    ----------
    events
        Events of each stream.
    breaks_after
        Event after which streams break that began here; None for none.
    hangs_after
        Event after which the first stream goes silent; None for none.
    comments
        Whether paused streams send comments.

    Attributes
    ----------
    begun, resumed
        Runs that were sent here from the beginning, and to go on.
    running
        Runs that have not ended.
    """

    events: int = EVENTS
    breaks_after: int | None = None
    hangs_after: int | None = None
    comments: bool = False
    begun: int = 0
    resumed: int = 0
    running: int = 0
    going: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def __post_init__(self):
        self.going.set()

    async def __call__(self, exchange):
        """Answer one request."""
        after = int(exchange.head.headers.get("Resume-After") or 0)
        self.resumed += after > 0
        self.begun += not after
        self.running += 1
        try:
            await self._answer(exchange, after, hangs=self.begun == 1)
        finally:
            self.running -= 1

    async def _answer(self, exchange, after, *, hangs):
        if not exchange.head.target.startswith("/streams/"):
            await self._while_going(exchange)
            await exchange.respond(
                status=200, headers=marked(exchange), body=b"whole"
            )
            return
        if not self.comments:
            await self._while_going(exchange)
        headers = marked(exchange, Content_Type="text/event-stream")
        await exchange.start(
            http_messages.ResponseHead(status=200, headers=headers)
        )
        for number in range(after + 1, self.events + 1):
            await self._while_going(exchange)
            await exchange.send(event(number))
            if number == self.breaks_after and not after:
                exchange.abort()
                return
            if number == self.hangs_after and hangs:
                await exchange.caller_left.wait()
                return
            await asyncio.sleep(EVENT_SECONDS)
        await exchange.finish()

    async def _while_going(self, exchange):
        while not self.going.is_set() and not exchange.caller_left.is_set():
            if self.comments:
                await exchange.send(b": still here\n\n")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.going.wait(), EVENT_SECONDS)


def stream_route(**changes):
    values = {
        "name": "streams",
        "path_prefix": "/streams/",
        "resumable": True,
        "maximum_attempts": 2,
        "target_seconds": 0.1,
        "limit_seconds": WAIT_SECONDS,
        "longest_pause_seconds": 0.1,
    }
    return make_stream_route(**{**values, **changes})


def plain_route(**changes):
    values = {
        "idempotent": True,
        "maximum_attempts": 2,
        "target_seconds": 0.1,
        "limit_seconds": WAIT_SECONDS,
    }
    return make_route(**{**values, **changes})


async def add_upstreams(world, answers, *, first=1):
    for number, answer in enumerate(answers, first):
        await world.add_upstream(answer, id=f"u-{number}", slots=64)
    await world.ready()


async def begin_stream(world, id):
    """Begin a stream and wait for its first event."""
    caller = await world.caller()
    caller.send(f"/streams/{id}", method="POST", body=b"x", id=id)
    head = await caller.reader.readuntil(b"\r\n\r\n")
    assert b" 200 " in head
    # The chunk's size, the event, and the end of the chunk.
    await caller.reader.readuntil(event(1) + b"\r\n")
    return caller


async def rest_of(caller):
    """Return the rest of a begun stream, and whether it ended whole."""
    async with asyncio.timeout(WAIT_SECONDS):
        body, whole = await caller._body({})
    caller.writer.close()
    return event(1) + body, whole


async def stay_silent(upstreams, seconds=SILENT_SECONDS):
    for one in upstreams:
        one.going.clear()
    await asyncio.sleep(seconds)
    for one in upstreams:
        one.going.set()


def silence(**changes):
    signs = upstream_signs.UpstreamSigns()
    for id, at in changes.pop("heard_at", {}).items():
        signs.record(id, "portal", now=at)
    return run_silence.observe(
        "u-1",
        ["u-1", "u-2", "u-3"],
        signs,
        **{"sign_at": 5.0, "bytes_at": 6.0, "now": 7.0, **changes},
    )


def test_lost_attempts_say_what_was_heard_meanwhile():
    """Guards against a cause that no line tells: the upstream or all of them."""
    alone = silence(heard_at={"u-1": 5.0, "u-2": 4.0})
    assert (alone.seconds, alone.bytes_seconds) == (2.0, 1.0)
    assert (alone.upstream_seconds, alone.heard, alone.others) == (2.0, 0, 2)
    assert alone.heard_meanwhile is run_silence.Heard.NONE
    others = silence(heard_at={"u-1": 5.0, "u-2": 6.0})
    assert others.heard_meanwhile is run_silence.Heard.OTHERS
    same = silence(heard_at={"u-1": 6.5, "u-2": 6.0})
    assert same.heard_meanwhile is run_silence.Heard.UPSTREAM
    assert silence().upstream_seconds is None


async def test_counter_tells_which_upstreams_were_heard(world):
    """Guards against a silent attempt that is counted without its cause."""
    await world.declare(stream_route(), revision=2)
    dead = PausingUpstream()
    await add_upstreams(world, [dead])
    caller = await begin_stream(world, "r-1")
    dead.going.clear()
    await add_upstreams(world, [PausingUpstream()], first=2)
    await rest_of(caller)
    assert (
        world.router.metrics.registry.get_sample_value(
            "lagoonrun_silent_attempts_total",
            {"pool": "portal", "heard": "none"},
        )
        == 1.0
    )
