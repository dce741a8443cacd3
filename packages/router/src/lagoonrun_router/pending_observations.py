"""Observations of upstream speeds that are to be reported."""

import collections
import dataclasses
import math

from lagoonrun_core import types
from lagoonrun_router import speed_observation

USEFUL_REPORT_SECONDS = 1.0
"""Age from which the load that an upstream has reported is outdated."""

_USEFUL_SAMPLE_SECONDS = 5.0
"""Time without a new observation after which the old ones are dropped. The
queue for other domains is only read on a relay, and one that becomes a relay
must not report what it learnt long ago."""

_MAX_PENDING = 192
"""Maximum number of upstreams with observations to be reported: several
messages of a relay. The least recently observed are dropped first."""

MAX_SAMPLES = 64
"""Maximum number of samples of one observation; more are scaled down to it. A
receiver's mean corresponds to fewer samples, so more would change nothing."""


@dataclasses.dataclass(kw_only=True, slots=True)
class _LogSum:
    """Samples whose geometric mean is reported."""

    log_sum: float = 0.0
    samples: int = 0

    def add(self, mean: float, samples: int) -> None:
        self.log_sum += math.log(mean) * samples
        self.samples += samples
        if self.samples > MAX_SAMPLES:
            self.log_sum *= MAX_SAMPLES / self.samples
            self.samples = MAX_SAMPLES

    def mean(self) -> float | None:
        if not self.samples:
            return None
        return math.exp(self.log_sum / self.samples)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Entry:
    """The observations of one upstream; times are readings of the clock."""

    start: types.UpstreamStart
    speeds: _LogSum = dataclasses.field(default_factory=_LogSum)
    services: _LogSum = dataclasses.field(default_factory=_LogSum)
    slowness: float | None = None
    running: int | None = None
    waiting: int | None = None
    reported_at: float | None = None
    updated_at: float = 0.0

    def is_useful(self, now: float) -> bool:
        if self.speeds.samples or self.services.samples:
            return now - self.updated_at < _USEFUL_SAMPLE_SECONDS
        return (
            self.reported_at is not None
            and now - self.reported_at < USEFUL_REPORT_SECONDS
        )


class PendingObservations:
    """Queue of observations to be reported to one group of entry VMs.

    The observations of one upstream are merged.
    """

    def __init__(self) -> None:
        # The least recently observed upstream comes first.
        self._by_upstream: collections.OrderedDict[types.UpstreamId, _Entry] = (
            collections.OrderedDict()
        )

    def add(
        self, observation: speed_observation.SpeedObservation, *, now: float
    ) -> None:
        """Queue an observation of the current start of its upstream."""
        upstream = observation.upstream
        entry = self._by_upstream.get(upstream)
        if entry is None or entry.start != observation.start:
            entry = self._by_upstream[upstream] = _Entry(
                start=observation.start
            )
        self._by_upstream.move_to_end(upstream)
        entry.updated_at = now
        if observation.tokens_per_second is not None:
            entry.speeds.add(observation.tokens_per_second, observation.samples)
        if observation.service_seconds is not None:
            entry.services.add(observation.service_seconds, observation.samples)
        if observation.slowness is not None or observation.running is not None:
            reported_at = now - observation.age_seconds
            if entry.reported_at is None or reported_at >= entry.reported_at:
                entry.slowness = observation.slowness
                entry.running = observation.running
                entry.waiting = observation.waiting
                entry.reported_at = reported_at
        if len(self._by_upstream) > _MAX_PENDING:
            self._by_upstream.popitem(last=False)

    def pop(
        self, max_count: int, *, now: float
    ) -> tuple[speed_observation.SpeedObservation, ...]:
        """Remove and return the observations of the most recent upstreams."""
        popped = []
        while self._by_upstream and len(popped) < max_count:
            upstream, entry = self._by_upstream.popitem()
            if entry.is_useful(now):
                popped.append(_observation(upstream, entry, now))
        return tuple(popped)

    def forget(self, upstream: types.UpstreamId) -> None:
        """Drop the observations of one upstream."""
        self._by_upstream.pop(upstream, None)

    def forget_others(self, known: frozenset[types.UpstreamId]) -> None:
        """Drop the observations of upstreams that are not in `known`."""
        for one in [one for one in self._by_upstream if one not in known]:
            del self._by_upstream[one]


def _observation(
    upstream: types.UpstreamId, entry: _Entry, now: float
) -> speed_observation.SpeedObservation:
    at = entry.updated_at if entry.reported_at is None else entry.reported_at
    return speed_observation.SpeedObservation(
        upstream=upstream,
        start=entry.start,
        tokens_per_second=entry.speeds.mean(),
        # An upstream has prefills or services, not both.
        samples=max(entry.speeds.samples, entry.services.samples),
        slowness=entry.slowness,
        running=entry.running,
        waiting=entry.waiting,
        service_seconds=entry.services.mean(),
        age_seconds=max(0.0, now - at),
    )
