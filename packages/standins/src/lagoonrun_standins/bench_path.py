"""`make bench-path`: the cost of relaying a request and a token event.

For each number of open streams, starts a platform, event sources and two entry
VMs of one domain, and prints one JSON document with:

- the latency that is added to a short streamed answer, compared with a direct
  call to the same source, while the streams are open; measured at the entry VM
  that dispatches the shard and at the one that sends it permit requests;
- the age of events on arrival, direct and relayed;
- token events per second and core, paced and at full speed;
- requests per second and core; resident memory per open stream.
"""

import asyncio
import dataclasses
import json
import math
import sys
import time
from collections.abc import Sequence

from absl import app, flags

from lagoonrun_config import declarations, settings
from lagoonrun_core import types
from lagoonrun_standins import (
    deployment,
    fleet,
    http_client,
    managed_process,
    path_caller,
    path_source,
    process_usage,
)

_STREAMS = flags.DEFINE_list(
    "open_streams", ["1", "100", "1000"], "Numbers of open streams."
)
_PACED_RATE = flags.DEFINE_integer(
    "paced_rate", 4000, "Most events a second of the open streams together."
)
_FLOOD_EVENTS = flags.DEFINE_integer(
    "flood_events", 100_000, "Events that are sent as fast as relayed."
)
_PROBES = flags.DEFINE_integer("probes", 200, "Requests timed per way.")

_DOMAIN = types.FailureDomain("north")
_ENTRY_VMS = tuple(
    deployment.EntryVm(id=types.EntryVmId(name), domain=_DOMAIN)
    for name in ("entry-1", "entry-2")
)
_ORGANISATION = types.OrganisationId("maison-carthage")
_SOURCES = 4
_MIN_INTERVAL_SECONDS = 0.03
_PACED_SECONDS = 3.0
_CLOSED_LOOP_CALLERS = 16
_CLOSED_LOOP_SECONDS = 2.0
_WARM_UP_REQUESTS = 50
_CONNECT_BATCH_SIZE = 50
_TIMEOUT_SECONDS = 120.0

_DECLARATIONS = """
[profiles.answer]
tier = 1
target_kind = "first-token"
target_seconds = 5.0
limit_seconds = 600.0

[organisations.maison-carthage]
key_digests = ["%(digest)s"]

[services.answers]
kind = "model"
pool = "writers"
profile = "answer"
models = ["probe", "steady", "flood"]

[pools.writers]
"""

_UPSTREAM = """
[[pools.writers.upstreams]]
id = "source-%(number)d"
domain = "north"
address = "127.0.0.1"
port = 100%(number)d
slots = 512
"""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Latency:
    """Latency quantiles in milliseconds."""

    p50_ms: float
    p95_ms: float
    samples: int

    @classmethod
    def of(cls, seconds: Sequence[float]) -> "Latency":
        """Return the quantiles of samples by nearest rank."""
        ordered = sorted(seconds)
        ranks = [max(1, math.ceil(q * len(ordered))) for q in (0.5, 0.95)]
        p50, p95 = (
            round(ordered[rank - 1] * 1e3, 3) if ordered else math.nan
            for rank in ranks
        )
        return cls(p50_ms=p50, p95_ms=p95, samples=len(ordered))


