"""The simulated batch of the engine stand-in, without I/O."""

import pytest

from lagoonrun_standins import engine_batch, prefix_cache


class Sink:
    """Records the calls that it receives."""

    def __init__(self):
        self.is_gone = False
        self.indices = []
        self.ended = False

    def emit(self, index):
        """Record the index."""
        self.indices.append(index)

    def finish(self):
        """Record that it ended."""
        self.ended = True

    def abandon(self):
        """Record that it ended."""
        self.ended = True


def run(sink, *, priority=3, prefill=0, end=3):
    return engine_batch.Run(
        priority=priority,
        prefill_left=prefill,
        context_tokens=prefill,
        next_index=0,
        end_index=end,
        sink=sink,
    )


@pytest.fixture
def batch():
    cost = engine_batch.CostModel(
        step_seconds=1.0,
        slots=2,
        maximum_batch=4,
        slowdown=1.0,
        prefill_seconds_per_token=0.5,
        prefill_tokens_per_step=10,
    )
    return engine_batch.Batch(cost=cost)


def step(batch):
    duration = batch.begin_step()
    batch.end_step()
    return duration


@pytest.mark.parametrize(
    ("requests", "duration"), [(1, 1.0), (2, 1.0), (3, 1.5), (4, 2.0), (9, 2.0)]
)
def test_step_slows_down_beyond_the_slots(batch, requests, duration):
    for _ in range(requests):
        batch.add(run(Sink()))

    assert step(batch) == duration
    assert batch.peak_batch == min(requests, 4)


def test_waiting_requests_run_by_priority_then_arrival(batch):
    sinks = [Sink() for _ in range(7)]
    priorities = [1, 1, 1, 1, 3, 2, 2]
    for sink, priority in zip(sinks, priorities, strict=True):
        batch.add(run(sink, priority=priority, end=2))

    step(batch)
    step(batch)
    batch.begin_step()

    assert [run.sink for run in batch.running] == [sinks[5], sinks[6], sinks[4]]


def test_prefill_delays_the_first_token_and_the_others(batch):
    long, short = Sink(), Sink()
    batch.add(run(long, prefill=15))
    batch.add(run(short))

    durations = [step(batch), step(batch)]

    assert durations == [1.0 + 10 * 0.5, 1.0 + 5 * 0.5]
    assert (long.indices, short.indices) == ([0], [0, 1])


def test_request_of_a_disconnected_client_is_removed(batch):
    gone, waiting = Sink(), Sink()
    batch.add(run(gone))
    step(batch)
    gone.is_gone = True
    waiting.is_gone = True
    batch.add(run(waiting))

    step(batch)

    assert batch.is_idle
    assert gone.ended
    assert waiting.ended
    assert (batch.tokens_wasted, batch.requests_cancelled) == (1, 2)


def test_prefix_cache_is_bounded():
    cache = prefix_cache.PrefixCache(prefix_bytes=4, capacity=2)
    prompts = [b"aaaa1", b"aaaa2", b"bbbb", b"cccc", b"aaaa3"]

    assert [cache.cached_bytes(p) for p in prompts] == [0, 4, 0, 0, 0]
