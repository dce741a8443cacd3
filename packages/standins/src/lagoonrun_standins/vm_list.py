"""The platform's list of live and leaving VMs, read with a delay."""

import dataclasses
import enum
from typing import Any

from lagoonrun_core import clock as clock_lib


class VmState(enum.Enum):
    """State of one VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Entry:
    set_at: float
    state: VmState
    fields: dict[str, Any]


class VmList:
    """History of the state of each VM.

    Parameters
    ----------
    clock
        Timestamps the changes.
    """

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._entries_by_id: dict[str, list[_Entry]] = {}

    def set(self, vm: str, body: Any) -> None:
        """Set the state of a VM and the other fields that are listed.

        Parameters
        ----------
        vm
            Id of the VM.
        body
            JSON object; `state` is `live`, `leaving` or `gone`. Other fields
            (`address`, `domain`, ...) are listed unchanged.

        Raises
        ------
        ValueError
            If the id is empty or the state is not valid.
        """
        if not vm or not isinstance(body, dict):
            raise ValueError(f"VM {vm!r}: {body!r} is not a JSON object")
        fields = {k: v for k, v in body.items() if k not in ("id", "state")}
        entry = _Entry(
            set_at=self._clock.monotonic(),
            state=VmState(body.get("state", VmState.LIVE.value)),
            fields=fields,
        )
        self._entries_by_id.setdefault(vm, []).append(entry)

    def listing(self, *, delay_seconds: float) -> dict[str, Any]:
        """Return the list as it was `delay_seconds` ago, as JSON.

        VMs that were `gone` by then are omitted.
        """
        limit = self._clock.monotonic() - delay_seconds
        vms = []
        for vm, entries in sorted(self._entries_by_id.items()):
            visible = [e for e in entries if e.set_at <= limit]
            if visible and visible[-1].state is not VmState.GONE:
                last = visible[-1]
                state = {"id": vm, "state": last.state.value}
                vms.append(state | last.fields)
        return {"vms": vms}
