"""Times and limits of the membership."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Times in seconds and limits of the membership protocol.

    Parameters
    ----------
    period_seconds
        Interval between two probes by one process.
    direct_timeout_seconds
        Wait for an answer before other members are asked to probe.
    indirect_members
        Number of members asked for an indirect probe.
    suspicion_seconds
        Minimum time between suspicion and death, as in a domain of up to ten
        members.
    dispute_seconds
        Time to refute a death that other members report.
    forget_seconds
        Time for which dead members are remembered, so that old updates don't
        bring them back.
    hold_down_seconds, maximum_hold_down_seconds
        First and longest hold-down: the time for which a member that returned
        after being marked dead gets no shard.
    flap_half_life_seconds
        Half-life of a member's flap count.
    rejoin_periods
        Periods between two probes of dead members and seeds.
    fan_out_own_domain, fan_out_other_domains
        Number of members of the own domain, and of other domains, that urgent
        updates are sent to at once.
    urgent_burst
        Maximum number of urgent fan-outs in a burst; one more is allowed each
        period.
    sync_interval_seconds
        Interval between two syncs of a process whose table lacks much of its
        peers'.
    summary_maximum_age_seconds
        Age from which a shard's summary is no longer used.
    summary_domains
        Number of other domains whose shard summaries a domain receives.
    """

    period_seconds: float = 1.0
    direct_timeout_seconds: float = 0.4
    indirect_members: int = 3
    suspicion_seconds: float = 3.0
    dispute_seconds: float = 2.5
    forget_seconds: float = 600.0
    hold_down_seconds: float = 2.0
    maximum_hold_down_seconds: float = 60.0
    flap_half_life_seconds: float = 60.0
    rejoin_periods: int = 3
    fan_out_own_domain: int = 4
    fan_out_other_domains: int = 2
    urgent_burst: int = 4
    sync_interval_seconds: float = 0.2
    summary_maximum_age_seconds: float = 10.0
    summary_domains: int = 4

    def suspicion_for(self, members: int) -> float:
        """Return the time to refute a suspicion among `members`, in seconds.

        The number of periods that an update needs to reach all members grows
        with the logarithm of their number.
        """
        return self.suspicion_seconds * max(1.0, math.log10(max(1, members)))

    def transmissions_for(self, members: int) -> int:
        """Return how often each of `members` sends one update."""
        return 4 * math.ceil(math.log10(members + 1))

    def cross_domain_periods_for(self, members: int) -> int:
        """Return the number of periods between two cross-domain probes."""
        return max(1, round(members / 128))
