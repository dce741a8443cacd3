"""The upstreams that have ended, as far as this entry VM knows."""

import dataclasses
from collections.abc import Mapping
from typing import TypeVar

from lagoonrun_core import types
from lagoonrun_router import registration as registrations

_MAX_BACKUP_AGE_SECONDS = 60.0
"""Maximum age of a backup at a restore; it is usually some seconds."""

_MAX_REMEMBERED_IDS = 1024
"""Ids of ended upstreams that are remembered, so that a late entry does not
make one of them usable again."""

_ECHO_SECONDS = 15.0
"""Time for which peers' word that an upstream leaves is ignored after its entry
has refuted it: the time after which the last of them refutes it as well, and
some seconds for their messages."""

_Value = TypeVar("_Value")


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Expired:
    start: types.UpstreamStart
    at: float


class EndedUpstreams:
    """Upstreams that are gone, or whose entries have ended without a word."""

    def __init__(self) -> None:
        self._gone_start_by_id: dict[types.UpstreamId, types.UpstreamStart] = {}
        self._expired_by_id: dict[types.UpstreamId, _Expired] = {}
        self._refuted_at_by_id: dict[types.UpstreamId, float] = {}

    @property
    def gone_start_by_id(
        self,
    ) -> Mapping[types.UpstreamId, types.UpstreamStart]:
        """The last start of each upstream that is gone, in order of time."""
        return self._gone_start_by_id

    def record_gone(
        self, upstream: types.UpstreamId, start: types.UpstreamStart
    ) -> None:
        """Record that an upstream has left, or another has its address."""
        before = self._gone_start_by_id.get(upstream, start)
        _remember(self._gone_start_by_id, upstream, max(before, start))

    def is_gone(self, registration: registrations.Registration) -> bool:
        """Return whether an entry is of an upstream that is gone."""
        start = self._gone_start_by_id.get(registration.id)
        return start is not None and registration.start <= start

    def record_expired(
        self, registration: registrations.Registration, *, now: float
    ) -> None:
        """Record that the entry of an upstream has ended without a word."""
        expired = _Expired(start=registration.start, at=now)
        _remember(self._expired_by_id, registration.id, expired)

    def has_expired(
        self, registration: registrations.Registration, *, now: float
    ) -> bool:
        """Return whether an entry in a backup is of one that has ended."""
        expired = self._expired_by_id.get(registration.id)
        return (
            expired is not None
            and now - expired.at < _MAX_BACKUP_AGE_SECONDS
            and registration.start <= expired.start
        )

    def refute(self, upstream: types.UpstreamId, *, now: float) -> None:
        """Record that an upstream has not ended: its entry stands."""
        self._gone_start_by_id.pop(upstream, None)
        self._expired_by_id.pop(upstream, None)
        _remember(self._refuted_at_by_id, upstream, now)

    def is_echo(self, upstream: types.UpstreamId, *, now: float) -> bool:
        """Return whether a peer's word that it leaves may be refuted already."""
        refuted_at = self._refuted_at_by_id.get(upstream)
        return refuted_at is not None and now - refuted_at < _ECHO_SECONDS


def _remember(
    value_by_id: dict[types.UpstreamId, _Value],
    upstream: types.UpstreamId,
    value: _Value,
) -> None:
    """Add a value as the newest one, and drop the oldest over the limit."""
    value_by_id.pop(upstream, None)
    value_by_id[upstream] = value
    while len(value_by_id) > _MAX_REMEMBERED_IDS:
        del value_by_id[next(iter(value_by_id))]
