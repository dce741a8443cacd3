"""The record of usage reports in the store: the windows that were settled last.

A window is settled when its counts are final. Before it is reported it is
written to the store, on the condition that nobody else has written since. So
the next holder reports exactly the same counts, and nobody ever reports others,
whatever message was lost.
"""

import dataclasses
import json
from collections.abc import Mapping

from lagoonrun_core import errors, types
from lagoonrun_duties import platform_calls

KEY = "lagoonrun/usage"

MAX_WINDOWS = 3
"""Number of windows kept: those whose report may still be in progress."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettledWindow:
    """The final counts of one window.

    Parameters
    ----------
    reported
        Whether the platform has confirmed the report, as far as the writer
        knew.
    """

    window: platform_calls.UsageWindow
    count_by_organisation: Mapping[types.OrganisationId, int]
    reported: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageRecord:
    """The settled windows, the newest last.

    Parameters
    ----------
    era
        Era of the store in which the record was written. An older one means
        that the store has been restored from a backup since.
    """

    windows: tuple[SettledWindow, ...] = ()
    era: int = 0

    @property
    def newest(self) -> platform_calls.UsageWindow | None:
        """The newest settled window; None for none."""
        return self.windows[-1].window if self.windows else None

    def with_settled(
        self, settled: SettledWindow, *, era: int
    ) -> "UsageRecord":
        """Return the record with one more window, as it is to be written."""
        return UsageRecord(
            windows=(*self.windows, settled)[-MAX_WINDOWS:], era=era
        )

    def with_missing_windows(
        self,
        settled_by_window: Mapping[platform_calls.UsageWindow, SettledWindow],
    ) -> "UsageRecord":
        """Return the record completed by windows that it lacks."""
        by_window = dict(settled_by_window)
        by_window.update((one.window, one) for one in self.windows)
        windows = tuple(by_window[one] for one in sorted(by_window))
        return dataclasses.replace(self, windows=windows[-MAX_WINDOWS:])

    def with_reported(
        self, window: platform_calls.UsageWindow
    ) -> "UsageRecord":
        """Return the record with a window marked as confirmed."""
        return dataclasses.replace(
            self,
            windows=tuple(
                dataclasses.replace(one, reported=True)
                if one.window == window
                else one
                for one in self.windows
            ),
        )


def encode(record: UsageRecord) -> bytes:
    """Return a record as compact JSON."""
    rows = [dataclasses.asdict(one) for one in record.windows]
    return json.dumps(
        {"windows": rows, "era": record.era}, separators=(",", ":")
    ).encode()


def decode(value: bytes) -> UsageRecord:
    """Decode a record.

    Raises
    ------
    LagoonrunError
        If the value is not a valid record.
    """
    try:
        table = json.loads(value)
        return UsageRecord(
            windows=tuple(SettledWindow(**row) for row in table["windows"]),
            era=int(table.get("era", 0)),
        )
    except errors.UNREADABLE_RECORD as error:
        raise errors.LagoonrunError(
            step=errors.Step.ORDER, detail=f"usage record unreadable: {error}"
        ) from error
