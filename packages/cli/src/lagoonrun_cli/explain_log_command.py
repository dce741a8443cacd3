"""`explain-log`: finds what became of a request, and why, in log lines."""

import pathlib
import sys
from collections.abc import Iterator

from absl import flags

from lagoonrun_cli import (
    causes_report,
    command,
    errors,
    exit_codes,
    log_causes,
    log_explanation,
    log_lines,
    reports,
)
from lagoonrun_cli import context as contexts

_STANDARD_INPUT = "-"
_HIDDEN_FIELDS = frozenset(
    ("asctime", "levelname", "message", "entry_vm", "event", "request_id")
)


async def _explain_log(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    del context
    paths = invocation.flag("log") or [_STANDARD_INPUT]
    lines = log_lines.read(_texts_of(paths))
    if invocation.flag("causes"):
        return causes_report.report(log_causes.count(lines))
    if len(invocation.arguments) != 1:
        raise errors.usage_error(
            f"{len(invocation.arguments)} ids; valid: one id, or --causes"
        )
    (request_id,) = invocation.arguments
    explanation = log_explanation.explain(request_id, lines)
    if explanation is None:
        return reports.Report(
            code=exit_codes.ExitCode.NOT_FOUND,
            fields={"request_id": request_id},
            sections=(
                reports.Text(text=f"no line bears the id {request_id!r}"),
            ),
            next_command="the log lines of the other entry VMs",
        )
    return _report(explanation)


def _texts_of(paths: list[str]) -> Iterator[str]:
    for path in paths:
        if path == _STANDARD_INPUT:
            yield from sys.stdin
            continue
        try:
            with pathlib.Path(path).open(encoding="utf-8") as file:
                yield from file
        except (OSError, UnicodeDecodeError) as error:
            raise errors.usage_error(
                f"{path}: {error}; valid: a readable file of log lines"
            ) from error


def _report(explanation: log_explanation.Explanation) -> reports.Report:
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={
            "request_id": explanation.request_id,
            "verdict": explanation.verdict.value,
            "causes": list(explanation.causes),
            "lines": [dict(one.fields) for one in explanation.request_lines],
            "beliefs": [dict(one.fields) for one in explanation.state_changes],
        },
        sections=(
            reports.Text(
                text=f"{explanation.request_id}: {explanation.verdict.value}"
            ),
            reports.Text(
                text="\n".join(f"- {one}" for one in explanation.causes)
            ),
            _table("its lines", explanation.request_lines),
            _table("what its entry VMs believed", explanation.state_changes),
        ),
    )


def _table(title: str, lines: tuple[log_lines.LogLine, ...]) -> reports.Table:
    return reports.Table(
        title=title,
        columns=("time", "entry vm", "event", "fields"),
        rows=tuple(
            (one.time, one.entry_vm, one.message, _fields(one)) for one in lines
        ),
    )


def _fields(line: log_lines.LogLine) -> str:
    return " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS
    )


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_multi_string(
        "log",
        None,
        "File of captured log lines; may be given several times. Standard "
        "input if none is given.",
        flag_values=values,
    )
    flags.DEFINE_bool(
        "causes",
        False,
        "Count, over all requests in the lines, why answers were missing or "
        "late: by cause, class, failure domain, moment, organisation and "
        "upstream.",
        flag_values=values,
    )


EXPLAIN_LOG = command.Command(
    name="explain-log",
    usage="REQUEST_ID | --causes [--log FILE ...]",
    summary="Say from log lines why requests failed or were late.",
    description="""
    Joins the lines that bear the id, of all entry VMs, with the latest lines
    by which those entry VMs changed what they believed of the upstream, the
    store, their peers and the declarations. Needs no running process.

    With --causes in place of an id, counts the causes of all requests. Of the
    organisations and upstreams, the ten with the most requests without an
    answer in time are listed and the others are summed.
    """,
    run=_explain_log,
    minimum_arguments=0,
    maximum_arguments=1,
    define_flags=_define_flags,
    codes=(exit_codes.ExitCode.NOT_FOUND,),
)
