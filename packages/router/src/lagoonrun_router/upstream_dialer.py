"""Open connections to upstreams, by way of another entry VM if need be.

The attempts are staggered as in RFC 8305 ("Happy Eyeballs"): if the direct
connection fails or takes long, another entry VM is asked for one, and the first
connection that opens is used. While the link is known to be cut, other entry VMs
are asked first.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Iterator

from lagoonrun_core import clock as clocks
from lagoonrun_core import patience, supervised_task, ticks, types
from lagoonrun_http import dialing, upstream_connection
from lagoonrun_router import (
    forwarded_connection,
    forwarder_choice,
    metrics,
    settings,
    staggered,
    upstream_links,
    upstreams,
)

_STAGGER_SECONDS = 0.1
"""Time after which the next attempt starts: thirty round trips. Short requests
have targets from 0.125 s on."""

_MAX_FORWARDERS = 3
"""Entry VMs that are asked for one connection. If half of them are cut as well
and nobody knows yet, seven of eight requests find one that is not."""

_TRIAL_TIMEOUT_SECONDS = 0.4
_TRIAL_TICK_SECONDS = 0.05

_ALL_ATTEMPTS_SECONDS = _STAGGER_SECONDS * _MAX_FORWARDERS
"""Time after which all attempts have started."""

_Connection = upstream_connection.UpstreamConnection
_Attempt = Callable[[], Awaitable[_Connection]]


class UpstreamDialer:
    """Opens the connections of this entry VM to upstreams; see `Dialer`.

    Parameters
    ----------
    directory
        The upstreams.
    links
        State of the links; updated by what the attempts show.
    forwarders
        Chooses the other entry VMs.
    counters
        Counts the connections that other entry VMs were asked for.
    clock
        Source of time.
    """

    def __init__(
        self,
        *,
        directory: upstreams.UpstreamDirectory,
        links: upstream_links.UpstreamLinks,
        forwarders: forwarder_choice.ForwarderChoice,
        counters: metrics.RouterMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._directory = directory
        self._links = links
        self._forwarders = forwarders
        self._metrics = counters
        self._clock = clock
        self._direct = dialing.DirectDialer()
        self._trials_by_upstream: dict[
            types.UpstreamId, asyncio.Task[None]
        ] = {}
        self._task = supervised_task.SupervisedTask(
            name="upstream-links", function=self._run_trials
        )

    async def start(self) -> None:
        """Start to try links that are cut."""
        self._task.start()

    async def close(self) -> None:
        """Stop trying links."""
        await self._task.close()
        trials = tuple(self._trials_by_upstream.values())
        for trial in trials:
            trial.cancel()
        await asyncio.gather(*trials, return_exceptions=True)

    def may_reuse(self, connection: _Connection) -> bool:
        """Return whether an idle connection may be used; see `Dialer`."""
        if not connection.is_forwarded and not self._links.cut:
            return True
        registration = self._directory.registration_at(
            connection.address, connection.port
        )
        if registration is None:
            return True
        if connection.is_forwarded:
            return self._links.is_cut(registration.id)
        return self._links.may_reuse(registration.id)

    async def dial(
        self,
        endpoint: dialing.Endpoint,
        make_connection: dialing.MakeConnection,
    ) -> _Connection:
        """Return an open connection; see `Dialer`."""
        registration = self._directory.registration_at(
            endpoint.address, endpoint.port
        )
        if registration is None:
            return await self._direct.dial(endpoint, make_connection)
        began_at = self._clock.monotonic()
        may_forward = self._links.may_forward(registration.id, now=began_at)
        try:
            connection = await staggered.first_result(
                self._attempts(
                    registration,
                    endpoint,
                    make_connection,
                    may_forward=may_forward,
                ),
                stagger_seconds=_STAGGER_SECONDS,
                discard=_Connection.abort,
            )
        except (OSError, asyncio.CancelledError) as error:
            ended_at = self._clock.monotonic()
            # A caller that has left says nothing of the upstream.
            all_tried = (
                isinstance(error, OSError)
                or ended_at - began_at >= _ALL_ATTEMPTS_SECONDS
            )
            if may_forward and all_tried:
                self._links.record_unreachable(registration.id, now=ended_at)
            raise
        self._record(registration.id, connection)
        return connection

    def _attempts(
        self,
        registration: upstreams.Registration,
        endpoint: dialing.Endpoint,
        make_connection: dialing.MakeConnection,
        *,
        may_forward: bool,
    ) -> Iterator[_Attempt]:
        """Yield the attempts in their order; later ones only when needed."""
        dial_directly = functools.partial(
            self._direct.dial, endpoint, make_connection
        )
        is_cut = self._links.is_cut(registration.id)
        if not is_cut:
            yield dial_directly
        if may_forward:
            now = self._clock.monotonic()
            for peer, address in self._forwarders.ordered(
                registration.domain, count=_MAX_FORWARDERS, now=now
            ):
                yield functools.partial(
                    self._dial_by_way_of,
                    peer,
                    address,
                    registration.id,
                    make_connection,
                )
        if is_cut:
            yield dial_directly

    def _record(
        self, upstream: types.UpstreamId, connection: _Connection
    ) -> None:
        now = self._clock.monotonic()
        if connection.is_forwarded:
            self._links.record_cut(
                upstream, detail="reached by way of another entry VM", now=now
            )
        else:
            self._links.record_reached(upstream, now=now)

    async def _dial_by_way_of(
        self,
        peer: types.EntryVmId,
        address: settings.Address,
        upstream: types.UpstreamId,
        make_connection: dialing.MakeConnection,
    ) -> _Connection:
        result = "failed"
        try:
            connection = await forwarded_connection.open_forwarded(
                make_connection, upstream=upstream, forwarder=address
            )
            result = "opened"
        except (OSError, asyncio.CancelledError):
            self._forwarders.record_failed(peer, now=self._clock.monotonic())
            raise
        finally:
            self._metrics.forwarders_asked.labels(result).inc()
        self._forwarders.record_opened(peer, now=self._clock.monotonic())
        return connection

    async def is_reached_by_others(
        self, upstream: upstreams.Registration
    ) -> bool:
        """Return whether another entry VM connects to `upstream`."""
        now = self._clock.monotonic()
        probes = [
            functools.partial(
                forwarded_connection.probe,
                upstream.id,
                forwarder=address,
                clock=self._clock,
            )
            for _, address in self._forwarders.ordered(
                upstream.domain, count=_MAX_FORWARDERS, now=now
            )
        ]
        try:
            async with patience.PatienceTimeout(
                _TRIAL_TIMEOUT_SECONDS, clock=self._clock
            ):
                await staggered.first_result(
                    probes, stagger_seconds=_STAGGER_SECONDS
                )
        except OSError:
            return False
        self._links.record_cut(
            upstream.id, detail="refused here, reached by another", now=now
        )
        return True

    # Trials of links that are cut.

    async def _run_trials(self) -> None:
        while True:
            await ticks.sleep_to_tick(_TRIAL_TICK_SECONDS)
            now = self._clock.monotonic()
            while (upstream := self._links.pop_trial(now=now)) is not None:
                if upstream not in self._trials_by_upstream:
                    self._trials_by_upstream[upstream] = asyncio.create_task(
                        self._try_link(upstream)
                    )

    async def _try_link(self, upstream: types.UpstreamId) -> None:
        registration = self._directory.registration_of(upstream)
        loop = asyncio.get_running_loop()
        try:
            if registration is None:
                return
            async with patience.PatienceTimeout(
                _TRIAL_TIMEOUT_SECONDS, clock=self._clock
            ):
                transport, _ = await loop.create_connection(
                    asyncio.Protocol, registration.host, registration.port
                )
        except OSError:
            return
        finally:
            del self._trials_by_upstream[upstream]
        transport.close()
        self._links.record_reached(upstream, now=self._clock.monotonic())
