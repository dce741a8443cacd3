"""What a soak's upstream says of itself in its answers, and to whom it said it."""

import dataclasses

from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class Notice:
    """What the answers of an upstream say.

    Parameters
    ----------
    per_second
        Requests a second that it takes of all entry VMs; None for any.
    rest_seconds
        Rest that it asks for with each refusal of a request; None where it
        takes requests.
    leaving
        Whether it says that it leaves.
    """

    per_second: float | None = None
    rest_seconds: float | None = None
    leaving: bool = False


NO_NOTICE = Notice()


@dataclasses.dataclass(frozen=True, kw_only=True)
class SentNotice:
    """An answer that said something, or the first that said nothing again.

    Parameters
    ----------
    id
        The request that was answered.
    """

    upstream: types.UpstreamId
    id: str
    notice: Notice
    at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached an upstream, run or not."""

    upstream: types.UpstreamId
    id: str
    at: float
