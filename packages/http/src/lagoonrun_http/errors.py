"""Errors of the HTTP server and the JSON body of its error responses."""

import json

from lagoonrun_core import errors


class CallerLeftError(errors.LagoonrunError, ConnectionError):
    """The caller disconnected; nothing more can be sent to it."""


class RequestRejectedError(errors.LagoonrunError):
    """The server has rejected a request; its handler must send no response.

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
    """Return the JSON body of an error response.

    Parameters
    ----------
    step
        Processing step that rejected the request.
    field
        Header, parameter or key at fault, such as `Content-Length`.
    message
        What is wrong, with the invalid value.
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
