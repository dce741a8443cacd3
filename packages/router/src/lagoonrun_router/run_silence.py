"""For how long a run has shown no progress, and what was heard meanwhile."""

import dataclasses
import enum
from collections.abc import Collection

from lagoonrun_core import types
from lagoonrun_router import upstream_signs


class Heard(enum.Enum):
    """What showed progress while a run did not."""

    UPSTREAM = "upstream"
    """The same upstream, on another connection."""

    OTHERS = "others"
    """Other upstreams of the pool."""

    NONE = "none"
    """No upstream of the pool."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunSilence:
    """The silence of one run at one moment.

    Parameters
    ----------
    seconds
        Time since its last sign of progress: a head or a whole event.
    bytes_seconds
        Time since the last bytes of its stream; None if none has begun.
    upstream_seconds
        Time since the last sign of its upstream on any connection; None if it
        has shown none.
    heard
        Number of other upstreams of its pool that showed one since the run did.
    others
        Number of the other upstreams of its pool.
    """

    seconds: float
    bytes_seconds: float | None
    upstream_seconds: float | None
    heard: int
    others: int

    @property
    def heard_meanwhile(self) -> Heard:
        """What showed progress since the run did."""
        since_upstream = self.upstream_seconds
        if since_upstream is not None and since_upstream < self.seconds:
            return Heard.UPSTREAM
        return Heard.OTHERS if self.heard else Heard.NONE


def observe(
    upstream: types.UpstreamId,
    pool: Collection[types.UpstreamId],
    signs: upstream_signs.UpstreamSigns,
    *,
    sign_at: float,
    bytes_at: float | None,
    now: float,
) -> RunSilence:
    """Return the silence of a run at `upstream`.

    Parameters
    ----------
    pool
        The upstreams of the pool.
    sign_at
        Time of the run's last sign; that of its writing before the first.
    bytes_at
        Time at which bytes of its stream last arrived; None before the first.
    """
    others = [one for one in pool if one != upstream]
    heard_at = signs.heard_at(upstream)
    return RunSilence(
        seconds=round(now - sign_at, 3),
        bytes_seconds=None if bytes_at is None else round(now - bytes_at, 3),
        upstream_seconds=None
        if heard_at == float("-inf")
        else round(now - heard_at, 3),
        heard=len(signs.heard_since(others, sign_at)),
        others=len(others),
    )
