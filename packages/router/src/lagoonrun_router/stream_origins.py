"""Find out where a stream began that a caller takes up at this entry VM.

The caller names the request that brought the first event. The entry VM that
sent it tells two others the pool and version before the first event can arrive,
unless the pool has had one version for longer than a stream lasts. An entry VM
at which the stream is taken up asks those that may know. It never guesses: a
stream of unknown origin is not continued.
"""

import random
from collections.abc import Iterable

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import (
    declarations,
    metrics,
    news_broadcaster,
    origin_holders,
    origin_queries,
    origin_records,
    peer_table,
    route_history,
    settings,
    stream_origin,
    upstreams,
    version_history,
)

_MIN_STREAM_SECONDS = 30.0
_STREAM_LIMITS = 2.0
"""Longest time from the first attempt of a stream to the last try of its caller
to continue it, as a multiple of the route's time limit."""

_MAX_ROWS = 40
"""Rows in a datagram, which has to stay below the size of a fragment."""

_TICK_SECONDS = 1.0


class StreamOrigins:
    """Keeps where streams began, tells other entry VMs, and asks them.

    Parameters
    ----------
    configured
        Settings of the process.
    table
        The other entry VMs.
    send
        Sends a message to each address.
    counters
        Metrics; counts streams that are taken up.
    clock, rng
        Sources of time and of randomness.

    Attributes
    ----------
    versions, routes
        The versions of each pool and the destinations of each route, with
        their history.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        table: peer_table.PeerTable,
        send: news_broadcaster.Sender,
        counters: metrics.RouterMetrics,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._configured = configured
        self._table = table
        self._send = send
        self._metrics = counters
        self._clock = clock
        self._records = origin_records.OriginRecords()
        self._queries = origin_queries.OriginQueries(
            peer_address=configured.peer, table=table, send=send, rng=rng
        )
        self._ticked_at = float("-inf")
        self.versions = version_history.VersionHistory()
        self.routes = route_history.RouteHistory()

    @property
    def record_count(self) -> int:
        """Number of streams whose origin is kept here."""
        return len(self._records)

    # Streams of this entry VM.

    def record_sent(
        self,
        request: types.RequestId,
        route: declarations.Route,
        origin: stream_origin.StreamOrigin,
    ) -> None:
        """Record that a request is sent to where its stream may begin."""
        now = self._clock.monotonic()
        known = self._records.get(request, now=now)
        if known is not None and known.origin == origin:
            return
        record = origin_records.OriginRecord(
            request=request,
            origin=origin,
            attempt=known.attempt + 1 if known else 1,
            recorded_at=now,
            seconds=_stream_seconds(route),
            is_own=True,
        )
        self._records.put(record)
        if self._must_tell(record, now):
            self._tell((record,), now)

    def record_complete(self, request: types.RequestId) -> None:
        """Record that a stream was sent to its end, and need not be told."""
        record = self._records.get(request, now=self._clock.monotonic())
        if record is not None:
            record.is_told = True

    def observe_upstreams(
        self,
        registrations: Iterable[upstreams.Registration],
        *,
        is_current: bool,
    ) -> None:
        """Record the versions in use; see `VersionHistory.observe`.

        If a pool gets a second version, tells where the present streams began.
        """
        now = self._clock.monotonic()
        self.versions.observe(registrations, is_current=is_current, now=now)
        untold = [
            one
            for one in tuple(self._records.untold())
            if self._must_tell(one, now)
        ]
        if untold:
            self._tell(untold, now)

    def tick(self, *, now: float) -> None:
        """Drop expired records once a second."""
        if now - self._ticked_at >= _TICK_SECONDS:
            self._ticked_at = now
            self._records.remove_expired(now=now)

    def _must_tell(
        self, record: origin_records.OriginRecord, now: float
    ) -> bool:
        pool = record.origin.pool
        sole = self.versions.sole_version(pool, seconds=record.seconds, now=now)
        return sole is None

    def _tell(
        self,
        records: Iterable[origin_records.OriginRecord],
        now: float,
        *,
        silent: frozenset[types.EntryVmId] = frozenset(),
    ) -> None:
        """Tell the holders of each stream where it began.

        Parameters
        ----------
        silent
            Entry VMs that have just not answered and are probably lost.
        """
        peers = {
            domain: [one for one in entry_vms if one not in silent]
            for domain, entry_vms in self._table.candidates_by_domain().items()
        }
        rows_by_holder: dict[
            types.EntryVmId, list[router_messages.OriginRow]
        ] = {}
        for record in records:
            record.is_told = True
            for holder in origin_holders.holders(
                record.request, peers, own_domain=self._configured.domain
            ):
                rows = rows_by_holder.setdefault(holder, [])
                rows.append(_row_of(record, now))
        for holder, rows in rows_by_holder.items():
            self._metrics.stream_origins_told.inc(len(rows))
            for start in range(0, len(rows), _MAX_ROWS):
                news = router_messages.OriginNews(
                    rows=tuple(rows[start : start + _MAX_ROWS]),
                )
                self._send(news, self._table.addresses_of((holder,)))

    # Streams that callers take up.

    async def find(
        self,
        request: types.RequestId,
        route: declarations.Route,
        *,
        taken_up_by: types.RequestId,
    ) -> stream_origin.FoundOrigin:
        """Find out where a stream began.

        Parameters
        ----------
        request
            The request that brought its first event; empty if unstated.
        route
            Route of the request that takes it up.
        taken_up_by
            Id of that request, for the log.
        """
        began_at = self._clock.monotonic()
        own = self._find_here(request, route, now=began_at)
        asked = origin_queries.Asked(found=(own,))
        if not own.is_final:
            asked = await self._queries.ask(request, route, own)
        found = self._doubt_outdated(stream_origin.combine(asked.found), asked)
        self._keep(request, route, found, asked)
        self._log(request, found, asked, began_at, taken_up_by)
        return found

    def _find_here(
        self,
        request: types.RequestId,
        route: declarations.Route,
        *,
        now: float,
    ) -> stream_origin.FoundOrigin:
        """Return what this entry VM knows by itself."""
        record = self._records.get(request, now=now)
        if record is not None:
            return stream_origin.FoundOrigin(
                evidence=stream_origin.Evidence.RECORD,
                origin=record.origin,
                source=self._configured.entry_vm,
                age_seconds=now - record.recorded_at,
                attempt=record.attempt,
                is_final=record.is_own,
            )
        seconds = _stream_seconds(route)
        for destination in route.destinations:
            if self.versions.has_several(
                destination.pool, seconds=seconds, now=now
            ):
                return self._without_origin(
                    stream_origin.Evidence.SEVERAL_VERSIONS
                )
        pool = self.routes.pool_of(
            route_history.key_of(route), request, seconds=seconds, now=now
        )
        version = pool and self.versions.sole_version(
            pool, seconds=seconds, now=now
        )
        if pool is None or version is None:
            return self._without_origin(stream_origin.Evidence.TOO_NEW)
        return stream_origin.FoundOrigin(
            evidence=stream_origin.Evidence.SOLE_VERSION,
            origin=stream_origin.StreamOrigin(pool=pool, version=version),
            source=self._configured.entry_vm,
        )

    def _without_origin(
        self, evidence: stream_origin.Evidence
    ) -> stream_origin.FoundOrigin:
        return stream_origin.FoundOrigin(
            evidence=evidence, source=self._configured.entry_vm
        )

    def _doubt_outdated(
        self, found: stream_origin.FoundOrigin, asked: origin_queries.Asked
    ) -> stream_origin.FoundOrigin:
        """Return what was found, unless only an outdated view supports it.

        An entry VM that is cut off from the others and from the store does not
        hear of a new version at which a stream may have begun.
        """
        if (
            found.evidence is stream_origin.Evidence.SOLE_VERSION
            and asked.silent
            and asked.answered == 0
            and not self.versions.is_current(now=self._clock.monotonic())
        ):
            return self._without_origin(stream_origin.Evidence.TOO_NEW)
        return found

    def _keep(
        self,
        request: types.RequestId,
        route: declarations.Route,
        found: stream_origin.FoundOrigin,
        asked: origin_queries.Asked,
    ) -> None:
        """Keep and pass on a record for a further try of the caller.

        Those who kept it may be lost by then.
        """
        if found.origin is None or found.is_final:
            return
        if found.evidence is not stream_origin.Evidence.RECORD:
            return
        now = self._clock.monotonic()
        record = origin_records.OriginRecord(
            request=request,
            origin=found.origin,
            attempt=found.attempt,
            recorded_at=now,
            seconds=_stream_seconds(route),
            is_own=True,
        )
        self._records.put(record)
        if self._must_tell(record, now):
            self._tell((record,), now, silent=asked.silent)

    def _log(
        self,
        request: types.RequestId,
        found: stream_origin.FoundOrigin,
        asked: origin_queries.Asked,
        began_at: float,
        taken_up_by: types.RequestId,
    ) -> None:
        self._metrics.streams_taken_up.labels(found.evidence.value).inc()
        logs.emit(
            events.LogEvent.STREAM_TAKEN_UP,
            request_id=taken_up_by,
            resumes=request,
            evidence=found.evidence.value,
            pool=found.origin.pool if found.origin else "",
            version=found.origin.version if found.origin else "",
            source=found.source,
            age_seconds=round(found.age_seconds, 3),
            answered=asked.answered,
            unanswered=len(asked.silent),
            seconds=round(self._clock.monotonic() - began_at, 4),
        )

    # Messages of peers.

    def receive_message(
        self, message: router_messages.RouterMessage, *, now: float
    ) -> bool:
        """Apply a peer's message; return whether it was about streams."""
        if isinstance(message, router_messages.OriginNews):
            self._receive_news(message, now)
        elif isinstance(message, router_messages.OriginQuery):
            self._answer(message, now)
        elif isinstance(message, router_messages.OriginAnswer):
            self._queries.receive_answer(message)
        else:
            return False
        return True

    def _receive_news(
        self, news: router_messages.OriginNews, now: float
    ) -> None:
        for row in news.rows:
            record = origin_records.OriginRecord(
                request=row.request,
                origin=stream_origin.StreamOrigin(
                    pool=row.pool, version=row.version
                ),
                attempt=row.attempt,
                recorded_at=now,
                seconds=row.left_milliseconds / 1000.0,
            )
            self._records.put(record)

    def _answer(self, query: router_messages.OriginQuery, now: float) -> None:
        route = self.routes.route_of(query.route)
        if route is None:
            found = self._without_origin(stream_origin.Evidence.TOO_NEW)
        else:
            found = self._find_here(query.request, route, now=now)
        origin = found.origin
        answer = router_messages.OriginAnswer(
            entry_vm=self._configured.entry_vm,
            number=query.number,
            evidence=found.evidence.value,
            pool=origin.pool if origin else types.NO_POOL,
            version=origin.version
            if origin
            else types.UNKNOWN_UPSTREAM_VERSION,
            age_milliseconds=round(found.age_seconds * 1000.0),
            attempt=found.attempt,
        )
        address = settings.Address(host=query.host, port=query.port)
        self._send(answer, (address,))


def _row_of(
    record: origin_records.OriginRecord, now: float
) -> router_messages.OriginRow:
    left_seconds = max(0.0, record.recorded_at + record.seconds - now)
    return router_messages.OriginRow(
        request=record.request,
        pool=record.origin.pool,
        version=record.origin.version,
        attempt=record.attempt,
        left_milliseconds=round(left_seconds * 1000.0),
    )


def _stream_seconds(route: declarations.Route) -> float:
    """Return how long a stream may last, over all tries of its caller."""
    return max(
        _MIN_STREAM_SECONDS, _STREAM_LIMITS * route.profile.limit_seconds
    )
