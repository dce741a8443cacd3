"""Decide which entry VM tells the others of an answer to a suspected part.

A part that many requests share is answered at all entry VMs within the same
moment. Each of them waits for a random time, so that a few tell the others, and
the rest have heard of it before their time has come.
"""

import random
from collections.abc import Callable

from lagoonrun_core import types
from lagoonrun_router import answer_times

_SECONDS_PER_PEER = 0.002
"""Longest wait for each peer: a message takes a few milliseconds to arrive."""

_MAX_WAIT_SECONDS = 1.0

_MAX_PENDING = 256
"""Maximum number of answers that wait; a later answer takes its place."""

_HEARD_SECONDS = 10.0
"""Time after which the others are told again that a part is answered."""


class PartAnswerNews:
    """The answers of this entry VM that the others need.

    Parameters
    ----------
    peer_count
        Returns the number of peers.
    rng
        Source of the random times.
    """

    def __init__(
        self, *, peer_count: Callable[[], int], rng: random.Random
    ) -> None:
        self._peer_count = peer_count
        self._rng = rng
        self._pending_by_key: dict[
            tuple[types.PromptPartDigest, str],
            tuple[float, answer_times.Answer],
        ] = {}
        self._told_at: dict[tuple[types.PromptPartDigest, str], float] = {}

    def add(self, answer: answer_times.Answer, *, now: float) -> None:
        """Tell the others of an answer soon, unless another one does."""
        key = (answer.suspect, answer.version)
        is_full = len(self._pending_by_key) >= _MAX_PENDING
        if is_full and key not in self._pending_by_key:
            return
        wait_seconds = min(
            _MAX_WAIT_SECONDS, _SECONDS_PER_PEER * self._peer_count()
        )
        due_at = now + self._rng.random() * wait_seconds
        due_at, _ = self._pending_by_key.get(key, (due_at, answer))
        self._pending_by_key[key] = (due_at, answer)

    def was_told_lately(
        self, part: types.PromptPartDigest, version: str, *, now: float
    ) -> bool:
        """Return whether the others know that a part is answered."""
        told_at = self._told_at.get((part, version), float("-inf"))
        return now - told_at < _HEARD_SECONDS

    def record_told(self, answer: answer_times.Answer, *, now: float) -> None:
        """Record that another entry VM has told the others of an answer."""
        key = (answer.suspect, answer.version)
        self._told_at.pop(key, None)
        self._told_at[key] = now
        self._pending_by_key.pop(key, None)
        while len(self._told_at) > _MAX_PENDING:
            del self._told_at[next(iter(self._told_at))]

    def pop_due(self, *, now: float) -> tuple[answer_times.Answer, ...]:
        """Return the answers to tell the others now."""
        due = tuple(
            answer
            for due_at, answer in self._pending_by_key.values()
            if now >= due_at
        )
        for answer in due:
            self.record_told(answer, now=now)
        return due
