"""The dispatcher of the shards that this entry VM is asked to dispatch.

It turns permit messages into scheduler events and scheduler actions into
messages. Its state is soft: after its loss every ingress registers what it
has in flight with the next-ranked entry VM.
"""

import asyncio
import dataclasses
import logging
from collections.abc import Sequence
from typing import Protocol

from lagoonrun_config import model
from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, outcomes, types
from lagoonrun_daemon import (
    explanations,
    lost_ingresses,
    shards,
    transport,
)
from lagoonrun_policy import features, scheduler
from lagoonrun_policy import messages as policy_messages
from lagoonrun_policy import shards as policy_shards
from lagoonrun_protocol import messages

_LONGEST_SLEEP_SECONDS = 1.0


class ShardView(Protocol):
    """What the dispatcher asks of the daemon's view of the fleet."""

    def owner_of(self, shard: types.ShardId) -> types.EntryVmId | None:
        """Return the entry VM ranked first for `shard`."""

    def leaving_upstreams(self) -> frozenset[types.UpstreamId]:
        """Return the upstreams that get no new work."""


@dataclasses.dataclass(kw_only=True)
class _OwnedShard:
    shard: shards.Shard
    scheduler: scheduler.ShardScheduler
    timer: asyncio.TimerHandle | None = None
    # Ingresses with a request in this shard's queue, to be told of a release.
    waiting_by_key: dict[policy_messages.PermitKey, types.EntryVmId]
    leaving: frozenset[types.UpstreamId]
    ejected: frozenset[types.UpstreamId] = frozenset()


