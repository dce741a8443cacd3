"""Slots of the runners: taken, freed once, and settled with the payer."""

from lagoonrun_core import outcomes, types
from lagoonrun_policy import messages, permit_table, shard

_DIGEST_GRACE_SECONDS = 2.0
_MAX_MISSED_DIGESTS = 2
_INTERRUPTED_OUTCOMES = frozenset(
    {outcomes.Outcome.PARTIAL, outcomes.Outcome.UNKNOWN}
)


class SlotAccounting:
    """Keeps ledger, runner counts and organisations' charges in step.

    Parameters
    ----------
    shared
        The shard whose slots these are.
    """

    def __init__(self, *, shard_state: shard.ShardState) -> None:
        self._shard = shard_state
        self.permits = permit_table.PermitTable()

    def occupy(self, running: permit_table.RunningPermit) -> None:
        """Take a slot for granted work."""
        self.permits.add_running(running)
        self._shard.pool.get_or_add(running.upstream).occupy()
        if running.state is not None:
            running.state.running += 1
            running.state.floor_running += int(running.floor)

    def release(
        self, running: permit_table.RunningPermit, *, tokens: float
    ) -> None:
        """Free the slot of granted work, once, and settle its charge."""
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
        """Set what the work's organisation has been charged for it."""
        if running.state is not None:
            running.state.queue.charge(
                running.organisation, tokens - running.charged
            )
        running.charged = tokens

    def withdraw(self, key: messages.PermitKey) -> None:
        """Take a waiting request out; nothing if it does not wait."""
        queued = self.permits.remove_queued(key)
        if queued is not None:
            queued.state.queue.remove(queued.waiting)

    def register_running(
        self,
        work: messages.InFlight,
        ingress: types.EntryVmId,
        now: float,
    ) -> None:
        """Count work that another dispatcher granted, or that we forgot."""
        self.withdraw(work.key)
        running = permit_table.RunningPermit(
            key=work.key,
            ingress=ingress,
            state=self._shard.by_profile.get(work.profile),
            organisation=work.organisation,
            upstream=work.upstream,
            granted_at=now - work.running_seconds,
            tokens=work.tokens,
            progressed_at=now,
        )
        self.occupy(running)
        self.charge(running, float(max(work.tokens, 1)))

    def require_next_digest(self) -> None:
        """Let one digest that does not name granted work end it.

        While the process did not run, connections to it were given up, and
        with them the ends that waited there. Digests come after what was
        granted before the stall, so that what the first of them does not
        name is over; waiting for a second one would leave slots empty.
        """
        for running in self.permits.running_by_key.values():
            running.missed_digests = _MAX_MISSED_DIGESTS - 1

    def record_unlisted(self, key: messages.PermitKey, now: float) -> None:
        """Drop what its ingress no longer names.

        A grant or a request may still be on its way, and a digest may have
        been held up; only what is old and missing twice is over.
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
        """Learn service times and the runner's health from an end."""
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
