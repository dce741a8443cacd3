"""Receive callers' requests, resolve their route, and execute them."""

import asyncio
import contextlib
import dataclasses
import enum
import logging

from lagoonrun_core import errors, events, logs, outcomes
from lagoonrun_http import errors as http_errors
from lagoonrun_http import exchange as exchanges
from lagoonrun_router import (
    answers,
    declarations,
    execution,
    format_error,
    prompt_part_digests,
    request_digest,
    route_table,
    stream_origin,
    urgency,
)
from lagoonrun_router import call as calls
from lagoonrun_router import components as router_components

_CONFIGURATION_WAIT_SECONDS = 0.4
"""Longest wait of a request for the first declarations and upstreams. Callers
try another entry VM after a little longer; the store usually answers in a few
milliseconds."""

_STOPPING_RETRY_SECONDS = 0.05
"""The next connection of the caller leads to another entry VM."""

_UNCONFIGURED_RETRY_SECONDS = 0.5
"""Retry-After before the first declarations: a starting process has them within
about this time."""


class _Rejection(enum.Enum):
    """Why a request is rejected as invalid, with what the response says."""

    MALFORMED = (
        400,
        errors.Step.CALLER_READ,
        "request",
        "a request as the interface describes it",
    )
    UNKNOWN_KEY = (
        401,
        errors.Step.AUTHENTICATE,
        "Authorization",
        "Authorization: Bearer KEY with a key of an organisation",
    )
    NO_ROUTE = (
        404,
        errors.Step.RESOLVE_SERVICE,
        "path",
        "a host and a path of a declared route",
    )

    def __init__(
        self, status: int, step: errors.Step, field: str, valid: str
    ) -> None:
        self.status = status
        self.step = step
        self.field = field
        self.valid = valid


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PlannedStop:
    """When a process that stops as planned serves what; see `begin_stop`."""

    full_service_until: float
    ends_at: float

    def may_cut(self, call: calls.Call) -> bool:
        """Return whether the process may end before a request does."""
        if call.arrived_at <= self.full_service_until:
            return False
        return call.limit_at > self.ends_at


