"""The buffer that all connections of one event loop read into."""

_SIZE_BYTES = 64 * 1024


class ReadBuffer:
    """One buffer for all connections of a server or client.

    The event loop fills it and a connection consumes it within one callback,
    so that no two connections use it at a time. A buffer per read, as
    `asyncio.Protocol` makes, costs an allocation of 256 KiB each time, and
    lets one read return more small chunks than should be parsed without
    yielding to the event loop.
    """

    __slots__ = ("_view",)

    def __init__(self) -> None:
        self._view = memoryview(bytearray(_SIZE_BYTES))

    def writable(self) -> memoryview:
        """Return the buffer for the next read."""
        return self._view

    def received(self, size: int) -> memoryview:
        """Return the bytes of the last read; valid until the next one."""
        return self._view[:size]
