"""Times and limits of the membership, with what each was chosen for."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, kw_only=True)
class Timing:
    """Times in seconds and counts of the membership protocol.

    Parameters
    ----------
    period_seconds
        Between two probes of one process.
    direct_timeout_seconds
        Wait for an answer before other members are asked to probe.
    indirect_members
        Members asked to probe in our stead.
    suspicion_seconds
        Least time between suspicion and death in a domain of up to ten.
    verdict_seconds
        Time left to refute when others already hold a member for dead.
    forget_seconds
        Time for which the dead are remembered, so that old news does not
        bring them back.
    hold_seconds, maximum_hold_seconds
        First and longest time for which a member that came back from the
        dead gets no shard.
    flap_half_life_seconds
        Time in which half of a member's flaps are forgiven.
    rejoin_periods
        Periods between two probes of the dead and the seeds.
    fan_out_own_domain, fan_out_other_domains
        Members that urgent news is sent to at once.
    urgent_burst
        Urgent sendings saved up at most; one more is earned each period.
    sync_seconds
        Between two probes of a process whose table differs much.
    summary_maximum_age_seconds
        Age at which a shard's summary is no longer used.
    summary_domains
        Domains whose shards one domain hears of.
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
        """Return how long one of `members` may take to refute, in seconds.

        News needs a number of periods that grows with the logarithm of the
        members that pass it on.
        """
        return self.suspicion_seconds * max(1.0, math.log10(max(1, members)))

    def transmissions_for(self, members: int) -> int:
        """Return how often each of `members` passes one piece of news on."""
        return 4 * math.ceil(math.log10(members + 1))

    def cross_domain_periods_for(self, members: int) -> int:
        """Return the periods between two probes of other domains."""
        return max(1, round(members / 128))
