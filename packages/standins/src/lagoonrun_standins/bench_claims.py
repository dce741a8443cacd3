"""Measure claims per second and store calls per claim of one entry VM.

The store is a fake in this process that answers each call after a fixed
delay; with `--gateway`, it is the platform stand-in in a separate process,
called through the client that the daemon uses. The load is open-loop:
arrivals come at a constant rate whether or not earlier ones have finished.
Each arrival claims a key of its own and records its end. Run as
`python -m lagoonrun_standins.bench_claims`.
"""

import asyncio
import collections
import dataclasses
import itertools
import json
import logging
import random
import time
from collections.abc import Sequence

from absl import app, flags

from lagoonrun_claims import claim as claim_module
from lagoonrun_claims import claims as claims_module
from lagoonrun_core import clock as clock_module
from lagoonrun_core import outcomes, types
from lagoonrun_platform import etcd_gateway
from lagoonrun_platform import store as store_module
from lagoonrun_standins import fleet

_SECONDS = flags.DEFINE_float("seconds", 4.0, "Length of each trial.")
_DELAY = flags.DEFINE_float(
    "store_delay_seconds", 0.003, "Time that the store takes for a call."
)
_RATES = flags.DEFINE_list(
    "rates", ["20", "100", "400", "1600"], "Offered claims per second."
)
_SHARDS = flags.DEFINE_list("shards", ["1"], "Values of `shards` to try.")
_BATCHES = flags.DEFINE_list(
    "batches", ["1", "100"], "Values of `maximum_batch` to try."
)
_WRITES = flags.DEFINE_float(
    "writes_per_second", 40.0, "Budget of the entry VM for the store."
)
_GATEWAY = flags.DEFINE_bool(
    "gateway", False, "Use the platform stand-in by its gateway."
)
_DEADLINE_SECONDS = 2.0
_GATEWAY_CALLS_PER_SECOND = 10_000.0
_CALLS_PER_TICK_SECONDS = 0.002


class DelayedStore:
    """Fake of the store's transactions and lease grants."""

    def __init__(self, *, delay_seconds: float) -> None:
        self._delay_seconds = delay_seconds
        self._found_by_key: dict[str, store_module.KeyValue] = {}
        self._revisions = itertools.count(1)
        self.calls_by_kind: collections.Counter[str] = collections.Counter()

    async def grant_lease(
        self, *, ttl_seconds: float
    ) -> store_module.LeaseResult:
        """Grant a lease; see `KeyValueStore`."""
        self.calls_by_kind["lease"] += 1
        await asyncio.sleep(self._delay_seconds)
        return store_module.LeaseGranted(
            lease=store_module.LeaseId(1), ttl_seconds=ttl_seconds
        )

    async def transact(
        self,
        *,
        comparisons: Sequence[store_module.Comparison],
        puts: Sequence[store_module.Put] = (),
    ) -> store_module.TransactionResult:
        """Write if all comparisons hold; see `KeyValueStore`."""
        self.calls_by_kind["transact"] += 1
        await asyncio.sleep(self._delay_seconds)
        revision = store_module.StoreRevision(next(self._revisions))
        if not all(self._holds(one) for one in comparisons):
            found = [self._found_by_key.get(one.key) for one in comparisons]
            return store_module.Rejected(
                items=tuple(item for item in found if item is not None),
                revision=revision,
            )
        for put in puts:
            self._found_by_key[put.key] = store_module.KeyValue(
                key=put.key,
                value=put.value,
                modified=revision,
                created=revision,
                lease=put.lease,
            )
        return store_module.Committed(revision=revision)

    def _holds(self, comparison: store_module.Comparison) -> bool:
        found = self._found_by_key.get(comparison.key)
        modified = found.modified if found else store_module.ABSENT
        return modified == comparison.modified


