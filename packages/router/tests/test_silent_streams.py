"""Upstreams that send nothing for a while, and upstreams that never go on."""

import asyncio
import contextlib
import dataclasses

import pytest

from lagoonrun_http import messages as http_messages
from lagoonrun_router import retry_budget, run_silence, upstream_signs
from lagoonrun_standins.router_samples import make_route, make_stream_route
from lagoonrun_standins.router_upstream import marked
from lagoonrun_standins.router_world import WAIT_SECONDS, wait_for

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


@pytest.mark.parametrize("attempts", [1, 2])
async def test_streams_outlive_the_silence_of_all_upstreams(world, attempts):
    """Guards against streams cut when all upstreams stand still for a while."""
    await world.declare(stream_route(maximum_attempts=attempts), revision=2)
    upstreams = [PausingUpstream() for _ in range(3)]
    await add_upstreams(world, upstreams)
    callers = [await begin_stream(world, f"r-{n}") for n in range(9)]
    await stay_silent(upstreams, 2 * SILENT_SECONDS)
    for caller in callers:
        assert await rest_of(caller) == (WHOLE, True)


async def test_last_attempt_outlives_its_silence(world):
    """Guards against streams cut at an upstream from which none may follow."""
    await world.declare(stream_route(), revision=2)
    upstreams = [PausingUpstream(breaks_after=2) for _ in range(2)]
    await add_upstreams(world, upstreams)
    caller = await begin_stream(world, "r-1")
    await wait_for(lambda: sum(one.resumed for one in upstreams) == 1)
    silence = asyncio.create_task(stay_silent(upstreams))
    await add_upstreams(world, [PausingUpstream(events=1000)], first=3)
    other = await begin_stream(world, "r-other")
    assert await rest_of(caller) == (WHOLE, True)
    await silence
    other.writer.close()


async def test_stream_outlives_silence_when_the_budget_is_spent(world_of):
    """Guards against streams cut because no retry is paid for any more."""
    world = await world_of(retry_allowance=NO_RETRIES)
    await world.declare(stream_route(), revision=2)
    paused = PausingUpstream()
    await add_upstreams(world, [paused])
    caller = await begin_stream(world, "r-1")
    await add_upstreams(world, [PausingUpstream()], first=2)
    await stay_silent([paused])
    assert await rest_of(caller) == (WHOLE, True)
    assert (paused.begun, paused.resumed) == (1, 0)


async def test_streams_outlive_silences_that_overlap(world):
    """Guards against streams cut while three and then five stand still."""
    await world.declare(stream_route(), revision=2)
    upstreams = [PausingUpstream(events=LONG) for _ in range(8)]
    await add_upstreams(world, upstreams)
    callers = [await begin_stream(world, f"r-{n}") for n in range(24)]
    first = asyncio.create_task(stay_silent(upstreams[:3], 2.0))
    await asyncio.sleep(ALLOWED_SECONDS)
    await stay_silent(upstreams[3:], 2.0)
    await first
    for caller in callers:
        assert await rest_of(caller) == (stream_of(LONG), True)


@pytest.mark.parametrize("attempts", [1, 2])
async def test_streams_outlive_silence_before_their_first_event(
    world, attempts
):
    """Guards against answers 502 where no upstream has sent a head in time."""
    await world.declare(stream_route(maximum_attempts=attempts), revision=2)
    upstreams = [PausingUpstream() for _ in range(2)]
    await add_upstreams(world, upstreams)
    silence = asyncio.create_task(stay_silent(upstreams, 2 * SILENT_SECONDS))
    await asyncio.sleep(0.0)
    answers = await asyncio.gather(
        *(
            world.ask(f"/streams/{n}", method="POST", body=b"x", id=f"r-{n}")
            for n in range(4)
        )
    )
    await silence
    assert {(one.status, one.body) for one in answers} == {(200, WHOLE)}


