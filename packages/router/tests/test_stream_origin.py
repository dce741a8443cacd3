"""Statements of several entry VMs on where a stream began."""

import pytest

from lagoonrun_router import stream_origin
from lagoonrun_router.stream_origin import Evidence
from lagoonrun_standins.router_samples import make_registration

V1 = stream_origin.StreamOrigin(pool="portal", version="v1")
V2 = stream_origin.StreamOrigin(pool="portal", version="v2")


def found(evidence, origin=None, attempt=0):
    return stream_origin.FoundOrigin(
        evidence=evidence, origin=origin, attempt=attempt
    )


@pytest.mark.parametrize(
    ("statements", "evidence", "origin"),
    [
        ([found(Evidence.TOO_NEW)], Evidence.TOO_NEW, None),
        (
            [found(Evidence.TOO_NEW), found(Evidence.SOLE_VERSION, V1)],
            Evidence.SOLE_VERSION,
            V1,
        ),
        (
            [
                found(Evidence.SOLE_VERSION, V1),
                found(Evidence.SOLE_VERSION, V2),
            ],
            Evidence.SEVERAL_VERSIONS,
            None,
        ),
        (
            [
                found(Evidence.SOLE_VERSION, V1),
                found(Evidence.SEVERAL_VERSIONS),
            ],
            Evidence.SEVERAL_VERSIONS,
            None,
        ),
        (
            [
                found(Evidence.SEVERAL_VERSIONS),
                found(Evidence.RECORD, V1, attempt=1),
                found(Evidence.RECORD, V2, attempt=2),
            ],
            Evidence.RECORD,
            V2,
        ),
    ],
)
def test_statements_are_combined(statements, evidence, origin):
    for ordered in (statements, statements[::-1]):
        combined = stream_origin.combine(ordered)
        assert (combined.evidence, combined.origin) == (evidence, origin)


def test_versions_of_two_pools_are_not_comparable():
    """Guards against a stream that goes on in another pool of its version."""
    other = make_registration("u-2", pool="annex", version="v1")
    assert V1.may_continue_at(make_registration("u-1", version="v1"))
    assert not V1.may_continue_at(other)


def test_upstream_without_a_version_has_one_of_its_own():
    """Guards against a stream that goes on at an upstream of another version."""
    origin = stream_origin.origin_at(make_registration("u-1", version=""))
    assert origin.may_continue_at(make_registration("u-1", version=""))
    assert not origin.may_continue_at(make_registration("u-2", version=""))
    restarted = make_registration("u-1", version="", start=2)
    assert not origin.may_continue_at(restarted)
