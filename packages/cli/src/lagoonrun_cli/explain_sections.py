"""Printed explanation of a request: its events and its decisions."""

from collections.abc import Iterator
from typing import Any

from lagoonrun_cli import reports

_NONE = "none"


def sections(
    request_id: str, found: dict[str, Any]
) -> Iterator[reports.Section]:
    """Yield the records that the entry VMs in `found` have of a request."""
    yield reports.Text(text=_summary(request_id, found))
    happenings = tuple(_happening_rows(found))
    if happenings:
        yield reports.Table(
            title="what happened, in seconds since its arrival",
            columns=("at s", "step", "detail", "entry vm"),
            rows=happenings,
        )
    for name, explanation in sorted(found.items()):
        for index, record in enumerate(explanation["decisions"]):
            yield reports.Text(text=_decision(name, index, record))
            yield _candidates(record)


def _summary(request_id: str, found: dict[str, Any]) -> str:
    organisation = next(
        (
            one["organisation"]
            for one in found.values()
            if one.get("organisation")
        ),
        "(not known)",
    )
    endings = [one["ending"] for one in found.values() if one.get("ending")]
    if not endings:
        return f"request {request_id} of {organisation}: no end is known yet"
    ending = endings[0]
    summary = f"request {request_id} of {organisation}: {ending['outcome']}"
    if ending["reason"] != _NONE:
        summary += f", {ending['reason']}"
    if ending["upstream"]:
        summary += f", by {ending['upstream']}"
    if ending["retry_after_seconds"] > 0:
        summary += f", come back in {ending['retry_after_seconds']:.2f} s"
    if ending["detail"]:
        summary += f" ({ending['detail']})"
    return summary


def _happening_rows(
    found: dict[str, Any],
) -> Iterator[tuple[str, str, str, str]]:
    rows = [
        (one["at_seconds"], one["what"], one["detail"], name)
        for name, explanation in found.items()
        for one in explanation["happenings"]
    ]
    for at_seconds, what, detail, name in sorted(rows):
        yield (f"{at_seconds:.4f}", what, detail, name)


def _decision(name: str, index: int, record: dict[str, Any]) -> str:
    """Return the inputs, limits and result of one decision."""
    result = record["verdict"]
    if record["upstream"]:
        result += f" {record['upstream']}"
    if record["reason"] != _NONE:
        result += (
            f": {record['reason']}, come back in "
            f"{record['retry_after_seconds']:.2f} s"
        )
    lines = (
        f"decision {index + 1} by {name}: {result}",
        f"  shard {record['shard']}, class {record['profile']}, "
        f"tier {record['tier']}, configuration revision {record['revision']}",
        f"  phase {record['phase']}, waited {record['waited_seconds']:.4f} s, "
        f"left until the limit {record['remaining_seconds']:.4f} s",
        f"  needs {_service(record)}, expected wait "
        f"{record['expected_wait_seconds']:.4f} s",
        f"  queue {record['queue_length']} of {record['queue_capacity']}; "
        f"waiting in higher tiers {record['higher_tier_waiting']}, in lower "
        f"ones that could give way {record['lower_tier_waiting']}",
        f"  set aside for lower classes {record['reserved_floor_share']:.3f}"
        f"{', granted by the class floor' if record['floor_grant'] else ''}",
    )
    return "\n".join(lines)


def _service(record: dict[str, Any]) -> str:
    """Format the expected service time; it is 0 with too few samples."""
    seconds = record["expected_service_seconds"]
    samples = record["expected_samples"]
    if seconds == 0:
        return f"not known yet ({samples} samples)"
    return f"{seconds:.4f} s (high quantile of {samples} samples)"


def _candidates(record: dict[str, Any]) -> reports.Table:
    return reports.Table(
        columns=(
            "candidate",
            "score",
            "excluded by",
            "in flight",
            "room",
            "reported",
            "report age s",
            "affinity",
            "pace",
            "needs s",
        ),
        rows=tuple(
            (
                one["upstream"],
                f"{one['score']:.4f}" if one["eligible"] else "-",
                one["exclusion"] or "-",
                str(one["in_flight"]),
                f"{one['room']:.1f}",
                str(one["reported_load"]) if one["reported_load"] >= 0 else "-",
                f"{one['report_age_seconds']:.3f}",
                f"{one['affinity']:.2f}",
                f"{one['straggler_factor']:.2f}",
                f"{one['expected_service_seconds']:.4f}",
            )
            for one in record["candidates"]
        ),
    )
