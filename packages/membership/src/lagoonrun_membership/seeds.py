"""Addresses to join through, without those of known members."""

import collections
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_membership import members
from lagoonrun_protocol import hub, messages

_MAXIMUM_ADDED = 1024
_MAXIMUM_LOST_PER_DOMAIN = 8


class SeedList:
    """Seeds of the settings, seeds added later and lost members.

    Parameters
    ----------
    own
        Address of this process, which is never a seed.
    configured
        Addresses from the settings, which are never dropped.
    """

    def __init__(
        self, *, own: hub.PeerAddress, configured: Iterable[hub.PeerAddress]
    ) -> None:
        self._own = own
        self._configured = dict.fromkeys(configured)
        self._added: dict[hub.PeerAddress, None] = {}
        self._lost_by_domain: dict[
            types.FailureDomain, collections.deque[hub.PeerAddress]
        ] = {}

    def add(self, addresses: Iterable[hub.PeerAddress]) -> None:
        """Add addresses to join through.

        The oldest added addresses are dropped, since those of replaced VMs
        would accumulate.
        """
        for address in addresses:
            self._added.pop(address, None)
            self._added[address] = None
        while len(self._added) > _MAXIMUM_ADDED:
            del self._added[next(iter(self._added))]

    def record_lost(self, forgotten: Iterable[messages.MemberUpdate]) -> None:
        """Keep the addresses of forgotten members, a few per domain.

        Regions that are partitioned for an hour forget each other's members,
        and old seeds may be gone. Without an address to try, the fleet would
        stay split after the partition; of a few members per domain, one most
        likely still exists.
        """
        for update in forgotten:
            lost = self._lost_by_domain.setdefault(
                update.domain,
                collections.deque(maxlen=_MAXIMUM_LOST_PER_DOMAIN),
            )
            lost.append(
                hub.PeerAddress(host=update.peer_host, port=update.peer_port)
            )

    def addresses_to_try(
        self, table: members.MemberTable
    ) -> list[hub.PeerAddress]:
        """Return the seeds that are not the address of a live member.

        Lost members are included if their domain has no live member.
        """
        known = {self._own}
        domains = set()
        for view in table.views_by_id().values():
            if view.state is not messages.MemberState.DEAD:
                known.add(
                    hub.PeerAddress(host=view.peer_host, port=view.peer_port)
                )
                domains.add(view.domain)
        seeds = self._configured | self._added
        for domain, lost in self._lost_by_domain.items():
            if domain not in domains:
                seeds |= dict.fromkeys(lost)
        return [address for address in seeds if address not in known]
