"""Seek a permit for one call, in the own failure domain and in others."""

from lagoonrun_config import model
from lagoonrun_core import outcomes, types
from lagoonrun_daemon import call as calls
from lagoonrun_daemon import permit_types, shard_search
from lagoonrun_daemon import services as daemon_services

MAXIMUM_PERMIT_AGE_SECONDS = 1.0
"""An older permit is given back: its upstream may be leaving by now."""

_FLAT_RETRY_AFTER_SECONDS = 1.0
_ROOM_REASONS = frozenset(
    {
        outcomes.Reason.QUEUE_FULL,
        outcomes.Reason.SHED_FOR_HIGHER_TIER,
        outcomes.Reason.DEADLINE,
        outcomes.Reason.NO_UPSTREAM,
        outcomes.Reason.NO_DISPATCHER,
    }
)


class PermitSeeker:
    """Ask one shard after the other for a permit.

    Parameters
    ----------
    call
        The call that is to be sent.
    services
        Shared parts of the daemon.
    """

    def __init__(
        self, *, call: calls.Call, services: daemon_services.Services
    ) -> None:
        self._call = call
        self._services = services
        self._excluded: tuple[types.UpstreamId, ...] = ()

    def exclude(self, upstream: types.UpstreamId) -> None:
        """Never again take a permit for `upstream`, which failed the call."""
        self._excluded = (*self._excluded, upstream)

    def exclude_upstreams_without_resume(self) -> None:
        """Leave only engines that can go on after the delivered events."""
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
        """Ask the own domain's shard first, then others that are reachable.

        Before a request is refused for room, other shards are asked, so that
        no high tier is refused here while lower ones are admitted there.
        """
        first_refusal: permit_types.PermitRefusal | None = None
        search = shard_search.ShardSearch(
            call=self._call, services=self._services
        )
        while (shard := search.next_shard()) is not None:
            answer = await self._services.permits.obtain(
                self._wanted(shard, search.limits(shard))
            )
            if isinstance(answer, permit_types.Permit):
                return answer
            self._services.note(
                self._call,
                "permit-refused",
                f"{answer.reason.value} by {answer.dispatcher or 'nobody'} "
                f"for {shard}",
            )
            search.note_refusal(shard, answer)
            if first_refusal is None:
                first_refusal = answer
            if answer.reason not in _ROOM_REASONS:
                break
        return first_refusal or permit_types.PermitRefusal(
            reason=outcomes.Reason.NO_UPSTREAM,
            retry_after_seconds=_FLAT_RETRY_AFTER_SECONDS,
        )

    def usable_upstream(
        self, permit: permit_types.Permit
    ) -> model.Upstream | None:
        """Check a permit again at its point of use.

        Between grant and use the process may have been frozen or the
        upstream may have begun to leave; such a permit is not used.
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
