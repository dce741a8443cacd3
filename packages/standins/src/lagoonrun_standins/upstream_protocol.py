"""What upstreams and the router agree on: request ids and refusals."""

from lagoonrun_standins import http_server as http_lib

REQUEST_ID_HEADER = "X-Request-Id"
NOT_RUN_HEADER = "X-Not-Run"


def request_id(request: http_lib.Request) -> str:
    """Return the id that the router gave a request; empty for none."""
    return request.headers.get(REQUEST_ID_HEADER.lower(), "")


def echo(request: http_lib.Request) -> http_lib.Header:
    """Return the header that every answer to `request` must carry."""
    return (REQUEST_ID_HEADER, request_id(request))


def refuse(
    request: http_lib.Request,
    exchange: http_lib.Exchange,
    status: int,
    error: str,
    *,
    retry_after_seconds: float = 0.0,
) -> None:
    """Answer that the request was not run, and why."""
    headers = [echo(request), (NOT_RUN_HEADER, "true")]
    if retry_after_seconds:
        headers.append(("Retry-After", str(retry_after_seconds)))
    exchange.respond_json(status, {"error": error}, headers)
