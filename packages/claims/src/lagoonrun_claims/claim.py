"""One claim of an idempotency key: its record, its key and its encoding.

The caller's key text is never stored. The store sees a SHA-256 over the
organisation and the key, so equal keys of two organisations are two claims
and neither can be told from the other.
"""

import dataclasses
import enum
import hashlib
import json
import urllib.parse
from typing import NewType

from lagoonrun_core import errors, outcomes, types

ClaimAttemptId = NewType("ClaimAttemptId", str)
"""128 random bits in hexadecimal; names one arrival's try at one key."""

KeyDigest = NewType("KeyDigest", str)
"""Hexadecimal SHA-256 of an organisation and its idempotency key."""

BodyDigest = NewType("BodyDigest", str)
"""Hexadecimal digest of what the caller asked for under a key."""

MAXIMUM_KEY_BYTES = 255
PREFIX = "claims/"
_VERSION = 1


class ClaimState(enum.Enum):
    """What the record says of the attempt that owns the key.

    `CLAIMED` says nothing of whether the request was sent: the claimant may
    be about to send, sending, frozen or dead.
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
        Who owns the key; the same id read back proves a lost reply's write.
    outcome
        How the attempt ended; None unless the state is `ENDED`.
    claimed_wall
        Seconds since the Unix epoch by the claimant's clock. For people
        only: no decision rests on it.
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

    The organisation's length goes first, so that no two pairs of
    organisation and key are the same bytes.

    Raises
    ------
    LagoonrunError
        When the key is empty or longer than `MAXIMUM_KEY_BYTES`.
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
    """Return the store's key of a claim."""
    return f"{PREFIX}{urllib.parse.quote(organisation, safe='')}/{digest}"


def encode(record: ClaimRecord) -> bytes:
    """Return the store's value of a claim: compact JSON."""
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
    """Read a claim back.

    Raises
    ------
    LagoonrunError
        When the value is not a claim of this version.
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
