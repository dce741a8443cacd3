"""Obtain a permit for one call, in the own failure domain or another."""

from lagoonrun_config import model
from lagoonrun_core import outcomes, types
from lagoonrun_daemon import call as calls
from lagoonrun_daemon import permit_types, shard_search
from lagoonrun_daemon import services as daemon_services

MAXIMUM_PERMIT_AGE_SECONDS = 1.0
"""An older permit is returned: its upstream may be leaving by now."""

_DEFAULT_RETRY_AFTER_SECONDS = 1.0
_CAPACITY_REASONS = frozenset(
    {
        outcomes.Reason.QUEUE_FULL,
        outcomes.Reason.SHED_FOR_HIGHER_TIER,
        outcomes.Reason.DEADLINE,
        outcomes.Reason.NO_UPSTREAM,
        outcomes.Reason.NO_DISPATCHER,
    }
)


class PermitSeeker:
    """Request a permit from one shard after another.

    Parameters
    ----------
    call
        The call to be sent.
    services
        Shared components of the daemon.
    """

    def __init__(
        self, *, call: calls.Call, services: daemon_services.Services
    ) -> None:
        self._call = call
        self._services = services
        self._excluded: tuple[types.UpstreamId, ...] = ()

    def exclude(self, upstream: types.UpstreamId) -> None:
        """Request no more permits for `upstream`, where the call failed."""
        self._excluded = (*self._excluded, upstream)

    def exclude_upstreams_without_resume(self) -> None:
        """Exclude engines that cannot resume after the delivered events."""
        upstreams = self._call.configuration.upstreams_by_id.values()
        self._excluded += tuple(
            upstream.id
            for upstream in upstreams
            if upstream.pool == self._call.resolved.service.pool
            and not upstream.resumes
            and upstream.id not in self._excluded
        )

    async def obtain(
        self,
    ) -> permit_types.Permit | permit_types.PermitRefusal:
        """Ask the own domain's shards first, then other reachable ones.

        Before a request is refused for lack of capacity, other shards are
        asked, so that no high tier is refused here while lower tiers are
        admitted elsewhere.
        """
        first_refusal: permit_types.PermitRefusal | None = None
        search = shard_search.ShardSearch(
            call=self._call, services=self._services
        )
        while (shard := search.next_shard()) is not None:
            result = await self._services.permits.obtain(
                self._wanted(shard, search.begin_ask(shard))
            )
            if isinstance(result, permit_types.Permit):
                return result
            self._services.add_step(
                self._call,
                "permit-refused",
                f"{result.reason.value} by {result.dispatcher or 'nobody'} "
                f"for {shard}",
            )
            search.record_refusal(shard, result)
            if first_refusal is None:
                first_refusal = result
            if result.reason not in _CAPACITY_REASONS:
                break
        return first_refusal or permit_types.PermitRefusal(
            reason=outcomes.Reason.NO_UPSTREAM,
            retry_after_seconds=_DEFAULT_RETRY_AFTER_SECONDS,
        )

    def usable_upstream(
        self, permit: permit_types.Permit
    ) -> model.Upstream | None:
        """Return the permit's upstream if the permit may still be used.

        Between grant and use, the process may have been frozen or the
        upstream may have started to leave; such a permit must not be used.
        """
        fresh = self._services.permits.is_fresh(
            permit, maximum_age_seconds=MAXIMUM_PERMIT_AGE_SECONDS
        )
        if not fresh or self._services.fleet.is_leaving(permit.upstream):
            return None
        configuration = self._services.fleet.configuration
        return configuration.upstreams_by_id.get(permit.upstream)

    def _wanted(
        self, shard: types.ShardId, silence: permit_types.SilenceLimit | None
    ) -> permit_types.PermitWanted:
        call = self._call
        return permit_types.PermitWanted(
            request_id=call.request_id,
            shard=shard,
            profile=call.resolved.profile.name,
            organisation=call.resolved.organisation,
            limit_at=call.limit_at,
            target_at=call.target_at,
            prefix_hash=call.resolved.prefix_hash,
            prompt_bytes=len(call.body),
            excluded=self._excluded,
            revision=call.configuration.revision,
            model=call.resolved.model,
            silence=silence,
        )
