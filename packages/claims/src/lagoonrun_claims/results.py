"""Results of an attempt to claim an idempotency key."""

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
    send_deadline
        Monotonic time from which the request must no longer be sent, since
        the claim may have expired in the store; see `Claims.may_send`.
    """

    record: claim_module.ClaimRecord
    revision: store_module.StoreRevision
    send_deadline: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Won:
    """The attempt owns the key and may send the request once."""

    attempt: Attempt


@dataclasses.dataclass(frozen=True, kw_only=True)
class Taken:
    """Another attempt owns the key.

    Parameters
    ----------
    state
        `CLAIMED` (unknown whether its request was sent) or `ENDED`.
    outcome
        Its outcome if the state is `ENDED`.
    age_seconds
        Age of its claim by the wall clocks of two VMs; informative only.
    """

    state: claim_module.ClaimState
    outcome: outcomes.Outcome | None
    entry_vm: types.EntryVmId
    request_id: types.RequestId
    age_seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class BodyDiffers:
    """Another attempt owns the key, for a different request."""

    entry_vm: types.EntryVmId
    request_id: types.RequestId


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unavailable:
    """The claim could not be confirmed; the request must not be sent."""

    retry_after_seconds: float
    detail: str


ClaimResult = Won | Taken | BodyDiffers | Unavailable
