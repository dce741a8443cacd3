"""Members agree within a time limit in spite of failures of some."""

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
    """Guards against a joiner that waits long to know its own domain.

    The table of the fleet fills many datagrams. A joiner can dispatch and rank
    shards once it knows its domain; the rest may take longer.
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


def test_member_reported_dead_is_probed_at_once(network, update):
    """Guards against a live member that learns too late of its death report.

    After a partition heals, the other side reports it dead, and it has little
    time to refute. Members that see it alive probe it at once, instead of
    waiting for the next period.
    """
    node = network.nodes_by_id["vm-north-0"]
    report = update(
        "vm-south-1", domain="south", state=messages.MemberState.DEAD
    )
    ping = messages.Ping(sequence=0, source="vm-west-0", members=(report,))
    outgoing = node.receive(
        ping,
        sender="vm-west-0",
        address=hub.PeerAddress(host="vm-west-0", port=9000),
        now=network.now,
    )
    sent = [item for item in outgoing if item.address.host == "vm-south-1"]
    assert sent
    states = {
        record.entry_vm: record.state for record in sent[0].message.members
    }
    assert states["vm-south-1"] is messages.MemberState.SUSPECT
    assert sent[0].message.sequence != 0


@pytest.mark.parametrize("seed", range(3))
def test_no_member_is_marked_dead_in_steady_state(make_network, seed):
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
    assert not dead, f"{dead} of {names} were marked dead"


def test_killed_member_is_marked_dead(network):
    """A VM that dispatches shards disappears without any notice.

    Ingresses lose their connection at once, but the ranking changes only with
    the membership, so all members must agree within a time limit.
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
def test_paused_member_returns(network, timer_first):
    """A VM is paused by its host, is marked dead and resumes later.

    It resumes with all its deadlines passed and its socket full. It must not
    mark the others dead, and it must refute its own death, which no other
    member can do.
    """
    network.pause("vm-north-1")
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


def test_short_pause_accuses_no_other_member(network):
    network.pause("vm-north-1")
    network.run(4.0)
    for changes in network.changes_by_id.values():
        changes.clear()
    network.resume("vm-north-1")
    network.run(10.0)
    assert network.all_alive()
    accused = {
        view.entry_vm
        for changes in network.changes_by_id.values()
        for _, view in changes
        if view.state in (_DEAD, messages.MemberState.SUSPECT)
    }
    assert accused <= {"vm-north-1"}


def test_two_paused_members_do_not_mark_each_other_dead(network):
    """A host pauses two of its VMs while the first suspects the second.

    The second resumes earlier and refutes; its answer waits in the first one's
    socket. The first resumes long after the suspicion's deadline. It must read
    its socket before it marks the second dead, or shards move needlessly.
    """
    first, second = "vm-north-1", "vm-north-2"
    network.pause(second)
    network.run_until(
        lambda: network.states(first)[second] is messages.MemberState.SUSPECT,
        within=10.0,
    )
    network.pause(first)
    network.run(0.5)
    network.resume(second)
    network.run(8.0)
    network.resume(first, timer_first=True)
    network.run_until(network.all_alive, within=10.0)
    changes = network.changes_by_id[first]
    assert _DEAD not in {v.state for _, v in changes if v.entry_vm == second}


