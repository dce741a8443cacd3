"""Settings of one router process."""

import dataclasses

from lagoonrun_core import types
from lagoonrun_duties import platform_calls
from lagoonrun_router import retry_budget


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """IP address and TCP port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouterSettings:
    """Settings of a process: its own addresses and those of its platform.

    Parameters
    ----------
    caller
        Address for callers.
    readiness
        Address for the platform's readiness checks.
    peer
        Address for other entry VMs: UDP datagrams and HTTP calls.
    metrics
        Address at which metrics are served; None to serve none.
    seeds
        Entry VMs from which others are discovered; some may be gone.
    store
        Address of the platform's store.
    stop_seconds
        Time from the stop signal until the process is killed.
    retry_allowance
        Retries that all entry VMs together may send.
    reuse_seconds
        Age from which the prefill of a shared prompt part no longer counts as
        repeated.
    processor_cores
        Processor cores that the process may use.
    duty_platform
        Address at which the holder of the duties calls the platform; None if
        the deployment has none.
    duties
        Settings of the duties, the tasks that one entry VM at a time performs
        for the fleet; None for no duties.
    contended
        Whether callers compete for too little capacity at times, so that all
        pools of engines are adaptive.
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
    contended: bool = False


CHANGEABLE_NAMES = frozenset(
    {"seeds", "store", "stop_seconds", "retry_allowance"}
)
"""Settings that a running process can apply; open sockets are not moved."""


def changed_names(
    before: RouterSettings, after: RouterSettings
) -> frozenset[str]:
    """Return the names of the settings that differ."""
    return frozenset(
        field.name
        for field in dataclasses.fields(RouterSettings)
        if getattr(before, field.name) != getattr(after, field.name)
    )
