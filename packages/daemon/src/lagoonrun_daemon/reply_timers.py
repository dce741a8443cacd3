"""Timers that tell a silent dispatcher from a slow one, or a busy process."""

import asyncio
from collections.abc import Callable

from lagoonrun_core import clock as clocks
from lagoonrun_core import types
from lagoonrun_daemon import permit_types


class AskTimers:
    """Settle asks whose remote dispatcher stays silent.

    This process's own dispatcher is not watched: both stall together, and a
    timer that is due then would only say so.

    Parameters
    ----------
    timing
        Times of the exchange.
    clock
        Source of time.
    heard
        Returns how many messages have come from a dispatcher so far.
    on_unanswered
        Told of an ask that was given up before it was found unacknowledged.
    """

    def __init__(
        self,
        *,
        timing: permit_types.PermitTiming,
        clock: clocks.Clock,
        heard: Callable[[types.EntryVmId], int],
        on_unanswered: Callable[[permit_types.Ask], None],
    ) -> None:
        self._timing = timing
        self._clock = clock
        self._heard = heard
        self._on_unanswered = on_unanswered

    def watch(self, ask: permit_types.Ask) -> None:
        """Settle the ask as silent if its dispatcher does not answer."""
        self._await_acknowledgement(ask)
        self._bound_silence(ask)

    def _bound_silence(self, ask: permit_types.Ask) -> None:
        """Give the ask up when its request can wait no longer.

        That may be sooner than the dispatcher counts as silent: one that is
        only slow must not be passed over by all others for it.
        """
        silence = ask.wanted.silence
        if silence is None:
            return
        loop = asyncio.get_running_loop()
        due = loop.time() + max(0.0, silence.at - self._clock.monotonic())
        ask.give_up_timer = loop.call_at(due, self._on_given_up, ask, due)

    def _on_given_up(self, ask: permit_types.Ask, due: float) -> None:
        """Give an ask up, unless this process itself was late."""
        loop = asyncio.get_running_loop()
        if loop.time() - due > self._timing.own_lateness_seconds:
            again = loop.time()
            ask.give_up_timer = loop.call_at(
                again, self._on_given_up, ask, again
            )
            return
        ask.give_up()

    def _await_acknowledgement(self, ask: permit_types.Ask) -> None:
        loop = asyncio.get_running_loop()
        timeout = self._timing.acknowledge_timeout_seconds
        if ask.wanted.silence is not None:
            timeout += 2 * ask.wanted.silence.distance_seconds
        due = loop.time() + timeout
        ask.timer = loop.call_at(due, self._on_unacknowledged, ask, due)

    def _on_unacknowledged(self, ask: permit_types.Ask, due: float) -> None:
        """Settle an ask as silent, unless someone is only slow.

        A burst of callers can keep an event loop busy for longer than the
        timeout. If it is this process's, the timer is due while the
        acknowledgement waits unread in the socket; if it is the
        dispatcher's, it answers others meanwhile. Either was taken for a
        frozen dispatcher: then two entry VMs granted all slots of the same
        runners, which made everything slower still. Such a timer is set
        again, a few times at most where the dispatcher is slow.
        """
        lateness = asyncio.get_running_loop().time() - due
        is_late = lateness > self._timing.own_lateness_seconds
        if is_late or ask.waits_again(self._heard(ask.dispatcher)):
            self._await_acknowledgement(ask)
        elif ask.answer.done():
            self._on_unanswered(ask)
        else:
            ask.settle(permit_types.Silent())
