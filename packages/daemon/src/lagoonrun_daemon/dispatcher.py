"""Dispatch the shards for which this entry VM is asked for permits.

The dispatcher translates permit messages into scheduler events and scheduler
actions into messages. Its state is soft: if it is lost, every ingress
registers its in-flight requests with the next-ranked entry VM.
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

_MAX_SLEEP_SECONDS = 1.0


class ShardView(Protocol):
    """The part of the daemon's view of the fleet that a dispatcher needs."""

    def owner_of(self, shard: types.ShardId) -> types.EntryVmId | None:
        """Return the entry VM ranked first for `shard`."""

    def leaving_upstreams(self) -> frozenset[types.UpstreamId]:
        """Return the upstreams that get no new requests."""


@dataclasses.dataclass(kw_only=True)
class _OwnedShard:
    shard: shards.Shard
    scheduler: scheduler.ShardScheduler
    timer: asyncio.TimerHandle | None = None
    leaving: frozenset[types.UpstreamId]
    ejected: frozenset[types.UpstreamId] = frozenset()


class Dispatcher:
    """Run the schedulers of the owned shards and reply to permit messages.

    Parameters
    ----------
    entry_vm
        This entry VM.
    view
        Ranking and upstream states.
    transport
        Sends the replies.
    explanations
        Stores a record of each decision.
    clock
        Source of time.
    switches
        Scheduling features that are enabled; the production defaults if
        None.
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
        """Shards that this entry VM currently dispatches."""
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
        """Return the summaries of the owned shards for other domains."""
        now = self._clock.monotonic()
        return [
            owned.scheduler.summary(now=now)
            for owned in self._owned_by_id.values()
        ]

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Apply a new configuration revision to all shards."""
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
        """Forward an upstream's state to the scheduler of its shard.

        A new policy does not suffice: it never makes a leaving runner live
        again, so a returned upstream would get no requests until a handover.
        """
        state = (
            policy_messages.UpstreamState.LEAVING
            if leaving
            else policy_messages.UpstreamState.LIVE
        )
        event = policy_messages.UpstreamChanged(upstream=upstream, state=state)
        for shard_id, owned in list(self._owned_by_id.items()):
            if any(known.id == upstream for known in owned.shard.upstreams):
                self._apply_event(shard_id, event)

    def on_ranking_changed(self) -> None:
        """Release shards for which another entry VM is ranked first."""
        for shard_id in list(self._owned_by_id):
            if self._view.owner_of(shard_id) != self._entry_vm:
                self._release(shard_id)

    def on_ingress_gone(self, ingress: types.EntryVmId) -> None:
        """Drop the running and waiting requests of a dead entry VM."""
        event = policy_messages.IngressGone(ingress=ingress)
        for shard_id in list(self._owned_by_id):
            self._apply_event(shard_id, event)

    def on_stall(self) -> None:
        """Notify all schedulers that this process did not run for a while."""
        event = policy_messages.DispatcherStalled()
        for shard_id in list(self._owned_by_id):
            self._apply_event(shard_id, event)

    def on_link_lost(self, ingress: types.EntryVmId) -> None:
        """Start the grace period of an entry VM whose connection was lost."""
        self._lost_ingresses.record_disconnect(ingress)

    def on_load_report(
        self, shard: types.ShardId, report: policy_messages.LoadReported
    ) -> None:
        """Forward an engine's load report if the shard is owned."""
        if shard in self._owned_by_id:
            self._apply_event(shard, report)

    def stop_owning(self) -> None:
        """Hand all shards over to other entry VMs, if there are any.

        If it is the last one alive, this entry VM dispatches until it exits,
        so that a planned stop refuses no request that it can still serve.
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
        """Process one permit message of an ingress."""
        self._lost_ingresses.record_message(sender)
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
        owned_elsewhere = owner != self._entry_vm and not message.handover
        handed_over = self._stopping and owner != self._entry_vm
        not_owner = handed_over or owned_elsewhere
        if not known or not_owner or self._lacks_profile(message):
            self._send_not_mine(sender, message, owner)
            return
        owned = self._ensure_owned(message.shard)
        self._apply_event(
            message.shard, permit_events.request_event(sender, message)
        )
        if owned.scheduler.is_waiting(permit_events.key_of(message)):
            # An immediate grant or refusal implies the acknowledgement.
            self._transport.send(
                sender,
                messages.PermitAcknowledged(
                    request_id=message.request_id,
                    attempt_id=message.attempt_id,
                ),
            )

    def _lacks_profile(self, message: messages.PermitRequest) -> bool:
        """Return whether the profile is from a revision not yet known here.

        An ingress may receive a new revision first. A refusal would tell
        callers that a profile in force does not exist; instead the ingress
        repeats its request, here or elsewhere, until the revision arrives.
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
        self._apply_event(
            message.shard, policy_messages.PermitReturned(key=key)
        )

    def _on_end(self, message: messages.PermitEnd) -> None:
        if message.shard not in self._owned_by_id:
            return
        self._apply_event(message.shard, permit_events.ended_event(message))
        self._record_ejections(self._owned_by_id[message.shard])

    def _record_ejections(self, owned: _OwnedShard) -> None:
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
            self._ensure_owned(message.shard)
        owned = self._owned_by_id[message.shard]
        unknown = tuple(
            work
            for work in message.waiting
            if not owned.scheduler.is_waiting(permit_events.key_of(work))
        )
        self._apply_event(
            message.shard, permit_events.digest_event(sender, message)
        )
        for work in message.running:
            if work.tokens:
                self._apply_event(
                    message.shard, permit_events.progress_event(work)
                )
        self._transport.send(
            sender,
            messages.DigestAcknowledged(shard=message.shard, unknown=unknown),
        )

    def _ensure_owned(self, shard_id: types.ShardId) -> _OwnedShard:
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
        """Stop dispatching a shard; redirect its waiting requests."""
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
        self._apply_event(shard_id, event)
        owned = self._owned_by_id[shard_id]
        leaving = self._view.leaving_upstreams()
        returned = owned.leaving - leaving
        owned.leaving = leaving
        # A policy never makes a leaving runner live again, because LIVE is
        # only its default: without this event, an upstream that has returned
        # or whose drain has ended would never get requests again.
        for upstream in sorted(returned):
            self._apply_event(
                shard_id,
                policy_messages.UpstreamChanged(
                    upstream=upstream, state=policy_messages.UpstreamState.LIVE
                ),
            )

    def _apply_event(
        self, shard_id: types.ShardId, event: policy_messages.Event
    ) -> None:
        owned = self._owned_by_id[shard_id]
        now = self._clock.monotonic()
        for action in owned.scheduler.handle(event, now=now):
            self._execute(owned, action)
        self._set_timer(owned)

    def _execute(
        self, owned: _OwnedShard, action: policy_messages.Action
    ) -> None:
        if isinstance(action, policy_messages.Cut):
            decision_log.log_cut(owned.shard.id, action)
        else:
            self._explanations.add_decision(action.record)
            # Deferred, so that the reply is sent before the log is written.
            loop = asyncio.get_running_loop()
            loop.call_soon(decision_log.log_decision, action.record)
        reply = permit_events.reply_of(action, shard=owned.shard.id)
        self._transport.send(action.ingress, reply)

    def _set_timer(self, owned: _OwnedShard) -> None:
        if owned.timer:
            owned.timer.cancel()
            owned.timer = None
        now = self._clock.monotonic()
        wake = owned.scheduler.next_wake(now=now)
        if wake is None:
            return
        delay = min(max(wake - now, 0.0), _MAX_SLEEP_SECONDS)
        owned.timer = asyncio.get_running_loop().call_later(
            delay, self._on_timer, owned.shard.id
        )

    def _on_timer(self, shard_id: types.ShardId) -> None:
        if shard_id in self._owned_by_id:
            self._apply_event(shard_id, policy_messages.Ticked())
