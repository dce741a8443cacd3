"""Settings of one `lagoonrund` process, from its TOML file."""

import dataclasses
import enum

from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """An IP number and a port; port 0 lets the system choose."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`, an IPv6 number in brackets."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class ExperimentPolicy(enum.Enum):
    """Who decides which runner serves a request."""

    DISPATCHER = "dispatcher"
    NAIVE = "naive"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Experiment:
    """Deviations from the order of service, for measurements only.

    Parameters
    ----------
    policy
        `NAIVE` lets each entry VM alone choose the better of two runners by
        their load reports, and refuses nothing for room or time.
    switched_off, switched_on
        Parts of the order of service, by their names in
        `lagoonrun_policy.features.Features`.
    """

    policy: ExperimentPolicy = ExperimentPolicy.DISPATCHER
    switched_off: tuple[str, ...] = ()
    switched_on: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """What a process is told at start.

    Parameters
    ----------
    entry_vm
        Name of this entry VM, unique among all.
    domain
        Failure domain that it stands in.
    caller
        Address for callers.
    admin
        Address for operators: health, metrics, status, explanations.
    peer
        Address for other entry VMs: TCP for permits, UDP for membership;
        both use the same port number.
    platform
        Addresses of the platform's gateway, tried in turn.
    seeds
        Peer addresses to join through.
    inner_key
        Secret that authenticates messages between entry VMs.
    admin_token_digest
        SHA-256 (hexadecimal) of the token that admin calls must bear;
        empty for none.
    drain_timeout_seconds
        Longest time that a planned stop waits for running requests.
    readiness_grace_seconds
        How long a planned stop goes on taking requests after it has told
        the balancer, which notices with a lag.
    explain_capacity
        Most requests whose explanation is kept; the oldest goes first.
    claim_retention_seconds
        Least time for which an idempotency key stays claimed. It must be
        well above the longest limit of a class that is not idempotent.
    weight_bytes_per_second
        Rate of the weight store for this failure domain's orders.
    order_timeout_seconds
        Longest time that one order to an upstream may take.
    order_lease_seconds
        Lease of the entry VM that sends a failure domain's orders; when it
        is lost, another takes over after that time. At least twice the
        order's timeout.
    experiment
        Deviations for measurements; none in service.
    platform_calls_per_second
        This process's budget of calls to the platform. Its sum over all
        entry VMs must stay below what the platform takes.
    """

    entry_vm: types.EntryVmId
    domain: types.FailureDomain
    caller: Address
    admin: Address
    peer: Address
    platform: tuple[Address, ...]
    seeds: tuple[Address, ...] = ()
    inner_key: bytes
    admin_token_digest: str = ""
    drain_timeout_seconds: float = 600.0
    readiness_grace_seconds: float = 2.0
    explain_capacity: int = 10_000
    claim_retention_seconds: float = 86_400.0
    weight_bytes_per_second: float = 1e9
    order_timeout_seconds: float = 10.0
    order_lease_seconds: float = 30.0
    experiment: Experiment = Experiment()
    platform_calls_per_second: float = 100.0
