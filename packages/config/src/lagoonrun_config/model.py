"""Types of an accepted configuration.

A `Configuration` is immutable; the daemon replaces it as a whole with each
revision.
"""

import dataclasses
import enum
from collections.abc import Mapping

from lagoonrun_core import types

NO_REGION = types.Region("")
"""Region of the failure domains that declare none."""


class TargetKind(enum.Enum):
    """Latency to which the target of a profile applies."""

    FIRST_TOKEN = "first-token"
    TOTAL = "total"


class ServiceKind(enum.Enum):
    """How callers reach a service and what answers them."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Profile:
    """A class of requests.

    Parameters
    ----------
    tier
        1 (highest) to 6 (lowest).
    target_kind
        Whether target and limit apply to the first token or the whole answer.
    target_seconds
        Latency that a request must meet to count as within the target.
    limit_seconds
        Age after which the answer is useless; at least the target.
    idempotent
        Whether a request may run more than once. Otherwise it is sent at most
        once and never retried after its first byte was sent.
    floor_share
        Guaranteed minimum share of the permits for this class while its
        requests wait, 0 to 0.5.
    queue_capacity
        Maximum number of waiting requests of this class in one shard.
    retry_ratio
        Retries allowed per first attempt, 0 to 1; idempotent only.
    maximum_attempts
        Maximum number of attempts of one request, including the first.
    """

    name: types.ProfileName
    tier: types.Tier
    target_kind: TargetKind = TargetKind.TOTAL
    target_seconds: float
    limit_seconds: float
    idempotent: bool = True
    floor_share: float = 0.02
    queue_capacity: int = 1024
    retry_ratio: float = 0.1
    maximum_attempts: int = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Organisation:
    """An organisation that sends requests, with its keys and its weight.

    Parameters
    ----------
    key_digests
        Lower-case hexadecimal SHA-256 of each accepted bearer key.
    weight
        Share relative to other organisations within a class; above 0.
    """

    id: types.OrganisationId
    key_digests: tuple[str, ...]
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
    """What callers request; it determines the profile and the pool.

    Parameters
    ----------
    kind
        `model` for chat completions, `plain` for pass-through by path.
    pool
        Pool of the upstreams that answer it.
    profile
        Profile of its requests.
    models
        Values of the `model` field of chat requests that select this service.
    path_prefix
        Path prefix of a plain service, like `/portal/lookups`.
    organisations
        Organisations that may call it; empty for all.
    """

    name: types.ServiceName
    kind: ServiceKind
    pool: types.PoolName
    profile: types.ProfileName
    models: tuple[str, ...] = ()
    path_prefix: str = ""
    organisations: tuple[types.OrganisationId, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Upstream:
    """A back end: a runner of a model engine or a server of a plain service.

    Parameters
    ----------
    id
        Name, unique among all pools.
    domain
        Failure domain that it is in.
    address
        IP address.
    port
        Port; a pool may declare a default for its upstreams.
    slots
        Declared maximum of concurrent requests; the initial value of its
        concurrency limit.
    resumes
        Whether an interrupted stream can be resumed from a delivered offset.
    cancels
        Whether it stops processing when the connection is closed.
    checks_fencing
        Whether it rejects orders with an old fencing number.
    draining
        Whether an operator drains it: it receives no new requests, and its
        running requests continue to their end.
    """

    id: types.UpstreamId
    pool: types.PoolName
    domain: types.FailureDomain
    address: str
    port: int
    slots: int = 16
    resumes: bool = False
    cancels: bool = True
    checks_fencing: bool = False
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Placement:
    """Number of upstreams of a pool in a domain that hold a model in a role.

    Placements with the same pool, domain and role share upstreams; for
    example, a base model and each of its adapters has its own placement.

    Parameters
    ----------
    pool, domain
        Pool and failure domain of the upstreams.
    model
        Model, adapter or version to load.
    role
        Role of the upstreams, like `serve`.
    count
        Number of upstreams; at most those of the pool in the domain.
    weight_bytes
        Size of the model's weights, for the rate limit of the weight store.
    version
        Version of the model to load; empty for any.
    """

    pool: types.PoolName
    domain: types.FailureDomain
    model: str
    role: str = "serve"
    count: int
    weight_bytes: int = 0
    version: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Domain:
    """A failure domain with its declared properties.

    Parameters
    ----------
    region
        Region that it is in; domains of one region are near each other. Empty
        for the unnamed region, which contains all undeclared domains.
    """

    name: types.FailureDomain
    region: types.Region = NO_REGION


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One accepted revision of all declarations."""

    revision: types.Revision
    digest: str
    profiles_by_name: Mapping[types.ProfileName, Profile]
    organisations_by_id: Mapping[types.OrganisationId, Organisation]
    services_by_name: Mapping[types.ServiceName, Service]
    upstreams_by_id: Mapping[types.UpstreamId, Upstream]
    placements: tuple[Placement, ...] = ()
    domains_by_name: Mapping[types.FailureDomain, Domain] = dataclasses.field(
        default_factory=dict
    )

    def region_of(self, domain: types.FailureDomain) -> types.Region:
        """Return the region of `domain`; `NO_REGION` if none is declared.

        Undeclared domains share one region instead of forming one each, so
        that a fleet without declared domains is one region.
        """
        declared = self.domains_by_name.get(domain)
        return declared.region if declared is not None else NO_REGION
