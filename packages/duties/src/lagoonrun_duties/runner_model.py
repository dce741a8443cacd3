"""Input and output of runner planning, as plain data classes."""

import dataclasses
from collections.abc import Mapping

from lagoonrun_core import types
from lagoonrun_duties import platform_calls


@dataclasses.dataclass(frozen=True, kw_only=True)
class Scaling:
    """Limits and prices of a pool's runners.

    Parameters
    ----------
    minimum, maximum
        Number of runners in each failure domain, both kinds together.
    boot_seconds
        Time from an order until a new runner serves requests.
    reclaimable_price
        Price of a reclaimable (spot) runner, as a fraction of that of a lasting
        (on-demand) one.
    price_by_domain
        Price of a lasting runner per second.
    """

    minimum: int
    maximum: int
    boot_seconds: float
    reclaimable_price: float
    price_by_domain: Mapping[types.FailureDomain, float]


@dataclasses.dataclass(frozen=True, kw_only=True)
class DomainRunners:
    """Runners of a pool in one failure domain.

    Parameters
    ----------
    lasting, reclaimable
        Number of those that serve requests.
    """

    domain: types.FailureDomain
    lasting: int = 0
    reclaimable: int = 0

    def of_kind(self, kind: platform_calls.RunnerKind) -> int:
        """Return the number of serving runners of one kind."""
        if kind is platform_calls.RunnerKind.LASTING:
            return self.lasting
        return self.reclaimable


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolDemand:
    """Load of a pool in the recent past.

    Parameters
    ----------
    prompt_tokens_per_second
        Prompt tokens that its runners were sent for prefill.
    running
        Requests in flight.
    waiting_tokens
        Prompt tokens of requests that have had no first event yet.
    """

    prompt_tokens_per_second: float = 0.0
    running: int = 0
    waiting_tokens: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolView:
    """State of a pool at the time when orders are planned."""

    pool: types.PoolName
    scaling: Scaling
    domains: tuple[DomainRunners, ...]
    demand: PoolDemand = PoolDemand()


@dataclasses.dataclass(frozen=True, kw_only=True)
class DesiredRunners:
    """Desired number of runners of a pool in a failure domain."""

    domain: types.FailureDomain
    lasting: int
    reclaimable: int

    def of_kind(self, kind: platform_calls.RunnerKind) -> int:
        """Return the desired number of runners of one kind."""
        if kind is platform_calls.RunnerKind.LASTING:
            return self.lasting
        return self.reclaimable
