"""Work of a whole fleet as the relay of the failure domain told it."""

import functools
from collections.abc import Mapping

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import loads, peer_loads


class FleetLoads:
    """Work at each upstream by all other entry VMs.

    Nothing is worked out before it is asked for: an entry VM of a large fleet
    hears ten messages a second and decides on two or three requests.

    Parameters
    ----------
    told
        Work of all entry VMs.
    prefill_rates
        Prompt tokens a second for each upstream of `told`.
    own_by_upstream
        The part of it that is this entry VM's own.

    Raises
    ------
    FormatError
        Where there are not as many numbers as the upstreams need.
    """

    def __init__(
        self,
        *,
        told: router_messages.LoadRows,
        prefill_rates: bytes,
        own_by_upstream: Mapping[types.UpstreamId, loads.Load],
    ) -> None:
        self._rows = peer_loads.ToldRows(told=told)
        self._prefill_rates = peer_loads.numbers_in(
            prefill_rates, wanted=len(self._rows.upstreams)
        )
        self._own_by_upstream = own_by_upstream
        self._known: dict[types.UpstreamId, loads.Load] = {}

    def load_of(self, upstream: types.UpstreamId) -> loads.Load:
        """Return the work of all others at `upstream`."""
        known = self._known.get(upstream)
        if known is None:
            known = self._known[upstream] = self._others_load(upstream)
        return known

    def prefill_rate(self, upstream: types.UpstreamId) -> float:
        """Return the prompt tokens a second sent there lately by anybody."""
        place = self._place_by_upstream.get(upstream)
        return 0.0 if place is None else float(self._prefill_rates[place])

    def _others_load(self, upstream: types.UpstreamId) -> loads.Load:
        place = self._place_by_upstream.get(upstream)
        if place is None:
            return loads.NO_LOAD
        load = self._rows.load_at(place)
        own = self._own_by_upstream.get(upstream)
        return load if own is None else load.without(own)

    @functools.cached_property
    def _place_by_upstream(self) -> dict[types.UpstreamId, int]:
        return {one: place for place, one in enumerate(self._rows.upstreams)}
