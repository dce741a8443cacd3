"""`make bench-adaptive`: processor time of routing decisions.

Prints a table of the median, the mean and the 99th percentile of one decision
(`choosing.Chooser.choose`), in microseconds: by number of upstreams for a pool
that is not adaptive, that is contended, and whose upstreams state their
slowness; and by number of organisations for a contended pool that is short of
capacity. Runs in this process with a simulated clock, which advances by
`--decision_interval` before each decision: from 0.1 s on, everything that is
cached between decisions is computed for each. Log lines are not written.
`--profile_upstreams=45` prints a profile of each kind of pool instead.
"""

import asyncio
import cProfile
import dataclasses
import gc
import logging
import pstats
import random
import statistics
import sys
import time
from collections.abc import Callable

from absl import app, flags

from lagoonrun_config import model
from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_platform import memory_store
from lagoonrun_router import call as calls
from lagoonrun_router import (
    choosing,
    declarations,
    demand_row,
    load_report,
    loads,
    pool_capacity,
)
from lagoonrun_standins import router_samples, router_words, router_world

_DECISIONS = flags.DEFINE_integer("decisions", 2000, "Decisions of each kind.")
_UPSTREAMS = flags.DEFINE_list(
    "pool_upstreams", ["12", "45", "100"], "Upstreams of the pool."
)
_ORGANISATIONS = flags.DEFINE_list(
    "organisations", ["24", "400"], "Organisations of a pool that is short."
)
_INTERVAL = flags.DEFINE_float(
    "decision_interval", 0.1, "Simulated seconds between two decisions."
)
_PROFILE = flags.DEFINE_integer(
    "profile_upstreams", None, "Profile decisions with that many upstreams."
)

_POOL = types.PoolName("portal")
_DOMAINS = 4
_SLOTS = 16
_CACHE_TOKENS = 200_000.0
_TIERS = 6
_TIER = types.Tier(2)
_TARGET_SECONDS = 0.5
_PROMPT_TOKENS = 6000
_SHARED_TOKENS = 4000
_SHARED_PARTS = 40
_SHORT_POOL_UPSTREAMS = 45

_PEERS = 28
"""Neighbours whose reports are summed: a failure domain without a relay."""

_REFRESH_SECONDS = 0.4
"""Interval of the load and demand reports of peers."""

_NEVER_DUE_ENTRY_VMS = 1_000_000
"""Number of entry VMs with which the admission floor is not due in a run."""

_PROFILE_ROWS = 18


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PoolKind:
    """A kind of pool.

    Parameters
    ----------
    stated
        Whether its upstreams state their slowness.
    organisations
        Number of organisations that ask for more than the capacity; 0 for a
        pool that is not short.
    from_relay
        Whether the demand of others comes as one sum from a relay.
    """

    name: str
    contended: bool = False
    stated: bool = False
    organisations: int = 0
    from_relay: bool = True


_NOT_ADAPTIVE = _PoolKind(name="not adaptive")
_KINDS = (
    _NOT_ADAPTIVE,
    _PoolKind(name="contended", contended=True),
    _PoolKind(name="stated slowness", stated=True),
)


