"""The accepted configuration as frozen, typed values.

A `Configuration` is immutable; the daemon swaps whole revisions. Collections
are named by their key.
"""

import dataclasses
import enum
from collections.abc import Mapping

from lagoonrun_core import types

NO_REGION = types.Region("")
"""Region of all domains that declare none."""


class TargetKind(enum.Enum):
    """What a profile's latency target is counted on."""

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
        Whether target and limit are on the first token or the whole answer.
    target_seconds
        Latency that attainment counts.
    limit_seconds
        Age after which the answer is worthless; at least the target.
    idempotent
        Whether a request may run more than once; if not, it is sent at most
        once and never tried again after its first byte.
    floor_share
        Share of grants set aside for this class while it waits, 0 to 0.5.
    queue_capacity
        Most requests of this class that wait in one shard.
    retry_ratio
        Retries allowed per first attempt, 0 to 1; idempotent only.
    maximum_attempts
        Most attempts of one request, the first included.
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
    """A customer: its share and the digests of its bearer keys.

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
    """What callers ask for; it picks one profile and one pool.

    Parameters
    ----------
    kind
        `model` for chat completions, `plain` for pass-through by path.
    pool
        Pool whose upstreams answer it.
    profile
        Profile of its requests.
    models
        Values of the chat request's `model` field that mean this service.
    path_prefix
        Path under which a plain service is reached, like `/portal/lookups`.
    organisations
        Who may call it; empty for everyone.
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
    """A back end: a model engine's runner or a plain service's server.

    Parameters
    ----------
    id
        Name, unique among all pools.
    domain
        Failure domain that it stands in.
    address
        IP number.
    port
        Port; the pool may give one for all its upstreams.
    slots
        Declared most requests at once; the starting point of its room.
    resumes
        Whether a cut stream can be resumed from a delivered offset.
    cancels
        Whether closing the connection stops the work.
    checks_fencing
        Whether it refuses an order that carries an old fencing number.
    draining
        Whether an operator lets it leave: it gets no new work, and what it
        runs goes on to its end.
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
    """How many upstreams of a pool in a domain hold a model in a role.

    Placements of one pool, domain and role share upstreams: a base model and
    its adapters are placements of their own.

    Parameters
    ----------
    pool, domain
        Where.
    model
        Model, adapter or version to hold.
    role
        Role that the upstreams take, like `serve`.
    count
        How many upstreams; at most those of the pool in the domain.
    weight_bytes
        Size of the model's weights, for the weight store's rate limit.
    version
        Version of the model that is to be loaded; empty for any.
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
    """A failure domain, as far as operators say something of it.

    Parameters
    ----------
    region
        Region that it stands in; domains of one region are near each other.
        Empty for the region without a name, which is that of every domain
        that is not declared.
    """

    name: types.FailureDomain
    region: types.Region = NO_REGION


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configuration:
    """One accepted revision of everything that operators declare."""

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
        """Return the region of `domain`; `NO_REGION` where none is declared.

        Domains without a declaration share one region instead of being one
        each: a fleet that declares nothing is then one region, as before.
        """
        declared = self.domains_by_name.get(domain)
        return declared.region if declared is not None else NO_REGION
