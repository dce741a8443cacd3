"""Entry VM program with a planted defect that violates one guarantee.

Only the soak runs it. A soak that misses such a defect proves nothing.
"""

import asyncio
import collections
import enum
from typing import Any

from lagoonrun_core import event_loop, outcomes
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import upstream
from lagoonrun_router import (
    admission,
    answers,
    attempt_result,
    choosing,
    crash_evidence,
    crash_records,
    declarations,
    execution,
    forwarder_choice,
    places,
    pool_capacity,
    reader_selection,
    retry_budget,
    retrying,
    router,
    run_mover,
    store_replica,
    stream_origin,
    stream_origins,
    stream_relay,
    upstream_rests,
    upstreams,
)

_REVERT_SECONDS = 1.0
_FIXED_PART = 4
_RECENT_CHOICES = 20
"""Choices in which an organisation must have the majority to be served."""


class PlantedDefect(enum.Enum):
    """Defects by the guarantee that they violate."""

    ONCE = "once"
    OWN_ANSWER = "own-answer"
    NOT_RUN = "not-run"
    LEAVING = "leaving"
    PLANNED_STOP = "planned-stop"
    NO_REVERT = "no-revert"
    IN_FORCE = "in-force"
    TIERS = "tiers"
    CRASHING = "crashing"
    LIMITS = "limits"
    RESTS = "rests"
    OWN_LEAVING = "own-leaving"
    SHARES = "shares"
    CUT_OFF = "cut-off"
    SILENT_WATCHES = "silent-watches"
    ONE_VERSION = "one-version"
    TAKEN_UP = "taken-up"
    CRASHING_PART = "crashing-part"
    CROWDED = "crowded"
    SILENCE = "silence"
    LATE_TIMERS = "late-timers"


def plant(defect: PlantedDefect) -> None:
    """Plant one defect in this process."""
    _PLANTERS[defect]()


def _break_once() -> None:
    """Retry every lost request at another upstream."""

    def decide(call, lost, sends, *, now):
        del call, lost, now
        if sends.reached > 2:
            return retrying.RetryDecision.END
        return retrying.RetryDecision.FREE

    retrying.decide = decide


def _break_own_answer() -> None:
    """Cut the last byte off a response that still looks complete."""
    original = answers.pass_on

    async def pass_on(
        exchange: exchanges.Exchange, answer: attempt_result.WholeAnswer, **more
    ) -> outcomes.Ending:
        cut = attempt_result.WholeAnswer(
            head=answer.head, body=answer.body[:-1]
        )
        return await original(exchange, cut, **more)

    answers.pass_on = pass_on


def _break_not_run() -> None:
    """Report each failed request as not run."""

    def end_as_not_run(self, reason, detail, upstream):
        del self
        return outcomes.Ending(
            outcome=outcomes.Outcome.NOT_RUN,
            reason=reason,
            detail=detail,
            upstream=upstream,
            retry_after_seconds=0.1,
        )

    execution.CallExecution._ending_without_answer = end_as_not_run


def _break_leaving() -> None:
    """Keep sending requests to leaving upstreams."""
    directory = upstreams.UpstreamDirectory
    directory.may_send = lambda self, upstream, *, now: True
    directory.usable = lambda self, pool, *, now: tuple(
        registration
        for registration in self.registrations
        if registration.pool == pool
    )
    directory.apply_removal = lambda self, upstream, *, now: None


def _break_planned_stop() -> None:
    """Stop without waiting for running requests."""

    async def stop(self) -> int:
        await self.close()
        return 0

    router.Router.stop = stop


def _break_no_revert() -> None:
    """Revert to the previous declarations after a while."""
    original = store_replica.StoreReplica.__init__

    def init(self, *, on_declarations, **more) -> None:
        before: list[declarations.Declarations] = []

        def apply_and_revert(declared: declarations.Declarations) -> None:
            on_declarations(declared)
            if before:
                asyncio.get_running_loop().call_later(
                    _REVERT_SECONDS, on_declarations, before[-1]
                )
            before.append(declared)

        original(self, on_declarations=apply_and_revert, **more)

    store_replica.StoreReplica.__init__ = init


def _break_in_force() -> None:
    """Apply only the first declarations."""
    original = store_replica.StoreReplica.apply_declarations

    def apply_first(self, value, *, source) -> None:
        if not self.revision:
            original(self, value, source=source)

    store_replica.StoreReplica.apply_declarations = apply_first


def _break_tiers() -> None:
    """Grant the largest share of capacity to the lowest tier."""
    original = admission.share_of

    def share_of(tier, tiers):
        ordered = sorted({*tiers, tier})
        mirrored = ordered[-1 - ordered.index(tier)]
        return original(mirrored, tiers) if mirrored != ordered[0] else 1.0

    def admit(standing, ranked):
        if standing.tier == min(standing.tiers):
            return admission.Refusal.NO_ROOM
        return ranked[0]

    admission.share_of = share_of
    admission.admit = admit


