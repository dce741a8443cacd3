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

import pytest

from lagoonrun_router import loads, placement

STREAM_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Deployment:
    """Figures of a pool and of its load.

    Parameters
    ----------
    read_per_second
        Prompt tokens that a runner reads in a second.
    tightest_pause_seconds
        Longest pause of the questions' streams.
    question_tokens, digest_tokens
        Prompts; those of digests are the median of a wide distribution.
    questions_per_second, digests_per_second
        Rates for each runner.
    """

    runners: int = 5
    read_per_second: float = 50_000.0
    tightest_pause_seconds: float = 0.2
    news_seconds: float = 0.2
    question_tokens: float = 700.0
    digest_tokens: float = 2_000.0
    questions_per_second: float = 2.8
    digests_per_second: float = 5.6
    names: str = "u"

    @property
    def fatal_tokens(self) -> float:
        """Tokens that make a stream late when they are read in one go."""
        return 0.8 * self.read_per_second * self.tightest_pause_seconds

    def question(self, number: int) -> placement.Request:
        """Return an urgent question."""
        return placement.Request(
            affinity=f"question-{number}",
            prompt_tokens=self.question_tokens,
            target_seconds=1.0,
            sensitivity=1.0 / self.tightest_pause_seconds,
            tightest_pause_seconds=self.tightest_pause_seconds,
        )

    def digest(self, number: int, tokens: float) -> placement.Request:
        """Return a digest with a prompt of `tokens`."""
        return placement.Request(
            affinity=f"digest-{number}",
            tier=3,
            prompt_tokens=tokens,
            target_seconds=1.5,
            sensitivity=0.25 / self.tightest_pause_seconds,
            tightest_pause_seconds=self.tightest_pause_seconds,
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

    def __init__(self, deployment):
        self.deployment = deployment
        self.runners = [
            f"{deployment.names}-{n}" for n in range(deployment.runners)
        ]
        self.streams = []
        self.prompts = []

    def backlog(self, runner, now):
        """Return the tokens that the runner has still to read."""
        ends = [one.read_at for one in self.prompts if one.runner == runner]
        left = max(0.0, max(ends, default=0.0) - now)
        return left * self.deployment.read_per_second

    def heard(self, runner, now):
        """Return the runner's load as it was heard."""
        then = now - self.deployment.news_seconds
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
            sensitive=len(running) / self.deployment.tightest_pause_seconds,
        )

    def recent_prefill(self, runner, now):
        """Return the tokens a second that the runner was sent lately."""
        heard_until = now - self.deployment.news_seconds
        recent = sum(
            one.tokens
            for one in self.prompts
            if one.runner == runner and now - 2.0 <= one.sent_at <= heard_until
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
            for runner in self.runners
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
                read_at=now + backlog / self.deployment.read_per_second,
            )
        )
        if request.affinity.startswith("question"):
            self.streams.append(
                Stream(runner=runner, ends_at=now + STREAM_SECONDS)
            )
        if backlog >= self.deployment.fatal_tokens:
            for one in self.streams:
                if one.runner == runner and one.ends_at > now:
                    one.late = True


def late_share(deployment, seed, weights):
    """Return the share of late streams in a burst."""
    rng = random.Random(seed)
    fleet = Fleet(deployment)
    questions = deployment.questions_per_second * deployment.runners
    rate = questions + deployment.digests_per_second * deployment.runners
    now = 0.0
    number = 0
    while now < 10.0:
        now += rng.expovariate(rate)
        number += 1
        if rng.random() < questions / rate:
            request = deployment.question(number)
        else:
            median = deployment.digest_tokens
            tokens = median * rng.lognormvariate(0.0, 0.9)
            request = deployment.digest(number, min(10 * median, tokens))
        fleet.send(request, now, weights)
    late = sum(one.late for one in fleet.streams)
    return late / len(fleet.streams)


UNDIVIDED = dataclasses.replace(placement.DEFAULT_WEIGHTS, side=0.0)


def mean_late_share(deployment, weights, seeds=6):
    """Return the share of late streams over several bursts."""
    return statistics.fmean(
        late_share(deployment, seed, weights) for seed in range(seeds)
    )


def test_streams_with_tight_pauses_stay_apart_from_long_prompts():
    """A burst of digests comes beside a burst of urgent questions.

    By loads alone, questions and digests run after each other: each long
    digest finds some questions beside it, and their streams are late.
    """
    undivided = mean_late_share(Deployment(), UNDIVIDED)
    assert undivided > 0.05
    divided = mean_late_share(Deployment(), placement.DEFAULT_WEIGHTS)
    assert divided < 0.1 * undivided


@pytest.mark.parametrize(
    "deployment",
    [
        Deployment(names="reader"),
        Deployment(runners=3),
        Deployment(runners=12, news_seconds=0.4),
        Deployment(read_per_second=20_000.0, digest_tokens=800.0),
        Deployment(
            read_per_second=100_000.0,
            digest_tokens=4_000.0,
            question_tokens=1_400.0,
        ),
        Deployment(tightest_pause_seconds=0.4, digest_tokens=4_000.0),
        Deployment(tightest_pause_seconds=0.1, digest_tokens=1_000.0),
    ],
    ids=["names", "few", "many", "slow", "fast", "patient", "hasty"],
)
def test_division_serves_other_deployments(deployment):
    """Names, sizes, speeds and pauses are others than those it was made for.

    The division must never make more streams late than the loads alone.
    """
    divided = mean_late_share(deployment, placement.DEFAULT_WEIGHTS, seeds=3)
    assert divided <= mean_late_share(deployment, UNDIVIDED, seeds=3)
