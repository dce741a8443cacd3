"""Demand of organisations in the messages between entry VMs."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import demand_row, demand_rows, format_error

LINE_SEPARATORS = ("\u2028", "\u2029", "\x85", "\x0b", "\r")

_names = st.text("abc-019", min_size=1, max_size=8)
_numbers = st.integers(0, 2**32 - 1)
_rows = st.builds(
    demand_row.DemandRow,
    key=st.builds(demand_row.ShareKey, pool=_names, tier=st.integers(1, 6)),
    organisation=_names | st.just(demand_row.OTHERS),
    organisations=_numbers,
    asked=_numbers.map(float),
    admitted=_numbers.map(float),
)


def row(organisation="house", pool="engines", organisations=1):
    return demand_row.DemandRow(
        key=demand_row.ShareKey(pool=pool, tier=1),
        organisation=organisation,
        organisations=organisations,
        asked=5000.0,
        admitted=3000.0,
    )


def news_with(rows):
    return router_messages.DomainNews(
        entry_vm="vm-1", domain="north", start=7, sequence=1, demands=rows
    )


def sent(demands):
    """Return demand as the receiver of a message gets it."""
    news = news_with(demand_rows.to_rows(demands))
    decoded = router_codec.decode(router_codec.encode(news))
    return demand_rows.from_rows(decoded.demands)


@given(demands=st.lists(_rows, max_size=50))
def test_demand_arrives_as_it_was_sent(demands):
    """Guards against demand that counts for another organisation or pool."""
    assert sent(demands) == tuple(demands)


@pytest.mark.parametrize(
    "organisations", [("",), ("", "house"), ("house", ""), ("", "")]
)
def test_rows_of_all_others_arrive(organisations):
    """Guards against rows without a name that are lost, alone or at an end."""
    demands = tuple(row(one, organisations=9) for one in organisations)
    assert sent(demands) == demands


@pytest.mark.parametrize("separator", LINE_SEPARATORS)
def test_ids_with_another_line_separator_arrive(separator):
    """Guards against an id that is split in two, so that all rows are lost."""
    demands = (
        row(f"house{separator}", pool=f"engines{separator}"),
        row(f"gar{separator}den", pool=f"oth{separator}ers"),
    )
    assert sent(demands) == demands


def test_empty_list_takes_no_space():
    """Guards against larger messages where no organisation asks."""
    rows = demand_rows.to_rows(())
    assert rows == router_messages.NO_DEMANDS
    assert demand_rows.from_rows(rows) == ()


@pytest.mark.parametrize("cut", [1, 4, 19, 20])
def test_rows_of_a_wrong_length_are_rejected(cut):
    """Guards against numbers of one organisation that are read as another's."""
    rows = demand_rows.to_rows([row("house"), row("garden")])
    broken = dataclasses.replace(rows, numbers=rows.numbers[:-cut])
    with pytest.raises(format_error.FormatError):
        demand_rows.from_rows(broken)


def test_row_of_an_unlisted_pool_is_rejected():
    """Guards against an index beyond the list of pools."""
    rows = demand_rows.to_rows([row(pool="engines"), row(pool="others")])
    broken = dataclasses.replace(rows, pools="engines")
    with pytest.raises(format_error.FormatError):
        demand_rows.from_rows(broken)
