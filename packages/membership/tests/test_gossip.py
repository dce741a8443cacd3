"""Members agree within a bounded time, whatever happens to some of them."""

import pytest

from lagoonrun_protocol import hub, messages

_ALIVE = messages.MemberState.ALIVE
_LEAVING = messages.MemberState.LEAVING
_DEAD = messages.MemberState.DEAD


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_all_join_through_two_seeds(make_network, seed, loss):
    network = make_network(seed=seed)
    network.loss = loss
    network.start_fleet(domains=("north", "south", "west"), per_domain=3)
    network.run_until(network.all_alive, within=20.0)


def test_joiner_knows_its_own_domain_first(make_network):
    """A VM joins a fleet whose table fills many datagrams.

    It can dispatch and rank shards once it knows its domain; the rest of the
    fleet may take longer.
    """
    network = make_network()
    domains = [f"domain-{n}" for n in range(8)]
    names = network.start_fleet(domains=domains, per_domain=12)
    network.introduce_all()
    network.start("vm-domain-3-new", domain="domain-3", seeds=names[:2])
    joiner = network.nodes_by_id["vm-domain-3-new"].members
    network.run_until(
        lambda: len(joiner.eligible_in("domain-3")) == 13, within=2.0
    )
    network.run_until(lambda: len(joiner) == 97, within=4.0)


def test_member_that_others_condemn_is_told_at_once(network, update):
    """A cut heals, and the far side tells that a near member is dead.

    The member can refute only what it hears of, and has little time. Whoever
    holds it alive tells it at once, instead of at the next probe.
    """
    node = network.nodes_by_id["vm-north-0"]
    verdict = update(
        "vm-south-1", domain="south", state=messages.MemberState.DEAD
    )
    news = messages.Ping(sequence=0, source="vm-west-0", members=(verdict,))
    outgoing = node.receive(
        news,
        sender="vm-west-0",
        address=hub.PeerAddress(host="vm-west-0", port=9000),
        now=network.now,
    )
    told = [item for item in outgoing if item.address.host == "vm-south-1"]
    assert told
    states = {
        record.entry_vm: record.state for record in told[0].message.members
    }
    assert states["vm-south-1"] is messages.MemberState.SUSPECT
    assert told[0].message.sequence != 0


@pytest.mark.parametrize("seed", range(3))
def test_nobody_is_held_for_dead_in_calm(make_network, seed):
    network = make_network(seed=seed)
    network.loss = 0.05
    names = network.start_fleet(domains=("north", "south"), per_domain=4)
    network.run_until(network.all_alive, within=20.0)
    network.run(60.0)
    assert network.all_alive()
    dead = [
        view.entry_vm
        for changes in network.changes_by_id.values()
        for _, view in changes
        if view.state is _DEAD
    ]
    assert not dead, f"{dead} of {names} were held for dead"


def test_killed_member_is_held_for_dead(network):
    """A VM is taken away without a word while it dispatches shards.

    Ingresses lose their link at once, but the ranking moves only when the
    membership says so: everyone must agree within a bounded time.
    """
    network.kill("vm-north-1")
    viewers = ("vm-north-0", "vm-north-2")
    network.run_until(
        lambda: network.everyone_sees(_DEAD, ["vm-north-1"], viewers=viewers),
        within=10.0,
    )
    network.run_until(
        lambda: network.everyone_sees(_DEAD, ["vm-north-1"]), within=15.0
    )


@pytest.mark.parametrize("timer_first", [True, False])
def test_frozen_member_comes_back(network, timer_first):
    """A VM is paused by its host, held for dead, and goes on after a while.

    It wakes with all its deadlines passed and its socket full. It must not
    hold the others for dead, and its own death must be refuted, since nobody
    else can say that it is alive.
    """
    network.freeze("vm-north-1")
    network.run_until(
        lambda: network.everyone_sees(
            _DEAD,
            ["vm-north-1"],
            viewers=set(network.nodes_by_id) - {"vm-north-1"},
        ),
        within=20.0,
    )
    network.changes_by_id["vm-north-1"].clear()
    network.resume("vm-north-1", timer_first=timer_first)
    network.run_until(network.all_alive, within=10.0)
    assert _DEAD not in {
        view.state for _, view in network.changes_by_id["vm-north-1"]
    }


