"""Changes of the store reach all entry VMs, whatever is lost on the way.

Two entry VMs read the store and tell their neighbours what has changed, in
datagrams that may be lost. Whoever misses one hears from the next state of a
neighbour that there is more, and fetches what it lacks: a change, or all.
"""

import dataclasses
import json

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lagoonrun_core import clock as clocks
from lagoonrun_platform import store as store_module
from lagoonrun_platform import store_eras
from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import peer_table, store_replica, upstreams
from lagoonrun_standins.router_samples import (
    make_declarations,
    make_registration,
)
from lagoonrun_standins.router_words import PlainLayout

READERS = ("reader-1", "reader-2")
MEMBERS = ("member-1", "member-2", "member-3")
UPSTREAMS = ("u-1", "u-2", "u-3")
REQUESTS = ("request-1", "request-2")


class KeptBlocks(set):
    """Blocked requests that an entry VM was told of by the store."""

    def apply_stored(self, request, value):
        """Keep a block."""
        del value
        self.add(request)

    def apply_removed(self, request):
        """Drop a block."""
        self.discard(request)

    def on_store_restored(self):
        """Keep what is known."""


class Vm:
    """What one entry VM believes, and what it has told."""

    def __init__(self, name, layout):
        self.name = name
        self.told = []
        self.directory = upstreams.UpstreamDirectory()
        self.blocks = KeptBlocks()
        self.known = store_replica.StoreReplica(
            layout=layout,
            directory=self.directory,
            peers=peer_table.PeerTable(entry_vm=name, domain="north"),
            blocks=self.blocks,
            on_declarations=lambda declared: None,
            on_upstreams=lambda: None,
            clock=clocks.ManualClock(),
        )
        self.known.on_changes = self.told.append

    def usable(self):
        """Return the upstreams that it would send to."""
        return {
            one.id: one.start
            for one in self.directory.registrations
            if self.directory.may_send(one.id, now=0.0)
        }

    def state(self):
        """Return what it tells of its knowledge."""
        return router_messages.RouterState(
            entry_vm=self.name,
            domain="north",
            start=1,
            sequence=1,
            port=1,
            revision=self.known.revision,
            follows_store=self.known.follows_store,
            store_revision=self.known.store_revision,
            read_revision=self.known.read_revision,
        )


class Store:
    """Keys with their revisions, and all that has changed."""

    def __init__(self, layout):
        self.layout = layout
        self.era = 1
        self.plain_revision = 1
        self.declared = 0
        self.most_declared = 0
        self.starts = 0
        self.items = {}
        self.events = []

    @property
    def revision(self):
        """Number of the last write, as the client of the store makes it."""
        return self.era << store_eras.ERA_BITS | self.plain_revision

    def restore(self, lost):
        """Come back from a copy that lacks the last writes."""
        kept = self.events[: max(0, len(self.events) - lost)]
        self.era += 1
        self.items = {}
        for one in kept:
            if one.value is None:
                self.items.pop(one.key, None)
            else:
                self.items[one.key] = one.value
        self.plain_revision = 1 + len(kept)
        self.declared = int(self.items.get(self.layout.declarations_key, b"0"))
        self.events = kept

    def write(self, key, value):
        """Write a key, or remove it."""
        self.plain_revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = value
        self.events.append(
            store_module.Event(key=key, value=value, modified=self.revision)
        )

    def declare(self):
        """Write the next revision of the declarations."""
        self.declared += 1
        self.most_declared = max(self.most_declared, self.declared)
        self.layout.declared_by_revision[self.declared] = make_declarations(
            revision=self.declared
        )
        self.write(self.layout.declarations_key, str(self.declared).encode())

    def put_upstream(self, id):
        """Write an entry of an upstream, each time of a later start."""
        self.starts += 1
        entry = make_registration(id, port=1, start=self.starts)
        value = json.dumps(dataclasses.asdict(entry)).encode()
        self.write(self.layout.upstreams_prefix + id, value)

    def block(self, request):
        """Write the key of a blocked request."""
        self.write(self.layout.blocked_requests_prefix + request, b"{}")

    def unblock(self, request):
        """Remove the key of a blocked request."""
        self.write(self.layout.blocked_requests_prefix + request, None)

    def listing(self):
        """Return all keys as a reader lists them."""
        return tuple(
            store_module.KeyValue(
                key=key,
                value=value,
                modified=store_module.StoreRevision(self.revision),
                created=store_module.StoreRevision(1),
            )
            for key, value in self.items.items()
        )


@pytest.fixture
def layout():
    return PlainLayout()


@pytest.fixture
def store(layout):
    made = Store(layout)
    made.declare()
    made.put_upstream("u-1")
    return made


