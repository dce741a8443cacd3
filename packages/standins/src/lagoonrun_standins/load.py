"""Open-loop load generator: send times don't depend on earlier requests."""

import asyncio
import collections
import dataclasses
import enum
import itertools
import math
from collections.abc import Sequence

from lagoonrun_config import settings
from lagoonrun_core import clock as clock_lib
from lagoonrun_standins import (
    answer_check,
    http_client,
    load_summary,
    traffic,
)

_FIRST_TOKEN_MARK = b'"content"'


class RetryMode(enum.Enum):
    """Whether callers retry a refused request after `Retry-After`."""

    NEVER = "never"
    ONCE = "once"


@dataclasses.dataclass(kw_only=True)
class _Attempt:
    """What has been received for one attempt of a request so far."""

    request_id: str = ""
    first_token_at: float = math.nan
    retry_after_seconds: float = 0.0


class LoadGenerator:
    """Sends requests to entry VMs and checks every response.

    Parameters
    ----------
    addresses
        Caller addresses of the entry VMs, used round robin, as by a load
        balancer.
    retry_mode
        Whether callers retry once after a refusal.
    clock
        Schedules the requests and measures latencies.
    """

    def __init__(
        self,
        *,
        addresses: Sequence[settings.Address],
        retry_mode: RetryMode = RetryMode.NEVER,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self.results: list[load_summary.Result] = []
        self._addresses = addresses
        self._turns = itertools.cycle(addresses)
        self._retry_mode = retry_mode
        self._clock = clock or clock_lib.SystemClock()
        self._idle_by_address: dict[
            settings.Address, list[http_client.ClientConnection]
        ] = collections.defaultdict(list)
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        arrivals: Sequence[traffic.Arrival],
        *,
        start_at: float | None = None,
    ) -> list[load_summary.Result]:
        """Send all requests at their times; return after the last has ended.

        Parameters
        ----------
        arrivals
            Requests, sorted by time.
        start_at
            Clock time from which the arrival times count; now if None.
        """
        start = self._clock.monotonic() if start_at is None else start_at
        for arrival in arrivals:
            due = start + arrival.at_seconds
            wait = due - self._clock.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            task = asyncio.create_task(self._call(arrival, due))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        return self.results

    async def close(self) -> None:
        """Cancel running requests and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for idle in self._idle_by_address.values():
            for connection in idle:
                await connection.close()
        self._idle_by_address.clear()

    async def _call(self, arrival: traffic.Arrival, due: float) -> None:
        lag = self._clock.monotonic() - due
        attempt = _Attempt()
        attempts = 1
        verdict = await self._attempt_with_timeout(arrival, due, attempt)
        if self._should_retry(verdict, attempt):
            await asyncio.sleep(attempt.retry_after_seconds)
            attempt = _Attempt()
            attempts = 2
            verdict = await self._attempt_with_timeout(arrival, due, attempt)
        self.results.append(
            load_summary.Result(
                arrival=arrival,
                verdict=verdict,
                request_id=attempt.request_id,
                first_token_seconds=attempt.first_token_at - due,
                total_seconds=self._clock.monotonic() - due,
                send_lag_seconds=lag,
                attempts=attempts,
            )
        )

    def _should_retry(
        self, verdict: answer_check.Verdict, attempt: _Attempt
    ) -> bool:
        refused = verdict.kind is answer_check.ResultKind.NOT_RUN
        allowed = self._retry_mode is RetryMode.ONCE
        return allowed and refused and attempt.retry_after_seconds > 0

    async def _attempt_with_timeout(
        self, arrival: traffic.Arrival, due: float, attempt: _Attempt
    ) -> answer_check.Verdict:
        left = due + arrival.traffic_class.patience - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                return await self._attempt(arrival, attempt)
        except TimeoutError:
            return answer_check.Verdict(
                kind=answer_check.ResultKind.CALLER_LEFT
            )

    async def _attempt(
        self, arrival: traffic.Arrival, attempt: _Attempt
    ) -> answer_check.Verdict:
        connection = await self._connect()
        if connection is None:
            return answer_check.Verdict(kind=answer_check.ResultKind.UNREACHED)
        try:
            return await self._exchange(connection, arrival, attempt)
        except (ConnectionError, OSError) as error:
            return answer_check.Verdict(
                kind=answer_check.ResultKind.CUT, reason=str(error)
            )
        finally:
            await self._release(connection)

    async def _exchange(
        self,
        connection: http_client.ClientConnection,
        arrival: traffic.Arrival,
        attempt: _Attempt,
    ) -> answer_check.Verdict:
        await connection.send(
            "POST", arrival.path, body=arrival.body, headers=_headers(arrival)
        )
        head = await connection.read_head()
        attempt.request_id = answer_check.request_id_of(head)
        attempt.retry_after_seconds = float(
            head.headers.get("retry-after", "0")
        )
        parts = []
        while (data := await connection.read_data()) is not None:
            if math.isnan(attempt.first_token_at) and _is_first(arrival, data):
                attempt.first_token_at = self._clock.monotonic()
            parts.append(data)
        return answer_check.check(arrival, head, b"".join(parts))

    async def _connect(self) -> http_client.ClientConnection | None:
        """Return a connection to the next entry VM that is reachable.

        Nothing has been sent yet, so trying another one repeats no request.
        """
        for _ in self._addresses:
            address = next(self._turns)
            idle = self._idle_by_address[address]
            while idle:
                connection = idle.pop()
                if connection.is_reusable:
                    connection.start_next()
                    return connection
                await connection.close()
            connection = http_client.ClientConnection(
                host=address.host, port=address.port
            )
            try:
                await connection.start()
            except OSError:
                continue
            return connection
        return None

    async def _release(self, connection: http_client.ClientConnection) -> None:
        if not connection.is_reusable:
            await connection.close()
            return
        address = settings.Address(host=connection.host, port=connection.port)
        self._idle_by_address[address].append(connection)


def _headers(arrival: traffic.Arrival) -> list[tuple[str, str]]:
    headers = [
        ("Authorization", f"Bearer {arrival.caller.key}"),
        ("X-Request-Id", arrival.id),
    ]
    if arrival.traffic_class.sends_keys:
        headers.append(("Idempotency-Key", arrival.id))
    if not arrival.traffic_class.is_plain:
        headers.append(("Content-Type", "application/json"))
    return headers


def _is_first(arrival: traffic.Arrival, data: bytes) -> bool:
    return arrival.traffic_class.is_plain or _FIRST_TOKEN_MARK in data
