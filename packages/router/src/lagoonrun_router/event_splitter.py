"""Split a stream of server-sent events at their ends."""

_FIELD = b"id:"
_LARGEST_EVENT_BYTES = 1024 * 1024


class OversizedEventError(ValueError):
    """An event is larger than any upstream would send."""


class EventSplitter:
    """Hands on whole events and remembers the id of the last one.

    Lines end in LF or CRLF.

    Attributes
    ----------
    last_id
        Id of the last whole event that had one; empty before.
    events
        Whole events so far.
    """

    def __init__(self) -> None:
        self.last_id = ""
        self.events = 0
        self._open = b""

    @property
    def within_event(self) -> bool:
        """Whether a part of an event is held back."""
        return bool(self._open)

    def feed(self, data: bytes) -> bytes:
        """Take bytes; return the whole events that they complete.

        Raises
        ------
        OversizedEventError
            When an event does not end.
        """
        text = self._open + data
        end = _end_of_last_event(text)
        whole, self._open = text[:end], text[end:]
        if len(self._open) > _LARGEST_EVENT_BYTES:
            raise OversizedEventError(
                f"an event has over {_LARGEST_EVENT_BYTES} bytes"
            )
        if whole:
            self._read_fields(whole)
        return whole

    def take_rest(self) -> bytes:
        """Return what is held back, at the end of a whole stream."""
        rest, self._open = self._open, b""
        return rest

    def _read_fields(self, whole: bytes) -> None:
        blank_before = True
        for line in whole.splitlines():
            if line.startswith(_FIELD):
                self.last_id = line[len(_FIELD) :].strip().decode("latin-1")
            if not line and not blank_before:
                self.events += 1
            blank_before = not line


def _end_of_last_event(text: bytes) -> int:
    plain = text.rfind(b"\n\n")
    end = plain + 2 if plain >= 0 else 0
    if b"\r" in text:
        carriage = text.rfind(b"\r\n\r\n")
        if carriage >= 0:
            end = max(end, carriage + 4)
    return end