@pytest.fixture
def reader(layout, store):
    return read_all(Vm("reader-1", layout), store)


def read_all(vm, store):
    vm.known.apply_listing(store.listing(), store.revision)
    return vm


def read_changes(vm, store):
    known = vm.known.read_revision
    if store_eras.era_of(known) != store.era:
        # The store has no watch from there.
        read_all(vm, store)
        return
    new = tuple(one for one in store.events if one.modified > known)
    vm.known.apply_changes(new, store.revision)


def over_the_wire(message):
    return router_codec.decode(router_codec.encode(message))


def fetch(member, peer):
    """Fetch from a peer what its state says is newer there."""
    state = peer.state()
    if state.revision > member.known.revision:
        digest = member.known.declared.newest.digest
        change = peer.known.declared.change_from(digest)
        member.known.apply_declared_change(
            over_the_wire(change), source=peer.name
        )
    if state.store_revision > member.known.store_revision:
        member.known.apply_peer_entries(
            peer.known.upstream_entries(), state.store_revision
        )
    member.known.record_peer_revision(state)


def test_told_change_is_in_force_without_a_fetch(layout, store, reader):
    member = Vm("member-1", layout)
    fetch(member, reader)
    store.declare()
    store.put_upstream("u-2")
    reader.told.clear()
    read_changes(reader, store)
    (changes,) = reader.told
    member.known.apply_peer_changes(over_the_wire(changes))
    assert member.known.revision == 2
    assert set(member.usable()) == {"u-1", "u-2"}


def test_change_after_a_lost_one_waits_for_a_fetch(layout, store, reader):
    """A datagram is lost in which an upstream was said to be gone.

    The next one must not be taken for all there is to know.
    """
    member = Vm("member-1", layout)
    fetch(member, reader)
    reader.told.clear()
    store.write(layout.upstreams_prefix + "u-1", None)
    read_changes(reader, store)
    store.put_upstream("u-2")
    read_changes(reader, store)
    member.known.apply_peer_changes(reader.told[1])
    assert set(member.usable()) == {"u-1"}
    fetch(member, reader)
    assert member.known.upstream_entries() == reader.known.upstream_entries()


def test_change_is_told_after_a_reading_of_all_keys(layout, store, reader):
    """The store has forgotten what came; a reader reads everything anew."""
    member = Vm("member-1", layout)
    fetch(member, reader)
    reader.told.clear()
    store.write(layout.upstreams_prefix + "u-1", None)
    store.put_upstream("u-2")
    read_all(reader, store)
    (changes,) = reader.told
    member.known.apply_peer_changes(over_the_wire(changes))
    assert member.known.upstream_entries() == reader.known.upstream_entries()


def test_block_is_told_and_so_is_its_end(layout, store, reader):
    member = Vm("member-1", layout)
    fetch(member, reader)
    store.block("request-1")
    store.block("request-2")
    read_changes(reader, store)
    store.unblock("request-2")
    read_changes(reader, store)
    for changes in reader.told[1:]:
        member.known.apply_peer_changes(over_the_wire(changes))
    assert member.blocks == reader.blocks == {"request-1"}


def test_block_is_known_to_an_entry_vm_that_starts(layout, store, reader):
    """All that knew it may have ended; the store keeps it."""
    store.block("request-1")
    assert read_all(Vm("reader-2", layout), store).blocks == {"request-1"}
    read_changes(reader, store)
    member = Vm("member-1", layout)
    fetch(member, reader)
    assert member.blocks == {"request-1"}


def test_reading_that_shows_nothing_new_tells_nothing(store, reader):
    reader.told.clear()
    read_all(reader, store)
    assert reader.told == []


def test_member_knows_up_to_where_the_store_was_read(layout, store, reader):
    """It takes up the reading itself and goes on from there."""
    member = Vm("member-1", layout)
    fetch(member, reader)
    store.write("something-else", b"")
    read_changes(reader, store)
    fetch(member, reader)
    assert member.known.read_revision == store.revision
    store.put_upstream("u-2")
    read_changes(reader, store)
    member.known.record_peer_revision(reader.state())
    assert member.known.read_revision < store.revision


def test_member_follows_a_store_that_was_restored(layout, store, reader):
    """Revisions go back; the members' neighbours read the store for them.

    By revisions alone each change after the restore looks old to a member, for as
    long as the store is behind where it was.
    """
    for _ in range(5):
        store.put_upstream("u-2")
    read_changes(reader, store)
    member = Vm("member-1", layout)
    fetch(member, reader)
    store.restore(4)
    read_changes(reader, store)
    reader.told.clear()
    store.put_upstream("u-3")
    read_changes(reader, store)
    fetch(member, reader)
    assert member.known.upstream_entries() == reader.known.upstream_entries()
    assert set(member.usable()) >= {"u-1", "u-3"}


