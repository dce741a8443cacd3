"""Requests that began to run, by window and organisation.

Counts only grow, so that any two accounts of the same requests are merged by the
larger number: one that is told twice, late or by two ways changes nothing.
"""

import dataclasses
import struct
from collections.abc import Iterable, Mapping

from lagoonrun_core import types
from lagoonrun_duties import platform_calls
from lagoonrun_protocol import router_messages

KEPT_WINDOWS = 6
"""Windows that are kept: those that may still be reported, and one more."""

_TELLS = 2
"""How often each number is told: one datagram may be lost."""

_Key = tuple[platform_calls.UsageWindow, types.OrganisationId]


@dataclasses.dataclass(kw_only=True)
class _Told:
    count: int
    tells_left: int = _TELLS


class UsageCounts:
    """Counts of one teller, and what of them is still to be told."""

    def __init__(self) -> None:
        self._told_by_key: dict[_Key, _Told] = {}

    def add(
        self,
        window: platform_calls.UsageWindow,
        organisation: types.OrganisationId,
    ) -> None:
        """Count one request that began to run."""
        known = self._told_by_key.get((window, organisation))
        count = known.count if known else 0
        self.raise_to(window, organisation, count + 1)

    def raise_to(
        self,
        window: platform_calls.UsageWindow,
        organisation: types.OrganisationId,
        count: int,
    ) -> None:
        """Take in that a count is at least `count`."""
        known = self._told_by_key.get((window, organisation))
        if known is None:
            self._forget_before(window)
            self._told_by_key[window, organisation] = _Told(count=count)
        elif count > known.count:
            known.count = count
            known.tells_left = _TELLS

    def _forget_before(self, newest: platform_calls.UsageWindow) -> None:
        old = [
            key for key in self._told_by_key if key[0] <= newest - KEPT_WINDOWS
        ]
        for key in old:
            del self._told_by_key[key]

    def counts(
        self, window: platform_calls.UsageWindow
    ) -> dict[types.OrganisationId, int]:
        """Return the counts of a window."""
        return {
            organisation: known.count
            for (one, organisation), known in self._told_by_key.items()
            if one == window
        }

    def windows(self) -> frozenset[platform_calls.UsageWindow]:
        """Return the windows in which anything is counted."""
        return frozenset(window for window, _ in self._told_by_key)

    def tell_all_again(self) -> None:
        """Have everything told anew: to others than before."""
        for known in self._told_by_key.values():
            known.tells_left = _TELLS

    def take_rows(self) -> router_messages.UsageRows:
        """Return what is to be told now, and count it as told once."""
        due = {
            key: known
            for key, known in self._told_by_key.items()
            if known.tells_left > 0
        }
        for known in due.values():
            known.tells_left -= 1
        return to_rows({key: known.count for key, known in due.items()})

    def take_in(self, rows: router_messages.UsageRows) -> None:
        """Merge what was told."""
        for (window, organisation), count in from_rows(rows).items():
            self.raise_to(window, organisation, count)


def to_rows(count_by_key: Mapping[_Key, int]) -> router_messages.UsageRows:
    """Return counts as they are told; numbers that do not fit are cut off."""
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
    """Return told counts; none where the rows are not of one length."""
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


class GatheredUsage:
    """Counts of the whole fleet, as far as they were told to this entry VM.

    Kept by teller and start of its process: one that was killed has counted what
    it told, and starts from zero when it is back.
    """

    def __init__(self) -> None:
        self._counts_by_teller: dict[tuple[str, int], UsageCounts] = {}

    def take_in(
        self, teller: str, start: int, rows: router_messages.UsageRows
    ) -> None:
        """Merge what an entry VM, or the relay of a failure domain, has told."""
        if not rows.windows:
            return
        key = (teller, start)
        known = self._counts_by_teller.get(key)
        if known is None:
            known = self._counts_by_teller[key] = UsageCounts()
        known.take_in(rows)

    def counts(
        self, window: platform_calls.UsageWindow
    ) -> dict[types.OrganisationId, int]:
        """Return the sums of a window."""
        sums: dict[types.OrganisationId, int] = {}
        for one in self._counts_by_teller.values():
            for organisation, count in one.counts(window).items():
                sums[organisation] = sums.get(organisation, 0) + count
        return sums

    def windows(self) -> frozenset[platform_calls.UsageWindow]:
        """Return the windows in which anything is counted."""
        return merged_windows(self._counts_by_teller.values())

    def forget_before(self, window: platform_calls.UsageWindow) -> None:
        """Drop tellers that have counted nothing since."""
        for key, one in tuple(self._counts_by_teller.items()):
            if max(one.windows(), default=window) < window:
                del self._counts_by_teller[key]


def merged_windows(
    counts: Iterable[UsageCounts],
) -> frozenset[platform_calls.UsageWindow]:
    """Return the windows in which any of some tellers has counted."""
    return frozenset().union(*(one.windows() for one in counts))
