"""The state compared with a model that copies all keys at each revision."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lagoonrun_core import clock as clock_lib
from lagoonrun_standins import key_value_state as state_lib

KEYS = st.sampled_from([b"a", b"b", b"c"])
ALL_KEYS = state_lib.KeyRange(key=b"a", end=b"\0")


class StateMachine(stateful.RuleBasedStateMachine):
    """Random sequences of puts, deletes, leases and compactions."""

    def __init__(self):
        super().__init__()
        self.clock = clock_lib.ManualClock()
        self.reported = []
        self.state = state_lib.KeyValueState(clock=self.clock)
        self.state.on_change = self.reported.extend
        self.values_by_revision = {1: {}}
        self.lease_of_key = {}
        self.expiry_by_lease = {}

    @stateful.rule(key=KEYS, value=st.binary(max_size=2), leased=st.booleans())
    def put(self, key, value, leased):
        """Put a key, with a live lease or without one."""
        lease = min(self.expiry_by_lease, default=0) if leased else 0
        self.state.put(key, value, lease=lease)
        assert self.state.commit()
        self.lease_of_key[key] = lease
        self.record(self.latest() | {key: value})

    @stateful.rule(key=KEYS)
    def delete(self, key):
        """Delete a key; nothing changes if it is absent."""
        existed = key in self.latest()
        self.state.delete(state_lib.KeyRange(key=key))
        assert self.state.commit() is existed
        if existed:
            self.record({k: v for k, v in self.latest().items() if k != key})

    @stateful.rule(ttl_seconds=st.integers(1, 3))
    def grant(self, ttl_seconds):
        """Grant a lease."""
        lease = self.state.grant(ttl_seconds)
        expires_at = self.clock.monotonic() + ttl_seconds
        self.expiry_by_lease[lease.id] = expires_at

    @stateful.rule(seconds=st.integers(1, 2))
    def advance(self, seconds):
        """Advance the clock; the keys of expired leases are deleted."""
        self.clock.advance(seconds)
        self.state.expire()
        now = self.clock.monotonic()
        expired = [i for i, at in self.expiry_by_lease.items() if at <= now]
        for lease in expired:
            del self.expiry_by_lease[lease]
            latest = self.latest()
            kept = {
                k: v for k, v in latest.items() if self.lease_of_key[k] != lease
            }
            if kept != latest:
                self.record(kept)

    @stateful.rule(behind=st.integers(0, 3))
    def compact(self, behind):
        """Compact old revisions."""
        revision = self.state.revision - behind
        if revision > self.state.compact_revision:
            self.state.compact(revision)

    @stateful.invariant()
    def uncompacted_revisions_match(self):
        """Compare every revision that was not compacted with the model."""
        assert self.state.revision == max(self.values_by_revision)
        oldest = max(1, self.state.compact_revision)
        for revision in range(oldest, self.state.revision + 1):
            found = self.state.get(ALL_KEYS, revision=revision)
            values = {item.key: item.value for item in found}
            assert values == self.values_by_revision[revision]

    @stateful.invariant()
    def every_change_is_reported_once(self):
        """Replay the reported changes in order."""
        values = {}
        for change in self.reported:
            if change.is_deletion:
                del values[change.present.key]
            else:
                values[change.present.key] = change.present.value
        assert values == self.latest()

    def latest(self):
        """Return the model's current values."""
        return self.values_by_revision[max(self.values_by_revision)]

    def record(self, values):
        """Record the values of the next revision in the model."""
        self.values_by_revision[max(self.values_by_revision) + 1] = values


TestStateMachine = StateMachine.TestCase
TestStateMachine.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=25
)
