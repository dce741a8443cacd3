"""Encode a block, or that it was lifted, as compact JSON for the store.

The record outlives all entry VMs, which may stop at the same time. A key that
is missing says nothing: its lease may have ended, or the store may have been
restored. So a block that was lifted has a record too, which names the crashes
that no longer count.
"""

import json
from collections.abc import Iterable
from typing import Any

from lagoonrun_core import errors, types
from lagoonrun_router import crash_records, running_requests

_SPACING_SECONDS = 0.2
"""Time between the crashes of a block that is read from the store, which has
only their order."""


def encode_lift(lifted: Iterable[crash_records.Charge]) -> bytes:
    """Return the value of the key of a block that was lifted.

    Parameters
    ----------
    lifted
        Crashes that no longer count, by what they were held against.
    """
    crashes = [
        {
            "suspect": suspect,
            "upstream": instance.upstream,
            "start": instance.start,
        }
        for suspect, instance in lifted
    ]
    return json.dumps({"lifted": crashes}, separators=(",", ":")).encode()


def decode_lift(
    id: types.BlockId, value: bytes
) -> frozenset[crash_records.Charge] | None:
    """Return the lifted crashes; None if the value is not of a lifted block.

    Raises
    ------
    LagoonrunError
        If the value is not a valid record.
    """
    try:
        table = json.loads(value)
        if "lifted" not in table:
            return None
        return frozenset(
            (types.PromptPartDigest(str(one["suspect"])), _instance_of(one))
            for one in table["lifted"]
        )
    except errors.UNREADABLE_RECORD as error:
        raise _invalid(id, error) from error


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
                instance=_instance_of(one),
                route=route,
                seen_at=now - before * _SPACING_SECONDS,
                parts=parts,
                version=str(one.get("version", "")),
            )
            for before, one in zip(
                reversed(range(len(crashes))), crashes, strict=True
            )
        )
    except errors.UNREADABLE_RECORD as error:
        raise _invalid(id, error) from error


def _instance_of(table: dict[str, Any]) -> running_requests.UpstreamInstance:
    return running_requests.UpstreamInstance(
        upstream=types.UpstreamId(str(table["upstream"])),
        start=types.UpstreamStart(int(table["start"])),
    )


def _invalid(id: types.BlockId, error: Exception) -> errors.LagoonrunError:
    return errors.LagoonrunError(
        step=errors.Step.CONFIGURATION,
        peer=id,
        detail=f"invalid record of a blocked request: {error!r}",
    )
