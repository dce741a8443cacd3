"""The relay benchmark runs, and counts each event that it relays."""

from lagoonrun_standins import bench_relay


def test_each_offered_event_is_relayed():
    taken = bench_relay.run(streams=2, events=40, rate=0)
    # Each stream ends in `[DONE]`, which is an event as well.
    assert taken.events == 40 + 2
    assert taken.processor_seconds > 0
