"""Which upstreams have changed since an observer last asked.

An observer that went through all upstreams at each change would cost a time that
grows with the square of their number whenever many of them change.
"""

import dataclasses
from collections.abc import Mapping

from lagoonrun_core import types
from lagoonrun_router import known_upstream
from lagoonrun_router import registration as registrations


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamChange:
    """What one upstream was at the last call and is now.

    Parameters
    ----------
    before
        Its registration at the last call; None if it was not known.
    now
        Its registration; None if it is not known any more.
    state
        Its state; None if it is not known any more.
    left_starts
        Start numbers of its instances that announced to leave since.
    """

    before: registrations.Registration | None
    now: registrations.Registration | None
    state: known_upstream.UpstreamState | None
    left_starts: frozenset[types.UpstreamStart]


class UpstreamChangeFeed:
    """Collects the changed upstreams for one observer.

    Parameters
    ----------
    known
        What is known at any time, by id.
    """

    def __init__(
        self,
        *,
        known: Mapping[types.UpstreamId, known_upstream.KnownUpstream],
    ) -> None:
        self._known = known
        self._before_by_id: dict[
            types.UpstreamId, registrations.Registration | None
        ] = {}
        self._left_starts_by_id: dict[
            types.UpstreamId, frozenset[types.UpstreamStart]
        ] = {}

    def record(
        self,
        upstream: types.UpstreamId,
        before: registrations.Registration | None,
    ) -> None:
        """Record that an upstream has changed, and what it was before."""
        self._before_by_id.setdefault(upstream, before)

    def record_leaving(self, registration: registrations.Registration) -> None:
        """Record that an upstream announces to leave."""
        starts = self._left_starts_by_id.get(registration.id, frozenset())
        self._left_starts_by_id[registration.id] = starts | {registration.start}

    def pop(self) -> tuple[UpstreamChange, ...]:
        """Return the changes since the last call."""
        changes = []
        for id, before in self._before_by_id.items():
            one = self._known.get(id)
            if before is None and one is None:
                # It came and went since the last call.
                continue
            changes.append(
                UpstreamChange(
                    before=before,
                    now=one.registration if one else None,
                    state=one.state if one else None,
                    left_starts=self._left_starts_by_id.get(id, frozenset()),
                )
            )
        self._before_by_id.clear()
        self._left_starts_by_id.clear()
        return tuple(changes)
