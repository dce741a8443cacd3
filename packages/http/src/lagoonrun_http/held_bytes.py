"""The memory that all buffered responses of a client share."""

_MAX_FRACTION_OF_FREE = 0.25
"""Largest part of the memory left by the others that one response may hold. The
more responses are large, the less each may hold, so that some memory is always
left for the next one."""


class HeldBytes:
    """Counts the bytes that responses hold until they are complete.

    Parameters
    ----------
    limit_bytes
        Bytes of all responses together.
    small_bytes
        Bytes that each response may hold in any case.

    Attributes
    ----------
    total
        Bytes that are held now.
    """

    def __init__(self, *, limit_bytes: int, small_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._small_bytes = small_bytes
        self.total = 0

    def allowed(self, *, own_bytes: int) -> int:
        """Return how many bytes one response may hold.

        Parameters
        ----------
        own_bytes
            Bytes that it holds already, which are part of the total.
        """
        free = max(0, self._limit_bytes - self.total + own_bytes)
        return max(self._small_bytes, int(free * _MAX_FRACTION_OF_FREE))
