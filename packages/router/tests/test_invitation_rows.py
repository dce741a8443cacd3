"""Invitations to return in the messages between entry VMs."""

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonrun_protocol import router_codec, router_messages
from lagoonrun_router import format_error, invitation_rows, return_schedule

NOW = 5000.0
LINE_SEPARATORS = ("\u2028", "\u2029", "\x85", "\x0b", "\r")
_names = st.text("abc-019", min_size=1, max_size=8)
_invitations = st.builds(
    return_schedule.Invitation,
    digest=st.text("0123456789abcdef", min_size=16, max_size=16),
    pool=_names,
    tier=st.integers(1, 6),
    tokens=st.integers(0, 2**32 - 1).map(float),
    due_at=st.floats(NOW - 0.5, NOW + return_schedule.MAX_AHEAD_SECONDS),
)


def invitation(digest="d-1", pool="engines", due_at=NOW + 0.3):
    return return_schedule.Invitation(
        digest=digest, pool=pool, tier=1, tokens=2000.0, due_at=due_at
    )


@given(invitations=st.lists(_invitations, max_size=48))
def test_invitations_arrive_in_the_time_of_the_receiver(invitations):
    """Guards against returns that are awaited at another time.

    The clocks of two entry VMs have different origins.
    """
    rows = invitation_rows.to_rows(invitations, now=NOW)
    news = router_messages.FleetNews(
        entry_vm="vm-1", start=7, sequence=1, port=1, invitations=rows
    )
    decoded = router_codec.decode(router_codec.encode(news))
    got = invitation_rows.from_rows(decoded.invitations, now=70.0)
    assert [dataclasses.replace(one, due_at=0.0) for one in got] == [
        dataclasses.replace(one, due_at=0.0) for one in invitations
    ]
    for one, original in zip(got, invitations, strict=True):
        assert one.due_at - 70.0 == pytest.approx(
            original.due_at - NOW, abs=0.001
        )


def test_redeemed_invitation_arrives_without_tokens_after_its_time():
    """Guards against reservations of callers that returned at the last moment."""
    late = dataclasses.replace(invitation(due_at=NOW - 0.5), tokens=0.0)
    (got,) = invitation_rows.from_rows(
        invitation_rows.to_rows([late], now=NOW), now=NOW
    )
    assert got.tokens == 0.0
    assert got.due_at == pytest.approx(NOW - 0.5)


@pytest.mark.parametrize("separator", LINE_SEPARATORS)
def test_ids_with_another_line_separator_arrive(separator):
    """Guards against an id that is split in two, so that all rows are lost."""
    invitations = [
        invitation(f"d{separator}1", pool=f"engines{separator}"),
        invitation(f"d-2{separator}", pool=f"others{separator}1"),
    ]
    rows = invitation_rows.to_rows(invitations, now=NOW)
    news = router_messages.FleetNews(
        entry_vm="vm-1", start=7, sequence=1, port=1, invitations=rows
    )
    decoded = router_codec.decode(router_codec.encode(news))
    got = invitation_rows.from_rows(decoded.invitations, now=NOW)
    assert [(one.digest, one.pool) for one in got] == [
        (one.digest, one.pool) for one in invitations
    ]


def test_empty_list_takes_no_space():
    """Guards against larger messages where nobody was told to return."""
    rows = invitation_rows.to_rows((), now=NOW)
    assert rows == router_messages.NO_INVITATIONS
    assert invitation_rows.from_rows(rows, now=NOW) == ()


@pytest.mark.parametrize("cut", [1, 4, 15, 16])
def test_rows_of_a_wrong_length_are_rejected(cut):
    """Guards against times of one request that are read as another's."""
    rows = invitation_rows.to_rows(
        [invitation("d-1"), invitation("d-2")], now=NOW
    )
    broken = dataclasses.replace(rows, numbers=rows.numbers[:-cut])
    with pytest.raises(format_error.FormatError):
        invitation_rows.from_rows(broken, now=NOW)


def test_row_of_an_unlisted_pool_is_rejected():
    """Guards against an index beyond the list of pools."""
    rows = invitation_rows.to_rows(
        [invitation("d-1"), invitation("d-2", pool="others")], now=NOW
    )
    with pytest.raises(format_error.FormatError):
        invitation_rows.from_rows(
            dataclasses.replace(rows, pools="engines"), now=NOW
        )
