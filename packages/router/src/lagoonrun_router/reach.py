"""Which failure domains answer, by the datagrams of the entry VMs there.

A cut between domains shows in nothing but silence. A request that is written
into a connection from before the cut is lost for its caller: nobody knows
whether it ran. A new connection fails before the request is sent.
"""

from lagoonrun_core import types

FRESH_SECONDS = 0.6
"""Silence from which only new connections are used: one and a half times the
longest time between two datagrams of a peer, of which a domain has several."""

SILENT_SECONDS = 1.0
"""Silence from which upstreams of other domains are preferred."""

_FORGOTTEN_SECONDS = 30.0
"""Silence after which a domain says nothing any more: its entry VMs may have
been taken away while its upstreams serve on."""


class DomainReach:
    """When each failure domain was heard last."""

    def __init__(self) -> None:
        self._heard_at_by_domain: dict[types.FailureDomain, float] = {}

    def hear(self, domain: types.FailureDomain, *, now: float) -> None:
        """Note that an entry VM of `domain` was heard at `now`."""
        known = self._heard_at_by_domain.get(domain, now)
        self._heard_at_by_domain[domain] = max(known, now)

    def silent_seconds(self, *, now: float) -> dict[types.FailureDomain, float]:
        """Return for how long each failure domain has been silent."""
        return {
            domain: max(0.0, now - heard_at)
            for domain, heard_at in self._heard_at_by_domain.items()
        }

    def is_quiet(self, domain: types.FailureDomain, *, now: float) -> bool:
        """Return whether open connections to `domain` may be dead."""
        return self._is_silent_for(domain, FRESH_SECONDS, now)

    def is_silent(self, domain: types.FailureDomain, *, now: float) -> bool:
        """Return whether `domain` is probably cut off."""
        return self._is_silent_for(domain, SILENT_SECONDS, now)

    def _is_silent_for(
        self, domain: types.FailureDomain, seconds: float, now: float
    ) -> bool:
        heard_at = self._heard_at_by_domain.get(domain)
        if heard_at is None:
            return False
        return seconds < now - heard_at < _FORGOTTEN_SECONDS
