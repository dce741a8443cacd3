"""Real entry VM processes that are stopped handle what arrived meanwhile."""

import asyncio
import json
import random
import signal

from lagoonrun_core import events
from lagoonrun_soak import fleet, layout

_STOPS = 4
_STOPPED_SECONDS = 2.0
"""Longer than every silence that an entry VM allows in the soak's routes."""

_RUNNING_SECONDS = 0.8
"""Time between two stops, in which callers send their next requests."""


def lost_attempts(folder):
    """Return the reason and detail of each lost attempt that may have run."""
    number = events.LogEvent.UPSTREAM_ATTEMPT_LOST.number
    return [
        (line["reason"], line["detail"])
        for path in folder.glob("*.log")
        for line in map(json.loads, path.read_text().splitlines())
        if line["event"] == number and line["ran"] != "not-run"
    ]


async def test_stopped_process_loses_no_attempt(tmp_path):
    """Guards against timers that fire before waiting data has been read."""
    deployment = fleet.Deployment(
        network=layout.Network.of_process(),
        vms=1,
        folder=tmp_path,
        rng=random.Random(1),
    )
    (entry_vm,) = deployment.vms
    try:
        await deployment.start()
        for _ in range(_STOPS):
            await asyncio.sleep(_RUNNING_SECONDS)
            entry_vm.send(signal.SIGSTOP)
            await asyncio.sleep(_STOPPED_SECONDS)
            entry_vm.send(signal.SIGCONT)
        await asyncio.sleep(_RUNNING_SECONDS)
    finally:
        await deployment.close()
    streams = [
        request
        for request in deployment.history.requests_by_id.values()
        if request.kind == layout.SUMMARY.name and request.status
    ]
    assert len(streams) > 2 * _STOPS
    assert all(request.whole for request in streams)
    assert lost_attempts(tmp_path) == []
