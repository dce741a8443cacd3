"""Limits on the memory, connections and time that peers may use."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerLimits:
    """Limits on callers; sizes in bytes, times in seconds.

    Parameters
    ----------
    header_bytes
        Largest request line and headers together.
    body_bytes
        Largest request body.
    held_body_bytes
        Request bodies of all running exchanges together.
    idle_seconds
        How long a connection may be idle.
    header_read_seconds
        Time from the first byte of a head to its last.
    body_read_seconds
        Time from the end of the head to the last byte of the body.
    write_stall_seconds
        How long a caller may read nothing while bytes wait for it.
    linger_seconds
        How long input is discarded after a response that ends a connection.
    connections
        Open connections; further ones get a 503 response.
    write_buffer_bytes
        Bytes that may wait for a slow caller before `send` waits.
    pipelined_bytes
        Bytes of pipelined requests read while one is being processed.
    sweep_seconds
        Time between two checks of the timeouts above.
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
    """Limits on upstreams; sizes in bytes, times in seconds.

    Parameters
    ----------
    connect_seconds
        Time to open a connection.
    write_stall_seconds
        How long an upstream may read no byte of a request.
    head_seconds
        Time from the request's end to the response's head.
    body_idle_seconds
        Time between two chunks of a response body.
    idle_seconds
        How long an idle connection is kept if the upstream announces no idle
        timeout; shorter than the idle timeouts of upstreams.
    max_idle_seconds
        How long an idle connection is kept at most, whatever idle timeout the
        upstream announces.
    unacknowledged_seconds
        How long the upstream's host may leave bytes of a request and
        keep-alive probes unacknowledged.
    header_bytes
        Largest response head, and the bytes read before its end: informational
        (1xx) responses count as well.
    informational_responses
        Informational responses before the response.
    framing_bytes
        Bytes of a response body that are no data, such as chunk sizes,
        extensions and trailer fields, beyond as many as there are data bytes:
        chunks of five bytes or more never exceed it, single bytes after 2,048.
    held_response_bytes
        Parts of responses that are buffered until they are complete, all
        together; see `HeldBytes`.
    small_response_bytes
        Part of each response that may be buffered in any case.
    events_per_callback
        Parts of a response parsed at a time, so that an upstream that sends
        many small ones does not hold up the others.
    connections_per_upstream
        Open connections to one address and port.
    idle_per_upstream
        Idle connections kept to one address and port.
    read_buffer_bytes
        Bytes of a response held before reading from the upstream pauses.
    sweep_seconds
        Time between two checks of the timeouts above.
    """

    connect_seconds: float = 1.0
    write_stall_seconds: float = 5.0
    head_seconds: float = 120.0
    body_idle_seconds: float = 60.0
    idle_seconds: float = 4.0
    max_idle_seconds: float = 30.0
    unacknowledged_seconds: float = 10.0
    header_bytes: int = 32 * 1024
    informational_responses: int = 16
    framing_bytes: int = 8 * 1024
    held_response_bytes: int = 256 * 1024 * 1024
    small_response_bytes: int = 16 * 1024
    events_per_callback: int = 32
    connections_per_upstream: int = 512
    idle_per_upstream: int = 64
    read_buffer_bytes: int = 64 * 1024
    sweep_seconds: float = 0.25
