"""Collect usage counts of all entry VMs at the holder of the duty.

Each entry VM counts the requests that it saw start, and sends its counts with
its state to the relay of its failure domain and to the next entry VM in order.
The relay sends the sums of the domain to the holder twice a second, so the
holder receives one message from each failure domain however many entry VMs
there are. Each number is sent twice, and all numbers are sent again whenever
the relay or the holder changes.
"""

from collections.abc import Callable, Iterable

from lagoonrun_core import types
from lagoonrun_duties import platform_calls, usage_counts
from lagoonrun_protocol import router_messages

_MIN_SEND_INTERVAL_SECONDS = 0.4
"""Shortest interval between two sends. An entry VM that loses power loses the
counts of this period: a twelfth of its share of a window of 5 s."""

HOLDER_TIMEOUT_SECONDS = 2.0
"""Time without reports after which an entry VM is no longer considered the
holder: four intervals of the slowest messages that would name it."""

_NEVER = float("-inf")


class UsageExchange:
    """Usage counts of this VM, its domain and the fleet, and the duties' holder.

    Parameters
    ----------
    entry_vm, domain
        This entry VM.
    current_window
        Returns the current window.
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
        self._current_window = current_window
        self._send = send
        self._own = usage_counts.UsageCounts()
        self._neighbours = usage_counts.AggregatedUsage()
        self._domain_sums = usage_counts.UsageCounts()
        self._fleet = usage_counts.AggregatedUsage()
        self._newest_window: platform_calls.UsageWindow | None = None
        self._relay_sent_at = _NEVER
        self._holder_sent_at = _NEVER
        self._sent_relay: types.EntryVmId = types.NO_ENTRY_VM
        self._sent_holder: types.EntryVmId = types.NO_ENTRY_VM
        self._reported_holder: types.EntryVmId = types.NO_ENTRY_VM
        self._reported_holder_domain = domain
        self.holder_reported_at = _NEVER
        """Time of the last report of an entry VM that holds the duties."""
        self.is_holder = False
        """Whether this entry VM holds the duties."""
        self._last_held_at: float | None = None

    # Counting.

    def record_started(self, organisation: types.OrganisationId) -> None:
        """Count a request that an upstream has started to run."""
        self._own.add(self._current_window(), organisation)

    # Sending.

    def pending_rows(
        self, relay: types.EntryVmId, *, now: float
    ) -> router_messages.UsageRows:
        """Return the counts that the next state carries; usually none."""
        if relay != self._sent_relay:
            self._sent_relay = relay
            self._own.mark_all_unsent()
        elif now - self._relay_sent_at < _MIN_SEND_INTERVAL_SECONDS:
            return router_messages.NO_USAGE
        self._relay_sent_at = now
        return self._own.pop_unsent_rows()

    def tick(self, *, now: float, is_relay: bool) -> None:
        """Send the sums of the domain to the holder, if this VM is a relay."""
        holder = self.holder(now=now)
        if self._last_held_at is None or holder != types.NO_ENTRY_VM:
            self._last_held_at = now
        if not is_relay or self.is_holder or holder == types.NO_ENTRY_VM:
            return
        if holder != self._sent_holder:
            self._sent_holder = holder
            self._domain_sums.mark_all_unsent()
        elif now - self._holder_sent_at < _MIN_SEND_INTERVAL_SECONDS:
            return
        self._holder_sent_at = now
        self._update_domain_sums()
        rows = self._domain_sums.pop_unsent_rows()
        if rows.windows:
            news = router_messages.UsageNews(
                entry_vm=self._entry_vm, domain=self._domain, rows=rows
            )
            self._send(news, holder)

    def _update_domain_sums(self) -> None:
        """Update the sums of this failure domain."""
        windows = self._neighbours.windows() | self._own.windows()
        for window in windows:
            sums = self._neighbours.counts(window)
            for organisation, count in self._own.counts(window).items():
                sums[organisation] = sums.get(organisation, 0) + count
            for organisation, count in sums.items():
                self._domain_sums.merge_count(window, organisation, count)

    def _forget_old(self) -> None:
        """Drop sources that ended long ago, once a window."""
        window = self._current_window()
        if window == self._newest_window:
            return
        self._newest_window = window
        oldest = platform_calls.UsageWindow(
            window - usage_counts.RETAINED_WINDOWS
        )
        self._neighbours.forget_before(oldest)

    # Receiving.

    def receive_state(
        self, state: router_messages.RouterState, *, now: float
    ) -> None:
        """Record the counts of a neighbour, and whether it is the holder."""
        self._neighbours.merge(state.entry_vm, state.start, state.usage)
        self._forget_old()
        if state.holds_duties:
            self._record_holder(state.entry_vm, now)
        elif state.entry_vm == self._reported_holder:
            self._forget_holder()

    def receive_news(self, news: router_messages.UsageNews) -> None:
        """Merge the sums of another failure domain, or of this VM's relay."""
        self._fleet.merge(news.domain, 0, news.rows)

    def record_remote_holder(
        self,
        domain: types.FailureDomain,
        holder: types.EntryVmId,
        *,
        now: float,
    ) -> None:
        """Record the holder that the relay of another domain names there."""
        if holder != types.NO_ENTRY_VM:
            self._record_holder(holder, now)
            self._reported_holder_domain = domain
        elif domain == self._reported_holder_domain:
            self._forget_holder()

    def _record_holder(self, holder: types.EntryVmId, now: float) -> None:
        if holder != self._entry_vm:
            self._reported_holder = holder
            self._reported_holder_domain = self._domain
            self.holder_reported_at = now

    def _forget_holder(self) -> None:
        """Record that the holder has released the duties."""
        self._reported_holder = types.NO_ENTRY_VM
        self.holder_reported_at = _NEVER

    def holder(self, *, now: float) -> types.EntryVmId:
        """Return the last reported holder of the duties; empty for none."""
        if self.is_holder:
            return self._entry_vm
        if now - self.holder_reported_at < HOLDER_TIMEOUT_SECONDS:
            return self._reported_holder
        return types.NO_ENTRY_VM

    def vacant_seconds(self, *, now: float) -> float:
        """Return for how long no holder of the duties has been known."""
        if (
            self._last_held_at is None
            or self.holder(now=now) != types.NO_ENTRY_VM
        ):
            return 0.0
        return now - self._last_held_at

    def holder_in_domain(
        self, neighbours: Iterable[types.EntryVmId], *, now: float
    ) -> types.EntryVmId:
        """Return the holder if it is in this failure domain.

        Only that is forwarded to other domains: forwarding what they reported
        would circulate between domains and keep a lost holder alive.
        """
        holder = self.holder(now=now)
        if holder == self._entry_vm or holder in neighbours:
            return holder
        return types.NO_ENTRY_VM

    # As the holder.

    def counts(
        self, window: platform_calls.UsageWindow
    ) -> dict[types.OrganisationId, int]:
        """Return the known counts of a window in the whole fleet."""
        self._update_domain_sums()
        self._fleet.merge(
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
