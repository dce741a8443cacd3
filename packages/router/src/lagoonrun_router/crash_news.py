"""Exchange crash records with the other entry VMs.

A crash is broadcast to the whole fleet at once, through the relays of the other
failure domains. Datagrams get lost, and a failure domain may be cut off at the
time. So each entry VM repeats its records to a peer of its own domain and to
one of another domain: several times per second while they are new, less often
later.
"""

from collections.abc import Iterable
from typing import Protocol

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    answer_times,
    crash_records,
    news_broadcaster,
    part_answer_news,
    running_requests,
)

NEWS_SECONDS = 5.0
"""Age up to which a record is repeated often: longer than the time within which
all entry VMs must know of it."""

_NEWS_TICKS = 5
"""Ticks between two repetitions of new records: a quarter of a second."""

_OLD_TICKS = 20
"""Ticks between two repetitions of older records: one second. Entry VMs that
were cut off receive them within the seconds in which they must know of them."""

_MAX_RECORDS_PER_MESSAGE = 24
"""Maximum number of records in a message: two kilobytes."""

_MAX_PARTS_PER_MESSAGE = 72
"""Maximum number of parts of these records, two kilobytes; a single record may
have more."""

_TRANSIT_SECONDS = 0.2
"""Longest time that a message takes from one entry VM to another. An answer that
is told has begun by that much earlier at most, so that repeated telling never
makes it newer."""

_UNSTATED_RUN_SECONDS = 0.25
"""Duration assumed for runs of entry VMs of earlier releases, which state none:
such a run is not taken for one that crashed its upstream as it began."""


class KnownRecords(Protocol):
    """Returns the crash records known to this entry VM."""

    def __call__(
        self, *, since: float = float("-inf")
    ) -> tuple[crash_records.CrashRecord, ...]:
        """Return those of crashes since then, see `CrashEvidence.records`."""


class KnownAnswers(Protocol):
    """Returns the answers to suspected parts known to this entry VM."""

    def __call__(self, *, since: float) -> tuple[answer_times.Answer, ...]:
        """Return those since then: `CrashEvidence.answers_to_suspects`."""


def _no_answers(*, since: float) -> tuple[answer_times.Answer, ...]:
    del since
    return ()


