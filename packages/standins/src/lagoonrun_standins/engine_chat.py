"""Chat completions of an engine: validates requests and queues their runs."""

import asyncio
from collections.abc import Callable
from typing import Any

from lagoonrun_standins import (
    answers,
    engine_batch,
    engine_faults,
    engine_orders,
    engine_reply,
    prefix_cache,
    run_counts,
    upstream_protocol,
)
from lagoonrun_standins import http_server as http_lib

_PRIORITY_HEADER = "x-request-priority"
_RESUME_HEADER = "x-resume-offset"
_BYTES_PER_TOKEN = 4
_DEFAULT_PRIORITY = 3


class ChatCompletions:
    """Accepts requests and answers them as the batch produces tokens.

    Parameters
    ----------
    batch
        Runs the requests.
    cache
        Prompt prefixes that need no prefill.
    orders
        Determines which models are served.
    faults
        Faults of individual answers.
    runs
        Counts the requests that run.
    resumes
        Whether `X-Resume-Offset` is supported; refused otherwise.
    seed
        Seed of random answer lengths.
    on_queued
        Called after a request was added to the batch.
    """

    def __init__(
        self,
        *,
        batch: engine_batch.Batch,
        cache: prefix_cache.PrefixCache,
        orders: engine_orders.EngineOrders,
        faults: engine_faults.ReplyFaults,
        runs: run_counts.RunCounts,
        resumes: bool,
        seed: int,
        on_queued: Callable[[], None],
    ) -> None:
        self._batch = batch
        self._cache = cache
        self._orders = orders
        self._faults = faults
        self._runs = runs
        self._resumes = resumes
        self._seed = seed
        self._on_queued = on_queued

    async def answer(
        self, request: http_lib.Request, exchange: http_lib.Exchange
    ) -> None:
        """Answer one request, or refuse it as not run.

        Raises
        ------
        ValueError, TypeError, KeyError
            If it is not a chat completion request; it was not run.
        """
        body = request.json()
        prompt = answers.prompt_bytes(body["messages"])
        identity = self._identity(request, body, prompt)
        priority = int(request.headers.get(_PRIORITY_HEADER, _DEFAULT_PRIORITY))
        refusal = self._refusal(identity)
        if refusal:
            upstream_protocol.refuse(request, exchange, 503, refusal)
            return
        self._runs.add(request.headers)
        fault = self._faults.pop_next()
        if fault.late_seconds:
            await exchange.wait_unless_gone(asyncio.sleep(fault.late_seconds))
        identity = await self._faults.exchange_identity(identity, exchange)
        reply = engine_reply.Reply(
            exchange=exchange,
            identity=identity,
            streams=bool(body.get("stream")),
            includes_usage=bool(
                (body.get("stream_options") or {}).get("include_usage")
            ),
            fault=fault,
        )
        if identity.first >= identity.end:
            # Every token was delivered already; only the end was missing.
            reply.finish()
            return
        self._queue(identity, prompt, priority, reply)
        await reply.done.wait()

    def _identity(
        self, request: http_lib.Request, body: dict[str, Any], prompt: bytes
    ) -> engine_reply.Identity:
        request_id = upstream_protocol.request_id(request)
        digest = answers.digest(request_id, body["messages"])
        return engine_reply.Identity(
            request_id=request_id,
            model=str(body.get("model", "")),
            digest=digest,
            first=int(request.headers.get(_RESUME_HEADER, "0")),
            end=answers.length(body, f"{self._seed}:{digest}"),
            prompt_tokens=len(prompt) // _BYTES_PER_TOKEN,
        )

    def _refusal(self, identity: engine_reply.Identity) -> str:
        if not self._orders.serves(identity.model):
            loaded = sorted(self._orders.version_by_model)
            return f"model {identity.model!r} is not loaded; valid: {loaded}"
        if identity.first and not self._resumes:
            return "this engine does not resume"
        if not 0 <= identity.first <= identity.end + 1:
            return f"offset {identity.first}; valid: 0 to {identity.end + 1}"
        if (
            self._faults.faults.leaving
            and self._faults.faults.refuses_when_leaving
        ):
            return "leaving"
        return ""

    def _queue(
        self,
        identity: engine_reply.Identity,
        prompt: bytes,
        priority: int,
        reply: engine_reply.Reply,
    ) -> None:
        cached = self._cache.cached_bytes(prompt) // _BYTES_PER_TOKEN
        context = identity.prompt_tokens + identity.first
        self._batch.add(
            engine_batch.Run(
                priority=priority,
                prefill_left=max(0, context - cached),
                context_tokens=context,
                next_index=identity.first,
                end_index=identity.end,
                sink=reply,
            )
        )
        self._on_queued()
