"""Slots of the runners: occupied, freed exactly once, and charged for."""

from lagoonrun_core import outcomes, types
from lagoonrun_policy import messages, permit_table, shard

_DIGEST_GRACE_SECONDS = 2.0
_MAX_MISSED_DIGESTS = 2
_INTERRUPTED_OUTCOMES = frozenset(
    {outcomes.Outcome.PARTIAL, outcomes.Outcome.UNKNOWN}
)


class SlotAccounting:
    """Keeps permit table, runners and organisations' charges consistent.

    Parameters
    ----------
    shard_state
        The shard that the slots belong to.
    """

    def __init__(self, *, shard_state: shard.ShardState) -> None:
        self._shard = shard_state
        self.permits = permit_table.PermitTable()

    def occupy(self, running: permit_table.RunningPermit) -> None:
        """Occupy a slot for a granted request."""
        self.permits.add_running(running)
        self._shard.pool.get_or_add(running.upstream).occupy()
        if running.state is not None:
            running.state.running += 1
            running.state.floor_running += int(running.floor)

    def release(
        self, running: permit_table.RunningPermit, *, tokens: float
    ) -> None:
        """Free a granted request's slot, once, and set its final charge."""
        if self.permits.remove_running(running.key) is None:
            return
        self.charge(running, tokens)
        if running.state is not None:
            running.state.running -= 1
            running.state.floor_running -= int(running.floor)
        runner = self._shard.pool.get(running.upstream)
        if runner is not None:
            runner.release()
            self._shard.pool.remove_if_idle(runner)

    def charge(
        self, running: permit_table.RunningPermit, tokens: float
    ) -> None:
        """Set the total charged to the organisation for the request."""
        if running.state is not None:
            running.state.queue.charge(
                running.organisation, tokens - running.charged
            )
        running.charged = tokens

    def withdraw(self, key: messages.PermitKey) -> None:
        """Remove a waiting request; no-op if it is not waiting."""
        queued = self.permits.remove_queued(key)
        if queued is not None:
            queued.state.queue.remove(queued.waiting)

    def register_running(
        self,
        request: messages.InFlight,
        ingress: types.EntryVmId,
        now: float,
    ) -> None:
        """Register a running request that is not in the permit table.

        Another dispatcher granted it, or its permit was removed here.
        """
        self.withdraw(request.key)
        running = permit_table.RunningPermit(
            key=request.key,
            ingress=ingress,
            state=self._shard.by_profile.get(request.profile),
            organisation=request.organisation,
            upstream=request.upstream,
            granted_at=now - request.running_seconds,
            tokens=request.tokens,
            progressed_at=now,
        )
        self.occupy(running)
        self.charge(running, float(max(request.tokens, 1)))

    def require_next_digest(self) -> None:
        """Release running requests that the next digest does not list.

        While the process was paused, peers closed their connections to it
        and dropped the end reports queued there. Digests arrive after
        anything granted before the pause, so a request missing from the
        first one has ended; waiting for a second would leave slots idle.
        """
        for running in self.permits.running_by_key.values():
            running.missed_digests = _MAX_MISSED_DIGESTS - 1

    def record_unlisted(self, key: messages.PermitKey, now: float) -> None:
        """Record that a digest of its ingress did not list a permit.

        A grant or request may still be in transit, and a digest may have
        been delayed. The permit is removed only if it is older than the
        grace period and was not listed in two digests.
        """
        running = self.permits.running_by_key.get(key)
        if running is not None:
            if now - running.granted_at < _DIGEST_GRACE_SECONDS:
                return
            running.missed_digests += 1
            if running.missed_digests >= _MAX_MISSED_DIGESTS:
                self.release(running, tokens=max(running.tokens, 1))
            return
        queued = self.permits.queued_by_key[key]
        if now - queued.waiting.arrived_at < _DIGEST_GRACE_SECONDS:
            return
        queued.missed_digests += 1
        if queued.missed_digests >= _MAX_MISSED_DIGESTS:
            self.withdraw(key)

    def record_end(
        self,
        event: messages.PermitEnded,
        running: permit_table.RunningPermit,
        in_flight: int,
        now: float,
    ) -> None:
        """Update service times and the runner's health from an end report."""
        if running.state is None:
            return
        profile = running.state.policy.name
        self._shard.pool.record_end(
            ended=event,
            upstream=running.upstream,
            profile=profile,
            in_flight=in_flight,
            now=now,
        )
        if event.outcome is outcomes.Outcome.COMPLETE:
            running.state.observe_tokens(event.tokens)
            self._shard.services.record(
                profile=profile,
                upstream=running.upstream,
                first_token_seconds=(
                    event.first_token_seconds
                    if running.state.policy.target_on_first_token
                    else 0.0
                ),
                total_seconds=event.total_seconds,
                now=now,
            )
        elif event.outcome in _INTERRUPTED_OUTCOMES:
            self._shard.services.record_lower_bound(
                profile=profile,
                upstream=running.upstream,
                total_seconds=event.total_seconds,
                now=now,
            )
