"""Errors of the HTTP edges and the JSON body in which callers read them."""

import json

from lagoonrun_core import errors


class CallerLeftError(errors.LagoonrunError, ConnectionError):
    """The caller's connection is gone; nothing more can reach it."""


class RequestRejectedError(errors.LagoonrunError):
    """The server has answered a faulty request itself; nothing is left to do.

    Parameters
    ----------
    status
        Status that the caller was sent.
    """

    def __init__(
        self, *, step: errors.Step, peer: str, detail: str, status: int
    ) -> None:
        super().__init__(step=step, peer=peer, detail=detail)
        self.status = status


def error_body(
    *, step: errors.Step, field: str, message: str, valid: str
) -> bytes:
    """Make the JSON body of an error answer.

    Parameters
    ----------
    step
        Part of the work that refused the request.
    field
        Header, parameter or key at fault, such as `Content-Length`.
    message
        What is wrong, naming the offending value.
    valid
        What would have been accepted.
    """
    fault = {
        "step": step.value,
        "field": field,
        "message": message,
        "valid": valid,
    }
    return json.dumps({"error": fault}).encode()
