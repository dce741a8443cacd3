"""Write and remove operators' overrides in the store, within a time limit."""

import asyncio
import dataclasses
import enum
from collections.abc import Sequence

from lagoonrun_platform import store as store_module
from lagoonrun_router import operator_overrides

_LIMIT_SECONDS = 2.0
"""Time limit of one change. A call takes 1.5 s at most; the command line waits
3 s for an answer."""

_MAX_ATTEMPTS = 2
"""Attempts while the outcome is unknown; writing an override is idempotent."""


class WriteOutcome(enum.Enum):
    """What became of a change."""

    STORED = "stored"
    NOT_FOUND = "not-found"
    """There is no such override to remove."""

    NOT_STORED = "not-stored"
    """Nothing has changed."""

    UNKNOWN = "unknown"
    """The reply was lost; the change may have been stored."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class WriteResult:
    """Outcome of a change, and why it was not stored."""

    outcome: WriteOutcome
    detail: str = ""


class OverrideWriter:
    """Writes and removes the keys of overrides.

    An override takes effect at each entry VM, including this one, when the
    store replica delivers it, so that all apply changes in the same order.

    Parameters
    ----------
    store
        The platform's store.
    prefix
        Prefix of the keys of overrides.
    """

    def __init__(
        self, *, store: store_module.KeyValueStore, prefix: str
    ) -> None:
        self._store = store
        self._prefix = prefix

    async def write(self, override: operator_overrides.Override) -> WriteResult:
        """Store an override, replacing the previous one of its key."""
        put = store_module.Put(
            key=self._prefix + override.key,
            value=operator_overrides.encode(override),
        )
        return await self._commit(_deadline(), puts=(put,))

    async def remove(self, key: str) -> WriteResult:
        """Remove an override; `key` is without the prefix."""
        deadline = _deadline()
        stored_key = self._prefix + key
        absent = store_module.Comparison(
            key=stored_key, modified=store_module.ABSENT
        )
        try:
            async with asyncio.timeout_at(deadline):
                found = await self._store.transact(comparisons=(absent,))
        except TimeoutError:
            return _not_stored(_TIMED_OUT)
        if isinstance(found, store_module.Committed):
            return WriteResult(outcome=WriteOutcome.NOT_FOUND)
        if not isinstance(found, store_module.Rejected):
            return _not_stored(found.detail)
        return await self._commit(deadline, deletes=(stored_key,))

    async def _commit(
        self,
        deadline: float,
        *,
        puts: Sequence[store_module.Put] = (),
        deletes: Sequence[str] = (),
    ) -> WriteResult:
        detail = ""
        try:
            async with asyncio.timeout_at(deadline):
                for attempt in range(_MAX_ATTEMPTS):
                    result = await self._store.transact(
                        comparisons=(), puts=puts, deletes=deletes
                    )
                    if isinstance(result, store_module.Committed):
                        return WriteResult(outcome=WriteOutcome.STORED)
                    if isinstance(result, store_module.Rejected):
                        return _not_stored("the store rejected the change")
                    detail = result.detail
                    is_unknown = isinstance(result, store_module.Unknown)
                    if not is_unknown and attempt == 0:
                        return _not_stored(detail)
        except TimeoutError:
            # A cancelled write may have been sent.
            detail = _TIMED_OUT
        return WriteResult(outcome=WriteOutcome.UNKNOWN, detail=detail)


_TIMED_OUT = f"no answer of the store within {_LIMIT_SECONDS:g} s"


def _deadline() -> float:
    return asyncio.get_running_loop().time() + _LIMIT_SECONDS


def _not_stored(detail: str) -> WriteResult:
    return WriteResult(outcome=WriteOutcome.NOT_STORED, detail=detail)