class _PathBench:
    """Measures one deployment with one number of open streams."""

    def __init__(self, *, running: deployment.Deployment, streams: int) -> None:
        self._running = running
        self._streams = streams
        self._entry_vm = running.process("entry-1")

    async def run(self) -> dict[str, object]:
        """Return all measurements as JSON values."""
        for name in ("entry-1", "entry-2"):
            await self._probe_many([name], _WARM_UP_REQUESTS)
        empty = self._usage().resident_bytes
        opened = await self._open("steady")
        try:
            found = await self._measure_open_streams(opened, empty)
        finally:
            for caller in opened:
                caller.close()
        await asyncio.sleep(0.5)
        found["flood"] = await self._measure_flood()
        found["closed_loop"] = await self._measure_closed_loop()
        return found

    async def _measure_open_streams(
        self, opened: Sequence[path_caller.PathCaller], empty: int
    ) -> dict[str, object]:
        paced = await self._measure_paced(opened)
        held = self._usage().resident_bytes - empty
        timings = await self._probe_many(
            ["source-0", "entry-1", "entry-2"], _PROBES.value
        )
        return {
            "streams": self._streams,
            "bytes_per_stream": round(held / self._streams),
            "paced": paced,
            "latency": _compare(timings),
        }

    async def _measure_paced(
        self, opened: Sequence[path_caller.PathCaller]
    ) -> dict[str, object]:
        direct = await self._connect("source-0", record_delays=True)
        direct.begin("steady")
        await direct.opened
        for caller in opened:
            caller.delays_seconds.clear()
        before, events = self._usage(), sum(c.events for c in opened)
        began = time.monotonic()
        await asyncio.sleep(_PACED_SECONDS)
        used = self._usage().processor_seconds - before.processor_seconds
        events = sum(c.events for c in opened) - events
        elapsed = time.monotonic() - began
        delays = [d for caller in opened for d in caller.delays_seconds]
        direct_delays = direct.delays_seconds
        direct.close()
        return {
            "events_per_second": round(events / elapsed),
            "core_share": round(used / elapsed, 4),
            "events_per_second_and_core": _rate_per_core(events, used),
            "event_age_relayed": dataclasses.asdict(Latency.of(delays)),
            "event_age_direct": dataclasses.asdict(Latency.of(direct_delays)),
        }

    async def _measure_flood(self) -> dict[str, object]:
        callers = await self._open("flood")
        before = self._usage().processor_seconds
        began = time.monotonic()
        for number in range(_SOURCES):
            source = self._running.process(f"source-{number}")
            await http_client.fetch(
                source.host, source.port, "GET", path_source.FLOOD_PATH
            )
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await asyncio.gather(*(caller.ended for caller in callers))
        elapsed = time.monotonic() - began
        used = self._usage().processor_seconds - before
        events = sum(caller.events for caller in callers)
        for caller in callers:
            caller.close()
        return {
            "events": events,
            "events_per_second": round(events / elapsed),
            "events_per_second_and_core": _rate_per_core(events, used),
        }

    async def _measure_closed_loop(self) -> dict[str, object]:
        other = self._running.process("entry-2").pid
        other_before = process_usage.of_process(other).processor_seconds
        before = self._usage().processor_seconds
        began = time.monotonic()
        until = began + _CLOSED_LOOP_SECONDS
        counts = await asyncio.gather(
            *(self._ask_until(until) for _ in range(_CLOSED_LOOP_CALLERS))
        )
        elapsed = time.monotonic() - began
        used = self._usage().processor_seconds - before
        other_used = process_usage.of_process(other).processor_seconds
        return {
            "requests_per_second": round(sum(counts) / elapsed),
            "requests_per_second_and_core": _rate_per_core(sum(counts), used),
            "other_entry_vm_core_share": round(
                (other_used - other_before) / elapsed, 3
            ),
        }

    async def _ask_until(self, until: float) -> int:
        caller = await self._connect("entry-1")
        count = 0
        while time.monotonic() < until:
            await caller.request("probe")
            count += 1
        caller.close()
        return count

    async def _probe_many(
        self, names: Sequence[str], count: int
    ) -> dict[str, list[path_caller.Timing]]:
        """Send probes round-robin, so that all see the same conditions."""
        callers = {name: await self._connect(name) for name in names}
        timings: dict[str, list[path_caller.Timing]] = {n: [] for n in names}
        for _ in range(count):
            for name, caller in callers.items():
                async with asyncio.timeout(_TIMEOUT_SECONDS):
                    timings[name].append(await caller.request("probe"))
        for caller in callers.values():
            caller.close()
        return timings

    async def _open(self, model: str) -> list[path_caller.PathCaller]:
        callers: list[path_caller.PathCaller] = []
        while len(callers) < self._streams:
            count = min(_CONNECT_BATCH_SIZE, self._streams - len(callers))
            batch = await asyncio.gather(
                *(
                    self._connect("entry-1", record_delays=True)
                    for _ in range(count)
                )
            )
            for caller in batch:
                caller.begin(model)
            await asyncio.gather(*(caller.opened for caller in batch))
            callers += batch
        return callers

    async def _connect(
        self, name: str, *, record_delays: bool = False
    ) -> path_caller.PathCaller:
        process = self._running.process(name)
        return await path_caller.connect(
            _caller_address(process),
            key=deployment.organisation_key(_ORGANISATION),
            record_delays=record_delays,
        )

    def _usage(self) -> process_usage.Usage:
        return process_usage.of_process(self._entry_vm.pid)


def _caller_address(
    process: managed_process.ManagedProcess,
) -> settings.Address:
    if process.name.startswith("entry"):
        return process.address("caller")
    return process.address()


def _compare(
    timings: dict[str, list[path_caller.Timing]],
) -> dict[str, object]:
    by_name = {
        name: Latency.of([t.first_event_seconds for t in found])
        for name, found in timings.items()
    }
    direct = by_name["source-0"]
    compared: dict[str, object] = {"direct": dataclasses.asdict(direct)}
    for name, latency in by_name.items():
        if latency is direct:
            continue
        compared[name] = dataclasses.asdict(latency) | {
            "added_p50_ms": round(latency.p50_ms - direct.p50_ms, 3),
            "added_p95_ms": round(latency.p95_ms - direct.p95_ms, 3),
        }
    return compared


def _rate_per_core(count: int, processor_seconds: float) -> int | None:
    """Return `count` per second of processor time; None if none was used."""
    return round(count / processor_seconds) if processor_seconds else None


def _declared() -> declarations.draft_module.Draft:
    text = _DECLARATIONS % {"digest": "a" * 64}
    for number in range(_SOURCES):
        text += _UPSTREAM % {"number": number}
    draft = declarations.parse_declarations(
        [declarations.DeclarationFile(name="bench", text=text)]
    )
    if isinstance(draft, declarations.InvalidDeclarations):
        raise ValueError("\n".join(str(fault) for fault in draft.faults))
    return draft


async def measure(streams: int) -> dict[str, object]:
    """Start a deployment, measure it with `streams` streams, and stop it."""
    interval = max(_MIN_INTERVAL_SECONDS, streams / _PACED_RATE.value)
    flood_events = max(1, _FLOOD_EVENTS.value // streams)
    processes = fleet.Fleet()
    await processes.start()
    running = deployment.Deployment(
        fleet=processes,
        declared=_declared(),
        entry_vms=_ENTRY_VMS,
        start_engine=lambda upstream: processes.start_path_source(
            upstream.id, interval_seconds=interval, flood_events=flood_events
        ),
    )
    try:
        await running.start()
        return await _PathBench(running=running, streams=streams).run()
    finally:
        await processes.close()


def main(arguments: list[str]) -> None:
    """Print the measurements for all stream counts as JSON."""
    del arguments
    found = [asyncio.run(measure(int(streams))) for streams in _STREAMS.value]
    json.dump({"bench": "path", "runs": found}, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    app.run(main)
