"""Members agree on all states after any sequence of failures."""

import hypothesis
from hypothesis import stateful, strategies

from lagoonrun_protocol import messages

_DEAD = messages.MemberState.DEAD
_LEAVING = messages.MemberState.LEAVING
_CONVERGENCE_SECONDS = 60.0


class FleetMachine(stateful.RuleBasedStateMachine):
    """Kill, pause, isolate, restart and stop members of two domains."""

    def __init__(self, network):
        super().__init__()
        self.network = network
        self.network.start_fleet(domains=("north", "south"), per_domain=2)
        self.network.run(10.0)
        self.leaving = set()
        self.killed = {}
        self.dead_by_pair = {}
        self.incarnation = 1000

    def _running(self, data):
        return data.draw(
            strategies.sampled_from(sorted(self.network.nodes_by_id))
        )

    @stateful.rule(seconds=strategies.sampled_from([0.5, 3.0, 8.0]))
    def let_time_pass(self, seconds):
        """Run the network."""
        self.network.run(seconds)

    @stateful.rule(data=strategies.data(), both_ways=strategies.booleans())
    def partition(self, data, both_ways):
        """Isolate one member or one domain."""
        name = self._running(data)
        names = sorted(self.network.nodes_by_id)
        whole_domain = data.draw(strategies.booleans())
        prefix = name.rsplit("-", 1)[0] if whole_domain else name
        inside = [n for n in names if n.startswith(prefix)]
        outside = [n for n in names if n not in inside]
        self.network.partition(inside, outside, both_ways=both_ways)

    @stateful.rule()
    def heal(self):
        """Deliver datagrams between all members again."""
        self.network.heal()

    @stateful.rule(data=strategies.data())
    def pause_or_resume(self, data):
        """Pause a running process or resume a paused one."""
        name = self._running(data)
        if name in self.network.paused:
            timer_first = data.draw(strategies.booleans())
            self.network.resume(name, timer_first=timer_first)
        else:
            self.network.pause(name)

    @stateful.precondition(lambda self: len(self.network.nodes_by_id) > 2)
    @stateful.rule(data=strategies.data())
    def kill(self, data):
        """Remove a VM without any notice."""
        name = self._running(data)
        self.killed[name] = name.split("-")[1]
        self.leaving.discard(name)
        self.network.paused.discard(name)
        self.network.kill(name)

    @stateful.precondition(lambda self: self.killed)
    @stateful.rule(data=strategies.data())
    def restart(self, data):
        """Start a killed VM again with a higher incarnation."""
        name = data.draw(strategies.sampled_from(sorted(self.killed)))
        self.incarnation += 1000
        self.network.start(
            name,
            domain=self.killed.pop(name),
            incarnation=self.incarnation,
            seeds=sorted(self.network.nodes_by_id),
        )

    @stateful.rule(data=strategies.data())
    def leave(self, data):
        """Announce that a member is leaving; it runs until it is killed."""
        name = self._running(data)
        node = self.network.nodes_by_id[name]
        if name not in self.network.paused:
            self.leaving.add(name)
            outgoing = node.announce_leaving(now=self.network.now)
            self.network.send(name, outgoing)

    @stateful.invariant()
    def only_members_raise_their_incarnation(self):
        """Check that only a member itself raises its incarnation.

        A dead member returns only with a higher one.
        """
        nodes_by_id = self.network.nodes_by_id
        for viewer, node in nodes_by_id.items():
            for name, view in node.members.views_by_id().items():
                if name in nodes_by_id:
                    own = nodes_by_id[name].members.own
                    assert view.incarnation <= own.incarnation
                pair = (viewer, node, name)
                if view.state is _DEAD:
                    self.dead_by_pair[pair] = view.incarnation
                elif pair in self.dead_by_pair:
                    assert view.incarnation > self.dead_by_pair[pair]

    def teardown(self):
        """End all failures and require agreement within a time limit."""
        for name in sorted(self.network.paused):
            self.network.resume(name)
        self.network.heal()
        self.network.run_until(self._agreed, within=_CONVERGENCE_SECONDS)

    def _agreed(self):
        for viewer in self.network.nodes_by_id:
            states = self.network.states(viewer)
            for name in self.network.nodes_by_id:
                expected = messages.MemberState.ALIVE
                if name in self.leaving:
                    expected = _LEAVING
                if states.get(name) is not expected:
                    return False
            if any(states.get(n, _DEAD) is not _DEAD for n in self.killed):
                return False
        return True


def test_fleet(make_network):
    stateful.run_state_machine_as_test(
        lambda: FleetMachine(make_network()),
        settings=hypothesis.settings(
            derandomize=True,
            deadline=None,
            max_examples=25,
            stateful_step_count=12,
        ),
    )
