"""Log events of the dispatcher's decisions."""

import logging
from collections.abc import Set

from lagoonrun_core import events, logs, types
from lagoonrun_policy import messages as policy_messages


def log_decision(record: policy_messages.DecisionRecord) -> None:
    """Log one routing decision, a grant or a refusal."""
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


def log_cut(shard: types.ShardId, action: policy_messages.Cut) -> None:
    """Log that a running request is cancelled in favour of a higher tier."""
    logs.emit(
        events.LogEvent.REQUEST_CUT,
        request_id=action.key.request_id,
        attempt_id=action.key.attempt_id,
        shard=shard,
        reason=action.reason.value,
    )


def log_ejections(
    shard: types.ShardId,
    *,
    before: Set[types.UpstreamId],
    after: Set[types.UpstreamId],
) -> None:
    """Log which runners were ejected after failures, and which restored."""
    for upstream in sorted(after - before):
        logs.emit(
            events.LogEvent.UPSTREAM_EJECTED,
            level=logging.WARNING,
            upstream=upstream,
            shard=shard,
        )
    for upstream in sorted(before - after):
        logs.emit(
            events.LogEvent.UPSTREAM_RESTORED, upstream=upstream, shard=shard
        )
