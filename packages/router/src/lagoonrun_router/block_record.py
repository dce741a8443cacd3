"""Encode a block as compact JSON for the store.

The record outlives all entry VMs, which may stop at the same time.
"""

import json

from lagoonrun_core import errors, types
from lagoonrun_router import crash_records, part_evidence, running_requests


def encode(block: crash_records.Block) -> bytes:
    """Return the value of a block's key."""
    crashes = [
        {
            "upstream": one.instance.upstream,
            "start": one.instance.start,
            "version": one.version,
            "request": one.request,
        }
        for one in block.records
    ]
    value = {
        "route": block.route,
        "crashes": crashes,
        "parts": sorted(block.parts),
    }
    return json.dumps(value, separators=(",", ":")).encode()


_INVALID_RECORD = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What reading a record raises if its value is not one of an entry VM."""


def decode(
    id: types.BlockId, value: bytes, *, now: float
) -> tuple[crash_records.CrashRecord, ...]:
    """Return the records of a block, with its last crash dated `now`.

    Records of earlier releases state neither versions, requests nor parts.

    Raises
    ------
    LagoonrunError
        If the value is not a valid record.
    """
    try:
        table = json.loads(value)
        route = str(table["route"])
        parts = tuple(
            types.PromptPartDigest(str(one)) for one in table.get("parts", ())
        )
        crashes = table["crashes"]
        return tuple(
            crash_records.CrashRecord(
                request=types.RequestDigest(str(one.get("request", id))),
                instance=running_requests.UpstreamInstance(
                    upstream=types.UpstreamId(str(one["upstream"])),
                    start=types.UpstreamStart(int(one["start"])),
                ),
                route=route,
                # Crashes at the same moment would count once.
                seen_at=now - before * 2.0 * part_evidence.CRASH_MOMENT_SECONDS,
                parts=parts,
                version=str(one.get("version", "")),
            )
            for before, one in zip(
                reversed(range(len(crashes))), crashes, strict=True
            )
        )
    except _INVALID_RECORD as error:
        raise errors.LagoonrunError(
            step=errors.Step.CONFIGURATION,
            peer=id,
            detail=f"invalid record of a blocked request: {error!r}",
        ) from error
