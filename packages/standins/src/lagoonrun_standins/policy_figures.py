"""Figures of one policy's run, and their ratios to those of another."""

import dataclasses
from collections.abc import Mapping, Sequence

from lagoonrun_standins import load_summary

_MIN_GOODPUT = 1e-9


@dataclasses.dataclass(frozen=True, kw_only=True)
class SizeAttainment:
    """Attainment of a class's requests by the size of their organisation."""

    large: float
    small: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Figures:
    """Results of one run.

    Parameters
    ----------
    produced_tokens
        Tokens that all engines produced.
    cut_tokens
        Tokens of requests that were cancelled or lost in a crash.
    engine_runs
        Requests that the engines ran; each resumption counts as another.
    repeated_keys
        Idempotency keys that engines ran more than once; must be 0.
    attainment_by_size
        Attainment of large and small organisations, by class.
    """

    policy: str
    summary: load_summary.Summary
    produced_tokens: int
    cut_tokens: int
    engine_runs: int
    repeated_keys: int
    attainment_by_size: Mapping[str, "SizeAttainment"]
    entry_vm_processor_seconds: float

    @property
    def wasted_share(self) -> float:
        """Share of produced tokens not delivered within the limit."""
        wasted = self.produced_tokens - self.summary.delivered_tokens
        return max(0, wasted) / max(1, self.produced_tokens)

    @property
    def cut_share(self) -> float:
        """Share of produced tokens that were cut or lost in a crash."""
        return self.cut_tokens / max(1, self.produced_tokens)

    def brief(self) -> str:
        """Return the main figures on one line."""
        attained = ", ".join(
            f"{name} {found.attainment:.3f}"
            for name, found in self.summary.classes_by_name.items()
        )
        return (
            f"{self.policy}: {attained}; goodput {self.summary.goodput:.0f},"
            f" wasted {self.wasted_share:.3f}, cut {self.cut_share:.3f},"
            f" mismatched {self.summary.mismatched},"
            f" lag p99 {self.summary.send_lag.p99:.3f}"
        )

    def to_json(self) -> dict[str, object]:
        """Return all figures as JSON values."""
        return {
            "policy": self.policy,
            "goodput_tokens_per_second": round(self.summary.goodput, 1),
            "wasted_share": round(self.wasted_share, 4),
            "cut_share": round(self.cut_share, 4),
            "produced_tokens": self.produced_tokens,
            "delivered_tokens": self.summary.delivered_tokens,
            "engine_runs": self.engine_runs,
            "mismatched": self.summary.mismatched,
            "repeated_keys": self.repeated_keys,
            "entry_vm_processor_seconds": round(
                self.entry_vm_processor_seconds, 2
            ),
            "load_generator_lag": _quantiles(self.summary.send_lag),
            "classes": {
                name: _class_to_json(found)
                | {
                    "attainment_by_size": dataclasses.asdict(
                        self.attainment_by_size[name]
                    )
                }
                for name, found in self.summary.classes_by_name.items()
            },
        }


def figures_of(
    summary: load_summary.Summary,
    *,
    results: Sequence[load_summary.Result],
    policy: str,
    counters: Sequence[Mapping[str, int]],
    runs_by_key: Mapping[str, int],
    entry_vm_processor_seconds: float,
) -> Figures:
    """Return the figures of a run from its summary and the engine counters."""
    total = {
        name: sum(engine[name] for engine in counters)
        for name in ("tokens_produced", "tokens_wasted", "tokens_crashed")
    }
    return Figures(
        policy=policy,
        summary=summary,
        produced_tokens=total["tokens_produced"],
        cut_tokens=total["tokens_wasted"] + total["tokens_crashed"],
        engine_runs=sum(engine["runs"] for engine in counters),
        attainment_by_size=_attainment_by_size(results),
        repeated_keys=sum(count > 1 for count in runs_by_key.values()),
        entry_vm_processor_seconds=entry_vm_processor_seconds,
    )


def ratios(base: Figures, other: Figures) -> dict[str, object]:
    """Return the figures of `other` relative to those of `base`.

    The miss share of a class is the share of its requests that missed the
    target. The ratio of misses is the miss share of `base` divided by that of
    `other`, which counts at least one request so that the ratio stays finite.
    """
    misses = {}
    for name, found in base.summary.classes_by_name.items():
        compared = other.summary.classes_by_name[name]
        min_miss_share = 1.0 / max(1, compared.offered)
        miss_share = max(1.0 - compared.attainment, min_miss_share)
        misses[name] = round((1.0 - found.attainment) / miss_share, 2)
    return {
        "policy": other.policy,
        "against": base.policy,
        "fewer_misses_times": misses,
        "goodput": round(
            other.summary.goodput / max(base.summary.goodput, _MIN_GOODPUT), 3
        ),
        "wasted_share": [
            round(base.wasted_share, 4),
            round(other.wasted_share, 4),
        ],
    }


def _attainment_by_size(
    results: Sequence[load_summary.Result],
) -> dict[str, SizeAttainment]:
    found: dict[str, dict[bool, list[bool]]] = {}
    for result in results:
        arrival = result.arrival
        by_size = found.setdefault(
            arrival.traffic_class.name, {True: [], False: []}
        )
        by_size[arrival.caller.weight > 1.0].append(result.attains)
    return {
        name: SizeAttainment(
            large=_share(by_size[True]), small=_share(by_size[False])
        )
        for name, by_size in found.items()
    }


def _share(attained: Sequence[bool]) -> float:
    return round(sum(attained) / max(1, len(attained)), 4)


def _class_to_json(found: load_summary.ClassSummary) -> dict[str, object]:
    return {
        "offered": found.offered,
        "complete": found.complete,
        "attainment": round(found.attainment, 4),
        "first_token": _quantiles(found.first_token),
        "total": _quantiles(found.total),
        "kinds": dict(found.count_by_kind),
        "refusals": dict(found.refusals_by_reason),
    }


def _quantiles(found: load_summary.Quantiles) -> dict[str, float]:
    return {
        name: round(value, 4)
        for name, value in dataclasses.asdict(found).items()
    }
