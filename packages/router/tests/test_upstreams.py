"""States of upstreams when entries change, disappear and are written again."""

import copy

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lagoonrun_router import deferred_entries, removal_grace, upstreams
from lagoonrun_standins import router_samples

NEVER = float("inf")


@pytest.fixture
def directory():
    return upstreams.UpstreamDirectory()


def make_registration(id="u-1", **changes):
    """Return a registration with an address of its own."""
    port = 9000 + sum(id.encode()) - sum(b"u-1")
    return router_samples.make_registration(id, **{"port": port, **changes})


def usable_ids(directory, now=1000.0):
    return [one.id for one in directory.usable("portal", now=now)]


def apply_listing_of(directory, *names, now=1000.0):
    directory.apply_listing(
        [make_registration(name) for name in names], now=now
    )


def test_only_upstreams_of_the_pool_are_usable(directory):
    apply_listing_of(directory, "u-1")
    directory.apply_entry(make_registration("v", pool="other"), now=1000.0)
    assert usable_ids(directory) == ["u-1"]


def test_leaving_upstream_gets_no_requests_and_stays_excluded(directory):
    """A lagging reader reports a leaving upstream as serving.

    A request sent to it would reach a process that is about to exit.
    """
    apply_listing_of(directory, "u-1", "u-2")
    directory.apply_entry(make_registration("u-1", leaving=True), now=1000.0)
    directory.apply_entry(make_registration("u-1"), now=1001.0)
    assert usable_ids(directory, 1001.0) == ["u-2"]
    assert not directory.may_send("u-1", now=1001.0)


def test_leaving_upstream_continues_streams_for_a_second(directory):
    """Guards against requests that reach an upstream that is about to end."""
    apply_listing_of(directory, "u-1", "u-2")
    directory.apply_entry(make_registration("u-1", leaving=True), now=1000.0)
    directory.apply_entry(make_registration("u-1", leaving=True), now=1000.9)
    (leaving,) = directory.leaving_recently("portal", now=1000.9)
    assert leaving.id == "u-1"
    assert directory.may_continue("u-1", now=1000.9)
    assert directory.leaving_recently("portal", now=1001.0) == ()
    assert not directory.may_continue("u-1", now=1001.0)


def test_upstream_that_was_leaving_when_found_continues_nothing(directory):
    """Guards against an entry VM that starts and takes old notices for new."""
    directory.apply_entry(make_registration("u-1", leaving=True), now=1000.0)
    assert directory.leaving_recently("portal", now=1000.0) == ()
    assert not directory.may_continue("u-1", now=1000.0)


@pytest.mark.parametrize("gone", [False, True], ids=["leaving", "gone"])
def test_upstream_that_starts_again_is_used(directory, gone):
    """An upstream announces its exit, ends and restarts under the same id.

    If it were still excluded as leaving, it would idle while others are
    overloaded.
    """
    apply_listing_of(directory, "u-1", "u-2")
    directory.apply_entry(make_registration("u-1", leaving=True), now=1000.0)
    if gone:
        directory.apply_removal("u-1", now=1001.0)
    directory.apply_entry(make_registration("u-1", start=5), now=1002.0)
    assert usable_ids(directory, 1002.0) == ["u-1", "u-2"]
    assert directory.may_send("u-1", now=1002.0)


def test_entry_of_an_earlier_start_changes_nothing(directory):
    """A lagging reader reports an upstream's entry of before its restart.

    That entry says that it leaves; if applied, it would exclude the new
    process.
    """
    directory.apply_entry(make_registration("u-1", start=9), now=1000.0)
    old = make_registration("u-1", start=5, leaving=True, port=1)
    directory.apply_entry(old, now=1001.0)
    directory.mark_leaving("u-1", start=5, source="vm-2", now=1000.0)
    (known,) = directory.usable("portal", now=1001.0)
    assert (known.start, known.port) == (9, 9000)
    assert directory.pop_restarted() == ()
    directory.mark_leaving("u-1", start=9, source="vm-2", now=1000.0)
    assert usable_ids(directory, 1001.0) == []


def test_restart_is_reported_once_with_the_previous_registration(directory):
    directory.apply_entry(make_registration("u-1", start=5), now=1000.0)
    directory.apply_entry(make_registration("u-1", start=5), now=1001.0)
    directory.apply_entry(make_registration("u-1", start=9, port=1), now=1002.0)
    (restarted,) = directory.pop_restarted()
    assert (restarted.before.port, restarted.heard_at) == (9000, 1001.0)
    assert directory.pop_restarted() == ()