def _break_crashing() -> None:
    """Ignore all crash evidence against requests."""
    crash_evidence.CrashEvidence.merge = lambda self, record, *, now: False


def _break_crashing_part() -> None:
    """Hold crashes against whole requests only."""
    crash_records.CrashRecord.suspects = property(lambda self: (self.request,))


def _break_crowded() -> None:
    """Refuse what exceeds a fixed part of the pool at this entry VM."""
    original = choosing.Chooser.choose

    def choose(self, call, **options):
        ledger = self._components.ledger
        if sum(ledger.own_running().values()) >= _FIXED_PART:
            return pool_capacity.Rejection(refusal=admission.Refusal.NO_ROOM)
        return original(self, call, **options)

    choosing.Chooser.choose = choose


def _break_limits() -> None:
    """Send without a place, the right to send to a rate-limited upstream."""
    places.Places.is_limited = lambda self, upstream: False


def _break_rests() -> None:
    """Ignore the back-offs that upstreams ask for."""
    rests = upstream_rests.UpstreamRests
    rests.apply_answer = lambda self, at, notice, *, now: None


def _break_own_leaving() -> None:
    """Ignore notices of leaving in responses, but not the store's entries."""
    upstreams.UpstreamDirectory.mark_leaving = (
        lambda self, upstream, *, start, source, now: None
    )


def _break_shares() -> None:
    """Serve engine requests only of the organisation that sends the most."""
    original = choosing.Chooser.choose
    recent = collections.deque(maxlen=_RECENT_CHOICES)

    def choose(self, call, **attempt):
        if call.pool.engine is None:
            return original(self, call, **attempt)
        organisation = call.organisation.id
        recent.append(organisation)
        if recent.count(organisation) < len(recent) / 2:
            return pool_capacity.Rejection(refusal=admission.Refusal.NO_ROOM)
        return original(self, call, **attempt)

    choosing.Chooser.choose = choose


def _break_cut_off() -> None:
    """Reach upstreams over the own links only."""
    forwarder_choice.ForwarderChoice.ordered = (
        lambda self, upstream_domain, *, count, now: ()
    )


def _break_silent_watches() -> None:
    """Wait long for each change, and believe the watch whatever peers say."""
    selection = reader_selection.ReaderSelection
    selection.update_role = lambda self: None


def _break_one_version() -> None:
    """Continue streams at upstreams of any version."""
    stream_origin.StreamOrigin.may_continue_at = lambda self, upstream: True


def _break_taken_up() -> None:
    """Know of no stream where it began."""
    unknown = stream_origin.FoundOrigin(evidence=stream_origin.Evidence.TOO_NEW)
    stream_origins.StreamOrigins._find_here = (
        lambda self, request, route, *, now: unknown
    )


def _break_silence() -> None:
    """End runs that are silent, as if the retry budget were spent."""
    run_mover.RunMover.may_move = lambda self, **silent: True
    retry_budget.RetryBudget.spend = lambda self, pool, *, now: False


def _break_late_timers() -> None:
    """Run late timers before what had arrived is read, as asyncio does.

    And end a stream at such a timer, without another look at its socket.
    """

    async def pump(
        self: stream_relay.StreamRelay,
        response: upstream.UpstreamResponse,
        sink: Any,
        may_move: Any,
    ) -> Any:
        while True:
            seconds = self._remaining_seconds(sink)
            if seconds is not None and seconds <= 0.0:
                return None
            pumped = await stream_relay._pump_for(response, sink, seconds)
            if pumped is not None:
                return pumped

    stream_relay.StreamRelay._pump = pump
    event_loop.StallAwareEventLoop = lambda *, stalls: (
        asyncio.SelectorEventLoop()
    )


_PLANTERS = {
    PlantedDefect.ONCE: _break_once,
    PlantedDefect.OWN_ANSWER: _break_own_answer,
    PlantedDefect.NOT_RUN: _break_not_run,
    PlantedDefect.LEAVING: _break_leaving,
    PlantedDefect.PLANNED_STOP: _break_planned_stop,
    PlantedDefect.NO_REVERT: _break_no_revert,
    PlantedDefect.IN_FORCE: _break_in_force,
    PlantedDefect.TIERS: _break_tiers,
    PlantedDefect.CRASHING: _break_crashing,
    PlantedDefect.LIMITS: _break_limits,
    PlantedDefect.RESTS: _break_rests,
    PlantedDefect.OWN_LEAVING: _break_own_leaving,
    PlantedDefect.SHARES: _break_shares,
    PlantedDefect.CUT_OFF: _break_cut_off,
    PlantedDefect.SILENT_WATCHES: _break_silent_watches,
    PlantedDefect.ONE_VERSION: _break_one_version,
    PlantedDefect.TAKEN_UP: _break_taken_up,
    PlantedDefect.CRASHING_PART: _break_crashing_part,
    PlantedDefect.CROWDED: _break_crowded,
    PlantedDefect.SILENCE: _break_silence,
    PlantedDefect.LATE_TIMERS: _break_late_timers,
}
