"""What the store keeps of usage reports: the windows that were settled last.

A window is written before it is reported, under the condition that nobody has
written since. So whoever holds the duty next says exactly the same of it, and
nobody ever says anything else, whatever was lost on the way.
"""

import dataclasses
import json
from collections.abc import Mapping

from lagoonrun_core import errors, types
from lagoonrun_duties import platform_calls

KEY = "lagoonrun/usage"

KEPT = 3
"""Windows that are kept: those whose report may still be under way."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettledWindow:
    """What is said of one window, by whoever says it.

    Parameters
    ----------
    reported
        Whether the platform has confirmed it, as far as the writer knew.
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
        Era of the store in which it was written: an older one says that the store
        has come back from an older copy since.
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
        return UsageRecord(windows=(*self.windows, settled)[-KEPT:], era=era)

    def with_remembered(
        self,
        settled_by_window: Mapping[platform_calls.UsageWindow, SettledWindow],
    ) -> "UsageRecord":
        """Return the record with windows that it lacks."""
        by_window = dict(settled_by_window)
        by_window.update((one.window, one) for one in self.windows)
        windows = tuple(by_window[one] for one in sorted(by_window))
        return dataclasses.replace(self, windows=windows[-KEPT:])

    def with_reported(
        self, window: platform_calls.UsageWindow
    ) -> "UsageRecord":
        """Return the record with a window that the platform has confirmed."""
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
    """Read a record back.

    Raises
    ------
    LagoonrunError
        When the value is not such a record.
    """
    try:
        table = json.loads(value)
        return UsageRecord(
            windows=tuple(SettledWindow(**row) for row in table["windows"]),
            era=int(table.get("era", 0)),
        )
    except (ValueError, TypeError, KeyError) as error:
        raise errors.LagoonrunError(
            step=errors.Step.ORDER, detail=f"usage record unreadable: {error}"
        ) from error
