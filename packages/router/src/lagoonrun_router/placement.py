"""Rank the candidate upstreams of one request.

A pure function of the known state, which returns a ranking with its cost terms.
The cost of a candidate estimates the score lost by choosing it: by the request
itself, which waits for queued prompts, and by the streams that run there, whose
tokens are delayed by the prefill of this prompt.
"""

import dataclasses
import enum
import functools
import math

import xxhash

from lagoonrun_core import types
from lagoonrun_router import loads

_HASH_RANGE = float(1 << 64)
_MIN_HASH = 1.0 / _HASH_RANGE
_MAX_HASH = math.nextafter(1.0, 0.0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Weights:
    """Weights of the cost terms.

    Costs are in points of the users' score: an answer in time earns between 1
    and 2 points. `reading`, `rereading` and `other_domain` are prices that the
    users set on tokens and bytes (0.09 for a thousand tokens prefilled again;
    1.3 to 11 for a megabyte between failure domains, of which the higher is
    used). The other weights are the points usually lost. Three of them
    affect the score on days of traffic of the users' deployments: it differs
    between 6 and 20 for `other_domain`, between 0 and 1 for `overdue` (by 0.05
    on a day with unresponsive runners), and between 0 and 4 for `side` (by
    0.018 on five days of a fleet of five runners, and by 0.023 and 0.003 on two
    other fleets).

    Parameters
    ----------
    prefill_tokens_per_second
        Assumed prefill rate of a runner without other load, where upstreams
        don't state how long work takes; the users' runners reach
        36,700 and 48,200.
    lower_tiers
        Fraction of the queued prompts of lower tiers that is prefilled first
        because their prefill has already begun.
    harm
        Cost of delaying one stream, whose longest allowed pause is one second,
        by one second of prefill.
    exposure
        Cost of sending a stream, whose longest allowed pause is one second, to
        a runner that prefills prompts all the time.
    wait
        Cost of a wait as long as the target; grows with the square of the wait.
    reading
        Cost of prefilling a thousand prompt tokens.
    rereading
        Additional cost of prefilling a thousand tokens of a shared part that
        another upstream has prefilled recently or is about to prefill.
    other_domain
        Cost of sending a megabyte to another failure domain.
    failure
        Cost of each recent failure of the upstream.
    overdue
        Cost of each request there that is long overdue.
    silence
        Cost of an upstream in a silent failure domain.
    queue
        Cost of running as many requests as there are slots.
    spread
        Range of the tie-breaking cost, by the hash of the affinity and the
        upstream.
    side
        Cost of being at the wrong end of the pool; see `_misplacement`.
    version
        Cost of an upstream that is the only one of its version, for a stream
        that another one of it could continue if it breaks.
    """

    prefill_tokens_per_second: float = 40_000.0
    lower_tiers: float = 0.3
    harm: float = 0.6
    exposure: float = 0.6
    wait: float = 1.5
    reading: float = 0.01
    rereading: float = 0.08
    other_domain: float = 11.0
    failure: float = 1.0
    overdue: float = 1.0
    silence: float = 5.0
    queue: float = 1.0
    spread: float = 0.05
    side: float = 4.0
    version: float = 0.2


DEFAULT_WEIGHTS = Weights()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """Attributes of a request that affect its placement.

    Parameters
    ----------
    affinity
        Key of the requests that should share an upstream: the id of the
        largest shared part of the prompt, or else the request's own id.
    tier
        Engines prefill the prompts of higher tiers first.
    prompt_tokens, shared_tokens
        Length of the prompt, and of its parts that may be in a prefix cache.
    target_seconds
        Target for the time to the first event, or to the whole answer.
    sensitivity
        Inverse of the longest allowed pause in seconds; 0 without a limit.
    tightest_pause_seconds
        Minimum over the pool's classes of the longest allowed pause; None if
        no class has one.
    shared_recently
        Whether some upstream has prefilled the shared parts recently.
    body_bytes
        Size of the request body.
    """

    affinity: str
    tier: types.Tier = types.HIGHEST_TIER
    prompt_tokens: float = 0.0
    shared_tokens: float = 0.0
    target_seconds: float
    sensitivity: float = 0.0
    tightest_pause_seconds: float | None = None
    shared_recently: bool = False
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """Known state of an upstream.

    Parameters
    ----------
    slots
        Maximum number of concurrent requests.
    cache_tokens
        Capacity of its prefix cache; 0 if unknown.
    has_shared
        Whether its prefix cache probably holds the request's shared parts.
    same_domain
        Whether it is in the failure domain of this entry VM.
    load
        Known in-flight requests there.
    recent_prefill
        Prompt tokens per second that it was sent recently.
    failures
        Exponentially decaying count of its failures.
    silent_domain
        Whether its failure domain is probably unreachable.
    tokens_per_second
        Its current prefill rate; None for that of the weights.
    service_seconds
        Expected time to the answer of a plain service; 0 if unknown.
    substitutes
        Other upstreams that could continue the stream; None if it can't be
        continued, or all upstreams are of one version.
    """

    upstream: types.UpstreamId
    slots: int
    cache_tokens: float = 0.0
    has_shared: bool
    same_domain: bool
    load: loads.Load
    recent_prefill: float = 0.0
    failures: float = 0.0
    silent_domain: bool = False
    tokens_per_second: float | None = None
    service_seconds: float = 0.0
    substitutes: int | None = None


class PoolOrder:
    """Hash orders of a pool's upstreams, the same at all entry VMs.

    Parameters
    ----------
    ids
        All usable upstreams of the pool.
    weights
        Relative speeds of the upstreams, in proportion to which they prefill
        new shared parts; None if all are equal.
    """

    def __init__(
        self,
        *,
        ids: tuple[types.UpstreamId, ...],
        weights: tuple[float, ...] | None = None,
    ) -> None:
        self._ids = ids
        self._weights = weights

    def position_of(self, upstream: types.UpstreamId) -> float:
        """Return the position of an upstream in the pool, from 0 to 1.

        The order is that of the hashes of the ids, so that an upstream that
        joins or leaves moves each other one by one rank at most.
        """
        return self._position_by_upstream[upstream]

    def prefill_upstream_of(self, part: str) -> types.UpstreamId:
        """Return the upstream to prefill a shared part that none holds yet.

        It is determined by a hash of the part, because other entry VMs may
        place the same part at the same time and report that 0.1 s later. In
        the first ten seconds of a fleet of 82 entry VMs this raised the share
        of served requests from 0.68 to 0.75.
        """
        if self._weights is None:
            return min(self._ids, key=lambda one: _hash_fraction(part, one))
        # Weighted rendezvous hashing: a change of one weight moves only parts
        # from or to that upstream.
        weighted = zip(self._ids, self._weights, strict=True)
        return max(
            weighted,
            key=lambda one: one[1] / _exponential(part, one[0]),
        )[0]

    @functools.cached_property
    def _position_by_upstream(self) -> dict[types.UpstreamId, float]:
        ordered = sorted(self._ids, key=_id_hash)
        last = max(1, len(ordered) - 1)
        return {one: index / last for index, one in enumerate(ordered)}


def _id_hash(upstream: types.UpstreamId) -> int:
    return xxhash.xxh3_64_intdigest(upstream.encode())


class CostKind(enum.Enum):
    """Terms of a candidate's cost."""

    WAIT = "wait"
    HARM = "harm"
    EXPOSURE = "exposure"
    READING = "reading"
    DOMAIN = "domain"
    FAILURE = "failure"
    OVERDUE = "overdue"
    SILENCE = "silence"
    QUEUE = "queue"
    SPREAD = "spread"
    SIDE = "side"
    VERSION = "version"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ranked:
    """A candidate with its cost.

    Parameters
    ----------
    new_tokens
        Prompt tokens that it would have to prefill.
    wait_seconds
        Estimated time to the first event.
    costs
        Terms of the cost, in the order of `CostKind`.
    """

    candidate: Candidate
    new_tokens: float
    wait_seconds: float
    cost: float
    costs: tuple[float, ...]

    @property
    def cost_by_kind(self) -> dict[CostKind, float]:
        """The terms of the cost by kind."""
        return dict(zip(CostKind, self.costs, strict=True))


def rank(
    request: Request,
    candidates: tuple[Candidate, ...],
    weights: Weights = DEFAULT_WEIGHTS,
    *,
    pool: PoolOrder | None = None,
) -> tuple[Ranked, ...]:
    """Return the candidates in ascending order of cost.

    Parameters
    ----------
    pool
        All upstreams of the pool; None if all of them are candidates.
    """
    order = pool or PoolOrder(ids=tuple(one.upstream for one in candidates))
    prefill_upstream = None
    if not request.shared_recently:
        prefill_upstream = order.prefill_upstream_of(request.affinity)
    ranked = [
        _estimate(request, one, order, prefill_upstream, weights)
        for one in candidates
    ]
    return tuple(sorted(ranked, key=_sort_key))


def _sort_key(ranked: Ranked) -> tuple[float, str]:
    return ranked.cost, ranked.candidate.upstream


def _estimate(
    request: Request,
    candidate: Candidate,
    pool: PoolOrder,
    prefill_upstream: types.UpstreamId | None,
    weights: Weights,
) -> Ranked:
    new_tokens = request.prompt_tokens
    if candidate.has_shared:
        new_tokens -= request.shared_tokens
    reading = weights.reading * new_tokens
    if candidate.upstream != prefill_upstream and not candidate.has_shared:
        reading += weights.rereading * request.shared_tokens
    rate = candidate.tokens_per_second or weights.prefill_tokens_per_second
    load = candidate.load
    prefill_seconds = new_tokens / rate
    wait_seconds = (
        waiting_tokens(load, request.tier, weights) / rate
        + prefill_seconds
        + candidate.service_seconds
    )
    occupied = load.running / max(1, candidate.slots)
    position = pool.position_of(candidate.upstream)
    # In the order of `CostKind`.
    costs = (
        weights.wait * (wait_seconds / request.target_seconds) ** 2,
        weights.harm * prefill_seconds * load.sensitive,
        weights.exposure
        * request.sensitivity
        * min(1.0, candidate.recent_prefill / rate),
        reading / 1000.0,
        0.0
        if candidate.same_domain
        else weights.other_domain * request.body_bytes / 1e6,
        weights.failure * candidate.failures,
        weights.overdue * load.overdue,
        weights.silence * candidate.silent_domain,
        weights.queue * occupied,
        weights.spread * _hash_fraction(request.affinity, candidate.upstream),
        weights.side * _misplacement(request, prefill_seconds, position),
        0.0
        if candidate.substitutes is None
        else weights.version / (1 + candidate.substitutes) ** 2,
    )
    return Ranked(
        candidate=candidate,
        new_tokens=new_tokens,
        wait_seconds=wait_seconds,
        cost=sum(costs),
        costs=costs,
    )


def waiting_tokens(
    load: loads.Load, tier: types.Tier, weights: Weights = DEFAULT_WEIGHTS
) -> float:
    """Return the queued tokens that are prefilled before those of `tier`."""
    ahead = load.waiting_before(tier)
    behind = load.waiting_tokens - ahead
    return ahead + weights.lower_tiers * behind


def _misplacement(
    request: Request, prefill_seconds: float, position: float
) -> float:
    """Return how far a request is from its preferred end of the pool, 0 to 1.

    A prompt whose prefill takes as long as the tightest pause of the pool makes
    each concurrent stream with that limit late. So streams with tight pauses
    are placed towards one end of the pool and long prompts towards the other.
    Loads alone don't separate them: streams are sent where no prompt is being
    prefilled, and prompts where no such stream runs, both by stale reports, so
    that each follows the other around the pool.
    """
    tightest = request.tightest_pause_seconds
    if tightest is None:
        return 0.0
    pause_tightness = request.sensitivity * tightest
    prompt_length = min(1.0, prefill_seconds / tightest)
    return pause_tightness * position + prompt_length * (1.0 - position)


def _hash_fraction(affinity: str, upstream: types.UpstreamId) -> float:
    """Return a hash from 0 to 1 that is the same at all entry VMs."""
    named = f"{affinity}{upstream}"
    return xxhash.xxh3_64_intdigest(named.encode()) / _HASH_RANGE


def _exponential(part: str, upstream: types.UpstreamId) -> float:
    """Return an exponentially distributed hash that is above 0."""
    # A hash may be 0, and one close to 1 is rounded to 1.
    fraction = min(max(_hash_fraction(part, upstream), _MIN_HASH), _MAX_HASH)
    return -math.log(fraction)