class Dispatcher:
    """Own the schedulers of shards and answer permit messages.

    Parameters
    ----------
    entry_vm
        This entry VM.
    view
        Ranking and upstream states.
    transport
        Carries the answers.
    explanations
        Keeps a record of each decision.
    clock
        Source of time.
    switches
        Which parts of the order of service are in use; all that are meant
        for service if None.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        view: ShardView,
        transport: transport.Transport,
        explanations: explanations.ExplanationRing,
        clock: clocks.Clock,
        switches: features.Features | None = None,
    ) -> None:
        self._switches = switches or features.Features()
        self._entry_vm = entry_vm
        self._view = view
        self._transport = transport
        self._explanations = explanations
        self._clock = clock
        self._configuration: model.Configuration | None = None
        self._shards_by_id: dict[types.ShardId, shards.Shard] = {}
        self._owned_by_id: dict[types.ShardId, _OwnedShard] = {}
        self._stopping = False
        self._lost_ingresses = lost_ingresses.LostIngresses(
            on_silent=self.on_ingress_gone
        )

    @property
    def owned_shards(self) -> Sequence[types.ShardId]:
        """Shards that this entry VM dispatches at present."""
        return tuple(self._owned_by_id)

    def scheduler_of(
        self, shard: types.ShardId
    ) -> scheduler.ShardScheduler | None:
        """Return the scheduler of an owned shard, for status pages."""
        owned = self._owned_by_id.get(shard)
        return owned.scheduler if owned else None

    def ejected_count(self) -> int:
        """Return how many runners of the owned shards are ejected."""
        return sum(
            len(owned.scheduler.ejected_runners())
            for owned in self._owned_by_id.values()
        )

    def summaries(self) -> Sequence[policy_shards.ShardView]:
        """Return what other domains need to know of the owned shards."""
        now = self._clock.monotonic()
        return [
            owned.scheduler.summary(now=now)
            for owned in self._owned_by_id.values()
        ]

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Take over a new revision for all shards."""
        self._configuration = configuration
        self._shards_by_id = {
            shard.id: shard for shard in shards.shards_of(configuration)
        }
        for shard_id in list(self._owned_by_id):
            if shard_id not in self._shards_by_id:
                self._release(shard_id)
            else:
                self._owned_by_id[shard_id].shard = self._shards_by_id[shard_id]
                self._refresh_policy(shard_id)

    def on_upstream_changed(
        self, upstream: types.UpstreamId, *, leaving: bool
    ) -> None:
        """Pass an upstream's state on to the scheduler of its shard.

        A new policy would not do: it says nothing of liveness, so that an
        upstream that has come back would get no work until a handover.
        """
        state = (
            policy_messages.UpstreamState.LEAVING
            if leaving
            else policy_messages.UpstreamState.LIVE
        )
        event = policy_messages.UpstreamChanged(upstream=upstream, state=state)
        for shard_id, owned in list(self._owned_by_id.items()):
            if any(known.id == upstream for known in owned.shard.upstreams):
                self._handle(shard_id, event)

    def on_ranking_changed(self) -> None:
        """Release shards that another entry VM is ranked first for."""
        for shard_id in list(self._owned_by_id):
            if self._view.owner_of(shard_id) != self._entry_vm:
                self._release(shard_id)

    def on_ingress_gone(self, ingress: types.EntryVmId) -> None:
        """Forget what a dead entry VM had running and waiting."""
        event = policy_messages.IngressGone(ingress=ingress)
        for shard_id in list(self._owned_by_id):
            self._handle(shard_id, event)

    def on_link_lost(self, ingress: types.EntryVmId) -> None:
        """Take in the loss of a connection with an entry VM."""
        self._lost_ingresses.note_lost(ingress)

    def on_load_report(
        self, shard: types.ShardId, report: policy_messages.LoadReported
    ) -> None:
        """Pass an engine's load report on, if the shard is owned."""
        if shard in self._owned_by_id:
            self._handle(shard, report)

    def stop_owning(self) -> None:
        """Hand all shards over to other entry VMs, if there are any.

        As the last one that lives, this entry VM dispatches to its end, so
        that a planned stop refuses nothing that it could still serve.
        """
        self._stopping = True
        self.on_ranking_changed()

    def close(self) -> None:
        """Cancel all timers."""
        self._lost_ingresses.close()
        for owned in self._owned_by_id.values():
            if owned.timer:
                owned.timer.cancel()
        self._owned_by_id.clear()

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Take in one permit message of an ingress."""
        self._lost_ingresses.note_heard(sender)
        match message:
            case messages.PermitRequest():
                self._on_request(sender, message)
            case messages.PermitReturn():
                self._on_return(message)
            case messages.PermitEnd():
                self._on_end(message)
            case messages.WorkDigest():
                self._on_digest(sender, message)
            case _:
                pass

    def _on_request(
        self, sender: types.EntryVmId, message: messages.PermitRequest
    ) -> None:
        owner = self._view.owner_of(message.shard)
        known = message.shard in self._shards_by_id
        others_turn = owner != self._entry_vm and not message.handover
        handed_over = self._stopping and owner != self._entry_vm
        if handed_over or not known or others_turn:
            self._send_not_mine(sender, message, owner)
            return
        owned = self._own(message.shard)
        key = _key_of(message)
        profiles = self._configuration.profiles_by_name
        if message.profile not in profiles:
            self._transport.send(
                sender,
                messages.PermitRefused(
                    request_id=message.request_id,
                    attempt_id=message.attempt_id,
                    reason=outcomes.Reason.UNCONFIGURED,
                    retry_after_seconds=1.0,
                ),
            )
            return
        self._transport.send(
            sender,
            messages.PermitAcknowledged(
                request_id=message.request_id, attempt_id=message.attempt_id
            ),
        )
        owned.waiting_by_key[key] = sender
        self._handle(
            message.shard,
            policy_messages.PermitRequested(
                key=key,
                ingress=sender,
                profile=message.profile,
                organisation=message.organisation,
                remaining_seconds=message.remaining_seconds,
                remaining_target_seconds=message.remaining_target_seconds,
                prefix_hash=message.prefix_hash,
                prompt_bytes=message.prompt_bytes,
                excluded=message.excluded,
                model=message.model,
            ),
        )

    def _send_not_mine(
        self,
        sender: types.EntryVmId,
        message: messages.PermitRequest,
        owner: types.EntryVmId | None,
    ) -> None:
        named = owner or types.EntryVmId("")
        if named == self._entry_vm:
            named = types.EntryVmId("")
        self._transport.send(
            sender,
            messages.PermitNotMine(
                request_id=message.request_id,
                attempt_id=message.attempt_id,
                owner=named,
            ),
        )

    def _on_return(self, message: messages.PermitReturn) -> None:
        if message.shard not in self._owned_by_id:
            return
        key = _key_of(message)
        self._owned_by_id[message.shard].waiting_by_key.pop(key, None)
        self._handle(message.shard, policy_messages.PermitReturned(key=key))

    def _on_end(self, message: messages.PermitEnd) -> None:
        if message.shard not in self._owned_by_id:
            return
        self._handle(
            message.shard,
            policy_messages.PermitEnded(
                key=_key_of(message),
                upstream=message.upstream,
                outcome=message.outcome,
                reason=message.reason,
                first_token_seconds=message.first_token_seconds,
                total_seconds=message.total_seconds,
                tokens=message.tokens,
            ),
        )
        self._log_ejections(self._owned_by_id[message.shard])

    def _log_ejections(self, owned: _OwnedShard) -> None:
        """Tell which runners failed out of service, or came back."""
        ejected = owned.scheduler.ejected_runners()
        for upstream in sorted(ejected - owned.ejected):
            logs.emit(
                events.LogEvent.UPSTREAM_EJECTED,
                level=logging.WARNING,
                upstream=upstream,
                shard=owned.shard.id,
            )
        for upstream in sorted(owned.ejected - ejected):
            logs.emit(
                events.LogEvent.UPSTREAM_RESTORED,
                upstream=upstream,
                shard=owned.shard.id,
            )
        owned.ejected = ejected

    def _on_digest(
        self, sender: types.EntryVmId, message: messages.WorkDigest
    ) -> None:
        if message.shard not in self._shards_by_id:
            return
        if message.shard not in self._owned_by_id:
            is_empty = not message.running and not message.waiting
            if is_empty or self._view.owner_of(message.shard) != self._entry_vm:
                return
            self._own(message.shard)
        owned = self._owned_by_id[message.shard]
        unknown = tuple(
            work
            for work in message.waiting
            if owned.waiting_by_key.get(_key_of(work)) != sender
        )
        self._handle(message.shard, _digest_event(sender, message))
        for work in message.running:
            if work.tokens:
                self._handle(message.shard, _progress_event(work))
        self._transport.send(
            sender,
            messages.DigestAcknowledged(shard=message.shard, unknown=unknown),
        )

    def _own(self, shard_id: types.ShardId) -> _OwnedShard:
        owned = self._owned_by_id.get(shard_id)
        if owned is None:
            owned = _OwnedShard(
                shard=self._shards_by_id[shard_id],
                scheduler=scheduler.ShardScheduler(
                    policy=self._policy(shard_id), switches=self._switches
                ),
                waiting_by_key={},
                leaving=self._view.leaving_upstreams(),
            )
            self._owned_by_id[shard_id] = owned
            logs.emit(events.LogEvent.SHARD_OWNED, shard=shard_id)
        return owned

    def _release(self, shard_id: types.ShardId) -> None:
        """Tell all that wait here to ask the next dispatcher at once."""
        owned = self._owned_by_id.pop(shard_id)
        if owned.timer:
            owned.timer.cancel()
        owner = self._view.owner_of(shard_id)
        named = owner if owner and owner != self._entry_vm else None
        for key, ingress in owned.waiting_by_key.items():
            self._transport.send(
                ingress,
                messages.PermitNotMine(
                    request_id=key.request_id,
                    attempt_id=key.attempt_id,
                    owner=named or types.EntryVmId(""),
                ),
            )
        logs.emit(
            events.LogEvent.SHARD_RELEASED,
            shard=shard_id,
            owner=named,
            waiting=len(owned.waiting_by_key),
        )

    def _policy(self, shard_id: types.ShardId) -> policy_messages.ShardPolicy:
        return shards.shard_policy(
            self._configuration,
            self._shards_by_id[shard_id],
            leaving=self._view.leaving_upstreams(),
        )

    def _refresh_policy(self, shard_id: types.ShardId) -> None:
        event = policy_messages.PolicyChanged(policy=self._policy(shard_id))
        self._handle(shard_id, event)
        owned = self._owned_by_id[shard_id]
        leaving = self._view.leaving_upstreams()
        returned = owned.leaving - leaving
        owned.leaving = leaving
        # A policy never turns a leaving runner live again, since its default
        # says nothing of liveness: without this event an upstream that came
        # back, or whose drain was ended, would stay without work for ever.
        for upstream in sorted(returned):
            self._handle(
                shard_id,
                policy_messages.UpstreamChanged(
                    upstream=upstream, state=policy_messages.UpstreamState.LIVE
                ),
            )

    def _handle(
        self, shard_id: types.ShardId, event: policy_messages.Event
    ) -> None:
        owned = self._owned_by_id[shard_id]
        now = self._clock.monotonic()
        for action in owned.scheduler.handle(event, now=now):
            self._carry_out(owned, action)
        self._set_timer(owned)

    def _carry_out(
        self, owned: _OwnedShard, action: policy_messages.Action
    ) -> None:
        key = action.key
        match action:
            case policy_messages.Grant():
                owned.waiting_by_key.pop(key, None)
                self._explanations.add_decision(action.record)
                _log_decision(action.record)
                answer: messages.Message = messages.PermitGranted(
                    request_id=key.request_id,
                    attempt_id=key.attempt_id,
                    upstream=action.upstream,
                    shard=owned.shard.id,
                )
            case policy_messages.Refuse():
                owned.waiting_by_key.pop(key, None)
                self._explanations.add_decision(action.record)
                _log_decision(action.record)
                answer = messages.PermitRefused(
                    request_id=key.request_id,
                    attempt_id=key.attempt_id,
                    reason=action.reason,
                    retry_after_seconds=action.retry_after_seconds,
                )
            case policy_messages.Cut():
                logs.emit(
                    events.LogEvent.REQUEST_CUT,
                    request_id=key.request_id,
                    attempt_id=key.attempt_id,
                    shard=owned.shard.id,
                    reason=action.reason.value,
                )
                answer = messages.CutWork(
                    request_id=key.request_id,
                    attempt_id=key.attempt_id,
                    reason=action.reason,
                )
        self._transport.send(action.ingress, answer)

    def _set_timer(self, owned: _OwnedShard) -> None:
        if owned.timer:
            owned.timer.cancel()
            owned.timer = None
        now = self._clock.monotonic()
        wake = owned.scheduler.next_wake(now=now)
        if wake is None:
            return
        delay = min(max(wake - now, 0.0), _LONGEST_SLEEP_SECONDS)
        owned.timer = asyncio.get_running_loop().call_later(
            delay, self._on_timer, owned.shard.id
        )

    def _on_timer(self, shard_id: types.ShardId) -> None:
        if shard_id in self._owned_by_id:
            self._handle(shard_id, policy_messages.Ticked())


KeyedMessage = (
    messages.PermitRequest
    | messages.PermitReturn
    | messages.PermitEnd
    | messages.RunningWork
    | messages.WaitingWork
)


def _key_of(message: KeyedMessage) -> policy_messages.PermitKey:
    return policy_messages.PermitKey(
        request_id=message.request_id, attempt_id=message.attempt_id
    )


def _digest_event(
    sender: types.EntryVmId, message: messages.WorkDigest
) -> policy_messages.InFlightDigest:
    return policy_messages.InFlightDigest(
        ingress=sender,
        running=tuple(
            policy_messages.InFlight(
                key=_key_of(work),
                upstream=work.upstream,
                profile=work.profile,
                organisation=work.organisation,
                running_seconds=work.running_seconds,
                tokens=work.tokens,
            )
            for work in message.running
        ),
        waiting=tuple(_key_of(work) for work in message.waiting),
    )


def _progress_event(
    work: messages.RunningWork,
) -> policy_messages.WorkProgressed:
    return policy_messages.WorkProgressed(
        key=_key_of(work),
        tokens=work.tokens,
        first_token_seconds=work.first_token_seconds,
    )


def _log_decision(record: policy_messages.DecisionRecord) -> None:
    granted = record.upstream is not None
    logs.emit(
        events.LogEvent.REQUEST_ROUTED
        if granted
        else events.LogEvent.REQUEST_REFUSED,
        level=logging.INFO,
        request_id=record.key.request_id,
        attempt_id=record.key.attempt_id,
        shard=record.shard,
        profile=record.profile,
        tier=record.tier,
        organisation=record.organisation,
        upstream=record.upstream,
        reason=record.reason.value,
        waited_seconds=round(record.waited_seconds, 4),
        queue_length=record.queue_length,
        revision=record.revision,
    )