def test_short_freeze_accuses_nobody(network):
    network.freeze("vm-north-1")
    network.run(4.0)
    for changes in network.changes_by_id.values():
        changes.clear()
    network.resume("vm-north-1")
    network.run(10.0)
    assert network.all_alive()
    blamed = {
        view.entry_vm
        for changes in network.changes_by_id.values()
        for _, view in changes
        if view.state in (_DEAD, messages.MemberState.SUSPECT)
    }
    assert blamed <= {"vm-north-1"}


def test_two_members_frozen_at_once_spare_each_other(network):
    """A host pauses two of its VMs while one of them suspects the other.

    The other wakes first and refutes, with the answer waiting in the first
    one's socket. The first wakes with the suspicion's deadline long past; it
    must read before it judges, or it would move shards for nothing.
    """
    first, second = "vm-north-1", "vm-north-2"
    network.freeze(second)
    network.run_until(
        lambda: network.states(first)[second] is messages.MemberState.SUSPECT,
        within=10.0,
    )
    network.freeze(first)
    network.run(0.5)
    network.resume(second)
    network.run(8.0)
    network.resume(first, timer_first=True)
    network.run_until(network.all_alive, within=10.0)
    changes = network.changes_by_id[first]
    assert _DEAD not in {v.state for _, v in changes if v.entry_vm == second}


def test_slow_member_accuses_hardly_anyone(network):
    """A VM is starved of processor time and reads everything late.

    All its probes seem to fail. Others would have to refute again and again;
    its own misses tell it to wait longer instead.
    """
    network.delay_by_receiver["vm-north-1"] = 1.2
    network.run(20.0)
    others = set(network.nodes_by_id) - {"vm-north-1"}
    before = _refutations(network, others)
    network.run(60.0)
    assert _refutations(network, others) - before <= 5


def _refutations(network, names):
    return sum(network.nodes_by_id[name].members.refutations for name in names)


@pytest.mark.parametrize("deaf", [True, False], ids=["deaf", "mute"])
def test_one_way_cut_excludes_one_and_spares_the_rest(network, deaf):
    """A firewall rule drops datagrams to (or from) one VM only.

    A deaf VM gets no answers and accuses everyone, and its accusations
    arrive. The others must hold it for dead, keep each other alive, and not
    be kept busy with refuting. When the cut heals, all are alive again.
    """
    others = [name for name in network.nodes_by_id if name != "vm-north-1"]
    if deaf:
        network.cut(others, ["vm-north-1"], both_ways=False)
    else:
        network.cut(["vm-north-1"], others, both_ways=False)
    before = _refutations(network, others)
    network.run_until(
        lambda: network.everyone_sees(_DEAD, ["vm-north-1"], viewers=others),
        within=25.0,
    )
    network.run(60.0)
    for changes in (network.changes_by_id[name] for name in others):
        assert {v.entry_vm for _, v in changes if v.state is _DEAD} <= {
            "vm-north-1"
        }
    assert _refutations(network, others) - before <= 2
    network.heal()
    network.run_until(network.all_alive, within=20.0)


@pytest.mark.parametrize("seed", [1, 3])
def test_domain_cut_off_and_healed(make_network, seed):
    """A failure domain is cut off from the others for a minute.

    Inside it, all stay alive and go on. Outside, its members are held for
    dead. After the cut, everyone is alive again within seconds, and nobody
    is held for dead on either side because of what the other side believed.
    """
    network = make_network(seed=seed)
    network.start_fleet(domains=("north", "south", "west"), per_domain=4)
    network.run_until(network.all_alive, within=15.0)
    south = [name for name in network.nodes_by_id if "south" in name]
    rest = [name for name in network.nodes_by_id if "south" not in name]
    network.cut(south, rest)
    network.run(60.0)
    assert network.everyone_sees(_DEAD, south, viewers=rest)
    assert network.everyone_sees(_DEAD, rest, viewers=south)
    assert network.all_alive(rest)
    assert network.all_alive(south)
    for changes in network.changes_by_id.values():
        changes.clear()
    network.heal()
    network.run_until(network.all_alive, within=8.0)
    for name, changes in network.changes_by_id.items():
        side = south if name in south else rest
        died = {v.entry_vm for _, v in changes if v.state is _DEAD}
        assert not died & set(side)


