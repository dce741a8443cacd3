"""Track other failure domains whose dispatchers do not reply."""

import dataclasses
import math

from lagoonrun_core import clock as clocks
from lagoonrun_core import types

_MIN_SILENT_DISPATCHERS = 2
"""A single one may have died; the next-ranked one of its domain replies."""

_MIN_SKIP_SECONDS = 2.0
_MAX_SKIP_SECONDS = 8.0


@dataclasses.dataclass(kw_only=True)
class _Silence:
    """Missing replies of one domain.

    Parameters
    ----------
    dispatchers
        Dispatchers that did not reply.
    skip_seconds
        How long the domain is skipped.
    until
        Reading of the monotonic clock at which it may be asked again;
        infinity while too few dispatchers were silent.
    """

    dispatchers: set[types.EntryVmId] = dataclasses.field(default_factory=set)
    skip_seconds: float = _MIN_SKIP_SECONDS
    until: float = math.inf

    @property
    def is_skipped(self) -> bool:
        """Whether enough dispatchers were silent to skip the domain."""
        return len(self.dispatchers) >= _MIN_SILENT_DISPATCHERS


class DomainReach:
    """Skip domains that are cut off, so that few requests wait for them.

    The membership takes about ten seconds to consider a cut-off domain dead.
    Until then, every request that searches for capacity in other domains would
    wait for dispatchers that cannot reply. With this class, only the first few
    wait; then one request at a time probes the domain, at growing intervals.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, *, clock: clocks.Clock) -> None:
        self._clock = clock
        self._silences_by_domain: dict[types.FailureDomain, _Silence] = {}

    def may_ask(self, domain: types.FailureDomain) -> bool:
        """Return whether a request may ask dispatchers of `domain`."""
        silence = self._silences_by_domain.get(domain)
        if silence is None or not silence.is_skipped:
            return True
        return self._clock.monotonic() >= silence.until

    def begin_ask(self, domain: types.FailureDomain) -> None:
        """Record that a request asks `domain`.

        If the domain was silent, other requests skip it meanwhile.
        """
        silence = self._silences_by_domain.get(domain)
        if silence is None or not silence.is_skipped:
            return
        silence.skip_seconds = min(2 * silence.skip_seconds, _MAX_SKIP_SECONDS)
        silence.until = self._clock.monotonic() + silence.skip_seconds

    def record_silence(
        self, domain: types.FailureDomain, dispatcher: types.EntryVmId
    ) -> None:
        """Record that a dispatcher of `domain` did not reply in time."""
        silence = self._silences_by_domain.setdefault(domain, _Silence())
        if silence.is_skipped:
            return
        silence.dispatchers.add(dispatcher)
        if silence.is_skipped:
            silence.until = self._clock.monotonic() + silence.skip_seconds

    def record_reply(self, domain: types.FailureDomain) -> None:
        """Record a reply from `domain`, which ends its skipping."""
        self._silences_by_domain.pop(domain, None)
