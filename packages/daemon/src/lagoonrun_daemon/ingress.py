"""Accept callers' requests and execute each to its final response."""

import asyncio
import secrets

from lagoonrun_claims import claim
from lagoonrun_config import model
from lagoonrun_core import errors, events, logs, outcomes, types
from lagoonrun_daemon import (
    answers,
    execution,
    metrics,
    own_explanations,
    resolution,
)
from lagoonrun_daemon import call as calls
from lagoonrun_daemon import services as daemon_services
from lagoonrun_http import errors as http_errors
from lagoonrun_http import server as http_server

_REQUEST_ID_BYTES = 12
_BAD_KEY = resolution.Rejection(
    status=400,
    step=errors.Step.CALLER_READ,
    field=calls.IDEMPOTENCY_KEY_HEADER,
    message="the idempotency key is empty or too long",
    valid=f"1 to {claim.MAXIMUM_KEY_BYTES} bytes",
)


class Ingress:
    """Serve the HTTP exchanges of the caller address.

    Parameters
    ----------
    services
        Shared components of the daemon.
    metrics
        Counters that the ingress updates.
    """

    def __init__(
        self,
        *,
        services: daemon_services.Services,
        metrics: metrics.DaemonMetrics,
    ) -> None:
        self._services = services
        self._metrics = metrics
        self._resolver: resolution.Resolver | None = None
        self._explanations = own_explanations.OwnExplanations(
            ring=services.explanations
        )

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Resolve subsequent requests by a new revision."""
        self._resolver = resolution.Resolver(configuration=configuration)

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Respond to one request; never raises for errors of a caller."""
        request_id = types.RequestId(secrets.token_hex(_REQUEST_ID_BYTES))
        arrived_at = self._services.clock.monotonic()
        resolver = self._resolver
        if resolver is None:
            await answers.refuse(
                exchange,
                request_id=request_id,
                ending=outcomes.Ending(
                    outcome=outcomes.Outcome.NOT_RUN,
                    reason=outcomes.Reason.UNCONFIGURED,
                    retry_after_seconds=1.0,
                    detail="no configuration is in force yet",
                ),
            )
            return
        call = await self._admit(exchange, request_id, arrived_at, resolver)
        if call is not None:
            await self._execute(call)

    async def _admit(
        self,
        exchange: http_server.Exchange,
        request_id: types.RequestId,
        arrived_at: float,
        resolver: resolution.Resolver,
    ) -> calls.Call | None:
        """Return the resolved call, or None if it has been responded to."""
        headers = exchange.head.headers
        organisation = resolver.authenticate(headers.get("Authorization"))
        if isinstance(organisation, resolution.Rejection):
            await self._reject(exchange, request_id, organisation)
            return None
        if self._explanations.matches(exchange.head.target):
            await self._explanations.answer(exchange, organisation.id)
            return None
        key = headers.get(calls.IDEMPOTENCY_KEY_HEADER)
        if key is not None and not calls.is_valid_key(key):
            await self._reject(exchange, request_id, _BAD_KEY)
            return None
        body = await exchange.read_body()
        resolved = resolver.resolve(
            organisation=organisation,
            target=exchange.head.target,
            body=body,
        )
        if isinstance(resolved, resolution.Rejection):
            await self._reject(exchange, request_id, resolved)
            return None
        return calls.Call(
            request_id=request_id,
            exchange=exchange,
            body=body,
            resolved=resolved,
            configuration=resolver.configuration,
            arrived_at=arrived_at,
            target_at=arrived_at + resolved.profile.target_seconds,
            limit_at=arrived_at + resolved.profile.limit_seconds,
            idempotency_key=key,
        )

    async def _reject(
        self,
        exchange: http_server.Exchange,
        request_id: types.RequestId,
        rejection: resolution.Rejection,
    ) -> None:
        logs.emit(
            events.LogEvent.REQUEST_REJECTED,
            request_id=request_id,
            status=rejection.status,
            step=rejection.step.value,
            field=rejection.field,
        )
        self._metrics.rejected.labels(str(rejection.status)).inc()
        await answers.reject(
            exchange, request_id=request_id, rejection=rejection
        )

    async def _execute(self, call: calls.Call) -> None:
        run = execution.CallExecution(call=call, services=self._services)
        profile = call.resolved.profile.name
        self._metrics.begin(profile)
        work = asyncio.create_task(run.run())
        left = asyncio.create_task(call.exchange.caller_left.wait())
        try:
            await asyncio.wait(
                {work, left}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done() and not run.must_finish:
                work.cancel()
            ending = await self._ending_of(work)
        except asyncio.CancelledError:
            work.cancel()
            raise
        finally:
            left.cancel()
            self._metrics.finish(profile)
            self._services.permits.forget_request(call.request_id)
        self._record(call, ending, run.first_token_at)

    async def _ending_of(
        self, work: asyncio.Task[outcomes.Ending]
    ) -> outcomes.Ending:
        try:
            return await work
        except (asyncio.CancelledError, http_errors.CallerLeftError):
            return outcomes.Ending(
                outcome=outcomes.Outcome.UNKNOWN,
                reason=outcomes.Reason.CALLER_LEFT,
            )

    def _record(
        self,
        call: calls.Call,
        ending: outcomes.Ending,
        first_token_at: float | None,
    ) -> None:
        seconds = self._services.clock.monotonic() - call.arrived_at
        self._services.explanations.end(call.request_id, ending)
        self._metrics.count_ending(
            profile=call.resolved.profile,
            ending=ending,
            latencies=metrics.Latencies(
                first_token_seconds=first_token_at - call.arrived_at
                if first_token_at is not None
                else 0.0,
                total_seconds=seconds,
            ),
        )
        logs.emit(
            events.LogEvent.REQUEST_ENDED,
            request_id=call.request_id,
            organisation=call.resolved.organisation,
            service=call.resolved.service.name,
            profile=call.resolved.profile.name,
            outcome=ending.outcome.value,
            reason=ending.reason.value,
            upstream=ending.upstream,
            seconds=round(seconds, 4),
            revision=call.configuration.revision,
        )
