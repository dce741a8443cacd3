"""The platform's lagging list of VMs as a `Protocol`."""

import dataclasses
import enum
from typing import Protocol

from lagoonrun_core import types
from lagoonrun_platform import store


class VmRole(enum.Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """One VM as the list shows it, which may be seconds old.

    Parameters
    ----------
    id
        Upstream id or entry VM id.
    address
        IP number; for an entry VM with its peer port.
    """

    id: str
    role: VmRole
    state: VmState
    domain: types.FailureDomain
    address: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmListing:
    """One reading of the list."""

    vms_by_id: dict[str, Vm]


class VmList(Protocol):
    """Lagging list of live and leaving VMs."""

    async def list_vms(self) -> VmListing | store.Unreachable:
        """Return the list as the platform has it now."""
