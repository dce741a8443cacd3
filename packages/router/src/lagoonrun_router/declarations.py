"""What operators declare for a fleet of self-registering upstreams.

Routes stand in the place of `config.model.Service`: they are selected by host
and path and may divide their requests between pools.
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
    """One pool of a route.

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
        Class of the requests. `limit_seconds` is the longest time that a
        caller may be kept waiting for the end of its answer.
    public
        Whether requests need no key.
    resumable
        Whether a broken event stream may go on at another upstream.
    longest_pause_seconds
        Pause between two events above which a stream counts as late; None
        where answers are not event streams.
    patience_seconds
        How long callers wait for the first event; None where only the limit
        of the profile says so.
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
    """What all runners of a pool of model engines have in common.

    Parameters
    ----------
    slots
        Requests that a runner computes at once.
    cache_tokens
        Tokens that fit into a runner's memory.
    """

    slots: int
    cache_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Pool:
    """Upstreams that answer the same requests.

    Parameters
    ----------
    engine
        None where the upstreams are plain services.
    scaling
        How many upstreams may be ordered; None where none may.
    """

    name: types.PoolName
    maximum_connections: int
    engine: Engine | None = None
    scaling: runner_model.Scaling | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class RankedOrganisation(model.Organisation):
    """A customer that may have a place in the order within each class.

    Parameters
    ----------
    tier
        Order within a class, 1 for the first; None for the last.
    """

    tier: types.Tier | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send; sizes in bytes, times in seconds."""

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
