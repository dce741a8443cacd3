"""Refusals of one call: their reasons, their Retry-After and their log lines."""

import dataclasses
import logging

from lagoonrun_core import events, logs, outcomes
from lagoonrun_router import (
    answers,
    availability,
    call_pressure,
    choosing,
    crash_records,
    pool_capacity,
    stream_origin,
)
from lagoonrun_router import call as calls
from lagoonrun_router import components as router_components

_MAX_LOGGED_UPSTREAMS = 4

_REASON_BY_CLOSED = {
    availability.ClosedReason.LIMITED: outcomes.Reason.UPSTREAMS_LIMITED,
    availability.ClosedReason.RESTING: outcomes.Reason.UPSTREAMS_RESTING,
    availability.ClosedReason.BRITTLE: outcomes.Reason.UPSTREAMS_LIMITED,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
    """Why a request is not sent.

    Parameters
    ----------
    reason, detail
        What the caller is told.
    retry_after_seconds
        When the caller may retry; None for the default.
    closed
        Upstreams that are closed.
    block
        What crashed upstreams; None if the request is not blocked.
    rejection
        Decision of the admission; None if it did not decide.
    """

    reason: outcomes.Reason
    detail: str
    retry_after_seconds: float | None = None
    closed: tuple[availability.ClosedUpstream, ...] = ()
    block: crash_records.Block | None = None
    rejection: pool_capacity.Rejection | None = None


class CallRefusals:
    """Composes and logs the refusals of one call.

    Parameters
    ----------
    call
        The resolved call.
    components
        Shared components of the process.
    pressure
        Records that the tier of the call was not served.
    """

    def __init__(
        self,
        *,
        call: calls.Call,
        components: router_components.Components,
        pressure: call_pressure.CallPressure,
    ) -> None:
        self._call = call
        self._components = components
        self._pressure = pressure

    def unchosen(
        self,
        choice: pool_capacity.Rejection | choosing.AllClosed | None,
        *,
        earlier_may_have_run: bool,
        origin: stream_origin.StreamOrigin | None = None,
    ) -> Refusal:
        """Refuse a request for which no upstream was chosen.

        Parameters
        ----------
        choice
            Why none was chosen; None if no upstream of the pool is known.
        earlier_may_have_run
            Whether an earlier attempt may have run, in which case no return is
            scheduled.
        origin
            Where the stream to be continued began; None for a new request.
        """
        if isinstance(choice, choosing.AllClosed):
            return self._all_closed(choice)
        if isinstance(choice, pool_capacity.Rejection):
            return self._rejected(
                choice, earlier_may_have_run=earlier_may_have_run
            )
        if origin is not None:
            return self._without_version(origin)
        return self._without_upstream()

    def blocked(self, block: crash_records.Block) -> Refusal:
        """Refuse a request that has crashed too many upstreams.

        The crashes are its own, or those of other requests with the same parts.

        The Retry-After is the end of the block and not earlier: each further
        crash also loses all other requests that run on that upstream.
        """
        return self._logged(
            Refusal(
                reason=outcomes.Reason.CRASHED_UPSTREAMS,
                detail=f"{len(block.crashes)} upstreams ended while they ran "
                + (f"requests with {block.id}" if block.parts else "it"),
                retry_after_seconds=block.until
                - self._components.clock.monotonic(),
                block=block,
            )
        )

    def retry_after_closed(
        self, closed: tuple[availability.ClosedUpstream, ...]
    ) -> float:
        """Return the Retry-After for a pool whose upstreams are all closed."""
        return answers.spread_retry_seconds(
            self._components.rng, wait_seconds=closed[0].wait_seconds
        )

    def _all_closed(self, choice: choosing.AllClosed) -> Refusal:
        """Refuse a request while every upstream of its pool is closed.

        An upstream is closed while it is rate limited or in a back-off that it
        asked for. The Retry-After is spread, because the first upstream to
        open has capacity for only a few of the callers that wait.
        """
        self._pressure.record()
        return self._logged(
            Refusal(
                reason=_REASON_BY_CLOSED[choice.closed[0].reason],
                detail="all upstreams of the pool are rate limited or asked "
                "for rest",
                retry_after_seconds=self.retry_after_closed(choice.closed),
                closed=choice.closed[:_MAX_LOGGED_UPSTREAMS],
            )
        )

    def _without_upstream(self) -> Refusal:
        """Refuse a request while no upstream of its pool is known.

        No capacity is missing, so lower tiers are still admitted.
        """
        return self._logged(
            Refusal(
                reason=outcomes.Reason.NO_UPSTREAM,
                detail="no upstream of the pool is known",
            )
        )

    def _without_version(self, origin: stream_origin.StreamOrigin) -> Refusal:
        """Refuse to continue a stream whose version has no upstream left.

        The caller may begin the request anew at once.
        """
        return self._logged(
            Refusal(
                reason=outcomes.Reason.VERSION_GONE,
                detail=f"no upstream of version {origin.version!r} is left to "
                f"continue the stream in pool {origin.pool!r}; request it from "
                "its beginning",
                retry_after_seconds=0.0,
            )
        )

    def of_unknown_origin(self, found: stream_origin.FoundOrigin) -> Refusal:
        """Refuse to continue a stream of which it isn't known where it began.

        The caller may begin the request anew at once.
        """
        return self._logged(
            Refusal(
                reason=outcomes.Reason.VERSION_UNKNOWN,
                detail="it is not known at which version the stream of request "
                f"{self._call.attributes.resumes_request!r} began "
                f"({found.evidence.value}); request it from its beginning",
                retry_after_seconds=0.0,
            )
        )

    def _rejected(
        self, rejection: pool_capacity.Rejection, *, earlier_may_have_run: bool
    ) -> Refusal:
        """Refuse a request that was not admitted at any upstream."""
        self._pressure.record()
        retry_after_seconds = None
        if not earlier_may_have_run:
            retry_after_seconds = self._components.capacity.return_seconds(
                self._call,
                rejection,
                now=self._components.clock.monotonic(),
            )
        self._components.metrics.count_refusal(self._call, rejection)
        return self._logged(
            Refusal(
                reason=outcomes.Reason.OVERLOADED,
                detail=rejection.refusal.value,
                retry_after_seconds=retry_after_seconds,
                rejection=rejection,
            )
        )

    def _logged(self, refusal: Refusal) -> Refusal:
        organisation = self._call.organisation
        retry_after = refusal.retry_after_seconds
        logs.emit(
            events.LogEvent.REQUEST_REFUSED,
            level=logging.WARNING,
            request_id=self._call.request_id,
            reason=refusal.reason.value,
            detail=refusal.detail,
            organisation=organisation.id if organisation else "",
            tier=self._call.tier,
            patience_seconds=round(self._call.patience_seconds, 3),
            digest=self._call.digest,
            closed={one.upstream: one.reason.value for one in refusal.closed},
            upstreams=[
                instance.upstream
                for instance in (refusal.block.crashes if refusal.block else ())
            ],
            block=refusal.block and refusal.block.id,
            retry_after=retry_after and round(retry_after, 3),
            **_logged_rejection(refusal.rejection),
        )
        return refusal


def _logged_rejection(
    rejection: pool_capacity.Rejection | None,
) -> dict[str, object]:
    """Return the log fields of a rejection at an adaptive pool."""
    if rejection is None or rejection.room is None:
        return {}
    fields: dict[str, object] = {
        "arrival": rejection.arrival.value,
        "room_tokens": round(rejection.room.tokens),
        "room_wait_seconds": round(rejection.room.wait_seconds, 3),
    }
    share = rejection.share
    if share is not None:
        fields |= {
            "fraction": round(share.fraction, 3),
            "asked": round(share.asked),
            "fair_rate": round(share.fair_rate),
            "from_fleet": share.from_fleet,
        }
    return fields
