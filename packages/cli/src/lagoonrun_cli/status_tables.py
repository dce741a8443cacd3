"""The tables of `status`, from the responses of the entry VMs."""

import collections
from collections.abc import Iterator, Sequence
from typing import Any

from lagoonrun_cli import entry_vms, reports

_NOT_KNOWN = "-"


def entry_vm_table(
    found: Sequence[entry_vms.EntryVmStatus],
) -> reports.Table:
    """Return one row for each entry VM."""
    return reports.Table(
        title="entry VMs",
        columns=(
            "entry vm",
            "domain",
            "state",
            "ready",
            "revision",
            "platform",
            "open",
            "orders",
            "admin address",
        ),
        rows=tuple(_entry_vm_row(one) for one in found),
    )


def shard_table(found: Sequence[entry_vms.EntryVmStatus]) -> reports.Table:
    """Return each shard with its dispatcher, as reported by the dispatcher."""
    rows = []
    for shard in _shards(found):
        runners = shard.get("runners", ())
        dispatched = bool(shard["dispatched_here"])
        rows.append(
            (
                shard["shard"],
                shard["dispatcher"] or "(none)",
                str(len(runners)) if dispatched else _NOT_KNOWN,
                str(shard["waiting"]) if dispatched else _NOT_KNOWN,
                str(shard["running"]) if dispatched else _NOT_KNOWN,
            )
        )
    return reports.Table(
        title="shards (those without figures have had no request yet)",
        columns=("shard", "dispatcher", "runners", "waiting", "running"),
        rows=tuple(rows),
    )


def class_table(found: Sequence[entry_vms.EntryVmStatus]) -> reports.Table:
    """Return waiting and running requests of each class in each shard."""
    return reports.Table(
        title="classes",
        columns=(
            "shard",
            "tier",
            "class",
            "waiting",
            "capacity",
            "running",
            "service s",
        ),
        rows=tuple(
            (
                shard["shard"],
                str(one["tier"]),
                one["profile"],
                str(one["waiting"]),
                str(one["queue_capacity"]),
                str(one["running"]),
                _seconds(one["expected_service_seconds"]),
            )
            for shard in _shards(found)
            for one in shard.get("classes", ())
        ),
    )


def upstream_table(
    found: Sequence[entry_vms.EntryVmStatus],
) -> reports.Table:
    """Return each declared upstream with its state and concurrency limit."""
    runner_by_id = {
        runner["upstream"]: runner
        for shard in _shards(found)
        for runner in shard.get("runners", ())
    }
    return reports.Table(
        title="upstreams",
        columns=(
            "upstream",
            "pool",
            "domain",
            "state",
            "in flight",
            "room",
            "slots",
            "reported",
            "report age s",
            "pace",
        ),
        rows=tuple(
            _upstream_row(one, runner_by_id.get(one["upstream"]))
            for one in _newest_upstreams(found)
        ),
    )


def request_table(found: Sequence[entry_vms.EntryVmStatus]) -> reports.Table:
    """Return the number of requests of each class since the processes' start."""
    sums: dict[str, collections.Counter[str]] = {}
    for one in found:
        for totals in (one.status or {}).get("requests", ()):
            counter = sums.setdefault(totals["profile"], collections.Counter())
            for key in ("ended", "within_target", "not_run", "in_flight"):
                counter[key] += totals[key]
    return reports.Table(
        title="requests since the entry VMs started",
        columns=("class", "ended", "in target", "share", "not run", "now"),
        rows=tuple(
            (
                profile,
                str(counter["ended"]),
                str(counter["within_target"]),
                _share(counter["within_target"], counter["ended"]),
                str(counter["not_run"]),
                str(counter["in_flight"]),
            )
            for profile, counter in sorted(sums.items())
        ),
    )


def _entry_vm_row(one: entry_vms.EntryVmStatus) -> tuple[str, ...]:
    status = one.status
    if status is None:
        domain = (one.gossip or {}).get("domain", _NOT_KNOWN)
        return (
            one.name,
            domain,
            one.state,
            _NOT_KNOWN,
            str(one.revision) if one.gossip else _NOT_KNOWN,
            _NOT_KNOWN,
            _NOT_KNOWN,
            _NOT_KNOWN,
            f"{one.address or _NOT_KNOWN} ({one.failure})",
        )
    return (
        one.name,
        status["domain"],
        "stopping" if status["stopping"] else one.state,
        "yes" if status["ready"] else "no",
        str(one.revision),
        "reachable" if status["platform_reachable"] else "UNREACHABLE",
        str(status["open_requests"]),
        _orders(status),
        str(one.address),
    )


def _orders(status: dict[str, Any]) -> str:
    """Format the fencing number under which the entry VM is the orderer."""
    fencing = status["orderer_fencing"]
    return _NOT_KNOWN if fencing is None else f"fencing {fencing}"


def _shards(
    found: Sequence[entry_vms.EntryVmStatus],
) -> list[dict[str, Any]]:
    """Return each shard once, as reported by its dispatcher."""
    by_id: dict[str, dict[str, Any]] = {}
    for shard in _all_shards(found):
        known = by_id.get(shard["shard"])
        if known is None or _rank(shard) > _rank(known):
            by_id[shard["shard"]] = shard
    return [by_id[name] for name in sorted(by_id)]


def _all_shards(
    found: Sequence[entry_vms.EntryVmStatus],
) -> Iterator[dict[str, Any]]:
    for one in found:
        for shard in (one.status or {}).get("shards", ()):
            yield {**shard, "told_by": one.name}


def _rank(shard: dict[str, Any]) -> tuple[bool, bool]:
    """Return a sort key, highest for the dispatcher that ranking selects."""
    here = bool(shard["dispatched_here"])
    return (here and shard["dispatcher"] == shard["told_by"], here)


def _newest_upstreams(
    found: Sequence[entry_vms.EntryVmStatus],
) -> list[dict[str, Any]]:
    responded = [one for one in found if "upstreams" in (one.status or {})]
    if not responded:
        return []
    newest = max(responded, key=lambda one: one.revision)
    upstreams = (newest.status or {}).get("upstreams", ())
    return sorted(upstreams, key=lambda one: one["upstream"])


def _upstream_row(
    declared: dict[str, Any], runner: dict[str, Any] | None
) -> tuple[str, ...]:
    head = (declared["upstream"], declared["pool"], declared["domain"])
    state = _upstream_state(declared, runner)
    if runner is None:
        return (*head, state, "0", "-", str(declared["slots"]), "-", "-", "-")
    reported = runner["reported_load"]
    known = reported >= 0
    return (
        *head,
        state,
        str(runner["in_flight"]),
        f"{runner['room']:.1f}",
        str(runner["slots"]),
        str(reported) if known else _NOT_KNOWN,
        _seconds(runner["report_age_seconds"]) if known else _NOT_KNOWN,
        f"{runner['straggler_factor']:.2f}",
    )


def _upstream_state(
    declared: dict[str, Any], runner: dict[str, Any] | None
) -> str:
    if declared["draining"]:
        return "draining"
    if declared["leaving"]:
        return "leaving"
    if runner is not None and runner["ejected"]:
        return "ejected"
    return "live" if runner is None else str(runner["state"])


def _share(part: int, whole: int) -> str:
    return f"{part / whole:.3f}" if whole else _NOT_KNOWN


def _seconds(value: float) -> str:
    return f"{value:.3f}" if value else _NOT_KNOWN
