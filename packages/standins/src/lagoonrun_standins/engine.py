"""Stand-in of a model engine: batching, streaming, cancelling and faults.

Serves chat completions at `/v1/chat/completions`, load at `/metrics`, state
at `/state`, orders at `/orders`, faults and counters at `/control`. Interrupted
streams can be resumed.
"""

import asyncio
import dataclasses
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from absl import flags

from lagoonrun_core import clock as clock_lib
from lagoonrun_standins import (
    command_line,
    controls,
    engine_batch,
    engine_chat,
    engine_faults,
    engine_orders,
    load_report,
    prefix_cache,
    run_counts,
    upstream_protocol,
)
from lagoonrun_standins import http_server as http_lib

_CHAT_PATH = "/v1/chat/completions"
_MAX_SCHEDULE_LAG_SECONDS = 0.1
_HELP = "As the parameter of the same name."


class Engine:
    """A model engine with continuous batching.

    Parameters
    ----------
    host
        IP address to listen on.
    port
        Port to listen on; 0 lets the operating system choose.
    cost
        Durations and limits of the steps.
    prefix_bytes
        Length of the prompt prefix that is one cache entry.
    prefix_capacity
        Maximum number of prefixes in the cache.
    resumes
        Whether `X-Resume-Offset` is supported; refused otherwise.
    models
        Models loaded at the start; if empty, any model is served.
    role
        Role at the start.
    checks_fencing
        Whether orders with an old fencing number are refused.
    load_seconds
        Time that a load order takes.
    metrics_lag_seconds
        Age of the load that `/metrics` serves, at first.
    seed
        Seed of random answer lengths; the same for all engines of a pool.
    clock
        Timestamps the load samples and schedules the steps.
    """

    def __init__(
        self,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        cost: engine_batch.CostModel | None = None,
        prefix_bytes: int = 1024,
        prefix_capacity: int = 256,
        resumes: bool = False,
        models: Iterable[str] = (),
        role: str = "serve",
        checks_fencing: bool = True,
        load_seconds: float = 0.0,
        metrics_lag_seconds: float = 0.0,
        seed: int = 0,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self.host = host
        self._clock = clock or clock_lib.SystemClock()
        self.runs = run_counts.RunCounts(clock=self._clock)
        self._reply_faults = engine_faults.ReplyFaults(
            faults=engine_faults.Faults(metrics_lag_seconds=metrics_lag_seconds)
        )
        self.batch = engine_batch.Batch(cost=cost or engine_batch.CostModel())
        self.cache = prefix_cache.PrefixCache(
            prefix_bytes=prefix_bytes, capacity=prefix_capacity
        )
        self.orders = engine_orders.EngineOrders(
            models=models,
            role=role,
            checks_fencing=checks_fencing,
            load_seconds=load_seconds,
        )
        self._report = load_report.LoadReport(
            clock=self._clock, lag_seconds=metrics_lag_seconds
        )
        self._server = http_lib.HttpServer(
            handler=self._handle, host=host, port=port
        )
        self._has_work = asyncio.Event()
        self._chat = engine_chat.ChatCompletions(
            batch=self.batch,
            cache=self.cache,
            orders=self.orders,
            faults=self._reply_faults,
            runs=self.runs,
            resumes=resumes,
            seed=seed,
            on_queued=self._has_work.set,
        )
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._step_task: asyncio.Task[None] | None = None

    @property
    def faults(self) -> engine_faults.Faults:
        """Return the faults in effect."""
        return self._reply_faults.faults

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.port

    async def start(self) -> None:
        """Start listening and start the step loop."""
        await self._server.start()
        self._step_task = asyncio.create_task(self._run_steps())

    async def close(self) -> None:
        """Stop the step loop and abort every connection."""
        if self._step_task:
            self._step_task.cancel()
            await asyncio.gather(self._step_task, return_exceptions=True)
        await self._server.close()

    def crash(self, *, exchange: http_lib.Exchange | None = None) -> None:
        """Drop all requests and the prefix cache; abort all connections.

        Parameters
        ----------
        exchange
            Its connection is kept.
        """
        self._server.drop_all(sparing=exchange)
        self.batch.crash()
        self.cache.clear()

    def control(
        self, body: Any, *, exchange: http_lib.Exchange | None = None
    ) -> None:
        """Apply the JSON object of a control call.

        Parameters
        ----------
        body
            Fields of `Faults` to change; optionally `crash: true`.
        exchange
            Its connection is kept when the others are aborted.

        Raises
        ------
        ValueError
            If a field does not exist or its value is not valid.
        """
        fields, crashes = controls.split_action(body, "crash")
        faults = controls.with_fields(self.faults, fields)
        self._reply_faults.faults = faults
        self._report.lag_seconds = faults.metrics_lag_seconds
        self.runs.set_leaving(faults.leaving)
        if faults.frozen:
            self._thawed.clear()
        else:
            self._thawed.set()
        if crashes:
            self.crash(exchange=exchange)
        self._record_load()

    def counters(self) -> dict[str, Any]:
        """Return the totals since the start."""
        batch = self.batch
        return self.runs.totals() | {
            "requests_cancelled": batch.requests_cancelled,
            "tokens_produced": batch.tokens_produced,
            "tokens_wasted": batch.tokens_wasted,
            "tokens_crashed": batch.tokens_crashed,
            "tokens_prefilled": batch.tokens_prefilled,
            "prefix_hits": self.cache.hits,
            "prefix_misses": self.cache.misses,
            "peak_batch": batch.peak_batch,
            "peak_waiting": batch.peak_waiting,
            "orders_applied": len(self.orders.applied),
            "orders_refused": len(self.orders.refused),
            "fencing_applied": [one.fencing for one in self.orders.applied],
        }

    async def _run_steps(self) -> None:
        due = self._clock.monotonic()
        while True:
            if self.batch.is_idle:
                self._has_work.clear()
                self._record_load()
                await self._has_work.wait()
                due = self._clock.monotonic()
            await self._thawed.wait()
            duration = self.batch.begin_step() * self.faults.slow_factor
            self._record_load()
            now = self._clock.monotonic()
            due = max(due + duration, now - _MAX_SCHEDULE_LAG_SECONDS)
            await asyncio.sleep(max(0.0, due - now))
            await self._thawed.wait()
            self.batch.end_step()

    def _record_load(self) -> None:
        capacity = self.batch.cost.kv_capacity_tokens
        load = load_report.Load(
            running=len(self.batch.running),
            waiting=self.batch.waiting_count,
            kv_usage_ratio=round(self.batch.kv_tokens / capacity, 3),
            leaving=self.faults.leaving,
            models=self.orders.loaded_models(),
        )
        self._report.record(load)

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
        try:
            await self._answer(request, exchange)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            upstream_protocol.refuse(request, exchange, 400, repr(error))

    async def _answer(
        self, request: http_lib.Request, exchange: http_lib.Exchange
    ) -> None:
        route = (request.method, request.path)
        if route == ("POST", _CHAT_PATH):
            await self._chat.answer(request, exchange)
        elif route == ("POST", "/orders"):
            await self._apply_order(request, exchange)
        elif route == ("GET", "/metrics") and self.faults.omits_metrics:
            upstream_protocol.refuse(request, exchange, 503, "no report")
        elif route == ("GET", "/metrics"):
            plain = ("Content-Type", "text/plain; version=0.0.4")
            text = self._report.text()
            exchange.respond(
                200, text, [plain, upstream_protocol.echo(request)]
            )
        elif route == ("GET", "/state"):
            exchange.respond_json(
                200, self._state(), [upstream_protocol.echo(request)]
            )
        else:
            upstream_protocol.refuse(
                request, exchange, 404, f"no route {route}"
            )

    def _state(self) -> dict[str, Any]:
        return {
            "models": sorted(self.orders.version_by_model),
            "version_by_model": self.orders.version_by_model,
            "role": self.orders.role,
            "fencing": self.orders.fencing_seen,
            "checks_fencing": self.orders.checks_fencing,
            "leaving": self.faults.leaving,
            "running": len(self.batch.running),
            "waiting": self.batch.waiting_count,
        }

    async def _apply_order(
        self, request: http_lib.Request, exchange: http_lib.Exchange
    ) -> None:
        order = engine_orders.Order.from_json(request.json())
        try:
            await self.orders.apply(order)
        except engine_orders.OldFencingNumberError as error:
            seen = self.orders.fencing_seen
            body = {"error": str(error), "fencing": seen}
            exchange.respond_json(409, body, [upstream_protocol.echo(request)])
            return
        self._record_load()
        exchange.respond_json(
            200, self._state(), [upstream_protocol.echo(request)]
        )


def _flags() -> flags.FlagValues:
    values = command_line.address_flags()
    cost = engine_batch.CostModel()
    floats = {
        "step_seconds": cost.step_seconds,
        "slowdown": cost.slowdown,
        "prefill_seconds_per_token": cost.prefill_seconds_per_token,
        "metrics_lag_seconds": 0.0,
        "load_seconds": 0.0,
    }
    integers = {
        "slots": cost.slots,
        "maximum_batch": cost.maximum_batch,
        "prefill_tokens_per_step": cost.prefill_tokens_per_step,
        "kv_capacity_tokens": cost.kv_capacity_tokens,
        "prefix_bytes": 1024,
        "prefix_capacity": 256,
        "seed": 0,
    }
    for name, default in floats.items():
        flags.DEFINE_float(name, default, _HELP, flag_values=values)
    for name, default in integers.items():
        flags.DEFINE_integer(name, default, _HELP, flag_values=values)
    flags.DEFINE_list("models", [], _HELP, flag_values=values)
    flags.DEFINE_string("role", "serve", _HELP, flag_values=values)
    flags.DEFINE_bool("resumes", False, _HELP, flag_values=values)
    flags.DEFINE_bool("checks_fencing", True, _HELP, flag_values=values)
    return values


def main(arguments: Sequence[str]) -> None:
    """Run the stand-in until SIGTERM."""
    values = _flags()
    values(arguments)
    given = values.flag_values_dict()
    cost_names = [f.name for f in dataclasses.fields(engine_batch.CostModel)]
    cost = engine_batch.CostModel(**{n: given[n] for n in cost_names})
    engine_names = (
        "host",
        "port",
        "prefix_bytes",
        "prefix_capacity",
        "resumes",
        "models",
        "role",
        "checks_fencing",
        "load_seconds",
        "metrics_lag_seconds",
        "seed",
    )
    options = {name: given[name] for name in engine_names}
    command_line.run(lambda: Engine(cost=cost, **options), values)


if __name__ == "__main__":
    main(sys.argv)
