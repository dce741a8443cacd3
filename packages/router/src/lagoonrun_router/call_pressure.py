"""Pressure that one call records when it is not served."""

from lagoonrun_router import call as calls
from lagoonrun_router import components as router_components

_OVERLOAD_WAIT_FRACTION = 0.25
"""Expected wait, as a fraction of the caller's time limit, from which a failed
request counts as a sign of overload."""


class CallPressure:
    """Records that the tier of a call was not served, so that lower tiers wait.

    Parameters
    ----------
    call
        The resolved call.
    components
        Shared components of the process.
    """

    def __init__(
        self, *, call: calls.Call, components: router_components.Components
    ) -> None:
        self._call = call
        self._components = components

    def record(self) -> None:
        """Record that the tier was not served; only for engine pools."""
        if self._call.pool.engine is not None:
            self._components.pressure.record_rejection(
                self._call.pool.name,
                self._call.tier,
                now=self._components.clock.monotonic(),
            )

    def record_caller_left(
        self, *, expected_wait_seconds: float, answered: bool
    ) -> None:
        """Record that the caller disconnected before its answer was complete.

        A caller that disconnects after half of its time limit without any
        answer is taken to have left because of the wait.
        """
        waited = self._components.clock.monotonic() - self._call.arrived_at
        if waited >= self._call.patience_seconds / 2:
            self.record_failure(
                expected_wait_seconds=expected_wait_seconds, answered=answered
            )

    def record_failure(
        self, *, expected_wait_seconds: float, answered: bool
    ) -> None:
        """Record pressure for a request without an answer after a long wait.

        Only if a long wait was expected when it was sent: at a lightly loaded
        runner it failed for another reason, such as a crash, and rejecting
        lower tiers would not help.

        Parameters
        ----------
        expected_wait_seconds
            Wait that was expected when the request was last sent.
        answered
            Whether the caller has received any part of an answer.
        """
        long_wait = _OVERLOAD_WAIT_FRACTION * self._call.patience_seconds
        if not answered and expected_wait_seconds >= long_wait:
            self.record()
