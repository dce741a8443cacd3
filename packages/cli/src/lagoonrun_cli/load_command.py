"""`load`: shows speeds, shares, room and invitations of adaptive pools."""

from collections.abc import Mapping, Sequence
from typing import Any

from lagoonrun_cli import (
    command,
    errors,
    exit_codes,
    metrics_address,
    reports,
)
from lagoonrun_cli import context as contexts
from lagoonrun_core import errors as core_errors

_PATH = "/load"
_OK_STATUS = 200

_COLUMNS_BY_SECTION: Mapping[str, Sequence[str]] = {
    "upstreams": (
        "upstream",
        "pool",
        "tokens_per_second",
        "relative_speed",
        "slowness",
        "age_seconds",
        "samples",
        "running",
    ),
    "shares": (
        "pool",
        "tier",
        "organisation",
        "asked",
        "admitted",
        "weight",
    ),
    "room": ("pool", "tier", "tokens", "open", "wait_seconds"),
    "invitations": ("pool", "tier", "count", "tokens"),
}
"""Columns of each table, which are the fields of its rows."""


async def _load(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    del invocation
    response = await metrics_address.first_response(
        context, lambda client, address: client.get(address, _PATH)
    )
    if response.status != _OK_STATUS:
        raise errors.CommandError(
            code=exit_codes.ExitCode.NOT_FOUND,
            step=core_errors.Step.CONFIGURATION,
            detail=response.value["error"]["message"],
        )
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields=response.value,
        sections=tuple(
            _table(section, columns, response.value.get(section, ()))
            for section, columns in _COLUMNS_BY_SECTION.items()
        ),
    )


def _table(
    section: str, columns: Sequence[str], rows: Sequence[Mapping[str, Any]]
) -> reports.Table:
    return reports.Table(
        title=section,
        columns=tuple(one.replace("_", " ") for one in columns),
        rows=tuple(
            tuple(_text(row.get(one)) for one in columns) for row in rows
        ),
    )


def _text(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.0f}" if abs(value) >= 1000 else f"{value:.3g}"
    return str(value)


LOAD = command.Command(
    name="load",
    usage="",
    summary="Show the load of adaptive pools as one entry VM knows it.",
    description="""
    Shows the estimated speed of each upstream, the demand and weight of
    organisations by pool and tier, the tokens that each tier may still admit,
    and the outstanding invitations of callers. Asks the metrics address of
    the first entry VM that answers; "-" means that a value is not known.
    """,
    run=_load,
    codes=(
        exit_codes.ExitCode.UNAVAILABLE,
        exit_codes.ExitCode.NOT_FOUND,
    ),
)
