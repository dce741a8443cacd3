"""Settings of one router process."""

import dataclasses

from lagoonrun_core import types
from lagoonrun_duties import platform_calls
from lagoonrun_router import retry_budget


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """IP number and TCP port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSettings:
    """What a process is told about itself and its platform.

    Parameters
    ----------
    caller
        Where callers connect.
    readiness
        Where the platform asks whether to send callers here.
    peer
        Where the other entry VMs reach this one: datagrams and calls.
    metrics
        Where counters and histograms are served; None for nowhere.
    seeds
        Entry VMs to ask for others, which may be stale.
    store
        The platform's store.
    stop_seconds
        Time from the signal to stop until the process is killed.
    retry_allowance
        Repeats that all entry VMs together may send.
    reuse_seconds
        Age from which a shared part of a prompt that is read again counts as
        read for the first time.
    processor_cores
        Processor time that the process may use, in cores.
    duty_platform
        Where the holder of the duties calls the platform; None where the
        deployment has none.
    duties
        What one entry VM at a time does for all; None for nothing.
    """

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    caller: Address
    readiness: Address
    peer: Address
    metrics: Address | None
    seeds: tuple[Address, ...]
    store: Address
    stop_seconds: float
    retry_allowance: retry_budget.Allowance
    reuse_seconds: float
    processor_cores: float = 1.0
    duty_platform: Address | None = None
    duties: platform_calls.DutySettings | None = None


CHANGEABLE_NAMES = frozenset(
    {"seeds", "store", "stop_seconds", "retry_allowance"}
)
"""Settings that a running process takes over; sockets stay where they are."""


def changed_names(
    before: RouterSettings, after: RouterSettings
) -> frozenset[str]:
    """Return the names of the settings in which two differ."""
    return frozenset(
        field.name
        for field in dataclasses.fields(RouterSettings)
        if getattr(before, field.name) != getattr(after, field.name)
    )
