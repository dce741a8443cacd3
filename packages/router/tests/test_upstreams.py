"""Beliefs about upstreams when entries change, vanish and come back."""

import copy

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lagoonrun_router import upstreams
from lagoonrun_standins.router_samples import make_registration


@pytest.fixture
def directory():
    return upstreams.UpstreamDirectory()


def ids(directory, now=1000.0):
    return [one.id for one in directory.usable("portal", now=now)]


def listed(directory, *names, now=1000.0):
    directory.apply_listing(
        [make_registration(name) for name in names], now=now
    )


def test_only_upstreams_of_the_pool_are_usable(directory):
    listed(directory, "u-1")
    directory.apply_entry(make_registration("v", pool="other"), now=1000.0)
    assert ids(directory) == ["u-1"]


def test_leaving_upstream_gets_nothing_and_does_not_come_back(directory):
    """A lagging reader shows an upstream as serving after it said it leaves.

    A request sent to it then reaches a process that is about to exit.
    """
    listed(directory, "u-1", "u-2")
    directory.apply_entry(make_registration("u-1", leaving=True), now=1000.0)
    directory.apply_entry(make_registration("u-1"), now=1001.0)
    assert ids(directory, 1001.0) == ["u-2"]
    assert not directory.may_send("u-1", now=1001.0)


@pytest.mark.parametrize("gone", [False, True], ids=["leaving", "gone"])
def test_upstream_that_starts_again_is_used(directory, gone):
    """An upstream says that it leaves, ends, and starts again under its id.

    Held back as the one that left, it would idle while the others drown.
    """
    listed(directory, "u-1", "u-2")
    directory.apply_entry(make_registration("u-1", leaving=True), now=1000.0)
    if gone:
        directory.apply_removal("u-1", now=1001.0)
    directory.apply_entry(make_registration("u-1", start=5), now=1002.0)
    assert ids(directory, 1002.0) == ["u-1", "u-2"]
    assert directory.may_send("u-1", now=1002.0)


def test_entry_of_an_earlier_start_changes_nothing(directory):
    """A lagging reader hands on what an upstream said before its restart.

    It said that it leaves: taken as news, that would idle the new process.
    """
    directory.apply_entry(make_registration("u-1", start=9), now=1000.0)
    old = make_registration("u-1", start=5, leaving=True, port=1)
    directory.apply_entry(old, now=1001.0)
    directory.mark_leaving("u-1", start=5, source="vm-2")
    (known,) = directory.usable("portal", now=1001.0)
    assert (known.start, known.port) == (9, 9000)
    assert directory.pop_restarted() == ()
    directory.mark_leaving("u-1", start=9, source="vm-2")
    assert ids(directory, 1001.0) == []


def test_restart_is_told_once_with_what_was_known_before(directory):
    directory.apply_entry(make_registration("u-1", start=5), now=1000.0)
    directory.apply_entry(make_registration("u-1", start=5), now=1001.0)
    directory.apply_entry(make_registration("u-1", start=9, port=1), now=1002.0)
    (restarted,) = directory.pop_restarted()
    assert (restarted.before.port, restarted.heard_at) == (9000, 1001.0)
    assert directory.pop_restarted() == ()


def test_unreadable_entry_names_no_upstream_until_it_is_good_again(directory):
    """Another writer overwrites an upstream's entry, and the upstream its own.

    In between the entry names nobody, also where most of the pool is hit.
    The others hold.
    """
    listed(directory, "u-1", "u-2")
    directory.mark_unreadable("u-1")
    assert ids(directory) == ["u-2"]
    directory.apply_listing(
        [make_registration("u-2")], unreadable=["u-1"], now=1000.5
    )
    assert not directory.may_send("u-1", now=1000.5)
    directory.mark_unreadable("u-2")
    assert ids(directory, 1001.0) == []
    directory.apply_entry(make_registration("u-1"), now=1002.0)
    assert ids(directory, 1002.0) == ["u-1"]
    directory.apply_removal("u-2", now=1002.0)
    assert ids(directory, 1002.0) == ["u-1"]


def test_removed_upstream_gets_nothing_where_others_serve(directory):
    """An upstream leaves without a word: only its entry goes away.

    It serves on for two seconds and exits; requests must stop before that.
    """
    listed(directory, "u-1", "u-2", "u-3")
    directory.apply_removal("u-3", now=1000.0)
    assert ids(directory, 1000.0) == ["u-1", "u-2"]


def test_cut_off_vm_drops_what_left_meanwhile(directory):
    """A VM is cut off from the store; an upstream is replaced meanwhile.

    After the cut the listing lacks it, as it would after entries ran out.
    The store was fine, and most of the pool is registered: it has left.
    """
    listed(directory, "u-1", "u-2", "u-3")
    directory.on_store_unreachable()
    directory.on_store_reachable(now=1012.0)
    listed(directory, "u-1", "u-2", "new", now=1012.0)
    assert ids(directory, 1012.1) == ["new", "u-1", "u-2"]


def test_entries_that_ran_out_stay_usable_until_they_can_be_back(directory):
    """The store is down for so long that all entries run out.

    Upstreams write them anew within two seconds of its return. Callers see
    no refusal in between.
    """
    listed(directory, "u-1", "u-2", "u-3")
    directory.on_store_unreachable()
    directory.on_store_reachable(now=1010.0)
    listed(directory, now=1010.0)
    assert ids(directory, 1010.1) == ["u-1", "u-2", "u-3"]
    directory.apply_entry(make_registration("u-2"), now=1011.0)
    assert ids(directory, 1011.0) == ["u-1", "u-2", "u-3"]
    directory.apply_entry(make_registration("u-1"), now=1011.2)
    assert ids(directory, 1011.2) == ["u-1", "u-2"]
    gone = 1010.0 + upstreams.LEASE_EXPIRY_GRACE_SECONDS
    assert ids(directory, gone) == ["u-1", "u-2"]


