"""Permits with silent dispatchers, late grants and callers that leave."""

import asyncio

import pytest

from lagoonrun_core import clock, outcomes
from lagoonrun_daemon import permit_types, permits, stalls
from lagoonrun_protocol import messages

SHARD = "writers@north/0"
_BOUND_SECONDS = 10.0


class FakeTransport:
    """Transport that records messages; the test sends the replies."""

    def __init__(self):
        self.sent = asyncio.Queue()
        self.unreachable = set()

    def send(self, to, message):
        """Record a message; return False if its receiver is unreachable."""
        if to in self.unreachable:
            return False
        self.sent.put_nowait((to, message))
        return True

    async def next(self, kind):
        """Return the receiver and the next message of `kind`."""
        async with asyncio.timeout(_BOUND_SECONDS):
            while True:
                to, message = await self.sent.get()
                if isinstance(message, kind):
                    return to, message

    def drain(self, kind):
        """Return all messages of `kind` and discard the others."""
        found = []
        while not self.sent.empty():
            to, message = self.sent.get_nowait()
            if isinstance(message, kind):
                found.append((to, message))
        return found


class FixedRanking:
    """Ranking with the same order for every shard."""

    def __init__(self, *entry_vms):
        self.order = entry_vms

    def ranked_for(self, shard):
        """Return the fixed order."""
        del shard
        return self.order


@pytest.fixture
def manual_clock():
    return clock.ManualClock()


@pytest.fixture
def sent():
    return FakeTransport()


def make_client(manual_clock, sent, *, acknowledge_timeout_seconds=0.01):
    return permits.PermitClient(
        entry_vm="vm-3",
        ranking=FixedRanking("vm-1", "vm-2", "vm-3"),
        transport=sent,
        clock=manual_clock,
        stalls=stalls.StallDetector(clock=manual_clock),
        timing=permit_types.PermitTiming(
            acknowledge_timeout_seconds=acknowledge_timeout_seconds
        ),
    )


@pytest.fixture
def client(manual_clock, sent):
    return make_client(manual_clock, sent)


def wanted(clock_, *, request_id="r-1", shard=SHARD, seconds=60.0):
    return permit_types.PermitWanted(
        request_id=request_id,
        shard=shard,
        profile="answer",
        organisation="house",
        limit_at=clock_.monotonic() + seconds,
        target_at=clock_.monotonic() + seconds,
        prefix_hash=0,
        prompt_bytes=10,
    )


def keyed(request):
    return {
        "request_id": request.request_id,
        "attempt_id": request.attempt_id,
    }


def granted(request, upstream="writer-1"):
    return messages.PermitGranted(
        **keyed(request), upstream=upstream, shard=request.shard
    )


async def ask(client, manual_clock, sent, **fields):
    """Start obtaining a permit; return the task, dispatcher and message."""
    task = asyncio.create_task(client.obtain(wanted(manual_clock, **fields)))
    to, request = await sent.next(messages.PermitRequest)
    return task, to, request


async def test_first_ranked_is_asked_and_its_grant_taken(
    client, manual_clock, sent
):
    task, to, request = await ask(client, manual_clock, sent)
    client.on_message(to, granted(request))
    permit = await task
    assert (to, request.handover) == ("vm-1", False)
    assert (permit.upstream, permit.dispatcher) == ("writer-1", "vm-1")
    assert (client.waiting, client.running) == (0, 1)


async def test_silent_dispatcher_is_passed_over_and_its_late_grant_returned(
    client, manual_clock, sent
):
    """A dispatcher freezes while a lookup requests a permit from it.

    The lookup asks the next-ranked dispatcher after a short delay. When the
    first one resumes, it grants a slot that nobody uses, which would be leaked
    if the grant were not returned.
    """
    task, first, lost = await ask(client, manual_clock, sent)
    second, request = await sent.next(messages.PermitRequest)
    client.on_message(second, granted(request, "writer-2"))
    permit = await task
    assert (first, second, request.handover) == ("vm-1", "vm-2", True)
    assert permit.upstream == "writer-2"
    sent.drain(messages.PermitReturn)
    client.on_message(first, granted(lost))
    assert sent.drain(messages.PermitReturn) == [
        ("vm-1", messages.PermitReturn(**keyed(lost), shard=SHARD))
    ]


async def test_own_dispatcher_is_never_taken_for_silent(
    client, manual_clock, sent
):
    """A thousand concurrent callers keep the event loop busy.

    Every dispatcher looked silent, because the loop processed acknowledgements
    only after the timers; callers were refused although all entry VMs were
    alive. The own dispatcher is asked last, without a timeout.
    """
    task, _, _ = await ask(client, manual_clock, sent)
    await sent.next(messages.PermitRequest)
    own, request = await sent.next(messages.PermitRequest)
    assert own == "vm-3"
    await asyncio.wait({task}, timeout=0.05)
    assert not task.done()
    client.on_message(own, granted(request))
    assert isinstance(await task, permit_types.Permit)


