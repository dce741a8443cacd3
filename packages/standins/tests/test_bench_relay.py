"""Tests that the relay benchmark runs and counts each relayed event."""

from lagoonrun_standins import bench_relay


def test_each_offered_event_is_relayed():
    result = bench_relay.run(streams=2, events=40, rate=0)
    # Each of the 2 streams ends with `[DONE]`, which counts as an event.
    assert result.events == 40 + 2
    assert result.processor_seconds > 0
