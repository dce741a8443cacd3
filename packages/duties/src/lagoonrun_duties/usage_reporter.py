"""Settle and report the usage of each window, as the holder of the duty.

A window is settled when its counts are final and written to the store.
"""

import logging
from collections.abc import Callable, Mapping

from lagoonrun_core import clock as clocks
from lagoonrun_core import errors, events, logs, types
from lagoonrun_duties import (
    filtered_clock,
    platform_calls,
    usage_record,
)
from lagoonrun_orders import tenure as tenures
from lagoonrun_platform import store as store_module
from lagoonrun_platform import store_eras

SETTLE_SECONDS = 1.5
"""Time from the end of a window until it is settled. Counts arrive within a
second, and a settled window survives a power loss of all entry VMs."""

MAX_SETTLE_SECONDS = 5.0
"""The same while a failure domain is silent: half of the time until the report
is due, which leaves the other half to a successor."""


class UsageReporter:
    """Reports windows in order.

    Parameters
    ----------
    configured
        Length of a window, and when its report is due.
    store
        Keeps the settled windows.
    platform
        Receives the reports.
    may_call
        Whether a call started now would end within the tenure.
    counts_of
        Returns the known counts of a window.
    is_complete
        Whether every failure domain has reported recently.
    eras
        Eras of the store.
    time, clock
        Wall-clock time, and the monotonic clock by which eras are dated.
    """

    def __init__(
        self,
        *,
        configured: platform_calls.DutySettings,
        store: store_module.KeyValueStore,
        platform: platform_calls.DutyPlatform,
        may_call: Callable[[tenures.Tenure], bool],
        counts_of: Callable[
            [platform_calls.UsageWindow], Mapping[types.OrganisationId, int]
        ],
        is_complete: Callable[[], bool],
        eras: store_eras.StoreEras,
        time: filtered_clock.FilteredClock,
        clock: clocks.Clock,
    ) -> None:
        self._configured = configured
        self._store = store
        self._platform = platform
        self._may_call = may_call
        self._counts_of = counts_of
        self._is_complete = is_complete
        self._eras = eras
        self._clock = clock
        self._settled_by_window: dict[
            platform_calls.UsageWindow, usage_record.SettledWindow
        ] = {}
        self._time = time
        self._first_window = configured.window_at(time.now())
        self._tenure: tenures.Tenure | None = None
        self._record = usage_record.UsageRecord()
        self._revision: store_module.StoreRevision | None = None
        self._reported_at: float | None = None

    def report_age(self) -> float | None:
        """Return the age of the last confirmed report; None for none."""
        if self._reported_at is None:
            return None
        return self._time.now() - self._reported_at

    async def step(self, tenure: tenures.Tenure) -> None:
        """Perform the work that is due now; called a few times a second."""
        if tenure != self._tenure or self._revision is None:
            self._tenure = tenure
            if not await self._read_record():
                return
        await self._report_settled(tenure)
        await self._settle_next(tenure)

    async def _read_record(self) -> bool:
        """Read what was settled before; return whether the store answered."""
        self._revision = None
        item = await self._store.get(usage_record.KEY)
        if not isinstance(item, store_module.Item):
            return False
        self._revision = store_module.ABSENT
        self._record = usage_record.UsageRecord()
        if item.found is not None:
            self._revision = item.found.modified
            self._record = _decode_or_empty(item.found.value)
        # A store restored from a backup lacks the windows settled since.
        self._record = self._record.with_missing_windows(
            self._settled_by_window
        )
        return True

    async def _report_settled(self, tenure: tenures.Tenure) -> None:
        for settled in self._record.windows:
            if settled.reported or self._is_too_late(settled.window):
                continue
            if not self._may_call(tenure):
                return
            await self._report(settled, tenure)

    async def _report(
        self, settled: usage_record.SettledWindow, tenure: tenures.Tenure
    ) -> None:
        result = await self._platform.report_usage(
            platform_calls.UsageReport(
                window=settled.window,
                count_by_organisation=settled.count_by_organisation,
            ),
            fencing=tenure.fencing,
        )
        accepted = isinstance(result, platform_calls.Accepted)
        logs.emit(
            events.LogEvent.USAGE_REPORTED,
            level=logging.INFO if accepted else logging.WARNING,
            window=settled.window,
            fencing=tenure.fencing,
            requests=sum(settled.count_by_organisation.values()),
            result=type(result).__name__,
            detail=getattr(result, "detail", ""),
        )
        if accepted:
            self._record = self._record.with_reported(settled.window)
            self._reported_at = self._time.now()

    async def _settle_next(self, tenure: tenures.Tenure) -> None:
        window = self._next_window()
        end = (window + 1) * self._configured.window_seconds
        waited = self._time.now() - end
        settle_delay = MAX_SETTLE_SECONDS
        if self._is_complete():
            settle_delay = SETTLE_SECONDS
        if waited < settle_delay:
            return
        settled = usage_record.SettledWindow(
            window=window,
            count_by_organisation=dict(self._counts_of(window)),
        )
        record = self._record.with_settled(settled, era=self._eras.newest)
        result = await self._store.transact(
            comparisons=[
                store_module.Comparison(
                    key=usage_record.KEY,
                    modified=self._revision or store_module.ABSENT,
                ),
                store_module.Comparison(
                    key=tenures.holder_key(tenure.duty),
                    modified=store_module.StoreRevision(tenure.fencing),
                ),
            ],
            puts=[
                store_module.Put(
                    key=usage_record.KEY, value=usage_record.encode(record)
                )
            ],
        )
        if not isinstance(result, store_module.Committed):
            # This write or another VM's may have been applied: read the record
            # before anything else is reported.
            self._revision = None
            return
        self._revision = result.revision
        self._record = record
        self._keep_settled(settled)
        logs.emit(
            events.LogEvent.USAGE_SETTLED,
            window=window,
            fencing=tenure.fencing,
            waited_seconds=round(waited, 2),
            counts=settled.count_by_organisation,
        )
        if self._may_call(tenure):
            await self._report(settled, tenure)

    def _keep_settled(self, settled: usage_record.SettledWindow) -> None:
        self._settled_by_window[settled.window] = settled
        while len(self._settled_by_window) > usage_record.MAX_WINDOWS:
            del self._settled_by_window[min(self._settled_by_window)]

    def _next_window(self) -> platform_calls.UsageWindow:
        """Return the window after the last settled one that is not too late.

        Windows that were not settled in time are skipped: a report past its
        deadline is of no use.
        """
        newest = self._record.newest
        window = self._first_window if newest is None else newest + 1
        while self._is_too_late(platform_calls.UsageWindow(window)):
            window += 1
        return platform_calls.UsageWindow(window)

    def _is_too_late(self, window: platform_calls.UsageWindow) -> bool:
        end = (window + 1) * self._configured.window_seconds
        if self._time.now() > end + self._configured.report_deadline_seconds:
            return True
        return self._may_be_lost_by_restore(window, end)

    def _may_be_lost_by_restore(
        self, window: platform_calls.UsageWindow, end: float
    ) -> bool:
        """Return whether a window may have been reported and lost by a restore.

        The store was restored from a backup after the end of the window.
        Another entry VM may have settled and reported it with other counts. So
        nobody reports such a window, except the entry VM that still knows what
        it reported.
        """
        seen_at = self._eras.seen_at
        if seen_at is None or self._record.era == self._eras.newest:
            # The record was written since the last restore, if there was any.
            return False
        if window in self._settled_by_window:
            return False
        era_age = self._clock.monotonic() - seen_at
        return end < self._time.now() - era_age


def _decode_or_empty(value: bytes) -> usage_record.UsageRecord:
    try:
        return usage_record.decode(value)
    except errors.LagoonrunError as error:
        logs.emit(
            events.LogEvent.USAGE_RECORD_REJECTED,
            level=logging.ERROR,
            detail=error.detail,
        )
        return usage_record.UsageRecord()
