"""Number of requests that started to run, by window and organisation.

Counts only grow, so two reports of the same requests are merged by taking the
larger number. A report that arrives twice, late or by two paths changes
nothing.
"""

import dataclasses
import struct
from collections.abc import Iterable, Mapping

from lagoonrun_core import types
from lagoonrun_duties import platform_calls
from lagoonrun_protocol import router_messages

RETAINED_WINDOWS = 6
"""Number of windows retained: those that may still be reported, and one
more."""

_SENDS_PER_COUNT = 2
"""How many times each count is sent, since one datagram may be lost."""

_Key = tuple[platform_calls.UsageWindow, types.OrganisationId]


@dataclasses.dataclass(kw_only=True)
class _PendingCount:
    count: int
    sends_left: int = _SENDS_PER_COUNT


class UsageCounts:
    """Counts of one source, and which of them are still to be sent."""

    def __init__(self) -> None:
        self._count_by_key: dict[_Key, _PendingCount] = {}

    def add(
        self,
        window: platform_calls.UsageWindow,
        organisation: types.OrganisationId,
    ) -> None:
        """Count one request that started to run."""
        entry = self._count_by_key.get((window, organisation))
        count = entry.count if entry else 0
        self.merge_count(window, organisation, count + 1)

    def merge_count(
        self,
        window: platform_calls.UsageWindow,
        organisation: types.OrganisationId,
        count: int,
    ) -> None:
        """Raise a count to at least `count`."""
        entry = self._count_by_key.get((window, organisation))
        if entry is None:
            self._forget_before(window)
            self._count_by_key[window, organisation] = _PendingCount(
                count=count
            )
        elif count > entry.count:
            entry.count = count
            entry.sends_left = _SENDS_PER_COUNT

    def _forget_before(self, newest: platform_calls.UsageWindow) -> None:
        old = [
            key
            for key in self._count_by_key
            if key[0] <= newest - RETAINED_WINDOWS
        ]
        for key in old:
            del self._count_by_key[key]

    def counts(
        self, window: platform_calls.UsageWindow
    ) -> dict[types.OrganisationId, int]:
        """Return the counts of a window."""
        return {
            organisation: entry.count
            for (one, organisation), entry in self._count_by_key.items()
            if one == window
        }

    def windows(self) -> frozenset[platform_calls.UsageWindow]:
        """Return the windows that have any counts."""
        return frozenset(window for window, _ in self._count_by_key)

    def mark_all_unsent(self) -> None:
        """Have all counts sent again, to a new receiver."""
        for entry in self._count_by_key.values():
            entry.sends_left = _SENDS_PER_COUNT

    def pop_unsent_rows(self) -> router_messages.UsageRows:
        """Return the counts to be sent now, and mark them as sent once more."""
        due = {
            key: entry
            for key, entry in self._count_by_key.items()
            if entry.sends_left > 0
        }
        for entry in due.values():
            entry.sends_left -= 1
        return to_rows({key: entry.count for key, entry in due.items()})

    def merge(self, rows: router_messages.UsageRows) -> None:
        """Merge counts that were received."""
        for (window, organisation), count in from_rows(rows).items():
            self.merge_count(window, organisation, count)


def to_rows(count_by_key: Mapping[_Key, int]) -> router_messages.UsageRows:
    """Return counts in wire format; numbers that do not fit are clamped."""
    return router_messages.UsageRows(
        windows=tuple(window for window, _ in count_by_key),
        organisations="\n".join(
            organisation for _, organisation in count_by_key
        ),
        counts=struct.pack(
            f"<{len(count_by_key)}I",
            *(min(count, 0xFFFFFFFF) for count in count_by_key.values()),
        ),
    )


def from_rows(rows: router_messages.UsageRows) -> dict[_Key, int]:
    """Return counts from wire format; none if the row lengths differ."""
    organisations = rows.organisations.split("\n") if rows.windows else []
    length = len(rows.windows)
    if len(organisations) != length or len(rows.counts) != 4 * length:
        return {}
    numbers = struct.unpack(f"<{length}I", rows.counts)
    return {
        (platform_calls.UsageWindow(window), types.OrganisationId(one)): number
        for window, one, number in zip(
            rows.windows, organisations, numbers, strict=True
        )
    }


class AggregatedUsage:
    """Counts of the whole fleet, as far as this entry VM has received them.

    They are kept by source and start number of its process: a process that was
    killed has counted what it sent, and its next process starts from zero.
    """

    def __init__(self) -> None:
        self._counts_by_source: dict[tuple[str, int], UsageCounts] = {}

    def merge(
        self, source: str, start: int, rows: router_messages.UsageRows
    ) -> None:
        """Merge counts of an entry VM, or of the relay of a failure domain."""
        if not rows.windows:
            return
        key = (source, start)
        entry = self._counts_by_source.get(key)
        if entry is None:
            entry = self._counts_by_source[key] = UsageCounts()
        entry.merge(rows)

    def counts(
        self, window: platform_calls.UsageWindow
    ) -> dict[types.OrganisationId, int]:
        """Return the sums of a window by organisation."""
        sums: dict[types.OrganisationId, int] = {}
        for counts in self._counts_by_source.values():
            for organisation, count in counts.counts(window).items():
                sums[organisation] = sums.get(organisation, 0) + count
        return sums

    def windows(self) -> frozenset[platform_calls.UsageWindow]:
        """Return the windows that have any counts."""
        return merged_windows(self._counts_by_source.values())

    def forget_before(self, window: platform_calls.UsageWindow) -> None:
        """Drop the sources that have counted nothing since a window."""
        for key, counts in tuple(self._counts_by_source.items()):
            if max(counts.windows(), default=window) < window:
                del self._counts_by_source[key]


def merged_windows(
    counts: Iterable[UsageCounts],
) -> frozenset[platform_calls.UsageWindow]:
    """Return the windows that have any counts of any source."""
    return frozenset().union(*(one.windows() for one in counts))
