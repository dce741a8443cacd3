"""The `lagoonrund` daemon: construction, start and graceful stop."""

import asyncio
import random
import secrets

from lagoonrun_claims import claims
from lagoonrun_config import follower as followers
from lagoonrun_config import model, settings
from lagoonrun_core import clock as clocks
from lagoonrun_core import events, logs, types
from lagoonrun_daemon import (
    admin,
    background,
    dispatcher,
    experiment,
    explanations,
    fleet,
    gauges,
    ingress,
    loads,
    message_router,
    metrics,
    naive_permits,
    peer_snapshots,
    permits,
    placement,
    reach,
    shards,
    stalls,
    status,
    summaries,
    transport,
    upstream_reports,
    vm_watch,
)
from lagoonrun_daemon import services as daemon_services
from lagoonrun_http import limits as http_limits
from lagoonrun_http import server as http_server
from lagoonrun_http import upstream as http_upstream
from lagoonrun_membership import membership, ranking
from lagoonrun_platform import etcd_gateway
from lagoonrun_policy import retries
from lagoonrun_protocol import hub, messages

_CLAIMS_SHARE = 0.4
"""Fraction of the budget of platform calls that claims may use."""

_HUB_FLUSH_SECONDS = 1.0

_MAX_CALL_SECONDS = 3600.0
"""Upper bound on non-idempotent calls, which no profile's limit stops."""

_SETTLEMENT_TIMEOUT_SECONDS = 2.0

_STALLED_BODY_SECONDS = 15.0
"""Idle time within a response body after which the response counts as lost.

A stopped engine keeps its connections open. If the target of a profile is the
first token, its time limit no longer applies after that token: nothing else
would detect the stall, and the caller would be left with a truncated response.
"""


