"""Summaries of shards, and how far each of them travels. Pure.

An ingress asks the dispatchers of its own domain directly, so that summaries
serve other domains only. A dispatcher sends its own to one member of each
domain that is to hear of it, once a period; that member passes them on within
its domain on datagrams sent anyway. Each domain hears of a bounded number of
others, so that the cost does not grow with the fleet: those of its own region
first, then one of each other region in turn, among equals by rendezvous
hashing.
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
    """Tells in which region a domain stands."""

    def __call__(self, domain: types.FailureDomain, /) -> types.Region:
        """Return the region of `domain`; one name for all if unknown."""


def receiving_domains(
    domain: types.FailureDomain,
    domains: Iterable[types.FailureDomain],
    *,
    count: int,
    region_of: RegionLookup,
) -> tuple[types.FailureDomain, ...]:
    """Return the domains that are to hear of the shards of `domain`.

    Each of `domains` hears of `count` others, those of its own region first.
    With up to `count` + 1 domains everyone hears of everyone. Where there are
    other regions, one place is theirs: a whole region that has no room needs
    to know of one that has.
    """
    known = tuple(domains)
    return tuple(
        hearer
        for hearer in known
        if hearer != domain
        and domain in _heard_by(hearer, known, count, region_of)
    )


def _heard_by(
    hearer: types.FailureDomain,
    domains: tuple[types.FailureDomain, ...],
    count: int,
    region_of: RegionLookup,
) -> list[types.FailureDomain]:
    def weight(domain: types.FailureDomain) -> int:
        return xxhash.xxh3_64_intdigest(f"{hearer}/{domain}".encode())

    others = sorted((d for d in domains if d != hearer), key=weight)
    near = [d for d in others if region_of(d) == region_of(hearer)]
    far = _in_turn([d for d in others if d not in near], region_of)
    chosen = near[: count - 1 if far else count]
    return chosen + far[: count - len(chosen)]


def _in_turn(
    domains: Iterable[types.FailureDomain], region_of: RegionLookup
) -> list[types.FailureDomain]:
    """Return one domain of each region, then a second of each, and so on.

    A region that is cut off then takes away the news of as few as can be.
    """
    seen: collections.Counter[types.Region] = collections.Counter()
    turns: list[tuple[int, types.FailureDomain]] = []
    for domain in domains:
        region = region_of(domain)
        turns.append((seen[region], domain))
        seen[region] += 1
    return [domain for _, domain in sorted(turns, key=lambda turn: turn[0])]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Dated:
    summary: messages.ShardSummary
    made_at: float


class ShardTable:
    """The newest summary of each shard, as long as it is fresh.

    Parameters
    ----------
    domain
        Domain of this process.
    timing
        Greatest age of a summary.
    """

    def __init__(
        self, *, domain: types.FailureDomain, timing: timings.Timing
    ) -> None:
        self._domain = domain
        self._timing = timing
        self._own: tuple[_Dated, ...] = ()
        self._others_by_shard: dict[types.ShardId, _Dated] = {}
        self._changed: dict[types.ShardId, None] = {}

    def announce(
        self, summaries: Iterable[messages.ShardSummary], *, now: float
    ) -> None:
        """Replace the summaries of the shards dispatched by this process."""
        self._own = tuple(
            _Dated(summary=summary, made_at=now - summary.age_seconds)
            for summary in summaries
        )

    def apply(self, summary: messages.ShardSummary, *, now: float) -> None:
        """Take in a summary of another domain's shard if it is newer."""
        made_at = now - summary.age_seconds
        if domain_of(summary.shard) == self._domain:
            return
        if not self._is_fresh(made_at, now):
            return
        known = self._others_by_shard.get(summary.shard)
        if known is not None and known.made_at >= made_at:
            return
        self._others_by_shard[summary.shard] = _Dated(
            summary=summary, made_at=made_at
        )
        self._changed[summary.shard] = None

    def expire(self, now: float) -> None:
        """Forget summaries that are too old to decide by."""
        for shard, dated in tuple(self._others_by_shard.items()):
            if not self._is_fresh(dated.made_at, now):
                del self._others_by_shard[shard]
                self._changed.pop(shard, None)

    def own(self, now: float) -> tuple[messages.ShardSummary, ...]:
        """Return this process's own summaries with their ages."""
        return tuple(
            _aged(dated, now)
            for dated in self._own
            if self._is_fresh(dated.made_at, now)
        )

    def other_domain_summary(
        self, shard: types.ShardId, now: float
    ) -> messages.ShardSummary | None:
        """Return another domain's summary with its age, if it is fresh."""
        dated = self._others_by_shard.get(shard)
        if dated is None or not self._is_fresh(dated.made_at, now):
            return None
        return _aged(dated, now)

    def get(
        self, shard: types.ShardId, now: float
    ) -> messages.ShardSummary | None:
        """Return a fresh summary of any shard with its age, or None."""
        for dated in self._own:
            if dated.summary.shard == shard and self._is_fresh(
                dated.made_at, now
            ):
                return _aged(dated, now)
        return self.other_domain_summary(shard, now)

    def summary(
        self, shard: types.ShardId, now: float
    ) -> messages.ShardSummary | None:
        """Return one shard's summary with its age, if it is fresh.

        Every request asks for a few; ageing all of them each time took
        milliseconds with hundreds of shards.
        """
        for dated in self._own:
            if dated.summary.shard == shard:
                return (
                    _aged(dated, now)
                    if self._is_fresh(dated.made_at, now)
                    else None
                )
        return self.other_domain_summary(shard, now)

    def by_shard(
        self, now: float
    ) -> dict[types.ShardId, messages.ShardSummary]:
        """Return all fresh summaries with their ages."""
        summaries = {
            shard: _aged(dated, now)
            for shard, dated in self._others_by_shard.items()
            if self._is_fresh(dated.made_at, now)
        }
        for summary in self.own(now):
            summaries[summary.shard] = summary
        return summaries

    def pop_changed(self) -> tuple[types.ShardId, ...]:
        """Return other domains' shards with newer summaries, once."""
        changed = tuple(self._changed)
        self._changed.clear()
        return changed

    def _is_fresh(self, made_at: float, now: float) -> bool:
        return now - made_at < self._timing.summary_maximum_age_seconds


def _aged(dated: _Dated, now: float) -> messages.ShardSummary:
    age = max(0.0, now - dated.made_at)
    return dataclasses.replace(dated.summary, age_seconds=age)