async def test_late_timer_reads_sockets_first(manual_clock, sent):
    """The event loop is busy for longer than the acknowledgement timeout.

    The timer is due while the acknowledgement is unread in the socket.
    """
    client = make_client(manual_clock, sent, acknowledge_timeout_seconds=0.1)
    task, to, request = await ask(client, manual_clock, sent)
    loop = asyncio.get_running_loop()
    end = loop.time() + 0.3
    while loop.time() < end:
        pass
    acknowledged = messages.PermitAcknowledged(**keyed(request))
    # One loop iteration after the timer, as received socket data would be.
    loop.call_soon(loop.call_soon, client.on_message, to, acknowledged)
    await asyncio.wait({task}, timeout=0.05)
    assert not sent.drain(messages.PermitRequest)
    client.on_message(to, granted(request))
    await task


async def test_later_requests_do_not_wait_for_a_silent_dispatcher(
    client, manual_clock, sent
):
    task, _, _ = await ask(client, manual_clock, sent)
    second, request = await sent.next(messages.PermitRequest)
    client.on_message(second, granted(request))
    await task
    task, to, request = await ask(client, manual_clock, sent, request_id="r-2")
    client.on_message(to, granted(request))
    await task
    assert (to, request.handover) == ("vm-2", True)


async def test_two_that_name_each_other_are_told_to_dispatch(
    client, manual_clock, sent
):
    """Two entry VMs see different memberships and each names the other.

    The request would go back and forth until its limit. Instead, the one that
    is asked a second time gets a handover, which it must accept.
    """
    task, to, request = await ask(client, manual_clock, sent)
    asked = []
    for _ in range(6):
        asked.append((to, request.handover))
        if request.handover and to in [vm for vm, _ in asked[:-1]]:
            break
        other = "vm-2" if to == "vm-1" else "vm-1"
        client.on_message(
            to, messages.PermitNotMine(**keyed(request), owner=other)
        )
        to, request = await sent.next(messages.PermitRequest)
    client.on_message(to, granted(request))
    assert isinstance(await task, permit_types.Permit)
    assert asked[-1] == ("vm-1", True)


async def test_forgotten_request_is_asked_again(client, manual_clock, sent):
    """A dispatcher restarts and no longer knows a waiting request.

    The digest lists the request and the dispatcher reports it as unknown; the
    permit is requested again instead of waiting until the limit.
    """
    task, to, request = await ask(client, manual_clock, sent)
    client.on_message(to, messages.PermitAcknowledged(**keyed(request)))
    client.on_message(
        to,
        messages.DigestAcknowledged(
            shard=SHARD, unknown=(messages.WaitingWork(**keyed(request)),)
        ),
    )
    _, again = await sent.next(messages.PermitRequest)
    client.on_message(to, granted(again))
    assert again.attempt_id == request.attempt_id + 1
    assert isinstance(await task, permit_types.Permit)


async def test_frozen_dispatcher_that_had_acknowledged_is_found_by_digests(
    client, manual_clock, sent
):
    """A dispatcher queues a request and then freezes.

    The acknowledgement has cancelled the request's own timer; only digests
    without a reply reveal the frozen dispatcher.
    """
    task, to, request = await ask(client, manual_clock, sent)
    client.on_message(to, messages.PermitAcknowledged(**keyed(request)))
    for _ in range(permit_types.PermitTiming().unanswered_digests + 1):
        client.send_periodic_digests()
    second, again = await sent.next(messages.PermitRequest)
    client.on_message(second, granted(again))
    await task
    assert (second, again.handover) == ("vm-2", True)


async def test_dispatcher_of_many_shards_is_not_taken_for_silent(
    client, manual_clock, sent
):
    """One entry VM dispatches more shards than the unanswered-digest limit.

    The digests of all its shards are sent in one period. If each counted, the
    fourth would make the dispatcher count as silent before it can reply.
    """
    tasks = []
    for index in range(5):
        task, to, request = await ask(
            client,
            manual_clock,
            sent,
            request_id=f"r-{index}",
            shard=f"writers@north/{index}",
        )
        client.on_message(to, messages.PermitAcknowledged(**keyed(request)))
        tasks.append(task)
    client.send_periodic_digests()
    assert len(sent.drain(messages.WorkDigest)) == 5
    assert client.waiting == 5
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def test_caller_that_leaves_withdraws_its_request(
    client, manual_clock, sent
):
    task, to, request = await ask(client, manual_clock, sent)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert sent.drain(messages.PermitReturn) == [
        (to, messages.PermitReturn(**keyed(request), shard=SHARD))
    ]
    assert client.waiting == 0


