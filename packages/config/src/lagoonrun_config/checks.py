"""Checks of a whole draft: references, contradictions and duplicates.

They run on the declarations of an operator and again on the result of a rebase,
since two changes that are valid alone can contradict each other.
"""

import collections
from collections.abc import Iterable, Iterator

from lagoonrun_config import draft as draft_module
from lagoonrun_config import faults, model
from lagoonrun_core import types

MAXIMUM_FLOOR_SHARE = 0.5
"""Maximum sum of the guaranteed shares of the profiles in one pool."""

_RESERVED_PATHS = ("/v1", "/lagoonrun")


def check_draft(draft: draft_module.Draft) -> tuple[faults.Fault, ...]:
    """Return all faults of the draft; empty if it is valid."""
    found: list[faults.Fault] = []
    found.extend(_check_profiles(draft.profiles_by_name.values()))
    found.extend(_check_organisations(draft))
    for service in draft.services_by_name.values():
        found.extend(_check_service(service, draft))
    found.extend(_check_routes(draft.services_by_name.values()))
    found.extend(_check_floor_shares(draft))
    found.extend(_check_upstreams(draft.upstreams_by_id.values()))
    found.extend(_check_placements(draft))
    found.extend(_check_domains(draft))
    return tuple(found)


def _check_profiles(
    profiles: Iterable[model.Profile],
) -> Iterator[faults.Fault]:
    for profile in profiles:
        path = f"profiles.{profile.name}"
        if profile.limit_seconds < profile.target_seconds:
            yield faults.Fault(
                key=f"{path}.limit_seconds",
                value=faults.format_value(profile.limit_seconds),
                valid=f"at least target_seconds, {profile.target_seconds:g}",
            )
        if profile.idempotent:
            continue
        if profile.retry_ratio > 0:
            yield faults.Fault(
                key=f"{path}.retry_ratio",
                value=faults.format_value(profile.retry_ratio),
                valid="0 where idempotent = false: it runs at most once",
            )
        if profile.maximum_attempts > 1:
            yield faults.Fault(
                key=f"{path}.maximum_attempts",
                value=faults.format_value(profile.maximum_attempts),
                valid="1 where idempotent = false: it runs at most once",
            )


def _check_organisations(draft: draft_module.Draft) -> Iterator[faults.Fault]:
    owner_by_digest: dict[str, types.OrganisationId] = {}
    for organisation in draft.organisations_by_id.values():
        path = f"organisations.{organisation.id}.key_digests"
        if not organisation.key_digests:
            yield faults.Fault(
                key=path, value="[]", valid="at least one digest of a key"
            )
        for digest in organisation.key_digests:
            owner = owner_by_digest.setdefault(digest, organisation.id)
            if owner != organisation.id:
                yield faults.Fault(
                    key=path,
                    value=faults.format_value(digest),
                    valid=f"a digest that {owner!r} does not have",
                )


def _check_service(
    service: model.Service, draft: draft_module.Draft
) -> Iterator[faults.Fault]:
    path = f"services.{service.name}"
    pools = {upstream.pool for upstream in draft.upstreams_by_id.values()}
    if service.pool not in pools:
        yield _undeclared_reference(f"{path}.pool", service.pool, pools)
    if service.profile not in draft.profiles_by_name:
        yield _undeclared_reference(
            f"{path}.profile", service.profile, draft.profiles_by_name
        )
    for organisation in service.organisations:
        if organisation not in draft.organisations_by_id:
            yield _undeclared_reference(
                f"{path}.organisations",
                organisation,
                draft.organisations_by_id,
            )
    if service.kind is model.ServiceKind.MODEL:
        yield from _check_model_service(service, path)
    else:
        yield from _check_plain_service(service, path)


def _check_model_service(
    service: model.Service, path: str
) -> Iterator[faults.Fault]:
    if not service.models:
        yield faults.Fault(
            key=f"{path}.models",
            value="[]",
            valid="at least one model name where kind = 'model'",
        )
    if service.path_prefix:
        yield faults.Fault(
            key=f"{path}.path_prefix",
            value=faults.format_value(service.path_prefix),
            valid="absent where kind = 'model'",
        )


def _check_plain_service(
    service: model.Service, path: str
) -> Iterator[faults.Fault]:
    if service.models:
        yield faults.Fault(
            key=f"{path}.models",
            value=faults.format_value(list(service.models)),
            valid="absent where kind = 'plain'",
        )
    prefix = service.path_prefix
    reserved = any(
        prefix == path or prefix.startswith(f"{path}/")
        for path in _RESERVED_PATHS
    )
    well_formed = prefix.startswith("/") and len(prefix) > 1
    if reserved or not well_formed or prefix.endswith("/"):
        yield faults.Fault(
            key=f"{path}.path_prefix",
            value=faults.format_value(prefix),
            valid=f"a path like '/portal', not under "
            f"{' or '.join(map(repr, _RESERVED_PATHS))} "
            "and without a final slash",
        )


