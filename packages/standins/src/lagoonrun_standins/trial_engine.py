"""Model of a runner with continuous batching, for `policy_trial`.

All requests of a batch advance by the same number of tokens. A larger batch
advances more slowly, and much more slowly beyond the engine's knee. Prefill
costs a number of tokens of work before the first token is produced, fewer if
the prefix is cached.
"""

import collections
import dataclasses
import heapq

from lagoonrun_core import types
from lagoonrun_policy import messages

_SLOWDOWN_PER_REQUEST = 0.05
_SLOWDOWN_BEYOND_KNEE = 0.25


@dataclasses.dataclass(eq=False, kw_only=True, slots=True)
class Job:
    """State of one request in the trial.

    Parameters
    ----------
    prefill_tokens
        Work before the first token without a cached prefix, in tokens.
    tokens
        Length of the answer; unknown to the scheduler.
    start_work, first_work, end_work
        Work of the engine at which the request starts, produces its first
        token and ends.
    """

    event: messages.PermitRequested
    tier: types.Tier
    arrived_at: float
    deadline: float
    prefill_tokens: float
    tokens: int
    upstream: types.UpstreamId | None = None
    sent_at: float = 0.0
    start_work: float = 0.0
    first_work: float = 0.0
    end_work: float = 0.0
    first_token_at: float = 0.0
    finished: bool = False


class TrialEngine:
    """Model of one engine: a batch, a priority queue and a prefix cache.

    Parameters
    ----------
    step_seconds
        Time of one token with an almost empty batch.
    speed
        1 for a healthy runner, less for a straggler.
    batch
        Maximum number of requests in the batch; further ones queue.
    knee
        Batch size above which memory runs short and all requests slow down.
    cached_prefixes
        Capacity of the prefix cache.
    """

    def __init__(
        self,
        *,
        id: types.UpstreamId,
        step_seconds: float,
        speed: float,
        batch: int,
        knee: int,
        cached_prefixes: int,
    ) -> None:
        self.id = id
        self.batch = batch
        self.speed = speed
        self.running: dict[messages.PermitKey, Job] = {}
        self.queue: list[tuple[types.Tier, float, int, Job]] = []
        self.tokens = 0.0
        self.hits = 0
        self.misses = 0
        self._step = step_seconds
        self._knee = knee
        self._work = 0.0
        self._advanced_at = 0.0
        self._milestones: list[tuple[float, int, Job]] = []
        self._sequence = 0
        self._cache_capacity = cached_prefixes
        self._cache: collections.OrderedDict[types.PrefixHash, None] = (
            collections.OrderedDict()
        )

    def submit(self, job: Job, now: float) -> None:
        """Add a request to the batch, or to the queue if the batch is full."""
        self.advance(now)
        self._sequence += 1
        item = (job.tier, job.sent_at, self._sequence, job)
        heapq.heappush(self.queue, item)
        self._fill()

    def cancel(self, job: Job, now: float) -> int:
        """Cancel a request; return the number of tokens it has produced."""
        self.advance(now)
        produced = self.produced(job)
        job.finished = True
        self.running.pop(job.event.key, None)
        self._fill()
        return produced

    def produced(self, job: Job) -> int:
        """Return the tokens a request has produced; 0 if it is not running."""
        if job.event.key not in self.running:
            return 0
        return max(0, int(self._work - job.first_work) + 1)

    def next_milestone(self) -> float | None:
        """Return when the next first token or end is due; None if none is."""
        while self._milestones and self._milestones[0][2].finished:
            heapq.heappop(self._milestones)
        if not self._milestones:
            return None
        ahead = self._milestones[0][0] - self._work
        return self._advanced_at + max(0.0, ahead) * self._seconds_per_token()

    def pop_milestone(self, now: float) -> tuple[Job, bool]:
        """Pop the next milestone; return its job and whether the job ended."""
        self.advance(now)
        work, _, job = heapq.heappop(self._milestones)
        self._work = max(self._work, work)
        if job.first_token_at == 0.0:
            job.first_token_at = now
            self._push(job.end_work, job)
            return job, False
        job.finished = True
        del self.running[job.event.key]
        self.tokens += job.tokens
        self._fill()
        return job, True

    def advance(self, now: float) -> None:
        """Advance the batch to `now`."""
        if self.running:
            self._work += (now - self._advanced_at) / self._seconds_per_token()
        self._advanced_at = now

    def _seconds_per_token(self) -> float:
        size = len(self.running)
        slowdown = 1.0 + _SLOWDOWN_PER_REQUEST * size
        slowdown += _SLOWDOWN_BEYOND_KNEE * max(0, size - self._knee)
        return self._step * slowdown / self.speed

    def _fill(self) -> None:
        while self.queue and len(self.running) < self.batch:
            job = heapq.heappop(self.queue)[3]
            if job.finished:
                continue
            prefill = job.prefill_tokens * (
                0.2 if self._look_up_prefix(job) else 1.0
            )
            job.start_work = self._work
            job.first_work = self._work + prefill
            job.end_work = job.first_work + job.tokens
            self.running[job.event.key] = job
            self._push(job.first_work, job)

    def _look_up_prefix(self, job: Job) -> bool:
        prefix = job.event.prefix_hash
        hit = prefix in self._cache
        self._cache[prefix] = None
        self._cache.move_to_end(prefix)
        if len(self._cache) > self._cache_capacity:
            self._cache.popitem(last=False)
        self.hits += hit
        self.misses += not hit
        return hit

    def _push(self, work: float, job: Job) -> None:
        self._sequence += 1
        heapq.heappush(self._milestones, (work, self._sequence, job))
