"""The requests that an upstream has recently answered completely."""

import collections

from lagoonrun_core import types

ANSWERED_SECONDS = 30.0
"""Age up to which an answer shows that a request does not crash upstreams.
Longer than a series of crashes, and shorter than operators wait for a reaction
when a new version of an engine crashes on requests that the previous one could
run."""

_MAX_REMEMBERED = 2048
"""Requests that are stored, a hundred bytes each; the oldest are evicted."""


class RecentAnswers:
    """The requests of this entry VM that were recently answered."""

    def __init__(self) -> None:
        self._at_by_request: collections.OrderedDict[
            types.RequestDigest, float
        ] = collections.OrderedDict()

    def record(self, request: types.RequestDigest, *, now: float) -> None:
        """Record that a request was answered."""
        self._at_by_request[request] = now
        self._at_by_request.move_to_end(request)
        while len(self._at_by_request) > _MAX_REMEMBERED:
            self._at_by_request.popitem(last=False)

    def has(self, request: types.RequestDigest, *, now: float) -> bool:
        """Return whether a request was recently answered."""
        at = self._at_by_request.get(request)
        return at is not None and now - at < ANSWERED_SECONDS
