"""Scheduling state of one class of a shard."""

from lagoonrun_core import types
from lagoonrun_policy import fair_queue, features, messages

_TOKEN_SMOOTHING = 0.05
_INITIAL_EXPECTED_TOKENS = 1.0


class ClassState:
    """Queue, running requests and floor credit of one class.

    Parameters
    ----------
    policy
        The class's profile.
    weights_by_organisation
        Fair-queueing weights of the organisations.
    switches
        Features that are enabled.
    """

    def __init__(
        self,
        *,
        policy: messages.ClassPolicy,
        weights_by_organisation: dict[types.OrganisationId, float],
        switches: features.Features,
    ) -> None:
        self.policy = policy
        self.queue = fair_queue.FairQueue(
            weights_by_organisation=weights_by_organisation,
            fair=switches.fair_sharing,
            target_first=switches.target_first,
        )
        self.running = 0
        self.floor_running = 0
        self.floor_credit = 0.0
        self.last_grant_sequence = 0
        self.expected_tokens = _INITIAL_EXPECTED_TOKENS

    @property
    def service_order(self) -> tuple[int, int]:
        """Sort key: strict by tier, round robin between classes of a tier."""
        return (self.policy.tier, self.last_grant_sequence)

    @property
    def capacity(self) -> int:
        """Maximum queue length, at least 1 so that a free slot can be used."""
        return max(1, self.policy.queue_capacity)

    @property
    def sheddable(self) -> int:
        """How many waiting requests may be shed for a higher tier.

        The one that the floor serves next is protected: shedding it each
        time would starve the class during an endless burst.
        """
        protected = 1 if self.policy.floor_share > 0 else 0
        return max(0, self.queue.length - protected)

    def observe_tokens(self, tokens: int) -> None:
        """Update the expected tokens per answer by exponential smoothing."""
        excess = max(tokens, 1) - self.expected_tokens
        self.expected_tokens += _TOKEN_SMOOTHING * excess
