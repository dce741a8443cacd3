"""Ask other entry VMs where a stream began that a caller takes up."""

import asyncio
import dataclasses
import random

from lagoonrun_core import types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    declarations,
    news_broadcaster,
    origin_holders,
    peer_table,
    route_history,
    settings,
    stream_origin,
)

_ANSWER_SECONDS = 0.3
"""Longest wait for answers, in which silent entry VMs are asked three times."""

_PROMPT_ANSWER_SECONDS = 0.05
"""Time after which silent entry VMs are no longer waited for if this one and two
that have answered know of one version only."""

_MIN_AGREEING_ANSWERS = 2

_LATER_ATTEMPT_SECONDS = 0.05
"""Wait for a record of a later attempt after one has been found: its message to
one of the two holders may be lost."""

_ASK_AGAIN_SECONDS = 0.1
"""Time after which those are asked again that have not answered: datagrams get
lost."""

_NUMBER_BITS = 48


@dataclasses.dataclass(frozen=True, kw_only=True)
class Asked:
    """What was found out by asking.

    Parameters
    ----------
    found
        Statement of this entry VM, then the answers.
    silent
        Entry VMs that did not answer.
    """

    found: tuple[stream_origin.FoundOrigin, ...]
    silent: frozenset[types.EntryVmId] = frozenset()

    @property
    def answered(self) -> int:
        """Number of answers."""
        return len(self.found) - 1


@dataclasses.dataclass(kw_only=True)
class _Query:
    """A query and the entry VMs whose answers are due."""

    message: router_messages.OriginQuery
    waiting: set[types.EntryVmId]
    found: list[stream_origin.FoundOrigin]
    answered: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def has_record(self) -> bool:
        """Whether some entry VM has a record of the stream."""
        return any(
            one.evidence is stream_origin.Evidence.RECORD for one in self.found
        )

    @property
    def is_decided(self) -> bool:
        """Whether no further answer is waited for.

        The first statement is that of this entry VM.
        """
        if not self.waiting or self.has_record:
            return True
        if not self.message.request:
            # Without the id of a request nobody can have its record.
            return True
        own, *answers = self.found
        return (
            own.evidence is stream_origin.Evidence.SOLE_VERSION
            and len(answers) >= _MIN_AGREEING_ANSWERS
            and stream_origin.combine(self.found).origin == own.origin
        )


class OriginQueries:
    """Sends queries and matches the answers to them.

    Parameters
    ----------
    peer_address
        Address at which this entry VM receives the answers.
    table
        The other entry VMs.
    send
        Sends a message to each address.
    rng
        Source of randomness.
    """

    def __init__(
        self,
        *,
        peer_address: settings.Address,
        table: peer_table.PeerTable,
        send: news_broadcaster.Sender,
        rng: random.Random,
    ) -> None:
        self._peer_address = peer_address
        self._table = table
        self._send = send
        # Random, so that an answer to the previous process is not accepted.
        self._number = rng.getrandbits(_NUMBER_BITS)
        self._query_by_number: dict[int, _Query] = {}

    async def ask(
        self,
        request: types.RequestId,
        route: declarations.Route,
        own: stream_origin.FoundOrigin,
    ) -> Asked:
        """Ask the entry VMs that may know where a stream began.

        Parameters
        ----------
        request
            The request that brought its first event; empty if unstated.
        own
            What this entry VM knows.
        """
        self._number += 1
        asked = origin_holders.asked(
            request, self._table.candidates_by_domain()
        )
        query = _Query(
            message=router_messages.OriginQuery(
                host=self._peer_address.host,
                port=self._peer_address.port,
                number=self._number,
                request=request,
                route=route_history.key_of(route),
            ),
            waiting=set(asked),
            found=[own],
        )
        self._query_by_number[self._number] = query
        try:
            async with asyncio.timeout(_ANSWER_SECONDS):
                self._send(query.message, self._table.addresses_of(asked))
                await _wait_for_answers(query, _PROMPT_ANSWER_SECONDS)
                while not query.is_decided:
                    await _wait_for_answers(query, _ASK_AGAIN_SECONDS)
                    self._send(
                        query.message, self._table.addresses_of(query.waiting)
                    )
                if query.has_record:
                    await _wait_for_answers(query, _LATER_ATTEMPT_SECONDS)
        except TimeoutError:
            pass
        finally:
            del self._query_by_number[query.message.number]
        return Asked(found=tuple(query.found), silent=frozenset(query.waiting))

    def receive_answer(self, answer: router_messages.OriginAnswer) -> None:
        """Receive the answer to a query of this entry VM."""
        query = self._query_by_number.get(answer.number)
        if query is None or answer.entry_vm not in query.waiting:
            return
        query.waiting.discard(answer.entry_vm)
        evidence = stream_origin.Evidence(answer.evidence)
        origin = None
        if answer.pool:
            origin = stream_origin.StreamOrigin(
                pool=answer.pool, version=answer.version
            )
        query.found.append(
            stream_origin.FoundOrigin(
                evidence=evidence,
                origin=origin,
                source=answer.entry_vm,
                age_seconds=answer.age_milliseconds / 1000.0,
                attempt=answer.attempt,
            )
        )
        query.answered.set()


async def _wait_for_answers(query: _Query, seconds: float) -> None:
    """Wait for all answers; without a record, end at the first one."""
    had_record = query.has_record
    try:
        async with asyncio.timeout(seconds):
            while query.waiting and query.has_record is had_record:
                query.answered.clear()
                await query.answered.wait()
    except TimeoutError:
        return
