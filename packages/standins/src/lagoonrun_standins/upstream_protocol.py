"""Protocol between router and upstreams: request ids and refusals."""

from lagoonrun_standins import http_server as http_lib

REQUEST_ID_HEADER = "X-Request-Id"
NOT_RUN_HEADER = "X-Not-Run"


def request_id(request: http_lib.Request) -> str:
    """Return the id that the router assigned to a request; empty for none."""
    return request.headers.get(REQUEST_ID_HEADER.lower(), "")


def echo(request: http_lib.Request) -> http_lib.Header:
    """Return the header that every response to `request` must contain."""
    return (REQUEST_ID_HEADER, request_id(request))


def refuse(
    request: http_lib.Request,
    exchange: http_lib.Exchange,
    status: int,
    error: str,
    *,
    retry_after_seconds: float = 0.0,
) -> None:
    """Respond that the request was not run, with the reason."""
    headers = [echo(request), (NOT_RUN_HEADER, "true")]
    if retry_after_seconds:
        headers.append(("Retry-After", str(retry_after_seconds)))
    exchange.respond_json(status, {"error": error}, headers)