class _Bench:
    """Decides on calls to one pool whose state is refreshed by reports."""

    def __init__(self, kind: _PoolKind, *, upstreams: int) -> None:
        self._kind = kind
        self._rng = random.Random(1)
        self._clock = clocks.ManualClock()
        world = router_world.make_world(
            "vm-1",
            store=memory_store.MemoryStore(),
            layout=router_words.PlainLayout(),
            clock=self._clock,
            contended=kind.contended,
            # No simulated time makes a prompt part unknown.
            reuse_seconds=1e9,
        )
        # Of the router, which is not started, only the state is used.
        self._components = world.router._ingress._components
        self._components.admission_floor.set_entry_vm_count(
            _NEVER_DUE_ENTRY_VMS
        )
        self._chooser = choosing.Chooser(components=self._components)
        self._pool = declarations.Pool(
            name=_POOL,
            maximum_connections=64,
            engine=declarations.Engine(
                slots=_SLOTS, cache_tokens=_CACHE_TOKENS
            ),
        )
        self._registered = tuple(
            router_samples.make_registration(
                f"runner-{number}",
                slots=_SLOTS,
                start=1,
                domain=f"domain-{number % _DOMAINS}",
            )
            for number in range(upstreams)
        )
        now = self._clock.monotonic()
        for one in self._registered:
            self._components.directory.apply_entry(one, now=now)
        # Half of the parts are in the prefix cache of an upstream.
        for number in range(0, _SHARED_PARTS, 2):
            self._components.prompt_locations.record_placement(
                f"part-{number}",
                self._rng.choice(self._registered).id,
                now=now,
            )
        self._refreshed_at = float("-inf")
        self.results: list[object] = []

    def run(self, decisions: int) -> list[float]:
        """Return the processor microseconds of each decision."""
        made = [self._make_call(number) for number in range(decisions)]
        gc.collect()
        return [self._timed_decision(call) for call in made]

    def profile(self, decisions: int) -> None:
        """Print where the processor time of decisions goes."""
        profiler = cProfile.Profile()
        for number in range(decisions):
            call = self._make_call(number)
            self._prepare(call)
            profiler.enable()
            self._chooser.choose(call, excluded=())
            profiler.disable()
        pstats.Stats(profiler, stream=sys.stdout).sort_stats(
            pstats.SortKey.CUMULATIVE
        ).print_stats(_PROFILE_ROWS)

    def _timed_decision(self, call: calls.Call) -> float:
        self._prepare(call)
        began = time.process_time_ns()
        result = self._chooser.choose(call, excluded=())
        used = time.process_time_ns() - began
        self.results.append(result)
        return used / 1000.0

    def _prepare(self, call: calls.Call) -> None:
        self._clock.advance(_INTERVAL.value)
        now = self._clock.monotonic()
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refreshed_at = now
            self._refresh(now)
        if self._kind.organisations:
            self._components.capacity.record_arrival(
                call, tokens=self._chooser.new_tokens(call), now=now
            )

    def _make_call(self, number: int) -> calls.Call:
        parts = (
            calls.PromptPart(
                id=f"part-{number % _SHARED_PARTS}", tokens=_SHARED_TOKENS
            ),
            calls.PromptPart(
                id=f"own-{number}", tokens=_PROMPT_TOKENS - _SHARED_TOKENS
            ),
        )
        tiers = tuple(types.Tier(one) for one in range(1, _TIERS + 1))
        organisation = f"house-{number % (self._kind.organisations or 24)}"
        return router_samples.make_call(
            attributes=calls.CallAttributes(
                request_id=types.RequestId(f"r-{number}"),
                host="portal.test",
                prompt=parts,
                prompt_tokens=_PROMPT_TOKENS,
            ),
            route=router_samples.make_route(
                profile=model.Profile(
                    name=types.ProfileName("lookup"),
                    tier=_TIER,
                    target_seconds=_TARGET_SECONDS,
                    limit_seconds=60.0,
                )
            ),
            pool=self._pool,
            organisation=declarations.RankedOrganisation(
                id=types.OrganisationId(organisation), key_digests=()
            ),
            pool_tiers=tiers,
            tier_targets=dict.fromkeys(tiers, _TARGET_SECONDS),
            tightest_pause_seconds=0.5,
            # The calls of a run are made before it.
            arrived_at=self._clock.monotonic(),
            limit_at=self._clock.monotonic() + 60.0,
        )

    # Reports.

    def _refresh(self, now: float) -> None:
        """Apply reports of peers and answers of upstreams."""
        reports = [
            {one.id: self._load() for one in self._registered} for _ in range(2)
        ]
        for number, report in enumerate(reports):
            self._components.ledger.apply_report(
                types.EntryVmId(f"peer-{number}"), report, now=now
            )
        if self._kind.stated:
            self._refresh_speeds(now)
        if self._kind.organisations:
            self._refresh_demand(now)

    def _load(self) -> loads.Load:
        """Return half of the load of an upstream."""
        # An upstream of a pool that is short has 0.45 s of prompts queued, more
        # than the 0.35 s from which it is short, and less than the target.
        waiting = 9000.0 if self._kind.organisations else 1000.0
        running = self._rng.randint(1, 3)
        return loads.Load(
            waiting_by_tier=(0.5 * waiting, 0.5 * waiting),
            running=running,
            sensitive=0.5 * running,
            held_tokens=2000.0 * running,
            running_by_tier=(0, running),
        )

    def _refresh_speeds(self, now: float) -> None:
        speeds = self._components.adaptive.speeds
        for one in self._registered:
            slowness = self._rng.choice((0.6, 1.0, 1.0, 1.0, 1.2, 2.5))
            self._components.adaptive.record_report(
                one,
                load_report.LoadReport(
                    running=3, waiting=0, slots=_SLOTS, slowness=slowness
                ),
                now=now,
            )
            speeds.record_prefill(
                one.id,
                one.start,
                tokens=4000.0,
                seconds=0.1 * slowness * self._rng.uniform(0.8, 1.2),
                slowness=slowness,
                now=now,
            )

    def _refresh_demand(self, now: float) -> None:
        shares = self._components.adaptive.shares
        key = self._components.adaptive.share_key(_POOL, _TIER)
        # Together they ask for twice what the pool can prefill.
        asked = 2 * _SHORT_POOL_UPSTREAMS * 40_000.0
        asked /= self._kind.organisations
        count = self._kind.organisations
        for number in range(count):
            shares.record_arrival(
                key,
                types.OrganisationId(f"house-{number}"),
                cost=asked / (_PEERS + 1) * _REFRESH_SECONDS,
                now=now,
            )
        if self._kind.from_relay:
            shares.apply_fleet_report(
                self._demand_rows(key, count, asked), now=now
            )
            return
        for number in range(_PEERS):
            shares.apply_report(
                types.EntryVmId(f"peer-{number}"),
                self._demand_rows(key, count, asked / (_PEERS + 1)),
                now=now,
            )

    def _demand_rows(
        self, key: demand_row.ShareKey, count: int, asked: float
    ) -> list[demand_row.DemandRow]:
        """Return the rows of one message."""
        named = self._rng.sample(
            range(count), min(count, demand_row.LISTED_ORGANISATIONS)
        )
        rows = [
            demand_row.DemandRow(
                key=key,
                organisation=types.OrganisationId(f"house-{number}"),
                organisations=1,
                asked=asked,
                admitted=0.5 * asked,
            )
            for number in named
        ]
        rest = count - len(named)
        if rest:
            rows.append(
                demand_row.DemandRow(
                    key=key,
                    organisation=demand_row.OTHERS,
                    organisations=rest,
                    asked=rest * asked,
                    admitted=0.5 * rest * asked,
                )
            )
        return rows


