"""`make bench-capacity`: unit costs for the calculations in docs/CAPACITY.md.

Prints one JSON document. Measured in this process, in processor time: the cost
of a permit at its dispatcher by number of runners and of waiting requests, of
a message on the wire, of a digest by number of entries, of a load report, and
of a configuration by number of upstreams. Measured on real processes
(`bench_path`, with its flags): the cost of a token event, a request and an open
stream; `--open_streams=` skips these. `bench_membership`,
`bench_configuration` and `bench_claims` measure the unit costs of heartbeats,
configuration changes and claims.
"""

import asyncio
import dataclasses
import gc
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence

from absl import app, flags

from lagoonrun_config import draft as draft_module
from lagoonrun_config import model, snapshot
from lagoonrun_core import clock as clocks
from lagoonrun_core import outcomes, types
from lagoonrun_daemon import loads, shards
from lagoonrun_http import limits
from lagoonrun_http import upstream as upstream_client
from lagoonrun_policy import messages as policy_messages
from lagoonrun_policy import scheduler as schedulers
from lagoonrun_protocol import codec, frames, messages
from lagoonrun_standins import bench_path, fleet, load_report

_SEED = flags.DEFINE_integer("capacity_seed", 1, "Seed of all random choices.")
_PERMITS = flags.DEFINE_integer("permits", 3000, "Permits of each size.")
_RUNNERS = flags.DEFINE_list("runners", ["4", "8", "16", "32"], "Per shard.")
_QUEUES = flags.DEFINE_list(
    "queues", ["0", "100", "1000"], "Requests that wait meanwhile."
)
_UPSTREAMS = flags.DEFINE_list(
    "upstreams", ["1000", "5000", "11000"], "Of a configuration."
)

_TIERS = 6
_ORGANISATIONS = 400
_MODELS = 3
_DOMAINS = 10
_SLOTS = 16
_DIGEST_ENTRIES = (10, 100, 400)
_REPEATS = 500
_DECODE_REPEATS = 3
_KEY = b"k" * 32
_REQUEST_ID = types.RequestId("9c18b211fd51d9cde5869637")
_SHARD = types.ShardId("writers@tunis-a/0")
_VM = types.EntryVmId("tunis-a-1")


def _microseconds(action: Callable[[], object], repeats: int) -> float:
    """Return the mean processor time of one call of `action`."""
    action()
    gc.collect()
    began = time.process_time()
    for _ in range(repeats):
        action()
    return round((time.process_time() - began) / repeats * 1e6, 1)


class _PermitBench:
    """Sends permits of six classes and many organisations to one scheduler."""

    def __init__(self, *, runners: int, waiting: int) -> None:
        self._rng = random.Random(_SEED.value)
        self._clock = clocks.ManualClock()
        self._scheduler = schedulers.ShardScheduler(
            policy=_shard_policy(runners)
        )
        self._granted: list[policy_messages.Grant] = []
        self._last_number = 0
        self._capacity = runners * _SLOTS
        self._waiting = waiting

    def run(self, permits: int) -> float:
        """Return the microseconds for one permit request, grant and end."""
        for _ in range(self._capacity + self._waiting):
            self._request_permit()
        began = time.process_time()
        for _ in range(permits):
            self._end_random_permit()
            self._request_permit()
        return round((time.process_time() - began) / permits * 1e6, 1)

    def _request_permit(self) -> None:
        self._last_number += 1
        tier = self._rng.randrange(_TIERS) + 1
        house = self._rng.randrange(_ORGANISATIONS)
        self._apply_event(
            policy_messages.PermitRequested(
                key=policy_messages.PermitKey(
                    request_id=types.RequestId(f"{self._last_number:024x}"),
                    attempt_id=types.AttemptId(1),
                ),
                ingress=_VM,
                profile=types.ProfileName(f"tier-{tier}"),
                organisation=types.OrganisationId(f"house-{house}"),
                remaining_seconds=1e6,
                remaining_target_seconds=1e6,
                prefix_hash=types.PrefixHash(house),
                prompt_bytes=1000,
            )
        )

    def _end_random_permit(self) -> None:
        index = self._rng.randrange(len(self._granted))
        grant = self._granted[index]
        self._granted[index] = self._granted[-1]
        self._granted.pop()
        self._clock.advance(0.01)
        self._apply_event(
            policy_messages.PermitEnded(
                key=grant.key,
                upstream=grant.upstream,
                outcome=outcomes.Outcome.COMPLETE,
                reason=outcomes.Reason.NONE,
                first_token_seconds=0.3,
                total_seconds=12.0,
                tokens=350,
            )
        )

    def _apply_event(self, event: policy_messages.Event) -> None:
        now = self._clock.monotonic()
        self._granted += [
            action
            for action in self._scheduler.handle(event, now=now)
            if isinstance(action, policy_messages.Grant)
        ]


