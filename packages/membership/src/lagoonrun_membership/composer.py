"""Fill datagrams with news, within their size. Pure: no I/O, no clock."""

from collections.abc import Iterable

from lagoonrun_core import types
from lagoonrun_membership import (
    digests,
    members,
    shards,
    sizes,
    updates,
    upstreams,
)
from lagoonrun_membership import timing as timings
from lagoonrun_protocol import datagrams, messages

_BODY_BYTES = datagrams.MAXIMUM_DATAGRAM_BYTES - datagrams.OVERHEAD_BYTES - 64
"""Room for the body beside the stamp, the tag and a sender's name."""

_FIXED_BYTES = 176
"""Envelope, sequence, digests and two names, at most."""

_SHARD_BYTES = 320
_UPSTREAM_BYTES = 320
_SMALL_PAGE_BYTES = 400
_FAR_APART_PARTS = 4

_URGENT_STATES = (messages.MemberState.LEAVING, messages.MemberState.DEAD)
_ACCUSED_STATES = (messages.MemberState.SUSPECT, messages.MemberState.DEAD)


def is_diverged(differing: tuple[int, ...]) -> bool:
    """Return whether two tables differ in most of their parts."""
    return len(differing) >= _FAR_APART_PARTS


class DatagramComposer:
    """Choose what each datagram carries.

    Parameters
    ----------
    members, upstreams, shards
        The tables that news is taken from.
    timing
        How often news is repeated.

    Attributes
    ----------
    tells_accusations
        Whether suspicion and death are told; off while this process hears
        nobody, since then it is more likely at fault than all others.
    page_after
        Member after which the next answer's page should begin.
    """

    def __init__(
        self,
        *,
        members: members.MemberTable,
        upstreams: upstreams.UpstreamTable,
        shards: shards.ShardTable,
        timing: timings.Timing,
    ) -> None:
        self._members = members
        self._upstreams = upstreams
        self._shards = shards
        self._timing = timing
        self.sends_accusations = True
        self.page_after = ""
        self._member_news = updates.UpdateQueue[messages.MemberUpdate](
            size_of=sizes.of_member
        )
        self._upstream_news = updates.UpdateQueue[messages.UpstreamUpdate](
            size_of=sizes.of_upstream
        )
        self._shard_news = updates.UpdateQueue[messages.ShardSummary](
            size_of=sizes.of_shard
        )

    def digests(self) -> tuple[int, ...]:
        """Return the digests of the members' parts and of the upstreams."""
        return (*self._members.records.digests, self._upstreams.digest)

    def is_accused(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether a member should hear what is believed of it."""
        if not self._members.knows(entry_vm):
            return False
        return (
            self._members.records.wire_update(entry_vm).state in _ACCUSED_STATES
        )

    def collect_news(self) -> bool:
        """Queue what the tables have learned.

        Returns
        -------
        bool
            Whether some of it should not wait for the next probe.
        """
        is_urgent = False
        for entry_vm in self._members.pop_news():
            update = self._members.records.wire_update(entry_vm)
            is_accusation = update.state in _ACCUSED_STATES
            if is_accusation and not self.sends_accusations:
                self._member_news.discard(entry_vm)
                continue
            self._member_news.add(entry_vm, update)
            is_urgent |= update.state in _URGENT_STATES
        for upstream in self._upstreams.pop_news():
            self._upstream_news.add(
                upstream, self._upstreams.wire_update(upstream)
            )
            is_urgent = True
        return is_urgent

    def forget(self, forgotten: Iterable[types.EntryVmId]) -> None:
        """Send no news of members that were forgotten."""
        for entry_vm in forgotten:
            self._member_news.discard(entry_vm)

    def collect_summaries(self, *, now: float) -> list[messages.ShardSummary]:
        """Queue other domains' shards for the members of the own domain."""
        collected = []
        for shard in self._shards.pop_changed():
            summary = self._shards.other_domain_summary(shard, now)
            if summary is not None:
                self._shard_news.add(shard, summary)
                collected.append(summary)
        return collected

    def ping(
        self, target: types.EntryVmId | None, *, sequence: int, now: float
    ) -> messages.Ping:
        """Return a probe with news; `target` is None where it is unknown."""
        own, room = self._opening(target)
        summaries, room = self._take_shards(target, room, now)
        upstream_news, room = self._take_upstreams(room)
        member_news = self._take_members(room)
        return messages.Ping(
            sequence=sequence,
            source=self._members.own.entry_vm,
            members=(*own, *member_news),
            upstreams=tuple(upstream_news),
            shards=tuple(summaries),
            digests=self.digests(),
            page_after=self.page_after,
        )

    def acknowledge(
        self,
        target: types.EntryVmId,
        *,
        sequence: int,
        differing: tuple[int, ...],
        page_after: str,
        now: float,
    ) -> messages.Acknowledge:
        """Return an answer with news and with what `target` seems to lack.

        In calm it is nearly empty: the own record and the digests are left
        out where the target has them already.
        """
        own, room = self._opening(target)
        if not self._lacks_own(target, differing):
            own = own[1:]
        summaries, room = self._take_shards(target, room, now)
        upstream_news, room = self._take_upstreams(room)
        if digests.MEMBER_PARTS in differing:
            leaving = self._upstreams.page(size=min(room, _UPSTREAM_BYTES))
            room -= sum(map(sizes.of_upstream, leaving))
            upstream_news = [*upstream_news, *leaving]
        member_news = self._take_members(room)
        room -= sum(map(sizes.of_member, member_news))
        page = self._page(target, differing, after=page_after, room=room)
        return messages.Acknowledge(
            sequence=sequence,
            source=self._members.own.entry_vm,
            members=(*own, *member_news, *page),
            upstreams=tuple(upstream_news),
            shards=tuple(summaries),
            digests=self.digests() if differing else (),
            page_after=page[-1].entry_vm if page else "",
        )

    def own_summaries(self, *, now: float) -> messages.Ping:
        """Return a datagram with this process's shards, without an answer."""
        room = _BODY_BYTES - _FIXED_BYTES
        fitting = []
        for summary in self._shards.own(now):
            room -= sizes.of_shard(summary)
            if room < 0:
                break
            fitting.append(summary)
        return messages.Ping(
            sequence=0,
            source=self._members.own.entry_vm,
            shards=tuple(fitting),
        )

    def _opening(
        self, target: types.EntryVmId | None
    ) -> tuple[list[messages.MemberUpdate], int]:
        """Return the first records of a datagram and the room after them.

        The own record lets whoever does not know us learn of us; the target's
        lets it refute what is believed of it.
        """
        records = [self._members.own]
        if (
            target is not None
            and self.sends_accusations
            and self.is_accused(target)
        ):
            records.append(self._members.records.wire_update(target))
        room = _BODY_BYTES - _FIXED_BYTES
        return records, room - sum(map(sizes.of_member, records))

    def _lacks_own(
        self, target: types.EntryVmId, differing: tuple[int, ...]
    ) -> bool:
        """Return whether `target` may not have our record as it is."""
        own = self._members.own
        view = self._members.view(target)
        if view is None or view.revision < own.revision:
            return True
        return digests.part_of(own.entry_vm) in differing

    def _take_members(self, room: int) -> list[messages.MemberUpdate]:
        transmissions = self._timing.transmissions_for(len(self._members))
        return self._member_news.take(size=room, transmissions=transmissions)

    def _take_upstreams(
        self, room: int
    ) -> tuple[list[messages.UpstreamUpdate], int]:
        transmissions = self._timing.transmissions_for(len(self._members))
        news = self._upstream_news.take(
            size=min(room, _UPSTREAM_BYTES), transmissions=transmissions
        )
        return news, room - sum(map(sizes.of_upstream, news))

    def _take_shards(
        self, target: types.EntryVmId | None, room: int, now: float
    ) -> tuple[list[messages.ShardSummary], int]:
        """Return summaries, which are passed on within the own domain only."""
        view = self._members.view(target) if target is not None else None
        if view is None or view.domain != self._members.own.domain:
            return [], room
        # News that everyone passes on that often has reached a domain.
        peers = len(self._members.others_in(view.domain))
        queued = self._shard_news.take(
            size=min(room, _SHARD_BYTES),
            transmissions=max(1, peers.bit_length()),
        )
        news = [
            summary
            for item in queued
            if (summary := self._shards.other_domain_summary(item.shard, now))
            is not None
        ]
        return news, room - sum(map(sizes.of_shard, news))

    def _page(
        self,
        target: types.EntryVmId,
        differing: tuple[int, ...],
        *,
        after: str,
        room: int,
    ) -> list[messages.MemberUpdate]:
        """Return records that `target` may lack, its own domain's first.

        A process that has just joined can rank its domain's shards only once
        it knows its domain.
        """
        parts = tuple(n for n in differing if n < digests.MEMBER_PARTS)
        view = self._members.view(target) or self._members.own
        if not is_diverged(differing):
            room = min(room, _SMALL_PAGE_BYTES)
        return self._members.records.page(
            parts, domain=view.domain, after=after, size=room
        )
