"""Bounded buffer of explanations of recent requests."""

import collections
import dataclasses

from lagoonrun_core import outcomes, types
from lagoonrun_policy import messages as policy_messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class Happening:
    """One step of a request at its ingress.

    Parameters
    ----------
    at_seconds
        Time since the request's arrival.
    what
        Name of the step, such as `permit-requested` or `sent`.
    detail
        Human-readable details; never prompts, responses or keys.
    """

    at_seconds: float
    what: str
    detail: str = ""


@dataclasses.dataclass(kw_only=True)
class Explanation:
    """Decisions, steps and ending of one request, as known here."""

    request_id: types.RequestId
    organisation: types.OrganisationId | None = None
    decisions: list[policy_messages.DecisionRecord] = dataclasses.field(
        default_factory=list
    )
    happenings: list[Happening] = dataclasses.field(default_factory=list)
    ending: outcomes.Ending | None = None


class ExplanationRing:
    """Store the explanations of the most recent requests.

    Parameters
    ----------
    capacity
        Maximum number of requests; the oldest is evicted first. Bounds
        memory.
    """

    _MAXIMUM_ENTRIES_PER_REQUEST = 64

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._by_request_id: collections.OrderedDict[
            types.RequestId, Explanation
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._by_request_id)

    def find(self, request_id: types.RequestId) -> Explanation | None:
        """Return the explanation of a request, or None if it is unknown."""
        return self._by_request_id.get(request_id)

    def add_decision(self, record: policy_messages.DecisionRecord) -> None:
        """Add the record of a dispatcher's decision."""
        explanation = self._entry(record.key.request_id)
        explanation.organisation = record.organisation
        if len(explanation.decisions) < self._MAXIMUM_ENTRIES_PER_REQUEST:
            explanation.decisions.append(record)

    def add_happening(
        self,
        request_id: types.RequestId,
        organisation: types.OrganisationId,
        happening: Happening,
    ) -> None:
        """Add a step of a request at this entry VM's ingress."""
        explanation = self._entry(request_id)
        explanation.organisation = organisation
        if len(explanation.happenings) < self._MAXIMUM_ENTRIES_PER_REQUEST:
            explanation.happenings.append(happening)

    def end(self, request_id: types.RequestId, ending: outcomes.Ending) -> None:
        """Set how a request ended."""
        self._entry(request_id).ending = ending

    def _entry(self, request_id: types.RequestId) -> Explanation:
        entry = self._by_request_id.get(request_id)
        if entry is None:
            entry = Explanation(request_id=request_id)
            self._by_request_id[request_id] = entry
            if len(self._by_request_id) > self._capacity:
                self._by_request_id.popitem(last=False)
        return entry
