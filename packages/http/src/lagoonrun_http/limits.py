"""Bounds on what one peer may cost."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Bounds towards callers; sizes in bytes, times in seconds.

    Parameters
    ----------
    header_bytes
        Largest request line and headers together.
    body_bytes
        Largest request body.
    held_body_bytes
        Request bodies of all running exchanges together.
    idle_seconds
        How long a connection may stay without a request.
    header_read_seconds
        Time from the first byte of a head to its last.
    body_read_seconds
        Time from the end of the head to the last byte of the body.
    write_stall_seconds
        How long a caller may read nothing while bytes wait for it.
    linger_seconds
        How long input is discarded after an answer that ends a connection.
    connections
        Open connections; more are answered 503.
    write_buffer_bytes
        Bytes that may wait for a slow caller before `send` waits.
    pipelined_bytes
        Bytes of further requests taken while one is being answered.
    sweep_seconds
        Time between two checks of the times above.
    """

    header_bytes: int = 32 * 1024
    body_bytes: int = 8 * 1024 * 1024
    held_body_bytes: int = 256 * 1024 * 1024
    idle_seconds: float = 60.0
    header_read_seconds: float = 10.0
    body_read_seconds: float = 60.0
    write_stall_seconds: float = 30.0
    linger_seconds: float = 1.0
    connections: int = 4096
    write_buffer_bytes: int = 32 * 1024
    pipelined_bytes: int = 64 * 1024
    sweep_seconds: float = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClientLimits:
    """Bounds towards upstreams; sizes in bytes, times in seconds.

    Parameters
    ----------
    connect_seconds
        Time for a connection to be made.
    write_stall_seconds
        How long an upstream may take no byte of a request.
    head_seconds
        Time from the request's end to the response's head.
    body_idle_seconds
        Time between two pieces of a response body.
    idle_seconds
        How long an unused connection is kept where the upstream does not say
        how long it keeps one; shorter than upstreams do.
    longest_idle_seconds
        How long an unused connection is kept whatever the upstream says.
    unacknowledged_seconds
        How long the upstream's system may acknowledge nothing: neither bytes
        of a request nor a probe of a silent connection.
    header_bytes
        Largest response head.
    connections_per_upstream
        Open connections to one address and port.
    idle_per_upstream
        Unused connections kept to one address and port.
    read_buffer_bytes
        Bytes of a response held before reading from the upstream pauses.
    sweep_seconds
        Time between two checks of the times above.
    """

    connect_seconds: float = 1.0
    write_stall_seconds: float = 5.0
    head_seconds: float = 120.0
    body_idle_seconds: float = 60.0
    idle_seconds: float = 4.0
    longest_idle_seconds: float = 30.0
    unacknowledged_seconds: float = 10.0
    header_bytes: int = 32 * 1024
    connections_per_upstream: int = 512
    idle_per_upstream: int = 64
    read_buffer_bytes: int = 64 * 1024
    sweep_seconds: float = 0.25