def _shard_policy(runners: int) -> policy_messages.ShardPolicy:
    return policy_messages.ShardPolicy(
        shard=_SHARD,
        revision=types.Revision(1),
        classes_by_name={
            types.ProfileName(f"tier-{tier}"): policy_messages.ClassPolicy(
                name=types.ProfileName(f"tier-{tier}"),
                tier=types.Tier(tier),
                target_seconds=1e6,
                limit_seconds=1e6,
                queue_capacity=100_000,
            )
            for tier in range(1, _TIERS + 1)
        },
        runners_by_id={
            types.UpstreamId(f"writer-{n}"): policy_messages.Runner(
                id=types.UpstreamId(f"writer-{n}"), slots=_SLOTS
            )
            for n in range(runners)
        },
        weights_by_organisation={
            types.OrganisationId(f"house-{n}"): 1.0
            for n in range(_ORGANISATIONS)
        },
    )


def _permit_slopes() -> list[dict[str, object]]:
    return [
        {
            "runners": int(runners),
            "waiting": int(waiting),
            "us_per_permit": _PermitBench(
                runners=int(runners), waiting=int(waiting)
            ).run(_PERMITS.value),
        }
        for runners in _RUNNERS.value
        for waiting in _QUEUES.value
    ]


def _permit_messages() -> dict[str, messages.Message]:
    named = {"request_id": _REQUEST_ID, "attempt_id": types.AttemptId(1)}
    return {
        "request": messages.PermitRequest(
            **named,
            shard=_SHARD,
            profile=types.ProfileName("answer"),
            organisation=types.OrganisationId("maison-carthage"),
            remaining_seconds=1.5,
            remaining_target_seconds=1.0,
            prefix_hash=types.PrefixHash(2**60 + 7),
            prompt_bytes=1024,
            excluded=(),
            revision=types.Revision(1000),
            handover=False,
        ),
        "acknowledged": messages.PermitAcknowledged(**named),
        "granted": messages.PermitGranted(
            **named, upstream=types.UpstreamId("writer-1"), shard=_SHARD
        ),
        "end": messages.PermitEnd(
            **named,
            shard=_SHARD,
            upstream=types.UpstreamId("writer-1"),
            outcome=outcomes.Outcome.COMPLETE,
            reason=outcomes.Reason.NONE,
            first_token_seconds=0.3,
            total_seconds=12.0,
            tokens=350,
        ),
    }


def _wire_cost(message: messages.Message, repeats: int) -> dict[str, object]:
    """Return the cost of encoding, framing and decoding, without sockets."""
    writer = frames.FrameWriter(session_key=_KEY)
    body = codec.encode(message)
    return {
        "bytes": len(writer.frame(body)),
        "us_encode": _microseconds(
            lambda: writer.frame(codec.encode(message)), repeats
        ),
        "us_decode": _microseconds(lambda: codec.decode(body), repeats),
    }


def _digest(entries: int) -> messages.WorkDigest:
    return messages.WorkDigest(
        shard=_SHARD,
        running=tuple(
            messages.RunningWork(
                request_id=types.RequestId(f"{number:024x}"),
                attempt_id=types.AttemptId(1),
                upstream=types.UpstreamId(f"writer-{number % 32}"),
                profile=types.ProfileName("answer"),
                organisation=types.OrganisationId(f"house-{number % 400}"),
                running_seconds=number / 7,
                first_token_seconds=0.3,
                tokens=number,
            )
            for number in range(entries)
        ),
        waiting=(),
    )


def _load_report_cost() -> dict[str, object]:
    """Return the size and the parsing cost of a load report."""
    report = load_report.LoadReport(clock=clocks.SystemClock())
    report.record(load_report.Load(running=7, models=("a", "b", "c")))
    text = report.text()
    reader = loads.LoadReader(
        client=None,
        upstreams=list,
        on_report=lambda report: None,
        on_leaving=lambda upstream, incarnation, leaving: None,
    )
    upstream = types.UpstreamId("writer-1")
    return {
        "bytes": len(text),
        "us_parse": _microseconds(
            lambda: reader.apply_report(upstream, text.decode()), _REPEATS
        ),
        "reads_per_second_and_runner": 1 / loads.REPORT_PERIOD_SECONDS,
    }


