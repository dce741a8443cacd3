"""Stand-in of the platform: its key-value service and its list of VMs.

It implements the HTTP/JSON gateway of etcd v3 in memory. Faults are set at
`/control` on the same port.
"""

import asyncio
import collections
import dataclasses
import enum
import sys
from collections.abc import Sequence
from typing import Any

from absl import flags

from lagoonrun_core import clock as clock_lib
from lagoonrun_standins import (
    command_line,
    controls,
    gateway_calls,
    gateway_watches,
    vm_list,
)
from lagoonrun_standins import http_server as http_lib
from lagoonrun_standins import key_value_state as state_lib

_EXPIRY_PERIOD_SECONDS = 0.05
_WATCH_PATH = "/v3/watch"
_READS = ("range", "watch", "timetolive", "vms")

_GRPC_INVALID_ARGUMENT = 3
_GRPC_NOT_FOUND = 5
_GRPC_OUT_OF_RANGE = 11


class Outage(enum.Enum):
    """What happens to calls during an outage."""

    NONE = "none"
    CLOSE = "close"
    HANG = "hang"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Faults in effect; the fields of `POST /control`.

    Parameters
    ----------
    outage
        `close` drops connections. `hang` leaves calls unanswered, and drops
        them without effect when the outage ends.
    delay_seconds
        Time between the effect of a call and its response.
    lose_replies
        Number of next calls that take effect, but lose their response; only
        calls that change a key count.
    read_lag_revisions
        Age, in revisions, of the state that ranges outside transactions read.
    vm_list_delay_seconds
        Time after which `GET /vms` shows a change.
    """

    outage: Outage = Outage.NONE
    delay_seconds: float = 0.0
    lose_replies: int = 0
    read_lag_revisions: int = 0
    vm_list_delay_seconds: float = 0.0


class PlatformStore:
    """The platform's key-value service and list of VMs.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        Port to listen on; 0 lets the operating system choose.
    clock
        Determines when leases expire, and the delay of the list of VMs.
    progress_seconds
        Period of the progress lines of watches that request them.
    """

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: clock_lib.Clock | None = None,
        progress_seconds: float = 5.0,
    ) -> None:
        clock = clock or clock_lib.SystemClock()
        self.host = host
        self.faults = Faults()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.calls_in_outage = 0
        self.state = state_lib.KeyValueState(clock=clock)
        self.vms = vm_list.VmList(clock=clock)
        self._calls = gateway_calls.GatewayCalls(state=self.state)
        self._watches = gateway_watches.GatewayWatches(
            state=self.state, progress_seconds=progress_seconds
        )
        self.state.on_change = self._watches.publish
        self._server = http_lib.HttpServer(
            handler=self._handle, host=host, port=port
        )
        self._outage_ended = asyncio.Event()
        self._expiry: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.port

    async def start(self) -> None:
        """Start listening and expiring leases."""
        await self._server.start()
        self._expiry = asyncio.create_task(self._run_expiry())

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        if self._expiry:
            self._expiry.cancel()
            await asyncio.gather(self._expiry, return_exceptions=True)
        await self._server.close()

    def control(
        self, body: Any, *, exchange: http_lib.Exchange | None = None
    ) -> None:
        """Apply the JSON object of a control call.

        Parameters
        ----------
        body
            Fields of `Faults` to change; optionally `reset_counters: true`.
        exchange
            Its connection is kept when the others are aborted.

        Raises
        ------
        ValueError
            If a field does not exist or its value is not valid.
        """
        fields, resets_counters = controls.split_action(body, "reset_counters")
        before = self.faults.outage
        self.faults = controls.with_fields(self.faults, fields)
        self._calls.read_lag_revisions = self.faults.read_lag_revisions
        self._watches.set_paused(self.faults.outage is Outage.HANG)
        if resets_counters:
            self.calls_by_kind.clear()
            self.calls_in_outage = 0
        if self.faults.outage is Outage.CLOSE:
            self._server.drop_all(sparing=exchange)
        if before is Outage.HANG and self.faults.outage is not before:
            self._outage_ended.set()
            self._outage_ended = asyncio.Event()

    def counters(self) -> dict[str, Any]:
        """Return the number of calls by kind and in total, and the revision."""
        reads = sum(self.calls_by_kind[kind] for kind in _READS)
        total = self.calls_by_kind.total()
        return {
            "calls_by_kind": dict(self.calls_by_kind),
            "reads": reads,
            "writes": total - reads,
            "total": total,
            "calls_in_outage": self.calls_in_outage,
            "revision": self.state.revision,
            "watches": len(self._watches),
        }

    async def _run_expiry(self) -> None:
        while True:
            self.state.expire()
            await asyncio.sleep(_EXPIRY_PERIOD_SECONDS)

    async def _handle(
        self, request: http_lib.Request, exchange: http_lib.Exchange
    ) -> None:
        if controls.is_control(request):
            controls.answer(request, exchange, target=self)
            return
        if self.faults.outage is not Outage.NONE:
            self.calls_in_outage += 1
            await self._fail(exchange)
            return
        self.state.expire()
        try:
            await self._answer(request, exchange)
        except (ValueError, state_lib.StateError) as error:
            _refuse(exchange, error)

    async def _fail(self, exchange: http_lib.Exchange) -> None:
        if self.faults.outage is Outage.HANG:
            await exchange.wait_unless_gone(self._outage_ended.wait())
        exchange.drop()

    async def _answer(
        self, request: http_lib.Request, exchange: http_lib.Exchange
    ) -> None:
        path = request.path
        if path == _WATCH_PATH:
            self.calls_by_kind["watch"] += 1
            await self._watches.serve(request.json(), exchange)
        elif self._calls.serves(path):
            self.calls_by_kind[path.rsplit("/", 1)[-1]] += 1
            before = self.state.revision
            answer = self._calls.answer(path, request.json())
            changed = self.state.revision != before
            await self._reply(exchange, answer, changed=changed)
        elif path == "/vms" and request.method == "GET":
            self.calls_by_kind["vms"] += 1
            delay = self.faults.vm_list_delay_seconds
            answer = self.vms.listing(delay_seconds=delay)
            await self._reply(exchange, answer, changed=False)
        elif path.startswith("/vms/") and request.method == "POST":
            self.vms.set(path.removeprefix("/vms/"), request.json())
            exchange.respond_json(200, {})
        else:
            exchange.respond_json(404, {"error": f"no path {path!r}"})

    async def _reply(
        self,
        exchange: http_lib.Exchange,
        answer: dict[str, Any],
        *,
        changed: bool,
    ) -> None:
        if changed and self._consume_lost_reply():
            exchange.drop()
            return
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.outage is Outage.NONE:
            exchange.respond_json(200, answer)
        else:
            await self._fail(exchange)

    def _consume_lost_reply(self) -> bool:
        self.faults, taken = controls.consume_count(self.faults, "lose_replies")
        return taken


def _refuse(exchange: http_lib.Exchange, error: Exception) -> None:
    code, status = _GRPC_INVALID_ARGUMENT, 400
    if isinstance(error, state_lib.LeaseNotFoundError):
        code, status = _GRPC_NOT_FOUND, 404
    elif isinstance(error, state_lib.CompactedError):
        code = _GRPC_OUT_OF_RANGE
    message = str(error)
    body = {"error": message, "code": code, "message": message}
    exchange.respond_json(status, body)


def main(arguments: Sequence[str]) -> None:
    """Run the stand-in until SIGTERM."""
    values = command_line.address_flags()
    flags.DEFINE_float(
        "progress_seconds",
        5.0,
        "Period of a watch's progress lines.",
        flag_values=values,
    )
    values(arguments)
    command_line.run(
        lambda: PlatformStore(
            host=values.host,
            port=values.port,
            progress_seconds=values.progress_seconds,
        ),
        values,
    )


if __name__ == "__main__":
    main(sys.argv)
