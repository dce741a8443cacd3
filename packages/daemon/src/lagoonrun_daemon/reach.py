"""Remembers other failure domains whose dispatchers do not answer."""

import dataclasses
import math

from lagoonrun_core import clock as clocks
from lagoonrun_core import types

_SILENT_DISPATCHERS = 2
"""One may have died alone; its domain's next-ranked one answers then."""

_FIRST_MEMORY_SECONDS = 2.0
_LONGEST_MEMORY_SECONDS = 8.0


@dataclasses.dataclass(kw_only=True)
class _Silence:
    """Silence of one domain.

    Parameters
    ----------
    dispatchers
        Those that did not answer.
    memory_seconds
        For how long the domain is passed over.
    until
        When it may be asked again; infinity while too few were silent.
    """

    dispatchers: set[types.EntryVmId] = dataclasses.field(default_factory=set)
    memory_seconds: float = _FIRST_MEMORY_SECONDS
    until: float = math.inf

    @property
    def is_passed_over(self) -> bool:
        """Whether enough dispatchers were silent."""
        return len(self.dispatchers) >= _SILENT_DISPATCHERS


class DomainReach:
    """Pass over domains that are cut off, so that few requests wait for them.

    The membership needs some ten seconds to hold a cut-off domain for dead.
    Until then every request that looks for room elsewhere would wait for
    dispatchers that cannot answer. Here the first few do; then one request
    at a time tries the domain, ever more rarely.

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
        if silence is None or not silence.is_passed_over:
            return True
        return self._clock.monotonic() >= silence.until

    def begin_ask(self, domain: types.FailureDomain) -> None:
        """Take in that a request asks `domain`.

        Where the domain was silent, the others pass it over meanwhile.
        """
        silence = self._silences_by_domain.get(domain)
        if silence is None or not silence.is_passed_over:
            return
        silence.memory_seconds = min(
            2 * silence.memory_seconds, _LONGEST_MEMORY_SECONDS
        )
        silence.until = self._clock.monotonic() + silence.memory_seconds

    def note_silence(
        self, domain: types.FailureDomain, dispatcher: types.EntryVmId
    ) -> None:
        """Take in that a dispatcher of `domain` did not answer in time."""
        silence = self._silences_by_domain.setdefault(domain, _Silence())
        if silence.is_passed_over:
            return
        silence.dispatchers.add(dispatcher)
        if silence.is_passed_over:
            silence.until = self._clock.monotonic() + silence.memory_seconds

    def note_answer(self, domain: types.FailureDomain) -> None:
        """Take in an answer from `domain`."""
        self._silences_by_domain.pop(domain, None)
