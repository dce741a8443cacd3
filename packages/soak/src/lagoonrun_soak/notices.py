"""Notices that upstreams send about themselves in response headers."""

import dataclasses

from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class Notice:
    """State that an upstream announces in its responses.

    Parameters
    ----------
    per_second
        Requests per second that it accepts from all entry VMs together; None
        for no limit.
    rest_seconds
        Back-off that it asks for with each rejected request; None while it
        accepts requests.
    leaving
        Whether it announces that it is leaving.
    """

    per_second: float | None = None
    rest_seconds: float | None = None
    leaving: bool = False


NO_NOTICE = Notice()


@dataclasses.dataclass(frozen=True, kw_only=True)
class SentNotice:
    """A notice in one response, which may be empty.

    Parameters
    ----------
    id
        Id of the request that was answered.
    """

    upstream: types.UpstreamId
    id: str
    notice: Notice
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached an upstream, whether or not it was run."""

    upstream: types.UpstreamId
    id: str
    at: float