async def test_refusal_is_passed_on_with_its_time(client, manual_clock, sent):
    task, to, request = await ask(client, manual_clock, sent)
    client.on_message(
        to,
        messages.PermitRefused(
            **keyed(request),
            reason=outcomes.Reason.QUEUE_FULL,
            retry_after_seconds=7.0,
        ),
    )
    refusal = await task
    assert refusal.reason is outcomes.Reason.QUEUE_FULL
    assert refusal.retry_after_seconds == 7.0


async def test_none_that_can_be_reached_is_refused_at_once(
    client, manual_clock, sent
):
    sent.unreachable = {"vm-1", "vm-2", "vm-3"}
    refusal = await client.obtain(wanted(manual_clock))
    assert refusal.reason is outcomes.Reason.NO_DISPATCHER


async def test_grant_read_right_after_a_freeze_is_not_fresh(
    client, manual_clock, sent
):
    """An entry VM is frozen for half a minute with a grant in its socket.

    When it resumes, it reads the grant as if it were new, but the upstream may
    have started to leave meanwhile: a request sent there would be cut.
    """
    task, to, request = await ask(client, manual_clock, sent)
    manual_clock.advance(30.0)
    client.on_message(to, granted(request))
    permit = await task
    assert not client.is_fresh(permit, maximum_age_seconds=1.0)
    manual_clock.advance(0.9)
    assert not client.is_fresh(permit, maximum_age_seconds=1.0)


async def test_grant_asked_for_after_a_freeze_is_fresh(
    client, manual_clock, sent
):
    """An entry VM resumes from a freeze and serves a new lookup.

    For a second, every grant was considered stale, returned and immediately
    requested again: hundreds of grants were wasted for a few lookups.
    """
    manual_clock.advance(30.0)
    task, to, request = await ask(client, manual_clock, sent)
    client.on_message(to, granted(request))
    assert client.is_fresh(await task, maximum_age_seconds=1.0)


async def test_slow_dispatcher_that_answers_others_is_not_passed_over(
    manual_clock,
):
    """A burst of requests keeps a dispatcher busy for more than 150 ms.

    It was considered silent and skipped while it continued granting; two entry
    VMs granted the same runners, and the highest tier missed its target. A
    dispatcher that sends nothing, or stays slow, is still skipped.
    """
    waiting = permit_types.PendingRequest(
        wanted=wanted(manual_clock),
        key=permit_types.AttemptKey(request_id="r-1", attempt_id=1),
        dispatcher="vm-1",
        asked_at=0.0,
        reply=asyncio.get_running_loop().create_future(),
        messages_before=7,
        extensions_left=2,
    )
    received = [8, 8, 9, 10]
    assert [waiting.extends_wait(count) for count in received] == [
        True,
        False,
        True,
        False,
    ]


async def test_next_dispatcher_learns_at_once_of_running_work(
    client, manual_clock, sent
):
    """A dispatcher freezes while its runners are full.

    The next one did not know the running requests and granted every slot a
    second time, so all responses slowed down and many came too late.
    """
    task, first, request = await ask(client, manual_clock, sent)
    client.on_message(first, granted(request))
    running = await task
    task, _, _ = await ask(client, manual_clock, sent, request_id="r-2")
    to, digest = await sent.next(messages.WorkDigest)
    second, request = await sent.next(messages.PermitRequest)
    client.on_message(second, granted(request))
    await task
    assert to == second == "vm-2"
    assert [w.request_id for w in digest.running] == [running.key.request_id]


async def test_request_goes_back_to_a_dispatcher_that_is_heard_again(
    client, manual_clock, sent
):
    """A dispatcher resumes while requests wait at the next-ranked one.

    Both continued granting all slots of the same runners for seconds.
    """
    task, first, lost = await ask(client, manual_clock, sent)
    second, moved = await sent.next(messages.PermitRequest)
    client.on_message(second, messages.PermitAcknowledged(**keyed(moved)))
    client.on_message(first, messages.PermitAcknowledged(**keyed(lost)))
    to, again = await sent.next(messages.PermitRequest)
    client.on_message(to, granted(again))
    assert (await task).dispatcher == first
    client.on_message(second, granted(moved))
    assert sent.drain(messages.PermitReturn) == [
        (second, messages.PermitReturn(**keyed(moved), shard=SHARD))
    ]


@pytest.mark.parametrize(("age", "fresh"), [(0.5, True), (1.5, False)])
async def test_permit_grows_old(client, manual_clock, sent, age, fresh):
    task, to, request = await ask(client, manual_clock, sent)
    client.on_message(to, granted(request))
    permit = await task
    for _ in range(3):
        manual_clock.advance(age / 3)
        client.is_fresh(permit, maximum_age_seconds=1.0)
    assert client.is_fresh(permit, maximum_age_seconds=1.0) is fresh
