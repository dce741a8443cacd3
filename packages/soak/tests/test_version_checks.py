"""Checks of streams that keep their version and are continued elsewhere."""

import pytest

from lagoonrun_soak import layout, record, upstream, version_checks


@pytest.fixture
def history():
    history = record.History()
    for number, version in enumerate(("v1", "v1", "v2")):
        history.services_by_upstream[f"u-{number}"] = record.Service(
            pool=layout.ENGINES, version=version, start=0.0
        )
    return history


def add(history, id, version="v1", events=2, status=200, **changes):
    first = changes.get("resumes_after", 0) + 1
    body = b"".join(
        upstream.event(id, number, version)
        for number in range(first, first + events)
    )
    history.requests_by_id[id] = record.CallerRequest(
        id=id,
        organisation=layout.ORGANISATION,
        kind=layout.SUMMARY.name,
        vm="vm-1",
        boot=1,
        key_revision=0,
        sent_at=10.0,
        ended_at=11.0,
        status=status,
        body=body,
        **changes,
    )


def test_stream_with_two_versions_over_two_tries_is_found(history):
    add(history, "r-1")
    add(history, "r-2", version="v1", resumes="r-1", resumes_after=2)
    assert list(version_checks.mixed_streams(history)) == []
    add(history, "r-3", version="v2", resumes="r-1", resumes_after=4)
    assert list(version_checks.mixed_streams(history)) == [
        ("r-1", "events of v1 and v2")
    ]


def test_body_that_ends_within_an_event_has_only_its_whole_events():
    body = upstream.event("r-1", 1, "v1") + upstream.event("r-1", 2, "v2")[:-1]
    assert upstream.versions_in(body) == ["v1"]


@pytest.mark.parametrize(
    ("version", "continued", "found"),
    [("v1", 6, False), ("v1", 5, True), ("v2", 0, False)],
)
def test_streams_that_are_refused_are_found(history, version, continued, found):
    """Only streams count of whose version two upstreams serve."""
    for number in range(12):
        add(history, f"r-{number}", version)
        is_continued = number < continued
        add(
            history,
            f"s-{number}",
            version,
            events=2 * is_continued,
            status=200 if is_continued else 503,
            resumes=f"r-{number}",
            resumes_after=2,
        )
    detail = version_checks.too_few_continued(history, recovery_seconds=3.0)
    assert bool(detail) is found
