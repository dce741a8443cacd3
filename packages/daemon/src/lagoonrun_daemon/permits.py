"""Obtain permits from dispatchers and report how they were used.

The entry VM ranked first for a shard replies to permit messages. If it does
not reply, the next-ranked one is asked. A grant that arrives late is returned,
which is possible because each grant names its request and attempt.
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

_REQUESTS_WITHOUT_PAUSE = 4
_DEFAULT_RETRY_AFTER_SECONDS = 1.0


class PermitClient:
    """Request permits from dispatchers on behalf of one ingress.

    Parameters
    ----------
    entry_vm
        This entry VM.
    ranking
        Order in which entry VMs dispatch each shard.
    transport
        Sends messages to dispatchers, including this entry VM's own.
    clock
        Source of time.
    stalls
        Detects times in which this process did not run.
    timing
        Timeouts and periods of the exchange with dispatchers.
    domains
        Records which domains reply.
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
            skip_seconds=self._timing.skip_seconds,
        )
        self._unanswered = work_digests.UnansweredDigests(
            limit=self._timing.unanswered_digests
        )
        self._timers = reply_timers.ReplyTimers(
            timing=self._timing,
            clock=clock,
            received_count=lambda dispatcher: self._messages_by_vm[dispatcher],
            on_unanswered=self._on_unanswered,
        )
        self._empty_digests = work_digests.EmptyDigests(
            digests=self._timing.empty_digests
        )
        self._pending_by_key: dict[
            permit_types.AttemptKey, permit_types.PendingRequest
        ] = {}
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
        """Number of requests that wait for a dispatcher's reply."""
        return len(self._pending_by_key)

    @property
    def running(self) -> int:
        """Number of permits in use."""
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
        """Return a permit, or the reason why there is none.

        A refusal is returned as soon as it is known, at the latest when the
        request's time limit has passed.
        """
        search = dispatcher_search.SearchState()
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
        """Report the end of a granted request to the current dispatcher.

        Also reports it to the dispatcher that granted the permit, which may
        dispatch the shard again later.
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
        """Drop the attempt counter of a request that has ended."""
        self._attempts_by_request.pop(request_id, None)

    def is_fresh(
        self, permit: permit_types.Permit, *, maximum_age_seconds: float
    ) -> bool:
        """Return whether the permit is recent enough to be used.

        If the process was frozen after the grant or waited long for a claim,
        the upstream may be leaving by now. A grant that arrived during the
        freeze looks new when it is read, so a permit that was requested
        before a stall is never used. One requested after it is valid as usual.
        """
        if self._stalls.stalled_since(permit.asked_at):
            return False
        age = self._clock.monotonic() - permit.granted_at
        return age <= maximum_age_seconds

    def on_member_gone(self, entry_vm: types.EntryVmId) -> None:
        """Send the requests that wait at a dead dispatcher to other ones."""
        for pending in list(self._pending_by_key.values()):
            if pending.dispatcher == entry_vm:
                pending.settle(permit_types.DispatcherSilent())

    def on_ranking_changed(self) -> None:
        """Register running requests with new dispatchers immediately."""
        for addressed in self._due_digests():
            self._transport.send(addressed.dispatcher, addressed.digest)

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Process one message of a dispatcher."""
        self._messages_by_vm[sender] += 1
        self._unanswered.record_message(sender)
        if self._search.record_message(sender):
            self._move_back_to(sender)
        match message:
            case messages.PermitAcknowledged():
                pending = self._pending_by_key.get(_key_of(message))
                if pending:
                    pending.acknowledge()
                    self._domains.record_reply(_domain_of(pending))
            case messages.PermitGranted():
                self._on_granted(sender, message)
            case messages.PermitRefused() | messages.PermitNotMine():
                pending = self._pending_by_key.get(_key_of(message))
                if pending:
                    pending.settle(message)
            case messages.CutWork():
                self._on_cut(message)
            case messages.DigestAcknowledged():
                self._on_digest_acknowledged(sender, message)
            case _:
                pass

    def _move_back_to(self, dispatcher: types.EntryVmId) -> None:
        """Return to a dispatcher that was unresponsive and replies again.

        While two entry VMs dispatch one shard, each grants all of its slots
        and the runners are oversubscribed. Therefore the dispatcher
        immediately gets the requests that others have granted meanwhile and
        the requests that wait at them.
        """
        self.on_ranking_changed()
        for pending in list(self._pending_by_key.values()):
            owner = self._search.owner_of(pending.wanted.shard)
            if owner == dispatcher != pending.dispatcher:
                self._send_return(
                    pending.dispatcher, pending.key, pending.wanted.shard
                )
                pending.settle(
                    permit_types.DispatcherReturned(dispatcher=dispatcher)
                )

    def _on_granted(
        self, sender: types.EntryVmId, message: messages.PermitGranted
    ) -> None:
        key = _key_of(message)
        pending = self._pending_by_key.get(key)
        if pending is not None and not pending.reply.done():
            pending.settle(message)
            return
        if key in self._running_by_key:
            return
        # The request has moved to another dispatcher or has ended: a late
        # grant that is not returned would occupy its slot indefinitely.
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
            pending = self._pending_by_key.get(_key_of(work))
            if pending and pending.dispatcher == sender:
                pending.settle(permit_types.RequestUnknown())

    async def _ask_next(
        self,
        wanted: permit_types.PermitWanted,
        search: dispatcher_search.SearchState,
    ) -> permit_types.Permit | permit_types.PermitRefusal | None:
        """Ask one dispatcher; return None if another one has to be asked."""
        remaining = wanted.limit_at - self._clock.monotonic()
        if remaining <= 0:
            return _refusal(outcomes.Reason.DEADLINE)
        if search.silent and self._silence_limit_passed(wanted):
            return _refusal(outcomes.Reason.NO_DISPATCHER)
        dispatcher = self._search.choose(wanted.shard, search)
        if dispatcher is None:
            return _refusal(outcomes.Reason.NO_DISPATCHER)
        search.asks += 1
        if search.asks > _REQUESTS_WITHOUT_PAUSE:
            pause = min(self._timing.ask_again_seconds, remaining)
            await asyncio.sleep(pause)
        pending = self._send_ask(wanted, dispatcher, search)
        try:
            async with asyncio.timeout(remaining):
                reply = await pending.reply
        except TimeoutError:
            self._abandon(pending)
            return _refusal(outcomes.Reason.DEADLINE, dispatcher=dispatcher)
        except asyncio.CancelledError:
            self._abandon(pending)
            raise
        self._pending_by_key.pop(pending.key, None)
        return self._on_reply(pending, reply, search)

    def _on_reply(
        self,
        pending: permit_types.PendingRequest,
        reply: permit_types.Reply,
        search: dispatcher_search.SearchState,
    ) -> permit_types.Permit | permit_types.PermitRefusal | None:
        match reply:
            case messages.PermitGranted():
                return self._accept_grant(pending, reply)
            case messages.PermitRefused():
                return permit_types.PermitRefusal(
                    reason=reply.reason,
                    retry_after_seconds=reply.retry_after_seconds,
                    dispatcher=pending.dispatcher,
                )
            case messages.PermitNotMine():
                search.declined.add(pending.dispatcher)
                search.hint = reply.owner or None
            case permit_types.DispatcherSilent():
                search.silent.add(pending.dispatcher)
                self._on_silent(pending)
            case permit_types.WaitGivenUp():
                self._send_return(
                    pending.dispatcher, pending.key, pending.wanted.shard
                )
                return _refusal(
                    outcomes.Reason.NO_DISPATCHER, dispatcher=pending.dispatcher
                )
            case permit_types.DispatcherReturned():
                search.silent.discard(reply.dispatcher)
            case permit_types.RequestUnknown():
                pass
        return None

    def _accept_grant(
        self,
        pending: permit_types.PendingRequest,
        reply: messages.PermitGranted,
    ) -> permit_types.Permit:
        permit = permit_types.Permit(
            key=pending.key,
            shard=pending.wanted.shard,
            upstream=reply.upstream,
            dispatcher=pending.dispatcher,
            profile=pending.wanted.profile,
            organisation=pending.wanted.organisation,
            asked_at=pending.asked_at,
            granted_at=self._clock.monotonic(),
        )
        self._running_by_key[permit.key] = permit
        self._empty_digests.record_grant(permit.dispatcher, permit.shard)
        return permit

    def _on_silent(self, pending: permit_types.PendingRequest) -> None:
        """Skip an unresponsive dispatcher and withdraw the request there."""
        self._record_silence(pending)
        self._send_return(pending.dispatcher, pending.key, pending.wanted.shard)
        logs.emit(
            events.LogEvent.PERMIT_HANDOVER,
            request_id=pending.key.request_id,
            attempt_id=pending.key.attempt_id,
            shard=pending.wanted.shard,
            dispatcher=pending.dispatcher,
        )

    def _record_silence(self, pending: permit_types.PendingRequest) -> None:
        self._domains.record_silence(_domain_of(pending), pending.dispatcher)
        if self._search.record_silence(pending.dispatcher):
            # Otherwise the next dispatcher would grant slots that are in use.
            self.on_ranking_changed()

    def _send_ask(
        self,
        wanted: permit_types.PermitWanted,
        dispatcher: types.EntryVmId,
        search: dispatcher_search.SearchState,
    ) -> permit_types.PendingRequest:
        loop = asyncio.get_running_loop()
        now = self._clock.monotonic()
        self._stalls.record_tick(now)
        pending = permit_types.PendingRequest(
            wanted=wanted,
            key=self._next_key(wanted.request_id),
            dispatcher=dispatcher,
            asked_at=now,
            reply=loop.create_future(),
            messages_before=self._messages_by_vm[dispatcher],
            extensions_left=self._timing.slow_acknowledgements,
        )
        self._pending_by_key[pending.key] = pending
        request = self._request_of(pending, search)
        if not self._transport.send(dispatcher, request):
            pending.settle(permit_types.DispatcherSilent())
        elif dispatcher != self._entry_vm:
            self._timers.watch(pending)
        return pending

    def _silence_limit_passed(self, wanted: permit_types.PermitWanted) -> bool:
        silence = wanted.silence
        return silence is not None and self._clock.monotonic() >= silence.at

    def _on_unanswered(self, pending: permit_types.PendingRequest) -> None:
        """Record that an abandoned permit request was never acknowledged."""
        if self._search.received_since(pending.dispatcher, pending.asked_at):
            self._domains.record_reply(_domain_of(pending))
        else:
            self._record_silence(pending)

    def _request_of(
        self,
        pending: permit_types.PendingRequest,
        search: dispatcher_search.SearchState,
    ) -> messages.PermitRequest:
        now = self._clock.monotonic()
        wanted = pending.wanted
        return messages.PermitRequest(
            request_id=pending.key.request_id,
            attempt_id=pending.key.attempt_id,
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
                wanted.shard, pending.dispatcher, search
            ),
        )

    def _next_key(self, request_id: types.RequestId) -> permit_types.AttemptKey:
        number = self._attempts_by_request.get(request_id, 0) + 1
        self._attempts_by_request[request_id] = number
        return permit_types.AttemptKey(
            request_id=request_id, attempt_id=types.AttemptId(number)
        )

    def _abandon(self, pending: permit_types.PendingRequest) -> None:
        self._pending_by_key.pop(pending.key, None)
        pending.settle(permit_types.DispatcherSilent())
        self._send_return(pending.dispatcher, pending.key, pending.wanted.shard)

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
        """Send all digests and skip dispatchers that reply to none.

        The timers of acknowledged requests are cancelled: if their dispatcher
        freezes, only its missing replies to digests reveal it.
        """
        due = self._due_digests()
        dispatchers = [addressed.dispatcher for addressed in due]
        silent = self._unanswered.begin_period(dispatchers)
        # Empty digests are no heartbeat: missing replies are not counted.
        for addressed in [*due, *self._empty_digests.begin_period(due)]:
            if addressed.dispatcher not in silent:
                self._transport.send(addressed.dispatcher, addressed.digest)
        for dispatcher in silent:
            self._search.record_silence(dispatcher)
            self.on_member_gone(dispatcher)
        if silent:
            self.on_ranking_changed()

    def _due_digests(self) -> list[work_digests.AddressedDigest]:
        return list(
            work_digests.compose_digests(
                running=self._running_by_key.values(),
                waiting=self._pending_by_key.values(),
                owner_of=self._search.owner_of,
                now=self._clock.monotonic(),
            )
        )


def _domain_of(pending: permit_types.PendingRequest) -> types.FailureDomain:
    return membership_shards.domain_of(pending.wanted.shard)


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
        retry_after_seconds=_DEFAULT_RETRY_AFTER_SECONDS,
        dispatcher=dispatcher,
    )
