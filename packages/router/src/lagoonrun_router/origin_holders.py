"""Which entry VMs keep the origin of a stream for the others.

They follow from the id of the request, so that an entry VM at which the stream
is taken up finds them without knowing where it began. One is in the failure
domain of the entry VM that sent the request and one is not: the record outlasts
the loss of either domain.
"""

from collections.abc import Callable, Mapping, Sequence

import xxhash

from lagoonrun_core import types

_HOLDERS = 2

_ASKED_IN_DOMAIN = 3
"""Entry VMs that are asked in each failure domain. The entry VM that began the
stream kept no copy for itself elsewhere, and another one may be lost or have
started since, so that the holder may be the third."""

EntryVmsByDomain = Mapping[types.FailureDomain, Sequence[types.EntryVmId]]


def holders(
    request: types.RequestId,
    peers: EntryVmsByDomain,
    *,
    own_domain: types.FailureDomain,
) -> tuple[types.EntryVmId, ...]:
    """Return the peers that keep the origin of a stream begun here."""
    rank = _rank_of(request)
    chosen: list[types.EntryVmId] = []
    others = [one for one in peers if one != own_domain]
    for domain in (own_domain, *sorted(others, key=rank)):
        if len(chosen) == _HOLDERS:
            break
        if peers.get(domain):
            chosen.append(min(peers[domain], key=rank))
    if len(chosen) < _HOLDERS:
        rest = [
            one
            for entry_vms in peers.values()
            for one in entry_vms
            if one not in chosen
        ]
        chosen += sorted(rest, key=rank)[: _HOLDERS - len(chosen)]
    return tuple(chosen)


def asked(
    request: types.RequestId, peers: EntryVmsByDomain
) -> tuple[types.EntryVmId, ...]:
    """Return the peers that may know where a stream began."""
    return tuple(
        entry_vm
        for entry_vms in peers.values()
        for entry_vm in sorted(entry_vms, key=_rank_of(request))[
            :_ASKED_IN_DOMAIN
        ]
    )


def _rank_of(request: types.RequestId) -> Callable[[str], int]:
    """Return the order of entry VMs, or failure domains, for a request."""
    return lambda one: xxhash.xxh3_64_intdigest(f"{request}\n{one}".encode())
