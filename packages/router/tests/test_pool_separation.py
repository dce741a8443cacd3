"""Placement of long prompts and of streams with tight pauses, by stale reports.

The simulated load: one class sends short questions and streams long answers
with a longest pause of 0.2 s, another one sends prompts of thousands of tokens,
both through several entry VMs that learn of each other's requests 0.1 s late. A
runner prefills 50,000 tokens per second in chunks between the steps of its
streams, so that a stream is late if about 8,000 tokens are prefilled in one go
at the same runner. The rates are those of a maintenance fleet of five runners
in a burst of both classes: 14 questions and 28 prompts per second for ten
seconds, a third of the runners' prefill capacity. Reports take 0.2 s there from
one failure domain to the last entry VM of another.
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
    prefill_tokens_per_second
        Prefill rate of a runner.
    tightest_pause_seconds
        Longest allowed pause of the questions' streams.
    question_tokens, digest_tokens
        Prompt lengths; that of digests is the median of a wide distribution.
    questions_per_second, digests_per_second
        Rates for each runner.
    """

    runners: int = 5
    prefill_tokens_per_second: float = 50_000.0
    tightest_pause_seconds: float = 0.2
    report_delay_seconds: float = 0.2
    question_tokens: float = 700.0
    digest_tokens: float = 2_000.0
    questions_per_second: float = 2.8
    digests_per_second: float = 5.6
    names: str = "u"

    @property
    def late_threshold_tokens(self) -> float:
        """Tokens that make a stream late if they are prefilled in one go."""
        return (
            0.8 * self.prefill_tokens_per_second * self.tightest_pause_seconds
        )

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
    """A prompt, queued at its runner from `sent_at` to `prefilled_at`."""

    runner: str
    tokens: float
    sent_at: float
    prefilled_at: float


class Fleet:
    """A simplified model of runners and of the delayed reports about them."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.runners = [
            f"{deployment.names}-{n}" for n in range(deployment.runners)
        ]
        self.streams = []
        self.prompts = []

    def backlog(self, runner, now):
        """Return the tokens that the runner has yet to prefill."""
        ends = [
            one.prefilled_at for one in self.prompts if one.runner == runner
        ]
        left = max(0.0, max(ends, default=0.0) - now)
        return left * self.deployment.prefill_tokens_per_second

    def reported_load(self, runner, now):
        """Return the runner's load as last reported."""
        then = now - self.deployment.report_delay_seconds
        running = [
            one
            for one in self.streams
            if one.runner == runner
            and one.ends_at - STREAM_SECONDS <= then < one.ends_at
        ]
        waiting = sum(
            one.tokens
            for one in self.prompts
            if one.runner == runner and one.sent_at <= then < one.prefilled_at
        )
        return loads.Load(
            waiting_by_tier=(0.0, 0.0, waiting),
            running=len(running),
            sensitive=len(running) / self.deployment.tightest_pause_seconds,
        )

    def recent_prefill(self, runner, now):
        """Return the reported prefill rate of the last two seconds."""
        reported_until = now - self.deployment.report_delay_seconds
        recent = sum(
            one.tokens
            for one in self.prompts
            if one.runner == runner
            and now - 2.0 <= one.sent_at <= reported_until
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
                load=self.reported_load(runner, now),
                recent_prefill=self.recent_prefill(runner, now),
            )
            for runner in self.runners
        )
        ranked = placement.rank(request, candidates, weights)
        return ranked[0].candidate.upstream

    def send(self, request, now, weights):
        """Place a request; a long prefill makes the runner's streams late."""
        runner = self.choose(request, now, weights)
        backlog = self.backlog(runner, now) + request.prompt_tokens
        self.prompts.append(
            Prompt(
                runner=runner,
                tokens=request.prompt_tokens,
                sent_at=now,
                prefilled_at=now
                + backlog / self.deployment.prefill_tokens_per_second,
            )
        )
        if request.affinity.startswith("question"):
            self.streams.append(
                Stream(runner=runner, ends_at=now + STREAM_SECONDS)
            )
        if backlog >= self.deployment.late_threshold_tokens:
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


WITHOUT_SEPARATION = dataclasses.replace(placement.DEFAULT_WEIGHTS, side=0.0)


def mean_late_share(deployment, weights, seeds=6):
    """Return the share of late streams over several bursts."""
    return statistics.fmean(
        late_share(deployment, seed, weights) for seed in range(seeds)
    )


def test_streams_with_tight_pauses_stay_apart_from_long_prompts():
    """Guards against late streams in joint bursts of digests and questions.

    By loads alone, questions and digests follow each other around the pool:
    each long digest meets some questions at its runner and makes their streams
    late.
    """
    unseparated = mean_late_share(Deployment(), WITHOUT_SEPARATION)
    assert unseparated > 0.05
    separated = mean_late_share(Deployment(), placement.DEFAULT_WEIGHTS)
    assert separated < 0.1 * unseparated


@pytest.mark.parametrize(
    "deployment",
    [
        Deployment(names="reader"),
        Deployment(runners=3),
        Deployment(runners=12, report_delay_seconds=0.4),
        Deployment(prefill_tokens_per_second=20_000.0, digest_tokens=800.0),
        Deployment(
            prefill_tokens_per_second=100_000.0,
            digest_tokens=4_000.0,
            question_tokens=1_400.0,
        ),
        Deployment(tightest_pause_seconds=0.4, digest_tokens=4_000.0),
        Deployment(tightest_pause_seconds=0.1, digest_tokens=1_000.0),
    ],
    ids=["names", "few", "many", "slow", "fast", "patient", "hasty"],
)
def test_separation_serves_other_deployments(deployment):
    """Deployments with other names, sizes, rates and pauses than the default.

    The separation must never make more streams late than loads alone do.
    """
    separated = mean_late_share(deployment, placement.DEFAULT_WEIGHTS, seeds=3)
    assert separated <= mean_late_share(deployment, WITHOUT_SEPARATION, seeds=3)
