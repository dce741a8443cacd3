"""Obtain permits from dispatchers, and report what became of them.

Permit messages are answered by the entry VM ranked first for a shard. One
that stays silent is passed over for the next-ranked; whatever it grants late
is given back, because each grant names its request and attempt.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Sequence
from typing import Protocol

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, outcomes, types
from lagoonrun_daemon import stalls, transport
from lagoonrun_protocol import messages

ACKNOWLEDGE_TIMEOUT_SECONDS = 0.15
"""Silence after which the next-ranked dispatcher is asked."""

DIGEST_PERIOD_SECONDS = 0.5
"""Time between two digests of running and waiting work."""

SILENCE_MEMORY_SECONDS = 2.0
"""How long a silent dispatcher is passed over by later requests."""

_DIGESTS_UNANSWERED = 3
_REASK_PAUSE_SECONDS = 0.05
_ASKS_WITHOUT_PAUSE = 4


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitWanted:
    """What an ingress asks a shard for.

    Parameters
    ----------
    limit_at, target_at
        Readings of the monotonic clock.
    """

    request_id: types.RequestId
    shard: types.ShardId
    profile: types.ProfileName
    organisation: types.OrganisationId
    limit_at: float
    target_at: float
    prefix_hash: types.PrefixHash
    prompt_bytes: int
    excluded: tuple[types.UpstreamId, ...] = ()
    revision: types.Revision = types.Revision(0)


@dataclasses.dataclass(kw_only=True)
class Permit:
    """Leave to send one request to one upstream.

    Parameters
    ----------
    granted_at
        Reading of the monotonic clock; an old permit must not be used.
    on_cut
        Called when the dispatcher wants the work stopped.
    first_token_seconds, tokens
        Progress, kept by the ingress while the work runs.
    """

    request_id: types.RequestId
    attempt_id: types.AttemptId
    shard: types.ShardId
    upstream: types.UpstreamId
    dispatcher: types.EntryVmId
    profile: types.ProfileName
    organisation: types.OrganisationId
    granted_at: float
    on_cut: Callable[[], None] | None = None
    cut_reason: outcomes.Reason = outcomes.Reason.NONE
    first_token_seconds: float = 0.0
    tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitRefusal:
    """No permit; nothing was sent to any upstream."""

    reason: outcomes.Reason
    retry_after_seconds: float
    dispatcher: types.EntryVmId | None = None


class Ranking(Protocol):
    """Order in which entry VMs dispatch a shard."""

    def ranked_for(self, shard: types.ShardId) -> Sequence[types.EntryVmId]:
        """Return the live entry VMs that may dispatch `shard`, best first."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Silent:
    """The dispatcher did not answer in time, or is dead."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Forgotten:
    """The dispatcher lives but does not know of the request."""


_Answer = (
    messages.PermitGranted
    | messages.PermitRefused
    | messages.PermitNotMine
    | _Silent
    | _Forgotten
)


@dataclasses.dataclass(kw_only=True)
class _Ask:
    wanted: PermitWanted
    attempt_id: types.AttemptId
    dispatcher: types.EntryVmId
    answer: asyncio.Future[_Answer]
    timer: asyncio.TimerHandle | None = None

    def settle(self, answer: _Answer) -> None:
        if self.timer:
            self.timer.cancel()
        if not self.answer.done():
            self.answer.set_result(answer)


@dataclasses.dataclass(kw_only=True)
class _Search:
    """Dispatchers that one request has met so far."""

    silent: set[types.EntryVmId] = dataclasses.field(default_factory=set)
    disowned: set[types.EntryVmId] = dataclasses.field(default_factory=set)
    hint: types.EntryVmId | None = None
    asks: int = 0


_Key = tuple[types.RequestId, types.AttemptId]


class PermitClient:
    """Ask dispatchers for permits on behalf of one ingress.

    Parameters
    ----------
    ranking
        Who dispatches which shard.
    transport
        Carries messages to dispatchers, this entry VM's own included.
    clock
        Source of time.
    stalls
        Tells of times in which this process did not run.
    """

    def __init__(
        self,
        *,
        ranking: Ranking,
        transport: transport.Transport,
        clock: clocks.Clock,
        stalls: stalls.StallDetector,
    ) -> None:
        self._ranking = ranking
        self._stalls = stalls
        self._transport = transport
        self._clock = clock
        self._asks_by_key: dict[_Key, _Ask] = {}
        self._running_by_key: dict[_Key, Permit] = {}
        self._attempts_by_request: dict[types.RequestId, int] = {}
        self._silent_until_by_vm: dict[types.EntryVmId, float] = {}
        self._unanswered_by_vm: dict[types.EntryVmId, int] = {}
        self._digest_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start sending digests."""
        self._digest_task = asyncio.create_task(self._send_digests_forever())

    async def close(self) -> None:
        """Stop sending digests."""
        if self._digest_task:
            self._digest_task.cancel()
            await asyncio.gather(self._digest_task, return_exceptions=True)

    async def obtain(self, wanted: PermitWanted) -> Permit | PermitRefusal:
        """Return a permit, or why there is none.

        A refusal is returned at once when it is known; at the latest when
        the request's limit has passed.
        """
        search = _Search()
        try:
            while True:
                result = await self._ask_next(wanted, search)
                if result is not None:
                    return result
        finally:
            self._withdraw(wanted.request_id)

    def give_back(self, permit: Permit) -> None:
        """Return a permit that was not used."""
        self._running_by_key.pop(_key(permit), None)
        self._send_return(
            permit.dispatcher,
            request_id=permit.request_id,
            attempt_id=permit.attempt_id,
            shard=permit.shard,
        )

    def finish(
        self,
        permit: Permit,
        *,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
        total_seconds: float,
    ) -> None:
        """Report the end of granted work to whoever dispatches now."""
        self._running_by_key.pop(_key(permit), None)
        end = messages.PermitEnd(
            request_id=permit.request_id,
            attempt_id=permit.attempt_id,
            shard=permit.shard,
            upstream=permit.upstream,
            outcome=outcome,
            reason=reason,
            first_token_seconds=permit.first_token_seconds,
            total_seconds=total_seconds,
            tokens=permit.tokens,
        )
        self._transport.send(permit.dispatcher, end)
        owner = self._first_audible(permit.shard)
        if owner is not None and owner != permit.dispatcher:
            self._transport.send(owner, end)

    def forget_request(self, request_id: types.RequestId) -> None:
        """Drop the attempt counter of a request that is over."""
        self._attempts_by_request.pop(request_id, None)

    def is_fresh(self, permit: Permit, *, maximum_age_seconds: float) -> bool:
        """Return whether the permit is young enough to be used.

        Guards against a process that was frozen between grant and use, or
        waited long for a claim: by then the upstream may be leaving. A grant
        that arrived while the process was frozen looks new when it is read,
        so that none is used that was read right after a stall.
        """
        if self._stalls.stalled_within(maximum_age_seconds):
            return False
        age = self._clock.monotonic() - permit.granted_at
        return age <= maximum_age_seconds

    def on_member_gone(self, entry_vm: types.EntryVmId) -> None:
        """Ask elsewhere for all that waits at a dead dispatcher."""
        for ask in list(self._asks_by_key.values()):
            if ask.dispatcher == entry_vm:
                ask.settle(_Silent())

    def on_ranking_changed(self) -> None:
        """Register running work with new dispatchers at once."""
        self._send_digests()

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Take in one answer of a dispatcher."""
        self._unanswered_by_vm.pop(sender, None)
        match message:
            case messages.PermitAcknowledged():
                ask = self._asks_by_key.get(_key(message))
                if ask and ask.timer:
                    ask.timer.cancel()
            case messages.PermitGranted():
                self._on_granted(sender, message)
            case messages.PermitRefused() | messages.PermitNotMine():
                ask = self._asks_by_key.get(_key(message))
                if ask:
                    ask.settle(message)
            case messages.CutWork():
                permit = self._running_by_key.get(_key(message))
                if permit:
                    permit.cut_reason = message.reason
                    if permit.on_cut:
                        permit.on_cut()
            case messages.DigestAcknowledged():
                self._on_digest_acknowledged(sender, message)
            case _:
                pass

    def _on_granted(
        self, sender: types.EntryVmId, message: messages.PermitGranted
    ) -> None:
        ask = self._asks_by_key.get(_key(message))
        if ask is None or ask.answer.done():
            # The request has gone to another dispatcher or is over: the late
            # grant would hold a slot for ever if it were not given back.
            if _key(message) not in self._running_by_key:
                self._send_return(
                    sender,
                    request_id=message.request_id,
                    attempt_id=message.attempt_id,
                    shard=message.shard,
                )
                logs.emit(
                    events.LogEvent.PERMIT_RETURNED,
                    request_id=message.request_id,
                    attempt_id=message.attempt_id,
                    dispatcher=sender,
                )
            return
        ask.settle(message)

    def _on_digest_acknowledged(
        self, sender: types.EntryVmId, message: messages.DigestAcknowledged
    ) -> None:
        for work in message.unknown:
            ask = self._asks_by_key.get(_key(work))
            if ask and ask.dispatcher == sender:
                ask.settle(_Forgotten())

    async def _ask_next(
        self, wanted: PermitWanted, search: _Search
    ) -> Permit | PermitRefusal | None:
        remaining = wanted.limit_at - self._clock.monotonic()
        if remaining <= 0:
            return _refusal(outcomes.Reason.DEADLINE)
        dispatcher = self._choose(wanted.shard, search)
        if dispatcher is None:
            return _refusal(outcomes.Reason.NO_DISPATCHER)
        search.asks += 1
        if search.asks > _ASKS_WITHOUT_PAUSE:
            await asyncio.sleep(min(_REASK_PAUSE_SECONDS, remaining))
        ask = self._send_ask(wanted, dispatcher, search)
        try:
            async with asyncio.timeout(remaining):
                answer = await ask.answer
        except TimeoutError:
            self._abandon(ask)
            return _refusal(outcomes.Reason.DEADLINE, dispatcher=dispatcher)
        except asyncio.CancelledError:
            self._abandon(ask)
            raise
        self._asks_by_key.pop((wanted.request_id, ask.attempt_id), None)
        return self._judge(ask, answer, search)

    def _judge(
        self, ask: _Ask, answer: _Answer, search: _Search
    ) -> Permit | PermitRefusal | None:
        match answer:
            case messages.PermitGranted():
                return self._take(ask, answer)
            case messages.PermitRefused():
                return PermitRefusal(
                    reason=answer.reason,
                    retry_after_seconds=answer.retry_after_seconds,
                    dispatcher=ask.dispatcher,
                )
            case messages.PermitNotMine():
                search.disowned.add(ask.dispatcher)
                search.hint = answer.owner or None
            case _Silent():
                search.silent.add(ask.dispatcher)
                self._remember_silence(ask)
            case _Forgotten():
                pass
        return None

    def _take(self, ask: _Ask, answer: messages.PermitGranted) -> Permit:
        permit = Permit(
            request_id=ask.wanted.request_id,
            attempt_id=ask.attempt_id,
            shard=ask.wanted.shard,
            upstream=answer.upstream,
            dispatcher=ask.dispatcher,
            profile=ask.wanted.profile,
            organisation=ask.wanted.organisation,
            granted_at=self._clock.monotonic(),
        )
        self._running_by_key[_key(permit)] = permit
        return permit

    def _remember_silence(self, ask: _Ask) -> None:
        until = self._clock.monotonic() + SILENCE_MEMORY_SECONDS
        self._silent_until_by_vm[ask.dispatcher] = until
        self._send_return(
            ask.dispatcher,
            request_id=ask.wanted.request_id,
            attempt_id=ask.attempt_id,
            shard=ask.wanted.shard,
        )
        logs.emit(
            events.LogEvent.PERMIT_HANDOVER,
            request_id=ask.wanted.request_id,
            attempt_id=ask.attempt_id,
            shard=ask.wanted.shard,
            dispatcher=ask.dispatcher,
        )

    def _choose(
        self, shard: types.ShardId, search: _Search
    ) -> types.EntryVmId | None:
        if search.hint is not None:
            hint, search.hint = search.hint, None
            if hint not in search.silent and hint not in search.disowned:
                return hint
        audible = [
            vm
            for vm in self._ranking.ranked_for(shard)
            if vm not in search.silent and not self._is_silent(vm)
        ]
        if not audible:
            audible = [
                vm
                for vm in self._ranking.ranked_for(shard)
                if vm not in search.silent
            ]
        return audible[0] if audible else None

    def _is_silent(self, entry_vm: types.EntryVmId) -> bool:
        until = self._silent_until_by_vm.get(entry_vm, 0.0)
        return until > self._clock.monotonic()

    def _first_audible(self, shard: types.ShardId) -> types.EntryVmId | None:
        return self._choose(shard, _Search())

    def _send_ask(
        self,
        wanted: PermitWanted,
        dispatcher: types.EntryVmId,
        search: _Search,
    ) -> _Ask:
        now = self._clock.monotonic()
        loop = asyncio.get_running_loop()
        ask = _Ask(
            wanted=wanted,
            attempt_id=self._next_attempt(wanted.request_id),
            dispatcher=dispatcher,
            answer=loop.create_future(),
        )
        self._asks_by_key[(wanted.request_id, ask.attempt_id)] = ask
        request = messages.PermitRequest(
            request_id=wanted.request_id,
            attempt_id=ask.attempt_id,
            shard=wanted.shard,
            profile=wanted.profile,
            organisation=wanted.organisation,
            remaining_seconds=wanted.limit_at - now,
            remaining_target_seconds=wanted.target_at - now,
            prefix_hash=wanted.prefix_hash,
            prompt_bytes=wanted.prompt_bytes,
            excluded=wanted.excluded,
            revision=wanted.revision,
            handover=self._is_handover(wanted.shard, dispatcher, search),
        )
        if self._transport.send(dispatcher, request):
            ask.timer = loop.call_later(
                ACKNOWLEDGE_TIMEOUT_SECONDS, ask.settle, _Silent()
            )
        else:
            ask.settle(_Silent())
        return ask

    def _is_handover(
        self,
        shard: types.ShardId,
        dispatcher: types.EntryVmId,
        search: _Search,
    ) -> bool:
        if search.silent or dispatcher in search.disowned:
            return True
        ranked = self._ranking.ranked_for(shard)
        return bool(ranked) and ranked[0] != dispatcher

    def _next_attempt(self, request_id: types.RequestId) -> types.AttemptId:
        number = self._attempts_by_request.get(request_id, 0) + 1
        self._attempts_by_request[request_id] = number
        return types.AttemptId(number)

    def _abandon(self, ask: _Ask) -> None:
        self._asks_by_key.pop((ask.wanted.request_id, ask.attempt_id), None)
        ask.settle(_Silent())
        self._send_return(
            ask.dispatcher,
            request_id=ask.wanted.request_id,
            attempt_id=ask.attempt_id,
            shard=ask.wanted.shard,
        )

    def _withdraw(self, request_id: types.RequestId) -> None:
        attempts = self._attempts_by_request.get(request_id, 0)
        for number in range(1, attempts + 1):
            key = (request_id, types.AttemptId(number))
            self._asks_by_key.pop(key, None)

    def _send_return(
        self,
        dispatcher: types.EntryVmId,
        *,
        request_id: types.RequestId,
        attempt_id: types.AttemptId,
        shard: types.ShardId,
    ) -> None:
        self._transport.send(
            dispatcher,
            messages.PermitReturn(
                request_id=request_id, attempt_id=attempt_id, shard=shard
            ),
        )

    async def _send_digests_forever(self) -> None:
        while True:
            await asyncio.sleep(DIGEST_PERIOD_SECONDS)
            self._send_digests()

    def _send_digests(self) -> None:
        running: dict[
            tuple[types.EntryVmId, types.ShardId], list[messages.RunningWork]
        ] = {}
        waiting: dict[
            tuple[types.EntryVmId, types.ShardId], list[messages.WaitingWork]
        ] = {}
        for permit in self._running_by_key.values():
            owner = self._first_audible(permit.shard) or permit.dispatcher
            running.setdefault((owner, permit.shard), []).append(
                self._running_work(permit)
            )
        for ask in self._asks_by_key.values():
            waiting.setdefault((ask.dispatcher, ask.wanted.shard), []).append(
                messages.WaitingWork(
                    request_id=ask.wanted.request_id,
                    attempt_id=ask.attempt_id,
                )
            )
        for dispatcher, shard in running.keys() | waiting.keys():
            digest = messages.WorkDigest(
                shard=shard,
                running=tuple(running.get((dispatcher, shard), ())),
                waiting=tuple(waiting.get((dispatcher, shard), ())),
            )
            self._send_digest(dispatcher, digest)

    def _send_digest(
        self, dispatcher: types.EntryVmId, digest: messages.WorkDigest
    ) -> None:
        unanswered = self._unanswered_by_vm.get(dispatcher, 0)
        if unanswered >= _DIGESTS_UNANSWERED:
            # A frozen dispatcher has acknowledged the requests, so their own
            # timers are off; its silence on digests is what shows it.
            self._unanswered_by_vm.pop(dispatcher, None)
            self.on_member_gone(dispatcher)
            return
        self._unanswered_by_vm[dispatcher] = unanswered + 1
        self._transport.send(dispatcher, digest)

    def _running_work(self, permit: Permit) -> messages.RunningWork:
        return messages.RunningWork(
            request_id=permit.request_id,
            attempt_id=permit.attempt_id,
            upstream=permit.upstream,
            profile=permit.profile,
            organisation=permit.organisation,
            running_seconds=self._clock.monotonic() - permit.granted_at,
            first_token_seconds=permit.first_token_seconds,
            tokens=permit.tokens,
        )


_Keyed = (
    Permit
    | messages.PermitAcknowledged
    | messages.PermitGranted
    | messages.PermitRefused
    | messages.PermitNotMine
    | messages.CutWork
    | messages.WaitingWork
)


def _key(item: _Keyed) -> _Key:
    return (item.request_id, item.attempt_id)


def _refusal(
    reason: outcomes.Reason, *, dispatcher: types.EntryVmId | None = None
) -> PermitRefusal:
    return PermitRefusal(
        reason=reason, retry_after_seconds=1.0, dispatcher=dispatcher
    )
