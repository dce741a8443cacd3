"""Urgency by request class first, by organisation within a class."""

from lagoonrun_router import declarations, urgency


def organisation(tier):
    return declarations.RankedOrganisation(id="o", key_digests=(), tier=tier)


def test_class_takes_precedence_over_organisation():
    """Guards against a preferred organisation's summaries before questions.

    The urgent questions of all organisations precede its summaries.
    """
    question = urgency.of(1, organisation(2), organisation_tiers=2)
    summary = urgency.of(3, organisation(1), organisation_tiers=2)
    assert question < summary


def test_organisations_are_ordered_within_a_class():
    first = urgency.of(2, organisation(1), organisation_tiers=2)
    second = urgency.of(2, organisation(2), organisation_tiers=2)
    unranked = urgency.of(2, organisation(None), organisation_tiers=2)
    assert first < second == unranked


def test_urgency_begins_at_zero():
    assert urgency.of(1, None, organisation_tiers=1) == 0
