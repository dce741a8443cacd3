"""Addresses to join through, and which of them lead to no known member."""

import collections
from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_membership import members
from lagoonrun_protocol import hub, messages

_MAXIMUM_ADDED = 1024
_LOST_OF_A_DOMAIN = 8


class SeedList:
    """Seeds of the settings and those that were added later.

    Parameters
    ----------
    own
        Address of this process, which is no seed.
    configured
        Addresses from the settings; kept for good.
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
        """Join through further addresses.

        The oldest addresses added give way to new ones, since those of
        replaced VMs would pile up.
        """
        for address in addresses:
            self._added.pop(address, None)
            self._added[address] = None
        while len(self._added) > _MAXIMUM_ADDED:
            del self._added[next(iter(self._added))]

    def record_lost(self, forgotten: Iterable[messages.MemberUpdate]) -> None:
        """Remember where forgotten members were, a few of each domain.

        Regions that lose each other for an hour forget each other's members,
        and seeds of long ago may be gone. With nobody left to try, the fleet
        would stay split after the cut; of a few members of a domain, one will
        most likely be there still.
        """
        for update in forgotten:
            lost = self._lost_by_domain.setdefault(
                update.domain, collections.deque(maxlen=_LOST_OF_A_DOMAIN)
            )
            lost.append(
                hub.PeerAddress(host=update.peer_host, port=update.peer_port)
            )

    def addresses_to_try(
        self, table: members.MemberTable
    ) -> list[hub.PeerAddress]:
        """Return the seeds at which no member of `table` lives.

        With them, where members of domains were that have none any more.
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
