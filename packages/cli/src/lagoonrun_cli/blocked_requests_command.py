"""`blocked-requests`: lists requests that crash upstreams, and unblocks them."""

from typing import Any

from absl import flags

from lagoonrun_cli import (
    command,
    errors,
    exit_codes,
    metrics_address,
    reports,
)
from lagoonrun_cli import context as contexts
from lagoonrun_core import errors as core_errors

_PATH = "/blocked-requests"
_NOT_FOUND_STATUS = 404


async def _blocked_requests(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    digest = invocation.flag("lift")
    if digest:
        return await _lift(context, digest)
    response = await metrics_address.first_response(
        context, lambda client, address: client.get(address, _PATH)
    )
    rows = response.value["blocked"]
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={"blocked": rows},
        sections=(_table(rows),),
    )


async def _lift(context: contexts.Context, digest: str) -> reports.Report:
    path = f"{_PATH}/{digest}"
    response = await metrics_address.first_response(
        context, lambda client, address: client.delete(address, path)
    )
    if response.status == _NOT_FOUND_STATUS:
        raise errors.CommandError(
            code=exit_codes.ExitCode.NOT_FOUND,
            step=core_errors.Step.CONFIGURATION,
            detail=f"no blocked request {digest!r}; valid: a digest that "
            "`blocked-requests` lists",
            next_command="lagoonrun blocked-requests",
        )
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={"lifted": digest},
        sections=(reports.Text(text=f"{digest} may run again"),),
    )


def _table(rows: list[dict[str, Any]]) -> reports.Table:
    return reports.Table(
        title="requests that are not sent",
        columns=(
            "digest or parts",
            "route",
            "ended upstreams",
            "tried again in s",
        ),
        rows=tuple(
            (
                str(row["digest"]),
                str(row["route"]),
                " ".join(row["upstreams"]),
                f"{row['seconds_left']:g}",
            )
            for row in rows
        ),
    )


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "lift",
        None,
        "Digest of a request or parts that may run again, at all entry VMs.",
        flag_values=values,
    )


BLOCKED_REQUESTS = command.Command(
    name="blocked-requests",
    usage="[--lift DIGEST]",
    summary="List requests that end upstreams, or let one run again.",
    description="""
    A request under which several upstreams have ended is refused for some
    minutes, and so are all that have the same part of a prompt if it ended
    them. Asks the metrics address of an entry VM; each knows all. Log lines
    `request-routed` with a digest show the ids, route and time of its copies.
    """,
    run=_blocked_requests,
    define_flags=_define_flags,
    codes=(
        exit_codes.ExitCode.NOT_FOUND,
        exit_codes.ExitCode.UNAVAILABLE,
    ),
)