def test_change_of_the_version_is_a_restart(directory):
    """Guards against streams that go on over connections to another version.

    An upstream that states no start number restarts under its id.
    """
    directory.apply_entry(make_registration("u-1", version="v1"), now=1000.0)
    directory.apply_entry(make_registration("u-1", version="v1"), now=1001.0)
    assert directory.pop_restarted() == ()
    directory.apply_entry(make_registration("u-1", version="v2"), now=1002.0)
    (restarted,) = directory.pop_restarted()
    assert (restarted.before.version, restarted.heard_at) == ("v1", 1001.0)
    assert directory.registration_of("u-1").version == "v2"


def test_upstream_with_an_unreadable_entry_is_unusable_until_it_is_valid(
    directory,
):
    """An upstream's entry is overwritten by another writer, then written again.

    In between the upstream is not used, even if most of the pool is affected,
    and other entries stay in force.
    """
    apply_listing_of(directory, "u-1", "u-2")
    directory.mark_unreadable("u-1")
    assert usable_ids(directory) == ["u-2"]
    directory.apply_listing(
        [make_registration("u-2")], unreadable=["u-1"], now=1000.5
    )
    assert not directory.may_send("u-1", now=1000.5)
    directory.mark_unreadable("u-2")
    assert usable_ids(directory, 1001.0) == []
    directory.apply_entry(make_registration("u-1"), now=1002.0)
    assert usable_ids(directory, 1002.0) == ["u-1"]
    directory.apply_removal("u-2", now=1002.0)
    assert usable_ids(directory, 1002.0) == ["u-1"]


def test_removed_upstream_gets_no_requests_where_others_serve(directory):
    """An upstream leaves without an announcement: only its entry is removed.

    It serves for two more seconds and exits; requests must stop before that.
    """
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    directory.apply_removal("u-3", now=1000.0)
    assert usable_ids(directory, 1000.0) == ["u-1", "u-2"]


def test_cut_off_vm_drops_upstreams_that_left_during_the_cut(directory):
    """A VM is cut off from the store while an upstream is replaced.

    The listing afterwards lacks it, as it would if leases had expired. But most
    of the pool is registered, so it has left.
    """
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    directory.on_store_unreachable()
    directory.on_store_reachable(now=1012.0)
    apply_listing_of(directory, "u-1", "u-2", "new", now=1012.0)
    assert usable_ids(directory, 1012.1) == ["new", "u-1", "u-2"]


def test_expired_entries_stay_usable_until_they_can_be_renewed(directory):
    """The store is down for so long that the leases of all entries expire.

    Upstreams write them again within two seconds after the outage. No request
    may be rejected in between.
    """
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    directory.on_store_unreachable()
    directory.on_store_reachable(now=1010.0)
    apply_listing_of(directory, now=1010.0)
    assert usable_ids(directory, 1010.1) == ["u-1", "u-2", "u-3"]
    directory.apply_entry(make_registration("u-2"), now=1011.0)
    assert usable_ids(directory, 1011.0) == ["u-1", "u-2", "u-3"]
    directory.apply_entry(make_registration("u-1"), now=1011.2)
    assert usable_ids(directory, 1011.2) == ["u-1", "u-2"]
    expired_at = 1010.0 + removal_grace.LEASE_EXPIRY_GRACE_SECONDS
    assert usable_ids(directory, expired_at) == ["u-1", "u-2"]


LAST_SEND_SECONDS = 1.8
"""Time after a removal at which no request may be sent any more: requests must
not arrive later than 2 s after it, and the news and they take some time."""


def test_upstreams_that_leave_after_an_outage_get_nothing_late(directory):
    """Guards against a removal that is taken for a lease expired before.

    The store has been back for so long that all that live have registered.
    """
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    directory.on_store_unreachable()
    directory.on_store_reachable(now=1010.0)
    apply_listing_of(directory, "u-1", "u-2", "u-3", now=1010.0)
    for name in ("u-1", "u-2"):
        directory.apply_removal(name, now=1013.1)
    assert usable_ids(directory, 1013.1 + LAST_SEND_SECONDS) == ["u-3"]


def test_upstreams_that_leave_in_an_outage_are_kept_until_its_end(directory):
    """Guards against refusals while those that live register again."""
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    directory.on_store_unreachable()
    directory.on_store_reachable(now=1010.0)
    for name in ("u-1", "u-2", "u-3"):
        directory.apply_removal(name, now=1010.2)
    assert len(usable_ids(directory, 1012.4)) == 3
    directory.apply_entry(make_registration("u-1"), now=1012.4)
    assert usable_ids(directory, 1012.4) == ["u-1", "u-2", "u-3"]
    assert usable_ids(directory, 1012.5) == ["u-1"]


