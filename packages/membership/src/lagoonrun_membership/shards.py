"""Shard summaries and the domains that receive them: no I/O, no clock.

An ingress asks the dispatchers of its own domain directly, so summaries serve
other domains only. Once per period, a dispatcher sends its own to one member
of each receiving domain; that member forwards them within its domain on
datagrams sent anyway. Each domain receives the summaries of a limited number
of others, so that the cost does not grow with the fleet: those of its own
region first, then one of each other region in turn, each time ordered by
rendezvous hashing.
"""

import collections
import dataclasses
from collections.abc import Iterable
from typing import Protocol

import xxhash

from lagoonrun_core import types
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import messages


def domain_of(shard: types.ShardId) -> types.FailureDomain:
    """Return the domain in a shard's id `pool@domain/index`."""
    after_pool = shard.partition("@")[2]
    return types.FailureDomain(after_pool.rpartition("/")[0])


class RegionLookup(Protocol):
    """Looks up the region of a domain."""

    def __call__(self, domain: types.FailureDomain, /) -> types.Region:
        """Return the region of `domain`; domains of unknown region share one."""


def receiving_domains(
    domain: types.FailureDomain,
    domains: Iterable[types.FailureDomain],
    *,
    count: int,
    region_of: RegionLookup,
) -> tuple[types.FailureDomain, ...]:
    """Return the domains that receive the summaries of `domain`.

    Each of `domains` receives those of `count` others, those of its own region
    first. With up to `count` + 1 domains each receives those of all others. If
    there are other regions, one of the `count` is from them: a whole region
    without free capacity needs to know of one that has some.
    """
    known = tuple(domains)
    return tuple(
        receiver
        for receiver in known
        if receiver != domain
        and domain in _source_domains(receiver, known, count, region_of)
    )


def _source_domains(
    receiver: types.FailureDomain,
    domains: tuple[types.FailureDomain, ...],
    count: int,
    region_of: RegionLookup,
) -> list[types.FailureDomain]:
    def weight(domain: types.FailureDomain) -> int:
        return xxhash.xxh3_64_intdigest(f"{receiver}/{domain}".encode())

    others = sorted((d for d in domains if d != receiver), key=weight)
    same_region = [d for d in others if region_of(d) == region_of(receiver)]
    other_regions = _interleave_regions(
        [d for d in others if d not in same_region], region_of
    )
    chosen = same_region[: count - 1 if other_regions else count]
    return chosen + other_regions[: count - len(chosen)]


def _interleave_regions(
    domains: Iterable[types.FailureDomain], region_of: RegionLookup
) -> list[types.FailureDomain]:
    """Return one domain of each region, then a second of each, and so on.

    The loss of a region then removes as few of the sources as possible.
    """
    counts: collections.Counter[types.Region] = collections.Counter()
    turns: list[tuple[int, types.FailureDomain]] = []
    for domain in domains:
        region = region_of(domain)
        turns.append((counts[region], domain))
        counts[region] += 1
    return [domain for _, domain in sorted(turns, key=lambda turn: turn[0])]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _TimedSummary:
    summary: messages.ShardSummary
    made_at: float


class ShardTable:
    """The newest summary of each shard, as long as it is fresh.

    Parameters
    ----------
    domain
        Domain of this process.
    timing
        Maximum age of a summary.
    """

    def __init__(
        self, *, domain: types.FailureDomain, timing: timings.Timing
    ) -> None:
        self._domain = domain
        self._timing = timing
        self._own: tuple[_TimedSummary, ...] = ()
        self._others_by_shard: dict[types.ShardId, _TimedSummary] = {}
        self._changed: dict[types.ShardId, None] = {}

    def announce(
        self, summaries: Iterable[messages.ShardSummary], *, now: float
    ) -> None:
        """Replace the summaries of the shards dispatched by this process."""
        self._own = tuple(
            _TimedSummary(summary=summary, made_at=now - summary.age_seconds)
            for summary in summaries
        )

    def apply(self, summary: messages.ShardSummary, *, now: float) -> None:
        """Apply a summary of another domain's shard if it is newer."""
        made_at = now - summary.age_seconds
        if domain_of(summary.shard) == self._domain:
            return
        if not self._is_fresh(made_at, now):
            return
        known = self._others_by_shard.get(summary.shard)
        if known is not None and known.made_at >= made_at:
            return
        self._others_by_shard[summary.shard] = _TimedSummary(
            summary=summary, made_at=made_at
        )
        self._changed[summary.shard] = None

    def expire(self, now: float) -> None:
        """Remove summaries that are too old to use."""
        for shard, timed in tuple(self._others_by_shard.items()):
            if not self._is_fresh(timed.made_at, now):
                del self._others_by_shard[shard]
                self._changed.pop(shard, None)

    def own(self, now: float) -> tuple[messages.ShardSummary, ...]:
        """Return the fresh summaries of this process with their ages."""
        return tuple(
            _with_age(timed, now)
            for timed in self._own
            if self._is_fresh(timed.made_at, now)
        )

    def other_domain_summary(
        self, shard: types.ShardId, now: float
    ) -> messages.ShardSummary | None:
        """Return another domain's summary with its age, None if not fresh."""
        timed = self._others_by_shard.get(shard)
        if timed is None or not self._is_fresh(timed.made_at, now):
            return None
        return _with_age(timed, now)

    def get(
        self, shard: types.ShardId, now: float
    ) -> messages.ShardSummary | None:
        """Return any shard's summary with its age, None if not fresh."""
        for timed in self._own:
            if timed.summary.shard == shard and self._is_fresh(
                timed.made_at, now
            ):
                return _with_age(timed, now)
        return self.other_domain_summary(shard, now)

    def summary(
        self, shard: types.ShardId, now: float
    ) -> messages.ShardSummary | None:
        """Return one shard's summary with its age, None if not fresh.

        Each request needs a few summaries; computing the ages of all of them
        took milliseconds with hundreds of shards.
        """
        for timed in self._own:
            if timed.summary.shard == shard:
                return (
                    _with_age(timed, now)
                    if self._is_fresh(timed.made_at, now)
                    else None
                )
        return self.other_domain_summary(shard, now)

    def by_shard(
        self, now: float
    ) -> dict[types.ShardId, messages.ShardSummary]:
        """Return all fresh summaries with their ages."""
        summaries = {
            shard: _with_age(timed, now)
            for shard, timed in self._others_by_shard.items()
            if self._is_fresh(timed.made_at, now)
        }
        for summary in self.own(now):
            summaries[summary.shard] = summary
        return summaries

    def pop_changed(self) -> tuple[types.ShardId, ...]:
        """Return and clear other domains' shards with new summaries."""
        changed = tuple(self._changed)
        self._changed.clear()
        return changed

    def _is_fresh(self, made_at: float, now: float) -> bool:
        return now - made_at < self._timing.summary_maximum_age_seconds


def _with_age(timed: _TimedSummary, now: float) -> messages.ShardSummary:
    age = max(0.0, now - timed.made_at)
    return dataclasses.replace(timed.summary, age_seconds=age)
