"""Calls to the metrics address of an entry VM that knows what all know."""

from collections.abc import Awaitable, Callable

from lagoonrun_cli import admin_client, errors, exit_codes
from lagoonrun_cli import context as contexts
from lagoonrun_config import settings
from lagoonrun_core import errors as core_errors

UNAVAILABLE_STATUS = 503

Send = Callable[
    [admin_client.AdminClient, settings.Address],
    Awaitable[admin_client.AdminResponse | admin_client.AdminFailure],
]
"""Sends one request to an address."""


async def first_response(
    context: contexts.Context, send: Send
) -> admin_client.AdminResponse:
    """Return the response of the first entry VM that gives one.

    An entry VM that answers that it can't reach the store counts as one that
    gives none, unless no other does.
    """
    client = admin_client.AdminClient(token=context.settings.admin_token)
    unavailable = None
    failures = []
    for address in context.settings.entry_vms:
        response = await send(client, address)
        if not isinstance(response, admin_client.AdminResponse):
            failures.append(str(response))
        elif response.status == UNAVAILABLE_STATUS:
            unavailable = unavailable or response
        else:
            return response
    if unavailable is not None:
        return unavailable
    raise errors.CommandError(
        code=exit_codes.ExitCode.UNAVAILABLE,
        step=core_errors.Step.PEER_CONNECT,
        detail="; ".join(failures)
        or "no address of an entry VM; valid: --entry_vms=IP:PORT with the "
        "port of the metrics",
    )
