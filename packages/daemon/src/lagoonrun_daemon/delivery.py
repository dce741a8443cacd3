"""Send a call to one upstream and deliver the response."""

import asyncio
import dataclasses
from collections.abc import Callable

from lagoonrun_config import model
from lagoonrun_core import outcomes, types
from lagoonrun_daemon import answers, attempt, permit_types, relay
from lagoonrun_daemon import call as calls
from lagoonrun_daemon import services as daemon_services
from lagoonrun_http import errors as http_errors
from lagoonrun_http import hop_by_hop
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream

PRIORITY_HEADER = "X-Request-Priority"
"""Tier of the request, for engines that honour priorities."""

_MAX_RESPONSE_BYTES = 8 * 1024 * 1024

_REPLACED_HEADERS = (
    "Authorization",
    "Content-Length",
    "Expect",
    "Host",
    "X-Request-Id",
    PRIORITY_HEADER,
    relay.RESUME_HEADER,
)
"""Never forwarded: a caller could set a priority above its tier."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class StillRunning:
    """A call that runs past its limit and must not be cancelled.

    Parameters
    ----------
    work
        Task that returns the result of the attempt.
    """

    work: asyncio.Task[outcomes.Ending | attempt.Lost]


Delivered = outcomes.Ending | attempt.Lost


class Delivery:
    """Execute the attempts of one call.

    Parameters
    ----------
    call
        The call to send.
    services
        Shared components of the daemon.
    """

    def __init__(
        self, *, call: calls.Call, services: daemon_services.Services
    ) -> None:
        self._call = call
        self._services = services
        self.sent = False
        self._may_write: Callable[[], bool] | None = None
        self.relay = relay.StreamRelay(call=call, clock=services.clock)

    async def send(
        self,
        permit: permit_types.Permit,
        upstream: model.Upstream,
        *,
        delivers_failures: bool,
        may_write: Callable[[], bool],
    ) -> Delivered | StillRunning:
        """Send the call and deliver the response unless it was lost.

        Parameters
        ----------
        delivers_failures
            Deliver a response with a server error, because no further
            attempt is allowed.
        may_write
            Called on the open connection right before the first byte is
            written.
        """
        self._may_write = may_write
        work = self._attempt(
            permit, upstream, delivers_failures=delivers_failures
        )
        if self._call.idempotent:
            return await work
        return await self._wait_to_limit(asyncio.create_task(work))

    async def _wait_to_limit(
        self, work: asyncio.Task[Delivered]
    ) -> Delivered | StillRunning:
        """Return when the call ends, or at its limit while it is running.

        A non-idempotent call is not cancelled at its limit: it may have taken
        effect, and its outcome must be recorded. The caller does not wait for
        that.
        """
        remaining = self._call.limit_at - self._services.clock.monotonic()
        try:
            done, _ = await asyncio.wait({work}, timeout=max(remaining, 0.0))
        except asyncio.CancelledError:
            work.cancel()
            raise
        if done or self._call.exchange.started:
            return await work
        return StillRunning(work=work)

    async def _attempt(
        self,
        permit: permit_types.Permit,
        upstream: model.Upstream,
        *,
        delivers_failures: bool,
    ) -> Delivered:
        """Execute one attempt and report its end to the dispatcher."""
        started = self._services.clock.monotonic()
        outcome = outcomes.Outcome.UNKNOWN
        reason = outcomes.Reason.CALLER_LEFT
        try:
            result = await self._attempt_within_limit(
                permit, upstream, delivers_failures=delivers_failures
            )
            outcome, reason = _outcome_of(result)
            return result
        finally:
            seconds = self._services.clock.monotonic() - started
            self._services.permits.finish(
                permit, outcome=outcome, reason=reason, total_seconds=seconds
            )
            self._services.metrics.count_attempt(
                profile=permit.profile,
                outcome=outcome,
                reason=reason,
                seconds=seconds,
                tokens=permit.tokens,
            )

    async def _attempt_within_limit(
        self,
        permit: permit_types.Permit,
        upstream: model.Upstream,
        *,
        delivers_failures: bool,
    ) -> Delivered:
        try:
            async with self._limit_scope() as scope:
                loop = asyncio.get_running_loop()
                permit.on_cut = lambda: scope.reschedule(loop.time())
                return await self._exchange(
                    permit, upstream, scope, delivers_failures=delivers_failures
                )
        except TimeoutError:
            return await self._on_timeout(permit)

    def _limit_scope(self) -> asyncio.Timeout:
        """Return the scope that cancels idempotent requests at their limit."""
        if not self._call.idempotent:
            return asyncio.timeout(None)
        now = self._services.clock.monotonic()
        return asyncio.timeout(self._call.limit_at - now)

    async def _exchange(
        self,
        permit: permit_types.Permit,
        upstream: model.Upstream,
        scope: asyncio.Timeout,
        *,
        delivers_failures: bool,
    ) -> Delivered:
        self.sent = True
        response = await self._services.client.send(
            self._upstream_request(),
            address=upstream.address,
            port=upstream.port,
            new_connection=not self._call.idempotent,
            may_write=self._may_write,
        )
        if isinstance(response, http_upstream.UpstreamFailure):
            return attempt.lost_by(response, upstream=upstream.id)
        try:
            head = response.head
            if attempt.says_not_run(head):
                return attempt.not_run_by(head, upstream=upstream.id)
            if self._call.resolved.streamed and head.status == 200:
                return await self.relay.run(response, permit, scope)
            return await self._deliver_whole(
                permit, response, delivers_failures=delivers_failures
            )
        finally:
            await response.cancel()

    async def _deliver_whole(
        self,
        permit: permit_types.Permit,
        response: http_upstream.UpstreamResponse,
        *,
        delivers_failures: bool,
    ) -> Delivered:
        body = await response.read_all(_MAX_RESPONSE_BYTES)
        if isinstance(body, http_upstream.UpstreamFailure):
            return attempt.lost_by(body, upstream=permit.upstream)
        failed = attempt.says_failed(response.head)
        if failed and not delivers_failures:
            return attempt.failed_by(response.head, upstream=permit.upstream)
        ending = outcomes.Ending(
            outcome=_outcome_of_whole(response, failed=failed),
            upstream=permit.upstream,
        )
        if self._call.exchange.started:
            # The caller was informed at the limit that the outcome is unknown.
            return ending
        try:
            await answers.pass_on(
                self._call.exchange,
                request_id=self._call.request_id,
                ending=ending,
                head=response.head,
                body=body,
            )
        except http_errors.CallerLeftError:
            # The request has run; a claim records its actual outcome.
            return dataclasses.replace(
                ending, reason=outcomes.Reason.CALLER_LEFT
            )
        return ending

    async def _on_timeout(self, permit: permit_types.Permit) -> Delivered:
        reason = permit.cut_reason
        if reason is outcomes.Reason.NONE:
            reason = outcomes.Reason.DEADLINE
        if self._call.exchange.started:
            return await self.relay.end_partial(reason, permit.upstream)
        return attempt.Lost(
            ran=outcomes.Outcome.UNKNOWN,
            reason=reason,
            detail="the upstream was stopped before its answer began",
            upstream=permit.upstream,
        )

    def _upstream_request(self) -> http_upstream.UpstreamRequest:
        call = self._call
        head = http_messages.RequestHead(
            method=call.head.method,
            target=call.head.target,
            headers=request_headers(
                call.head.headers,
                tier=call.resolved.profile.tier,
                delivered_events=self.relay.delivered_events,
            ),
        )
        return http_upstream.UpstreamRequest(
            head=head, body=call.body, request_id=call.request_id
        )


def request_headers(
    headers: http_messages.Headers, *, tier: types.Tier, delivered_events: int
) -> http_messages.Headers:
    """Return the headers with which a call is sent to an upstream.

    Parameters
    ----------
    headers
        Headers of the caller's request.
    delivered_events
        Events of the stream that the caller has already received.
    """
    passed = hop_by_hop.strip(headers).without(_REPLACED_HEADERS)
    passed = passed.with_added(PRIORITY_HEADER, str(tier))
    if not delivered_events:
        return passed
    return passed.with_added(relay.RESUME_HEADER, str(delivered_events))


def _outcome_of(
    result: Delivered,
) -> tuple[outcomes.Outcome, outcomes.Reason]:
    if isinstance(result, attempt.Lost):
        return result.ran, result.reason
    return result.outcome, result.reason


def _outcome_of_whole(
    response: http_upstream.UpstreamResponse, *, failed: bool
) -> outcomes.Outcome:
    if failed:
        return outcomes.Outcome.FAILED
    if response.close_delimited:
        # Only the closed connection marks the end, so a truncated response
        # would look the same.
        return outcomes.Outcome.UNKNOWN
    return outcomes.Outcome.COMPLETE
