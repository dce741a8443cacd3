"""One class of a shard: its queue and what it has running."""

from lagoonrun_core import types
from lagoonrun_policy import fair_queue, features, messages

_TOKEN_SMOOTHING = 0.05
_INITIAL_EXPECTED_TOKENS = 1.0


class ClassState:
    """Queue, running work and floor credit of one class.

    Parameters
    ----------
    policy
        The class's profile.
    weights_by_organisation
        Shares of the organisations.
    switches
        Which parts are in use.
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
        """Strict by tier; classes of one tier take turns."""
        return (self.policy.tier, self.last_grant_sequence)

    @property
    def capacity(self) -> int:
        """Most requests that wait; one at least passes on to a free slot."""
        return max(1, self.policy.queue_capacity)

    @property
    def sheddable(self) -> int:
        """How many waiting requests may give way to a higher tier.

        The one that the floor serves next stays: shedding it again and
        again would leave the class without service in an endless burst.
        """
        protected = 1 if self.policy.floor_share > 0 else 0
        return max(0, self.queue.length - protected)

    def observe_tokens(self, tokens: int) -> None:
        """Learn how many tokens an answer of this class is charged for."""
        excess = max(tokens, 1) - self.expected_tokens
        self.expected_tokens += _TOKEN_SMOOTHING * excess
