"""Assignment of tasks to entry VMs by rendezvous hashing.

Each entry VM computes the same ranking from the same candidates, without
exchanging messages. When a candidate is added or removed, only the shards for
which it ranks first move.
"""

from collections.abc import Iterable

import xxhash

from lagoonrun_core import types

WATCHERS_PER_DOMAIN = 2
"""Number of entry VMs per domain that watch the configuration's head."""

_WATCHER_PREFIX = "watch/"


def rank_entry_vms(
    shard: types.ShardId, candidates: Iterable[types.EntryVmId]
) -> tuple[types.EntryVmId, ...]:
    """Return `candidates`, ranked as dispatchers of `shard`, best first."""
    return _ranked(shard, candidates)


def choose_watchers(
    domain: types.FailureDomain, candidates: Iterable[types.EntryVmId]
) -> tuple[types.EntryVmId, ...]:
    """Return the entry VMs of `domain` that watch the configuration.

    Two are chosen, if there are enough candidates, so that the loss of one
    causes no delay.
    """
    ranked = _ranked(_WATCHER_PREFIX + domain, candidates)
    return ranked[:WATCHERS_PER_DOMAIN]


def _ranked(
    key: str, candidates: Iterable[types.EntryVmId]
) -> tuple[types.EntryVmId, ...]:
    key_bytes = key.encode()

    def weight(entry_vm: types.EntryVmId) -> tuple[int, str]:
        # The hashed id as seed prevents similar rankings of keys that share a
        # long prefix, such as the shards of one pool.
        seed = xxhash.xxh3_64_intdigest(entry_vm.encode())
        return (xxhash.xxh3_64_intdigest(key_bytes, seed=seed), entry_vm)

    return tuple(sorted(candidates, key=weight, reverse=True))
