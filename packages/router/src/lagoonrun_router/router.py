"""Assemble one router process, start its tasks, and stop them gracefully."""

import asyncio
import dataclasses
import gc
import random
import secrets
import socket
from collections.abc import Iterable, Mapping

from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, supervised_task, ticks, types
from lagoonrun_core import stalls as stalls_module
from lagoonrun_duties import platform_calls, usage_exchange
from lagoonrun_http import exchange as exchanges
from lagoonrun_http import server as http_server
from lagoonrun_platform import store as store_module
from lagoonrun_platform import store_eras
from lagoonrun_router import (
    active_tiers,
    adaptive_load,
    admission_floor,
    components,
    connection_forwarder,
    crash_guard,
    declarations,
    dialect,
    domain_aggregate,
    fleet_duties,
    forwarder_choice,
    gauges,
    http_endpoints,
    ingress,
    load_ledger,
    load_view,
    metrics,
    operator_overrides,
    override_endpoint,
    override_writer,
    peer_exchange,
    peer_table,
    pool_capacity,
    pressure,
    prompt_locations,
    reach,
    reader_selection,
    retry_budget,
    route_table,
    router_endpoints,
    settings,
    store_follower,
    store_replica,
    upstream_dialer,
    upstream_links,
    upstream_signs,
    upstreams,
)

_ACCEPTING_SECONDS = 2.6
"""Time from the stop signal until no new connection is accepted.

The load balancer checks readiness once a second and needs two failed checks;
the rest allows for a late check."""

_FULL_SERVICE_SECONDS = 3.0
"""Time from the stop signal until which every request is served, although the
process may end first: callers connect until the load balancer has noticed."""

_STOP_MARGIN_SECONDS = 0.5
"""Time before the process is killed at which the last requests are aborted."""

_HOUSEKEEPING_SECONDS = 1.0
_RECORD_RETRY_SECONDS = 1.0