def _columns(figures: list[float]) -> str:
    """Return the median, which a busy machine affects least, mean and p99."""
    found = (
        statistics.median(figures),
        statistics.fmean(figures),
        statistics.quantiles(figures, n=100)[98],
    )
    return "".join(f"{one:11.1f}" for one in found)


_HEADINGS = f"{'MEDIAN us':>11}{'MEAN us':>11}{'P99 us':>11}"


def _print_pools() -> None:
    print(f"{'UPSTREAMS':>13}  {'POOL':<16}{_HEADINGS}{'MORE us':>11}")
    for count in _UPSTREAMS.value:
        base = None
        for kind in _KINDS:
            bench = _Bench(kind, upstreams=int(count))
            figures = bench.run(_DECISIONS.value)
            median = statistics.median(figures)
            base = median if base is None else base
            print(
                f"{count:>13}  {kind.name:<16}{_columns(figures)}"
                f"{median - base:11.1f}"
            )


def _print_short_pools() -> None:
    print(
        f"{'ORGANISATIONS':>13}  {'DEMAND FROM':<16}{_HEADINGS}{'REFUSED':>11}"
    )
    for count in _ORGANISATIONS.value:
        for from_relay in (True, False):
            bench = _Bench(
                _short_kind(int(count), from_relay=from_relay),
                upstreams=_SHORT_POOL_UPSTREAMS,
            )
            figures = bench.run(_DECISIONS.value)
            refused = sum(
                isinstance(one, pool_capacity.Rejection)
                and one.share is not None
                for one in bench.results
            )
            source = "relay" if from_relay else f"{_PEERS} peers"
            print(
                f"{count:>13}  {source:<16}{_columns(figures)}"
                f"{refused / len(bench.results):11.2f}"
            )


def _short_kind(organisations: int, *, from_relay: bool) -> _PoolKind:
    return _PoolKind(
        name=f"short, {organisations} organisations",
        contended=True,
        organisations=organisations,
        from_relay=from_relay,
    )


def _print_profiles(upstreams: int) -> None:
    kinds = (*_KINDS, _short_kind(400, from_relay=True))
    for kind in kinds:
        print(f"pool: {kind.name}, {upstreams} upstreams")
        _Bench(kind, upstreams=upstreams).profile(_DECISIONS.value)


async def _in_loop(action: Callable[[], None]) -> None:
    """Run `action` in an event loop, which a router needs."""
    action()


def main(arguments: list[str]) -> None:
    """Print the tables, or the profiles."""
    del arguments
    logging.getLogger("lagoonrun").setLevel(logging.WARNING)
    if _PROFILE.value is not None:
        asyncio.run(_in_loop(lambda: _print_profiles(_PROFILE.value)))
        return
    asyncio.run(_in_loop(_print_pools))
    asyncio.run(_in_loop(_print_short_pools))


if __name__ == "__main__":
    app.run(main)