def test_upstreams_that_leave_before_an_outage_get_nothing_late(directory):
    """Guards against an outage that prolongs the use of those that have left."""
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    for name in ("u-1", "u-2"):
        directory.apply_removal(name, now=1000.0)
    directory.on_store_unreachable()
    assert usable_ids(directory, 1000.0 + LAST_SEND_SECONDS) == ["u-3"]


def test_most_upstreams_that_leave_at_once_get_nothing_late(directory):
    """Guards against requests to all but one of few upstreams that leave."""
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    for name in ("u-1", "u-2"):
        directory.apply_removal(name, now=1000.0)
    assert usable_ids(directory, 1000.0 + LAST_SEND_SECONDS) == ["u-3"]


def test_lease_expiry_is_detected_without_a_failed_call(directory):
    """A watch lasts through an outage, so that no call of the entry VM fails.

    All entries are removed at once, which operators never do.
    """
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    for name in ("u-1", "u-2", "u-3"):
        directory.apply_removal(name, now=1000.0)
    assert usable_ids(
        directory, 1000.0 + removal_grace.LEASE_EXPIRY_GRACE_SECONDS - 0.1
    ) == [
        "u-1",
        "u-2",
        "u-3",
    ]
    assert (
        usable_ids(directory, 1000.0 + removal_grace.LEASE_EXPIRY_GRACE_SECONDS)
        == []
    )


def test_absent_upstream_may_register_again(directory):
    """An upstream is cut off from the store for a while and then returns."""
    apply_listing_of(directory, "u-1", "u-2")
    directory.apply_removal("u-2", now=1000.0)
    assert usable_ids(directory, 1010.0) == ["u-1"]
    directory.apply_entry(make_registration("u-2"), now=1011.0)
    assert usable_ids(directory, 1011.0) == ["u-1", "u-2"]


def test_upstream_whose_address_another_has_stays_excluded(directory):
    apply_listing_of(directory, "u-1", "u-2")
    directory.mark_gone("u-1", source="answer", now=1000.0)
    apply_listing_of(directory, "u-1", "u-2", now=1001.0)
    assert usable_ids(directory, 1001.0) == ["u-2"]


def test_newest_leaving_upstreams_are_reported(directory):
    apply_listing_of(directory, *(f"u-{n}" for n in range(40)))
    for n in range(40):
        directory.mark_leaving(f"u-{n}", start=0, source="vm-2", now=1000.0)
    assert directory.leaving[-1].upstream == "u-39"
    assert len(directory.leaving) <= 16


def test_upstream_that_ended_before_a_restore_stays_excluded(directory):
    """It left without an announcement; the backup still has its entry.

    Requests sent there would reach no process, or another one at its address.
    """
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    directory.apply_removal("u-1", now=1000.0)
    assert "u-1" not in usable_ids(directory, 1005.0)
    directory.on_store_restored(now=1006.0)
    apply_listing_of(directory, "u-1", "u-2", "u-3", now=1006.0)
    assert usable_ids(directory, 1006.0) == ["u-2", "u-3"]


def test_upstream_alive_after_a_restore_is_usable_when_it_registers(directory):
    """Its lease had expired in an outage, and it registers again."""
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    directory.apply_removal("u-1", now=1000.0)
    assert "u-1" not in usable_ids(directory, 1005.0)
    directory.on_store_restored(now=1006.0)
    apply_listing_of(directory, "u-1", "u-2", "u-3", now=1006.0)
    directory.apply_entry(make_registration("u-1"), now=1007.0)
    assert usable_ids(directory, 1007.0) == ["u-1", "u-2", "u-3"]


def test_upstreams_that_a_backup_lacks_have_time_to_register_again(directory):
    """They started after the backup was made, and have running requests."""
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    directory.on_store_restored(now=1000.0)
    apply_listing_of(directory, "u-1", "u-2", now=1000.0)
    later = 1000.0 + removal_grace.REMOVAL_GRACE_SECONDS
    assert directory.may_send("u-3", now=later)
    directory.apply_entry(make_registration("u-3"), now=1002.0)
    assert usable_ids(directory, 1010.0) == ["u-1", "u-2", "u-3"]


def test_upstream_that_stays_missing_after_a_restore_is_unusable(directory):
    apply_listing_of(directory, "u-1", "u-2", "u-3")
    directory.on_store_restored(now=1000.0)
    apply_listing_of(directory, "u-1", "u-2", now=1000.0)
    later = 1000.0 + removal_grace.LEASE_EXPIRY_GRACE_SECONDS
    assert not directory.may_send("u-3", now=later)


