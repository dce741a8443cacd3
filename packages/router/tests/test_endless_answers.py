"""Upstreams that answer with bytes without end, beside sound ones."""

import asyncio
import logging

import pytest

from lagoonrun_core import events, outcomes
from lagoonrun_router import declarations
from lagoonrun_standins import endless_upstream, router_upstream
from lagoonrun_standins.router_samples import (
    make_route,
    make_stream_route,
)
from lagoonrun_standins.router_world import wait_for

_Form = endless_upstream.EndlessForm

TARGET_SECONDS = 1.0
"""Three times this may pass until another upstream is asked; before the
answers begin, the sound upstreams are registered, which takes over a second."""

LIMIT_SECONDS = 8.0
ONCE_LIMIT_SECONDS = 4.0
SLACK_SECONDS = 0.75
"""An answer at the time limit may come as much later, beside busy processes."""

MAX_SENT_BYTES = 5 * 1024 * 1024
"""The largest plain answer, and what the buffers of the sockets hold."""

REQUESTS = 4
"""Requests for each form; all go to the endless upstream first."""

SOUND = "sound"
SOUND_SECONDS = 1.0
SOUND_REQUESTS = 20

EVENTS = tuple(b"id: %d\ndata: %d\n\n" % (one, one) for one in range(1, 6))

STREAM_FORMS = frozenset(
    (
        _Form.EVENT,
        _Form.COMMENTS,
        _Form.COMMENT_LINES,
        _Form.COMMENTS_AFTER_EVENT,
    )
)
"""Forms that a plain request takes for a body without a length."""

_TRUTHFUL_FAILURES = (0, 500, 502, 504)

answer_all_events = router_upstream.answer_events(*EVENTS)


async def answer_rest_of_events(exchange):
    """Answer with the events after the one that the caller has."""
    resume_after = int(exchange.head.headers.get("Resume-After") or "0")
    await router_upstream.answer_events(*EVENTS[resume_after:])(exchange)


@pytest.fixture
async def play(world_of):
    """Return a function that sends requests to endless and sound upstreams.

    Each form has a pool of its own. Its endless upstream is alone there until
    all requests have reached it, then a sound one is added.
    """
    started = []

    async def run(make, *, drop_by_drop, answer, forms, **changes):
        """Return the endless upstreams, and the answers, by form."""
        world = await world_of()
        names = [one.name for one in forms] + [SOUND]
        routes = [
            make(
                name=name,
                path_prefix=f"/{name}/",
                destinations=(declarations.Destination(pool=name),),
                target_seconds=TARGET_SECONDS,
                **changes,
            )
            for name in names
        ]
        pools = {
            name: declarations.Pool(name=name, maximum_connections=64)
            for name in names
        }
        await world.declare(*routes, pools_by_name=pools)
        endless_by_form = {}
        for form in forms:
            endless = endless_upstream.EndlessUpstream(
                form, drop_by_drop=drop_by_drop
            )
            await endless.start()
            started.append(endless)
            endless_by_form[form] = endless
            await world.register_at(
                f"endless-{form.name}",
                endless.port,
                pool=form.name,
            )
        sound_upstream = await world.add_upstream(
            answer, f"sound-{SOUND}", pool=SOUND
        )
        await world.ready()
        asked = [
            (form.name, asyncio.create_task(ask(world, form.name, number)))
            for form in forms
            for number in range(REQUESTS)
        ]
        for one in endless_by_form.values():
            await wait_for(lambda one=one: one.requests == REQUESTS)
        for form in forms:
            await world.register_at(
                f"sound-{form.name}", sound_upstream.port, pool=form.name
            )
        for form in forms:
            await wait_for(lambda form=form: world.knows(f"sound-{form.name}"))
        for one in endless_by_form.values():
            one.begin()
        sound = asyncio.create_task(ask_sound(world))
        results = await asyncio.gather(*(one for _, one in asked))
        answers_by_form = {form.name: [] for form in forms}
        for (name, _), result in zip(asked, results, strict=True):
            answers_by_form[name].append(result)
        assert await sound < SOUND_SECONDS
        for one in endless_by_form.values():
            await wait_for(lambda one=one: not one.open_connections)
        return endless_by_form, answers_by_form

    yield run
    for one in started:
        await one.close()


async def ask(world, name, number):
    """Return the answer to one request and how long it took."""
    began_at = asyncio.get_running_loop().time()
    answer = await world.ask(f"/{name}/1", id=f"{name}-{number}")
    return answer, asyncio.get_running_loop().time() - began_at


