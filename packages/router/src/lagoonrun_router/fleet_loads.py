"""The load of the whole fleet, as reported by a relay."""

import functools
from collections.abc import Mapping

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import loads, peer_loads


class FleetLoads:
    """Load at each upstream by all other entry VMs.

    Loads are computed on demand: an entry VM of a large fleet receives ten
    messages a second and routes two or three requests.

    Parameters
    ----------
    load_rows
        Load by all entry VMs, including this one.
    prefill_rates
        Prompt tokens a second for each upstream of `load_rows`.
    own_by_upstream
        The part of that load that is this entry VM's own.

    Raises
    ------
    FormatError
        If the count of numbers does not match the upstreams.
    """

    def __init__(
        self,
        *,
        load_rows: router_messages.LoadRows,
        prefill_rates: bytes,
        own_by_upstream: Mapping[types.UpstreamId, loads.Load],
    ) -> None:
        self._rows = peer_loads.ReportedRows(rows=load_rows)
        self._prefill_rates = peer_loads.unpacked(
            prefill_rates, count=len(self._rows.upstreams)
        )
        self._own_by_upstream = own_by_upstream
        self._load_by_upstream: dict[types.UpstreamId, loads.Load] = {}

    def load_of(self, upstream: types.UpstreamId) -> loads.Load:
        """Return the load by all other entry VMs at `upstream`."""
        cached = self._load_by_upstream.get(upstream)
        if cached is None:
            cached = self._load_by_upstream[upstream] = self._compute_load(
                upstream
            )
        return cached

    def prefill_rate(self, upstream: types.UpstreamId) -> float:
        """Return the recent prompt tokens a second from all entry VMs."""
        index = self._index_by_upstream.get(upstream)
        return 0.0 if index is None else float(self._prefill_rates[index])

    def _compute_load(self, upstream: types.UpstreamId) -> loads.Load:
        index = self._index_by_upstream.get(upstream)
        if index is None:
            return loads.NO_LOAD
        load = self._rows.row_load(index)
        own = self._own_by_upstream.get(upstream)
        return load if own is None else load.without(own)

    @functools.cached_property
    def _index_by_upstream(self) -> dict[types.UpstreamId, int]:
        return {one: index for index, one in enumerate(self._rows.upstreams)}
