"""Declarations of operators for a fleet of self-registering upstreams.

Routes replace `config.model.Service`: they are selected by host and path and
may split their requests between pools.
"""

import dataclasses
import enum
from collections.abc import Mapping

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_duties import runner_model


class AnswerKind(enum.Enum):
    """Form of a route's answers."""

    WHOLE = "whole"
    EVENTS = "events"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Destination:
    """One pool that a route sends requests to.

    Parameters
    ----------
    weight
        Share of the route's requests, relative to its other destinations.
    """

    pool: types.PoolName
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
    """Requests of one host below one path.

    Parameters
    ----------
    path_prefix
        Begins and ends with a slash.
    profile
        Class of the requests. `limit_seconds` is the maximum time that a caller
        may wait for the end of its answer.
    public
        Whether requests need no API key.
    resumable
        Whether a broken event stream may be resumed at another upstream.
    longest_pause_seconds
        Pause between two events above which a stream counts as late; None
        if answers are not event streams.
    patience_seconds
        How long callers wait for the first event; None if only the limit of
        the profile applies.
    """

    name: str
    host: str
    path_prefix: str
    profile: model.Profile
    destinations: tuple[Destination, ...]
    answer_kind: AnswerKind = AnswerKind.WHOLE
    public: bool = False
    resumable: bool = False
    longest_pause_seconds: float | None = None
    patience_seconds: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Engine:
    """Properties that all runners of a pool of model engines have in common.

    Parameters
    ----------
    slots
        Requests that a runner processes concurrently.
    cache_tokens
        Capacity of a runner's KV cache in tokens.
    """

    slots: int
    cache_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """Upstreams that serve the same requests.

    Parameters
    ----------
    engine
        Properties of the upstreams' engines; None for plain services.
    scaling
        How many upstreams may be ordered; None if none may.
    """

    name: types.PoolName
    maximum_connections: int
    engine: Engine | None = None
    scaling: runner_model.Scaling | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankedOrganisation(model.Organisation):
    """An organisation that may have a priority within each class.

    Parameters
    ----------
    tier
        Priority within a class, 1 for the highest; None for the lowest.
    """

    tier: types.Tier | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits on callers' requests; sizes in bytes, times in seconds."""

    header_bytes: int
    body_bytes: int
    header_read_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Declarations:
    """One accepted revision of all declarations."""

    revision: types.Revision
    routes: tuple[Route, ...]
    pools_by_name: Mapping[types.PoolName, Pool]
    organisations_by_id: Mapping[types.OrganisationId, RankedOrganisation]
    caller_limits: CallerLimits
