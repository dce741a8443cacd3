"""Results of individual requests and their summary by class."""

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence

from lagoonrun_config import model
from lagoonrun_standins import answer_check, traffic

_QUANTILES = (0.5, 0.95, 0.99)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Outcome of one request; times count from the intended send time.

    Parameters
    ----------
    first_token_seconds
        Time to the first token; NaN if none arrived.
    total_seconds
        Time to the end of the response or of the last attempt.
    send_lag_seconds
        Delay that the load generator itself caused.
    attempts
        Number of times the request was sent.
    """

    arrival: traffic.Arrival
    verdict: answer_check.Verdict
    request_id: str = ""
    first_token_seconds: float = math.nan
    total_seconds: float
    send_lag_seconds: float = 0.0
    attempts: int = 1

    @property
    def is_complete(self) -> bool:
        """Whether the caller received the complete answer."""
        return self.verdict.kind is answer_check.ResultKind.COMPLETE

    @property
    def attains(self) -> bool:
        """Whether the class's latency target was met."""
        traffic_class = self.arrival.traffic_class
        if traffic_class.target_kind is model.TargetKind.FIRST_TOKEN:
            latency = self.first_token_seconds
        else:
            latency = self.total_seconds
        return self.is_complete and latency <= traffic_class.target_seconds

    @property
    def is_good(self) -> bool:
        """Whether the answer was complete within the class's limit."""
        limit = self.arrival.traffic_class.limit_seconds
        return self.is_complete and self.total_seconds <= limit


@dataclasses.dataclass(frozen=True, kw_only=True)
class Quantiles:
    """Latency quantiles in seconds; NaN without samples."""

    p50: float
    p95: float
    p99: float

    @classmethod
    def of(cls, samples: Sequence[float]) -> "Quantiles":
        """Return the quantiles by nearest rank, ignoring NaN samples."""
        known = sorted(s for s in samples if not math.isnan(s))
        if not known:
            return cls(p50=math.nan, p95=math.nan, p99=math.nan)
        ranks = [max(1, math.ceil(q * len(known))) for q in _QUANTILES]
        p50, p95, p99 = (known[rank - 1] for rank in ranks)
        return cls(p50=p50, p95=p95, p99=p99)


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClassSummary:
    """Results of one class.

    Parameters
    ----------
    offered
        Number of intended requests; `attainment` is a share of these.
    first_token, total
        Latencies of complete answers.
    """

    offered: int
    complete: int
    attainment: float
    first_token: Quantiles
    total: Quantiles
    count_by_kind: Mapping[str, int]
    refusals_by_reason: Mapping[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """Results of a run.

    Parameters
    ----------
    goodput
        Tokens per second of answers that were complete within their limit.
    mismatched
        Number of answers of another request or with wrong content; must be
        0.
    delivered_tokens
        Tokens counted by `goodput`; other tokens that engines produced were
        wasted.
    send_lag
        Delay that the load generator itself caused.
    """

    classes_by_name: Mapping[str, ClassSummary]
    goodput: float
    delivered_tokens: int
    mismatched: int
    send_lag: Quantiles


def summarise(results: Sequence[Result], *, duration_seconds: float) -> Summary:
    """Return the summary of a run that took `duration_seconds`."""
    by_class: dict[str, list[Result]] = collections.defaultdict(list)
    for result in results:
        by_class[result.arrival.traffic_class.name].append(result)
    delivered = sum(r.verdict.tokens for r in results if r.is_good)
    mismatched = answer_check.ResultKind.MISMATCHED
    return Summary(
        classes_by_name={
            name: _summarise_class(found)
            for name, found in sorted(by_class.items())
        },
        goodput=delivered / duration_seconds,
        delivered_tokens=delivered,
        mismatched=sum(r.verdict.kind is mismatched for r in results),
        send_lag=Quantiles.of([r.send_lag_seconds for r in results]),
    )


def _summarise_class(results: Sequence[Result]) -> ClassSummary:
    complete = [r for r in results if r.is_complete]
    refused = [
        r for r in results if r.verdict.kind is answer_check.ResultKind.NOT_RUN
    ]
    return ClassSummary(
        offered=len(results),
        complete=len(complete),
        attainment=sum(r.attains for r in results) / len(results),
        first_token=Quantiles.of([r.first_token_seconds for r in complete]),
        total=Quantiles.of([r.total_seconds for r in complete]),
        count_by_kind=collections.Counter(
            r.verdict.kind.value for r in results
        ),
        refusals_by_reason=collections.Counter(
            r.verdict.reason for r in refused
        ),
    )
