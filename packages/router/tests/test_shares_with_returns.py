"""Shares of a short pool whose refused callers return as told.

One upstream prefills 40 prompts a second. For eight seconds, one organisation
asks for 100 a second, three times what the other leaves to it, and the other
for 10, half of its share. A refused caller returns once, at the time that it
was told.
"""

import collections
import dataclasses
import heapq
import random

import pytest

from lagoonrun_router import (
    adaptive_load,
    admission,
    call,
    declarations,
    load_ledger,
    loads,
    placement,
    pool_capacity,
)
from lagoonrun_standins.router_samples import (
    make_call,
    make_registration,
    make_route,
)

NOW = 1000.0
SECONDS = 8.0
SETTLE_SECONDS = 2.0
"""Time in which the demand is measured; not counted."""

LIMIT_SECONDS = 10.0
TOKENS = 1000.0
TOKENS_PER_SECOND = 40_000.0
REQUESTS_PER_SECOND = {"house": 100.0, "garden": 10.0}
FAIR_RATE = TOKENS_PER_SECOND / TOKENS - REQUESTS_PER_SECOND["garden"]
POOL = declarations.Pool(
    name="engines",
    maximum_connections=64,
    engine=declarations.Engine(slots=1000, cache_tokens=0),
)
UPSTREAM = make_registration("u-1", pool="engines", slots=1000)


@dataclasses.dataclass(frozen=True, kw_only=True, order=True)
class Request:
    """A request that arrives, or returns, at a time."""

    at: float
    digest: str
    organisation: str
    arrived_at: float
    returned: bool = False

    def as_call(self):
        """Return it as the router sees it."""
        return make_call(
            attributes=call.CallAttributes(
                request_id=self.digest, host="portal.test", prompt_tokens=TOKENS
            ),
            route=make_route(target_seconds=1.0),
            pool=POOL,
            organisation=declarations.RankedOrganisation(
                id=self.organisation, key_digests=()
            ),
            pool_tiers=(1, 2),
            tier_targets={1: 1.0},
            arrived_at=self.arrived_at,
            limit_at=self.arrived_at + LIMIT_SECONDS,
            digest=self.digest,
        )


class ShortPool:
    """A pool with one upstream, as one entry VM serves it.

    Attributes
    ----------
    requests, admitted
        Number of requests and of admitted ones by organisation.
    refused
        Number of refusals by organisation and reason.
    waits
        Seconds from the admission to the first event.
    """

    def __init__(self):
        self._ledger = load_ledger.LoadLedger()
        self._capacity = pool_capacity.PoolCapacity(
            load=adaptive_load.AdaptiveLoad(
                contended=True, weight_override=lambda organisation: None
            ),
            ledger=self._ledger,
        )
        self._queue = collections.deque()
        self._idle_at = NOW
        self.requests = collections.Counter()
        self.admitted = collections.Counter()
        self.refused = collections.Counter()
        self.waits = []

    def serve(self, request):
        """Admit or refuse a request; return when it returns, or None."""
        now = request.at
        while self._queue and self._queue[0][0] <= now:
            self._ledger.end(self._queue.popleft()[1])
        one = request.as_call()
        self._capacity.record_arrival(one, tokens=TOKENS, now=now)
        counted = request.arrived_at >= NOW + SETTLE_SECONDS
        self.requests[request.organisation] += counted and not request.returned
        got = self._capacity.admit(
            one,
            self._base(),
            (UPSTREAM,),
            tokens=TOKENS,
            floor_due=False,
            now=now,
        )
        if isinstance(got, pool_capacity.Rejection):
            self.refused[request.organisation, got.refusal] += counted
            return now + self._capacity.return_seconds(one, got, now=now)
        self._capacity.record_admission(one, tokens=TOKENS, now=now)
        in_flight = loads.InFlightRequest(
            upstream="u-1", new_tokens=TOKENS, sensitivity=0.0
        )
        self._ledger.begin(in_flight, now=now)
        self._idle_at = max(self._idle_at, now) + TOKENS / TOKENS_PER_SECOND
        self._queue.append((self._idle_at, in_flight))
        # Later ones use capacity that no other organisation asks for.
        self.admitted[request.organisation] += counted and now < NOW + SECONDS
        if counted:
            self.waits.append(self._idle_at - now)
        return None

    def _base(self):
        """Return the decision of the admission of all pools."""
        wait = (len(self._queue) + 1) * TOKENS / TOKENS_PER_SECOND
        if wait > admission.MAX_PATIENCE_FRACTION * LIMIT_SECONDS:
            return admission.Refusal.TOO_LATE
        return placement.Ranked(
            candidate=placement.Candidate(
                upstream="u-1",
                slots=1000,
                has_shared=False,
                same_domain=True,
                load=loads.Load(),
            ),
            new_tokens=TOKENS,
            wait_seconds=wait,
            cost=0.0,
            costs=(),
        )


def serve_all(*, returning):
    """Serve the requests of both organisations; return the pool."""
    rng = random.Random(3)
    upcoming = []
    for organisation, rate in REQUESTS_PER_SECOND.items():
        at = NOW
        while (at := at + rng.expovariate(rate)) < NOW + SECONDS:
            upcoming.append(
                Request(
                    at=at,
                    digest=f"{organisation}-{len(upcoming)}",
                    organisation=organisation,
                    arrived_at=at,
                )
            )
    heapq.heapify(upcoming)
    pool = ShortPool()
    while upcoming:
        request = heapq.heappop(upcoming)
        returns_at = pool.serve(request)
        if returning and returns_at is not None and not request.returned:
            heapq.heappush(
                upcoming,
                dataclasses.replace(request, at=returns_at, returned=True),
            )
    return pool


@pytest.mark.parametrize("returning", [False, True])
def test_room_promised_to_one_organisation_is_not_that_of_another(returning):
    """Guards against reservations that refuse an organisation in its share.

    The callers refused for exceeding their share are promised the whole drain
    rate of the pool, and what is reserved for them is missing for all others.
    """
    pool = serve_all(returning=returning)
    reserved = pool.refused["garden", admission.Refusal.RESERVED]
    assert reserved <= 0.1 * pool.requests["garden"]


def test_returning_callers_do_not_exceed_the_share():
    """Guards against an organisation that gets more by repeating requests.

    A caller that returns in time is admitted whatever its share, and its time
    is promised even if no tenth of a second has room for it.
    """
    pool = serve_all(returning=True)
    fair = FAIR_RATE * (SECONDS - SETTLE_SECONDS)
    assert pool.admitted["house"] <= 1.25 * fair


def test_returning_callers_do_not_make_all_others_late():
    """Guards against a backlog of callers that were promised capacity."""
    pool = serve_all(returning=True)
    assert sum(one > 1.0 for one in pool.waits) <= 0.1 * len(pool.waits)
