"""`overrides`: lists the overrides of operators, and changes one."""

import json
import urllib.parse
from typing import Any

from absl import flags

from lagoonrun_cli import (
    admin_client,
    command,
    errors,
    exit_codes,
    metrics_address,
    reports,
)
from lagoonrun_cli import context as contexts
from lagoonrun_core import errors as core_errors

_PATH = "/overrides"
_OK_STATUS = 200
_NOT_FOUND_STATUS = 404
_UNKNOWN_OUTCOME = "unknown"


async def _overrides(
    context: contexts.Context, invocation: command.Invocation
) -> reports.Report:
    weight = invocation.flag("weight")
    hold = invocation.flag("hold")
    remove = invocation.flag("remove")
    if sum(one is not None for one in (weight, hold, remove)) > 1:
        raise errors.usage_error(
            "several changes; valid: one of --weight, --hold and --remove"
        )
    if weight is not None:
        key, value = _parse_weight(weight)
        return await _set(context, key, value)
    if hold is not None:
        return await _set(context, f"held/{hold}", {"held": True})
    if remove is not None:
        return await _remove(context, remove)
    return await _list(context)


def _parse_weight(text: str) -> tuple[str, dict[str, float]]:
    organisation, separator, number = text.rpartition("=")
    try:
        weight = float(number)
    except ValueError:
        separator = ""
    if not (separator and organisation):
        raise errors.usage_error(
            f"--weight={text}; valid: ORGANISATION=WEIGHT with a number"
        )
    return f"weight/{organisation}", {"weight": weight}


async def _list(context: contexts.Context) -> reports.Report:
    response = await metrics_address.first_response(
        context, lambda client, address: client.get(address, _PATH)
    )
    _check(response, _PATH)
    rows = response.value["overrides"]
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={"overrides": rows},
        sections=(_table(rows),),
    )


async def _set(
    context: contexts.Context, key: str, value: dict[str, float | bool]
) -> reports.Report:
    path = _path_of(key)
    response = await metrics_address.first_response(
        context, lambda client, address: client.put(address, path, value)
    )
    _check(response, key)
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={"key": key, "value": response.value["value"]},
        sections=(reports.Text(text=f"{key} is stored"),),
    )


async def _remove(context: contexts.Context, key: str) -> reports.Report:
    path = _path_of(key)
    response = await metrics_address.first_response(
        context, lambda client, address: client.delete(address, path)
    )
    _check(response, key)
    return reports.Report(
        code=exit_codes.ExitCode.DONE,
        fields={"removed": key},
        sections=(reports.Text(text=f"{key} is removed"),),
    )


def _path_of(key: str) -> str:
    return f"{_PATH}/{urllib.parse.quote(key)}"


def _check(response: admin_client.AdminResponse, key: str) -> None:
    """Raise the error that a response describes, if any."""
    if response.status == _OK_STATUS:
        return
    error = response.value["error"]
    code = exit_codes.ExitCode.USAGE
    if response.status == _NOT_FOUND_STATUS:
        code = exit_codes.ExitCode.NOT_FOUND
    elif error.get("outcome") == _UNKNOWN_OUTCOME:
        code = exit_codes.ExitCode.UNKNOWN
    elif response.status == metrics_address.UNAVAILABLE_STATUS:
        code = exit_codes.ExitCode.UNAVAILABLE
    raise errors.CommandError(
        code=code,
        step=core_errors.Step.CONFIGURATION,
        peer=key,
        detail=error["message"],
        next_command="lagoonrun overrides",
    )


def _table(rows: list[dict[str, Any]]) -> reports.Table:
    return reports.Table(
        title="overrides",
        columns=("key", "value"),
        rows=tuple((row["key"], json.dumps(row["value"])) for row in rows),
    )


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "weight",
        None,
        "ORGANISATION=WEIGHT: weight of an organisation in the shares of a "
        "pool, 0.01 to 100.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "hold",
        None,
        "Id of an upstream that gets no new requests.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "remove",
        None,
        "Key of an override that ends: weight/ORGANISATION or held/UPSTREAM.",
        flag_values=values,
    )


OVERRIDES = command.Command(
    name="overrides",
    usage="[--weight ORGANISATION=WEIGHT | --hold UPSTREAM | --remove KEY]",
    summary="List operators' overrides, or change one.",
    description="""
    A held upstream gets no new requests unless all upstreams of its pool are
    held. Weights apply in adaptive pools while they are short of capacity.
    Asks the metrics address of an entry VM; a change is kept in the platform's
    store and reaches all. One that can't be stored changes nothing. Log lines
    `override-changed` show when each entry VM applied it.
    """,
    run=_overrides,
    define_flags=_define_flags,
    codes=(
        exit_codes.ExitCode.UNKNOWN,
        exit_codes.ExitCode.UNAVAILABLE,
        exit_codes.ExitCode.NOT_FOUND,
    ),
)
