"""Permit requests of an ingress, the replies to them and permits."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from lagoonrun_core import outcomes, types
from lagoonrun_protocol import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitTiming:
    """Timeouts and periods of the exchange of an ingress with dispatchers.

    Parameters
    ----------
    acknowledge_timeout_seconds
        Silence after which the next-ranked dispatcher is asked.
    own_lateness_seconds
        Lateness of a timer above which this process itself was too busy to
        read an acknowledgement.
    digest_period_seconds
        Period of the digests of running and waiting requests.
    skip_seconds
        How long later requests skip a silent dispatcher.
    slow_acknowledgements
        How often the acknowledgement timeout is extended for a dispatcher
        that replies to other requests meanwhile.
    unanswered_digests
        Digest periods without a message after which a dispatcher is silent.
    empty_digests
        Empty digests sent after the last one that listed a request.
    ask_again_seconds
        Pause before each further permit request after the first few.
    """

    acknowledge_timeout_seconds: float = 0.15
    own_lateness_seconds: float = 0.02
    digest_period_seconds: float = 0.5
    slow_acknowledgements: int = 5
    skip_seconds: float = 2.0
    unanswered_digests: int = 3
    empty_digests: int = 20
    ask_again_seconds: float = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class SilenceLimit:
    """How long another domain's dispatchers may leave a request unanswered.

    Parameters
    ----------
    distance_seconds
        Round-trip time to the domain, by which acknowledgements are delayed.
    at
        Reading of the monotonic clock at which the shard is given up if no
        dispatcher has acknowledged the permit request.
    """

    distance_seconds: float
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitWanted:
    """Parameters of a permit request to a shard.

    Parameters
    ----------
    limit_at, target_at
        Readings of the monotonic clock.
    silence
        Limit on unanswered permit requests; None in the own domain, where
        the request searches for a dispatcher until its time limit.
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
    model: str = ""
    silence: SilenceLimit | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class AttemptKey:
    """Identifies one permit request; later attempts have higher numbers."""

    request_id: types.RequestId
    attempt_id: types.AttemptId


@dataclasses.dataclass(kw_only=True)
class Permit:
    """Permission to send one request to one upstream.

    Parameters
    ----------
    asked_at, granted_at
        Readings of the monotonic clock; an old permit must not be used.
    on_cut
        Called when the dispatcher cancels the request.
    first_token_seconds, tokens
        Progress, updated by the ingress while the request is running.
    """

    key: AttemptKey
    shard: types.ShardId
    upstream: types.UpstreamId
    dispatcher: types.EntryVmId
    profile: types.ProfileName
    organisation: types.OrganisationId
    asked_at: float
    granted_at: float
    on_cut: Callable[[], None] | None = None
    cut_reason: outcomes.Reason = outcomes.Reason.NONE
    first_token_seconds: float = 0.0
    tokens: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitRefusal:
    """Refusal of a permit; nothing was sent to any upstream."""

    reason: outcomes.Reason
    retry_after_seconds: float
    dispatcher: types.EntryVmId | None = None


class PermitSource(Protocol):
    """Grants permits to an ingress and receives reports of their use."""

    async def obtain(self, wanted: PermitWanted) -> Permit | PermitRefusal:
        """Return a permit, or the reason why there is none."""

    def give_back(self, permit: Permit) -> None:
        """Return a permit that was not used."""

    def finish(
        self,
        permit: Permit,
        *,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
        total_seconds: float,
    ) -> None:
        """Report the end of a granted request."""

    def forget_request(self, request_id: types.RequestId) -> None:
        """Drop the state of a request that has ended."""

    def is_fresh(self, permit: Permit, *, maximum_age_seconds: float) -> bool:
        """Return whether the permit is recent enough to be used."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatcherSilent:
    """The dispatcher did not reply in time, or is dead."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WaitGivenUp:
    """The request reached its silence limit before the timeout."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestUnknown:
    """The dispatcher is alive but does not know the request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class DispatcherReturned:
    """A preferred dispatcher, skipped until now, replies again."""

    dispatcher: types.EntryVmId


Reply = (
    messages.PermitGranted
    | messages.PermitRefused
    | messages.PermitNotMine
    | DispatcherSilent
    | WaitGivenUp
    | RequestUnknown
    | DispatcherReturned
)


@dataclasses.dataclass(kw_only=True)
class PendingRequest:
    """A permit request that waits for a dispatcher's reply.

    Parameters
    ----------
    asked_at
        Reading of the monotonic clock.
    messages_before
        Number of messages received from the dispatcher when the request was
        sent or its acknowledgement timeout last extended.
    extensions_left
        How often the acknowledgement timeout may still be extended.
    """

    wanted: PermitWanted
    key: AttemptKey
    dispatcher: types.EntryVmId
    asked_at: float
    reply: asyncio.Future[Reply]
    messages_before: int = 0
    extensions_left: int = 0
    timer: asyncio.TimerHandle | None = None
    give_up_timer: asyncio.TimerHandle | None = None

    def extends_wait(self, received: int) -> bool:
        """Return whether the dispatcher is slow rather than silent.

        If so, use up one extension.

        Parameters
        ----------
        received
            Number of messages received from the dispatcher by now.
        """
        is_slow = received > self.messages_before and self.extensions_left > 0
        if is_slow:
            self.messages_before = received
            self.extensions_left -= 1
        return is_slow

    def acknowledge(self) -> None:
        """Cancel the timers: the dispatcher has queued the request."""
        for timer in (self.timer, self.give_up_timer):
            if timer:
                timer.cancel()

    def give_up(self) -> None:
        """Resolve without a reply; the timer still detects silence."""
        if not self.reply.done():
            self.reply.set_result(WaitGivenUp())

    def settle(self, reply: Reply) -> None:
        """Resolve with a reply; only the first one counts."""
        self.acknowledge()
        if not self.reply.done():
            self.reply.set_result(reply)
