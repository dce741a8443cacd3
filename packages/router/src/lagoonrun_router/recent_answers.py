"""Which requests an upstream has answered to the end a moment ago."""

import collections

from lagoonrun_core import types

ANSWERED_SECONDS = 30.0
"""Age up to which an answer shows that a request ends no upstreams. Longer than a
series of crashes, shorter than what operators wait for where a new version of an
engine can't bear what the one before could."""

_MOST_REMEMBERED = 2048
"""Requests that are remembered, a hundred bytes each; the oldest yield."""


class RecentAnswers:
    """The requests that this entry VM has had answered lately."""

    def __init__(self) -> None:
        self._at_by_request: collections.OrderedDict[
            types.RequestDigest, float
        ] = collections.OrderedDict()

    def note(self, request: types.RequestDigest, *, now: float) -> None:
        """Note an answer."""
        self._at_by_request[request] = now
        self._at_by_request.move_to_end(request)
        while len(self._at_by_request) > _MOST_REMEMBERED:
            self._at_by_request.popitem(last=False)

    def has(self, request: types.RequestDigest, *, now: float) -> bool:
        """Return whether a request was answered lately."""
        at = self._at_by_request.get(request)
        return at is not None and now - at < ANSWERED_SECONDS
