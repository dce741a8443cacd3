"""Timers that distinguish silent dispatchers from slow ones or local lag."""

import asyncio
from collections.abc import Callable

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_daemon import permit_types


class ReplyTimers:
    """Time out permit requests to remote dispatchers that do not reply.

    The dispatcher in this process is not watched: it stalls together with the
    timer, whose expiry would then only show the stall of the process.

    Parameters
    ----------
    timing
        Timeouts of the exchange with dispatchers.
    clock
        Source of time.
    received_count
        Returns the number of messages received from a dispatcher so far.
    on_unanswered
        Called with a request whose wait was given up and that was then not
        acknowledged in time either.
    """

    def __init__(
        self,
        *,
        timing: permit_types.PermitTiming,
        clock: clocks.Clock,
        received_count: Callable[[types.EntryVmId], int],
        on_unanswered: Callable[[permit_types.PendingRequest], None],
    ) -> None:
        self._timing = timing
        self._clock = clock
        self._received_count = received_count
        self._on_unanswered = on_unanswered

    def watch(self, pending: permit_types.PendingRequest) -> None:
        """Resolve `pending` as silent if it is not acknowledged in time."""
        self._await_acknowledgement(pending)
        self._bound_silence(pending)

    def _bound_silence(self, pending: permit_types.PendingRequest) -> None:
        """Give up the wait when the request's silence limit passes.

        That may be before the dispatcher counts as silent: a dispatcher that
        is only slow must not be skipped by all other requests because of it.
        """
        silence = pending.wanted.silence
        if silence is None:
            return
        loop = asyncio.get_running_loop()
        due = loop.time() + max(0.0, silence.at - self._clock.monotonic())
        pending.give_up_timer = loop.call_at(
            due, self._on_given_up, pending, due
        )

    def _on_given_up(
        self, pending: permit_types.PendingRequest, due: float
    ) -> None:
        """Give up the wait, unless this process itself ran the timer late."""
        loop = asyncio.get_running_loop()
        if loop.time() - due > self._timing.own_lateness_seconds:
            again = loop.time()
            pending.give_up_timer = loop.call_at(
                again, self._on_given_up, pending, again
            )
            return
        pending.give_up()

    def _await_acknowledgement(
        self, pending: permit_types.PendingRequest
    ) -> None:
        loop = asyncio.get_running_loop()
        timeout = self._timing.acknowledge_timeout_seconds
        if pending.wanted.silence is not None:
            timeout += 2 * pending.wanted.silence.distance_seconds
        due = loop.time() + timeout
        pending.timer = loop.call_at(due, self._on_unacknowledged, pending, due)

    def _on_unacknowledged(
        self, pending: permit_types.PendingRequest, due: float
    ) -> None:
        """Resolve a request as silent, unless a process is only slow.

        A burst of callers can keep an event loop busy for longer than the
        timeout. If that is this process's loop, the timer is due while the
        acknowledgement is unread in the socket. If it is the dispatcher's, it
        replies to other requests meanwhile. Treating either as a frozen
        dispatcher let two entry VMs grant all slots of the same runners,
        which slowed everything down further. In both cases the timer is
        restarted, but only a limited number of times for a slow dispatcher.
        """
        lateness = asyncio.get_running_loop().time() - due
        is_late = lateness > self._timing.own_lateness_seconds
        if is_late or pending.extends_wait(
            self._received_count(pending.dispatcher)
        ):
            self._await_acknowledgement(pending)
        elif pending.reply.done():
            self._on_unanswered(pending)
        else:
            pending.settle(permit_types.DispatcherSilent())
