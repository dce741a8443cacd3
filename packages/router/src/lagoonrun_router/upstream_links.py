"""Which upstreams this entry VM can't reach although others can."""

import logging

from lagoonrun_core import events, logs, types

_TRIAL_SECONDS = 0.25
"""Time between two attempts to open a connection over links that are cut. All
links that are cut are tried once a second."""

_ALL_TRIALS_SECONDS = 1.0

_FORWARDING_PAUSE_SECONDS = 1.0
"""Time for which no other entry VM is asked for an upstream that none of them
has reached."""


class UpstreamLinks:
    """State of the links to the upstreams.

    A link counts as cut if a connection to its upstream could be opened by way
    of another entry VM only. An upstream that nobody reaches has no cut link.
    """

    def __init__(self) -> None:
        self._cut_at_by_upstream: dict[types.UpstreamId, float] = {}
        self._reached_at_by_upstream: dict[types.UpstreamId, float] = {}
        self._unreachable_at_by_upstream: dict[types.UpstreamId, float] = {}
        self._newest_cut_at = float("-inf")
        self._untried: list[types.UpstreamId] = []
        self._next_trial_at = float("-inf")

    @property
    def cut(self) -> tuple[types.UpstreamId, ...]:
        """Upstreams whose links are cut."""
        return tuple(self._cut_at_by_upstream)

    def is_cut(self, upstream: types.UpstreamId) -> bool:
        """Return whether the link to `upstream` is cut."""
        return upstream in self._cut_at_by_upstream

    def may_reuse(self, upstream: types.UpstreamId) -> bool:
        """Return whether open connections to `upstream` may still work.

        While a link is cut, those over other links have to be shown to work by
        a new connection: a partition mostly affects several links.
        """
        if not self._cut_at_by_upstream:
            return True
        reached_at = self._reached_at_by_upstream.get(upstream, float("-inf"))
        return not self.is_cut(upstream) and reached_at >= self._newest_cut_at

    def may_forward(self, upstream: types.UpstreamId, *, now: float) -> bool:
        """Return whether another entry VM is to be asked for `upstream`."""
        if self.is_cut(upstream):
            return True
        unreachable_at = self._unreachable_at_by_upstream.get(
            upstream, float("-inf")
        )
        return now - unreachable_at >= _FORWARDING_PAUSE_SECONDS

    def record_reached(self, upstream: types.UpstreamId, *, now: float) -> None:
        """Record a connection over the link to `upstream`."""
        self._reached_at_by_upstream[upstream] = now
        self._unreachable_at_by_upstream.pop(upstream, None)
        cut_at = self._cut_at_by_upstream.pop(upstream, None)
        if cut_at is None:
            return
        # The others were probably cut by the same fault, which has ended.
        self._next_trial_at = now
        logs.emit(
            events.LogEvent.UPSTREAM_LINK_CHANGED,
            upstream=upstream,
            cut=False,
            seconds=round(now - cut_at, 3),
            detail="a connection was opened",
            cut_links=len(self._cut_at_by_upstream),
        )

    def record_cut(
        self, upstream: types.UpstreamId, *, detail: str, now: float
    ) -> None:
        """Record that only another entry VM has reached `upstream`.

        Parameters
        ----------
        detail
            What happened on the link, for the log.
        """
        self._unreachable_at_by_upstream.pop(upstream, None)
        if upstream in self._cut_at_by_upstream:
            return
        if not self._cut_at_by_upstream:
            self._next_trial_at = now + _TRIAL_SECONDS
        self._cut_at_by_upstream[upstream] = now
        self._newest_cut_at = now
        logs.emit(
            events.LogEvent.UPSTREAM_LINK_CHANGED,
            level=logging.WARNING,
            upstream=upstream,
            cut=True,
            seconds=0.0,
            detail=detail,
            cut_links=len(self._cut_at_by_upstream),
        )

    def record_unreachable(
        self, upstream: types.UpstreamId, *, now: float
    ) -> None:
        """Record that neither this entry VM nor another reached `upstream`."""
        self._unreachable_at_by_upstream[upstream] = now

    def pop_trial(self, *, now: float) -> types.UpstreamId | None:
        """Return the upstream to which a connection is to be tried now."""
        if not self._cut_at_by_upstream or now < self._next_trial_at:
            return None
        self._untried = [one for one in self._untried if self.is_cut(one)]
        if not self._untried:
            self._untried = list(self._cut_at_by_upstream)
        pause = min(
            _TRIAL_SECONDS, _ALL_TRIALS_SECONDS / len(self._cut_at_by_upstream)
        )
        # Relative to when this one was due: the caller asks at intervals.
        due_at = max(self._next_trial_at, now - _TRIAL_SECONDS)
        self._next_trial_at = due_at + pause
        return self._untried.pop(0)

    def retain(self, known: frozenset[types.UpstreamId]) -> None:
        """Forget the links to all upstreams that are not known any more."""
        for state in (
            self._cut_at_by_upstream,
            self._reached_at_by_upstream,
            self._unreachable_at_by_upstream,
        ):
            for upstream in state.keys() - known:
                del state[upstream]