def test_late_news_of_what_a_restore_has_lost_does_not_stay(
    layout, store, reader
):
    """One reader had seen a write that the store lost; its news comes late.

    For the other reader nothing has changed; by its state the member, whose
    number is the larger one, would keep for ever what nobody has.
    """
    other = read_all(Vm("reader-2", layout), store)
    member = Vm("member-1", layout)
    fetch(member, reader)
    other.told.clear()
    store.put_upstream("u-9")
    read_changes(other, store)
    store.restore(1)
    member.known.apply_peer_changes(over_the_wire(other.told[0]))
    assert "u-9" in member.usable()
    read_changes(reader, store)
    fetch(member, reader)
    assert member.known.upstream_entries() == reader.known.upstream_entries()


class Spread(RuleBasedStateMachine):
    """Changes, readings, losses, restarts and fetches in any order."""

    @initialize()
    def begin(self):
        """Start all, with a first configuration in the store."""
        self.layout = PlainLayout()
        self.store = Store(self.layout)
        self.store.declare()
        self.vms = {name: self.start(name) for name in (*READERS, *MEMBERS)}
        self.revisions = dict.fromkeys(self.vms, 0)

    def start(self, name):
        """Start one entry VM that knows nothing."""
        return Vm(name, self.layout)

    @rule()
    def declare(self):
        """Have an operator change the configuration."""
        self.store.declare()

    @rule(id=st.sampled_from(UPSTREAMS), gone=st.booleans())
    def change_upstream(self, id, gone):
        """Have an upstream register, restart or leave."""
        if gone:
            self.store.write(self.layout.upstreams_prefix + id, None)
        else:
            self.store.put_upstream(id)

    @rule(request=st.sampled_from(REQUESTS), ended=st.booleans())
    def change_block(self, request, ended):
        """Have an entry VM block a request, or its block end."""
        if ended:
            self.store.unblock(request)
        else:
            self.store.block(request)

    @rule(lost=st.integers(0, 6))
    def restore(self, lost):
        """Have the store come back from a copy, which may lack nothing."""
        self.store.restore(lost)

    @rule(name=st.sampled_from(READERS), everything=st.booleans())
    def read(self, name, everything):
        """Have a reader read on, or all."""
        vm = self.vms[name]
        if everything or not vm.known.read_revision:
            read_all(vm, self.store)
        else:
            read_changes(vm, self.store)

    @rule(
        name=st.sampled_from(READERS),
        heard=st.sets(st.sampled_from(MEMBERS)),
    )
    def tell(self, name, heard):
        """Send what a reader has read; some members hear it."""
        for changes in self.vms[name].told:
            for member in heard:
                self.vms[member].known.apply_peer_changes(
                    over_the_wire(changes)
                )
        self.vms[name].told.clear()

    @rule(
        member=st.sampled_from(MEMBERS),
        peer=st.sampled_from((*READERS, *MEMBERS)),
    )
    def fetch(self, member, peer):
        """Have a member fetch what a peer has."""
        if member != peer:
            fetch(self.vms[member], self.vms[peer])

    @rule(name=st.sampled_from((*READERS, *MEMBERS)))
    def restart(self, name):
        """Kill an entry VM and start it again."""
        self.vms[name] = self.start(name)
        self.revisions[name] = 0

    @rule(member=st.sampled_from(MEMBERS))
    @precondition(lambda self: self.vms[READERS[0]].known.follows_store)
    def member_is_up_to_date_after_one_fetch(self, member):
        """Have a member fetch from a reader: it knows all that one knows."""
        reader, vm = self.vms[READERS[0]], self.vms[member]
        read_changes(reader, self.store)
        fetch(vm, reader)
        # Nobody goes back to what an older copy has.
        assert vm.known.revision >= reader.known.revision >= self.store.declared
        prefix = self.layout.blocked_requests_prefix
        assert vm.known.upstream_entries() == {
            key: value
            for key, value in self.store.items.items()
            if key.startswith((self.layout.upstreams_prefix, prefix))
        }
        stored = {
            key.removeprefix(prefix)
            for key in self.store.items
            if key.startswith(prefix)
        }
        assert vm.blocks >= stored

    @invariant()
    def nobody_goes_back(self):
        """Check that no revision in force gives way to an older one."""
        for name, vm in self.vms.items():
            assert vm.known.revision >= self.revisions[name]
            self.revisions[name] = vm.known.revision

    @invariant()
    def what_is_known_was_true(self):
        """Check that nobody knows more than the store has said."""
        for vm in self.vms.values():
            assert vm.known.read_revision <= self.store.revision
            assert vm.known.revision <= self.store.most_declared


TestSpread = Spread.TestCase
