"""Prefix affinity: which runners have recently served a prompt's prefix.

Hashes are salted with the organisation before they reach this module, so
that no organisation can learn what another has cached. Memory is bounded
per organisation: one with many prefixes evicts only its own.
"""

import collections

from lagoonrun_core import types

_NO_PREFIX = types.PrefixHash(0)
_PREFIXES_PER_ORGANISATION = 512
_RUNNERS_PER_PREFIX = 3
_HALF_LIFE_SECONDS = 60.0


class PrefixAffinity:
    """Runners that recently served each prefix, as a bounded LRU cache."""

    def __init__(self) -> None:
        self._by_organisation: dict[
            types.OrganisationId,
            collections.OrderedDict[
                types.PrefixHash, dict[types.UpstreamId, float]
            ],
        ] = {}

    def record_served(
        self,
        *,
        organisation: types.OrganisationId,
        prefix: types.PrefixHash,
        upstream: types.UpstreamId,
        now: float,
    ) -> None:
        """Record that the runner now has the prefix in its cache."""
        if prefix == _NO_PREFIX:
            return
        prefixes = self._by_organisation.setdefault(
            organisation, collections.OrderedDict()
        )
        served_at = prefixes.setdefault(prefix, {})
        prefixes.move_to_end(prefix)
        served_at.pop(upstream, None)
        served_at[upstream] = now
        if len(served_at) > _RUNNERS_PER_PREFIX:
            del served_at[next(iter(served_at))]
        if len(prefixes) > _PREFIXES_PER_ORGANISATION:
            prefixes.popitem(last=False)

    def cache_likelihoods(
        self,
        *,
        organisation: types.OrganisationId,
        prefix: types.PrefixHash,
        now: float,
    ) -> dict[types.UpstreamId, float]:
        """Return the likelihood, 0 to 1, that each runner has the prefix."""
        if prefix == _NO_PREFIX:
            return {}
        prefixes = self._by_organisation.get(organisation)
        served_at = prefixes.get(prefix) if prefixes is not None else None
        if not served_at:
            return {}
        return {
            upstream: 0.5 ** ((now - at) / _HALF_LIFE_SECONDS)
            for upstream, at in served_at.items()
        }
