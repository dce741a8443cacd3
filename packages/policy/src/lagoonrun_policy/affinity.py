"""Which runner has lately served a prompt's prefix.

Hashes are salted with the organisation before they come here, so that no
house can learn of another's cache. Memory is bounded per organisation: one
with many prefixes drops its own and nobody else's.
"""

import collections

from lagoonrun_core import types

_NO_PREFIX = types.PrefixHash(0)
_PREFIXES_PER_ORGANISATION = 512
_RUNNERS_PER_PREFIX = 3
_HALF_LIFE_SECONDS = 60.0


class PrefixAffinity:
    """Bounded memory of where prefixes went."""

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
        """Remember that the runner has the prefix from now on."""
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
        """Return the belief, 0 to 1, that each runner still has the prefix."""
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
