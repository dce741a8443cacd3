"""The scheduler of one shard: who may use which runner, and when."""

import collections
from collections.abc import Sequence

from lagoonrun_core import outcomes, types
from lagoonrun_policy import messages


class ShardScheduler:
    """Grant runners by strict tier, first come first served.

    Parameters
    ----------
    policy
        Classes, runners and weights of the shard.
    """

    def __init__(self, *, policy: messages.ShardPolicy) -> None:
        self._policy = policy
        self._waiting: collections.deque[messages.PermitRequested] = (
            collections.deque()
        )
        self._running_by_key: dict[messages.PermitKey, types.UpstreamId] = {}

    def handle(
        self, event: messages.Event, *, now: float
    ) -> Sequence[messages.Action]:
        """Take in one event at `now` and return what follows from it."""
        match event:
            case messages.PermitRequested():
                self._waiting.append(event)
            case messages.PermitReturned() | messages.PermitEnded():
                self._running_by_key.pop(event.key, None)
                self._waiting = collections.deque(
                    w for w in self._waiting if w.key != event.key
                )
            case messages.PolicyChanged():
                self._policy = event.policy
            case _:
                pass
        return self._grant_all()

    def next_wake(self, *, now: float) -> float | None:
        """Return when a `Ticked` is due at the latest, or None."""
        return None

    def _grant_all(self) -> list[messages.Action]:
        actions: list[messages.Action] = []
        by_tier = sorted(
            self._waiting,
            key=lambda w: self._policy.classes_by_name[w.profile].tier,
        )
        for request in by_tier:
            upstream = self._free_runner()
            if upstream is None:
                break
            self._waiting.remove(request)
            self._running_by_key[request.key] = upstream
            actions.append(
                messages.Grant(
                    key=request.key,
                    ingress=request.ingress,
                    upstream=upstream,
                    record=self._record(request, upstream),
                )
            )
        return actions

    def _free_runner(self) -> types.UpstreamId | None:
        counts = collections.Counter(self._running_by_key.values())
        free = [
            r
            for r in self._policy.runners_by_id.values()
            if r.state is messages.UpstreamState.LIVE and counts[r.id] < r.slots
        ]
        if not free:
            return None
        return min(free, key=lambda r: (counts[r.id], r.id)).id

    def _record(
        self, request: messages.PermitRequested, upstream: types.UpstreamId
    ) -> messages.DecisionRecord:
        profile = self._policy.classes_by_name[request.profile]
        return messages.DecisionRecord(
            key=request.key,
            shard=self._policy.shard,
            revision=self._policy.revision,
            profile=request.profile,
            tier=profile.tier,
            organisation=request.organisation,
            waited_seconds=0.0,
            remaining_seconds=request.remaining_seconds,
            expected_service_seconds=0.0,
            expected_samples=0,
            queue_length=len(self._waiting),
            queue_capacity=profile.queue_capacity,
            ahead_in_queue=0,
            higher_tier_waiting=0,
            lower_tier_waiting=0,
            floor_grant=False,
            candidates=(),
            verdict="grant",
            upstream=upstream,
            reason=outcomes.Reason.NONE,
            retry_after_seconds=0.0,
        )
