"""`explain`: why a request was routed, delayed, rejected, retried or cut."""

import dataclasses
import json
import urllib.parse
from typing import Any

from absl import flags

from lagoonrun_cli import (
    admin_client,
    command,
    exit_codes,
    explain_sections,
    in_force,
    reports,
)
from lagoonrun_cli import context as contexts
from lagoonrun_policy import decision

_NOT_FOUND_STATUS = 404


@dataclasses.dataclass(frozen=True, kw_only=True)
class DecisionCheck:
    """Whether a recorded decision follows from its recorded inputs.

    Parameters
    ----------
    entry_vm
        Entry VM that recorded it.
    index
        Its position among the decisions of that entry VM.
    """

    entry_vm: str
    index: int
    agrees: bool
    differences: tuple[str, ...]


async def _explain(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    (request_id,) = invocation.arguments
    path = f"/explain/{urllib.parse.quote(request_id, safe='')}"
    context.console.progress(f"asking each entry VM for {request_id}")
    responses = await in_force.open_entry_vms(context).query_each(path)
    found = {
        name: response.value
        for name, response in responses.items()
        if isinstance(response, admin_client.AdminResponse)
        and response.status == 200
    }
    silent = {
        name: _failure(response)
        for name, response in responses.items()
        if name not in found and not _is_not_found(response)
    }
    if not found:
        return _report_not_found(
            request_id, queried_count=len(responses), silent=silent
        )
    checks = _check_all(found) if invocation.flag("check") else ()
    return _report(request_id, found=found, silent=silent, checks=checks)


def _is_not_found(
    response: admin_client.AdminResponse | admin_client.AdminFailure,
) -> bool:
    return (
        isinstance(response, admin_client.AdminResponse)
        and response.status == _NOT_FOUND_STATUS
    )


def _failure(
    response: admin_client.AdminResponse | admin_client.AdminFailure,
) -> str:
    if isinstance(response, admin_client.AdminFailure):
        return str(response)
    return f"status {response.status}"


def _check_all(found: dict[str, Any]) -> tuple[DecisionCheck, ...]:
    return tuple(
        _check(name, index, record)
        for name, explanation in sorted(found.items())
        for index, record in enumerate(explanation["decisions"])
    )


def _check(entry_vm: str, index: int, record: dict[str, Any]) -> DecisionCheck:
    """Recompute the decision from the recorded inputs."""
    try:
        agreement = decision.check(
            decision.record_from_json(json.dumps(record))
        )
    except ValueError as error:
        return DecisionCheck(
            entry_vm=entry_vm,
            index=index,
            agrees=False,
            differences=(str(error),),
        )
    return DecisionCheck(
        entry_vm=entry_vm,
        index=index,
        agrees=agreement.agrees,
        differences=agreement.differences,
    )


def _report_not_found(
    request_id: str, *, queried_count: int, silent: dict[str, str]
) -> reports.Report:
    text = f"none of {queried_count} entry VMs knows of request {request_id!r}"
    if silent:
        text += f"; no answer from {', '.join(sorted(silent))}"
    return reports.Report(
        code=exit_codes.ExitCode.NOT_FOUND,
        fields={"request_id": request_id, "silent": silent},
        sections=(reports.Text(text=text),),
        next_command="lagoonrun status, and the log lines of the request",
    )


def _report(
    request_id: str,
    *,
    found: dict[str, Any],
    silent: dict[str, str],
    checks: tuple[DecisionCheck, ...],
) -> reports.Report:
    disagree = any(not one.agrees for one in checks)
    code = (
        exit_codes.ExitCode.DIFFERENT if disagree else exit_codes.ExitCode.DONE
    )
    sections = list(explain_sections.sections(request_id, found))
    sections += [reports.Text(text=_check_text(one)) for one in checks]
    sections += [
        reports.Text(text=f"no answer from {name}: {failure}")
        for name, failure in sorted(silent.items())
    ]
    return reports.Report(
        code=code,
        fields={
            "request_id": request_id,
            "explanations": [found[name] for name in sorted(found)],
            "checks": [dataclasses.asdict(one) for one in checks],
            "silent": silent,
        },
        sections=tuple(sections),
    )


def _check_text(decision_check: DecisionCheck) -> str:
    which = f"decision {decision_check.index + 1} of {decision_check.entry_vm}"
    if decision_check.agrees:
        return f"check: {which} follows from its recorded inputs"
    return "\n".join(
        (f"check: {which} DOES NOT FOLLOW", *decision_check.differences)
    )


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_bool(
        "check",
        False,
        "Feed the recorded inputs to the decision again, and say whether it "
        "gives the same result.",
        flag_values=values,
    )


EXPLAIN = command.Command(
    name="explain",
    usage="REQUEST_ID",
    summary="Say why a request was routed, delayed, refused or cut.",
    description="""
    Asks each entry VM, since the one that took the request and the one that
    decided on it may differ. Callers find the id in the header
    Lagoonrun-Request-Id. Entry VMs keep the latest requests only, and none
    over a restart; the log lines of the same id stay with the log.

    Shows what happened when, and each decision with its inputs, limits and
    every candidate with its score or the rule that excluded it.
    """,
    run=_explain,
    minimum_arguments=1,
    maximum_arguments=1,
    define_flags=_define_flags,
    codes=(
        exit_codes.ExitCode.NOT_FOUND,
        exit_codes.ExitCode.UNAVAILABLE,
        exit_codes.ExitCode.DIFFERENT,
    ),
)
