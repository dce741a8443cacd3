"""Which failure domains answer, by the datagrams of the entry VMs there.

A cut between domains shows in nothing but silence. A request that is written
into a connection from before the cut is lost for its caller: nobody knows
whether it ran. A new connection fails before the request is sent.
"""

from lagoonrun_core import types

STALE_CONNECTION_SECONDS = 0.6
"""Silence from which only new connections are used: one and a half times the
longest time between two datagrams of a peer, of which a domain has several."""

SILENT_SECONDS = 1.0
"""Silence from which upstreams of other domains are preferred."""

_EXPIRY_SECONDS = 30.0
"""Silence after which a domain says nothing any more: its entry VMs may have
been taken away while its upstreams serve on."""


class DomainReach:
    """When each failure domain was heard last, and whether the store is read there.

    Attributes
    ----------
    changes
        Grows when a domain is heard for the first time.
    """

    def __init__(self) -> None:
        self._heard_at_by_domain: dict[types.FailureDomain, float] = {}
        self._reading: set[types.FailureDomain] = set()
        self.changes = 0

    def record_contact(
        self, domain: types.FailureDomain, *, now: float
    ) -> None:
        """Note that an entry VM of `domain` was heard at `now`."""
        if domain not in self._heard_at_by_domain:
            self.changes += 1
        known = self._heard_at_by_domain.get(domain, now)
        self._heard_at_by_domain[domain] = max(known, now)

    def note_reading(self, domain: types.FailureDomain, reads: bool) -> None:
        """Note whether some entry VM of `domain` reads the store."""
        if reads:
            self._reading.add(domain)
        else:
            self._reading.discard(domain)

    def is_reading(self, domain: types.FailureDomain) -> bool:
        """Return whether some entry VM of `domain` has said to read the store."""
        return domain in self._reading

    @property
    def reading(self) -> tuple[types.FailureDomain, ...]:
        """Failure domains that have said to read the store."""
        return tuple(self._reading)

    # As members of a roster.

    def sizes(self) -> dict[types.FailureDomain, float]:
        """Return all failure domains, as if of one size."""
        return dict.fromkeys(self._heard_at_by_domain, 1.0)

    def heard_at(self, domain: types.FailureDomain) -> float:
        """Return when a domain was heard last; minus infinity for never."""
        return self._heard_at_by_domain.get(domain, float("-inf"))

    def is_stopping(self, domain: types.FailureDomain) -> bool:
        """Return whether a domain is about to end, which none says."""
        del domain
        return False

    def silent_seconds(self, *, now: float) -> dict[types.FailureDomain, float]:
        """Return for how long each failure domain has been silent."""
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
        """Return whether `domain` is probably cut off."""
        return self._is_silent_for(domain, SILENT_SECONDS, now)

    def _is_silent_for(
        self, domain: types.FailureDomain, seconds: float, now: float
    ) -> bool:
        heard_at = self._heard_at_by_domain.get(domain)
        if heard_at is None:
            return False
        return seconds < now - heard_at < _EXPIRY_SECONDS
