"""Thresholds of silence of failure domains."""

from lagoonrun_router import reach


def test_domain_has_dead_connections_then_is_silent_then_expires():
    domains = reach.DomainReach()
    assert not domains.may_have_dead_connections("north", now=0.0)
    domains.record_contact("north", now=0.0)
    assert not domains.may_have_dead_connections("north", now=0.5)
    assert domains.may_have_dead_connections("north", now=0.7)
    assert not domains.is_silent("north", now=0.7)
    assert domains.is_silent("north", now=1.1)
    assert not domains.is_silent("north", now=60.0)
    domains.record_contact("north", now=61.0)
    assert not domains.may_have_dead_connections("north", now=61.0)
