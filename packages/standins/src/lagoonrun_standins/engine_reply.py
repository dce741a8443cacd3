"""Writes the tokens of one request as its HTTP response."""

import asyncio
import dataclasses
import json
from typing import Any

from lagoonrun_standins import answers
from lagoonrun_standins import http_server as http_lib

_OBJECT = "chat.completion"
_SSE_HEADERS = [
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-cache"),
]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Identity:
    """What identifies an answer; exchanged between two crossed answers.

    Parameters
    ----------
    first
        Index of the first event sent, above 0 for a resumed answer. The
        event after the last token contains the finish reason.
    end
        Number of tokens of the complete answer.
    """

    request_id: str
    model: str
    digest: str
    first: int
    end: int
    prompt_tokens: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """Faults of one answer.

    Parameters
    ----------
    omits_echo
        The `X-Request-Id` header is left out.
    truncates
        The connection closes after half of the tokens.
    omits_done
        The stream ends well-formed, but halfway and without its last event.
    duplicates
        The complete answer is written a second time, unsolicited.
    late_seconds
        Delay of the first byte.
    """

    omits_echo: bool = False
    truncates: bool = False
    omits_done: bool = False
    duplicates: bool = False
    late_seconds: float = 0.0


class Reply:
    """Writes the answer to one request; its run's `TokenSink`.

    Parameters
    ----------
    exchange
        HTTP exchange to write the answer to.
    identity
        Identity of the answer to write.
    streams
        Whether each token is sent as a server-sent event.
    includes_usage
        Whether a stream ends with a chunk of token counts.
    fault
        Faults of this answer.
    """

    def __init__(
        self,
        *,
        exchange: http_lib.Exchange,
        identity: Identity,
        streams: bool,
        includes_usage: bool = False,
        fault: Fault,
    ) -> None:
        self.done = asyncio.Event()
        self._exchange = exchange
        self._identity = identity
        self._streams = streams
        self._includes_usage = includes_usage
        self._fault = fault
        self._break_index = (identity.first + identity.end) // 2
        self._is_cut = False
        base = self._chunk(delta={"content": "@"}, finish_reason=None)
        self._before, _, self._after = base.decode().rpartition("@")

    @property
    def is_gone(self) -> bool:
        """Whether the client has closed the connection."""
        return self._exchange.gone.is_set()

    def emit(self, index: int) -> None:
        """Send one token of a stream."""
        if self._is_cut:
            return
        if self._breaks_off() and index >= self._break_index:
            self._break_off()
        elif self._streams:
            self._start_stream()
            token = answers.token(self._identity.digest, index)
            chunk = f"{self._before}{token}{self._after}"
            self._exchange.send(chunk.encode())

    def finish(self) -> None:
        """Send the end of a stream, or the complete answer."""
        if not self._is_cut:
            if self._streams:
                self._finish_stream()
            else:
                self._respond()
            if self._fault.duplicates:
                self._duplicate()
        self.done.set()

    def abandon(self) -> None:
        """End the answer before its last token."""
        self.done.set()

    def _breaks_off(self) -> bool:
        return self._fault.truncates or self._fault.omits_done

    def _break_off(self) -> None:
        self._is_cut = True
        if self._fault.truncates or not self._streams:
            self._exchange.drop()
            return
        self._start_stream()
        self._exchange.finish()

    def _start_stream(self) -> None:
        if not self._exchange.started:
            self._exchange.start(200, [*self._echo(), *_SSE_HEADERS])

    def _finish_stream(self) -> None:
        self._start_stream()
        if self._identity.first <= self._identity.end:
            self._exchange.send(self._chunk(delta={}, finish_reason="stop"))
        if self._includes_usage:
            self._exchange.send(self._chunk(usage=self._usage()))
        self._exchange.send(b"data: [DONE]\n\n")
        self._exchange.finish()

    def _respond(self) -> None:
        self._exchange.respond_json(200, self._completion(), self._echo())

    def _completion(self) -> dict[str, Any]:
        identity = self._identity
        content = answers.text(identity.digest, identity.first, identity.end)
        message = {"role": "assistant", "content": content}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        return self._envelope(_OBJECT) | {
            "choices": [choice],
            "usage": self._usage(),
        }

    def _duplicate(self) -> None:
        body = json.dumps(self._completion())
        lines = [
            "HTTP/1.1 200 ",
            f"X-Request-Id: {self._identity.request_id}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
        ]
        head = "\r\n".join(lines)
        self._exchange.write_unsolicited(f"{head}\r\n\r\n{body}".encode())

    def _echo(self) -> list[http_lib.Header]:
        if self._fault.omits_echo:
            return []
        return [("X-Request-Id", self._identity.request_id)]

    def _envelope(self, kind: str) -> dict[str, Any]:
        return {
            "id": answers.completion_id(self._identity.request_id),
            "object": kind,
            "created": 0,
            "model": self._identity.model,
        }

    def _usage(self) -> dict[str, int]:
        identity = self._identity
        return {
            "prompt_tokens": identity.prompt_tokens,
            "completion_tokens": identity.end,
            "total_tokens": identity.prompt_tokens + identity.end,
        }

    def _chunk(
        self,
        *,
        delta: dict[str, Any] | None = None,
        finish_reason: str | None = None,
        usage: dict[str, int] | None = None,
    ) -> bytes:
        value = self._envelope(f"{_OBJECT}.chunk")
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        value["choices"] = [] if delta is None else [choice]
        if usage:
            value["usage"] = usage
        return f"data: {json.dumps(value)}\n\n".encode()
