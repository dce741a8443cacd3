"""Feature switches of the scheduler."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Features:
    """Features of a `ShardScheduler`, each switchable to measure its effect.

    Parameters
    ----------
    fair_sharing
        Weighted fair queueing between the organisations of a class.
    target_first
        Serve requests that can still meet their target first.
    target_runners
        Exclude runners that are too slow for a target that can be met.
    floors
        Guarantee waiting lower classes a minimum share of the grants.
    deadline_refusal
        Refuse requests with less time left than a high quantile of the
        service times.
    wait_refusal
        Refuse arrivals that would miss their deadline in the queue.
    adaptive_room
        Lower a runner's concurrency limit while its latency is clearly above
        that under low load.
    load_reports
        Count load of other senders, known only from the runner's reports.
    affinity
        Prefer a runner that recently served the same prefix.
    straggler_penalty
        Prefer runners that are not slower than the median.
    ejection
        Eject failing runners and probe them.
    cutting
        Cut running idempotent requests of a lower tier for a waiting higher
        tier.
    """

    fair_sharing: bool = True
    target_first: bool = True
    target_runners: bool = True
    floors: bool = True
    deadline_refusal: bool = True
    wait_refusal: bool = True
    adaptive_room: bool = True
    load_reports: bool = True
    affinity: bool = True
    straggler_penalty: bool = True
    ejection: bool = True
    cutting: bool = False
