"""Records of a holder in the store and the tenure that they stand for."""

import dataclasses
import json

from lagoonrun_core import errors, types

_PREFIX = "orders/"

MOST_EARLIER = 4
"""Earlier holders that a record names: more than change within one lease."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tenure:
    """One unbroken time as the holder of a duty.

    Parameters
    ----------
    fencing
        Store revision at which the tenure began: higher than that of every
        earlier tenure, and never used again.
    first_order_at
        Monotonic reading before which an upstream that does not check
        fencing numbers gets no order.
    """

    duty: types.DutyName
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
    earlier
        Other entry VMs that held the duty before, the latest first.
    era
        Era of the store in which it was written: an older one says that the store
        has come back from an older copy since.
    """

    entry_vm: types.EntryVmId
    nonce: str
    released: bool
    order_timeout_seconds: float
    earlier: tuple[types.EntryVmId, ...] = ()
    era: int = 0


def holder_key(duty: types.DutyName) -> str:
    """Return the key that the holder has under its lease."""
    return f"{_PREFIX}{duty}/holder"


def last_key(duty: types.DutyName) -> str:
    """Return the key that says how the last tenure began or ended."""
    return f"{_PREFIX}{duty}/last"


def duty_of_domain(domain: types.FailureDomain) -> types.DutyName:
    """Return the duty to order the runners of a failure domain."""
    return types.DutyName(domain)


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
        table = json.loads(value)
        table["earlier"] = tuple(table.get("earlier", ()))
        return TenureRecord(**table)
    except (ValueError, TypeError, AttributeError) as error:
        raise errors.LagoonrunError(
            step=errors.Step.ORDER, detail=f"record unreadable: {error}"
        ) from error
