"""What can go wrong with an engine, and answers that are crossed."""

import asyncio
import dataclasses

from lagoonrun_standins import controls, engine_reply
from lagoonrun_standins import http_server as http_lib


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """What goes wrong at present; the fields of `POST /control`.

    Parameters
    ----------
    slow_factor
        Growth of every step; above 1 for a straggler.
    frozen
        Nothing moves and nothing is answered, but connections stay.
    leaving
        Told at `/state` and `/metrics`.
    refuses_when_leaving
        New requests are refused with 503 and `X-Not-Run` while leaving.
    metrics_lag_seconds
        Age of what `/metrics` serves.
    omits_metrics
        `/metrics` answers 503.
    cross_answers
        Number of coming pairs of requests that get each other's answer.
    duplicate_answers
        Number of coming answers that are written twice.
    late_answers
        Number of coming answers that are held back by `late_seconds`.
    truncate_answers
        Number of coming answers that break off by closing the connection.
    omit_done_answers
        Number of coming streams that end well-formed but half way.
    omit_echoes
        Number of coming answers without `X-Request-Id`.
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
    """Hands out the faults of single answers.

    Parameters
    ----------
    faults
        What goes wrong at present.
    """

    def __init__(self, *, faults: Faults) -> None:
        self.faults = faults
        self._first: engine_reply.Identity | None = None
        self._second: asyncio.Future[engine_reply.Identity] | None = None

    def pop_next(self) -> engine_reply.Fault:
        """Return the faults of the coming answer, and count them off."""
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
        """Return whose answer is given to the request of `identity`.

        The first request of a pair waits here for the second.
        """
        if self._second is None and not self._consume("cross_answers"):
            return identity
        if self._second is None:
            self._first = identity
            second = asyncio.get_running_loop().create_future()
            self._second = second
            met = await exchange.wait_unless_gone(second)
            return second.result() if met else identity
        first = self._first
        assert first is not None
        if not self._second.done():
            self._second.set_result(identity)
        self._second = None
        return first

    def _consume(self, name: str) -> bool:
        self.faults, taken = controls.consume_count(self.faults, name)
        return taken
