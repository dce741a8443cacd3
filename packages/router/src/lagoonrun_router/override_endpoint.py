"""HTTP endpoint at which operators list and change overrides.

`GET /overrides` lists them; `PUT` and `DELETE` of `/overrides/weight/NAME` and
`/overrides/held/ID` set and remove one. Organisations and upstreams that are
not known are accepted, since they may come later.
"""

import urllib.parse

from lagoonrun_core import events, logs
from lagoonrun_http import exchange as exchanges
from lagoonrun_router import (
    format_error,
    json_responses,
    operator_overrides,
    override_writer,
)

OVERRIDES_PATH = "/overrides"

_DETAIL_BY_OUTCOME = {
    override_writer.WriteOutcome.NOT_STORED: (
        "not stored, nothing has changed: {}"
    ),
    override_writer.WriteOutcome.UNKNOWN: (
        "it is unknown whether the change was stored: {}; it is safe to repeat"
    ),
}


def serves(path: str) -> bool:
    """Return whether `path` belongs to `OverrideEndpoint`."""
    return path == OVERRIDES_PATH or path.startswith(f"{OVERRIDES_PATH}/")


class OverrideEndpoint:
    """Lists, sets and removes overrides.

    Parameters
    ----------
    overrides
        The overrides in effect at this entry VM.
    writer
        Stores changes.
    """

    def __init__(
        self,
        *,
        overrides: operator_overrides.OperatorOverrides,
        writer: override_writer.OverrideWriter,
    ) -> None:
        self._overrides = overrides
        self._writer = writer

    async def handle(
        self, exchange: exchanges.Exchange, path: str, body: bytes
    ) -> None:
        """Answer one call."""
        if path == OVERRIDES_PATH:
            await self._list(exchange)
            return
        quoted_key = path.removeprefix(f"{OVERRIDES_PATH}/")
        try:
            key = urllib.parse.unquote(quoted_key, errors="strict")
            operator_overrides.parse_key(key)
        except UnicodeDecodeError:
            await json_responses.respond_error(
                exchange,
                400,
                field=quoted_key,
                message="the name is not UTF-8; valid: UTF-8, percent-encoded",
            )
            return
        except format_error.FormatError as error:
            await json_responses.respond_error(
                exchange, 400, field=key, message=error.detail
            )
            return
        method = exchange.head.method
        if method == "PUT":
            await self._set(exchange, key, body)
        elif method == "DELETE":
            await self._remove(exchange, key)
        else:
            await _respond_wrong_method(exchange, key, "PUT or DELETE")

    async def _list(self, exchange: exchanges.Exchange) -> None:
        if exchange.head.method != "GET":
            await _respond_wrong_method(exchange, OVERRIDES_PATH, "GET")
            return
        rows = [
            {"key": one.key, "value": one.as_json()}
            for one in self._overrides.rows()
        ]
        await json_responses.respond(exchange, 200, {"overrides": rows})

    async def _set(
        self, exchange: exchanges.Exchange, key: str, body: bytes
    ) -> None:
        try:
            override = operator_overrides.decode(key, body)
        except format_error.FormatError as error:
            await json_responses.respond_error(
                exchange, 400, field=key, message=error.detail
            )
            return
        if not self._overrides.has_room_for(key):
            await json_responses.respond_error(
                exchange,
                409,
                field=key,
                message="valid: at most "
                f"{operator_overrides.MAX_OVERRIDES} overrides; remove others",
            )
            return
        result = await self._writer.write(override)
        await _respond_result(exchange, key, override.as_json(), result)

    async def _remove(self, exchange: exchanges.Exchange, key: str) -> None:
        result = await self._writer.remove(key)
        if result.outcome is override_writer.WriteOutcome.NOT_FOUND:
            await json_responses.respond_error(
                exchange,
                404,
                field=key,
                message=f"no override {key!r}; valid: a key that "
                f"{OVERRIDES_PATH} lists",
            )
            return
        await _respond_result(exchange, key, None, result)


async def _respond_result(
    exchange: exchanges.Exchange,
    key: str,
    value: object,
    result: override_writer.WriteResult,
) -> None:
    if result.outcome is override_writer.WriteOutcome.STORED:
        logs.emit(
            events.LogEvent.OVERRIDE_CHANGED,
            key=key,
            value=value,
            source=f"operator at {exchange.peer}",
        )
        await json_responses.respond(
            exchange, 200, {"key": key, "value": value}
        )
        return
    await json_responses.respond(
        exchange,
        503,
        {
            "error": {
                "field": key,
                "outcome": result.outcome.value,
                "message": _DETAIL_BY_OUTCOME[result.outcome].format(
                    result.detail
                ),
            }
        },
    )


async def _respond_wrong_method(
    exchange: exchanges.Exchange, field: str, valid: str
) -> None:
    await json_responses.respond_error(
        exchange,
        405,
        field=field,
        message=f"method {exchange.head.method}; valid: {valid}",
    )
