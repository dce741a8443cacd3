"""What an ingress asks dispatchers for, and what it gets."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Protocol

from lagoonrun_core import outcomes, types
from lagoonrun_protocol import messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitTiming:
    """Times of the exchange between ingress and dispatcher.

    Parameters
    ----------
    acknowledge_timeout_seconds
        Silence after which the next-ranked dispatcher is asked.
    own_lateness_seconds
        Lateness of a timer from which this process itself was too busy to
        read an acknowledgement.
    digest_period_seconds
        Time between two digests of running and waiting work.
    silence_memory_seconds
        How long a silent dispatcher is passed over by later requests.
    slow_acknowledgements
        How often a dispatcher that answers others meanwhile is waited for
        again.
    unanswered_digests
        Periods without a sign of life after which a dispatcher is silent.
    empty_digests
        Digests without work that follow the last one that named some.
    ask_again_seconds
        Pause between asks of a request that has met many dispatchers.
    """

    acknowledge_timeout_seconds: float = 0.15
    own_lateness_seconds: float = 0.02
    digest_period_seconds: float = 0.5
    slow_acknowledgements: int = 5
    silence_memory_seconds: float = 2.0
    unanswered_digests: int = 3
    empty_digests: int = 20
    ask_again_seconds: float = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class SilenceLimit:
    """How long another domain's dispatchers may leave an ask unanswered.

    Parameters
    ----------
    distance_seconds
        Round trip to the domain, which each acknowledgement takes besides.
    at
        Reading of the monotonic clock at which the shard is given up if no
        dispatcher has acknowledged the ask.
    """

    distance_seconds: float
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitWanted:
    """What an ingress asks a shard for.

    Parameters
    ----------
    limit_at, target_at
        Readings of the monotonic clock.
    silence
        Bound on unanswered asks; None in the own domain, where the request
        looks for a dispatcher to its limit.
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
    """Names one ask of one request; later asks have higher attempts."""

    request_id: types.RequestId
    attempt_id: types.AttemptId


@dataclasses.dataclass(kw_only=True)
class Permit:
    """Leave to send one request to one upstream.

    Parameters
    ----------
    asked_at, granted_at
        Readings of the monotonic clock; an old permit must not be used.
    on_cut
        Called when the dispatcher wants the work stopped.
    first_token_seconds, tokens
        Progress, kept by the ingress while the work runs.
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
    """No permit; nothing was sent to any upstream."""

    reason: outcomes.Reason
    retry_after_seconds: float
    dispatcher: types.EntryVmId | None = None


class PermitSource(Protocol):
    """Where an ingress gets permits from, and reports their use to."""

    async def obtain(self, wanted: PermitWanted) -> Permit | PermitRefusal:
        """Return a permit, or why there is none."""

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
        """Report the end of granted work."""

    def forget_request(self, request_id: types.RequestId) -> None:
        """Drop what is kept of a request that is over."""

    def is_fresh(self, permit: Permit, *, maximum_age_seconds: float) -> bool:
        """Return whether the permit is young enough to be used."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Silent:
    """The dispatcher did not answer in time, or is dead."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class GaveUp:
    """The request cannot wait until the dispatcher counts as silent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Forgotten:
    """The dispatcher lives but does not know of the request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class CameBack:
    """A dispatcher ranked before the one that was asked is heard again."""

    dispatcher: types.EntryVmId


Answer = (
    messages.PermitGranted
    | messages.PermitRefused
    | messages.PermitNotMine
    | Silent
    | GaveUp
    | Forgotten
    | CameBack
)


@dataclasses.dataclass(kw_only=True)
class Ask:
    """A request that waits for a dispatcher's answer.

    Parameters
    ----------
    asked_at
        Reading of the monotonic clock.
    heard_before
        Messages of the dispatcher that had been heard, at first when this
        was asked.
    patience_left
        How often the acknowledgement may still be waited for again.
    """

    wanted: PermitWanted
    key: AttemptKey
    dispatcher: types.EntryVmId
    asked_at: float
    answer: asyncio.Future[Answer]
    heard_before: int = 0
    patience_left: int = 0
    timer: asyncio.TimerHandle | None = None
    give_up_timer: asyncio.TimerHandle | None = None

    def waits_again(self, heard: int) -> bool:
        """Return whether the dispatcher is slow rather than silent.

        Parameters
        ----------
        heard
            Messages of the dispatcher that have been heard by now.
        """
        is_heard = heard > self.heard_before and self.patience_left > 0
        if is_heard:
            self.heard_before = heard
            self.patience_left -= 1
        return is_heard

    def acknowledge(self) -> None:
        """Take in that the dispatcher has the request in its queue."""
        for timer in (self.timer, self.give_up_timer):
            if timer:
                timer.cancel()

    def give_up(self) -> None:
        """Go on without an answer; the timer still shows a silence."""
        if not self.answer.done():
            self.answer.set_result(GaveUp())

    def settle(self, answer: Answer) -> None:
        """Take in an answer; only the first one counts."""
        self.acknowledge()
        if not self.answer.done():
            self.answer.set_result(answer)
