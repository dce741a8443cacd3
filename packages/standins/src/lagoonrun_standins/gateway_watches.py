"""The watches of the etcd v3 gateway: one streamed response each."""

import asyncio
import dataclasses
import json
from collections.abc import Sequence
from typing import Any

from lagoonrun_standins import gateway_json
from lagoonrun_standins import http_server as http_lib
from lagoonrun_standins import key_value_state as state_lib

_FILTERS = ("NOPUT", "NODELETE")


@dataclasses.dataclass(kw_only=True, eq=False)
class _Watch:
    """An open watch and its lines that are yet to be sent."""

    keys: state_lib.KeyRange
    previous: bool
    progress: bool
    filters: tuple[str, ...]
    lines: asyncio.Queue[dict[str, Any]]

    def matches(self, change: state_lib.Change) -> bool:
        """Return whether the watch reports a change."""
        kind = "NODELETE" if change.is_deletion else "NOPUT"
        in_range = self.keys.contains(change.present.key)
        return in_range and kind not in self.filters


class GatewayWatches:
    """Streams changes to watches as newline-delimited JSON.

    Parameters
    ----------
    state
        Watched state; its `on_change` must be `publish`.
    progress_seconds
        Period of the lines without events that a watch may request.
    """

    def __init__(
        self, *, state: state_lib.KeyValueState, progress_seconds: float
    ) -> None:
        self._state = state
        self._not_paused = asyncio.Event()
        self._not_paused.set()
        self._progress_seconds = progress_seconds
        self._watches: set[_Watch] = set()

    def __len__(self) -> int:
        """Return the number of open watches."""
        return len(self._watches)

    def set_paused(self, paused: bool) -> None:
        """Pause sending, or resume it and send the queued lines."""
        if paused:
            self._not_paused.clear()
        else:
            self._not_paused.set()

    def publish(self, changes: Sequence[state_lib.Change]) -> None:
        """Queue the changes of one revision for the watches that match them."""
        for watch in self._watches:
            self._queue(watch, changes)

    async def serve(self, body: Any, exchange: http_lib.Exchange) -> None:
        """Stream to one watch until its client disconnects.

        Raises
        ------
        gateway_json.MalformedError
            If `body` does not have the published format.
        """
        create = gateway_json.Fields(body).object("create_request")
        if create is None:
            raise gateway_json.MalformedError("watch without create_request")
        watch = _Watch(
            keys=create.key_range(),
            previous=create.flag("prev_kv"),
            progress=create.flag("progress_notify"),
            filters=create.enumerations("filters", _FILTERS),
            lines=asyncio.Queue(),
        )
        start_revision = create.integer("start_revision")
        exchange.start(200, [("Content-Type", "application/json")])
        _send(exchange, self._line(created=True))
        if start_revision:
            try:
                self._queue(watch, self._state.changes_from(start_revision))
            except state_lib.CompactedError:
                _send(exchange, self._compacted_line())
                exchange.finish()
                return
        self._watches.add(watch)
        try:
            await self._stream(watch, exchange)
        finally:
            self._watches.discard(watch)

    async def _stream(self, watch: _Watch, exchange: http_lib.Exchange) -> None:
        timeout = self._progress_seconds if watch.progress else None
        gone = asyncio.create_task(exchange.gone.wait())
        try:
            while not gone.done():
                next_line = asyncio.create_task(watch.lines.get())
                await asyncio.wait(
                    {next_line, gone},
                    timeout=timeout,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                await exchange.wait_unless_gone(self._not_paused.wait())
                if next_line.done():
                    _send(exchange, next_line.result())
                    await exchange.flush()
                    continue
                next_line.cancel()
                # A progress line guarantees that every event up to its
                # revision was sent, so none may be queued.
                if watch.lines.empty() and not gone.done():
                    _send(exchange, self._line())
        finally:
            gone.cancel()

    def _queue(
        self, watch: _Watch, changes: Sequence[state_lib.Change]
    ) -> None:
        events = [
            gateway_json.event(change, previous=watch.previous)
            for change in changes
            if watch.matches(change)
        ]
        if events:
            watch.lines.put_nowait(self._line(events=events))

    def _line(self, **fields: Any) -> dict[str, Any]:
        return {"header": gateway_json.header(self._state.revision)} | fields

    def _compacted_line(self) -> dict[str, Any]:
        oldest = str(self._state.compact_revision + 1)
        return self._line(canceled=True, compact_revision=oldest)


def _send(exchange: http_lib.Exchange, line: dict[str, Any]) -> None:
    exchange.send(json.dumps({"result": line}).encode() + b"\n")
