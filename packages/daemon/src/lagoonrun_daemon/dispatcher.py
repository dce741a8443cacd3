"""The dispatcher of the shards that this entry VM is asked to dispatch.

It turns permit messages into scheduler events and scheduler actions into
messages. Its state is soft: after its loss every ingress registers what it
has in flight with the next-ranked entry VM.
"""

import asyncio
import dataclasses
from collections.abc import Sequence
from typing import Protocol

from lagoonrun_config import model
from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, types
from lagoonrun_daemon import (
    decision_log,
    explanations,
    lost_ingresses,
    permit_events,
    shards,
    transport,
)
from lagoonrun_policy import features, scheduler, shard_ranking
from lagoonrun_policy import messages as policy_messages
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

    def summaries(self) -> Sequence[shard_ranking.ShardView]:
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

    def on_stall(self) -> None:
        """Take in that this process did not run for a while."""
        event = policy_messages.DispatcherStalled()
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
        out_of_turn = handed_over or others_turn
        if not known or out_of_turn or self._is_behind(message):
            self._send_not_mine(sender, message, owner)
            return
        owned = self._own(message.shard)
        self._handle(
            message.shard, permit_events.request_event(sender, message)
        )
        if owned.scheduler.is_waiting(permit_events.key_of(message)):
            # What was granted or refused at once says as much.
            self._transport.send(
                sender,
                messages.PermitAcknowledged(
                    request_id=message.request_id,
                    attempt_id=message.attempt_id,
                ),
            )

    def _is_behind(self, message: messages.PermitRequest) -> bool:
        """Return whether the ingress has a class that is not known here yet.

        While a new revision spreads, ingresses may have it first. A refusal
        would tell callers that a class which is in force does not exist; the
        ingress asks on until the revision has come here, or elsewhere.
        """
        configuration = self._configuration
        known = message.profile in configuration.profiles_by_name
        return not known and message.revision > configuration.revision

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
        key = permit_events.key_of(message)
        self._handle(message.shard, policy_messages.PermitReturned(key=key))

    def _on_end(self, message: messages.PermitEnd) -> None:
        if message.shard not in self._owned_by_id:
            return
        self._handle(message.shard, permit_events.ended_event(message))
        self._note_ejections(self._owned_by_id[message.shard])

    def _note_ejections(self, owned: _OwnedShard) -> None:
        ejected = owned.scheduler.ejected_runners()
        decision_log.log_ejections(
            owned.shard.id, before=owned.ejected, after=ejected
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
            if not owned.scheduler.is_waiting(permit_events.key_of(work))
        )
        self._handle(message.shard, permit_events.digest_event(sender, message))
        for work in message.running:
            if work.tokens:
                self._handle(message.shard, permit_events.progress_event(work))
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
        waiting = owned.scheduler.waiting_requests()
        for request in waiting:
            self._transport.send(
                request.ingress,
                messages.PermitNotMine(
                    request_id=request.key.request_id,
                    attempt_id=request.key.attempt_id,
                    owner=named or types.EntryVmId(""),
                ),
            )
        logs.emit(
            events.LogEvent.SHARD_RELEASED,
            shard=shard_id,
            owner=named,
            waiting=len(waiting),
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
        if isinstance(action, policy_messages.Cut):
            decision_log.log_cut(owned.shard.id, action)
        else:
            self._explanations.add_decision(action.record)
            # The answer waits in this turn of the loop and leaves first.
            loop = asyncio.get_running_loop()
            loop.call_soon(decision_log.log_decision, action.record)
        answer = permit_events.answer_of(action, shard=owned.shard.id)
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
