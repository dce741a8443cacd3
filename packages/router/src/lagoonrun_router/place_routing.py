"""Which entry VM allocates the places at an upstream, and how to reach it.

A place is the right to send one request to a rate-limited upstream. The entry
VM that allocates places (the giver) is the relay of the upstream's failure
domain: it exchanges datagrams with the other relays and notices lost entry VMs.
An entry VM sends its request to the relay of its own domain, which forwards it
to the giver; the answer is sent back directly.
"""

from collections.abc import Callable
from typing import Protocol

import xxhash

from lagoonrun_core import types
from lagoonrun_router import limit_shares, peer_table, reach, settings

_SILENT_SECONDS = 1.0
"""Silence after which a failure domain counts as cut off and has its own
share."""


class Relays(Protocol):
    """The relays of the failure domains."""

    def relays_on_duty(self, *, now: float) -> tuple[types.EntryVmId, ...]:
        """Return the relays of the own domain, in order of precedence."""

    def relay_of(
        self, domain: types.FailureDomain, *, now: float
    ) -> settings.Address | None:
        """Return another domain's relay; None without recent contact."""


class PlaceRouting:
    """Finds the giver of an upstream's places and counts the fleet for shares.

    Parameters
    ----------
    entry_vm, domain
        This entry VM and its failure domain.
    table, domains, relays
        The other entry VMs, reachability of the domains, and the relays.
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
        """Return the relay of the own domain; None if it is this entry VM."""
        on_duty = self._relays.relays_on_duty(now=now)
        if not on_duty or on_duty[0] == self._entry_vm:
            return None
        return self._table.address_of(on_duty[0])

    def is_giver_for(self, upstream_domain: types.FailureDomain) -> bool:
        """Return whether the own domain allocates the places of a domain."""
        return self._giver_domain(upstream_domain) == self._domain

    def giver(
        self, upstream_domain: types.FailureDomain, *, now: float
    ) -> settings.Address | None:
        """Return the relay that allocates places; None if it is unreachable."""
        giver_domain = self._giver_domain(upstream_domain)
        return self._relays.relay_of(giver_domain, now=now)

    def fleet_counts(self, *, now: float) -> limit_shares.FleetCounts:
        """Return the numbers of known and of reachable entry VMs."""
        known_in_domain = self._table.neighbour_budget_sharers(now=now) + 1
        in_domain = len(self._table.neighbours()) + 1
        silent = known_in_domain - in_domain
        silent_by_domain = self._domains.silent_seconds(now=now)
        known = known_in_domain
        for domain, cores_by_id in self._table.remote_cores_by_domain().items():
            known += len(cores_by_id)
            if silent_by_domain.get(domain, 0.0) > _SILENT_SECONDS:
                silent += len(cores_by_id)
        return limit_shares.FleetCounts(
            known=known, in_domain=in_domain, silent=silent
        )

    def _giver_domain(
        self, upstream_domain: types.FailureDomain
    ) -> types.FailureDomain:
        """Return the upstream's domain; a substitute if it has no entry VM."""
        others = self._table.remote_cores_by_domain().keys()
        if upstream_domain == self._domain or upstream_domain in others:
            return upstream_domain
        return min(
            (self._domain, *others), key=_rendezvous_hash(upstream_domain)
        )


def _rendezvous_hash(
    upstream_domain: types.FailureDomain,
) -> Callable[[types.FailureDomain], int]:
    """Return the key by which domains substitute for one without entry VMs."""

    def hash_of(domain: types.FailureDomain) -> int:
        named = f"{upstream_domain}/{domain}"
        return xxhash.xxh3_64_intdigest(named.encode())

    return hash_of
