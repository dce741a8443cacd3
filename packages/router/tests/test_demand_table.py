"""Sums of demand tables whose smaller organisations are aggregated."""

import hypothesis
import pytest
from hypothesis import strategies as st

from lagoonrun_router import demand_row, demand_table

KEY = demand_row.ShareKey(pool="p", tier=1)


def make_table(asked_by_organisation, admitted_share=0.5):
    return demand_table.DemandTable(
        asked_by_organisation=asked_by_organisation,
        admitted_by_organisation={
            organisation: asked * admitted_share
            for organisation, asked in asked_by_organisation.items()
        },
    )


def sent(table):
    """Return a table as the receiver of its rows knows it."""
    return demand_table.from_rows(table.rows(KEY))[KEY]


_tables = st.lists(
    st.dictionaries(
        st.integers(min_value=0, max_value=99).map("org-{}".format),
        st.floats(min_value=0.001, max_value=1e6),
        min_size=1,
        max_size=60,
    ).map(make_table),
    min_size=1,
    max_size=8,
)


@hypothesis.given(tables=_tables)
def test_sum_of_demands_is_kept(tables):
    """Guards against demand that is lost or invented by aggregating."""
    total = demand_table.sum_of([sent(one) for one in tables])
    assert total.asked == pytest.approx(sum(one.asked for one in tables))
    admitted = sum(total.admitted_by_organisation.values())
    assert admitted + total.rest.admitted == pytest.approx(total.asked / 2)
    assert sent(total).asked == pytest.approx(total.asked)


@hypothesis.given(tables=_tables)
def test_listed_organisation_asks_at_least_what_lists_say(tables):
    """Guards against a demand understated because another list omits it."""
    received = [sent(one) for one in tables]
    total = demand_table.sum_of(received)
    for organisation, asked in total.asked_by_organisation.items():
        listed = sum(
            one.asked_by_organisation.get(organisation, 0.0) for one in received
        )
        assert asked >= listed * (1 - 1e-6)


@hypothesis.given(tables=_tables)
def test_number_of_organisations_is_never_overstated(tables):
    """Guards against rests that count an organisation once per entry VM.

    The mean demand of the rest would be understated and never be limited.
    """
    names = {one for table in tables for one in table.asked_by_organisation}
    total = demand_table.sum_of([sent(one) for one in tables])
    assert total.organisations <= len(names)


def test_equal_organisations_ask_the_same_whether_listed_or_not():
    """Guards against a listed organisation that gets less for being listed.

    Each of four relays lists other 24 of the same 400 organisations.
    """
    received = []
    for relay in range(4):
        asked = {f"org-{index}": 10.0 for index in range(400)}
        for index in range(24):
            asked[f"org-{relay * 24 + index}"] = 10.001
        received.append(sent(make_table(asked)))
    total = demand_table.sum_of(received)
    assert total.organisations == 400
    assert total.rest.organisations == 400 - 4 * 24
    assert total.unlisted_asked == pytest.approx(40.0, rel=1e-3)
    for asked in total.asked_by_organisation.values():
        assert asked == pytest.approx(40.0, rel=1e-3)


def test_large_organisation_in_the_rest_of_another_table():
    """Guards against shares of the rest that inflate a large organisation."""
    here = {f"org-{index}": 100.0 + index for index in range(30)}
    there = {f"org-{index}": 100.0 - index for index in range(30)}
    total = demand_table.sum_of(
        [sent(make_table(here)), sent(make_table(there))]
    )
    # Listed here, in the rest there.
    largest = total.asked_by_organisation["org-29"]
    smallest_listed_there = 100.0 - 23
    assert 129.0 < largest < 129.0 + smallest_listed_there
    assert largest == pytest.approx(129.0 + 71.0, rel=0.05)


def test_larger_own_demand_is_taken_from_the_rest():
    """Guards against an organisation counted by name and within the rest."""
    reported = demand_table.DemandTable(
        asked_by_organisation={"a": 100.0, "b": 50.0},
        admitted_by_organisation={"a": 100.0, "b": 50.0},
        rest=demand_table.Rest(organisations=4, asked=40.0, admitted=20.0),
    )
    own = make_table({"a": 20.0, "b": 60.0, "c": 30.0, "d": 5.0})
    total = demand_table.larger_of(reported, own)
    assert total.asked_by_organisation == {"a": 100.0, "b": 60.0, "c": 30.0}
    assert total.rest == demand_table.Rest(
        organisations=3, asked=30.0, admitted=15.0
    )
    assert reported.asked_by_organisation == {"a": 100.0, "b": 50.0}


def test_oversized_message_is_shortened():
    """Guards against memory that grows with the messages of another version."""
    rows = [
        demand_row.DemandRow(
            key=KEY,
            organisation=f"org-{index}",
            organisations=1,
            asked=float(index),
            admitted=0.0,
        )
        for index in range(5000)
    ]
    table = demand_table.from_rows(rows)[KEY]
    assert len(table.asked_by_organisation) == demand_row.LISTED_ORGANISATIONS
    assert table.organisations == 5000
    assert table.asked == pytest.approx(sum(range(5000)))


@pytest.mark.parametrize("asked", [float("nan"), float("inf"), -1.0])
def test_implausible_rate_counts_as_none(asked):
    """Guards against one corrupt row that makes every level unusable."""
    row = demand_row.DemandRow(
        key=KEY, organisation="a", organisations=1, asked=asked, admitted=asked
    )
    assert demand_table.from_rows([row])[KEY].asked == 0.0