class CrashNewsExchange:
    """Broadcasts, repeats and forwards crash records.

    Parameters
    ----------
    entry_vm, domain
        This entry VM and its failure domain.
    broadcaster
        Sends messages to the other entry VMs.
    records, answers
        Return the known crash records and answers to suspected parts.
    part_answers
        Answers of this entry VM that others need; None to send none.
    """

    def __init__(
        self,
        *,
        entry_vm: types.EntryVmId,
        domain: types.FailureDomain,
        broadcaster: news_broadcaster.NewsBroadcaster,
        records: KnownRecords,
        answers: KnownAnswers = _no_answers,
        part_answers: part_answer_news.PartAnswerNews | None = None,
    ) -> None:
        self._entry_vm = entry_vm
        self._domain = domain
        self._broadcaster = broadcaster
        self._records = records
        self._answers = answers
        self._part_answers = part_answers
        self._ticks = 0
        self._next_index = 0

    def broadcast(
        self, records: tuple[crash_records.CrashRecord, ...], *, now: float
    ) -> None:
        """Send records of this entry VM to the whole fleet."""
        for news in self._messages(records, now):
            self._broadcaster.broadcast(news)

    def forward(
        self,
        received: router_messages.CrashNews,
        new: tuple[crash_records.CrashRecord, ...],
        *,
        now: float,
    ) -> None:
        """Forward, as the relay, new records of another failure domain."""
        for news in self._messages(new, now):
            self._broadcaster.forward(news, origin=received.domain)

    def forward_answers(
        self,
        received: router_messages.CrashNews,
        new: tuple[answer_times.Answer, ...],
        *,
        now: float,
    ) -> None:
        """Forward, as the relay, new answers of another failure domain."""
        if new:
            self._broadcaster.forward(
                self._message(answers=new, now=now), origin=received.domain
            )

    @property
    def is_relay(self) -> bool:
        """Whether this entry VM is the relay of its failure domain."""
        return self._broadcaster.is_relay

    def tick(self, *, now: float) -> None:
        """Repeat records that others may not have received, every few calls."""
        self._ticks += 1
        if self._part_answers is not None:
            due = self._part_answers.pop_due(now=now)
            if due:
                self._broadcaster.broadcast(self._message(answers=due, now=now))
        if self._ticks % _NEWS_TICKS:
            return
        answers = self._answers(since=now - NEWS_SECONDS)
        if answers:
            answers = answers[-_MAX_RECORDS_PER_MESSAGE:]
            self._broadcaster.send_to_sample(
                self._message(answers=answers, now=now)
            )
        repeated = self._records(since=now - NEWS_SECONDS)
        if not repeated and self._ticks % _OLD_TICKS == 0:
            repeated = self._next_batch(self._records())
        if not repeated:
            return
        for news in self._messages(repeated[:_MAX_RECORDS_PER_MESSAGE], now):
            self._broadcaster.send_to_sample(news)

    def _next_batch(
        self, records: tuple[crash_records.CrashRecord, ...]
    ) -> tuple[crash_records.CrashRecord, ...]:
        """Return the next batch of all records.

        Half of each batch are the first records, of the requests with the most
        crashes; the other half cycles through the rest.
        """
        half = _MAX_RECORDS_PER_MESSAGE // 2
        top, others = records[:half], records[half:]
        if self._next_index >= len(others):
            self._next_index = 0
        part = others[self._next_index : self._next_index + half]
        self._next_index += half
        return (*top, *part)

    def _messages(
        self, records: tuple[crash_records.CrashRecord, ...], now: float
    ) -> Iterable[router_messages.CrashNews]:
        part: list[crash_records.CrashRecord] = []
        prompt_parts = 0
        for one in records:
            if part and (
                len(part) == _MAX_RECORDS_PER_MESSAGE
                or prompt_parts + len(one.parts) > _MAX_PARTS_PER_MESSAGE
            ):
                yield self._message(records=part, now=now)
                part, prompt_parts = [], 0
            part.append(one)
            prompt_parts += len(one.parts)
        if part:
            yield self._message(records=part, now=now)

    def _message(
        self,
        *,
        now: float,
        records: Iterable[crash_records.CrashRecord] = (),
        answers: Iterable[answer_times.Answer] = (),
    ) -> router_messages.CrashNews:
        return router_messages.CrashNews(
            entry_vm=self._entry_vm,
            domain=self._domain,
            runs=tuple(_run_of(one, now) for one in records),
            answered_parts=tuple(
                router_messages.AnsweredPart(
                    part=types.PromptPartDigest(one.suspect),
                    version=one.version,
                    age_milliseconds=_milliseconds(now - one.begun_at),
                )
                for one in answers
            ),
        )


def records_of(
    news: router_messages.CrashNews, *, now: float
) -> tuple[crash_records.CrashRecord, ...]:
    """Return the records in a message."""
    return tuple(
        crash_records.CrashRecord(
            request=one.request,
            instance=running_requests.UpstreamInstance(
                upstream=one.upstream, start=one.start
            ),
            route=one.route,
            seen_at=now - one.age_milliseconds / 1000.0,
            silent=one.silent,
            void=one.void,
            parts=one.parts,
            version=one.version,
            ran_seconds=one.ran_milliseconds / 1000.0
            if one.ran_milliseconds
            else _UNSTATED_RUN_SECONDS,
        )
        for one in news.runs
    )


def answers_of(
    news: router_messages.CrashNews, *, now: float
) -> tuple[answer_times.Answer, ...]:
    """Return the answers in a message."""
    return tuple(
        answer_times.Answer(
            suspect=one.part,
            version=one.version,
            begun_at=now - one.age_milliseconds / 1000.0 - _TRANSIT_SECONDS,
        )
        for one in news.answered_parts
    )


def _run_of(
    record: crash_records.CrashRecord, now: float
) -> router_messages.CrashedRun:
    return router_messages.CrashedRun(
        request=record.request,
        route=record.route,
        upstream=record.instance.upstream,
        start=record.instance.start,
        age_milliseconds=_milliseconds(now - record.seen_at),
        silent=record.silent,
        void=record.void,
        parts=record.parts,
        version=record.version,
        # 0 means that the duration is not stated.
        ran_milliseconds=max(1, _milliseconds(record.ran_seconds)),
    )


def _milliseconds(age_seconds: float) -> int:
    return round(max(0.0, age_seconds) * 1000.0)
