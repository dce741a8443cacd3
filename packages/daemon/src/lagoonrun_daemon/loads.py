"""Read the load reports of the upstreams whose shards are dispatched here."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

from prometheus_client import parser

from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_http import messages as http_messages
from lagoonrun_http import upstream as http_upstream
from lagoonrun_policy import messages as policy_messages

REPORT_PERIOD_SECONDS = 0.5
_REPORT_TIMEOUT_SECONDS = 2.0
_MAX_REPORT_BYTES = 256 * 1024
_METRICS_REQUEST_ID = types.RequestId("load-report")

_RUNNING = "engine_requests_running"
_WAITING = "engine_requests_waiting"
_CACHE_USAGE = "engine_kv_cache_usage_ratio"
_LEAVING = "engine_leaving"
_MODELS = "engine_models_loaded"
_MODEL = "engine_model_loaded"
_STARTED_AT = "process_start_time_seconds"


class LoadReader:
    """Task that periodically reads the load reports of upstreams.

    Parameters
    ----------
    client
        Connections to upstreams.
    upstreams
        Returns the upstreams whose reports are to be read.
    on_report
        Called with each load report.
    on_leaving
        Called with an upstream, its incarnation, and whether its report
        states that it is leaving.
    """

    def __init__(
        self,
        *,
        client: http_upstream.UpstreamClient,
        upstreams: Callable[[], Sequence[model.Upstream]],
        on_report: Callable[[policy_messages.LoadReported], None],
        on_leaving: Callable[[types.UpstreamId, types.Incarnation, bool], None],
    ) -> None:
        self._client = client
        self._upstreams = upstreams
        self._on_report = on_report
        self._on_leaving = on_leaving
        self._task: asyncio.Task[None] | None = None
        self._reads_by_id: dict[types.UpstreamId, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start reading reports."""
        self._task = asyncio.create_task(self._read_forever())

    async def close(self) -> None:
        """Stop reading."""
        tasks = list(self._reads_by_id.values())
        if self._task:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _read_forever(self) -> None:
        while True:
            for upstream in self._upstreams():
                self._begin_read(upstream)
            await asyncio.sleep(REPORT_PERIOD_SECONDS)

    def _begin_read(self, upstream: model.Upstream) -> None:
        """Start reading a report, unless the previous read is pending.

        Reads run concurrently: otherwise the timeout of a frozen upstream
        would delay the reports of other upstreams that they are leaving.
        """
        if upstream.id in self._reads_by_id:
            return
        task = asyncio.create_task(self.read(upstream))
        self._reads_by_id[upstream.id] = task
        task.add_done_callback(
            lambda _: self._reads_by_id.pop(upstream.id, None)
        )

    async def read(self, upstream: model.Upstream) -> None:
        """Read and apply one upstream's report if it responds in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REPORT_TIMEOUT_SECONDS):
                text = await self._fetch(upstream)
                if text is not None:
                    self.apply_report(upstream.id, text)

    async def _fetch(self, upstream: model.Upstream) -> str | None:
        request = http_upstream.UpstreamRequest(
            head=http_messages.RequestHead(
                method="GET", target="/metrics", headers=http_messages.Headers()
            ),
            body=b"",
            request_id=_METRICS_REQUEST_ID,
        )
        response = await self._client.send(
            request, address=upstream.address, port=upstream.port
        )
        if isinstance(response, http_upstream.UpstreamFailure):
            return None
        body = await response.read_all(_MAX_REPORT_BYTES)
        if response.head.status != 200 or not isinstance(body, bytes):
            return None
        return body.decode(errors="replace")

    def apply_report(self, upstream: types.UpstreamId, text: str) -> None:
        """Parse the text of one report and notify the callbacks.

        A text that cannot be parsed is ignored.
        """
        values: dict[str, float] = {}
        models: list[str] = []
        try:
            for family in parser.text_string_to_metric_families(text):
                for sample in family.samples:
                    values[sample.name] = sample.value
                    if sample.name == _MODEL and sample.value:
                        models.append(sample.labels.get("model", ""))
        except ValueError:
            return
        if _LEAVING in values:
            # A restarted upstream has a later start time, which returns it to
            # service although its previous process was leaving.
            milliseconds = int(values.get(_STARTED_AT, 0.0) * 1000)
            self._on_leaving(
                upstream,
                types.Incarnation(milliseconds),
                bool(values[_LEAVING]),
            )
        if _RUNNING not in values:
            return
        self._on_report(
            policy_messages.LoadReported(
                upstream=upstream,
                running=int(values[_RUNNING]),
                waiting=int(values.get(_WAITING, 0)),
                cache_usage=values.get(_CACHE_USAGE, 0.0),
                age_seconds=0.0,
                models=tuple(models) if _MODELS in values else None,
            )
        )
