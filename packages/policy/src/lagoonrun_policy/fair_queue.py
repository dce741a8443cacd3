"""Weighted fair queue of one class's requests, by organisation.

Each organisation has a virtual time: the tokens charged to it, divided by its
weight. The organisation with the lowest virtual time is served next. The
length of an answer is not known in advance, so a grant is charged with an
estimate, which the scheduler corrects as tokens are produced.
"""

import dataclasses
import heapq
from collections.abc import Iterator, Mapping

from lagoonrun_core import types
from lagoonrun_policy import messages

_SHARED_ACCOUNT = types.OrganisationId("")
_COMPACT_ABOVE = 256


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class WaitingRequest:
    """A request waiting for a runner.

    Parameters
    ----------
    deadline
        Time at which the profile's limit expires.
    target_deadline
        Time at which the profile's target expires.
    sequence
        Arrival number in the shard.
    """

    request: messages.PermitRequested
    arrived_at: float
    deadline: float
    target_deadline: float
    sequence: int
    queued: bool = False


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class _Account:
    """Waiting requests and virtual time of one organisation."""

    weight: float
    virtual_time: float
    in_time: list[tuple[float, int, WaitingRequest]]
    late: list[tuple[float, int, WaitingRequest]]
    by_sequence: dict[int, WaitingRequest]


