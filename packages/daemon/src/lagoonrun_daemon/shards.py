"""Shards of a configuration: at most 32 runners of one pool in one domain."""

import dataclasses
from collections.abc import Sequence

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_policy import messages as policy_messages

MAXIMUM_RUNNERS_PER_SHARD = 32


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shard:
    """One shard and the upstreams in it, ordered by id."""

    id: types.ShardId
    pool: types.PoolName
    domain: types.FailureDomain
    upstreams: tuple[model.Upstream, ...]


def shards_of(configuration: model.Configuration) -> Sequence[Shard]:
    """Return all shards of `configuration`, ordered by id.

    Every entry VM derives the same shards from the same revision, so that no
    agreement by messages is needed.
    """
    groups: dict[
        tuple[types.PoolName, types.FailureDomain], list[model.Upstream]
    ] = {}
    for upstream in configuration.upstreams_by_id.values():
        groups.setdefault((upstream.pool, upstream.domain), []).append(upstream)
    shards = []
    for (pool, domain), members in groups.items():
        shards += _split(pool=pool, domain=domain, members=members)
    return sorted(shards, key=lambda shard: shard.id)


def _split(
    *,
    pool: types.PoolName,
    domain: types.FailureDomain,
    members: list[model.Upstream],
) -> list[Shard]:
    members = sorted(members, key=lambda upstream: upstream.id)
    count = -(-len(members) // MAXIMUM_RUNNERS_PER_SHARD)
    return [
        Shard(
            id=types.ShardId(f"{pool}@{domain}/{index}"),
            pool=pool,
            domain=domain,
            upstreams=tuple(members[index::count]),
        )
        for index in range(count)
    ]


def shard_policy(
    configuration: model.Configuration,
    shard: Shard,
    *,
    leaving: frozenset[types.UpstreamId] = frozenset(),
) -> policy_messages.ShardPolicy:
    """Return the scheduling policy of `shard`.

    Parameters
    ----------
    leaving
        Upstreams that get no new requests.
    """
    classes = {
        profile.name: _class_policy(profile)
        for profile in configuration.profiles_by_name.values()
        if _uses_pool(configuration, profile.name, shard.pool)
    }
    runners = {
        upstream.id: policy_messages.Runner(
            id=upstream.id,
            slots=upstream.slots,
            resumes=upstream.resumes,
            state=policy_messages.UpstreamState.LEAVING
            if upstream.id in leaving
            else policy_messages.UpstreamState.LIVE,
        )
        for upstream in shard.upstreams
    }
    return policy_messages.ShardPolicy(
        shard=shard.id,
        revision=configuration.revision,
        classes_by_name=classes,
        runners_by_id=runners,
        weights_by_organisation={
            organisation.id: organisation.weight
            for organisation in configuration.organisations_by_id.values()
        },
    )


def class_policies(
    configuration: model.Configuration,
) -> dict[types.ProfileName, policy_messages.ClassPolicy]:
    """Return the scheduling policies of all profiles, by profile name."""
    return {
        profile.name: _class_policy(profile)
        for profile in configuration.profiles_by_name.values()
    }


def _uses_pool(
    configuration: model.Configuration,
    profile: types.ProfileName,
    pool: types.PoolName,
) -> bool:
    return any(
        service.profile == profile and service.pool == pool
        for service in configuration.services_by_name.values()
    )


def _class_policy(profile: model.Profile) -> policy_messages.ClassPolicy:
    return policy_messages.ClassPolicy(
        name=profile.name,
        tier=profile.tier,
        target_seconds=profile.target_seconds,
        limit_seconds=profile.limit_seconds,
        target_on_first_token=(
            profile.target_kind is model.TargetKind.FIRST_TOKEN
        ),
        idempotent=profile.idempotent,
        floor_share=profile.floor_share,
        queue_capacity=profile.queue_capacity,
        retry_ratio=profile.retry_ratio,
    )