def test_cut_heals_without_seeds(make_network):
    """The seeds were replaced long ago when a cut of minutes heals.

    Each side holds the other for dead and probes only the living. One of
    them has to try the dead, or the fleet stays split for ever.
    """
    network = make_network()
    network.start("vm-seed", domain="north")
    for n in range(4):
        domain = ("north", "south")[n % 2]
        network.start(f"vm-{n}", domain=domain, seeds=("vm-seed",))
    network.run_until(network.all_alive, within=15.0)
    network.kill("vm-seed")
    network.cut(["vm-0", "vm-2"], ["vm-1", "vm-3"])
    network.run(60.0)
    assert network.everyone_sees(_DEAD, ["vm-1"], viewers=["vm-0"])
    network.heal()
    network.run_until(network.all_alive, within=25.0)


def test_join_during_a_cut(network):
    """A VM starts in a domain that is cut off from its seeds.

    It knows one peer of its own domain by the platform's list. When the cut
    heals, it is known everywhere.
    """
    south = [name for name in network.nodes_by_id if "south" in name]
    rest = [name for name in network.nodes_by_id if "south" not in name]
    network.cut([*south, "vm-south-new"], rest)
    network.run(30.0)
    network.start(
        "vm-south-new",
        domain="south",
        seeds=("vm-north-0", "vm-west-0", "vm-south-1"),
    )
    network.run_until(
        lambda: network.all_alive([*south, "vm-south-new"]), within=10.0
    )
    network.heal()
    network.run_until(network.all_alive, within=15.0)


def test_seeds_that_are_dead_at_start_are_tried_again(make_network):
    """A whole fleet starts in an unlucky order: the seeds come last."""
    network = make_network()
    network.start("vm-2", seeds=("vm-0", "vm-1"))
    network.start("vm-3", seeds=("vm-0", "vm-1"))
    network.run(60.0)
    network.start("vm-0", seeds=("vm-1",))
    network.run_until(network.all_alive, within=10.0)


def test_leaving_member_gets_no_shard_at_once(network):
    """A VM is told to stop and has streams to finish.

    Its domain must rank it out at once, not at the next probe, and its
    refutations of suspicions must not bring it back into the ranking.
    """
    leaving = network.nodes_by_id["vm-north-1"]
    network.act("vm-north-1", leaving.announce_leaving(now=network.now))
    took = network.run_until(
        lambda: all(
            "vm-north-1"
            not in network.nodes_by_id[name].members.eligible_in("north")
            for name in network.nodes_by_id
            if "north" in name
        ),
        within=1.0,
    )
    assert took < 0.5
    network.freeze("vm-north-1")
    network.run(2.5)
    network.resume("vm-north-1")
    network.run_until(
        lambda: network.everyone_sees(_LEAVING, ["vm-north-1"]), within=15.0
    )


def test_farewell_spares_the_suspicion(network):
    leaving = network.nodes_by_id["vm-north-1"]
    network.act("vm-north-1", leaving.announce_leaving(now=network.now))
    network.run(0.05)
    network.act("vm-north-1", leaving.announce_shutdown())
    network.kill("vm-north-1")
    viewers = [name for name in network.nodes_by_id if "north" in name]
    took = network.run_until(
        lambda: network.everyone_sees(_DEAD, ["vm-north-1"], viewers=viewers),
        within=1.0,
    )
    assert took < 0.5


def test_flapping_member_takes_shards_ever_more_rarely(network):
    """A VM's link fails and heals every fifteen seconds.

    Each return would move shards to it and each loss away again, and every
    ingress would register its work anew. The hold grows with each flap.
    """
    others = [name for name in network.nodes_by_id if name != "vm-north-1"]
    viewer = network.nodes_by_id["vm-north-0"]
    holds = []
    for _ in range(4):
        network.cut(others, ["vm-north-1"])
        network.run(15.0)
        network.heal()
        network.run_until(network.all_alive, within=20.0)
        back_at = network.now
        network.run_until(
            lambda: "vm-north-1" in viewer.members.eligible_in("north"),
            within=70.0,
        )
        holds.append(network.now - back_at)
    assert holds[-1] > 2 * holds[0]


