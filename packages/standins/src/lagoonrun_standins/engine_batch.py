"""Simulates continuous batching step by step: admission, prefill, decoding."""

import dataclasses
import heapq
from typing import Protocol


@dataclasses.dataclass(frozen=True, kw_only=True)
class CostModel:
    """Durations and limits of the steps.

    Parameters
    ----------
    step_seconds
        Duration of a step of a batch no larger than `slots`; each request
        produces one token.
    slots
        Maximum batch size at which a step is not slowed down.
    maximum_batch
        Maximum number of requests in a batch; the others wait.
    slowdown
        Relative growth of the step per `slots` requests beyond the slots.
    prefill_seconds_per_token
        Time added to the step for each prompt token prefilled in it.
    prefill_tokens_per_step
        Maximum number of prompt tokens prefilled in one step.
    kv_capacity_tokens
        KV cache capacity for the tokens of all requests in the batch.
    """

    step_seconds: float = 0.003
    slots: int = 16
    maximum_batch: int = 32
    slowdown: float = 1.5
    prefill_seconds_per_token: float = 0.00002
    prefill_tokens_per_step: int = 512
    kv_capacity_tokens: int = 200_000


class TokenSink(Protocol):
    """Receives the tokens of one request."""

    @property
    def is_gone(self) -> bool:
        """Whether the receiver has disconnected."""

    def emit(self, index: int) -> None:
        """Receive the token at `index`."""

    def finish(self) -> None:
        """End the answer after its last token."""

    def abandon(self) -> None:
        """End the answer before its last token."""


@dataclasses.dataclass(kw_only=True, eq=False)
class Run:
    """One request in the engine.

    Parameters
    ----------
    priority
        A lower value is more urgent.
    prefill_left
        Number of tokens still to be prefilled.
    context_tokens
        Number of prompt and resumed tokens, which occupy the KV cache.
    next_index
        Index of the next token; it starts above 0 for a resumed answer.
    end_index
        Number of tokens of the complete answer.
    sink
        Receives the tokens.
    produced
        Number of tokens produced so far by this run.
    """

    priority: int
    prefill_left: int
    context_tokens: int
    next_index: int
    end_index: int
    sink: TokenSink
    produced: int = 0


class Batch:
    """The running and the waiting requests of one engine.

    Parameters
    ----------
    cost
        Durations and limits of the steps.
    """

    def __init__(self, *, cost: CostModel) -> None:
        self.cost = cost
        self.running: list[Run] = []
        self.tokens_produced = 0
        self.tokens_wasted = 0
        self.tokens_crashed = 0
        self.tokens_prefilled = 0
        self.requests_cancelled = 0
        self.peak_batch = 0
        self.peak_waiting = 0
        self._waiting: list[tuple[int, int, Run]] = []
        self._arrivals = 0
        self._ready: list[Run] = []

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    @property
    def is_idle(self) -> bool:
        """Whether no request runs or waits."""
        return not self.running and not self._waiting

    @property
    def kv_tokens(self) -> int:
        """Return the number of tokens in the KV cache."""
        return sum(run.context_tokens + run.produced for run in self.running)

    def add(self, run: Run) -> None:
        """Queue a request behind those of the same priority."""
        self._arrivals += 1
        heapq.heappush(self._waiting, (run.priority, self._arrivals, run))
        self.peak_waiting = max(self.peak_waiting, len(self._waiting))

    def begin_step(self) -> float:
        """Admit and prefill requests; return the step's duration in seconds."""
        self._drop_gone()
        self._admit()
        prefilled = self._prefill()
        self._ready = [run for run in self.running if run.prefill_left == 0]
        excess = max(0, len(self.running) - self.cost.slots)
        growth = 1.0 + self.cost.slowdown * excess / self.cost.slots
        prefill_seconds = prefilled * self.cost.prefill_seconds_per_token
        return self.cost.step_seconds * growth + prefill_seconds

    def end_step(self) -> None:
        """Emit one token of each request that was prefilled."""
        for run in self._ready:
            if run.sink.is_gone:
                continue
            run.sink.emit(run.next_index)
            run.next_index += 1
            run.produced += 1
            self.tokens_produced += 1
            if run.next_index >= run.end_index:
                self.running.remove(run)
                run.sink.finish()
        self._ready = []

    def crash(self) -> None:
        """Drop every request; the tokens produced for them count as crashed."""
        for run in [*self.running, *(entry[2] for entry in self._waiting)]:
            self.tokens_crashed += run.produced
            run.sink.abandon()
        self.running = []
        self._waiting = []
        self._ready = []

    def _drop_gone(self) -> None:
        gone = [run for run in self.running if run.sink.is_gone]
        for run in gone:
            self.running.remove(run)
            self.tokens_wasted += run.produced
            run.sink.abandon()
        cancelled = [entry for entry in self._waiting if entry[2].sink.is_gone]
        if cancelled:
            self._waiting = [e for e in self._waiting if e not in cancelled]
            heapq.heapify(self._waiting)
            for _, _, run in cancelled:
                run.sink.abandon()
        self.requests_cancelled += len(gone) + len(cancelled)

    def _admit(self) -> None:
        kv_tokens = self.kv_tokens
        while self._waiting and len(self.running) < self.cost.maximum_batch:
            run = self._waiting[0][2]
            kv_tokens += run.context_tokens
            if self.running and kv_tokens > self.cost.kv_capacity_tokens:
                break
            heapq.heappop(self._waiting)
            self.running.append(run)
        self.peak_batch = max(self.peak_batch, len(self.running))

    def _prefill(self) -> int:
        budget = self.cost.prefill_tokens_per_step
        for run in sorted(self.running, key=lambda run: run.priority):
            share = min(budget, run.prefill_left)
            run.prefill_left -= share
            budget -= share
        prefilled = self.cost.prefill_tokens_per_step - budget
        self.tokens_prefilled += prefilled
        return prefilled
