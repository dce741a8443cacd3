"""Status of a daemon as JSON values, for the admin endpoint."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_daemon import admin, explanations, shards

if TYPE_CHECKING:
    from lagoonrun_daemon import daemon as daemons


class DaemonStatus:
    """Render the state of one daemon as JSON values.

    Parameters
    ----------
    daemon
        The daemon to render.
    """

    def __init__(self, *, daemon: "daemons.Daemon") -> None:
        self._daemon = daemon

    def is_ready(self) -> bool:
        """Return whether this entry VM accepts callers' requests."""
        return self._daemon.ready

    def render_metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._daemon.metrics.render()

    def own_status(self) -> admin.JsonObject:
        """Return the state of this entry VM only.

        It stays small in a large fleet, where every entry VM is queried.
        """
        daemon = self._daemon
        configuration = daemon.fleet.configuration
        return {
            "entry_vm": daemon.settings.entry_vm,
            "domain": daemon.settings.domain,
            "ready": daemon.ready,
            "stopping": daemon.stopping,
            "revision": configuration.revision if configuration else 0,
            "digest": configuration.digest if configuration else "",
            "in_force_seconds": daemon.in_force_seconds,
            "platform_reachable": daemon.follower.platform_reachable,
            "platform_calls": dict(daemon.store.calls_by_kind),
            "platform_failures": dict(daemon.store.failures_by_kind),
            "open_requests": daemon.caller_server.open_exchanges,
            "requests": to_json(daemon.metrics.totals()),
            "orderer_fencing": daemon.orderer.fencing,
            "claims_pending": daemon.claims.pending,
            "shards": [
                self._shard(shard)
                for shard_id in daemon.dispatcher.owned_shards
                if (shard := daemon.fleet.shards_by_id.get(shard_id))
            ],
        }

    def status(self) -> admin.JsonObject:
        """Return the state of this entry VM and its view of the others."""
        daemon = self._daemon
        return {
            **self.own_status(),
            "members": [
                to_json(member)
                for member in daemon.members.members_by_id.values()
            ],
            "shards": [
                self._shard(shard)
                for shard in daemon.fleet.shards_by_id.values()
            ],
            "upstreams": self._upstreams(daemon.fleet.configuration),
            "leaving_upstreams": sorted(daemon.fleet.leaving_upstreams()),
        }

    def explain(self, request_id: types.RequestId) -> admin.JsonObject | None:
        """Return the explanation of a request, or None if it is unknown."""
        found = self._daemon.explanations.find(request_id)
        if found is None:
            return None
        return {"entry_vm": self._daemon.settings.entry_vm, **_to_json(found)}

    def _shard(self, shard: shards.Shard) -> dict[str, Any]:
        """Return a shard, with queues and runners if it is dispatched here."""
        fields: dict[str, Any] = {
            "shard": shard.id,
            "pool": shard.pool,
            "domain": shard.domain,
            "dispatcher": self._daemon.fleet.owner_of(shard.id),
            "dispatched_here": False,
            "running": 0,
            "waiting": 0,
        }
        scheduler = self._daemon.dispatcher.scheduler_of(shard.id)
        if scheduler is not None:
            now = self._daemon.clock.monotonic()
            fields["dispatched_here"] = True
            fields["running"] = scheduler.running_count
            fields["waiting"] = scheduler.waiting_count
            fields.update(to_json(scheduler.status(now=now)))
        return fields

    def _upstreams(
        self, configuration: model.Configuration | None
    ) -> Sequence[dict[str, Any]]:
        if configuration is None:
            return []
        return [
            {
                "upstream": upstream.id,
                "pool": upstream.pool,
                "domain": upstream.domain,
                "slots": upstream.slots,
                "draining": upstream.draining,
                "leaving": self._daemon.fleet.is_leaving(upstream.id),
            }
            for upstream in configuration.upstreams_by_id.values()
        ]


def _to_json(explanation: explanations.Explanation) -> dict[str, Any]:
    return to_json(explanation)


def to_json(value: Any) -> Any:
    """Convert dataclasses, enums and collections to JSON values."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: to_json(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, list | tuple | set | frozenset):
        return [to_json(item) for item in value]
    if isinstance(value, dict):
        return {str(key): to_json(item) for key, item in value.items()}
    return value
