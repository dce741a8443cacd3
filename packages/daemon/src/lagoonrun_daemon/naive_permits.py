"""Permits without a dispatcher, as a baseline for measuring its benefit.

Each entry VM independently sends every request immediately to the better of
two random runners of the pool (power of two choices), according to the load
reports that it reads itself.
"""

import random
from collections.abc import Sequence

from lagoonrun_config import model
from lagoonrun_core import clock as clocks
from lagoonrun_core import outcomes, types
from lagoonrun_daemon import fleet, permit_types, shards
from lagoonrun_policy import messages as policy_messages
from lagoonrun_policy import naive

_EVERYWHERE = types.FailureDomain("everywhere")


class NaivePermits:
    """Grant permits from the local state of this entry VM only.

    Parameters
    ----------
    entry_vm
        This entry VM.
    view
        Configuration, shards and leaving upstreams.
    clock
        Source of time.
    rng
        Chooses the two candidate runners.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        view: fleet.FleetView,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._entry_vm = entry_vm
        self._view = view
        self._clock = clock
        self._random = rng
        self._attempts = 0
        self._revision = types.Revision(0)
        self._scheduler_by_pool: dict[types.PoolName, naive.NaiveScheduler] = {}

    async def obtain(
        self, wanted: permit_types.PermitWanted
    ) -> permit_types.Permit | permit_types.PermitRefusal:
        """Return a permit, or the reason why there is none."""
        self._attempts += 1
        key = permit_types.AttemptKey(
            request_id=wanted.request_id,
            attempt_id=types.AttemptId(self._attempts),
        )
        event = self._requested(wanted, key)
        pool = self._view.shards_by_id[wanted.shard].pool
        actions = self._apply_event(pool, event)
        granted = actions[0] if actions else None
        if isinstance(granted, policy_messages.Grant):
            return self._permit(wanted, key, granted.upstream)
        return permit_types.PermitRefusal(
            reason=outcomes.Reason.NO_UPSTREAM, retry_after_seconds=1.0
        )

    def give_back(self, permit: permit_types.Permit) -> None:
        """Return a permit that was not used."""
        pool = self._pool_of(permit)
        if pool is not None:
            event = policy_messages.PermitReturned(key=_policy_key(permit.key))
            self._apply_event(pool, event)

    def finish(
        self,
        permit: permit_types.Permit,
        *,
        outcome: outcomes.Outcome,
        reason: outcomes.Reason,
        total_seconds: float,
    ) -> None:
        """Process the end of a granted request."""
        pool = self._pool_of(permit)
        if pool is None:
            return
        self._apply_event(
            pool,
            policy_messages.PermitEnded(
                key=_policy_key(permit.key),
                upstream=permit.upstream,
                outcome=outcome,
                reason=reason,
                first_token_seconds=permit.first_token_seconds,
                total_seconds=total_seconds,
                tokens=permit.tokens,
            ),
        )

    def forget_request(self, request_id: types.RequestId) -> None:
        """Do nothing: attempts are not stored by request."""

    def is_fresh(
        self, permit: permit_types.Permit, *, maximum_age_seconds: float
    ) -> bool:
        """Return whether the permit is recent enough to be used."""
        age = self._clock.monotonic() - permit.granted_at
        return age <= maximum_age_seconds

    def upstreams(self) -> Sequence[model.Upstream]:
        """Return the upstreams whose load reports are read."""
        configuration = self._view.configuration
        if configuration is None:
            return ()
        return tuple(configuration.upstreams_by_id.values())

    def on_load_report(self, report: policy_messages.LoadReported) -> None:
        """Process the load report of an upstream."""
        configuration = self._view.configuration
        if configuration is None:
            return
        upstream = configuration.upstreams_by_id.get(report.upstream)
        if upstream is not None:
            self._apply_event(upstream.pool, report)

    def _apply_event(
        self, pool: types.PoolName, event: policy_messages.Event
    ) -> Sequence[policy_messages.Action]:
        scheduler = self._scheduler_of(pool)
        return scheduler.handle(event, now=self._clock.monotonic())

    def _scheduler_of(self, pool: types.PoolName) -> naive.NaiveScheduler:
        configuration = self._view.configuration
        if configuration.revision != self._revision:
            self._revision = configuration.revision
            self._scheduler_by_pool.clear()
        scheduler = self._scheduler_by_pool.get(pool)
        if scheduler is None:
            scheduler = naive.NaiveScheduler(
                policy=self._policy(pool), rng=self._random
            )
            self._scheduler_by_pool[pool] = scheduler
        return scheduler

    def _policy(self, pool: types.PoolName) -> policy_messages.ShardPolicy:
        shard = shards.Shard(
            id=types.ShardId(f"{pool}@{_EVERYWHERE}"),
            pool=pool,
            domain=_EVERYWHERE,
            upstreams=tuple(u for u in self.upstreams() if u.pool == pool),
        )
        return shards.shard_policy(self._view.configuration, shard)

    def _requested(
        self,
        wanted: permit_types.PermitWanted,
        key: permit_types.AttemptKey,
    ) -> policy_messages.PermitRequested:
        now = self._clock.monotonic()
        leaving = tuple(self._view.leaving_upstreams())
        return policy_messages.PermitRequested(
            key=_policy_key(key),
            ingress=self._entry_vm,
            profile=wanted.profile,
            organisation=wanted.organisation,
            remaining_seconds=wanted.limit_at - now,
            remaining_target_seconds=wanted.target_at - now,
            prefix_hash=wanted.prefix_hash,
            prompt_bytes=wanted.prompt_bytes,
            excluded=(*wanted.excluded, *leaving),
        )

    def _permit(
        self,
        wanted: permit_types.PermitWanted,
        key: permit_types.AttemptKey,
        upstream: types.UpstreamId,
    ) -> permit_types.Permit:
        now = self._clock.monotonic()
        return permit_types.Permit(
            key=key,
            shard=wanted.shard,
            upstream=upstream,
            dispatcher=self._entry_vm,
            profile=wanted.profile,
            organisation=wanted.organisation,
            asked_at=now,
            granted_at=now,
        )

    def _pool_of(self, permit: permit_types.Permit) -> types.PoolName | None:
        shard = self._view.shards_by_id.get(permit.shard)
        return shard.pool if shard else None


def _policy_key(
    key: permit_types.AttemptKey,
) -> policy_messages.PermitKey:
    return policy_messages.PermitKey(
        request_id=key.request_id, attempt_id=key.attempt_id
    )
