"""Which entry VM gives out the places at an upstream, and how it is reached.

The relay of the upstream's failure domain does: it is heard by the other relays and
hears who is lost. An entry VM asks the relay of its own domain, which knows the
others; that one passes the question on, and the answer comes back directly.
"""

from collections.abc import Callable
from typing import Protocol

import xxhash

from lagoonrun_core import types
from lagoonrun_router import limit_shares, peer_table, reach, settings

_SILENT_SECONDS = 1.0
"""Silence after which a failure domain is not asked, and has its own part."""


class Relays(Protocol):
    """The relays of the failure domains."""

    def relays_on_duty(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return the relays of the own failure domain, in their order."""

    def relay_of(
        self, domain: types.FailureDomain, *, now: float
    ) -> settings.Address | None:
        """Return the relay of another domain that was heard lately."""


class PlaceRouting:
    """Answers where to ask, and which part of a limit falls to this entry VM.

    Parameters
    ----------
    entry_vm, domain
        This entry VM.
    table, domains, relays
        The other entry VMs, whether they are heard, and who relays.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        table: peer_table.PeerTable,
        domains: reach.DomainReach,
        relays: Relays,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._table = table
        self._domains = domains
        self._relays = relays

    def own_relay(self, *, now: float) -> settings.Address | None:
        """Return whom to ask; None for this entry VM itself."""
        on_duty = self._relays.relays_on_duty(now=now)
        if not on_duty or on_duty[0] == self._entry_vm:
            return None
        return self._table.address_of(on_duty[0])

    def is_giver_for(self, upstream_domain: types.FailureDomain) -> bool:
        """Return whether the own domain gives out the places there."""
        return self._giver_domain(upstream_domain) == self._domain

    def giver(
        self, upstream_domain: types.FailureDomain, *, now: float
    ) -> settings.Address | None:
        """Return the relay that gives out places; None where it is silent."""
        giver_domain = self._giver_domain(upstream_domain)
        return self._relays.relay_of(giver_domain, now=now)

    def fleet_counts(self, *, now: float) -> limit_shares.FleetCounts:
        """Return the fleet as it is heard here."""
        near_known = self._table.neighbour_budget_sharers(now=now) + 1
        near = len(self._table.neighbours()) + 1
        silent = near_known - near
        silent_by_domain = self._domains.silent_seconds(now=now)
        known = near_known
        for domain, cores_by_id in self._table.remote_cores_by_domain().items():
            known += len(cores_by_id)
            if silent_by_domain.get(domain, 0.0) > _SILENT_SECONDS:
                silent += len(cores_by_id)
        return limit_shares.FleetCounts(known=known, near=near, silent=silent)

    def _giver_domain(
        self, upstream_domain: types.FailureDomain
    ) -> types.FailureDomain:
        """Return the upstream's domain, or another where no entry VM is there."""
        others = self._table.remote_cores_by_domain().keys()
        if upstream_domain == self._domain or upstream_domain in others:
            return upstream_domain
        return min(
            (self._domain, *others), key=_rendezvous_hash(upstream_domain)
        )


def _rendezvous_hash(
    upstream_domain: types.FailureDomain,
) -> Callable[[types.FailureDomain], int]:
    """Return the order of domains for the upstreams of another one."""

    def hash_of(domain: types.FailureDomain) -> int:
        named = f"{upstream_domain}/{domain}"
        return xxhash.xxh3_64_intdigest(named.encode())

    return hash_of
