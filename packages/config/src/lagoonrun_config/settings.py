"""Settings of a `lagoonrund` process."""

import dataclasses
import enum

from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class Address:
    """An IP address and a port; port 0 lets the system choose."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return `host:port`, with an IPv6 address in brackets."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class ExperimentPolicy(enum.Enum):
    """How the runner of a request is chosen."""

    DISPATCHER = "dispatcher"
    NAIVE = "naive"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Experiment:
    """Deviations from the regular dispatch policy, for measurements only.

    Parameters
    ----------
    policy
        `NAIVE` lets each entry VM on its own choose the better of two runners
        by their load reports; no request is refused for lack of capacity or
        time.
    switched_off, switched_on
        Features of the policy, by their names in
        `lagoonrun_policy.features.Features`.
    """

    policy: ExperimentPolicy = ExperimentPolicy.DISPATCHER
    switched_off: tuple[str, ...] = ()
    switched_on: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings that a process reads from its TOML file at start.

    Parameters
    ----------
    entry_vm
        Name of this entry VM, unique among all.
    domain
        Failure domain that it is in.
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
        Peer addresses used to join the membership.
    inner_key
        Secret that authenticates messages between entry VMs.
    admin_token_digest
        SHA-256 (hexadecimal) of the bearer token of admin calls; empty for
        none.
    drain_timeout_seconds
        Maximum time that a planned stop waits for running requests.
    readiness_grace_seconds
        Time for which a planned stop continues to accept requests after it
        reported not ready, since the load balancer notices with a delay.
    explain_capacity
        Maximum number of requests whose explanation is kept; the oldest is
        discarded first.
    claim_retention_seconds
        Minimum time for which an idempotency key stays claimed. It must be
        well above the longest limit of a class that is not idempotent.
    weight_bytes_per_second
        Bandwidth of the weight store for the orders of this failure domain.
    order_timeout_seconds
        Maximum duration of one order to an upstream.
    order_lease_seconds
        Duration of the lease of the entry VM that sends the orders of a failure
        domain; if that VM fails, another one takes over after this time. At
        least twice the order timeout.
    experiment
        Deviations for measurements; none in production.
    platform_calls_per_second
        Maximum rate of calls to the platform by this process. The sum over all
        entry VMs must stay below what the platform accepts.
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
