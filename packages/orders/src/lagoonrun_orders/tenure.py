"""Tenures of a duty's holder, and their records in the store."""

import dataclasses
import json

from lagoonrun_core import errors, types

_PREFIX = "orders/"

MAX_EARLIER_HOLDERS = 4
"""Number of earlier holders in a record: more than can change within one
lease."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tenure:
    """One uninterrupted period of holding the lease of a duty.

    Parameters
    ----------
    fencing
        Store revision at which the tenure began: higher than that of every
        earlier tenure, and never used again.
    first_order_at
        Monotonic time before which an upstream that does not check fencing
        numbers is sent no order.
    """

    duty: types.DutyName
    fencing: types.FencingNumber
    first_order_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class TenureRecord:
    """Value of the holder's key, and of the key that outlives the lease.

    Parameters
    ----------
    nonce
        Identifies one lease of one process: reading the same nonce back proves
        that a write with a lost reply was applied.
    released
        Whether the holder ended the tenure knowing that none of its orders is
        in progress.
    order_timeout_seconds
        Time limit of its orders.
    earlier
        Other entry VMs that held the duty before, the latest first.
    era
        Era of the store in which the record was written. An older one means
        that the store has been restored from a backup since.
    """

    entry_vm: types.EntryVmId
    nonce: str
    released: bool
    order_timeout_seconds: float
    earlier: tuple[types.EntryVmId, ...] = ()
    era: int = 0


def holder_key(duty: types.DutyName) -> str:
    """Return the key that the holder writes under its lease."""
    return f"{_PREFIX}{duty}/holder"


def last_key(duty: types.DutyName) -> str:
    """Return the key that records how the last tenure began or ended."""
    return f"{_PREFIX}{duty}/last"


def duty_of_domain(domain: types.FailureDomain) -> types.DutyName:
    """Return the duty of ordering for the upstreams of a failure domain."""
    return types.DutyName(domain)


def encode(record: TenureRecord) -> bytes:
    """Return a record as compact JSON."""
    return json.dumps(
        dataclasses.asdict(record), separators=(",", ":")
    ).encode()


def decode(value: bytes) -> TenureRecord:
    """Decode a record.

    Raises
    ------
    LagoonrunError
        If the value is not a valid record.
    """
    try:
        table = json.loads(value)
        table["earlier"] = tuple(table.get("earlier", ()))
        return TenureRecord(**table)
    except (ValueError, TypeError, AttributeError) as error:
        raise errors.LagoonrunError(
            step=errors.Step.ORDER, detail=f"tenure record unreadable: {error}"
        ) from error
