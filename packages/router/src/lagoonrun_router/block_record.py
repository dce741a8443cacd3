"""Encode a blocked request as compact JSON for the store.

The record outlives all entry VMs, which may stop at the same time.
"""

import json

from lagoonrun_core import errors, types
from lagoonrun_router import crash_evidence, running_requests


def encode(block: crash_evidence.Block) -> bytes:
    """Return the value of a block's key."""
    crashes = [
        {"upstream": one.upstream, "start": one.start} for one in block.crashes
    ]
    return json.dumps(
        {"route": block.route, "crashes": crashes}, separators=(",", ":")
    ).encode()


def decode(
    request: types.RequestDigest, value: bytes, *, now: float
) -> tuple[crash_evidence.CrashRecord, ...]:
    """Return the records of a block, with its crashes dated `now`.

    Raises
    ------
    LagoonrunError
        If the value is not a valid record.
    """
    try:
        table = json.loads(value)
        route = str(table["route"])
        return tuple(
            crash_evidence.CrashRecord(
                request=request,
                instance=running_requests.UpstreamInstance(
                    upstream=types.UpstreamId(str(one["upstream"])),
                    start=types.UpstreamStart(int(one["start"])),
                ),
                route=route,
                seen_at=now,
            )
            for one in table["crashes"]
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.LagoonrunError(
            step=errors.Step.CONFIGURATION,
            peer=request,
            detail=f"invalid record of a blocked request: {error!r}",
        ) from error