def _check_routes(services: Iterable[model.Service]) -> Iterator[faults.Fault]:
    service_by_model: dict[str, types.ServiceName] = {}
    service_by_prefix: dict[str, types.ServiceName] = {}
    for service in services:
        for name in service.models:
            owner = service_by_model.setdefault(name, service.name)
            if owner != service.name:
                yield faults.Fault(
                    key=f"services.{service.name}.models",
                    value=faults.format_value(name),
                    valid=f"a model that service {owner!r} does not have",
                )
        if not service.path_prefix:
            continue
        owner = service_by_prefix.setdefault(service.path_prefix, service.name)
        if owner != service.name:
            yield faults.Fault(
                key=f"services.{service.name}.path_prefix",
                value=faults.format_value(service.path_prefix),
                valid=f"a path that service {owner!r} does not have",
            )


def _check_floor_shares(draft: draft_module.Draft) -> Iterator[faults.Fault]:
    names_by_pool: dict[types.PoolName, set[types.ProfileName]] = (
        collections.defaultdict(set)
    )
    for service in draft.services_by_name.values():
        if service.profile in draft.profiles_by_name:
            names_by_pool[service.pool].add(service.profile)
    for pool, names in sorted(names_by_pool.items()):
        shares = [draft.profiles_by_name[name].floor_share for name in names]
        total = round(sum(shares), 6)
        if total > MAXIMUM_FLOOR_SHARE:
            yield faults.Fault(
                key=f"pools.{pool}",
                value=f"floor_share of {', '.join(sorted(names))} sums to "
                f"{total:g}",
                valid=f"a sum of at most {MAXIMUM_FLOOR_SHARE:g} in one pool",
            )


def _check_upstreams(
    upstreams: Iterable[model.Upstream],
) -> Iterator[faults.Fault]:
    owner_by_address: dict[tuple[str, int], types.UpstreamId] = {}
    for upstream in upstreams:
        address = (upstream.address, upstream.port)
        owner = owner_by_address.setdefault(address, upstream.id)
        if owner != upstream.id:
            yield faults.Fault(
                key=f"pools.{upstream.pool}.upstreams.{upstream.id}.address",
                value=f"{upstream.address}:{upstream.port}",
                valid=f"an address and port that {owner!r} does not have",
            )


def _check_placements(draft: draft_module.Draft) -> Iterator[faults.Fault]:
    upstream_counts = collections.Counter(
        (upstream.pool, upstream.domain)
        for upstream in draft.upstreams_by_id.values()
    )
    pools = {upstream.pool for upstream in draft.upstreams_by_id.values()}
    seen: set[draft_module.EntryName] = set()
    for placement in draft.placements:
        name = draft_module.placement_name(placement)
        path = f"placements.{name.name}"
        if name in seen:
            yield faults.Fault(
                key=path,
                value=faults.format_value(name.name),
                valid="one such entry",
            )
        seen.add(name)
        if placement.pool not in pools:
            yield _undeclared_reference(f"{path}.pool", placement.pool, pools)
            continue
        upstream_count = upstream_counts[(placement.pool, placement.domain)]
        if placement.count > upstream_count:
            yield faults.Fault(
                key=f"{path}.count",
                value=faults.format_value(placement.count),
                valid=f"at most {upstream_count}, the upstreams of pool "
                f"{placement.pool!r} in domain {placement.domain!r}",
            )


def _check_domains(draft: draft_module.Draft) -> Iterator[faults.Fault]:
    """Reject unused domains: a misspelt one would silently have no effect."""
    used = {upstream.domain for upstream in draft.upstreams_by_id.values()}
    for name in draft.domains_by_name:
        if name not in used:
            listed = ", ".join(sorted(used)[:10])
            yield faults.Fault(
                key=f"domains.{name}",
                value=faults.format_value(name),
                valid=f"a domain in which an upstream stands: {listed}",
            )


def _undeclared_reference(
    key: str, value: str, declared: Iterable[str]
) -> faults.Fault:
    names = sorted(declared)
    shown = ", ".join(names[:10]) + (", ..." if len(names) > 10 else "")
    return faults.Fault(
        key=key,
        value=faults.format_value(value),
        valid=f"one that is declared: {shown or '(none)'}",
    )
