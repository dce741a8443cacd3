"""Stand-in of a plain service: serves any method and path and counts runs.

A request that was not run is answered by 503 with the header
`X-Not-Run: true`. Faults and counters are at `/control`.
"""

import asyncio
import dataclasses
import hashlib
import sys
from collections.abc import Sequence
from typing import Any

from absl import flags

from lagoonrun_core import clock as clock_lib
from lagoonrun_standins import (
    command_line,
    controls,
    load_report,
    run_counts,
    upstream_protocol,
)
from lagoonrun_standins import http_server as http_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Faults in effect; the fields of `POST /control`.

    Parameters
    ----------
    service_seconds
        Time from the end of a request to its response.
    close_at_first_byte
        Number of next requests whose connection closes when their first
        byte arrives; they are not run.
    close_before_answer
        Number of next requests that are run, but whose connection closes
        instead of a response.
    refuse
        Number of next requests that are refused and not run.
    retry_after_seconds
        `Retry-After` of refusals; 0 omits the header.
    omit_echoes
        Number of next responses without `X-Request-Id`.
    leaving
        Reported at `/state` and `/metrics`.
    refuses_when_leaving
        New requests are refused, and not run, while leaving.
    frozen
        No request is answered; connections stay open.
    metrics_lag_seconds
        Age of the load that `/metrics` serves.
    """

    service_seconds: float = 0.0
    close_at_first_byte: int = 0
    close_before_answer: int = 0
    refuse: int = 0
    retry_after_seconds: float = 0.0
    omit_echoes: int = 0
    leaving: bool = False
    refuses_when_leaving: bool = False
    frozen: bool = False
    metrics_lag_seconds: float = 0.0


class PlainService:
    """Responds to each request with a summary of the request.

    A request that has started to run is completed even if its client
    disconnects.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        Port to listen on; 0 lets the operating system choose.
    service_seconds
        Initial `service_seconds` of `Faults`.
    slots
        Maximum number of concurrent requests; the others wait. 0 for no
        limit.
    clock
        Timestamps runs while leaving, and load samples.
    """

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        service_seconds: float = 0.0,
        slots: int = 0,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self.host = host
        self.faults = Faults(service_seconds=service_seconds)
        clock = clock or clock_lib.SystemClock()
        self.runs = run_counts.RunCounts(clock=clock)
        self._report = load_report.LoadReport(clock=clock)
        self.completed = 0
        self.running = 0
        self.waiting = 0
        self.refused = 0
        self.cut_before_answer = 0
        self._server = http_lib.HttpServer(
            handler=self._handle, host=host, port=port
        )
        self._slots = asyncio.Semaphore(slots) if slots else None
        self._thawed = asyncio.Event()
        self._thawed.set()

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.port

    async def start(self) -> None:
        """Start listening."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        await self._server.close()

    def control(
        self, body: Any, *, exchange: http_lib.Exchange | None = None
    ) -> None:
        """Apply the JSON object of a control call.

        Parameters
        ----------
        body
            Fields of `Faults` to change; optionally `crash: true`, which
            aborts all connections.
        exchange
            Its connection is kept when the others are aborted.

        Raises
        ------
        ValueError
            If a field does not exist or its value is not valid.
        """
        fields, crashes = controls.split_action(body, "crash")
        self.faults = controls.with_fields(self.faults, fields)
        self.runs.set_leaving(self.faults.leaving)
        self._report.lag_seconds = self.faults.metrics_lag_seconds
        self._record_load()
        if "close_at_first_byte" in fields:
            count = self.faults.close_at_first_byte
            self._server.abort_next_at_first_byte(count)
        if self.faults.frozen:
            self._thawed.clear()
        else:
            self._thawed.set()
        if crashes:
            self._server.drop_all(sparing=exchange)

    def counters(self) -> dict[str, Any]:
        """Return the totals since the start."""
        return self.runs.totals() | {
            "completed": self.completed,
            "refused": self.refused,
            "cut_before_answer": self.cut_before_answer,
            "running": self.running,
            "waiting": self.waiting,
        }

    async def _handle(
        self, request: http_lib.Request, exchange: http_lib.Exchange
    ) -> None:
        if request.path == "/control/runs":
            exchange.respond_json(200, self.runs.by_id())
            return
        if controls.is_control(request):
            controls.answer(request, exchange, target=self)
            return
        await exchange.wait_unless_gone(self._thawed.wait())
        if (request.method, request.path) == ("GET", "/state"):
            exchange.respond_json(200, self._state(), self._echo(request))
        elif (request.method, request.path) == ("GET", "/metrics"):
            plain = ("Content-Type", "text/plain; version=0.0.4")
            headers = [plain, *self._echo(request)]
            exchange.respond(200, self._report.text(), headers)
        elif self._refuses():
            self._refuse(request, exchange)
        else:
            await self._run_in_slot(request, exchange)

    def _state(self) -> dict[str, Any]:
        return {
            "leaving": self.faults.leaving,
            "running": self.running,
            "waiting": self.waiting,
        }

    def _record_load(self) -> None:
        load = load_report.Load(
            running=self.running,
            waiting=self.waiting,
            leaving=self.faults.leaving,
        )
        self._report.record(load)

    def _refuses(self) -> bool:
        if self.faults.leaving and self.faults.refuses_when_leaving:
            return True
        return self._consume("refuse")

    def _refuse(
        self, request: http_lib.Request, exchange: http_lib.Exchange
    ) -> None:
        self.refused += 1
        upstream_protocol.refuse(
            request,
            exchange,
            503,
            "not run",
            retry_after_seconds=self.faults.retry_after_seconds,
        )

    async def _run_in_slot(
        self, request: http_lib.Request, exchange: http_lib.Exchange
    ) -> None:
        if self._slots is None:
            await self._run(request, exchange)
            return
        self.waiting += 1
        self._record_load()
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
            self._record_load()
        try:
            await self._run(request, exchange)
        finally:
            self._slots.release()

    async def _run(
        self, request: http_lib.Request, exchange: http_lib.Exchange
    ) -> None:
        self.runs.add(request.headers)
        self.running += 1
        self._record_load()
        try:
            await asyncio.sleep(self.faults.service_seconds)
        finally:
            self.running -= 1
            self._record_load()
        self.completed += 1
        if self._consume("close_before_answer"):
            self.cut_before_answer += 1
            exchange.drop()
            return
        exchange.respond_json(
            200, request_summary(request), self._echo(request)
        )

    def _echo(self, request: http_lib.Request) -> list[http_lib.Header]:
        if self._consume("omit_echoes"):
            return []
        return [upstream_protocol.echo(request)]

    def _consume(self, name: str) -> bool:
        self.faults, taken = controls.consume_count(self.faults, name)
        return taken


def request_summary(request: http_lib.Request) -> dict[str, str]:
    """Return the description of a request that its response contains."""
    return {
        "method": request.method,
        "path": request.path,
        "query": request.query,
        "request_id": upstream_protocol.request_id(request),
        "body_digest": body_digest(request.body),
    }


def body_digest(body: bytes) -> str:
    """Return the digest of a request's body that its response contains."""
    return hashlib.sha256(body).hexdigest()


def main(arguments: Sequence[str]) -> None:
    """Run the stand-in until SIGTERM."""
    values = command_line.address_flags()
    flags.DEFINE_float(
        "service_seconds",
        0.0,
        "Time from the end of a request to its response.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "slots",
        0,
        "Maximum number of concurrent requests; 0 for no limit.",
        flag_values=values,
    )
    values(arguments)
    command_line.run(
        lambda: PlainService(
            host=values.host,
            port=values.port,
            service_seconds=values.service_seconds,
            slots=values.slots,
        ),
        values,
    )


if __name__ == "__main__":
    main(sys.argv)