class FairQueue:
    """Queue of one class's waiting requests.

    Parameters
    ----------
    weights_by_organisation
        Weights; an organisation that is not listed has weight 1.
    fair
        If false, all organisations share one account.
    target_first
        If true, a request that can still meet its target is served before
        those of the same organisation that cannot.

    Attributes
    ----------
    length
        Number of waiting requests.
    """

    def __init__(
        self,
        *,
        weights_by_organisation: Mapping[types.OrganisationId, float],
        fair: bool = True,
        target_first: bool = True,
    ) -> None:
        self._weights = weights_by_organisation
        self._fair = fair
        self._target_first = target_first
        self._accounts: dict[types.OrganisationId, _Account] = {}
        self._service_order: list[tuple[float, types.OrganisationId]] = []
        self._virtual_now = 0.0
        self._deadlines: list[tuple[float, int, WaitingRequest]] = []
        self.length = 0
        self._active_weight = 0.0
        self._latest_deadline = float("-inf")

    @property
    def latest_deadline(self) -> float:
        """Upper bound of the deadlines of all waiting requests."""
        return self._latest_deadline

    def set_weights(
        self, weights_by_organisation: Mapping[types.OrganisationId, float]
    ) -> None:
        """Apply the weights of a new configuration."""
        self._weights = weights_by_organisation
        self._active_weight = 0.0
        for organisation, account in self._accounts.items():
            account.weight = self._weight(organisation)
            if account.by_sequence:
                self._active_weight += account.weight

    def push(self, waiting: WaitingRequest) -> None:
        """Add a request; at first it counts as able to meet its target."""
        organisation = self._account_key(waiting)
        account = self._account(organisation)
        if not account.by_sequence:
            self._activate(organisation, account)
        waiting.queued = True
        account.by_sequence[waiting.sequence] = waiting
        self._push_request(account, waiting)
        heapq.heappush(
            self._deadlines, (waiting.deadline, waiting.sequence, waiting)
        )
        self.length += 1
        self._latest_deadline = max(self._latest_deadline, waiting.deadline)
        self._compact_deadlines()

    def pop(self, *, target_cutoff: float) -> WaitingRequest | None:
        """Remove and return the next request in order of service.

        Parameters
        ----------
        target_cutoff
            A request with a target deadline before this time can no longer
            meet it and is served after those of its organisation that can.
        """
        while self._service_order:
            virtual_time, organisation = self._service_order[0]
            account = self._accounts[organisation]
            stale = virtual_time != account.virtual_time
            if stale or not account.by_sequence:
                heapq.heappop(self._service_order)
                continue
            waiting = self._next_request(account, target_cutoff)
            self._virtual_now = max(self._virtual_now, virtual_time)
            self.remove(waiting)
            return waiting
        return None

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request from any position; no-op if it is not queued."""
        if not waiting.queued:
            return
        waiting.queued = False
        account = self._accounts[self._account_key(waiting)]
        del account.by_sequence[waiting.sequence]
        self.length -= 1
        if not account.by_sequence:
            account.in_time.clear()
            account.late.clear()
            self._active_weight -= account.weight
        if self.length == 0:
            self._deadlines.clear()
            self._service_order.clear()
            self._active_weight = 0.0
            self._latest_deadline = float("-inf")

    def charge(self, organisation: types.OrganisationId, tokens: float) -> None:
        """Charge tokens to an organisation; negative `tokens` are a refund."""
        if not self._fair or tokens == 0:
            return
        account = self._account(organisation)
        account.virtual_time += tokens / account.weight
        if account.by_sequence:
            self._push_organisation(organisation, account)

    def ahead_of(self, organisation: types.OrganisationId) -> int:
        """Return an upper bound on the requests served before a new one."""
        if not self._fair:
            return self.length
        account = self._accounts.get(organisation)
        own = len(account.by_sequence) if account is not None else 0
        weight = self._weight(organisation)
        rounds = (own + 1) * max(1.0, self._active_weight / weight)
        return min(self.length, int(rounds))

    def earliest(self) -> WaitingRequest | None:
        """Return the request with the earliest deadline."""
        while self._deadlines and not self._deadlines[0][2].queued:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][2] if self._deadlines else None

    def earliest_late(
        self, organisation: types.OrganisationId, *, target_cutoff: float
    ) -> WaitingRequest | None:
        """Return an organisation's late request with the earliest deadline."""
        account = self._accounts.get(
            organisation if self._fair else _SHARED_ACCOUNT
        )
        if account is None or not account.by_sequence or not self._target_first:
            return None
        self._split_by_target(account, target_cutoff)
        return account.late[0][2] if account.late else None

    def shed_candidate(self) -> WaitingRequest | None:
        """Return the newest request of the most backlogged organisation."""
        accounts = [a for a in self._accounts.values() if a.by_sequence]
        if not accounts:
            return None
        account = max(
            accounts,
            key=lambda a: (len(a.by_sequence) / a.weight, max(a.by_sequence)),
        )
        return account.by_sequence[max(account.by_sequence)]

    def __iter__(self) -> Iterator[WaitingRequest]:
        for account in self._accounts.values():
            yield from account.by_sequence.values()

    def _account_key(self, waiting: WaitingRequest) -> types.OrganisationId:
        return waiting.request.organisation if self._fair else _SHARED_ACCOUNT

    def _account(self, organisation: types.OrganisationId) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            account = _Account(
                weight=self._weight(organisation),
                virtual_time=self._virtual_now,
                in_time=[],
                late=[],
                by_sequence={},
            )
            self._accounts[organisation] = account
        return account

    def _weight(self, organisation: types.OrganisationId) -> float:
        return self._weights.get(organisation, 1.0)

    def _activate(
        self, organisation: types.OrganisationId, account: _Account
    ) -> None:
        # Idle time earns no credit: a returning organisation starts at the
        # current virtual time and cannot starve those being served.
        account.virtual_time = max(account.virtual_time, self._virtual_now)
        self._active_weight += account.weight
        self._push_organisation(organisation, account)

    def _push_organisation(
        self, organisation: types.OrganisationId, account: _Account
    ) -> None:
        heapq.heappush(
            self._service_order, (account.virtual_time, organisation)
        )
        if len(self._service_order) > _COMPACT_ABOVE + 4 * len(self._accounts):
            self._rebuild_service_order()

    def _rebuild_service_order(self) -> None:
        self._service_order = [
            (account.virtual_time, organisation)
            for organisation, account in self._accounts.items()
            if account.by_sequence
        ]
        heapq.heapify(self._service_order)

    def _push_request(self, account: _Account, waiting: WaitingRequest) -> None:
        key = (
            waiting.target_deadline if self._target_first else waiting.sequence
        )
        heapq.heappush(account.in_time, (key, waiting.sequence, waiting))
        if len(account.in_time) > _COMPACT_ABOVE + 2 * len(account.by_sequence):
            account.in_time = [i for i in account.in_time if i[2].queued]
            heapq.heapify(account.in_time)

    def _next_request(
        self, account: _Account, target_cutoff: float
    ) -> WaitingRequest:
        self._split_by_target(account, target_cutoff)
        heap = account.in_time if account.in_time else account.late
        return heap[0][2]

    def _split_by_target(self, account: _Account, target_cutoff: float) -> None:
        in_time = account.in_time
        while in_time:
            waiting = in_time[0][2]
            if not waiting.queued:
                heapq.heappop(in_time)
            elif self._target_first and waiting.target_deadline < target_cutoff:
                heapq.heappop(in_time)
                item = (waiting.deadline, waiting.sequence, waiting)
                heapq.heappush(account.late, item)
            else:
                break
        while account.late and not account.late[0][2].queued:
            heapq.heappop(account.late)

    def _compact_deadlines(self) -> None:
        if len(self._deadlines) > _COMPACT_ABOVE + 2 * self.length:
            self._deadlines = [i for i in self._deadlines if i[2].queued]
            heapq.heapify(self._deadlines)
