"""Rankings agree, spread the shards evenly and move few of them."""

import collections

from lagoonrun_membership import ranking

_VMS = tuple(f"vm-{n}" for n in range(8))
_SHARDS = tuple(f"pool-{n % 7}@north/{n}" for n in range(2000))


def test_order_of_candidates_does_not_matter():
    for shard in _SHARDS[:50]:
        expected = ranking.rank_entry_vms(shard, _VMS)
        assert sorted(expected) == sorted(_VMS)
        assert ranking.rank_entry_vms(shard, reversed(_VMS)) == expected


def test_shards_spread_over_candidates():
    counts = collections.Counter(
        ranking.rank_entry_vms(shard, _VMS)[0] for shard in _SHARDS
    )
    fair = len(_SHARDS) / len(_VMS)
    assert all(0.7 * fair < counts[vm] < 1.3 * fair for vm in _VMS)


def test_loss_moves_only_shards_of_the_lost_candidate():
    remaining = _VMS[1:]
    for shard in _SHARDS:
        before = ranking.rank_entry_vms(shard, _VMS)
        after = ranking.rank_entry_vms(shard, remaining)
        assert after == tuple(vm for vm in before if vm != _VMS[0])


def test_up_to_two_watchers_are_chosen():
    assert len(ranking.choose_watchers("north", _VMS)) == 2
    assert ranking.choose_watchers("north", _VMS[:1]) == _VMS[:1]
    assert ranking.choose_watchers("north", ()) == ()
