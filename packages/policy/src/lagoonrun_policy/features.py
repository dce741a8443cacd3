"""Parts of the order of service that can be switched, each alone."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Features:
    """Switches of a `ShardScheduler`, for measuring what each part buys.

    Parameters
    ----------
    fair_sharing
        Weighted fair queueing between the organisations of a class.
    target_first
        Serve first what can still meet its target.
    target_runners
        Keep what can meet its target from runners too slow for it.
    floors
        Grants set aside for each lower class that waits.
    deadline_refusal
        Refuse what a high quantile of service times no longer fits.
    wait_refusal
        Refuse on arrival what the queue ahead makes too late.
    adaptive_room
        Lower a runner's room while it is slower than unloaded.
    load_reports
        Count work that only the runner's own reports show.
    affinity
        Prefer a runner that has lately served the same prefix.
    straggler_penalty
        Prefer runners that are not slower than the median.
    ejection
        Take failing runners out and probe them.
    cutting
        Cut lower-tier idempotent work for a higher tier that waits.
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
