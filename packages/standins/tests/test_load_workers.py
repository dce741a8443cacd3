"""Tests load from several processes against an engine in this process."""

from lagoonrun_config import settings
from lagoonrun_standins import engine, load_summary, load_workers, traffic


async def test_workers_share_the_arrivals():
    runner = engine.Engine()
    await runner.start()
    digests = traffic.TrafficClass(
        name="digests",
        target="scribe",
        rate=100.0,
        target_seconds=30.0,
        limit_seconds=60.0,
        longest_tokens=5,
    )
    callers = [traffic.Caller(organisation="house", key="key")]
    arrivals = traffic.arrivals(
        [digests], callers, duration_seconds=0.2, seed=1
    )

    results = await load_workers.run(
        arrivals,
        addresses=[settings.Address(host=runner.host, port=runner.port)],
        worker_count=2,
        start_delay_seconds=0.1,
    )
    await runner.close()

    summary = load_summary.summarise(results, duration_seconds=0.2)
    assert {r.arrival.id for r in results} == {a.id for a in arrivals}
    assert summary.classes_by_name["digests"].complete == len(arrivals)
    assert summary.mismatched == 0
