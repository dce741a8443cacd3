"""Counts the requests that an upstream ran, for test oracles and benches."""

import collections
from collections.abc import Mapping
from typing import Any

from lagoonrun_core import clock as clock_lib


class RunCounts:
    """Counts runs by request id and idempotency key, and runs while leaving.

    Parameters
    ----------
    clock
        Measures how long after the start of leaving a run began.
    """

    def __init__(self, *, clock: clock_lib.Clock) -> None:
        self.by_request_id: collections.Counter[str] = collections.Counter()
        self.by_idempotency_key: collections.Counter[str] = (
            collections.Counter()
        )
        self.while_leaving = 0
        self.last_while_leaving_seconds = 0.0
        self._clock = clock
        self._leaving_since: float | None = None

    def set_leaving(self, leaving: bool) -> None:
        """Record whether the upstream is leaving."""
        if not leaving:
            self._leaving_since = None
        elif self._leaving_since is None:
            self._leaving_since = self._clock.monotonic()

    def add(self, headers: Mapping[str, str]) -> None:
        """Count one run, identified by its request headers."""
        self.by_request_id[headers.get("x-request-id", "")] += 1
        key = headers.get("idempotency-key")
        if key:
            self.by_idempotency_key[key] += 1
        if self._leaving_since is not None:
            self.while_leaving += 1
            age = self._clock.monotonic() - self._leaving_since
            self.last_while_leaving_seconds = age

    def totals(self) -> dict[str, Any]:
        """Return the totals as JSON."""
        return {
            "runs": self.by_request_id.total(),
            "repeated_request_ids": _repeated(self.by_request_id),
            "repeated_idempotency_keys": _repeated(self.by_idempotency_key),
            "runs_while_leaving": self.while_leaving,
            "last_run_while_leaving_seconds": self.last_while_leaving_seconds,
        }

    def by_id(self) -> dict[str, Any]:
        """Return every count as JSON."""
        return {
            "by_request_id": dict(self.by_request_id),
            "by_idempotency_key": dict(self.by_idempotency_key),
        }


def _repeated(counter: collections.Counter[str]) -> int:
    return sum(1 for count in counter.values() if count > 1)
