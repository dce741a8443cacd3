"""How counts of usage get to the holder of the duty.

Each entry VM counts what it saw begin, and tells it with its states to the relay
of its failure domain and the next in order; the relay sends the domain's sums to
the holder twice a second. So the holder hears one message from each failure
domain however many entry VMs there are. Each number is told twice, and all of
them again whenever there is another relay or another holder.
"""

from collections.abc import Callable, Iterable

from lagoonrun_core import types
from lagoonrun_duties import platform_calls, usage_counts
from lagoonrun_protocol import router_messages

_TELL_SECONDS = 0.4
"""Least time between two tellings. An entry VM that loses power takes the counts
of so long with it: a twelfth of its part of a window of 5 s."""

HOLDER_SECONDS = 2.0
"""Silence after which an entry VM is not taken for the holder any more: four of
the slowest messages that would name it."""

_NEVER = float("-inf")


class UsageExchange:
    """Counts, tells, gathers; knows who holds the duties.

    Parameters
    ----------
    entry_vm, domain
        This entry VM.
    current_window
        Returns the window of this moment.
    send
        Sends a message to an entry VM.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        current_window: Callable[[], platform_calls.UsageWindow],
        send: Callable[[router_messages.UsageNews, types.EntryVmId], None],
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._window_now = current_window
        self._send = send
        self._own = usage_counts.UsageCounts()
        self._neighbours = usage_counts.GatheredUsage()
        self._domain_sums = usage_counts.UsageCounts()
        self._fleet = usage_counts.GatheredUsage()
        self._newest_window: platform_calls.UsageWindow | None = None
        self._told_at = _NEVER
        self._sent_at = _NEVER
        self._told_to: types.EntryVmId = types.NO_ENTRY_VM
        self._sent_to: types.EntryVmId = types.NO_ENTRY_VM
        self._heard_holder: types.EntryVmId = types.NO_ENTRY_VM
        self._heard_in = domain
        self.holder_heard_at = _NEVER
        """When an entry VM that holds the duties was heard of last."""
        self.is_holder = False
        """Whether this entry VM holds the duties."""
        self._held_at: float | None = None

    # Counting.

    def record_started(self, organisation: types.OrganisationId) -> None:
        """Count a request that an upstream has begun to run."""
        self._own.add(self._window_now(), organisation)

    # Telling.

    def pending_rows(
        self, relay: types.EntryVmId, *, now: float
    ) -> router_messages.UsageRows:
        """Return what the next state tells; most states tell nothing."""
        if relay != self._told_to:
            self._told_to = relay
            self._own.tell_all_again()
        elif now - self._told_at < _TELL_SECONDS:
            return router_messages.NO_USAGE
        self._told_at = now
        return self._own.take_rows()

    def tick(self, *, now: float, is_relay: bool) -> None:
        """Send the domain's sums to the holder, as the relay; called often."""
        holder = self.holder(now=now)
        if self._held_at is None or holder != types.NO_ENTRY_VM:
            self._held_at = now
        if not is_relay or self.is_holder or holder == types.NO_ENTRY_VM:
            return
        if holder != self._sent_to:
            self._sent_to = holder
            self._domain_sums.tell_all_again()
        elif now - self._sent_at < _TELL_SECONDS:
            return
        self._sent_at = now
        self._sum_up()
        rows = self._domain_sums.take_rows()
        if rows.windows:
            news = router_messages.UsageNews(
                entry_vm=self._entry_vm, domain=self._domain, rows=rows
            )
            self._send(news, holder)

    def _sum_up(self) -> None:
        """Bring the sums of the own failure domain up to date."""
        windows = self._neighbours.windows() | self._own.windows()
        for window in windows:
            sums = self._neighbours.counts(window)
            for organisation, count in self._own.counts(window).items():
                sums[organisation] = sums.get(organisation, 0) + count
            for organisation, count in sums.items():
                self._domain_sums.raise_to(window, organisation, count)

    def _forget_old(self) -> None:
        """Drop tellers that ended long ago, once a window."""
        window = self._window_now()
        if window == self._newest_window:
            return
        self._newest_window = window
        oldest = platform_calls.UsageWindow(window - usage_counts.KEPT_WINDOWS)
        self._neighbours.forget_before(oldest)

    # Hearing.

    def receive_state(
        self, state: router_messages.RouterState, *, now: float
    ) -> None:
        """Take in what a neighbour has counted, and whether it is the holder."""
        self._neighbours.take_in(state.entry_vm, state.start, state.usage)
        self._forget_old()
        if state.holds_duties:
            self._note_holder(state.entry_vm, now)
        elif state.entry_vm == self._heard_holder:
            self._forget_holder()

    def receive_news(self, news: router_messages.UsageNews) -> None:
        """Take in the sums of another failure domain, or of the own relay."""
        self._fleet.take_in(news.domain, 0, news.rows)

    def record_remote_holder(
        self,
        domain: types.FailureDomain,
        holder: types.EntryVmId,
        *,
        now: float,
    ) -> None:
        """Take in whom the relay of another failure domain names there."""
        if holder != types.NO_ENTRY_VM:
            self._note_holder(holder, now)
            self._heard_in = domain
        elif domain == self._heard_in:
            self._forget_holder()

    def _note_holder(self, holder: types.EntryVmId, now: float) -> None:
        if holder != self._entry_vm:
            self._heard_holder = holder
            self._heard_in = self._domain
            self.holder_heard_at = now

    def _forget_holder(self) -> None:
        """Take in that the holder has given the duties up."""
        self._heard_holder = types.NO_ENTRY_VM
        self.holder_heard_at = _NEVER

    def holder(self, *, now: float) -> types.EntryVmId:
        """Return who holds the duties, as far as was heard; empty for none."""
        if self.is_holder:
            return self._entry_vm
        if now - self.holder_heard_at < HOLDER_SECONDS:
            return self._heard_holder
        return types.NO_ENTRY_VM

    def vacant_seconds(self, *, now: float) -> float:
        """Return for how long nobody was known to hold the duties."""
        if self._held_at is None or self.holder(now=now) != types.NO_ENTRY_VM:
            return 0.0
        return now - self._held_at

    def holder_in_domain(
        self, neighbours: Iterable[types.EntryVmId], *, now: float
    ) -> types.EntryVmId:
        """Return the holder if it is of the own failure domain.

        Only that is passed on to other domains: what was heard from there would
        go round and keep a lost holder alive.
        """
        holder = self.holder(now=now)
        if holder == self._entry_vm or holder in neighbours:
            return holder
        return types.NO_ENTRY_VM

    # As the holder.

    def counts(
        self, window: platform_calls.UsageWindow
    ) -> dict[types.OrganisationId, int]:
        """Return what is known of a window in the whole fleet."""
        self._sum_up()
        self._fleet.take_in(
            self._domain,
            0,
            usage_counts.to_rows(
                {
                    (window, organisation): count
                    for organisation, count in self._domain_sums.counts(
                        window
                    ).items()
                }
            ),
        )
        return self._fleet.counts(window)
