"""The platform's list of VMs, which may lag, as a `Protocol`."""

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
    """State of a VM that the platform reports."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Vm:
    """One VM in the list, which may be seconds old.

    Parameters
    ----------
    id
        Upstream id or entry VM id.
    address
        IP address; for an entry VM, `port` is its peer port.
    """

    id: str
    role: VmRole
    state: VmState
    domain: types.FailureDomain
    address: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class VmListing:
    """The list as of one call."""

    vms_by_id: dict[str, Vm]


class VmList(Protocol):
    """Lagging list of live and leaving VMs."""

    async def list_vms(self) -> VmListing | store.Unreachable:
        """Return the list as the platform reports it now."""
