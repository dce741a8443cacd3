"""Tell the other entry VMs which requests ran at crashed upstreams.

A crash is told to the whole fleet at once, by way of the relays of the other
failure domains. Datagrams get lost, and a failure domain may be cut off meanwhile:
so each entry VM repeats what it knows to a peer of its own domain and one of
another, several times a second while it is news, and now and then later.
"""

from collections.abc import Iterable
from typing import Protocol

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    crash_evidence,
    news_broadcaster,
    running_requests,
)

NEWS_SECONDS = 5.0
"""Age up to which a record is repeated often: longer than entry VMs may take to
know of it."""

_NEWS_TICKS = 5
"""Beats between two repetitions of news: a quarter of a second."""

_OLD_TICKS = 20
"""The same of what is older: a second. It reaches those that were cut off within
the seconds that they have to know of it."""

_MAX_RECORDS_PER_MESSAGE = 24
"""Records in a message: two kilobytes."""


class KnownRecords(Protocol):
    """Gives the records of crashes that this entry VM knows."""

    def __call__(
        self, *, since: float = float("-inf")
    ) -> tuple[crash_evidence.CrashRecord, ...]:
        """Return those of crashes since then, the weightiest first."""


class CrashNewsExchange:
    """Sends, repeats and hands on records of crashes.

    Parameters
    ----------
    entry_vm, domain
        This entry VM.
    spreader
        Sends messages.
    records
        What is known of crashes.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        spreader: news_broadcaster.NewsBroadcaster,
        records: KnownRecords,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._spreader = spreader
        self._records = records
        self._ticks = 0
        self._next_index = 0

    def broadcast(
        self, records: tuple[crash_evidence.CrashRecord, ...], *, now: float
    ) -> None:
        """Tell the whole fleet what this entry VM has just learned itself."""
        for news in self._messages(records, now):
            self._spreader.broadcast(news)

    def forward(
        self,
        told: router_messages.CrashNews,
        new: tuple[crash_evidence.CrashRecord, ...],
        *,
        now: float,
    ) -> None:
        """Hand on, as the relay, what was new from another failure domain."""
        for news in self._messages(new, now):
            self._spreader.forward(news, origin=told.domain)

    @property
    def is_relay(self) -> bool:
        """Whether this entry VM is the relay of its failure domain."""
        return self._spreader.is_relay

    def tick(self, *, now: float) -> None:
        """Repeat what others may not have heard, every few calls."""
        self._ticks += 1
        if self._ticks % _NEWS_TICKS:
            return
        told = self._records(since=now - NEWS_SECONDS)
        if not told and self._ticks % _OLD_TICKS == 0:
            told = self._next_batch(self._records())
        if not told:
            return
        for news in self._messages(told[:_MAX_RECORDS_PER_MESSAGE], now):
            self._spreader.send_to_sample(news)

    def _next_batch(
        self, records: tuple[crash_evidence.CrashRecord, ...]
    ) -> tuple[crash_evidence.CrashRecord, ...]:
        """Return the next part of all records, the weightiest in each."""
        half = _MAX_RECORDS_PER_MESSAGE // 2
        top, others = records[:half], records[half:]
        if self._next_index >= len(others):
            self._next_index = 0
        part = others[self._next_index : self._next_index + half]
        self._next_index += half
        return (*top, *part)

    def _messages(
        self, records: tuple[crash_evidence.CrashRecord, ...], now: float
    ) -> Iterable[router_messages.CrashNews]:
        for begin in range(0, len(records), _MAX_RECORDS_PER_MESSAGE):
            part = records[begin : begin + _MAX_RECORDS_PER_MESSAGE]
            yield router_messages.CrashNews(
                entry_vm=self._entry_vm,
                domain=self._domain,
                runs=tuple(_run_of(one, now) for one in part),
            )


def records_of(
    news: router_messages.CrashNews, *, now: float
) -> tuple[crash_evidence.CrashRecord, ...]:
    """Return the records in a message."""
    return tuple(
        crash_evidence.CrashRecord(
            request=one.request,
            at=running_requests.UpstreamInstance(
                upstream=one.upstream, start=one.start
            ),
            route=one.route,
            seen_at=now - one.age_milliseconds / 1000.0,
            silent=one.silent,
            void=one.void,
        )
        for one in news.runs
    )


def _run_of(
    record: crash_evidence.CrashRecord, now: float
) -> router_messages.CrashedRun:
    age_seconds = max(0.0, now - record.seen_at)
    return router_messages.CrashedRun(
        request=record.request,
        route=record.route,
        upstream=record.at.upstream,
        start=record.at.start,
        age_milliseconds=round(age_seconds * 1000.0),
        silent=record.silent,
        void=record.void,
    )
