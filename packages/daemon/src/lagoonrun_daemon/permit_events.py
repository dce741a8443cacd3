"""Convert permit messages to scheduler events and actions to messages."""

from lagoonrun_core import types
from lagoonrun_policy import messages as policy_messages
from lagoonrun_protocol import messages

KeyedMessage = (
    messages.PermitRequest
    | messages.PermitReturn
    | messages.PermitEnd
    | messages.RunningWork
    | messages.WaitingWork
)


def key_of(message: KeyedMessage) -> policy_messages.PermitKey:
    """Return the key of the permit that a message refers to."""
    return policy_messages.PermitKey(
        request_id=message.request_id, attempt_id=message.attempt_id
    )


def digest_event(
    sender: types.EntryVmId, message: messages.WorkDigest
) -> policy_messages.InFlightDigest:
    """Return the running and waiting requests that an ingress reports."""
    return policy_messages.InFlightDigest(
        ingress=sender,
        running=tuple(
            policy_messages.InFlight(
                key=key_of(work),
                upstream=work.upstream,
                profile=work.profile,
                organisation=work.organisation,
                running_seconds=work.running_seconds,
                tokens=work.tokens,
            )
            for work in message.running
        ),
        waiting=tuple(key_of(work) for work in message.waiting),
    )


def progress_event(
    work: messages.RunningWork,
) -> policy_messages.WorkProgressed:
    """Return the progress of a running request from a digest."""
    return policy_messages.WorkProgressed(
        key=key_of(work),
        tokens=work.tokens,
        first_token_seconds=work.first_token_seconds,
    )


def request_event(
    sender: types.EntryVmId, message: messages.PermitRequest
) -> policy_messages.PermitRequested:
    """Return an ingress's permit request."""
    return policy_messages.PermitRequested(
        key=key_of(message),
        ingress=sender,
        profile=message.profile,
        organisation=message.organisation,
        remaining_seconds=message.remaining_seconds,
        remaining_target_seconds=message.remaining_target_seconds,
        prefix_hash=message.prefix_hash,
        prompt_bytes=message.prompt_bytes,
        excluded=message.excluded,
        model=message.model,
    )


def ended_event(message: messages.PermitEnd) -> policy_messages.PermitEnded:
    """Return the end of a granted request."""
    return policy_messages.PermitEnded(
        key=key_of(message),
        upstream=message.upstream,
        outcome=message.outcome,
        reason=message.reason,
        first_token_seconds=message.first_token_seconds,
        total_seconds=message.total_seconds,
        tokens=message.tokens,
    )


def reply_of(
    action: policy_messages.Action, *, shard: types.ShardId
) -> messages.Message:
    """Return the message that reports a scheduler's action to an ingress."""
    key = action.key
    match action:
        case policy_messages.Grant():
            return messages.PermitGranted(
                request_id=key.request_id,
                attempt_id=key.attempt_id,
                upstream=action.upstream,
                shard=shard,
            )
        case policy_messages.Refuse():
            return messages.PermitRefused(
                request_id=key.request_id,
                attempt_id=key.attempt_id,
                reason=action.reason,
                retry_after_seconds=action.retry_after_seconds,
            )
        case policy_messages.Cut():
            return messages.CutWork(
                request_id=key.request_id,
                attempt_id=key.attempt_id,
                reason=action.reason,
            )
