"""Choose the entry VMs that may forward connections to an upstream."""

import random

from lagoonrun_core import types
from lagoonrun_router import decaying_sum, peer_table, reach, settings

_MAX_CANDIDATES = 16
"""Peers that are compared; more are sampled."""

_USE_HALF_LIFE_SECONDS = 5.0
"""Half-life of the number of connections that a peer has opened."""

_AVOID_SECONDS = 0.5
"""Time for which a peer that could not open a connection is asked last."""


class ForwarderChoice:
    """Orders the peers by how likely and how cheaply they reach an upstream.

    Traffic between failure domains is expensive, so peers in the own one are
    preferred, then those in that of the upstream. Among equals the one that
    has opened the fewest connections of this entry VM lately is first.

    Parameters
    ----------
    domain
        Failure domain of this entry VM.
    table, domains
        The peers, and the contact with their failure domains.
    rng
        Breaks ties, so that entry VMs that are cut choose different peers.
    """

    def __init__(
        self,
        *,
        domain: types.FailureDomain,
        table: peer_table.PeerTable,
        domains: reach.DomainReach,
        rng: random.Random,
    ) -> None:
        self._domain = domain
        self._table = table
        self._domains = domains
        self._rng = rng
        self._failed_at_by_peer: dict[types.EntryVmId, float] = {}
        self._uses_by_peer: dict[types.EntryVmId, decaying_sum.DecayingSum] = {}

    def ordered(
        self, upstream_domain: types.FailureDomain, *, count: int, now: float
    ) -> tuple[tuple[types.EntryVmId, settings.Address], ...]:
        """Return the first peers to ask, with their addresses."""
        peers = [
            (peer, address)
            for peer, address in self._table.known().items()
            if not self._table.is_stopping(peer)
        ]
        if len(peers) > _MAX_CANDIDATES:
            peers = self._sample(peers)
        self._rng.shuffle(peers)
        peers.sort(key=lambda one: self._cost(one[0], upstream_domain, now))
        return tuple(peers[:count])

    def _sample(
        self, peers: list[tuple[types.EntryVmId, settings.Address]]
    ) -> list[tuple[types.EntryVmId, settings.Address]]:
        """Return some neighbours, and some peers of all failure domains."""
        neighbours = [
            one
            for one in peers
            if self._table.domain_of(one[0]) == self._domain
        ]
        half = _MAX_CANDIDATES // 2
        sampled = dict(self._rng.sample(neighbours, min(half, len(neighbours))))
        sampled.update(self._rng.sample(peers, half))
        return list(sampled.items())

    def _cost(
        self,
        peer: types.EntryVmId,
        upstream_domain: types.FailureDomain,
        now: float,
    ) -> tuple[bool, bool, int, float]:
        domain = self._table.domain_of(peer)
        failed_at = self._failed_at_by_peer.get(peer, float("-inf"))
        distance = 2
        if domain == self._domain:
            distance = 0
        elif domain == upstream_domain:
            distance = 1
        is_silent = domain is None or self._domains.is_silent(domain, now=now)
        return (
            now - failed_at < _AVOID_SECONDS,
            is_silent and domain != self._domain,
            distance,
            self._recent_uses(peer, now),
        )

    def _recent_uses(self, peer: types.EntryVmId, now: float) -> float:
        uses = self._uses_by_peer.get(peer)
        return 0.0 if uses is None else uses.read(now)

    def record_opened(self, peer: types.EntryVmId, *, now: float) -> None:
        """Record that a peer has opened a connection to an upstream."""
        self._failed_at_by_peer.pop(peer, None)
        uses = self._uses_by_peer.setdefault(
            peer,
            decaying_sum.DecayingSum(half_life_seconds=_USE_HALF_LIFE_SECONDS),
        )
        uses.add(1.0, now)

    def record_failed(self, peer: types.EntryVmId, *, now: float) -> None:
        """Record that a peer could not open a connection in time."""
        self._failed_at_by_peer[peer] = now