def test_slow_member_causes_few_refutations(network):
    """A VM lacks processor time and reads all datagrams late.

    All its probes seem to fail, and others would have to refute its suspicions
    again and again. Its misses must lengthen its timeouts instead.
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
def test_one_way_loss_affects_only_one_member(network, deaf):
    """A firewall rule drops the datagrams to (deaf) or from (mute) one VM.

    A deaf VM gets no answers and accuses everyone, and its accusations arrive.
    The others must mark it dead, see each other alive and not spend their time
    on refutations. Without the rule, all are alive again.
    """
    others = [name for name in network.nodes_by_id if name != "vm-north-1"]
    if deaf:
        network.partition(others, ["vm-north-1"], both_ways=False)
    else:
        network.partition(["vm-north-1"], others, both_ways=False)
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
def test_domain_partition_heals(make_network, seed):
    """A failure domain is partitioned from the others for a minute.

    Inside it, all members stay alive. Outside, they are marked dead. After the
    partition, all are alive again within seconds, and no member is marked dead
    by its own side because of reports from the other side.
    """
    network = make_network(seed=seed)
    network.start_fleet(domains=("north", "south", "west"), per_domain=4)
    network.run_until(network.all_alive, within=15.0)
    south = [name for name in network.nodes_by_id if "south" in name]
    rest = [name for name in network.nodes_by_id if "south" not in name]
    network.partition(south, rest)
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


def test_partition_heals_without_seeds(make_network):
    """A partition of minutes heals after the seeds were replaced.

    Each side considers the other dead and probes only live members. One side
    has to probe dead members, or the fleet stays split forever.
    """
    network = make_network()
    network.start("vm-seed", domain="north")
    for n in range(4):
        domain = ("north", "south")[n % 2]
        network.start(f"vm-{n}", domain=domain, seeds=("vm-seed",))
    network.run_until(network.all_alive, within=15.0)
    network.kill("vm-seed")
    network.partition(["vm-0", "vm-2"], ["vm-1", "vm-3"])
    network.run(60.0)
    assert network.everyone_sees(_DEAD, ["vm-1"], viewers=["vm-0"])
    network.heal()
    network.run_until(network.all_alive, within=25.0)


def test_join_during_a_partition(network):
    """A VM starts in a domain that is partitioned from most of its seeds.

    It knows one peer of its own domain from the platform's list. When the
    partition heals, all members must know it.
    """
    south = [name for name in network.nodes_by_id if "south" in name]
    rest = [name for name in network.nodes_by_id if "south" not in name]
    network.partition([*south, "vm-south-new"], rest)
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


def test_seeds_that_start_late_are_retried(make_network):
    """A whole fleet starts, and the seeds start last."""
    network = make_network()
    network.start("vm-2", seeds=("vm-0", "vm-1"))
    network.start("vm-3", seeds=("vm-0", "vm-1"))
    network.run(60.0)
    network.start("vm-0", seeds=("vm-1",))
    network.run_until(network.all_alive, within=10.0)


def test_leaving_member_is_ineligible_at_once(network):
    """A VM is stopping and still has streams to finish.

    Its domain must remove it from the ranking at once, not with the next
    probe, and refuting a suspicion must not bring it back.
    """
    leaving = network.nodes_by_id["vm-north-1"]
    network.send("vm-north-1", leaving.announce_leaving(now=network.now))
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
    network.pause("vm-north-1")
    network.run(2.5)
    network.resume("vm-north-1")
    network.run_until(
        lambda: network.everyone_sees(_LEAVING, ["vm-north-1"]), within=15.0
    )


def test_shutdown_notice_avoids_the_suspicion(network):
    leaving = network.nodes_by_id["vm-north-1"]
    network.send("vm-north-1", leaving.announce_leaving(now=network.now))
    network.run(0.05)
    network.send("vm-north-1", leaving.announce_shutdown())
    network.kill("vm-north-1")
    viewers = [name for name in network.nodes_by_id if "north" in name]
    took = network.run_until(
        lambda: network.everyone_sees(_DEAD, ["vm-north-1"], viewers=viewers),
        within=1.0,
    )
    assert took < 0.5


def test_hold_down_grows_with_each_flap(network):
    """A VM's link fails and recovers every fifteen seconds.

    Without the hold-down, each return would move shards to the VM and each
    loss would move them away, and all ingresses would register their requests
    again.
    """
    others = [name for name in network.nodes_by_id if name != "vm-north-1"]
    viewer = network.nodes_by_id["vm-north-0"]
    hold_downs = []
    for _ in range(4):
        network.partition(others, ["vm-north-1"])
        network.run(15.0)
        network.heal()
        network.run_until(network.all_alive, within=20.0)
        back_at = network.now
        network.run_until(
            lambda: "vm-north-1" in viewer.members.eligible_in("north"),
            within=70.0,
        )
        hold_downs.append(network.now - back_at)
    assert hold_downs[-1] > 2 * hold_downs[0]


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
    """A VM is replaced under the same id, and its clock is behind.

    Its incarnation is lower than its predecessor's. It must exceed it, or all
    members would consider it dead forever.
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
    """An upstream tells one entry VM that it leaves; the platform is down.

    No entry VM may send it new requests after three seconds, so the update
    must not wait for probes.
    """
    reporter = network.nodes_by_id["vm-west-2"]
    update = messages.UpstreamUpdate(
        upstream="runner-1", incarnation=4, leaving=True
    )
    network.send(
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


def test_revision_reaches_every_member(network):
    first = network.nodes_by_id["vm-west-0"]
    outgoing = first.announce_configuration(7, "digest", now=network.now)
    network.send("vm-west-0", outgoing)
    waiting = {name for name in network.nodes_by_id if name != "vm-west-0"}

    def adopt():
        for name in tuple(waiting):
            node = network.nodes_by_id[name]
            for announced in node.pop_configurations():
                assert (announced.revision, announced.digest) == (7, "digest")
                waiting.discard(name)
                network.send(
                    name,
                    node.announce_configuration(7, "digest", now=network.now),
                )
                break
        return not waiting

    network.run_until(adopt, within=4.0)


def test_summary_reaches_other_domains_and_expires(network):
    """A dispatcher's shard has free capacity while another domain overflows.

    Ingresses of other domains need to know this within seconds. Without newer
    summaries, as when the domain is partitioned, the last one must expire.
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