async def ask_sound(world):
    """Return the longest time that a request to a sound upstream takes."""
    longest = 0.0
    for number in range(SOUND_REQUESTS):
        answer, seconds = await ask(world, SOUND, number)
        assert answer.status == 200
        assert answer.whole
        longest = max(longest, seconds)
        await asyncio.sleep(0.1)
    return longest


@pytest.mark.parametrize("drop_by_drop", [False, True], ids=["fast", "drops"])
@pytest.mark.parametrize("kind", ["plain", "stream"])
async def test_repeatable_request_is_answered_whole_by_a_sound_upstream(
    play, kind, drop_by_drop
):
    """Guards against callers that wait for bytes that are no answer."""
    is_stream = kind == "stream"
    forms = [one for one in _Form if is_stream or one not in STREAM_FORMS]
    # An answer of another status than 2xx may be the upstream's own.
    whole_before_the_end = {_Form.AFTER_ANSWER.name}
    changes = {"resumable": True} if is_stream else {}
    endless_by_form, answers_by_form = await play(
        make_stream_route if is_stream else make_route,
        drop_by_drop=drop_by_drop,
        answer=answer_rest_of_events
        if is_stream
        else router_upstream.answer_whole,
        forms=forms,
        idempotent=True,
        limit_seconds=LIMIT_SECONDS,
        maximum_attempts=2,
        **changes,
    )
    expected = b"".join(EVENTS) if is_stream else b"whole"
    wrong = {
        name: [(one.status, one.whole, round(seconds, 2), one.body[-20:])]
        for name, results in answers_by_form.items()
        for one, seconds in results
        if not (one.status == 200 and one.whole and seconds < LIMIT_SECONDS)
        or (
            # Whole comments between two events may reach the caller.
            one.body.replace(b": x\n\n", b"") != expected
            and name not in whole_before_the_end
        )
    }
    assert not wrong
    check_bounds(endless_by_form, LIMIT_SECONDS)


@pytest.mark.parametrize("drop_by_drop", [False, True], ids=["fast", "drops"])
@pytest.mark.parametrize("kind", ["plain", "stream"])
async def test_request_that_runs_once_gets_a_truthful_answer(
    play, kind, drop_by_drop
):
    """Guards against a refusal after a run, and a part that looks whole."""
    is_stream = kind == "stream"
    forms = [one for one in _Form if is_stream or one not in STREAM_FORMS]
    endless_by_form, answers_by_form = await play(
        make_stream_route if is_stream else make_route,
        drop_by_drop=drop_by_drop,
        answer=answer_all_events if is_stream else router_upstream.answer_whole,
        forms=forms,
        maximum_attempts=2,
        limit_seconds=ONCE_LIMIT_SECONDS,
    )
    expected = b"".join(EVENTS) if is_stream else b"whole"
    for form in forms:
        for answer, seconds in answers_by_form[form.name]:
            seen = (form.name, answer.status, answer.whole, seconds)
            assert seconds < ONCE_LIMIT_SECONDS + SLACK_SECONDS, seen
            if answer.status == 200 and answer.whole:
                assert answer.body == expected or (
                    form is _Form.AFTER_ANSWER and answer.body == b"whole"
                ), seen
            elif form is _Form.NOT_RUN and answer.status == 503:
                pass  # The upstream's own word.
            else:
                assert answer.status in (
                    *_TRUTHFUL_FAILURES,
                    *((200,) if not answer.whole else ()),
                ), seen
    check_bounds(endless_by_form, ONCE_LIMIT_SECONDS)


async def test_endless_event_is_a_fault_of_the_protocol(play, caplog):
    """Guards against a bound that looks like a connection that broke."""
    with caplog.at_level(logging.WARNING, logger="lagoonrun"):
        await play(
            make_stream_route,
            drop_by_drop=False,
            answer=answer_all_events,
            forms=[_Form.EVENT, _Form.COMMENTS],
            limit_seconds=ONCE_LIMIT_SECONDS,
        )
    lost = [
        one
        for one in caplog.records
        if one.message == events.LogEvent.UPSTREAM_ATTEMPT_LOST.label
    ]
    assert len(lost) == 2 * REQUESTS
    for one in lost:
        assert one.reason == outcomes.Reason.UPSTREAM_PROTOCOL.value
        assert "valid: " in one.detail


def check_bounds(endless_by_form, limit_seconds):
    """Check that each endless answer was ended in bounded bytes and time."""
    for form, endless in endless_by_form.items():
        assert endless.requests, form
        assert endless.sent_bytes < MAX_SENT_BYTES, form
        assert endless.open_seconds < limit_seconds + SLACK_SECONDS, form
