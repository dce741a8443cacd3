"""Ends of a try to claim an idempotency key."""

import dataclasses

from lagoonrun_claims import claim as claim_module
from lagoonrun_core import outcomes, types
from lagoonrun_platform import store as store_module


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
    """A claim that this process owns.

    Parameters
    ----------
    revision
        Store revision of the write that claimed the key.
    send_before
        Monotonic reading from which the request must no longer be sent,
        since the store may have forgotten the claim; see `may_send`.
    """

    record: claim_module.ClaimRecord
    revision: store_module.StoreRevision
    send_deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Won:
    """The key is this attempt's: it may write the request once."""

    attempt: Attempt


@dataclasses.dataclass(frozen=True, kw_only=True)
class Taken:
    """Another attempt has the key.

    Parameters
    ----------
    state
        `CLAIMED` (not known whether it was sent) or `ENDED`.
    outcome
        How it ended, where the state is `ENDED`.
    age_seconds
        Since that attempt's claim, by two wall clocks: for people only.
    """

    state: claim_module.ClaimState
    outcome: outcomes.Outcome | None
    entry_vm: types.EntryVmId
    request_id: types.RequestId
    age_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class BodyDiffers:
    """Another attempt has the key for a different request."""

    entry_vm: types.EntryVmId
    request_id: types.RequestId


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The claim could not be made sure of: the request must not be sent."""

    retry_after_seconds: float
    detail: str


ClaimResult = Won | Taken | BodyDiffers | Unavailable
