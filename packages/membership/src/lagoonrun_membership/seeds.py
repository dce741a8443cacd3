"""Addresses to join through, and which of them lead to no known member."""

from collections.abc import Iterable

from lagoonrun_membership import members
from lagoonrun_protocol import hub, messages

_MAXIMUM_ADDED = 1024


class SeedBook:
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

    def unknown(self, table: members.MemberTable) -> list[hub.PeerAddress]:
        """Return the seeds at which no member of `table` lives."""
        known = {self._own}
        for view in table.views_by_id().values():
            if view.state is not messages.MemberState.DEAD:
                known.add(
                    hub.PeerAddress(host=view.peer_host, port=view.peer_port)
                )
        seeds = self._configured | self._added
        return [address for address in seeds if address not in known]
