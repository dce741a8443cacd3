"""When an entry VM tells its state, what it tells, and to whom."""

import dataclasses
import random

from lagoonrun_core import events, logs, types
from lagoonrun_duties import usage_exchange
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    load_ledger,
    peer_loads,
    peer_table,
    pressure,
    prompt_locations,
    roster,
    settings,
    store_replica,
    upstreams,
)

_CHANGE_BEATS = 2
"""Beats after which work that has ended is told. A tenth of a second late does no
harm; a quarter does, in a burst."""

_QUIET_BEATS = 8
"""Beats without news after which a state is told all the same: four tenths of a
second, so that two may be lost before a second of silence."""

_TOLD_MEMBERS = 4
"""Entry VMs that a quiet state names; who there is passes on from peer to peer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _News:
    """What others wait for; see `RouterState`."""

    revision: types.Revision
    store_revision: int
    follows_store: bool
    stopping: bool


class StateTeller:
    """Composes the own states.

    Parameters
    ----------
    configured
        Settings of the process.
    start
        Drawn at random by each start of the process.
    table, known, directory, ledger, prompt_locations, pressed
        What is told.
    relays
        Order of the relays of the own failure domain.
    usage
        Counts of requests; None where nobody asks for them.
    rng
        Source of choices.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        start: int,
        table: peer_table.PeerTable,
        known: store_replica.StoreReplica,
        directory: upstreams.UpstreamDirectory,
        ledger: load_ledger.LoadLedger,
        prompt_locations: prompt_locations.PromptLocations,
        pressed: pressure.Pressure,
        relays: roster.Roster,
        usage: usage_exchange.UsageExchange | None = None,
        rng: random.Random,
    ) -> None:
        self._configured = configured
        self._start = start
        self._table = table
        self._known = known
        self._directory = directory
        self._ledger = ledger
        self._prompt_locations = prompt_locations
        self._pressed = pressed
        self._relays = relays
        self._usage = usage
        self._rng = rng
        self._sequence = 0
        self._beats_since_told = 0
        self._told_news: _News | None = None
        self._told_leaving: tuple[router_messages.LeavingUpstream, ...] = ()
        self.was_reader = False
        """Whether the last two states told that this entry VM reads the store, or
        that it does no more."""
        self._relied_on = types.NO_ENTRY_VM
        self.news_changed = False
        """Whether the last state told what others wait for that do not read
        the store, or that this entry VM is about to end."""
        self.stopping = False

    def tick(self, *, now: float) -> router_messages.RouterState | None:
        """Return the state that is to be told now; None for none."""
        self._beats_since_told += 1
        placements = self._prompt_locations.pop_own()
        if not placements and self._beats_since_told < self._wanted_beats():
            return None
        quiet = self._beats_since_told >= _QUIET_BEATS
        news = self._news()
        self.news_changed = quiet or news != self._told_news
        before = self._told_news
        self.was_reader = self._known.follows_store or (
            before is not None and before.follows_store
        )
        self._told_news = news
        self._beats_since_told = 0
        self._ledger.mark_told()
        self._pressed.changed = False
        state = self._state(placements, now=now, quiet=quiet)
        self._told_leaving = self._directory.leaving
        return state

    def greeting(self, *, now: float) -> router_messages.RouterState:
        """Return what an entry VM of another failure domain is told.

        Who there is; work there is told by the relay of a domain.
        """
        return self._state({}, now=now, quiet=True, with_work=False)

    def _wanted_beats(self) -> int:
        """Return after how many beats what has changed is worth telling."""
        if self._ledger.urgent_change or self._pressed.changed:
            return 1
        if self._news() != self._told_news:
            return 1
        if self._ledger.changed:
            return _CHANGE_BEATS
        return _QUIET_BEATS

    def _news(self) -> "_News":
        known = self._known
        return _News(
            revision=known.revision,
            store_revision=known.store_revision,
            follows_store=known.follows_store,
            stopping=self.stopping,
        )

    def _state(
        self,
        placements: dict[str, types.UpstreamId],
        *,
        now: float,
        quiet: bool,
        with_work: bool = True,
    ) -> router_messages.RouterState:
        """Return what is to be told.

        Parameters
        ----------
        quiet
            Whether there is nothing urgent, and so time for what rarely
            changes.
        with_work
            Whether loads and pressed tiers belong to it.
        """
        self._sequence += 1
        leaving = self._directory.leaving
        tell_leaving = quiet or leaving != self._told_leaving
        loads = router_messages.LoadRows()
        pressed: tuple[router_messages.PressedTier, ...] = ()
        usage = router_messages.NO_USAGE
        relay = self._relay(now)
        if with_work and self._usage is not None:
            usage = self._usage.pending_rows(relay, now=now)
        if with_work:
            loads = peer_loads.to_rows(self._ledger.own_loads(now=now))
            pressed = peer_loads.pressed(self._pressed.recent(now=now))
        return router_messages.RouterState(
            entry_vm=self._configured.entry_vm,
            domain=self._configured.domain,
            start=self._start,
            sequence=self._sequence,
            port=self._configured.peer.port,
            revision=self._known.revision,
            follows_store=self._known.follows_store,
            store_revision=self._known.store_revision,
            read_revision=self._known.read_revision,
            stopping=self.stopping,
            leaving_starts=leaving if tell_leaving else (),
            loads=loads,
            placements=peer_loads.placements(placements),
            pressed=pressed,
            known=self._some_members() if quiet else (),
            processor_hundredths=round(self._configured.processor_cores * 100),
            relay=relay,
            usage=usage,
            holds_duties=self._usage is not None and self._usage.is_holder,
        )

    def _relay(self, now: float) -> types.EntryVmId:
        """Return the neighbour that this entry VM relies on."""
        relay = types.NO_ENTRY_VM
        if self._table.has_relay:
            own = self._configured.entry_vm
            relay = next(iter(self._relays.on_duty(now=now)), own)
        if relay != self._relied_on:
            logs.emit(
                events.LogEvent.RELAY_CHANGED,
                relay=relay,
                previous=self._relied_on,
                neighbours=len(self._table.neighbour_ids()),
            )
            self._relied_on = relay
        return relay

    def _some_members(self) -> tuple[router_messages.EntryVmAddress, ...]:
        known = list(self._table.known())
        shown = self._rng.sample(known, min(len(known), _TOLD_MEMBERS))
        return tuple(self._table.member(one) for one in shown)