class Router:
    """The router process of one entry VM.

    Parameters
    ----------
    configured
        Validated settings.
    store
        The platform's store.
    layout
        Keys and formats of the store.
    dialect
        Wire format of the requests and answers.
    clock, rng
        Sources of time and of randomness.
    store_calls_by_kind, unsent_store_calls_by_kind
        Counters of the store's client, for the metrics.
    eras
        Restore epochs (eras) of the store; None if it is never restored.
    listening
        Listening socket of the caller address; None to open one.
    duty_platform
        Receives the calls to the platform of the entry VM that holds the
        duties, the tasks that one entry VM performs for the fleet; None if
        there are none.
    stalls
        Stalls of the event loop, shown as metrics; None if they are not recorded.
    """

    def __init__(
        self,
        *,
        configured: settings.RouterSettings,
        store: store_module.KeyValueStore,
        layout: dialect.StoreLayout,
        dialect: dialect.Dialect,
        clock: clocks.Clock | None = None,
        store_calls_by_kind: Mapping[str, int] | None = None,
        unsent_store_calls_by_kind: Mapping[str, int] | None = None,
        eras: store_eras.StoreEras | None = None,
        rng: random.Random | None = None,
        listening: socket.socket | None = None,
        duty_platform: platform_calls.DutyPlatform | None = None,
        stalls: stalls_module.Stalls | None = None,
    ) -> None:
        self._settings = configured
        self._store = store
        self._duty_platform = duty_platform
        self._layout = layout
        self._clock = clock or clocks.SuspendAwareClock()
        self._rng = rng or random.Random(secrets.randbits(64))
        self._store_calls_by_kind = _or_no_counts(store_calls_by_kind)
        self._unsent_calls_by_kind = _or_no_counts(unsent_store_calls_by_kind)
        self._stalls = stalls or stalls_module.Stalls()
        self._eras = eras or store_eras.StoreEras(clock=self._clock)
        self._stopping = False
        self._was_ready = False
        self._tasks = (
            supervised_task.SupervisedTask(
                name="own-record", function=self._write_own_record
            ),
            supervised_task.SupervisedTask(
                name="house-keeping", function=self._run_housekeeping
            ),
        )
        self.metrics = metrics.RouterMetrics()
        self.directory = upstreams.UpstreamDirectory()
        self._upstream_changes = self.directory.add_feed()
        self._ledger = load_ledger.LoadLedger()
        self._signs = upstream_signs.UpstreamSigns()
        self._prompt_locations = prompt_locations.PromptLocations(
            reuse_seconds=configured.reuse_seconds
        )
        self._domains = reach.DomainReach()
        self._pressure = pressure.Pressure()
        self._aggregate = domain_aggregate.DomainAggregate()
        self.overrides = operator_overrides.OperatorOverrides()
        self._adaptive = adaptive_load.AdaptiveLoad(
            contended=configured.contended,
            weight_override=self.overrides.weight_of,
            pool_of=self.directory.pool_of,
        )
        self._admission_floor = admission_floor.AdmissionFloor(
            started_at=self._clock.monotonic()
        )
        self._budget = retry_budget.RetryBudget(
            allowance=configured.retry_allowance
        )
        self._route_table: route_table.RouteTable | None = None
        self._usage_counting: fleet_duties.UsageCounting | None = None
        if duty_platform is not None and configured.duties is not None:
            self._usage_counting = fleet_duties.UsageCounting(
                configured=configured, clock=self._clock
            )
        self._crash_guard = crash_guard.CrashGuard(
            directory=self.directory,
            counters=self.metrics,
            store=self._store,
            prefix=self._layout.blocked_requests_prefix,
            clock=self._clock,
            rng=self._rng,
        )
        self.crashing_requests = self._crash_guard.crashing_requests
        self._build_replication()
        self._duties = self._build_duties()
        self._build_endpoints(dialect, listening)

    @property
    def _usage_exchange(self) -> usage_exchange.UsageExchange | None:
        return self._usage_counting.exchange if self._usage_counting else None

    def _build_duties(self) -> fleet_duties.FleetDuties | None:
        if self._usage_counting is None:
            return None
        self._usage_counting.send = self.exchange.send_usage
        return fleet_duties.FleetDuties(
            configured=self._settings,
            usage_counting=self._usage_counting,
            store=self._store,
            platform=self._duty_platform,
            duty_inputs=fleet_duties.DutyInputs(
                configured=self._settings,
                exchange=self.exchange,
                domains=self._domains,
                directory=self.directory,
                ledger=self._ledger,
                clock=self._clock,
            ),
            ready=lambda: self.ready,
            clock=self._clock,
            rng=self._rng,
            eras=self._eras,
        )

    def _build_replication(self) -> None:
        configured = self._settings
        self._peer_table = peer_table.PeerTable(
            entry_vm=configured.entry_vm, domain=configured.domain
        )
        self.replica = store_replica.StoreReplica(
            layout=self._layout,
            directory=self.directory,
            peers=self._peer_table,
            blocks=self.crashing_requests,
            overrides=self.overrides,
            on_declarations=self._apply_declarations,
            on_upstreams=self._on_upstreams_changed,
            clock=self._clock,
        )
        self.follower = store_follower.StoreFollower(
            store=self._store,
            listener=self.replica,
            rng=self._rng,
            clock=self._clock,
        )
        self._reader_selection = reader_selection.ReaderSelection(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            processor_cores=configured.processor_cores,
            table=self._peer_table,
            domains=self._domains,
            replica=self.replica,
            follower=self.follower,
            clock=self._clock,
        )
        self.exchange = peer_exchange.PeerExchange(
            configured=configured,
            key=configured.store.host.encode(),
            table=self._peer_table,
            replica=self.replica,
            directory=self.directory,
            ledger=self._ledger,
            prompt_locations=self._prompt_locations,
            domains=self._domains,
            pressure=self._pressure,
            aggregate=self._aggregate,
            adaptive=self._adaptive,
            crashing_requests=self.crashing_requests,
            counters=self.metrics,
            usage=self._usage_exchange,
            clock=self._clock,
            rng=self._rng,
        )
        self._gauges = gauges.Gauges(
            router_metrics=self.metrics,
            directory=self.directory,
            ledger=self._ledger,
            peers=self._peer_table,
            budget=self._budget,
            follower=self.follower,
            crashing_requests=self.crashing_requests,
            limits=self.exchange.notices.limits,
            adaptive=self._adaptive,
        )

    def _build_endpoints(
        self, dialect: dialect.Dialect, listening: socket.socket | None
    ) -> None:
        configured = self._settings
        self._links = upstream_links.UpstreamLinks()
        self._dialer = upstream_dialer.UpstreamDialer(
            directory=self.directory,
            links=self._links,
            forwarders=forwarder_choice.ForwarderChoice(
                domain=configured.domain,
                table=self._peer_table,
                domains=self._domains,
                rng=self._rng,
            ),
            counters=self.metrics,
            clock=self._clock,
        )
        self._crash_guard.watch.reach = self._dialer
        self._forwarder = connection_forwarder.ConnectionForwarder(
            directory=self.directory, links=self._links, clock=self._clock
        )
        self._client = http_endpoints.upstream_client(
            clock=self._clock, dialer=self._dialer
        )
        self._ingress = ingress.Ingress(
            components=components.Components(
                domain=configured.domain,
                dialect=dialect,
                directory=self.directory,
                ledger=self._ledger,
                peers=self._peer_table,
                admission_floor=self._admission_floor,
                active_tiers=active_tiers.ActiveTiers(
                    started_at=self._clock.monotonic()
                ),
                pressure=self._pressure,
                prompt_locations=self._prompt_locations,
                domains=self._domains,
                retry_budget=self._budget,
                client=self._client,
                clock=self._clock,
                rng=self._rng,
                metrics=self.metrics,
                crash_watch=self._crash_guard.watch,
                crashing_requests=self.crashing_requests,
                notices=self.exchange.notices,
                adaptive=self._adaptive,
                capacity=pool_capacity.PoolCapacity(
                    load=self._adaptive, ledger=self._ledger
                ),
                overrides=self.overrides,
                stream_origins=self.exchange.stream_origins,
                signs=self._signs,
                usage=self._usage_exchange,
            )
        )
        self._caller_server = self._server(
            configured.caller, self._ingress, listening
        )
        self._readiness_server = self._server(
            configured.readiness,
            router_endpoints.ReadinessEndpoint(router=self),
        )
        self._peer_server = self._server(
            configured.peer,
            router_endpoints.PeerEndpoint(
                replica=self.replica, forwarder=self._forwarder
            ),
        )
        self._metrics_server = None
        if configured.metrics is not None:
            self._metrics_server = self._server(
                configured.metrics,
                router_endpoints.OperatorEndpoint(
                    router=self,
                    blocks=self.crashing_requests,
                    overrides=override_endpoint.OverrideEndpoint(
                        overrides=self.overrides,
                        writer=override_writer.OverrideWriter(
                            store=self._store,
                            prefix=self._layout.overrides_prefix,
                        ),
                    ),
                    clock=self._clock,
                    load_view=load_view.LoadView(
                        load=self._adaptive,
                        directory=self.directory,
                        ledger=self._ledger,
                    ),
                ),
            )

    def _server(
        self,
        address: settings.Address,
        handler: exchanges.ExchangeHandler,
        listening: socket.socket | None = None,
    ) -> http_server.HttpServer:
        return http_endpoints.server(
            address, handler, clock=self._clock, listening=listening
        )

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        known = self.replica.revision > 0 and self.replica.upstreams_known
        ready = known and not self._stopping
        if ready != self._was_ready:
            self._was_ready = ready
            logs.emit(
                events.LogEvent.READINESS_CHANGED,
                ready=ready,
                revision=self.replica.revision,
                upstreams_known=self.replica.upstreams_known,
                stopping=self._stopping,
            )
        return ready

    @property
    def peer_count(self) -> int:
        """Number of other entry VMs that were recently in contact."""
        return len(self._peer_table.known())

    def known_running(self, upstream: types.UpstreamId) -> int:
        """Return the known number of requests that run at `upstream`."""
        now = self._clock.monotonic()
        return self._ledger.load_of(upstream, now=now).running

    async def start(self) -> None:
        """Start all tasks; ready once declarations and upstreams are known."""
        logs.emit(
            events.LogEvent.PROCESS_STARTED,
            domain=self._settings.domain,
            store=f"{self._settings.store.host}:{self._settings.store.port}",
        )
        await self._readiness_server.start()
        await self._caller_server.start()
        await self._peer_server.start()
        if self._metrics_server is not None:
            await self._metrics_server.start()
        await self.exchange.start()
        await self.follower.start()
        await self._reader_selection.start()
        await self._crash_guard.start()
        await self._dialer.start()
        if self._duties is not None:
            await self._duties.start()
        for task in self._tasks:
            task.start()
        # Objects that exist now live as long as the process; freezing excludes
        # them from garbage collections.
        gc.freeze()
        gc.enable()

    async def stop(self) -> int:
        """Stop gracefully; return the number of aborted requests."""
        stopped_at = self._clock.monotonic()
        self._stopping = True
        self.exchange.begin_stop()
        self._reader_selection.begin_stop()
        self._forwarder.begin_stop()
        logs.emit(
            events.LogEvent.PROCESS_STOPPING,
            open_exchanges=self._caller_server.open_exchanges,
        )
        self._caller_server.disable_keep_alive()
        self._ingress.begin_stop(
            full_service_until=stopped_at + _FULL_SERVICE_SECONDS,
            ends_at=stopped_at
            + self._settings.stop_seconds
            - _STOP_MARGIN_SECONDS,
        )
        await asyncio.gather(
            asyncio.sleep(_ACCEPTING_SECONDS), self._release_duties()
        )
        self._caller_server.stop_accepting()
        elapsed_seconds = self._clock.monotonic() - stopped_at
        remaining_seconds = (
            self._settings.stop_seconds - _STOP_MARGIN_SECONDS - elapsed_seconds
        )
        remaining_seconds = max(0.0, remaining_seconds)
        cut_requests, cut_connections = await asyncio.gather(
            self._caller_server.drain(remaining_seconds),
            self._forwarder.drain(remaining_seconds),
        )
        cut = cut_requests + cut_connections
        await self.close()
        logs.emit(events.LogEvent.PROCESS_STOPPED, cut_requests=cut)
        return cut

    async def _release_duties(self) -> None:
        if self._duties is not None:
            await self._duties.stop(within_seconds=_ACCEPTING_SECONDS)

    async def close(self) -> None:
        """Stop all tasks at once."""
        for task in self._tasks:
            await task.close()
        if self._duties is not None:
            await self._duties.close()
        await self._reader_selection.close()
        await self.follower.close()
        await self._caller_server.close()
        await self.exchange.close()
        await self._dialer.close()
        await self._client.close()
        await self._crash_guard.close()
        await self._peer_server.close()
        await self._readiness_server.close()
        if self._metrics_server is not None:
            await self._metrics_server.close()

    # Changes of settings, declarations and upstreams.

    def apply_settings(
        self, changed: settings.RouterSettings
    ) -> frozenset[str]:
        """Apply settings; return the names of those that need a restart.

        A changed address of the store is applied by the store's client.
        """
        names = settings.changed_names(self._settings, changed)
        self._settings = dataclasses.replace(
            self._settings,
            seeds=changed.seeds,
            stop_seconds=changed.stop_seconds,
            retry_allowance=changed.retry_allowance,
        )
        self.exchange.use_seeds(changed.seeds)
        self._budget.set_allowance(changed.retry_allowance)
        return names - settings.CHANGEABLE_NAMES

    def _apply_declarations(self, declared: declarations.Declarations) -> None:
        self._route_table = route_table.RouteTable(declared=declared)
        self._ingress.set_route_table(self._route_table)
        self.exchange.stream_origins.routes.observe(
            declared.routes, now=self._clock.monotonic()
        )
        self._adaptive.apply_declarations(declared)
        if self._duties is not None:
            self._duties.duty_inputs.use(declared.pools_by_name.values())
        self.metrics.revision.set(declared.revision)
        self._caller_server.set_limits(
            http_endpoints.caller_limits(declared.caller_limits)
        )

    def _on_upstreams_changed(self) -> None:
        for restarted in self.directory.pop_restarted():
            before = restarted.before
            self._ledger.forget_instance(before.id)
            self._aggregate.forget_instance(before.id)
            self._adaptive.forget_instance(before.id)
            self._prompt_locations.forget_upstream(before.id)
            self.exchange.notices.forget_instance(before)
            self._client.abort_connections(
                before.host, before.port, opened_until=restarted.heard_at
            )
        changes = self._upstream_changes.pop()
        self._observe_versions(
            one
            for change in changes
            for one in (change.before, change.now)
            if one is not None
        )
        self._crash_guard.observe_upstreams()
        if self.replica.upstreams_known:
            self._ingress.on_upstreams_known()
        if any(change.now is None for change in changes):
            self._forget_unknown_upstreams()

    def _forget_unknown_upstreams(self) -> None:
        known = frozenset(one.id for one in self.directory.registrations)
        self._ledger.forget_upstreams(known)
        self._signs.forget_upstreams(known)
        self._aggregate.forget_upstreams(known)
        self._adaptive.forget_upstreams(known)
        self._links.retain(known)

    def _observe_versions(
        self, registrations: Iterable[upstreams.Registration]
    ) -> None:
        now = self._clock.monotonic()
        is_current = self.replica.follows_store or bool(
            self._peer_table.store_readers(now=now)
        )
        self.directory.observe_reading(is_current=is_current, now=now)
        self.exchange.stream_origins.observe_upstreams(
            registrations,
            is_current=is_current and self.replica.upstreams_known,
        )

    async def _write_own_record(self) -> None:
        """Write this entry VM's address to the store, retrying if needed."""
        key = self._layout.entry_vms_prefix + self._settings.entry_vm
        value = self._peer_table.record(
            self._settings.peer,
            processor_cores=self._settings.processor_cores,
        )
        while True:
            result = await self._store.transact(
                comparisons=(),
                puts=[store_module.Put(key=key, value=value)],
            )
            if isinstance(result, store_module.Committed):
                return
            # The write is idempotent, so it is retried even if it may have run.
            pause = _RECORD_RETRY_SECONDS * (0.5 + self._rng.random())
            await asyncio.sleep(pause)

    async def _run_housekeeping(self) -> None:
        while True:
            await ticks.sleep_to_tick(_HOUSEKEEPING_SECONDS)
            now = self._clock.monotonic()
            entry_vm_count = self._peer_table.budget_sharers(now=now)
            self._budget.set_entry_vm_count(entry_vm_count)
            self._admission_floor.set_entry_vm_count(entry_vm_count)
            self._crash_guard.run_housekeeping()
            self._observe_versions(self.directory.registrations)

    def metrics_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        if self._duties is not None:
            self._duties.update_gauges(self.metrics)
        self.metrics.store_era.set(self._eras.newest)
        self.metrics.cut_upstream_links.set(len(self._links.cut))
        self.metrics.stream_origins.set(
            self.exchange.stream_origins.record_count
        )
        self.metrics.forwarded_connections.set(self._forwarder.open_connections)
        self._gauges.refresh(
            now=self._clock.monotonic(),
            ready=self.ready,
            table=self._route_table,
            store_calls_by_kind=self._store_calls_by_kind,
            unsent_store_calls_by_kind=self._unsent_calls_by_kind,
            stalls=self._stalls,
        )
        return self.metrics.text()


def _or_no_counts(count_by_kind: Mapping[str, int] | None) -> Mapping[str, int]:
    # An empty counter of a client is kept, since it is read again later.
    return {} if count_by_kind is None else count_by_kind
