"""When refused callers are told to return, and the capacity reserved for them.

A fixed Retry-After makes all refused callers return at once and be refused
again. So each is told the time at which the pool is expected to have prefilled
its backlog and the prompts of those invited before, and new requests leave the
capacity to the callers that return in time.
"""

import collections
import dataclasses
import enum
import heapq
import math
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_router import drain_calendar, due_tokens

EARLY_SECONDS = 0.05
"""How long before its time a returning caller is in time. Covers the rounding
of Retry-After and differences in transit time."""

LATE_SECONDS = 0.5
"""How long after its time a returning caller is in time. The tokens of one that
does not return are reserved for so long."""

MAX_INVITATIONS = 4096
"""Maximum number of invitations, including those of neighbours."""

MAX_AHEAD_SECONDS = 60.0
"""Maximum time until an invitation is due; bounds the promised tenths of a
second that are kept."""

_OUTCOME_WEIGHT = 1.0 / 16.0
"""Weight of one invitation in the fraction that is redeemed: it follows a change
within some tens of refusals, a second or two of an overload."""

_KEPT_SECONDS = 5.0
"""How long an invitation is kept after its end, so that a caller that returns
late is recognised."""

_SAME_SECONDS = 0.05
"""Difference up to which two times of a request are the same. Messages state
times relative to their sending, so each transit shifts them a little."""

_MAX_OWN_PER_MESSAGE = 24
"""Invitations in one message of an entry VM; fits into a datagram."""

_MAX_RELAYED_PER_MESSAGE = 48
"""Invitations in one message of a relay; fits into a datagram."""