async def test_requests_outlive_silence_when_the_budget_is_spent(world_of):
    """Guards against answers 502 to plain requests that would be answered."""
    world = await world_of(retry_allowance=NO_RETRIES)
    await world.declare(plain_route(), revision=2)
    upstreams = [PausingUpstream() for _ in range(2)]
    await add_upstreams(world, upstreams)
    silence = asyncio.create_task(stay_silent(upstreams, ALLOWED_SECONDS))
    await asyncio.sleep(0.0)
    answers = await asyncio.gather(
        *(world.ask(f"/lookups/{n}", id=f"r-{n}") for n in range(4))
    )
    await silence
    assert {one.status for one in answers} == {200}


async def test_streams_leave_an_upstream_that_never_goes_on(world):
    """Guards against waiting for a dead upstream while another would serve."""
    await world.declare(stream_route(), revision=2)
    dead = PausingUpstream()
    await add_upstreams(world, [dead])
    callers = [await begin_stream(world, f"r-{n}") for n in range(8)]
    dead.going.clear()
    other = PausingUpstream()
    await add_upstreams(world, [other], first=2)
    async with asyncio.timeout(3 * ALLOWED_SECONDS):
        for caller in callers:
            assert await rest_of(caller) == (WHOLE, True)
    assert other.resumed == len(callers)
    assert dead.running == 0


async def test_requests_leave_an_upstream_that_never_answers(world):
    """Guards against waiting for a head that a dead upstream won't send."""
    await world.declare(stream_route(), plain_route(), revision=2)
    dead = PausingUpstream()
    dead.going.clear()
    await add_upstreams(world, [dead])
    stream = asyncio.create_task(
        world.ask("/streams/1", method="POST", body=b"x", id="r-1")
    )
    plain = asyncio.create_task(world.ask("/lookups/1", id="r-2"))
    await add_upstreams(world, [PausingUpstream()], first=2)
    async with asyncio.timeout(3 * ALLOWED_SECONDS):
        assert (await stream).body == WHOLE
        assert (await plain).status == 200


async def test_stream_leaves_a_dead_connection_of_a_living_upstream(world):
    """Guards against waiting where the upstream's other streams go on."""
    await world.declare(stream_route(), revision=2)
    await add_upstreams(world, [PausingUpstream(events=1000, hangs_after=1)])
    caller = await begin_stream(world, "r-1")
    living = await begin_stream(world, "r-2")
    other = PausingUpstream()
    await add_upstreams(world, [other], first=2)
    async with asyncio.timeout(3 * ALLOWED_SECONDS):
        assert await rest_of(caller) == (WHOLE, True)
    living.writer.close()


async def test_comments_do_not_keep_a_stream_at_a_dead_upstream(world):
    """Guards against bytes without an event that postpone the next attempt."""
    await world.declare(stream_route(), revision=2)
    dead = PausingUpstream(comments=True)
    await add_upstreams(world, [dead])
    begun = await begin_stream(world, "r-1")
    dead.going.clear()
    waiting = asyncio.create_task(
        world.ask("/streams/2", method="POST", body=b"x", id="r-2")
    )
    await add_upstreams(world, [PausingUpstream()], first=2)
    async with asyncio.timeout(3 * ALLOWED_SECONDS):
        body, whole = await rest_of(begun)
        answer = await waiting
    comment = b": still here\n\n"
    assert (body.replace(comment, b""), whole) == (WHOLE, True)
    assert (answer.body.replace(comment, b""), answer.whole) == (WHOLE, True)


async def test_streams_do_not_move_to_a_silent_upstream(world):
    """Guards against a last attempt spent where nothing arrives either."""
    await world.declare(stream_route(), revision=2)
    silent = [PausingUpstream() for _ in range(3)]
    callers = []
    for number, one in enumerate(silent, 1):
        await world.add_upstream(one, id=f"u-{number}", slots=1)
        await world.ready()
        callers.append(await begin_stream(world, f"r-{number}"))
        one.going.clear()
    assert [one.begun for one in silent] == [1, 1, 1]
    await add_upstreams(world, [PausingUpstream()], first=4)
    async with asyncio.timeout(4 * ALLOWED_SECONDS):
        for caller in callers:
            assert await rest_of(caller) == (WHOLE, True)
    assert [one.resumed for one in silent] == [0, 0, 0]


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
