"""The member table against an oracle that replays all updates."""

import dataclasses

import hypothesis
import pytest
from hypothesis import stateful, strategies

from lagoonrun_membership import members, sizes
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import codec, messages

_ALIVE = messages.MemberState.ALIVE
_SUSPECT = messages.MemberState.SUSPECT
_LEAVING = messages.MemberState.LEAVING
_DEAD = messages.MemberState.DEAD
_TIMING = timings.Timing(forget_seconds=10_000.0)
_NAMES = ("vm-1", "vm-2")


@dataclasses.dataclass
class _Received:
    """One update that the oracle received about a member."""

    at: float
    state: messages.MemberState
    incarnation: int
    direct: bool


def _replay(received, now):
    """Return (state, incarnation) after all updates, or None.

    The rules are applied from scratch: the highest incarnation counts, and
    within it LEAVING and DEAD are never revoked.
    """
    incarnation = None
    leaving = dead = False
    until = None
    for update in received:
        if until is not None and update.at >= until:
            dead, until = True, None
        if incarnation is None and update.state is _DEAD:
            continue
        if incarnation is not None and update.incarnation < incarnation:
            continue
        if incarnation is None or update.incarnation > incarnation:
            still_dead = dead and update.state is _DEAD
            dead, until = still_dead, None
            if update.state in (_ALIVE, _LEAVING):
                leaving = False
            incarnation = update.incarnation
        if dead:
            continue
        leaving |= update.state is _LEAVING
        if update.state is _SUSPECT and until is None:
            until = update.at + _TIMING.suspicion_seconds
        elif update.state is _DEAD and (update.direct or leaving):
            dead, until = True, None
        elif update.state is _DEAD:
            disputed_until = update.at + _TIMING.dispute_seconds
            until = (
                disputed_until if until is None else min(until, disputed_until)
            )
    if incarnation is None:
        return None
    if dead or (until is not None and now >= until):
        return _DEAD, incarnation
    if leaving:
        return _LEAVING, incarnation
    return (_ALIVE if until is None else _SUSPECT), incarnation


