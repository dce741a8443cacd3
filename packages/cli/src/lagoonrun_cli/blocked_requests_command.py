"""`blocked-requests`: lists requests that crash upstreams, and unblocks them."""

from typing import Any

from absl import flags

from lagoonrun_cli import (
    admin_client,
    command,
    errors,
    exit_codes,
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
    response = await _first_response(context, "GET", _PATH)
    rows = response.value["blocked"]
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={"blocked": rows},
        sections=(_table(rows),),
    )


async def _lift(context: contexts.Context, digest: str) -> reports.Report:
    response = await _first_response(context, "DELETE", f"{_PATH}/{digest}")
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


async def _first_response(
    context: contexts.Context, method: str, path: str
) -> admin_client.AdminResponse:
    """Return the response of the first entry VM that gives one.

    Each entry VM knows all blocks, and notifies the others of an unblocked
    request.
    """
    client = admin_client.AdminClient(token=context.settings.admin_token)
    failures = []
    for address in context.settings.entry_vms:
        send = client.get if method == "GET" else client.delete
        response = await send(address, path)
        if isinstance(response, admin_client.AdminResponse):
            return response
        failures.append(str(response))
    raise errors.CommandError(
        code=exit_codes.ExitCode.UNAVAILABLE,
        step=core_errors.Step.PEER_CONNECT,
        detail="; ".join(failures)
        or "no address of an entry VM; valid: --entry_vms=IP:PORT with the "
        "port of the metrics",
    )


def _table(rows: list[dict[str, Any]]) -> reports.Table:
    return reports.Table(
        title="requests that are not sent",
        columns=("digest", "route", "ended upstreams", "tried again in s"),
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
        "Digest of a request that may run again, at all entry VMs.",
        flag_values=values,
    )


BLOCKED_REQUESTS = command.Command(
    name="blocked-requests",
    usage="[--lift DIGEST]",
    summary="List requests that end upstreams, or let one run again.",
    description="""
    A request under which several upstreams have ended is refused for some
    minutes. Asks the metrics address of an entry VM; each knows all. Log lines
    `request-routed` with a digest show the ids, route and time of its copies.
    """,
    run=_blocked_requests,
    define_flags=_define_flags,
    codes=(
        exit_codes.ExitCode.NOT_FOUND,
        exit_codes.ExitCode.UNAVAILABLE,
    ),
)
