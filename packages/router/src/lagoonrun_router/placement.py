"""Choose the upstream of one request.

A pure decision: readings go in, a ranking with its reasons comes out. The
cost of a candidate is an estimate of the credit that is lost by the choice:
by the request itself, which waits for the prompts before it, and by the
streams that run there, whose tokens wait for this prompt.
"""

import dataclasses
import enum
import functools

import xxhash

from lagoonrun_core import types
from lagoonrun_router import loads

_HASH_RANGE = float(1 << 64)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Weights:
    """How much each consideration counts.

    Costs are in credits: an answer in time earns between 1 and 2 of them.
    `reading`, `rereading` and `other_domain` are the prices that users put on
    tokens and bytes (0.09 for a thousand tokens read again; 1.3 to 11 for a
    megabyte between failure domains, the higher one taken); the others were
    set by hand to the credit of what is usually lost, and moved only where
    days of the users' deployments showed a difference: between 6 and 20 for
    `other_domain`, 0 and 1 for `overdue` (0.05 of the worth of a day with dark
    runners), and 0 and 4 for `side` (0.018 on five days of a fleet of five
    runners, 0.023 and 0.003 on two others).

    Parameters
    ----------
    prefill_tokens_per_second
        Prompt tokens that a runner reads in a second, alone; those of the
        users read 36,700 and 48,200.
    lower_tiers
        Part of the waiting prompts of lower tiers that is read first all the
        same, because it is being read already.
    harm
        Cost of delaying one stream with a longest pause of one second by
        one second of prompt reading.
    exposure
        Cost of sending a stream with a longest pause of one second to a
        runner that reads prompts all of the time.
    wait
        Cost of being on time by a hair; it grows with the square of the time.
    reading
        Cost of reading a thousand prompt tokens.
    rereading
        Further cost of a thousand tokens of a shared part that another
        upstream has read a moment ago, or is about to read.
    other_domain
        Cost of sending a megabyte to another failure domain.
    failure
        Cost of each recent failure of the upstream.
    overdue
        Cost of each request there that is long overdue.
    silence
        Cost of an upstream in a failure domain that is silent.
    queue
        Cost of running as many requests as there are slots.
    spread
        Range of the costs by which the hash of a prompt's shared part orders
        upstreams that are otherwise alike.
    side
        Cost of standing at the wrong end of the pool; see `_side`.
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


DEFAULT_WEIGHTS = Weights()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """What counts of a request.

    Parameters
    ----------
    affinity
        What brings requests together on an upstream: the id of the largest
        shared part of the prompt, or the request's own id.
    tier
        Engines read the prompts of higher tiers first.
    prompt_tokens, shared_tokens
        Whole prompt, and the part of it that an upstream may have read.
    target_seconds
        Time to the first event, or to the whole answer, that is on time.
    sensitivity
        Inverse of the longest pause in seconds; 0 where there are no pauses.
    tightest_pause_seconds
        Shortest longest pause of any class of the pool; None where no class
        has one.
    shared_lately
        Whether some upstream has read the shared parts a moment ago.
    body_bytes
        Bytes that go to the upstream.
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
    """What is known of an upstream.

    Parameters
    ----------
    slots
        Requests that it works on at once.
    cache_tokens
        Tokens that fit into its memory; 0 where that is not known.
    has_shared
        Whether it probably has the request's shared parts in its memory.
    same_domain
        Whether it stands in the failure domain of this entry VM.
    load
        Known work there.
    recent_prefill
        Prompt tokens a second that it was sent lately.
    failures
        Faded number of its failures.
    silent_domain
        Whether its failure domain is probably cut off from here.
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


class PoolOrder:
    """What a decision knows of all upstreams of a pool together.

    Parameters
    ----------
    ids
        All upstreams that a request may be sent to.
    """

    def __init__(self, *, ids: tuple[types.UpstreamId, ...]) -> None:
        self._ids = ids

    def position_of(self, upstream: types.UpstreamId) -> float:
        """Return a place from 0 to 1 in an order that all entry VMs compute.

        By the hash of the ids: an upstream that comes or goes moves the others
        by one place at most.
        """
        return self._position_by_upstream[upstream]

    def prefill_upstream_of(self, part: str) -> types.UpstreamId:
        """Return where a shared part that nobody has read lately is to be read.

        One upstream, by the hash of the part: other entry VMs may have the same
        part just now, and what they choose is heard a tenth of a second later.
        In the first ten seconds of a fleet of 82, 0.75 of the requests were
        served in this way, else 0.68.
        """
        return min(self._ids, key=lambda one: _hash_fraction(part, one))

    @functools.cached_property
    def _position_by_upstream(self) -> dict[types.UpstreamId, float]:
        ordered = sorted(self._ids, key=_id_hash)
        last = max(1, len(ordered) - 1)
        return {one: index / last for index, one in enumerate(ordered)}


def _id_hash(upstream: types.UpstreamId) -> int:
    return xxhash.xxh3_64_intdigest(upstream.encode())


class CostKind(enum.Enum):
    """Parts of a candidate's cost."""

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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ranked:
    """A candidate with its cost.

    Parameters
    ----------
    new_tokens
        Prompt tokens that it would have to read.
    wait_seconds
        Estimated time to the first event.
    costs
        Its parts, in the order of `CostKind`.
    """

    candidate: Candidate
    new_tokens: float
    wait_seconds: float
    cost: float
    costs: tuple[float, ...]

    @property
    def cost_by_kind(self) -> dict[CostKind, float]:
        """The parts of the cost by their kinds."""
        return dict(zip(CostKind, self.costs, strict=True))