class Daemon:
    """All components of one entry VM.

    Parameters
    ----------
    configured
        Validated settings.
    clock
        Source of time.
    rng
        Source of jitter.
    """

    def __init__(
        self,
        *,
        configured: settings.Settings,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._settings = configured
        self._clock = clock or clocks.SystemClock()
        self._random = rng or random.Random(secrets.randbits(64))
        self._configured_event = asyncio.Event()
        self._stopping = False
        self._in_force_at: float | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._build_network()
        self._build_decisions()
        self._build_edges()
        gauges.connect(self)

    def _build_network(self) -> None:
        configured = self._settings
        # Milliseconds since the Unix epoch: increases with each start of the
        # same entry VM, without any state on disk.
        self._incarnation = types.Incarnation(int(self._clock.wall() * 1000))
        self.store = etcd_gateway.EtcdGateway(
            addresses=configured.platform,
            clock=self._clock,
            rng=self._random,
            calls_per_second=configured.platform_calls_per_second,
            burst=2 * configured.platform_calls_per_second,
        )
        self.members = membership.Membership(
            self_view=self._own_view(),
            host=configured.peer.host,
            port=configured.peer.port,
            seeds=[
                hub.PeerAddress(host=seed.host, port=seed.port)
                for seed in configured.seeds
            ],
            key=configured.inner_key,
            clock=self._clock,
            rng=self._random,
            listener=self,
        )
        self.hub = hub.PeerHub(
            entry_vm=configured.entry_vm,
            incarnation=self._incarnation,
            domain=configured.domain,
            host=configured.peer.host,
            port=configured.peer.port,
            key=configured.inner_key,
            address_book=self.members,
            handler=self,
            clock=self._clock,
            rng=self._random,
        )
        self._transport = transport.LoopbackTransport(
            entry_vm=configured.entry_vm, remote=self.hub
        )

    def _own_view(self) -> membership.MemberView:
        configured = self._settings
        return membership.MemberView(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            incarnation=self._incarnation,
            state=messages.MemberState.ALIVE,
            peer_host=configured.peer.host,
            peer_port=configured.peer.port,
            admin_port=configured.admin.port,
            revision=types.Revision(0),
            digest="",
        )

    def _build_decisions(self) -> None:
        configured = self._settings
        self.explanations = explanations.ExplanationRing(
            capacity=configured.explain_capacity
        )
        self.fleet = fleet.FleetView(
            entry_vm=configured.entry_vm,
            domain=configured.domain,
            members=self.members,
        )
        self.dispatcher = dispatcher.Dispatcher(
            entry_vm=configured.entry_vm,
            view=self.fleet,
            transport=self._transport,
            explanations=self.explanations,
            clock=self._clock,
            switches=experiment.switches_of(configured.experiment),
        )
        self._stalls = stalls.StallDetector(clock=self._clock)
        self._stalls.subscribe(self.dispatcher.on_stall)
        self._reach = reach.DomainReach(clock=self._clock)
        self.permits = permits.PermitClient(
            entry_vm=configured.entry_vm,
            ranking=self.fleet,
            transport=self._transport,
            clock=self._clock,
            stalls=self._stalls,
            domains=self._reach,
        )
        self._naive_permits: naive_permits.NaivePermits | None = None
        if configured.experiment.policy is settings.ExperimentPolicy.NAIVE:
            self._naive_permits = naive_permits.NaivePermits(
                entry_vm=configured.entry_vm,
                view=self.fleet,
                clock=self._clock,
                rng=self._random,
            )
        self.snapshots = peer_snapshots.PeerSnapshots(
            transport=self._transport, announcer=self.members
        )
        self.follower = followers.ConfigurationFollower(
            store=self.store,
            peers=self.snapshots,
            watchers=self,
            rng=self._random,
        )
        self.snapshots.serve_from(self.follower)
        self._router = message_router.MessageRouter(
            dispatcher=self.dispatcher,
            permits=self.permits,
            snapshots=self.snapshots,
            on_link_lost=self._on_link_lost,
        )
        self._transport.attach(self._router)

    def _build_edges(self) -> None:
        configured = self._settings
        self.metrics = metrics.DaemonMetrics()
        self.client = http_upstream.UpstreamClient(
            limits=http_limits.ClientLimits(
                head_seconds=_MAX_CALL_SECONDS,
                body_idle_seconds=_STALLED_BODY_SECONDS,
            ),
            clock=self._clock,
        )
        self.claims = claims.Claims(
            store=self.store,
            entry_vm=configured.entry_vm,
            clock=self._clock,
            # Attempt ids must differ between processes.
            random=random.SystemRandom(),
        )
        self._unfinished = background.BackgroundTasks()
        self._settlements = background.BackgroundTasks()
        self.orderer = placement.make_orderer(
            configured=configured,
            store=self.store,
            client=self.client,
            view=self.fleet,
            clock=self._clock,
            # Nonces must differ between processes.
            rng=random.SystemRandom(),
        )
        self._budget = retries.RetryBudget(classes_by_name={})
        self.ingress = ingress.Ingress(
            services=daemon_services.Services(
                entry_vm=configured.entry_vm,
                permits=self._naive_permits or self.permits,
                client=self.client,
                fleet=self.fleet,
                reach=self._reach,
                explanations=self.explanations,
                budget=self._budget,
                claims=self.claims,
                settlements=self._settlements,
                unfinished=self._unfinished,
                clock=self._clock,
                metrics=self.metrics,
            ),
            metrics=self.metrics,
        )
        self.caller_server = http_server.HttpServer(
            host=configured.caller.host,
            port=configured.caller.port,
            limits=http_limits.ServerLimits(),
            handler=self.ingress,
            clock=self._clock,
        )
        self.admin_server = http_server.HttpServer(
            host=configured.admin.host,
            port=configured.admin.port,
            limits=http_limits.ServerLimits(),
            handler=admin.AdminHandler(
                source=status.DaemonStatus(daemon=self),
                token_digest=configured.admin_token_digest,
            ),
            clock=self._clock,
        )
        self._reports = upstream_reports.UpstreamReports(
            entry_vm=configured.entry_vm,
            view=self.fleet,
            dispatcher=self.dispatcher,
            members=self.members,
            naive=self._naive_permits,
        )
        self._load_reader = loads.LoadReader(
            client=self.client,
            upstreams=self._reports.upstreams,
            on_report=self._reports.on_load_report,
            on_leaving=self._reports.on_own_report,
        )

        self._summaries = summaries.SummaryAnnouncer(
            dispatcher=self.dispatcher,
            members=self.members,
            entry_vm=configured.entry_vm,
        )
        self._vm_watch = vm_watch.VmWatch(
            vms=self.store,
            members=self.members,
            watchers=self,
            clock=self._clock,
            rng=self._random,
        )

    @property
    def settings(self) -> settings.Settings:
        """Validated settings of this entry VM."""
        return self._settings

    @property
    def clock(self) -> clocks.Clock:
        """Source of time."""
        return self._clock

    @property
    def in_force_seconds(self) -> float:
        """Time since the current revision came into force; 0 before any has."""
        if self._in_force_at is None:
            return 0.0
        return self._clock.monotonic() - self._in_force_at

    @property
    def stopping(self) -> bool:
        """Whether a planned stop is in progress."""
        return self._stopping

    @property
    def ready(self) -> bool:
        """Whether this entry VM accepts callers' requests."""
        return self._configured_event.is_set() and not self._stopping

    async def start(self) -> None:
        """Start all tasks; ready once a configuration is in force."""
        logs.emit(
            events.LogEvent.PROCESS_STARTED,
            domain=self._settings.domain,
            incarnation=self._incarnation,
        )
        await self.hub.start()
        await self.members.start(port=self.hub.port)
        await self._stalls.start()
        await self.permits.start()
        await self.follower.start()
        await self.claims.start()
        await self._load_reader.start()
        await self._summaries.start()
        await self._vm_watch.start()
        await self.orderer.start()
        await self.admin_server.start()
        await self.caller_server.start()
        self._tasks = [asyncio.create_task(self._follow_configuration())]

    async def wait_ready(self) -> None:
        """Wait until a configuration is in force."""
        await self._configured_event.wait()

    async def stop(self) -> int:
        """Stop gracefully: drain requests and hand shards over.

        No request is cut before the drain timeout, and none is refused that
        another entry VM could serve.

        Returns
        -------
        int
            Requests that were still running after the drain timeout.
        """
        self._stopping = True
        logs.emit(
            events.LogEvent.PROCESS_STOPPING,
            open_exchanges=self.caller_server.open_exchanges,
        )
        self.members.announce_leaving()
        self.fleet.on_members_changed()
        self.dispatcher.stop_owning()
        # Before the possibly long drain, so that another entry VM becomes
        # the orderer meanwhile.
        await self.orderer.close()
        await asyncio.sleep(self._settings.readiness_grace_seconds)
        self.caller_server.stop_accepting()
        left = await self.caller_server.drain(
            self._settings.drain_timeout_seconds
        )
        left += await self._unfinished.close(
            timeout_seconds=self._settings.drain_timeout_seconds
        )
        await self.close()
        logs.emit(events.LogEvent.PROCESS_STOPPED, cut_requests=left)
        return left

    async def close(self) -> None:
        """Stop all tasks immediately."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.caller_server.close()
        await self.orderer.close()
        await self._vm_watch.close()
        await self._summaries.close()
        await self._load_reader.close()
        await self.permits.close()
        await self._stalls.close()
        await self._settlements.close(
            timeout_seconds=_SETTLEMENT_TIMEOUT_SECONDS
        )
        await self.claims.close()
        self.dispatcher.close()
        await self.follower.close()
        await self.hub.flush(timeout_seconds=_HUB_FLUSH_SECONDS)
        await self.members.close()
        await self.hub.close()
        await self.client.close()
        await self.admin_server.close()
        await self.store.close()

    async def _follow_configuration(self) -> None:
        queue = self.follower.subscribe()
        while True:
            self._put_in_force(await queue.get())

    def _put_in_force(self, configuration: model.Configuration) -> None:
        self.members.set_regions(configuration.region_of)
        self.fleet.set_configuration(configuration)
        self.dispatcher.set_configuration(configuration)
        self.ingress.set_configuration(configuration)
        self._budget.configure(shards.class_policies(configuration))
        self._in_force_at = self._clock.monotonic()
        self.metrics.revision.set(configuration.revision)
        if not self._configured_event.is_set():
            self._configured_event.set()
            logs.emit(
                events.LogEvent.PROCESS_READY, revision=configuration.revision
            )

    # Callbacks of the hub and the membership.

    def on_message(
        self, sender: types.EntryVmId, message: messages.Message
    ) -> None:
        """Route a message of another entry VM to its receiver."""
        self._router.on_message(sender, message)

    def on_link_lost(self, peer: types.EntryVmId) -> None:
        """Handle the loss of a connection with an entry VM."""
        self._router.on_link_lost(peer)

    def _on_link_lost(self, peer: types.EntryVmId) -> None:
        self.permits.on_member_gone(peer)
        self.dispatcher.on_link_lost(peer)

    def on_member_changed(self, view: membership.MemberView) -> None:
        """Update rankings and drop the state of entry VMs that are dead."""
        self.fleet.on_members_changed()
        if view.state is messages.MemberState.DEAD:
            # A frozen process keeps its connections. Messages queued in them
            # must not reach it when it resumes.
            self.hub.drop(view.entry_vm)
            self.permits.on_member_gone(view.entry_vm)
            self.dispatcher.on_ingress_gone(view.entry_vm)
        self.dispatcher.on_ranking_changed()
        self.permits.on_ranking_changed()

    def on_upstream_changed(
        self, upstream: types.UpstreamId, leaving: bool
    ) -> None:
        """Stop or resume the use of an upstream that leaves or returns."""
        if leaving:
            logs.emit(events.LogEvent.UPSTREAM_LEAVING, upstream=upstream)
        self.dispatcher.on_upstream_changed(upstream, leaving=leaving)
        configuration = self.fleet.configuration
        declared = configuration and configuration.upstreams_by_id.get(upstream)
        if declared:
            self.client.close_idle_connections(declared.address, declared.port)

    def on_configuration_announced(
        self,
        source: types.EntryVmId,
        revision: types.Revision,
        digest: str,
    ) -> None:
        """Record which revision a peer has in force."""
        self.snapshots.on_announced(source, revision, digest)

    def on_shard_summary(self, summary: messages.ShardSummary) -> None:
        """Ignore the summary: it is read from the membership when needed."""

    def is_watcher(self) -> bool:
        """Return whether this entry VM watches the platform for its domain."""
        live = self.members.eligible_in(self._settings.domain)
        chosen = ranking.choose_watchers(self._settings.domain, live)
        return self._settings.entry_vm in chosen
