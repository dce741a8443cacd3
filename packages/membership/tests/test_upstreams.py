"""Leaving wins until a newer incarnation, in whatever order news comes."""

import hypothesis
from hypothesis import strategies

from lagoonrun_membership import upstreams
from lagoonrun_protocol import messages

_NEWS = strategies.builds(
    messages.UpstreamUpdate,
    upstream=strategies.sampled_from(["runner-1", "runner-2"]),
    incarnation=strategies.integers(1, 3),
    leaving=strategies.booleans(),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    news=strategies.lists(_NEWS, max_size=12), data=strategies.data()
)
def test_any_order_gives_the_belief_of_the_oracle(news, data):
    first = upstreams.UpstreamTable()
    second = upstreams.UpstreamTable()
    for update in news:
        first.apply(update)
    for update in data.draw(strategies.permutations(news)):
        second.apply(update)
    for upstream in ("runner-1", "runner-2"):
        heard = [n for n in news if n.upstream == upstream]
        newest = max((n.incarnation for n in heard), default=0)
        leaving = any(n.leaving for n in heard if n.incarnation == newest)
        assert first.is_leaving(upstream) is leaving
        assert second.is_leaving(upstream) is leaving
    assert first.digest == second.digest


def test_lagging_list_does_not_take_leaving_back():
    """An upstream reports that it leaves; the platform's list lags.

    The list goes on showing it live for a while. If that counted, it would
    get new work in its last seconds.
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
