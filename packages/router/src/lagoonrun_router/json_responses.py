"""Responses with a JSON body, for the endpoints of operators."""

import json

from lagoonrun_http import exchange as exchanges
from lagoonrun_http import messages as http_messages


async def respond(
    exchange: exchanges.Exchange, status: int, value: object
) -> None:
    """Send a whole response whose body is `value` as JSON."""
    await exchange.respond(
        status=status,
        headers=http_messages.Headers(
            pairs=[("Content-Type", "application/json")]
        ),
        body=json.dumps(value).encode(),
    )


async def respond_error(
    exchange: exchanges.Exchange,
    status: int,
    *,
    field: str,
    message: str,
) -> None:
    """Send an error that says what is wrong with `field`."""
    await respond(
        exchange, status, {"error": {"field": field, "message": message}}
    )
