"""Injected faults of an engine, among them crossed answers."""

import asyncio
import dataclasses

from lagoonrun_standins import controls, engine_reply
from lagoonrun_standins import http_server as http_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Faults in effect; the fields of `POST /control`.

    Parameters
    ----------
    slow_factor
        Factor on the duration of every step; above 1 for a straggler.
    frozen
        No step runs and no request is answered; connections stay open.
    leaving
        Reported at `/state` and `/metrics`.
    refuses_when_leaving
        New requests are refused with 503 and `X-Not-Run` while leaving.
    metrics_lag_seconds
        Age of the load that `/metrics` serves.
    omits_metrics
        `/metrics` responds with 503.
    cross_answers
        Number of next pairs of requests that get each other's answer.
    duplicate_answers
        Number of next answers that are written twice.
    late_answers
        Number of next answers that are delayed by `late_seconds`.
    truncate_answers
        Number of next answers that break off: the connection closes.
    omit_done_answers
        Number of next streams that end well-formed, but halfway.
    omit_echoes
        Number of next answers without `X-Request-Id`.
    """

    slow_factor: float = 1.0
    frozen: bool = False
    leaving: bool = False
    refuses_when_leaving: bool = False
    metrics_lag_seconds: float = 0.0
    omits_metrics: bool = False
    cross_answers: int = 0
    duplicate_answers: int = 0
    late_answers: int = 0
    late_seconds: float = 1.0
    truncate_answers: int = 0
    omit_done_answers: int = 0
    omit_echoes: int = 0


class ReplyFaults:
    """Assigns the faults to individual answers.

    Parameters
    ----------
    faults
        Faults in effect.
    """

    def __init__(self, *, faults: Faults) -> None:
        self.faults = faults
        self._first: engine_reply.Identity | None = None
        self._second: asyncio.Future[engine_reply.Identity] | None = None

    def pop_next(self) -> engine_reply.Fault:
        """Return the faults of the next answer, and decrement their counts."""
        late = self._consume("late_answers")
        return engine_reply.Fault(
            omits_echo=self._consume("omit_echoes"),
            truncates=self._consume("truncate_answers"),
            omits_done=self._consume("omit_done_answers"),
            duplicates=self._consume("duplicate_answers"),
            late_seconds=self.faults.late_seconds if late else 0.0,
        )

    async def exchange_identity(
        self, identity: engine_reply.Identity, exchange: http_lib.Exchange
    ) -> engine_reply.Identity:
        """Return the identity whose answer the request of `identity` gets.

        While answers are crossed, the first request of a pair waits for the
        second. Otherwise it is `identity` itself.
        """
        if self._second is None and not self._consume("cross_answers"):
            return identity
        if self._second is None:
            self._first = identity
            second = asyncio.get_running_loop().create_future()
            self._second = second
            paired = await exchange.wait_unless_gone(second)
            return second.result() if paired else identity
        first = self._first
        assert first is not None
        if not self._second.done():
            self._second.set_result(identity)
        self._second = None
        return first

    def _consume(self, name: str) -> bool:
        self.faults, taken = controls.consume_count(self.faults, name)
        return taken
