"""Split a stream of server-sent events after complete events."""

_ID_FIELD = b"id:"
_DATA_FIELD = b"data:"
_DATA_LINE = b"\ndata:"

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event: one that carries a whole image or audio clip fits in."""

MAX_BYTES_WITHOUT_DATA = 8 * 1024
"""Bytes between two events with data: comments, and blocks without data.

Upstreams send a comment of 3 to 30 bytes every few seconds to keep a connection
open; 8 KiB are at least 270 of them. Comments in quick succession exceed the
bound within seconds."""


class OversizedEventError(ValueError):
    """An event, or what precedes it, exceeds what upstreams may send."""


class EventSplitter:
    """Returns complete events and keeps the id of the last one.

    Lines end in LF or CRLF. A block without a `data` field, such as a comment,
    is no event. Blocks before the first event are returned together with it:
    a stream that has brought only comments has not begun.

    Attributes
    ----------
    last_id
        Id of the last complete block that had one; empty before.
    events
        Number of complete events with data so far.
    bytes_without_data
        Bytes of complete blocks since the last event with data.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.events = 0
        self.bytes_without_data = 0
        self._before_first = b""
        # The buffer grows in place and is searched from where the last search
        # ended: copying or searching all of it at each read would make the
        # cost of a long event quadratic.
        self._incomplete = bytearray()
        self._has_data = False

    @property
    def within_event(self) -> bool:
        """Whether part of an event is buffered."""
        return bool(self._incomplete)

    @property
    def buffered_bytes(self) -> int:
        """Bytes kept until the next event is complete."""
        return len(self._incomplete) + len(self._before_first)

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that they complete.

        After the first event, blocks without data are returned as well;
        `events` then stays the same.

        Raises
        ------
        OversizedEventError
            When an event exceeds the largest size, or too many bytes arrive
            between two events with data.
        """
        buffered = self._incomplete
        searched = len(buffered)
        buffered += data
        end = _end_of_last_event(buffered, searched)
        complete = bytes(buffered[:end])
        if complete:
            del buffered[:end]
            self._has_data = False
            searched = 0
            self._read_fields(complete)
        if buffered and not self._has_data:
            self._has_data = _contains_data(buffered, searched)
        self._check_bounds()
        if not self.events:
            self._before_first += complete
            return b""
        if self._before_first:
            complete = self._before_first + complete
            self._before_first = b""
        return complete

    def pop_remainder(self) -> bytes:
        """Return and clear the buffers, at the end of a complete stream."""
        remainder = self._before_first + self._incomplete
        self._before_first = b""
        self._incomplete.clear()
        return remainder

    def _check_bounds(self) -> None:
        without_data = self.bytes_without_data
        if self._has_data:
            if len(self._incomplete) > MAX_EVENT_BYTES:
                raise OversizedEventError(
                    f"an event of over {len(self._incomplete)} bytes; "
                    f"valid: <= {MAX_EVENT_BYTES}"
                )
        else:
            without_data += len(self._incomplete)
        if without_data > MAX_BYTES_WITHOUT_DATA:
            raise OversizedEventError(
                f"{without_data} bytes without an event; "
                f"valid: <= {MAX_BYTES_WITHOUT_DATA}"
            )

    def _read_fields(self, complete: bytes) -> None:
        if _DATA_FIELD not in complete and _ID_FIELD not in complete:
            # Without this, each line of endless comments would cost a step.
            self.bytes_without_data += len(complete)
            return
        has_data = False
        for line in complete.splitlines(keepends=True):
            self.bytes_without_data += len(line)
            if line.startswith(_DATA_FIELD):
                has_data = True
            elif line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
            elif has_data and not line.strip(b"\r\n"):
                has_data = False
                self.events += 1
                self.bytes_without_data = 0


def _end_of_last_event(text: bytearray, searched: int) -> int:
    """Return the end of the last complete event, 0 for none.

    Parameters
    ----------
    searched
        Length of the prefix that contains no complete event.
    """
    # The line feed that ends the last line may be in the prefix.
    plain = text.rfind(b"\n\n", max(0, searched - 1))
    end = plain + 2 if plain >= 0 else 0
    carriage = text.rfind(b"\n\r\n", max(0, searched - 2))
    if carriage >= 0:
        end = max(end, carriage + 3)
    return end


def _contains_data(block: bytearray, searched: int) -> bool:
    """Return whether an incomplete event has a `data` field."""
    start = max(0, searched - len(_DATA_LINE) + 1)
    return block.startswith(_DATA_FIELD) or block.find(_DATA_LINE, start) >= 0