async def _measure_report_reads() -> dict[str, object]:
    """Return the cost of fetching and parsing one report of a real engine."""
    processes = fleet.Fleet()
    await processes.start()
    client = upstream_client.UpstreamClient(
        limits=limits.ClientLimits(), clock=clocks.SystemClock()
    )
    reader = loads.LoadReader(
        client=client,
        upstreams=list,
        on_report=lambda report: None,
        on_leaving=lambda upstream, incarnation, leaving: None,
    )
    try:
        process = await processes.start_engine("runner-0")
        engine = dataclasses.replace(
            _upstream(0), address=process.host, port=process.port
        )
        await reader.read(engine)
        began = time.process_time()
        for _ in range(_REPEATS):
            await reader.read(engine)
        used = time.process_time() - began
    finally:
        await client.close()
        await processes.close()
    return {"us_read_and_parse": round(used / _REPEATS * 1e6, 1)}


def _declared(upstreams: int) -> draft_module.Draft:
    names = [types.ProfileName(f"tier-{tier}") for tier in range(1, _TIERS + 1)]
    return draft_module.Draft(
        profiles_by_name={
            name: model.Profile(
                name=name,
                tier=types.Tier(tier),
                target_seconds=1.3,
                limit_seconds=60.0,
            )
            for tier, name in enumerate(names, start=1)
        },
        organisations_by_id={
            types.OrganisationId(f"house-{n}"): model.Organisation(
                id=types.OrganisationId(f"house-{n}"),
                key_digests=(f"{n:064x}",),
            )
            for n in range(_ORGANISATIONS)
        },
        services_by_name={
            types.ServiceName(f"service-{n}"): model.Service(
                name=types.ServiceName(f"service-{n}"),
                kind=model.ServiceKind.MODEL,
                pool=types.PoolName(f"pool-{n}"),
                profile=names[n],
                models=(f"model-{n}",),
            )
            for n in range(_MODELS)
        },
        upstreams_by_id={
            upstream.id: upstream
            for upstream in (_upstream(n) for n in range(upstreams))
        },
    )


def _upstream(number: int) -> model.Upstream:
    return model.Upstream(
        id=types.UpstreamId(f"runner-{number}"),
        pool=types.PoolName(f"pool-{number % _MODELS}"),
        domain=types.FailureDomain(f"domain-{number % _DOMAINS}"),
        address=f"10.{number // 65536}.{number // 256 % 256}.{number % 256}",
        port=8000,
    )


def _configuration_cost(upstreams: int) -> dict[str, object]:
    """Return size, decoding time and memory of a configuration."""
    encoded = snapshot.encode_snapshot(_declared(upstreams))
    tracemalloc.start()
    held = draft_module.configuration_of(
        snapshot.decode_snapshot(encoded),
        revision=types.Revision(1),
        digest=encoded.digest,
    )
    shard_list = shards.shards_of(held)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "upstreams": upstreams,
        "shards": len(shard_list),
        "snapshot_bytes": len(encoded.content),
        "held_bytes": held_bytes,
        "us_decode": _microseconds(
            lambda: snapshot.decode_snapshot(encoded), _DECODE_REPEATS
        ),
        "us_shards": _microseconds(
            lambda: shards.shards_of(held), _DECODE_REPEATS
        ),
    }


def _in_process_slopes() -> dict[str, object]:
    return {
        "permit": _permit_slopes(),
        "message": {
            name: _wire_cost(message, _REPEATS)
            for name, message in _permit_messages().items()
        },
        "digest": [
            {"entries": entries}
            | _wire_cost(_digest(entries), max(1, _REPEATS // entries))
            for entries in _DIGEST_ENTRIES
        ],
        "load_report": _load_report_cost()
        | asyncio.run(_measure_report_reads()),
        "configuration": [
            _configuration_cost(int(count)) for count in _UPSTREAMS.value
        ],
    }


def _path_slopes(streams: Sequence[int]) -> list[dict[str, object]]:
    return [asyncio.run(bench_path.measure(count)) for count in streams]


def main(arguments: list[str]) -> None:
    """Print all unit costs as JSON."""
    del arguments
    found = {
        "bench": "capacity",
        "seed": _SEED.value,
        **_in_process_slopes(),
        "path": _path_slopes(
            [int(count) for count in flags.FLAGS.open_streams]
        ),
    }
    json.dump(found, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    app.run(main)
