"""The pool and software version that began a stream.

Events of two software versions don't fit together, and upstreams don't check
it, so a stream may be continued only by upstreams of the same pool and version.
Versions of two pools are not comparable, even if their texts are equal.
"""

import dataclasses
import enum
from collections.abc import Sequence

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


class Evidence(enum.Enum):
    """What an entry VM knows of the origin of a stream."""

    RECORD = "record"
    """The origin was recorded when the stream began."""

    SOLE_VERSION = "sole-version"
    """The stream can have begun at one version only."""

    SEVERAL_VERSIONS = "several-versions"
    """The stream may have begun at one of several versions or pools."""

    TOO_NEW = "too-new"
    """The versions are not known for as long as a stream may last."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FoundOrigin:
    """What was found out about the origin of a stream.

    Parameters
    ----------
    origin
        None unless the evidence is `RECORD` or `SOLE_VERSION`.
    source
        Entry VM that knew it.
    age_seconds
        Time since the origin was recorded.
    attempt
        Number of the attempt that it was recorded for.
    is_final
        Whether no other entry VM can know a later attempt.
    """

    evidence: Evidence
    origin: StreamOrigin | None = None
    source: types.EntryVmId = types.NO_ENTRY_VM
    age_seconds: float = 0.0
    attempt: int = 0
    is_final: bool = False


def combine(found: Sequence[FoundOrigin]) -> FoundOrigin:
    """Return what the statements of several entry VMs amount to.

    The record of the last attempt decides. Without any, a single entry VM that knows of several
    versions is enough for the origin to be unknown.
    """
    by_evidence: dict[Evidence, list[FoundOrigin]] = {}
    for one in found:
        by_evidence.setdefault(one.evidence, []).append(one)
    if records := by_evidence.get(Evidence.RECORD):
        return max(records, key=lambda one: one.attempt)
    if several := by_evidence.get(Evidence.SEVERAL_VERSIONS):
        return several[0]
    sole = by_evidence.get(Evidence.SOLE_VERSION, [])
    if len({one.origin for one in sole}) > 1:
        return FoundOrigin(evidence=Evidence.SEVERAL_VERSIONS)
    return sole[0] if sole else FoundOrigin(evidence=Evidence.TOO_NEW)
