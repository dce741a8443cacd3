"""Upstreams that crash if they have to refuse too many requests.

Such an upstream states in its answers how many refusals a second it bears. Until
it no longer does, each entry VM has at most its share of the slots in use there,
so that nearly nothing waits, and backs off after a refusal for so long that the
refusals of the whole fleet stay within that number. Both need no messages: the
statement is in every answer.
"""

import dataclasses
import logging
import math
from collections.abc import Callable
from typing import Protocol

from lagoonrun_core import events, logs, types
from lagoonrun_router import running_requests, upstream_notice, upstreams

CLOSED_SECONDS = 0.1
"""Wait until the own share may be free again: several short requests, or a
tenth of a second of a stream. Callers return later, after the usual minimum."""

_MIN_BACK_OFF_SECONDS = 1.0
"""Shortest back-off after a refusal: the second for which upstreams count."""

_MAX_BACK_OFF_SECONDS = 5.0
"""Longest back-off after a refusal. In a fleet of hundreds of entry VMs the
shares of the slots have to suffice."""

_MAX_BRITTLE = 1024
"""Upstreams with a statement that are remembered; the oldest are evicted."""


class OwnRequests(Protocol):
    """The requests of this entry VM that are in flight."""

    def own_running_at(
        self, upstream: types.UpstreamId, *, tier: types.Tier
    ) -> int:
        """Return the number of those of a tier or above at an upstream."""


class BrittleUpstreams:
    """The newest statement of each brittle upstream.

    Parameters
    ----------
    own_requests
        Requests of this entry VM.
    """

    def __init__(self, *, own_requests: OwnRequests) -> None:
        self._own_requests = own_requests
        self._refusals_by_instance: dict[
            running_requests.UpstreamInstance, float
        ] = {}

    def __bool__(self) -> bool:
        """Return whether any upstream is brittle."""
        return bool(self._refusals_by_instance)

    def is_brittle(self, instance: running_requests.UpstreamInstance) -> bool:
        """Return whether an upstream has stated that it is brittle."""
        return instance in self._refusals_by_instance

    def has_share_left(
        self,
        upstream: upstreams.Registration,
        tier: types.Tier,
        *,
        entry_vm_count: int,
    ) -> bool:
        """Return whether this entry VM may send one more request there.

        Requests of lower tiers take nothing from the share of a higher one.

        Parameters
        ----------
        tier
            Tier of the request.
        entry_vm_count
            Entry VMs that share the slots, including this one.
        """
        if not self.is_brittle(running_requests.instance_of(upstream)):
            return True
        share = max(1, math.ceil(upstream.slots / max(1, entry_vm_count)))
        running = self._own_requests.own_running_at(upstream.id, tier=tier)
        return running < share

    def apply_answer(
        self,
        instance: running_requests.UpstreamInstance,
        notice: upstream_notice.UpstreamNotice,
        *,
        count_entry_vms: Callable[[], int],
    ) -> upstream_notice.UpstreamNotice:
        """Apply an answer; return it with the back-off that it calls for.

        Parameters
        ----------
        count_entry_vms
            Returns the number of entry VMs that share the refusals.
        """
        refusals = notice.refusals_per_second
        self._record(instance, refusals)
        if refusals is None or not notice.refused:
            return notice
        seconds = count_entry_vms() / max(1.0, refusals)
        seconds = min(
            _MAX_BACK_OFF_SECONDS, max(_MIN_BACK_OFF_SECONDS, seconds)
        )
        return dataclasses.replace(
            notice, rest_seconds=max(seconds, notice.rest_seconds or 0.0)
        )

    def _record(
        self,
        instance: running_requests.UpstreamInstance,
        refusals: float | None,
    ) -> None:
        previous = self._refusals_by_instance.pop(instance, None)
        if refusals is not None:
            self._refusals_by_instance[instance] = refusals
            while len(self._refusals_by_instance) > _MAX_BRITTLE:
                oldest = next(iter(self._refusals_by_instance))
                del self._refusals_by_instance[oldest]
        if refusals != previous:
            logs.emit(
                events.LogEvent.UPSTREAM_BRITTLE,
                level=logging.WARNING,
                upstream=instance.upstream,
                start=instance.start,
                refusals_per_second=refusals,
                previous=previous,
            )

    def forget_instance(
        self, instance: running_requests.UpstreamInstance
    ) -> None:
        """Forget the statement of an instance that has been replaced."""
        self._refusals_by_instance.pop(instance, None)
