"""Split a stream of server-sent events after complete events."""

_ID_FIELD = b"id:"
_DATA_FIELD = b"data"
_MAX_EVENT_BYTES = 1024 * 1024


class OversizedEventError(ValueError):
    """An event exceeds the largest size that upstreams may send."""


class EventSplitter:
    """Returns complete events and keeps the id of the last one.

    Lines end in LF or CRLF.

    Attributes
    ----------
    last_id
        Id of the last complete event that had one; empty before.
    events
        Number of complete events with data so far; comments are none.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.events = 0
        self._incomplete = b""

    @property
    def within_event(self) -> bool:
        """Whether part of an event is buffered."""
        return bool(self._incomplete)

    def feed(self, data: bytes) -> bytes:
        """Add bytes; return the events that they complete.

        Raises
        ------
        OversizedEventError
            When an event exceeds the largest size.
        """
        text = self._incomplete + data
        end = _end_of_last_event(text)
        complete, self._incomplete = text[:end], text[end:]
        if len(self._incomplete) > _MAX_EVENT_BYTES:
            raise OversizedEventError(
                f"an event has over {_MAX_EVENT_BYTES} bytes"
            )
        if complete:
            self._read_fields(complete)
        return complete

    def pop_remainder(self) -> bytes:
        """Return and clear the buffer, at the end of a complete stream."""
        remainder, self._incomplete = self._incomplete, b""
        return remainder

    def _read_fields(self, complete: bytes) -> None:
        has_data = False
        for line in complete.splitlines():
            has_data = has_data or line.startswith(_DATA_FIELD)
            if line.startswith(_ID_FIELD):
                self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
            if not line:
                self.events += has_data
                has_data = False


def _end_of_last_event(text: bytes) -> int:
    plain = text.rfind(b"\n\n")
    end = plain + 2 if plain >= 0 else 0
    if b"\r" in text:
        carriage = text.rfind(b"\r\n\r\n")
        if carriage >= 0:
            end = max(end, carriage + 4)
    return end