def test_lapse_is_seen_without_any_failed_call(directory):
    """A watch spans an outage, so that no call of ours failed.

    All entries are removed at once, which operators never do.
    """
    listed(directory, "u-1", "u-2", "u-3")
    for name in ("u-1", "u-2", "u-3"):
        directory.apply_removal(name, now=1000.0)
    assert ids(
        directory, 1000.0 + upstreams.LEASE_EXPIRY_GRACE_SECONDS - 0.1
    ) == [
        "u-1",
        "u-2",
        "u-3",
    ]
    assert ids(directory, 1000.0 + upstreams.LEASE_EXPIRY_GRACE_SECONDS) == []


def test_absent_upstream_may_register_again(directory):
    """An upstream is cut off from the store for a while and then returns."""
    listed(directory, "u-1", "u-2")
    directory.apply_removal("u-2", now=1000.0)
    assert ids(directory, 1010.0) == ["u-1"]
    directory.apply_entry(make_registration("u-2"), now=1011.0)
    assert ids(directory, 1011.0) == ["u-1", "u-2"]


def test_upstream_whose_address_another_has_is_gone_for_good(directory):
    listed(directory, "u-1", "u-2")
    directory.mark_gone("u-1", source="answer")
    listed(directory, "u-1", "u-2", now=1001.0)
    assert ids(directory, 1001.0) == ["u-2"]


def test_peers_hear_of_the_newest_leaving_upstreams(directory):
    listed(directory, *(f"u-{n}" for n in range(40)))
    for n in range(40):
        directory.mark_leaving(f"u-{n}", start=0, source="vm-2")
    assert directory.leaving[-1].upstream == "u-39"
    assert len(directory.leaving) <= 16


def test_upstream_that_ended_before_a_restore_does_not_come_back(directory):
    """It left without a word; an older copy of the store has its entry still.

    Work sent there reaches nobody, or a process that has its address by now.
    """
    listed(directory, "u-1", "u-2", "u-3")
    directory.apply_removal("u-1", now=1000.0)
    assert "u-1" not in ids(directory, 1005.0)
    directory.on_store_restored(now=1006.0)
    listed(directory, "u-1", "u-2", "u-3", now=1006.0)
    assert ids(directory, 1006.0) == ["u-2", "u-3"]


def test_upstream_that_lives_after_a_restore_is_back_by_its_own_word(directory):
    """Its entry had run out in an outage, and it registers again."""
    listed(directory, "u-1", "u-2", "u-3")
    directory.apply_removal("u-1", now=1000.0)
    assert "u-1" not in ids(directory, 1005.0)
    directory.on_store_restored(now=1006.0)
    listed(directory, "u-1", "u-2", "u-3", now=1006.0)
    directory.apply_entry(make_registration("u-1"), now=1007.0)
    assert ids(directory, 1007.0) == ["u-1", "u-2", "u-3"]


def test_upstreams_that_a_copy_lacks_have_time_to_register_again(directory):
    """They started after the copy was made, and have work."""
    listed(directory, "u-1", "u-2", "u-3")
    directory.on_store_restored(now=1000.0)
    listed(directory, "u-1", "u-2", now=1000.0)
    later = 1000.0 + upstreams.REMOVAL_GRACE_SECONDS
    assert directory.may_send("u-3", now=later)
    directory.apply_entry(make_registration("u-3"), now=1002.0)
    assert ids(directory, 1010.0) == ["u-1", "u-2", "u-3"]


def test_upstream_that_stays_away_after_a_restore_is_gone(directory):
    listed(directory, "u-1", "u-2", "u-3")
    directory.on_store_restored(now=1000.0)
    listed(directory, "u-1", "u-2", now=1000.0)
    later = 1000.0 + upstreams.LEASE_EXPIRY_GRACE_SECONDS
    assert not directory.may_send("u-3", now=later)


class LeavingMachine(RuleBasedStateMachine):
    """Events in any order never bring a leaving upstream back."""

    names = st.sampled_from([f"u-{n}" for n in range(5)])

    def __init__(self):
        super().__init__()
        self.directory = upstreams.UpstreamDirectory()
        self.now = 1000.0
        self.left = set()
        self.removed = {}

    @rule(name=names)
    def entry(self, name):
        """Write an entry."""
        self.directory.apply_entry(make_registration(name), now=self.now)
        self.removed.pop(name, None)

    @rule(name=names)
    def leaving(self, name):
        """Let an upstream say that it leaves."""
        self.directory.apply_entry(
            make_registration(name, leaving=True), now=self.now
        )
        self.left.add(name)

    @rule(name=names)
    def removal(self, name):
        """Remove an entry."""
        self.directory.apply_removal(name, now=self.now)
        self.removed.setdefault(name, self.now)

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        """Time passes."""
        self.now += seconds

    @rule()
    def store_lost(self):
        """Lose the store."""
        self.directory.on_store_unreachable()

    @rule()
    def store_regained(self):
        """Regain the store."""
        self.directory.on_store_reachable(now=self.now)

    @invariant()
    def leaving_gets_nothing(self):
        """Check that what leaves is never usable."""
        usable = {
            one.id for one in self.directory.usable("portal", now=self.now)
        }
        assert not usable & self.left

    @invariant()
    def missing_is_dropped_in_the_end(self):
        """Check that nothing is missing for a minute and usable."""
        later = copy.deepcopy(self.directory)
        later.on_store_reachable(now=self.now)
        usable = {one.id for one in later.usable("portal", now=self.now + 60)}
        assert not usable & self.removed.keys()


TestLeaving = LeavingMachine.TestCase