def test_restarted_member_is_alive_with_its_new_incarnation(network):
    network.kill("vm-north-1")
    network.start(
        "vm-north-1", domain="north", incarnation=50, seeds=("vm-north-0",)
    )
    network.run_until(
        lambda: (
            network.all_alive()
            and all(
                node.members.view("vm-north-1").incarnation >= 50
                for node in network.nodes_by_id.values()
            )
        ),
        within=10.0,
    )


def test_restart_with_a_clock_set_back(network):
    """A VM is replaced under its name, and its clock is behind.

    Its incarnation is lower than its predecessor's. It must go above it, or
    nobody would ever believe that it is alive.
    """
    network.start(
        "vm-north-7", domain="north", incarnation=500, seeds=("vm-north-0",)
    )
    network.run_until(network.all_alive, within=10.0)
    network.kill("vm-north-7")
    network.run(20.0)
    network.start(
        "vm-north-7", domain="north", incarnation=3, seeds=("vm-north-0",)
    )
    network.run_until(network.all_alive, within=15.0)


def test_leaving_upstream_is_known_everywhere_within_a_second(network):
    """An upstream says at one entry VM that it leaves; the platform is down.

    No entry VM may send it new work after three seconds, so the news does
    not wait for probes.
    """
    reporter = network.nodes_by_id["vm-west-2"]
    update = messages.UpstreamUpdate(
        upstream="runner-1", incarnation=4, leaving=True
    )
    network.act(
        "vm-west-2", reporter.announce_upstream(update, now=network.now)
    )
    network.run_until(
        lambda: all(
            node.upstreams.is_leaving("runner-1")
            for node in network.nodes_by_id.values()
        ),
        within=1.0,
    )


def test_late_joiner_learns_which_upstreams_are_leaving(network):
    reporter = network.nodes_by_id["vm-west-2"]
    for n in range(30):
        update = messages.UpstreamUpdate(
            upstream=f"runner-{n}", incarnation=4, leaving=True
        )
        reporter.announce_upstream(update, now=network.now)
    network.run(30.0)
    network.start("vm-late", domain="south", seeds=("vm-north-0",))
    late = network.nodes_by_id["vm-late"]
    network.run_until(
        lambda: all(
            late.upstreams.is_leaving(f"runner-{n}") for n in range(30)
        ),
        within=10.0,
    )


def test_revision_is_told_to_everyone(network):
    first = network.nodes_by_id["vm-west-0"]
    outgoing = first.announce_configuration(7, "digest", now=network.now)
    network.act("vm-west-0", outgoing)
    waiting = {name for name in network.nodes_by_id if name != "vm-west-0"}

    def adopt():
        for name in tuple(waiting):
            node = network.nodes_by_id[name]
            for news in node.pop_configurations():
                assert (news.revision, news.digest) == (7, "digest")
                waiting.discard(name)
                network.act(
                    name,
                    node.announce_configuration(7, "digest", now=network.now),
                )
                break
        return not waiting

    network.run_until(adopt, within=4.0)


def test_summary_reaches_other_domains_and_grows_old(network):
    """A dispatcher's shard has room while another domain overflows.

    Ingresses of other domains need to know within seconds; when the
    dispatcher's domain is cut off, its summary must not be believed for long.
    """
    summary = messages.ShardSummary(
        shard="scans@north/0",
        dispatcher="vm-north-0",
        free=9,
        lowest_waiting_tier=0,
        lowest_running_tier=3,
        wait_seconds=0.25,
    )
    dispatcher = network.nodes_by_id["vm-north-0"]
    outside = [
        node
        for name, node in network.nodes_by_id.items()
        if "north" not in name
    ]

    def known():
        dispatcher.shards.announce([summary], now=network.now)
        return all(
            "scans@north/0" in node.shards.by_shard(network.now)
            for node in outside
        )

    network.run_until(known, within=8.0)
    seen = outside[0].shards.by_shard(network.now)["scans@north/0"]
    assert 0.0 < seen.age_seconds < 5.0
    network.run(network.timing.summary_maximum_age_seconds + 0.1)
    assert not any(node.shards.by_shard(network.now) for node in outside)