def test_entry_of_another_writer_ends_no_upstream(directory):
    """Guards against a foreign word that outlasts the upstream's own."""
    apply_listing_of(directory, "u-1", "u-2")
    directory.apply_entry(
        make_registration("u-1", leaving=True), rewritten=True, now=1000.0
    )
    directory.apply_entry(make_registration("u-1"), rewritten=True, now=1001.0)
    believed_at = 1001.0 + deferred_entries.REWRITTEN_SECONDS
    assert usable_ids(directory, believed_at - 0.1) == ["u-2"]
    assert usable_ids(directory, believed_at) == ["u-1", "u-2"]


def test_start_of_another_writer_is_corrected(directory):
    """Guards against a foreign start above all that the upstream can have."""
    directory.apply_entry(make_registration("u-1", start=5), now=1000.0)
    directory.apply_entry(
        make_registration("u-1", start=1 << 62, port=9),
        rewritten=True,
        now=1000.0,
    )
    directory.apply_entry(
        make_registration("u-1", start=5), rewritten=True, now=1001.0
    )
    believed_at = 1001.0 + deferred_entries.REWRITTEN_SECONDS
    (usable,) = directory.usable("portal", now=believed_at)
    assert usable == make_registration("u-1", start=5)


def test_late_write_of_the_previous_instance_changes_nothing(directory):
    """Guards against a call of an ended process that the store runs late."""
    directory.apply_entry(make_registration("u-1", start=9), now=1000.0)
    directory.apply_entry(
        make_registration("u-1", start=5, leaving=True),
        rewritten=True,
        now=1001.0,
    )
    directory.apply_entry(
        make_registration("u-1", start=9), rewritten=True, now=1002.2
    )
    assert directory.pop_restarted() == ()
    assert directory.may_send("u-1", now=1100.0)


@pytest.mark.parametrize("told_by", ["answer", "peer"])
def test_upstream_whose_entry_stands_is_tried_again(directory, told_by):
    """Guards against one answer that ends the use of an upstream for good."""
    apply_listing_of(directory, "u-1", "u-2")
    if told_by == "answer":
        directory.mark_gone("u-1", source="answer", now=1000.0)
    else:
        directory.apply_peer_leaving("u-1", start=0, source="vm", now=1000.0)
    believed_at = 1000.0 + deferred_entries.UNCHANGED_SECONDS
    assert usable_ids(directory, believed_at - 0.1) == ["u-2"]
    assert usable_ids(directory, believed_at) == ["u-1", "u-2"]
    directory.apply_peer_leaving(
        "u-1", start=0, source="vm", now=believed_at + 5.0
    )
    assert directory.is_serving("u-1"), "an echo among peers"


def test_upstream_whose_entry_has_ended_is_not_tried_again(directory):
    """Guards against requests to the process that has taken its address."""
    apply_listing_of(directory, "u-1", "u-2")
    directory.mark_gone("u-1", source="answer", now=1000.0)
    directory.apply_removal("u-1", now=1004.0)
    assert usable_ids(directory, 1100.0) == ["u-2"]


def test_entry_proves_nothing_while_the_store_is_not_read(directory):
    """Guards against an entry whose removal could not be seen."""
    apply_listing_of(directory, "u-1", "u-2")
    directory.mark_leaving("u-1", start=0, source="answer", now=1000.0)
    directory.observe_reading(is_current=False, now=1001.0)
    assert usable_ids(directory, 1100.0) == ["u-2"]
    directory.observe_reading(is_current=True, now=1100.0)
    assert usable_ids(directory, 1105.0) == ["u-2"]
    assert usable_ids(directory, 1110.0) == ["u-1", "u-2"]


