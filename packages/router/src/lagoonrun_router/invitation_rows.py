"""Conversion of invitations to return to and from rows of a message."""

from collections.abc import Iterable

from lagoonrun_core import errors, types
from lagoonrun_protocol import router_messages
from lagoonrun_router import format_error, peer_loads, return_schedule

_WIDTH = 4
_MILLISECONDS = 1000.0

_MAX_PAST_SECONDS = 1.0
"""How long ago a time in a message may be: invitations that are redeemed at the
end of their time are reported after it. Times are sent with this added, since
the numbers of a message can't be negative."""


def to_rows(
    invitations: Iterable[return_schedule.Invitation], *, now: float
) -> router_messages.InvitationRows:
    """Return invitations as rows for a message.

    Parameters
    ----------
    now
        Monotonic time of the sender, to which the times are relative.
    """
    listed = tuple(invitations)
    if not listed:
        return router_messages.NO_INVITATIONS
    index_by_pool: dict[types.PoolName, int] = {}
    numbers: list[float] = []
    for one in listed:
        pool_index = index_by_pool.setdefault(one.pool, len(index_by_pool))
        numbers += (
            pool_index,
            one.tier,
            one.tokens,
            max(0.0, one.due_at - now + _MAX_PAST_SECONDS) * _MILLISECONDS,
        )
    return router_messages.InvitationRows(
        pools="\n".join(index_by_pool),
        digests="\n".join(one.digest for one in listed),
        numbers=peer_loads.packed(numbers),
    )


def from_rows(
    rows: router_messages.InvitationRows, *, now: float
) -> tuple[return_schedule.Invitation, ...]:
    """Return the invitations in the rows of a message.

    Raises
    ------
    FormatError
        If the number of rows does not match the digests, or a pool is not
        listed.
    """
    pools = rows.pools.split("\n") if rows.pools else []
    digests = rows.digests.split("\n") if rows.digests else []
    numbers = peer_loads.unpacked(rows.numbers, count=_WIDTH * len(digests))
    invitations = []
    for index, digest in enumerate(digests):
        pool_index, tier, tokens, due = numbers[
            index * _WIDTH : (index + 1) * _WIDTH
        ]
        if pool_index >= len(pools):
            raise format_error.FormatError(
                step=errors.Step.PEER_FRAME,
                detail=f"pool {pool_index} of {len(pools)}; valid: a listed "
                "pool",
            )
        invitations.append(
            return_schedule.Invitation(
                digest=types.RequestDigest(digest),
                pool=types.PoolName(pools[pool_index]),
                tier=types.Tier(tier),
                tokens=float(tokens),
                due_at=now - _MAX_PAST_SECONDS + due / _MILLISECONDS,
            )
        )
    return tuple(invitations)
