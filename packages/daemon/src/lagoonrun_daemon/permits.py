"""Obtain permits from dispatchers, and report what became of them.

Permit messages are answered by the entry VM ranked first for a shard. One
that stays silent is passed over for the next-ranked; whatever it grants late
is given back, because each grant names its request and attempt.
"""

import asyncio
import collections

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, outcomes, types
from lagoonrun_daemon import (
    dispatcher_search,
    permit_types,
    reach,
    reply_timers,
    stalls,
    transport,
    work_digests,
)
from lagoonrun_membership import shards as membership_shards
from lagoonrun_protocol import messages

_ASKS_WITHOUT_PAUSE = 4
_FLAT_RETRY_AFTER_SECONDS = 1.0


class PermitClient:
    """Ask dispatchers for permits on behalf of one ingress.

    Parameters
    ----------
    entry_vm
        This entry VM.
    ranking
        Who dispatches which shard.
    transport
        Carries messages to dispatchers, this entry VM's own included.
    clock
        Source of time.
    stalls
        Tells of times in which this process did not run.
    timing
        Times of the exchange.
    domains
        Takes in which domains answer.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        ranking: dispatcher_search.Ranking,
        transport: transport.Transport,
        clock: clocks.Clock,
        stalls: stalls.StallDetector,
        timing: permit_types.PermitTiming | None = None,
        domains: reach.DomainReach | None = None,
    ) -> None:
        self._entry_vm = entry_vm
        self._transport = transport
        self._clock = clock
        self._stalls = stalls
        self._timing = timing or permit_types.PermitTiming()
        self._domains = domains or reach.DomainReach(clock=clock)
        self._search = dispatcher_search.DispatcherSearch(
            ranking=ranking,
            clock=clock,
            memory_seconds=self._timing.silence_memory_seconds,
        )
        self._unanswered = work_digests.UnansweredDigests(
            limit=self._timing.unanswered_digests
        )
        self._timers = reply_timers.AskTimers(
            timing=self._timing,
            clock=clock,
            heard=lambda dispatcher: self._messages_by_vm[dispatcher],
            on_unanswered=self._on_unanswered,
        )
        self._ended_work = work_digests.EndedWork(
            digests=self._timing.empty_digests
        )
        self._asks_by_key: dict[permit_types.AttemptKey, permit_types.Ask] = {}
        self._running_by_key: dict[
            permit_types.AttemptKey, permit_types.Permit
        ] = {}
        self._attempts_by_request: dict[types.RequestId, int] = {}
        self._messages_by_vm: collections.Counter[types.EntryVmId] = (
            collections.Counter()
        )
        self._digest_task: asyncio.Task[None] | None = None

    @property
    def waiting(self) -> int:
        """Requests that wait for a dispatcher's answer."""
        return len(self._asks_by_key)

    @property
    def running(self) -> int:
        """Permits that are in use."""
        return len(self._running_by_key)

    async def start(self) -> None:
        """Start sending digests."""
        self._digest_task = asyncio.create_task(self._send_digests_forever())

    async def close(self) -> None:
        """Stop sending digests."""
        if self._digest_task:
            self._digest_task.cancel()
            await asyncio.gather(self._digest_task, return_exceptions=True)

    async def obtain(
        self, wanted: permit_types.PermitWanted
    ) -> permit_types.Permit | permit_types.PermitRefusal:
        """Return a permit, or why there is none.

        A refusal is returned at once when it is known; at the latest when
        the request's limit has passed.
        """
        search = dispatcher_search.Search()
        while True:
            result = await self._ask_next(wanted, search)
            if result is not None:
                return result

    def give_back(self, permit: permit_types.Permit) -> None:
        """Return a permit that was not used."""
        self._running_by_key.pop(permit.key, None)
        self._send_return(permit.dispatcher, permit.key, permit.shard)

    def finish(
        self,
        permit: permit_types.Permit,
        *,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
        total_seconds: float,
    ) -> None:
        """Report the end of granted work to whoever dispatches now.

        Also to the one that granted it, which may dispatch again later.
        """
        self._running_by_key.pop(permit.key, None)
        end = messages.PermitEnd(
            request_id=permit.key.request_id,
            attempt_id=permit.key.attempt_id,
            shard=permit.shard,
            upstream=permit.upstream,
            outcome=outcome,
            reason=reason,
            first_token_seconds=permit.first_token_seconds,
            total_seconds=total_seconds,
            tokens=permit.tokens,
        )
        self._transport.send(permit.dispatcher, end)
        owner = self._search.owner_of(permit.shard)
        if owner is not None and owner != permit.dispatcher:
            self._transport.send(owner, end)

    def forget_request(self, request_id: types.RequestId) -> None:
        """Drop the attempt counter of a request that is over."""
        self._attempts_by_request.pop(request_id, None)

    def is_fresh(
        self, permit: permit_types.Permit, *, maximum_age_seconds: float
    ) -> bool:
        """Return whether the permit is young enough to be used.

        Guards against a process that was frozen between grant and use, or
        waited long for a claim: by then the upstream may be leaving. A grant
        that arrived while the process was frozen looks new when it is read,
        so that none is used that was asked for before a stall. One that was
        asked for after it is as good as any other.
        """
        if self._stalls.stalled_since(permit.asked_at):
            return False
        age = self._clock.monotonic() - permit.granted_at
        return age <= maximum_age_seconds

    def on_member_gone(self, entry_vm: types.EntryVmId) -> None:
        """Ask elsewhere for all that waits at a dead dispatcher."""
        for ask in list(self._asks_by_key.values()):
            if ask.dispatcher == entry_vm:
                ask.settle(permit_types.Silent())

    def on_ranking_changed(self) -> None:
        """Register running work with new dispatchers at once."""
        for addressed in self._due_digests():
            self._transport.send(addressed.dispatcher, addressed.digest)

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Take in one answer of a dispatcher."""
        self._messages_by_vm[sender] += 1
        self._unanswered.note_sign_of_life(sender)
        if self._search.note_sign_of_life(sender):
            self._return_to(sender)
        match message:
            case messages.PermitAcknowledged():
                ask = self._asks_by_key.get(_key_of(message))
                if ask:
                    ask.acknowledge()
                    self._domains.note_answer(_domain_of(ask))
            case messages.PermitGranted():
                self._on_granted(sender, message)
            case messages.PermitRefused() | messages.PermitNotMine():
                ask = self._asks_by_key.get(_key_of(message))
                if ask:
                    ask.settle(message)
            case messages.CutWork():
                self._on_cut(message)
            case messages.DigestAcknowledged():
                self._on_digest_acknowledged(sender, message)
            case _:
                pass

    def _return_to(self, dispatcher: types.EntryVmId) -> None:
        """Go back to a dispatcher that was silent and is heard again.

        Two that dispatch one shard each grant all of its slots, and the
        runners are overfilled for as long. So it learns at once of what
        others have granted meanwhile, and gets what waits there.
        """
        self.on_ranking_changed()
        for ask in list(self._asks_by_key.values()):
            owner = self._search.owner_of(ask.wanted.shard)
            if owner == dispatcher != ask.dispatcher:
                self._send_return(ask.dispatcher, ask.key, ask.wanted.shard)
                ask.settle(permit_types.CameBack(dispatcher=dispatcher))

    def _on_granted(
        self, sender: types.EntryVmId, message: messages.PermitGranted
    ) -> None:
        key = _key_of(message)
        ask = self._asks_by_key.get(key)
        if ask is not None and not ask.answer.done():
            ask.settle(message)
            return
        if key in self._running_by_key:
            return
        # The request has gone to another dispatcher or is over: the late
        # grant would hold a slot for ever if it were not given back.
        self._send_return(sender, key, message.shard)
        logs.emit(
            events.LogEvent.PERMIT_RETURNED,
            request_id=message.request_id,
            attempt_id=message.attempt_id,
            dispatcher=sender,
        )

    def _on_cut(self, message: messages.CutWork) -> None:
        permit = self._running_by_key.get(_key_of(message))
        if permit is None:
            return
        permit.cut_reason = message.reason
        if permit.on_cut:
            permit.on_cut()

    def _on_digest_acknowledged(
        self, sender: types.EntryVmId, message: messages.DigestAcknowledged
    ) -> None:
        for work in message.unknown:
            ask = self._asks_by_key.get(_key_of(work))
            if ask and ask.dispatcher == sender:
                ask.settle(permit_types.Forgotten())

    async def _ask_next(
        self,
        wanted: permit_types.PermitWanted,
        search: dispatcher_search.Search,
    ) -> permit_types.Permit | permit_types.PermitRefusal | None:
        """Ask one dispatcher; None says that another has to be asked."""
        remaining = wanted.limit_at - self._clock.monotonic()
        if remaining <= 0:
            return _refusal(outcomes.Reason.DEADLINE)
        if search.silent and self._may_not_wait(wanted):
            return _refusal(outcomes.Reason.NO_DISPATCHER)
        dispatcher = self._search.choose(wanted.shard, search)
        if dispatcher is None:
            return _refusal(outcomes.Reason.NO_DISPATCHER)
        search.asks += 1
        if search.asks > _ASKS_WITHOUT_PAUSE:
            pause = min(self._timing.ask_again_seconds, remaining)
            await asyncio.sleep(pause)
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
        self._asks_by_key.pop(ask.key, None)
        return self._judge(ask, answer, search)

    def _judge(
        self,
        ask: permit_types.Ask,
        answer: permit_types.Answer,
        search: dispatcher_search.Search,
    ) -> permit_types.Permit | permit_types.PermitRefusal | None:
        match answer:
            case messages.PermitGranted():
                return self._take(ask, answer)
            case messages.PermitRefused():
                return permit_types.PermitRefusal(
                    reason=answer.reason,
                    retry_after_seconds=answer.retry_after_seconds,
                    dispatcher=ask.dispatcher,
                )
            case messages.PermitNotMine():
                search.disowned.add(ask.dispatcher)
                search.hint = answer.owner or None
            case permit_types.Silent():
                search.silent.add(ask.dispatcher)
                self._give_up_on(ask)
            case permit_types.GaveUp():
                self._send_return(ask.dispatcher, ask.key, ask.wanted.shard)
                return _refusal(
                    outcomes.Reason.NO_DISPATCHER, dispatcher=ask.dispatcher
                )
            case permit_types.CameBack():
                search.silent.discard(answer.dispatcher)
            case permit_types.Forgotten():
                pass
        return None

    def _take(
        self, ask: permit_types.Ask, answer: messages.PermitGranted
    ) -> permit_types.Permit:
        permit = permit_types.Permit(
            key=ask.key,
            shard=ask.wanted.shard,
            upstream=answer.upstream,
            dispatcher=ask.dispatcher,
            profile=ask.wanted.profile,
            organisation=ask.wanted.organisation,
            asked_at=ask.asked_at,
            granted_at=self._clock.monotonic(),
        )
        self._running_by_key[permit.key] = permit
        self._ended_work.note_grant(permit.dispatcher, permit.shard)
        return permit

    def _give_up_on(self, ask: permit_types.Ask) -> None:
        """Pass a silent dispatcher over, and withdraw the request there."""
        self._note_silence(ask)
        self._send_return(ask.dispatcher, ask.key, ask.wanted.shard)
        logs.emit(
            events.LogEvent.PERMIT_HANDOVER,
            request_id=ask.key.request_id,
            attempt_id=ask.key.attempt_id,
            shard=ask.wanted.shard,
            dispatcher=ask.dispatcher,
        )

    def _note_silence(self, ask: permit_types.Ask) -> None:
        self._domains.note_silence(_domain_of(ask), ask.dispatcher)
        if self._search.note_silence(ask.dispatcher):
            # The next dispatcher would else grant slots that are in use.
            self.on_ranking_changed()

    def _send_ask(
        self,
        wanted: permit_types.PermitWanted,
        dispatcher: types.EntryVmId,
        search: dispatcher_search.Search,
    ) -> permit_types.Ask:
        loop = asyncio.get_running_loop()
        now = self._clock.monotonic()
        self._stalls.note(now)
        ask = permit_types.Ask(
            wanted=wanted,
            key=self._next_key(wanted.request_id),
            dispatcher=dispatcher,
            asked_at=now,
            answer=loop.create_future(),
            heard_before=self._messages_by_vm[dispatcher],
            patience_left=self._timing.slow_acknowledgements,
        )
        self._asks_by_key[ask.key] = ask
        request = self._request_of(ask, search)
        if not self._transport.send(dispatcher, request):
            ask.settle(permit_types.Silent())
        elif dispatcher != self._entry_vm:
            self._timers.watch(ask)
        return ask

    def _may_not_wait(self, wanted: permit_types.PermitWanted) -> bool:
        silence = wanted.silence
        return silence is not None and self._clock.monotonic() >= silence.at

    def _on_unanswered(self, ask: permit_types.Ask) -> None:
        """Take in that a dispatcher never acknowledged a given-up ask."""
        if self._search.heard_since(ask.dispatcher, ask.asked_at):
            self._domains.note_answer(_domain_of(ask))
        else:
            self._note_silence(ask)

    def _request_of(
        self, ask: permit_types.Ask, search: dispatcher_search.Search
    ) -> messages.PermitRequest:
        now = self._clock.monotonic()
        wanted = ask.wanted
        return messages.PermitRequest(
            request_id=ask.key.request_id,
            attempt_id=ask.key.attempt_id,
            shard=wanted.shard,
            profile=wanted.profile,
            organisation=wanted.organisation,
            remaining_seconds=wanted.limit_at - now,
            remaining_target_seconds=wanted.target_at - now,
            prefix_hash=wanted.prefix_hash,
            prompt_bytes=wanted.prompt_bytes,
            excluded=wanted.excluded,
            revision=wanted.revision,
            model=wanted.model,
            handover=self._search.is_handover(
                wanted.shard, ask.dispatcher, search
            ),
        )

    def _next_key(self, request_id: types.RequestId) -> permit_types.AttemptKey:
        number = self._attempts_by_request.get(request_id, 0) + 1
        self._attempts_by_request[request_id] = number
        return permit_types.AttemptKey(
            request_id=request_id, attempt_id=types.AttemptId(number)
        )

    def _abandon(self, ask: permit_types.Ask) -> None:
        self._asks_by_key.pop(ask.key, None)
        ask.settle(permit_types.Silent())
        self._send_return(ask.dispatcher, ask.key, ask.wanted.shard)

    def _send_return(
        self,
        dispatcher: types.EntryVmId,
        key: permit_types.AttemptKey,
        shard: types.ShardId,
    ) -> None:
        self._transport.send(
            dispatcher,
            messages.PermitReturn(
                request_id=key.request_id,
                attempt_id=key.attempt_id,
                shard=shard,
            ),
        )

    async def _send_digests_forever(self) -> None:
        while True:
            await asyncio.sleep(self._timing.digest_period_seconds)
            self.send_periodic_digests()

    def send_periodic_digests(self) -> None:
        """Send all digests, and give up on dispatchers that answer none.

        A frozen dispatcher has acknowledged the requests, so that their own
        timers are off; its silence on digests is what shows it.
        """
        due = self._due_digests()
        dispatchers = [addressed.dispatcher for addressed in due]
        silent = self._unanswered.begin_period(dispatchers)
        # Empty digests are no heartbeat: nobody waits for their answer.
        for addressed in [*due, *self._ended_work.begin_period(due)]:
            if addressed.dispatcher not in silent:
                self._transport.send(addressed.dispatcher, addressed.digest)
        for dispatcher in silent:
            self._search.note_silence(dispatcher)
            self.on_member_gone(dispatcher)
        if silent:
            self.on_ranking_changed()

    def _due_digests(self) -> list[work_digests.AddressedDigest]:
        return list(
            work_digests.compose_digests(
                running=self._running_by_key.values(),
                waiting=self._asks_by_key.values(),
                owner_of=self._search.owner_of,
                now=self._clock.monotonic(),
            )
        )


def _domain_of(ask: permit_types.Ask) -> types.FailureDomain:
    return membership_shards.domain_of(ask.wanted.shard)


_Keyed = (
    messages.PermitAcknowledged
    | messages.PermitGranted
    | messages.PermitRefused
    | messages.PermitNotMine
    | messages.CutWork
    | messages.WaitingWork
)


def _key_of(message: _Keyed) -> permit_types.AttemptKey:
    return permit_types.AttemptKey(
        request_id=message.request_id, attempt_id=message.attempt_id
    )


def _refusal(
    reason: outcomes.Reason, *, dispatcher: types.EntryVmId | None = None
) -> permit_types.PermitRefusal:
    return permit_types.PermitRefusal(
        reason=reason,
        retry_after_seconds=_FLAT_RETRY_AFTER_SECONDS,
        dispatcher=dispatcher,
    )
