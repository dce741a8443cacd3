"""Reachability of failure domains, by the datagrams of their entry VMs.

A network partition shows only as silence. A request written into a connection
from before the partition is lost for its caller, because nobody knows whether
it ran. A new connection fails before the request is sent.
"""

from lagoonrun_core import types

STALE_CONNECTION_SECONDS = 0.6
"""Silence from which only new connections are used: 1.5 times the longest
interval between two datagrams of a peer, of which a domain has several."""

SILENT_SECONDS = 1.0
"""Silence from which a domain counts as unreachable, and upstreams of other
domains are preferred."""

_EXPIRY_SECONDS = 30.0
"""Silence after which a domain no longer counts as unreachable: its entry VMs
may have been removed while its upstreams are in service."""


class DomainReach:
    """Last contact with each failure domain, and whether it reads the store.

    Attributes
    ----------
    changes
        Incremented on the first contact with a domain.
    """

    def __init__(self) -> None:
        self._heard_at_by_domain: dict[types.FailureDomain, float] = {}
        self._reading: set[types.FailureDomain] = set()
        self.changes = 0

    def record_contact(
        self, domain: types.FailureDomain, *, now: float
    ) -> None:
        """Record a datagram of an entry VM of `domain`."""
        if domain not in self._heard_at_by_domain:
            self.changes += 1
        known = self._heard_at_by_domain.get(domain, now)
        self._heard_at_by_domain[domain] = max(known, now)

    def record_reading(self, domain: types.FailureDomain, reads: bool) -> None:
        """Record whether some entry VM of `domain` reads the store."""
        if reads:
            self._reading.add(domain)
        else:
            self._reading.discard(domain)

    def is_reading(self, domain: types.FailureDomain) -> bool:
        """Return whether `domain` reports that it reads the store."""
        return domain in self._reading

    @property
    def reading(self) -> tuple[types.FailureDomain, ...]:
        """Failure domains that report to read the store."""
        return tuple(self._reading)

    # Domains as members of a roster, the selection for a task.

    def sizes(self) -> dict[types.FailureDomain, float]:
        """Return all failure domains with equal sizes."""
        return dict.fromkeys(self._heard_at_by_domain, 1.0)

    def heard_at(self, domain: types.FailureDomain) -> float:
        """Return the last contact with a domain; minus infinity without one."""
        return self._heard_at_by_domain.get(domain, float("-inf"))

    def is_stopping(self, domain: types.FailureDomain) -> bool:
        """Return whether a domain is about to stop, which none announces."""
        del domain
        return False

    def silent_seconds(self, *, now: float) -> dict[types.FailureDomain, float]:
        """Return the time since the last contact with each failure domain."""
        return {
            domain: max(0.0, now - heard_at)
            for domain, heard_at in self._heard_at_by_domain.items()
        }

    def may_have_dead_connections(
        self, domain: types.FailureDomain, *, now: float
    ) -> bool:
        """Return whether open connections to `domain` may be dead."""
        return self._is_silent_for(domain, STALE_CONNECTION_SECONDS, now)

    def is_silent(self, domain: types.FailureDomain, *, now: float) -> bool:
        """Return whether `domain` is probably unreachable."""
        return self._is_silent_for(domain, SILENT_SECONDS, now)

    def _is_silent_for(
        self, domain: types.FailureDomain, seconds: float, now: float
    ) -> bool:
        heard_at = self._heard_at_by_domain.get(domain)
        if heard_at is None:
            return False
        return seconds < now - heard_at < _EXPIRY_SECONDS