_MAX_PENDING = 192
"""Maximum number of invitations to be reported. If there are more, as after a
pause of the process, the oldest are dropped; a caller whose invitation is not
reported is treated as new by the neighbours."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Invitation:
    """The time at which a refused caller was told to return.

    Parameters
    ----------
    digest
        Digest of the request, equal for all of its repetitions.
    tokens
        Prompt tokens reserved for it; 0 after it has been redeemed.
    due_at
        Monotonic time of the promised capacity.
    """

    digest: types.RequestDigest
    pool: types.PoolName
    tier: types.Tier
    tokens: float
    due_at: float

    @property
    def starts_at(self) -> float:
        """Monotonic time from which the caller is in time."""
        return self.due_at - EARLY_SECONDS

    @property
    def ends_at(self) -> float:
        """Monotonic time until which the caller is in time."""
        return self.due_at + LATE_SECONDS


class Arrival(enum.Enum):
    """How an arriving request relates to its invitation."""

    NEW = "new"
    """It has no invitation, or has redeemed it."""

    EARLY = "early"
    INVITED = "invited"
    EXPIRED = "expired"


class _PendingInvitations:
    """Queue of invitations to be reported to one group of entry VMs."""

    def __init__(self) -> None:
        self._by_digest: collections.OrderedDict[
            types.RequestDigest, Invitation
        ] = collections.OrderedDict()

    def add(self, invitation: Invitation) -> None:
        """Queue an invitation instead of an earlier one of the request."""
        self._by_digest[invitation.digest] = invitation
        self._by_digest.move_to_end(invitation.digest)
        if len(self._by_digest) > _MAX_PENDING:
            self._by_digest.popitem(last=False)

    def pop(self, max_count: int, *, now: float) -> tuple[Invitation, ...]:
        """Remove and return the oldest invitations that are not over."""
        popped: list[Invitation] = []
        while self._by_digest and len(popped) < max_count:
            _, invitation = self._by_digest.popitem(last=False)
            if now <= invitation.ends_at:
                popped.append(invitation)
        return tuple(popped)


class ReturnSchedule:
    """Invitations of this entry VM and of its neighbours.

    A redeemed invitation is reported as one without tokens, so that the
    neighbours end the reservation as well. Times that are passed to the methods
    never decrease.
    """

    def __init__(self) -> None:
        self._by_digest: dict[types.RequestDigest, Invitation] = {}
        self._ends: list[tuple[float, types.RequestDigest]] = []
        self._due = due_tokens.DueTokens(max_count=MAX_INVITATIONS)
        self._calendar = drain_calendar.DrainCalendar()
        # Own invitations by the end of their time, as a heap.
        self._issued: list[tuple[float, types.RequestDigest]] = []
        self._redeemed_fraction = 1.0
        self._own = _PendingInvitations()
        self._for_neighbours = _PendingInvitations()

    def invite(
        self,
        digest: types.RequestDigest,
        *,
        pool: types.PoolName,
        tier: types.Tier,
        tokens: float,
        tokens_per_second: float,
        after_seconds: float,
        within_seconds: float,
        now: float,
    ) -> Invitation:
        """Return when the caller of a refused request is to return.

        A request that is repeated before its time keeps it. One that is refused
        in its time gets a later one.

        Parameters
        ----------
        tokens_per_second
            Part of the drain rate that this entry VM may promise.
        after_seconds
            Time until the backlog is drained; nothing is promised before.
        within_seconds
            Time within which the caller has to return to be served.
        """
        within_seconds = min(MAX_AHEAD_SECONDS, max(0.0, within_seconds))
        earliest_at = now + min(MAX_AHEAD_SECONDS, max(0.0, after_seconds))
        known = self._by_digest.get(digest)
        if known is not None and known.tokens > 0.0:
            if now < known.starts_at:
                return known
            # The next tenth at the earliest: the capacity is not there now, and
            # the neighbours have to tell the new time from the last one.
            earliest_at = max(
                earliest_at,
                max(now, known.due_at) + drain_calendar.TENTH_SECONDS,
            )
        tokens = max(1.0, tokens)
        invitation = Invitation(
            digest=digest,
            pool=pool,
            tier=tier,
            tokens=tokens,
            due_at=self._calendar.reserve(
                digest,
                pool=pool,
                tier=tier,
                tokens=tokens,
                tokens_per_second=tokens_per_second,
                earliest_at=earliest_at,
                latest_at=now + within_seconds,
                now=now,
            ),
        )
        if self._record(invitation, now=now):
            heapq.heappush(self._issued, (invitation.ends_at, digest))
            self._own.add(invitation)
            self._for_neighbours.add(invitation)
        return invitation

    def arrival_of(self, digest: types.RequestDigest, *, now: float) -> Arrival:
        """Return whether a request arrives at the time of its invitation."""
        known = self._by_digest.get(digest)
        if (
            known is None
            or known.tokens <= 0.0
            or now > known.ends_at + _KEPT_SECONDS
        ):
            return Arrival.NEW
        if now < known.starts_at:
            return Arrival.EARLY
        return Arrival.INVITED if now <= known.ends_at else Arrival.EXPIRED

    def redeem(self, digest: types.RequestDigest, *, now: float) -> None:
        """Record that a caller in time, or an early one, has been admitted."""
        arrival = self.arrival_of(digest, now=now)
        if arrival not in (Arrival.EARLY, Arrival.INVITED):
            return
        redeemed = dataclasses.replace(self._by_digest[digest], tokens=0.0)
        self._by_digest[digest] = redeemed
        self._due.remove(digest)
        self._own.add(redeemed)
        self._for_neighbours.add(redeemed)

    def reserved_tokens(
        self, pool: types.PoolName, tier: types.Tier, *, now: float
    ) -> float:
        """Return the tokens that new requests of a tier must not use.

        They are those of the invitations of this and higher tiers that are due
        now and not redeemed.
        """
        return self._due.at_and_above(pool, tier, now=now)

    def redeemed_fraction(self, *, now: float) -> float:
        """Return the fraction of the own invitations that is redeemed.

        1 before the first has ended.
        """
        while self._issued and now > self._issued[0][0]:
            _, digest = heapq.heappop(self._issued)
            known = self._by_digest.get(digest)
            redeemed = known is not None and known.tokens <= 0.0
            self._redeemed_fraction += _OUTCOME_WEIGHT * (
                redeemed - self._redeemed_fraction
            )
        return self._redeemed_fraction

    def apply_invitations(
        self, invitations: Iterable[Invitation], *, now: float
    ) -> None:
        """Apply invitations of the own failure domain.

        The result does not depend on their order or repetition: the latest time
        of a request applies, and one that is redeemed stays so. Those that
        change nothing are not relayed, so that relays do not send them to each
        other forever.
        """
        for invitation in invitations:
            if not _is_plausible(invitation, now=now):
                continue
            known = self._by_digest.get(invitation.digest)
            if known is not None:
                later = invitation.due_at - known.due_at > _SAME_SECONDS
                same = abs(invitation.due_at - known.due_at) <= _SAME_SECONDS
                redeems = invitation.tokens <= 0.0 < known.tokens
                if not later and not (same and redeems):
                    continue
            if self._record(invitation, now=now):
                self._for_neighbours.add(invitation)

    def outstanding(self, *, now: float) -> tuple[Invitation, ...]:
        """Return the invitations that are neither redeemed nor over."""
        return tuple(
            one
            for one in self._by_digest.values()
            if one.tokens > 0.0 and now <= one.ends_at
        )

    def pop_own(self, *, now: float) -> tuple[Invitation, ...]:
        """Return and clear own invitations to be reported."""
        return self._own.pop(_MAX_OWN_PER_MESSAGE, now=now)

    def pop_for_neighbours(self, *, now: float) -> tuple[Invitation, ...]:
        """Return and clear the domain's invitations for the neighbours."""
        return self._for_neighbours.pop(_MAX_RELAYED_PER_MESSAGE, now=now)

    def _record(self, invitation: Invitation, *, now: float) -> bool:
        """Keep an invitation; return False if there are too many."""
        self._evict(now)
        digest = invitation.digest
        if (
            digest not in self._by_digest
            and len(self._by_digest) >= MAX_INVITATIONS
        ):
            # Under a flood of refusals, evicting an earlier invitation for
            # each new one would leave none until it is due.
            return False
        self._by_digest[digest] = invitation
        heapq.heappush(self._ends, (invitation.ends_at, digest))
        if len(self._ends) > 2 * MAX_INVITATIONS:
            self._ends = [
                (one.ends_at, one.digest) for one in self._by_digest.values()
            ]
            heapq.heapify(self._ends)
        if invitation.tokens > 0.0:
            self._due.add(
                digest,
                pool=invitation.pool,
                tier=invitation.tier,
                tokens=invitation.tokens,
                starts_at=invitation.starts_at,
                ends_at=invitation.ends_at,
            )
        else:
            self._due.remove(digest)
        return True

    def _evict(self, now: float) -> None:
        """Drop old invitations, and for a new one the first that is over."""
        while self._ends:
            ends_at, digest = self._ends[0]
            known = self._by_digest.get(digest)
            if known is not None and known.ends_at == ends_at:
                full = len(self._by_digest) >= MAX_INVITATIONS
                kept_until = ends_at if full else ends_at + _KEPT_SECONDS
                if now <= kept_until:
                    return
                del self._by_digest[digest]
                self._due.remove(digest)
            heapq.heappop(self._ends)


def _is_plausible(invitation: Invitation, *, now: float) -> bool:
    """Return whether a reported invitation can be kept, and is not over."""
    return (
        math.isfinite(invitation.tokens)
        and invitation.tokens >= 0.0
        and math.isfinite(invitation.due_at)
        and now <= invitation.ends_at
        and invitation.due_at <= now + MAX_AHEAD_SECONDS
    )