def rank(
    request: Request,
    candidates: tuple[Candidate, ...],
    weights: Weights = DEFAULT_WEIGHTS,
    *,
    pool: PoolOrder | None = None,
) -> tuple[Ranked, ...]:
    """Return the candidates, the cheapest first.

    Parameters
    ----------
    pool
        All upstreams; None where the candidates are all.
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
    rate = weights.prefill_tokens_per_second
    load = candidate.load
    prefill_seconds = new_tokens / rate
    wait_seconds = (
        waiting_seconds(load, request.tier, weights) + prefill_seconds
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
    )
    return Ranked(
        candidate=candidate,
        new_tokens=new_tokens,
        wait_seconds=wait_seconds,
        cost=sum(costs),
        costs=costs,
    )


def waiting_seconds(
    load: loads.Load, tier: types.Tier, weights: Weights
) -> float:
    """Return how long a new prompt of `tier` waits for others."""
    ahead = load.waiting_before(tier)
    behind = load.waiting_tokens - ahead
    tokens = ahead + weights.lower_tiers * behind
    return tokens / weights.prefill_tokens_per_second


def _misplacement(
    request: Request, prefill_seconds: float, position: float
) -> float:
    """Return how far a request is from its own end of the pool, 0 to 1.

    A prompt that is read for as long as the tightest pause of the pool makes
    each such stream beside it late, wherever it is read. Streams with tight
    pauses gather at one end and long prompts at the other, with all between
    them in between. The loads alone don't divide them so: streams go where no
    prompt is read and prompts where no such stream runs, both by what was
    heard a moment ago, so that they run after each other.
    """
    tightest = request.tightest_pause_seconds
    if tightest is None:
        return 0.0
    pause_tightness = request.sensitivity * tightest
    prompt_length = min(1.0, prefill_seconds / tightest)
    return pause_tightness * position + prompt_length * (1.0 - position)


def _hash_fraction(affinity: str, upstream: types.UpstreamId) -> float:
    """Return a number from 0 to 1 that all entry VMs compute alike."""
    named = f"{affinity}{upstream}"
    return xxhash.xxh3_64_intdigest(named.encode()) / _HASH_RANGE
