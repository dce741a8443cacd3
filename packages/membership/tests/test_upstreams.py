"""Leaving wins until a newer incarnation, in any order of the updates."""

import hypothesis
from hypothesis import strategies

from lagoonrun_membership import upstreams
from lagoonrun_protocol import messages

_UPDATES = strategies.builds(
    messages.UpstreamUpdate,
    upstream=strategies.sampled_from(["runner-1", "runner-2"]),
    incarnation=strategies.integers(1, 3),
    leaving=strategies.booleans(),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    updates=strategies.lists(_UPDATES, max_size=12), data=strategies.data()
)
def test_any_order_gives_the_state_of_the_oracle(updates, data):
    first = upstreams.UpstreamTable()
    second = upstreams.UpstreamTable()
    for update in updates:
        first.apply(update)
    for update in data.draw(strategies.permutations(updates)):
        second.apply(update)
    for upstream in ("runner-1", "runner-2"):
        received = [n for n in updates if n.upstream == upstream]
        newest = max((n.incarnation for n in received), default=0)
        leaving = any(n.leaving for n in received if n.incarnation == newest)
        assert first.is_leaving(upstream) is leaving
        assert second.is_leaving(upstream) is leaving
    assert first.digest == second.digest


def test_lagging_list_does_not_revoke_leaving():
    """An upstream reports that it leaves; the platform's list lags.

    The list shows it live for some more time. If that counted, the upstream
    would get new requests in its last seconds.
    """
    table = upstreams.UpstreamTable()
    for leaving in (False, True, False, False):
        table.apply(
            messages.UpstreamUpdate(
                upstream="runner-1", incarnation=3, leaving=leaving
            )
        )
    assert table.is_leaving("runner-1")
    table.apply(
        messages.UpstreamUpdate(
            upstream="runner-1", incarnation=4, leaving=False
        )
    )
    assert not table.is_leaving("runner-1")
    assert [u.leaving for u in table.pop_changed()] == [False]
