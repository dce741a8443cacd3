"""Timing of the messages that have the demand of organisations."""

_INTERVAL_SECONDS = 0.375
"""Minimum time between two messages with the demand of organisations: a quarter
of the time after which a report of it expires, so that two of them may be lost.
It is half a tick less than the time between two quiet states, so that a state
that is slightly early has the demand as well."""


class DemandTimer:
    """Decides which messages of a sender have the demand of organisations."""

    def __init__(self) -> None:
        self._sent_at = float("-inf")

    def restart_if_due(self, *, now: float) -> bool:
        """Return whether demand is due now; the next is due an interval later."""
        if now - self._sent_at < _INTERVAL_SECONDS:
            return False
        self._sent_at = now
        return True
