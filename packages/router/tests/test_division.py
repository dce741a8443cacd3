"""Long prompts beside streams with tight pauses, decided on stale news.

The pattern: one class asks short questions and streams long answers with a
pause of 0.2 s, another one sends prompts of thousands of tokens, both from
several entry VMs that hear of each other a tenth of a second late. A runner
reads 50,000 tokens a second in chunks between the steps of its streams, so
that a stream is late where some 8,000 tokens are read in one go beside it.
Rates are those of a maintenance fleet of five runners in a burst of both: 14
questions and 28 prompts a second for ten seconds, a third of what the runners
read. News take two tenths of a second in it, from one failure domain to the
last entry VM of another.
"""

import dataclasses
import random
import statistics

from lagoonrun_router import loads, placement

RUNNERS = tuple(f"u-{n}" for n in range(5))
READ_PER_SECOND = 50_000.0
NEWS_SECONDS = 0.2
STREAM_SECONDS = 2.5
QUESTIONS_PER_SECOND = 14.0
DIGESTS_PER_SECOND = 28.0
FATAL_TOKENS = 8_000.0
QUESTION = placement.Request(
    affinity="question",
    prompt_tokens=700.0,
    target_seconds=1.0,
    sensitivity=5.0,
    tightest_pause_seconds=0.2,
)
DIGEST = placement.Request(
    affinity="digest",
    tier=3,
    prompt_tokens=3_000.0,
    target_seconds=1.5,
    sensitivity=1.25,
    tightest_pause_seconds=0.2,
)


@dataclasses.dataclass(kw_only=True)
class Stream:
    """A question's stream on a runner, until its end."""

    runner: str
    ends_at: float
    late: bool = False


@dataclasses.dataclass(kw_only=True)
class Prompt:
    """A prompt that is read from its sending on, after those before it."""

    runner: str
    tokens: float
    sent_at: float
    read_at: float


class Fleet:
    """Runners by a rough model, and what entry VMs have heard of them."""

    def __init__(self):
        self.streams = []
        self.prompts = []

    def backlog(self, runner, now):
        """Return the tokens that the runner has still to read."""
        ends = [one.read_at for one in self.prompts if one.runner == runner]
        return max(0.0, max(ends, default=0.0) - now) * READ_PER_SECOND

    def heard(self, runner, now):
        """Return the runner's load as it was heard."""
        then = now - NEWS_SECONDS
        running = [
            one
            for one in self.streams
            if one.runner == runner
            and one.ends_at - STREAM_SECONDS <= then < one.ends_at
        ]
        waiting = sum(
            one.tokens
            for one in self.prompts
            if one.runner == runner and one.sent_at <= then < one.read_at
        )
        return loads.Load(
            waiting_by_tier=(0.0, 0.0, waiting),
            running=len(running),
            sensitive=5.0 * len(running),
        )

    def recent_prefill(self, runner, now):
        """Return the tokens a second that the runner was sent lately."""
        recent = sum(
            one.tokens
            for one in self.prompts
            if one.runner == runner
            and now - 2.0 <= one.sent_at <= now - NEWS_SECONDS
        )
        return recent / 2.0

    def choose(self, request, now, weights):
        """Return the runner of a request."""
        candidates = tuple(
            placement.Candidate(
                upstream=runner,
                slots=64,
                has_shared=False,
                same_domain=True,
                load=self.heard(runner, now),
                recent_prefill=self.recent_prefill(runner, now),
            )
            for runner in RUNNERS
        )
        ranked = placement.rank(request, candidates, weights)
        return ranked[0].candidate.upstream

    def send(self, request, now, weights):
        """Place a request; streams beside a long reading become late."""
        runner = self.choose(request, now, weights)
        backlog = self.backlog(runner, now) + request.prompt_tokens
        self.prompts.append(
            Prompt(
                runner=runner,
                tokens=request.prompt_tokens,
                sent_at=now,
                read_at=now + backlog / READ_PER_SECOND,
            )
        )
        if request.affinity.startswith("question"):
            self.streams.append(
                Stream(runner=runner, ends_at=now + STREAM_SECONDS)
            )
        if backlog >= FATAL_TOKENS:
            for one in self.streams:
                if one.runner == runner and one.ends_at > now:
                    one.late = True


def late_share(seed, weights):
    """Return the share of late streams in a burst."""
    chance = random.Random(seed)
    fleet = Fleet()
    now = 0.0
    number = 0
    rate = QUESTIONS_PER_SECOND + DIGESTS_PER_SECOND
    question_share = QUESTIONS_PER_SECOND / rate
    while now < 10.0:
        now += chance.expovariate(rate)
        number += 1
        if chance.random() < question_share:
            request = dataclasses.replace(
                QUESTION, affinity=f"question-{number}"
            )
        else:
            tokens = min(20_000.0, chance.lognormvariate(7.6, 0.9))
            request = dataclasses.replace(
                DIGEST, affinity=f"digest-{number}", prompt_tokens=tokens
            )
        fleet.send(request, now, weights)
    late = sum(one.late for one in fleet.streams)
    return late / len(fleet.streams)


UNDIVIDED = dataclasses.replace(placement.DEFAULT_WEIGHTS, side=0.0)


def mean_late_share(weights):
    """Return the share of late streams over several bursts."""
    return statistics.fmean(late_share(seed, weights) for seed in range(6))


def test_streams_with_tight_pauses_stay_apart_from_long_prompts():
    """A burst of digests comes beside a burst of urgent questions.

    By loads alone, questions and digests run after each other: each long
    digest finds some questions beside it, and their streams are late.
    """
    undivided = mean_late_share(UNDIVIDED)
    assert undivided > 0.05
    assert mean_late_share(placement.DEFAULT_WEIGHTS) < 0.1 * undivided