class LeavingMachine(RuleBasedStateMachine):
    """A leaving upstream is unusable until its entry has stood long enough.

    Only the upstream itself keeps an entry in the store, so one that says that
    it serves for this long refutes whoever said that it leaves.
    """

    names = st.sampled_from([f"u-{n}" for n in range(5)])

    def __init__(self):
        super().__init__()
        self.directory = upstreams.UpstreamDirectory()
        self.now = 1000.0
        self.doubtful_until = {}
        """When the entries of upstreams that left may be believed."""
        self.removed = {}

    @rule(name=names)
    def entry(self, name):
        """Read an entry."""
        self.directory.apply_entry(make_registration(name), now=self.now)
        self.removed.pop(name, None)
        if self.doubtful_until.get(name) == NEVER:
            self.doubtful_until[name] = (
                self.now + deferred_entries.UNCHANGED_SECONDS
            )

    @rule(name=names)
    def leaving(self, name):
        """Let an upstream announce that it leaves."""
        self.directory.apply_entry(
            make_registration(name, leaving=True), now=self.now
        )
        self.doubtful_until[name] = NEVER

    @rule(name=names)
    def removal(self, name):
        """Remove an entry."""
        self.directory.apply_removal(name, now=self.now)
        self.removed.setdefault(name, self.now)
        if name in self.doubtful_until:
            self.doubtful_until[name] = NEVER

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        """Let time pass."""
        self.now += seconds

    @rule()
    def store_unreachable(self):
        """Make the store unreachable."""
        self.directory.on_store_unreachable()

    @rule()
    def store_reachable(self):
        """Make the store reachable again."""
        self.directory.on_store_reachable(now=self.now)

    @invariant()
    def leaving_upstreams_are_unusable(self):
        """Check that a leaving upstream is not usable too early."""
        usable = {
            one.id for one in self.directory.usable("portal", now=self.now)
        }
        for name in usable:
            assert self.now >= self.doubtful_until.pop(name, -NEVER)

    @invariant()
    def missing_upstreams_are_dropped(self):
        """Check that an upstream missing for a minute is not usable."""
        later = copy.deepcopy(self.directory)
        later.on_store_reachable(now=self.now)
        usable = {one.id for one in later.usable("portal", now=self.now + 60)}
        assert not usable & self.removed.keys()


TestLeaving = LeavingMachine.TestCase


OWN = make_registration("u-0", start=5)
SOURCES = st.sampled_from(["answer", "peer", "gone"])


class RecoveryMachine(RuleBasedStateMachine):
    """Whatever is said of an upstream that lives, it is used again.

    It writes its entry whenever another one, or none, is in the store.
    """

    def __init__(self):
        super().__init__()
        self.directory = upstreams.UpstreamDirectory()
        self.directory.apply_entry(OWN, now=1000.0)
        self.now = 1000.0
        self.stored = OWN

    @rule(leaving=st.booleans(), start=st.sampled_from([0, 5, 1 << 62]))
    def foreign_entry(self, leaving, start):
        """Have another writer overwrite the entry."""
        self.stored = make_registration(
            "u-0", leaving=leaving, start=start, port=9
        )
        self.directory.apply_entry(self.stored, rewritten=True, now=self.now)

    @rule()
    def unreadable_entry(self):
        """Have another writer overwrite the entry by no valid one."""
        self.stored = "unreadable"
        self.directory.mark_unreadable("u-0")

    @rule()
    def removal(self):
        """Have the entry expire."""
        self.stored = None
        self.directory.apply_removal("u-0", now=self.now)

    @rule(source=SOURCES, start=st.sampled_from([0, 5, 1 << 62]))
    def word(self, source, start):
        """Have an answer or a peer say that it leaves or is gone."""
        if source == "gone":
            self.directory.mark_gone("u-0", source="answer", now=self.now)
        elif source == "peer":
            self.directory.apply_peer_leaving(
                "u-0", start=start, source="vm", now=self.now
            )
        else:
            self.directory.mark_leaving(
                "u-0", start=start, source="answer", now=self.now
            )

    @rule(has_entry=st.booleans())
    def restore(self, has_entry):
        """Restore the store from a backup."""
        self.stored = OWN if has_entry else None
        self.directory.on_store_restored(now=self.now)
        listed = [OWN] if has_entry else []
        self.directory.apply_listing(listed, now=self.now)

    @rule(is_current=st.booleans())
    def read_or_lose_store(self, is_current):
        """Lose or regain the store."""
        self.directory.observe_reading(is_current=is_current, now=self.now)

    @rule(seconds=st.floats(0.0, 12.0))
    def wait(self, seconds):
        """Let time pass; a request asks for upstreams."""
        self.now += seconds
        self.directory.usable("portal", now=self.now)

    @invariant()
    def it_is_used_again(self):
        """Check that it is used once it has written its entry."""
        later = copy.deepcopy(self.directory)
        later.observe_reading(is_current=True, now=self.now)
        if self.stored != OWN:
            later.apply_entry(OWN, rewritten=True, now=self.now)
        seconds = 2.0 * deferred_entries.UNCHANGED_SECONDS
        (usable,) = later.usable("portal", now=self.now + seconds)
        assert usable == OWN


TestRecovery = RecoveryMachine.TestCase