class MemberTableMachine(stateful.RuleBasedStateMachine):
    """Applies any updates about two members in any order, as time passes."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.table = members.MemberTable(
            own=_update("self", _ALIVE, 1), timing=_TIMING
        )
        self.received_by_name = {name: [] for name in _NAMES}
        self.dead_at_by_name = {}

    @stateful.rule(
        name=strategies.sampled_from(_NAMES),
        state=strategies.sampled_from(messages.MemberState),
        incarnation=strategies.integers(1, 4),
        direct=strategies.booleans(),
    )
    def receive_update(self, name, state, incarnation, direct):
        """Apply any update, old or new."""
        self.table.apply(
            _update(name, state, incarnation), direct=direct, now=self.now
        )
        self.received_by_name[name].append(
            _Received(self.now, state, incarnation, direct)
        )

    @stateful.rule(name=strategies.sampled_from(_NAMES))
    def miss_answer(self, name):
        """Suspect a member after an unanswered probe."""
        known = _replay(self.received_by_name[name], self.now)
        self.table.suspect(name, now=self.now)
        if known is not None:
            self.received_by_name[name].append(
                _Received(self.now, _SUSPECT, known[1], False)
            )

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 2.5, 3.0]))
    def let_time_pass(self, seconds):
        """Advance the time and expire deadlines."""
        self.now += seconds
        self.table.expire(self.now)

    @stateful.invariant()
    def agrees_with_the_oracle(self):
        """Compare state and incarnation with the replay."""
        for name, received in self.received_by_name.items():
            view = self.table.view(name)
            found = view and (view.state, view.incarnation)
            assert found == _replay(received, self.now)

    @stateful.invariant()
    def no_old_update_brings_a_dead_member_back(self):
        """Check that dead members return only in a higher incarnation."""
        for name in _NAMES:
            view = self.table.view(name)
            if view is None:
                continue
            if view.state is _DEAD:
                self.dead_at_by_name[name] = view.incarnation
            elif name in self.dead_at_by_name:
                assert view.incarnation > self.dead_at_by_name[name]

    @stateful.invariant()
    def digests_equal_those_of_a_fresh_table(self):
        """Compare the incremental digests with those of a fresh table."""
        fresh = members.MemberTable(own=self.table.own, timing=_TIMING)
        for name in _NAMES:
            view = self.table.view(name)
            if view is not None and view.state is not _DEAD:
                fresh.apply(view, direct=False, now=self.now)
        assert fresh.records.digests == self.table.records.digests


def _update(name, state, incarnation, **fields):
    return messages.MemberUpdate(
        **{
            "entry_vm": name,
            "domain": "north",
            "incarnation": incarnation,
            "state": state,
            "peer_host": "127.0.0.1",
            "peer_port": 9000,
            "admin_port": 9100,
            "revision": 0,
            "digest": "",
            **fields,
        }
    )


MemberTableMachine.TestCase.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=120, stateful_step_count=25
)
test_member_table = MemberTableMachine.TestCase


@pytest.fixture
def table():
    return members.MemberTable(own=_update("self", _ALIVE, 5), timing=_TIMING)


@pytest.mark.parametrize(
    ("state", "incarnation", "expected"),
    [
        (_SUSPECT, 5, 6),
        (_DEAD, 5, 6),
        (_DEAD, 9, 10),
        (_ALIVE, 9, 10),
        (_LEAVING, 5, 5),
        (_ALIVE, 5, 5),
        (_SUSPECT, 4, 5),
    ],
)
def test_own_incarnation_exceeds_accusations(
    table, state, incarnation, expected
):
    table.apply(_update("self", state, incarnation), direct=False, now=0.0)
    assert table.own.incarnation == expected
    assert table.own.state is _ALIVE


def test_refutation_while_leaving_has_state_leaving(table):
    table.announce_leaving()
    assert (table.own.state, table.own.incarnation) == (_LEAVING, 6)
    table.apply(_update("self", _SUSPECT, 6), direct=False, now=0.0)
    assert (table.own.state, table.own.incarnation) == (_LEAVING, 7)
    assert table.eligible_in("north") == ()


def test_highest_revision_of_an_incarnation_is_kept(table):
    for revision in (3, 9, 4):
        table.apply(
            _update("vm-1", _ALIVE, 1, revision=revision, digest=str(revision)),
            direct=True,
            now=0.0,
        )
    assert (table.view("vm-1").revision, table.view("vm-1").digest) == (9, "9")


def test_dead_members_are_forgotten_and_not_learned_again(table):
    """Guards against ids of replaced VMs that accumulate.

    If members learned the dead from each other, they would keep reminding each
    other of them forever.
    """
    table.apply(_update("vm-1", _ALIVE, 1), direct=True, now=0.0)
    table.apply(_update("vm-1", _DEAD, 1), direct=True, now=0.0)
    table.expire(_TIMING.forget_seconds)
    assert table.pop_forgotten() == ("vm-1",)
    table.apply(_update("vm-1", _DEAD, 1), direct=False, now=0.0)
    assert table.view("vm-1") is None


def test_pages_cover_the_whole_table_own_domain_first(table):
    for n in range(60):
        domain = "south" if n % 6 == 0 else "west"
        update = _update(f"vm-{n}", _ALIVE, 1, domain=domain)
        table.apply(update, direct=True, now=0.0)
    seen = []
    after = ""
    while len(seen) < 61:
        page = table.records.page(
            tuple(range(8)), domain="south", after=after, size=500
        )
        assert page
        assert sum(map(sizes.of_member, page)) <= 500
        seen += [update.entry_vm for update in page]
        after = seen[-1]
    assert len(set(seen[:61])) == 61
    assert all(int(name[3:]) % 6 == 0 for name in seen[:10])


_TEXT = strategies.text(max_size=40)
_NUMBER = strategies.integers(0, 2**64 - 1)
_RECORDS = strategies.one_of(
    strategies.builds(
        messages.MemberUpdate,
        entry_vm=_TEXT,
        domain=_TEXT,
        incarnation=_NUMBER,
        state=strategies.sampled_from(messages.MemberState),
        peer_host=_TEXT,
        peer_port=_NUMBER,
        admin_port=_NUMBER,
        revision=_NUMBER,
        digest=_TEXT,
    ),
    strategies.builds(
        messages.UpstreamUpdate,
        upstream=_TEXT,
        incarnation=_NUMBER,
        leaving=strategies.booleans(),
    ),
    strategies.builds(
        messages.ShardSummary,
        shard=_TEXT,
        dispatcher=_TEXT,
        free=_NUMBER,
        lowest_waiting_tier=_NUMBER,
        lowest_running_tier=_NUMBER,
        wait_seconds=strategies.floats(0, 1e9),
        age_seconds=strategies.floats(0, 1e9),
    ),
)
_SIZES_BY_TYPE = {
    messages.MemberUpdate: ("members", sizes.of_member),
    messages.UpstreamUpdate: ("upstreams", sizes.of_upstream),
    messages.ShardSummary: ("shards", sizes.of_shard),
}


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(record=_RECORDS)
def test_estimated_size_is_an_upper_bound(record):
    field, size_of = _SIZES_BY_TYPE[type(record)]
    empty = messages.Ping(sequence=1, source="vm")
    full = dataclasses.replace(empty, **{field: (record,) * 4})
    bytes_used = len(codec.encode(full)) - len(codec.encode(empty))
    list_header = 16
    assert bytes_used <= 4 * size_of(record) + list_header