@dataclasses.dataclass(kw_only=True)
class _Trial:
    """Claim latencies and result counts of one trial."""

    waits: list[float] = dataclasses.field(default_factory=list)
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def main(arguments: Sequence[str]) -> None:
    """Run one trial per rate and setting and print a line for each."""
    del arguments
    logging.getLogger("lagoonrun").setLevel(logging.WARNING)
    settings = itertools.product(_SHARDS.value, _BATCHES.value, _RATES.value)
    for shards, batch, rate in settings:
        line = asyncio.run(
            _run(shards=int(shards), batch=int(batch), rate=float(rate))
        )
        print(json.dumps(line), flush=True)


async def _run(*, shards: int, batch: int, rate: float) -> dict[str, float]:
    if not _GATEWAY.value:
        store = DelayedStore(delay_seconds=_DELAY.value)
        return await _run_with(store, shards=shards, batch=batch, rate=rate)
    processes = fleet.Fleet()
    await processes.start()
    try:
        platform = await processes.start_platform_store()
        store = etcd_gateway.EtcdGateway(
            addresses=[platform.address()],
            clock=clock_module.SystemClock(),
            rng=random.Random(1),
            calls_per_second=_GATEWAY_CALLS_PER_SECOND,
            burst=_GATEWAY_CALLS_PER_SECOND,
        )
        line = await _run_with(store, shards=shards, batch=batch, rate=rate)
        await store.close()
        return line
    finally:
        await processes.close()


async def _run_with(
    store: DelayedStore | etcd_gateway.EtcdGateway,
    *,
    shards: int,
    batch: int,
    rate: float,
) -> dict[str, float]:
    claims = claims_module.Claims(
        store=store,
        entry_vm=types.EntryVmId("vm"),
        clock=clock_module.SystemClock(),
        random=random.Random(1),
        writes_per_second=_WRITES.value,
        shards=shards,
        maximum_batch=batch,
    )
    await claims.start()
    trial = _Trial()
    used = time.process_time()
    began = time.monotonic()
    await _offer(claims, trial, rate)
    took = time.monotonic() - began
    used = time.process_time() - used
    await claims.close()
    calls = sum(store.calls_by_kind.values())
    return _summary(trial, shards, batch, rate, took, used, calls)


async def _offer(
    claims: claims_module.Claims, trial: _Trial, rate: float
) -> None:
    began = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for number in range(int(rate * _SECONDS.value)):
            ahead = began + number / rate - time.monotonic()
            if ahead > _CALLS_PER_TICK_SECONDS:
                await asyncio.sleep(ahead)
            group.create_task(_claim(claims, trial, number))


async def _claim(
    claims: claims_module.Claims, trial: _Trial, number: int
) -> None:
    began = time.monotonic()
    result = await claims.claim(
        organisation=types.OrganisationId("house"),
        key=f"key-{number}",
        request_id=types.RequestId(f"request-{number}"),
        body_digest=claim_module.BodyDigest("b"),
        deadline_seconds=_DEADLINE_SECONDS,
    )
    trial.counts[type(result).__name__] += 1
    if isinstance(result, claims_module.Won):
        trial.waits.append(time.monotonic() - began)
        await claims.record_end(result.attempt, outcomes.Outcome.COMPLETE)


def _summary(
    trial: _Trial,
    shards: int,
    batch: int,
    rate: float,
    took: float,
    used: float,
    calls: int,
) -> dict[str, float]:
    waits = sorted(trial.waits) or [0.0]
    won = trial.counts["Won"]
    return {
        "shards": shards,
        "maximum_batch": batch,
        "offered_per_second": rate,
        "won_per_second": round(won / took, 1),
        "unavailable": trial.counts["Unavailable"],
        "store_calls_per_second": round(calls / took, 1),
        "store_calls_per_won": round(calls / max(1, won), 3),
        "wait_p50_ms": round(1e3 * waits[len(waits) // 2], 1),
        "wait_p95_ms": round(1e3 * waits[int(len(waits) * 0.95)], 1),
        "cpu_us_per_won": round(1e6 * used / max(1, won)),
    }


if __name__ == "__main__":
    app.run(main)