class Ingress:
    """Serves the HTTP exchanges at the caller address.

    Parameters
    ----------
    components
        Shared components of the process.
    """

    def __init__(self, *, components: router_components.Components) -> None:
        self._components = components
        self._table: route_table.RouteTable | None = None
        self._upstreams_known = False
        self._configured = asyncio.Event()
        self._planned_stop: _PlannedStop | None = None

    def set_route_table(self, table: route_table.RouteTable) -> None:
        """Resolve all later requests by a new revision of the declarations."""
        self._table = table
        self._update_configured()

    def begin_stop(self, *, full_service_until: float, ends_at: float) -> None:
        """Serve only requests that end before this process does.

        Connections on which an answer was begun before the stop are open until
        after that answer, and their callers may send another request on them.

        Parameters
        ----------
        full_service_until
            Monotonic time until which every request is served.
        ends_at
            Monotonic time at which requests that run are aborted.
        """
        self._planned_stop = _PlannedStop(
            full_service_until=full_service_until, ends_at=ends_at
        )

    def on_upstreams_known(self) -> None:
        """Record that the first upstreams are known."""
        self._upstreams_known = True
        self._update_configured()

    def _update_configured(self) -> None:
        if self._table is not None and self._upstreams_known:
            self._configured.set()

    async def handle(self, exchange: exchanges.Exchange) -> None:
        """Answer one request; never raises because of what a caller sent."""
        arrived_at = self._components.clock.monotonic()
        try:
            attributes = self._components.dialect.read_attributes(exchange.head)
        except format_error.FormatError as error:
            await self._reject(exchange, _Rejection.MALFORMED, error.detail)
            return
        body = await exchange.read_body()
        await self._wait_configured()
        # Resolved after the body was read, so that a revision that became
        # active meanwhile applies.
        call = await self._resolve(exchange, attributes, body, arrived_at)
        if call is None:
            return
        if self._planned_stop is not None and self._planned_stop.may_cut(call):
            await self._refuse_stopping(exchange, call)
            return
        await self._serve(call, exchange)

    async def _wait_configured(self) -> None:
        """Wait a limited time for the first declarations and upstreams.

        After a restart of the whole fleet callers reconnect at once, and both
        arrive within some milliseconds, the declarations perhaps first, from a
        peer. A refusal would use up one of the callers' few retries.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CONFIGURATION_WAIT_SECONDS):
                await self._configured.wait()

    async def _resolve(
        self,
        exchange: exchanges.Exchange,
        attributes: calls.CallAttributes,
        body: bytes,
        arrived_at: float,
    ) -> calls.Call | None:
        table = self._table
        if table is None:
            await self._refuse_unconfigured(exchange, attributes)
            return None
        route = table.route_of(attributes.host, exchange.head.target)
        if route is None:
            await self._reject(
                exchange,
                _Rejection.NO_ROUTE,
                f"no route for {attributes.host}{exchange.head.target}",
            )
            return None
        organisation = table.organisation_of(attributes.key)
        if organisation is None and table.requires_keys and not route.public:
            await self._reject(
                exchange,
                _Rejection.UNKNOWN_KEY,
                "the key is missing or unknown",
            )
            return None
        found_origin = None
        if attributes.resumes_after and (
            route.answer_kind is declarations.AnswerKind.EVENTS
        ):
            found_origin = await self._components.stream_origins.find(
                attributes.resumes_request,
                route,
                taken_up_by=attributes.request_id,
            )
        return _call_of(
            found_origin=found_origin,
            table=table,
            route=route,
            organisation=organisation,
            attributes=attributes,
            exchange=exchange,
            body=body,
            arrived_at=arrived_at,
        )

    async def _serve(
        self, call: calls.Call, exchange: exchanges.Exchange
    ) -> None:
        now = self._components.clock.monotonic()
        self._components.retry_budget.record_request(call.pool.name, now=now)
        call_execution = execution.CallExecution(
            call=call, exchange=exchange, components=self._components
        )
        execution_task = asyncio.create_task(call_execution.run())
        caller_left_task = asyncio.create_task(exchange.caller_left.wait())
        try:
            await asyncio.wait(
                {execution_task, caller_left_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not execution_task.done() and (call.idempotent or call.streamed):
                # Nobody reads the answer, and the upstream stops when its
                # connection is closed. A plain request that may run only once
                # is short, and runs to its end.
                execution_task.cancel()
                call_execution.record_caller_left()
            ending = await _ending_of(execution_task)
        except asyncio.CancelledError:
            execution_task.cancel()
            raise
        finally:
            caller_left_task.cancel()
        self._record(call, call_execution, ending)

    def _record(
        self,
        call: calls.Call,
        call_execution: execution.CallExecution,
        ending: outcomes.Ending,
    ) -> None:
        now = self._components.clock.monotonic()
        first_seconds = None
        if call_execution.first_answer_at is not None:
            first_seconds = call_execution.first_answer_at - call.arrived_at
        self._components.metrics.count_ending(
            call,
            ending,
            first_seconds=first_seconds,
            longest_pause_seconds=call_execution.longest_pause_seconds,
        )
        logs.emit(
            events.LogEvent.REQUEST_ENDED,
            request_id=call.request_id,
            resumes=call.attributes.resumes_request,
            route=call.route.name,
            profile=call.route.profile.name,
            organisation=call.organisation.id if call.organisation else "",
            outcome=ending.outcome.value,
            reason=ending.reason.value,
            detail=ending.detail,
            upstream=ending.upstream,
            seconds=round(now - call.arrived_at, 4),
            first_seconds=first_seconds and round(first_seconds, 4),
            longest_pause=round(call_execution.longest_pause_seconds, 4),
            pause_waiting_tokens=call_execution.pause_waiting_tokens,
            target_seconds=call.route.profile.target_seconds,
            pause_target_seconds=call.route.longest_pause_seconds,
            retry_after=round(ending.retry_after_seconds, 3),
            revision=call.revision,
        )

    async def _refuse_unconfigured(
        self, exchange: exchanges.Exchange, attributes: calls.CallAttributes
    ) -> None:
        ending = outcomes.Ending(
            outcome=outcomes.Outcome.NOT_RUN,
            reason=outcomes.Reason.UNCONFIGURED,
            retry_after_seconds=_UNCONFIGURED_RETRY_SECONDS,
            detail="no declarations are in force yet",
        )
        await self._refuse(exchange, attributes, ending)

    async def _refuse_stopping(
        self, exchange: exchanges.Exchange, call: calls.Call
    ) -> None:
        left_seconds = self._planned_stop.ends_at - call.arrived_at
        ending = outcomes.Ending(
            outcome=outcomes.Outcome.NOT_RUN,
            reason=outcomes.Reason.STOPPING,
            retry_after_seconds=_STOPPING_RETRY_SECONDS,
            detail=f"this entry VM stops in {max(0.0, left_seconds):.1f} s, "
            "before the time limit of the request",
        )
        await self._refuse(exchange, call.attributes, ending)

    async def _refuse(
        self,
        exchange: exchanges.Exchange,
        attributes: calls.CallAttributes,
        ending: outcomes.Ending,
    ) -> None:
        logs.emit(
            events.LogEvent.REQUEST_REFUSED,
            level=logging.WARNING,
            request_id=attributes.request_id,
            reason=ending.reason.value,
            retry_after=ending.retry_after_seconds,
        )
        await answers.end_without_answer(
            exchange, request_id=attributes.request_id, ending=ending
        )

    async def _reject(
        self, exchange: exchanges.Exchange, rejection: _Rejection, message: str
    ) -> None:
        logs.emit(
            events.LogEvent.REQUEST_REJECTED,
            peer=exchange.peer,
            status=rejection.status,
            step=rejection.step.value,
            field=rejection.field,
            reason=rejection.name.lower(),
            detail=message,
            revision=self._table.declared.revision if self._table else 0,
        )
        await answers.reject(
            exchange,
            status=rejection.status,
            step=rejection.step,
            field=rejection.field,
            message=message,
            valid=rejection.valid,
        )


def _call_of(
    *,
    table: route_table.RouteTable,
    route: declarations.Route,
    organisation: declarations.RankedOrganisation | None,
    attributes: calls.CallAttributes,
    exchange: exchanges.Exchange,
    body: bytes,
    arrived_at: float,
    found_origin: stream_origin.FoundOrigin | None,
) -> calls.Call:
    pool_name = route_table.choose_pool(route, attributes.request_id)
    if found_origin is not None and found_origin.origin is not None:
        origin_pool = found_origin.origin.pool
        if route_table.may_choose_pool(route, origin_pool):
            pool_name = origin_pool
    limit_seconds = route.profile.limit_seconds
    if attributes.patience_seconds is not None:
        limit_seconds = min(limit_seconds, attributes.patience_seconds)
    tiers = table.tiers_of(pool_name)
    return calls.Call(
        attributes=attributes,
        head=exchange.head,
        body=body,
        route=route,
        pool=table.declared.pools_by_name[pool_name],
        organisation=organisation,
        urgency=urgency.of(
            route.profile.tier,
            organisation,
            organisation_tiers=table.organisation_tiers,
        ),
        last_urgency=urgency.last(
            tiers, organisation_tiers=table.organisation_tiers
        ),
        pool_tiers=tiers,
        tightest_pause_seconds=table.tightest_pause_of(pool_name),
        arrived_at=arrived_at,
        limit_at=arrived_at + limit_seconds,
        revision=table.declared.revision,
        digest=request_digest.digest_of(
            exchange.head,
            host=attributes.host,
            organisation=organisation.id if organisation else None,
            body=body,
        ),
        parts=prompt_part_digests.digests_of(
            attributes.prompt, pool=pool_name, model=attributes.model
        ),
        tier_targets=table.tier_targets_of(pool_name),
        found_origin=found_origin,
    )


async def _ending_of(
    execution_task: asyncio.Task[outcomes.Ending],
) -> outcomes.Ending:
    try:
        return await execution_task
    except (asyncio.CancelledError, http_errors.CallerLeftError):
        return outcomes.Ending(
            outcome=outcomes.Outcome.UNKNOWN,
            reason=outcomes.Reason.CALLER_LEFT,
        )
