"""Composition of datagrams within their maximum size: no I/O, no clock."""

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
"""Bytes left for the body after the stamp, the tag and the sender's id."""

_FIXED_BYTES = 176
"""Upper bound for the envelope, the sequence, the digests and two ids."""

_SHARD_BYTES = 320
_UPSTREAM_BYTES = 320
_SMALL_PAGE_BYTES = 400
_DIVERGED_PARTS = 4

_URGENT_STATES = (messages.MemberState.LEAVING, messages.MemberState.DEAD)
_ACCUSED_STATES = (messages.MemberState.SUSPECT, messages.MemberState.DEAD)


def is_diverged(differing: tuple[int, ...]) -> bool:
    """Return whether two tables differ in about half of their parts."""
    return len(differing) >= _DIVERGED_PARTS


class DatagramComposer:
    """Chooses what each datagram carries.

    "News" are the updates that other members should still receive; an
    "accusation" is an update with the state SUSPECT or DEAD.

    Parameters
    ----------
    members, upstreams, shards
        The tables that the updates are taken from.
    timing
        How often each update is sent.

    Attributes
    ----------
    sends_accusations
        Whether accusations are sent; False while this process receives
        nothing, since it is then more likely to be at fault than all others.
    page_after
        Member after which the page in the next answer should begin.
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
        """Return the digest of each member table part, then the upstreams'."""
        return (*self._members.records.digests, self._upstreams.digest)

    def is_accused(self, entry_vm: types.EntryVmId) -> bool:
        """Return whether a member is suspect or dead in the own table."""
        if not self._members.knows(entry_vm):
            return False
        return (
            self._members.records.wire_update(entry_vm).state in _ACCUSED_STATES
        )

    def collect_news(self) -> bool:
        """Queue the tables' new updates for sending.

        Returns
        -------
        bool
            Whether some of them should not wait for the next probe.
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
        """Drop the queued updates of members that were forgotten."""
        for entry_vm in forgotten:
            self._member_news.discard(entry_vm)

    def collect_summaries(self, *, now: float) -> list[messages.ShardSummary]:
        """Queue other domains' new summaries for the own domain; return them."""
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
        """Return a probe with updates; `target` is None if it is unknown."""
        own, remaining = self._first_records(target)
        summaries, remaining = self._select_shards(target, remaining, now)
        upstream_news, remaining = self._select_upstreams(remaining)
        member_news = self._select_members(remaining)
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
        """Return an answer with updates and records that `target` may lack.

        In steady state it is nearly empty: the own record and the digests are
        left out if the target has them already.
        """
        own, remaining = self._first_records(target)
        if not self._lacks_own(target, differing):
            own = own[1:]
        summaries, remaining = self._select_shards(target, remaining, now)
        upstream_news, remaining = self._select_upstreams(remaining)
        if digests.MEMBER_PARTS in differing:
            leaving = self._upstreams.page(size=min(remaining, _UPSTREAM_BYTES))
            remaining -= sum(map(sizes.of_upstream, leaving))
            upstream_news = [*upstream_news, *leaving]
        member_news = self._select_members(remaining)
        remaining -= sum(map(sizes.of_member, member_news))
        page = self._page(target, differing, after=page_after, size=remaining)
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
        """Return a ping with this process's shards that needs no answer."""
        remaining = _BODY_BYTES - _FIXED_BYTES
        fitting = []
        for summary in self._shards.own(now):
            remaining -= sizes.of_shard(summary)
            if remaining < 0:
                break
            fitting.append(summary)
        return messages.Ping(
            sequence=0,
            source=self._members.own.entry_vm,
            shards=tuple(fitting),
        )

    def _first_records(
        self, target: types.EntryVmId | None
    ) -> tuple[list[messages.MemberUpdate], int]:
        """Return the first records of a datagram and the bytes left.

        The own record introduces this process to members that don't know it.
        An accused target's record lets it refute the accusation.
        """
        records = [self._members.own]
        if (
            target is not None
            and self.sends_accusations
            and self.is_accused(target)
        ):
            records.append(self._members.records.wire_update(target))
        remaining = _BODY_BYTES - _FIXED_BYTES
        return records, remaining - sum(map(sizes.of_member, records))

    def _lacks_own(
        self, target: types.EntryVmId, differing: tuple[int, ...]
    ) -> bool:
        """Return whether `target` may lack the own record as it is now."""
        own = self._members.own
        view = self._members.view(target)
        if view is None or view.revision < own.revision:
            return True
        return digests.part_of(own.entry_vm) in differing

    def _select_members(self, size: int) -> list[messages.MemberUpdate]:
        transmissions = self._timing.transmissions_for(len(self._members))
        return self._member_news.select(size=size, transmissions=transmissions)

    def _select_upstreams(
        self, size: int
    ) -> tuple[list[messages.UpstreamUpdate], int]:
        transmissions = self._timing.transmissions_for(len(self._members))
        news = self._upstream_news.select(
            size=min(size, _UPSTREAM_BYTES), transmissions=transmissions
        )
        return news, size - sum(map(sizes.of_upstream, news))

    def _select_shards(
        self, target: types.EntryVmId | None, size: int, now: float
    ) -> tuple[list[messages.ShardSummary], int]:
        """Return summaries, if `target` is in the own domain, and bytes left."""
        view = self._members.view(target) if target is not None else None
        if view is None or view.domain != self._members.own.domain:
            return [], size
        # A summary that each member has sent this often has reached all of the
        # domain.
        peers = len(self._members.others_in(view.domain))
        queued = self._shard_news.select(
            size=min(size, _SHARD_BYTES),
            transmissions=max(1, peers.bit_length()),
        )
        news = [
            summary
            for item in queued
            if (summary := self._shards.other_domain_summary(item.shard, now))
            is not None
        ]
        return news, size - sum(map(sizes.of_shard, news))

    def _page(
        self,
        target: types.EntryVmId,
        differing: tuple[int, ...],
        *,
        after: str,
        size: int,
    ) -> list[messages.MemberUpdate]:
        """Return records that `target` may lack, its own domain's first.

        A process that has just joined can rank its domain's shards only once
        it knows the members of the domain.
        """
        parts = tuple(n for n in differing if n < digests.MEMBER_PARTS)
        view = self._members.view(target) or self._members.own
        if not is_diverged(differing):
            size = min(size, _SMALL_PAGE_BYTES)
        return self._members.records.page(
            parts, domain=view.domain, after=after, size=size
        )
