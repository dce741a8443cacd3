"""The pool and software version that began a stream.

Events of two software versions don't fit together, and upstreams don't check
it, so a stream may be continued only by upstreams of the same pool and version.
Versions of two pools are not comparable, even if their texts are equal.
"""

import dataclasses

from lagoonrun_core import types
from lagoonrun_router import upstreams


@dataclasses.dataclass(frozen=True, kw_only=True)
class StreamOrigin:
    """Where a stream began.

    Parameters
    ----------
    version
        Version of the upstream's software. An upstream that states none has a
        version of its own.
    """

    pool: types.PoolName
    version: types.UpstreamVersion

    def may_continue_at(self, upstream: upstreams.Registration) -> bool:
        """Return whether an upstream may continue the stream."""
        return origin_at(upstream) == self


def origin_at(upstream: upstreams.Registration) -> StreamOrigin:
    """Return the origin of a stream that begins at an upstream."""
    version = upstream.version
    if version == types.UNKNOWN_UPSTREAM_VERSION:
        version = types.UpstreamVersion(f"{upstream.id}/{upstream.start}")
    return StreamOrigin(pool=upstream.pool, version=version)
