"""How many runners a pool is to have, of which kind, where: pure decisions.

Reclaimable runners cost a fraction of lasting ones and serve as well, but the
platform takes all of a failure domain away at once, with two seconds' notice, and
has none to give there for ten seconds and more. So a pool has as many reclaimable
runners as it may; lasting ones stand in only while a domain has lost its own, and
only as many as it takes to bear the loss of one domain more.
"""

import dataclasses
import math
from collections.abc import Sequence

from lagoonrun_core import types
from lagoonrun_duties import runner_model

TOKENS_PER_SECOND = 40_000.0
"""Prompt tokens that a runner reads in a second, alone; those of the users read
36,700 to 51,100."""

CRITICAL_USE = 0.8
"""Part of a runner's reading speed up to which prompts may take it for some seconds
without anybody being refused. Lasting runners that come for less go again soon, and
with them what they have read: on a calm day 0.983 of the requests were served in
time with 0.6 here, 0.992 without any lasting ones."""

PEAK_HALF_LIFE_SECONDS = 20.0
"""Time after which half of a peak of demand is forgotten: bursts come back within
a minute."""

_LEAST_LEAVING = 0.2
"""Part of a domain's reclaimable runners that leave at once when they are taken
away: news of all of them takes a second. Fewer leave for other reasons."""

_BACK = 0.5
"""Part of the reclaimable runners that have to be back before lasting ones leave."""

_MOST_LASTING = 0.5
"""Part of a domain's runners that are lasting at most: both kinds together have one
limit, and reclaimable ones are to come back beside them."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Peak:
    tokens_per_second: float
    at: float


class ReclaimablePlan:
    """Remembers the demand of the last seconds, and which domains are short."""

    def __init__(self) -> None:
        self._peak_by_pool: dict[types.PoolName, _Peak] = {}
        self._lasting_by_short: dict[
            tuple[types.PoolName, types.FailureDomain], int
        ] = {}

    def wanted(
        self, view: runner_model.PoolView, *, now: float
    ) -> tuple[runner_model.WantedRunners, ...]:
        """Return what each failure domain of a pool is to have."""
        critical = self._critical_runners(view, now)
        short = [
            one.domain for one in view.domains if self._is_short(view, one)
        ]
        lasting = _lasting_each(view, short, critical)
        wanted = []
        for one in view.domains:
            kept = 0
            if one.domain in short:
                kept = self._kept((view.pool, one.domain), lasting)
            wanted.append(
                runner_model.WantedRunners(
                    domain=one.domain,
                    lasting=kept,
                    reclaimable=view.scaling.maximum - kept,
                )
            )
        return tuple(wanted)

    def _kept(
        self, key: tuple[types.PoolName, types.FailureDomain], lasting: int
    ) -> int:
        """Return the lasting runners of a domain, never less while it is short.

        Those that leave take what they have read with them.
        """
        lasting = max(lasting, self._lasting_by_short[key])
        self._lasting_by_short[key] = lasting
        return lasting

    def _critical_runners(self, view: runner_model.PoolView, now: float) -> int:
        """Return how many runners the recent peak of demand needs at least."""
        demand = view.demand
        rate = demand.prompt_tokens_per_second
        known = self._peak_by_pool.get(view.pool)
        if known is not None:
            faded = 0.5 ** ((now - known.at) / PEAK_HALF_LIFE_SECONDS)
            rate = max(rate, known.tokens_per_second * faded)
        self._peak_by_pool[view.pool] = _Peak(tokens_per_second=rate, at=now)
        return math.ceil(rate / (CRITICAL_USE * TOKENS_PER_SECOND))

    def _is_short(
        self, view: runner_model.PoolView, one: runner_model.DomainRunners
    ) -> bool:
        """Return whether a domain has lost its reclaimable runners."""
        key = (view.pool, one.domain)
        if _is_losing(one):
            self._lasting_by_short.setdefault(key, 0)
        elif one.reclaimable >= _BACK * (view.scaling.maximum - one.lasting):
            self._lasting_by_short.pop(key, None)
        return key in self._lasting_by_short


def _is_losing(one: runner_model.DomainRunners) -> bool:
    if one.unavailable:
        return True
    there = one.reclaimable + one.leaving_reclaimable
    return one.leaving_reclaimable > max(1.0, _LEAST_LEAVING * there)


def _lasting_each(
    view: runner_model.PoolView,
    short: Sequence[types.FailureDomain],
    critical: int,
) -> int:
    """Return the lasting runners of each domain that is short.

    With them the pool bears the loss of one domain more; where more than one is
    short already, it makes do.
    """
    if not short:
        return 0
    sound = len(view.domains) - len(short)
    if len(short) == 1:
        sound -= 1
    missing = critical - sound * view.scaling.maximum
    each = math.ceil(missing / len(short))
    return max(0, min(int(_MOST_LASTING * view.scaling.maximum), each))
