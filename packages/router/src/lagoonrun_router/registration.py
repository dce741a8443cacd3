"""What an upstream has registered in the store."""

import dataclasses

from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class Registration:
    """What an upstream has registered in the store.

    Parameters
    ----------
    slots
        Requests that it processes concurrently.
    leaving
        Whether it is about to stop accepting requests.
    cold_seconds
        Remaining time for which it is slow after its start.
    start
        Start number of the process; a later instance with the same id has a
        higher one.
    reclaimable
        Whether the platform may terminate it at any time.
    version
        Version of its software.
    """

    id: types.UpstreamId
    pool: types.PoolName
    domain: types.FailureDomain
    host: str
    port: int
    slots: int
    leaving: bool = False
    cold_seconds: float = 0.0
    start: types.UpstreamStart = types.UNKNOWN_UPSTREAM_START
    reclaimable: bool = False
    version: types.UpstreamVersion = types.UNKNOWN_UPSTREAM_VERSION
