"""Records of an orderer in the store and the tenure that they stand for."""

import dataclasses
import json

from lagoonrun_core import errors, types

_PREFIX = "orders/"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tenure:
    """One unbroken time as the orderer of a failure domain.

    Parameters
    ----------
    fencing
        Store revision at which the tenure began: higher than that of every
        earlier tenure, and never used again.
    first_order_at
        Monotonic reading before which an upstream that does not check
        fencing numbers gets no order.
    """

    domain: types.FailureDomain
    fencing: types.FencingNumber
    first_order_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TenureRecord:
    """Value of the holder's key, and of the key that outlives the holder.

    Parameters
    ----------
    nonce
        Names one lease of one process: the same nonce read back proves
        that a write with a lost reply was applied.
    released
        The holder ended it knowing that none of its orders is under way.
    order_timeout_seconds
        Longest time that its orders may take.
    """

    entry_vm: types.EntryVmId
    nonce: str
    released: bool
    order_timeout_seconds: float


def holder_key(domain: types.FailureDomain) -> str:
    """Return the key that the orderer holds under its lease."""
    return f"{_PREFIX}{domain}/holder"


def last_key(domain: types.FailureDomain) -> str:
    """Return the key that says how the last tenure began or ended."""
    return f"{_PREFIX}{domain}/last"


def encode(record: TenureRecord) -> bytes:
    """Return a record as compact JSON."""
    return json.dumps(
        dataclasses.asdict(record), separators=(",", ":")
    ).encode()


def decode(value: bytes) -> TenureRecord:
    """Read a record back.

    Raises
    ------
    LagoonrunError
        When the value is not such a record.
    """
    try:
        return TenureRecord(**json.loads(value))
    except (ValueError, TypeError) as error:
        raise errors.LagoonrunError(
            step=errors.Step.ORDER, detail=f"record unreadable: {error}"
        ) from error
