"""Claim of an idempotency key: its record, its store key and its encoding.

The text of the caller's key is never stored, only a SHA-256 hash over the
organisation and the key. Equal keys of two organisations are therefore two
separate claims, and their equality cannot be seen from the store.
"""

import dataclasses
import enum
import hashlib
import json
import urllib.parse
from typing import NewType

from lagoonrun_core import errors, outcomes, types

ClaimAttemptId = NewType("ClaimAttemptId", str)
"""128 random bits in hexadecimal; identifies one attempt to claim a key."""

KeyDigest = NewType("KeyDigest", str)
"""Hexadecimal SHA-256 of an organisation and its idempotency key."""

BodyDigest = NewType("BodyDigest", str)
"""Hexadecimal digest of the request that was sent with a key."""

MAXIMUM_KEY_BYTES = 255
PREFIX = "claims/"
_VERSION = 1


class ClaimState(enum.Enum):
    """State of the attempt that owns the key.

    `CLAIMED` does not imply that the request was sent: the claimant may be
    about to send it, be sending it, be paused or have crashed.
    """

    CLAIMED = "claimed"
    ENDED = "ended"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClaimRecord:
    """Value of a claim in the store.

    Parameters
    ----------
    attempt
        The attempt that owns the key. Reading the same id back proves that
        a write with a lost reply was applied.
    outcome
        Outcome of the attempt; None unless the state is `ENDED`.
    claimed_wall
        Seconds since the Unix epoch by the claimant's clock. Informative
        only; no decision depends on it.
    """

    organisation: types.OrganisationId
    key_digest: KeyDigest
    attempt: ClaimAttemptId
    entry_vm: types.EntryVmId
    request_id: types.RequestId
    body_digest: BodyDigest
    claimed_wall: float
    state: ClaimState = ClaimState.CLAIMED
    outcome: outcomes.Outcome | None = None


def digest_key(organisation: types.OrganisationId, key: str) -> KeyDigest:
    """Hash an organisation's idempotency key.

    The organisation's length is prepended, so that no two pairs of
    organisation and key yield the same bytes.

    Raises
    ------
    LagoonrunError
        If the key is empty or longer than `MAXIMUM_KEY_BYTES`.
    """
    raw = key.encode("utf-8", "surrogateescape")
    if not 1 <= len(raw) <= MAXIMUM_KEY_BYTES:
        raise errors.LagoonrunError(
            step=errors.Step.CLAIM,
            detail=f"idempotency key of {len(raw)} bytes; "
            f"valid: 1 to {MAXIMUM_KEY_BYTES}",
        )
    owner = organisation.encode()
    salted = len(owner).to_bytes(4, "big") + owner + raw
    return KeyDigest(hashlib.sha256(salted).hexdigest())


def store_key(organisation: types.OrganisationId, digest: KeyDigest) -> str:
    """Return the key of a claim in the store."""
    return f"{PREFIX}{urllib.parse.quote(organisation, safe='')}/{digest}"


def encode(record: ClaimRecord) -> bytes:
    """Encode a claim as compact JSON."""
    fields = {
        "version": _VERSION,
        "organisation": record.organisation,
        "key_digest": record.key_digest,
        "attempt": record.attempt,
        "entry_vm": record.entry_vm,
        "request_id": record.request_id,
        "body_digest": record.body_digest,
        "claimed_wall": record.claimed_wall,
        "state": record.state.value,
        "outcome": record.outcome.value if record.outcome else None,
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(value: bytes) -> ClaimRecord:
    """Decode a claim.

    Raises
    ------
    LagoonrunError
        If the value is not a claim of this version.
    """
    try:
        fields = json.loads(value)
        version = fields.pop("version")
        if version != _VERSION:
            raise ValueError(f"version {version!r}; valid: {_VERSION}")
        outcome = fields.pop("outcome")
        return ClaimRecord(
            state=ClaimState(fields.pop("state")),
            outcome=outcomes.Outcome(outcome) if outcome else None,
            **fields,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.LagoonrunError(
            step=errors.Step.CLAIM, detail=f"record unreadable: {error}"
        ) from error
