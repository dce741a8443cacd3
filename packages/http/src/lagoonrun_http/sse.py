"""Scanner of relayed server-sent events that does not parse them."""

_LF_BOUNDARY = b"\n\n"
_CRLF_BOUNDARY = b"\n\r\n"
_DATA = b"\ndata:"
_DONE = b"\ndata: [DONE]"


class EventScanner:
    """Counts the events in a stream incrementally.

    Lines end in LF or CRLF, and each event has one `data:` line, as
    chat-completions engines write them.

    Attributes
    ----------
    events
        Complete events with a `data:` line, `[DONE]` included.
    done
        Whether `data: [DONE]` was scanned as a complete event.
    bytes_seen
        Number of bytes scanned.
    boundary
        Offset just after the last complete event.
    """

    def __init__(self) -> None:
        self.events = 0
        self.done = False
        self.bytes_seen = 0
        self.boundary = 0
        # The bytes since the last boundary. A line feed precedes the stream,
        # so that its first line is matched like the others.
        self._open = b"\n"

    def feed(self, data: bytes) -> None:
        """Scan the next bytes of the stream."""
        self.bytes_seen += len(data)
        text = self._open + data
        end = _last_boundary(text)
        if end < 0:
            self._open = text
            return
        complete = text[:end]
        self.events += complete.count(_DATA)
        if not self.done and _DONE in complete:
            self.done = True
        self._open = text[end:]
        self.boundary = self.bytes_seen - len(self._open) + 1

    @property
    def at_boundary(self) -> bool:
        """Whether an event may be inserted here without splitting one."""
        return self.boundary == self.bytes_seen


def _last_boundary(text: bytes) -> int:
    """Return the offset of the line feed that ends the last event, or -1."""
    plain = text.rfind(_LF_BOUNDARY)
    end = plain + 1 if plain >= 0 else -1
    if b"\r" in text:
        carriage = text.rfind(_CRLF_BOUNDARY)
        if carriage >= 0:
            end = max(end, carriage + 2)
    return end
