"""Classes first, organisations within them."""

from lagoonrun_router import declarations, urgency


def organisation(tier):
    return declarations.RankedOrganisation(id="o", key_digests=(), tier=tier)


def test_class_goes_before_organisation():
    """A favoured house sends long summaries, the others urgent questions.

    The questions of all houses come before its summaries.
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
