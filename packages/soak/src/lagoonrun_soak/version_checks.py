"""Checks that streams keep their version, and are continued elsewhere."""

import collections
from collections.abc import Iterator

from lagoonrun_soak import layout, record, upstream

_MIN_TAKEN_UP = 12
_MIN_CONTINUED_RATIO = 0.5
"""Of 12 or more streams that callers take up, at least half as many go on as new
streams begin."""

_OK = 200

_MIN_SERVING = 2
_SETTLED_SECONDS = 0.5
"""Time for which an upstream serves before and after a request is sent, to count
as one that could continue it."""


def mixed_streams(history: record.History) -> Iterator[tuple[str, str]]:
    """Return the streams with events of two versions, over all tries."""
    versions_by_stream: dict[str, set[str]] = collections.defaultdict(set)
    for request in history.requests_by_id.values():
        if layout.KINDS_BY_NAME[request.kind].streamed:
            versions = upstream.versions_in(request.body)
            versions_by_stream[request.resumes or request.id].update(versions)
    for id, versions in versions_by_stream.items():
        if len(versions) > 1:
            yield id, f"events of {' and '.join(sorted(versions))}"


def too_few_continued(
    history: record.History, *, recovery_seconds: float
) -> str:
    """Return what is wrong if too few streams go on that are taken up.

    Only those at entry VMs without a fault count, while two upstreams of their
    version serve.
    """
    streams = [
        one
        for one in history.requests_by_id.values()
        if layout.KINDS_BY_NAME[one.kind].route.resumable
        and one.ended_at is not None
        and not one.crashing_request
        and not one.crashing_part
        and history.is_undisturbed(
            one.vm, one.sent_at - recovery_seconds, one.sent_at
        )
    ]
    begun = [one.status == _OK for one in streams if not one.resumes]
    continued = [
        one.status == _OK
        for one in streams
        if one.resumes and _has_upstreams(history, one)
    ]
    if len(continued) < _MIN_TAKEN_UP:
        return ""
    share_begun = sum(begun) / max(1, len(begun))
    if sum(continued) >= _MIN_CONTINUED_RATIO * share_begun * len(continued):
        return ""
    return (
        f"{sum(continued)} of {len(continued)} streams that were taken up went "
        f"on, {sum(begun)} of {len(begun)} new ones began"
    )


def _has_upstreams(
    history: record.History, request: record.CallerRequest
) -> bool:
    """Return whether two upstreams of a stream's version serve."""
    begun = history.requests_by_id[request.resumes]
    version = upstream.versions_in(begun.body)[0]
    serving = [
        one
        for one in history.services_by_upstream.values()
        if one.pool == layout.ENGINES
        and one.version == version
        and one.start + _SETTLED_SECONDS < request.sent_at
        and request.sent_at + _SETTLED_SECONDS < one.end
    ]
    return len(serving) >= _MIN_SERVING
