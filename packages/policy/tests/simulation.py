"""Simulated ingresses and runners around a scheduler under test.

The simulation tracks the requests that are really in flight, loses and delays
messages, and checks the scheduler's invariants after each event against its
own state. It does not depend on how the scheduler works.
"""

import collections
import dataclasses
import random

from lagoonrun_core import outcomes, types
from lagoonrun_policy import decision, messages

SERVICE_SECONDS = 1.0
SLOTS = 2
_GRACE_SECONDS = 3.0


class InvariantError(AssertionError):
    """Names the invariant that was violated."""

    def __init__(self, invariant: str, detail: object) -> None:
        super().__init__(f"{invariant}: {detail}")
        self.invariant = invariant


def expect(invariant: str, holds: bool, detail: object = "") -> None:
    """Fail with the invariant's name if it does not hold."""
    if not holds:
        raise InvariantError(invariant, detail)


@dataclasses.dataclass
class Request:
    """State of a request at its ingress."""

    event: messages.PermitRequested
    deadline: float
    upstream: types.UpstreamId | None = None
    started_at: float = 0.0
    answered: bool = False

    @property
    def key(self) -> messages.PermitKey:
        """Return the permit's key."""
        return self.event.key


class Simulation:
    """Ingresses and runners around one scheduler."""

    def __init__(self, *, subject, policy: messages.ShardPolicy) -> None:
        self.subject = subject
        self.policy = policy
        self.declared = policy.classes_by_name
        self.now = 1000.0
        self.waiting: dict[messages.PermitKey, Request] = {}
        self.running: dict[messages.PermitKey, Request] = {}
        self.finished: list[Request] = []
        # Ended at the ingress, but not reported to the scheduler.
        self.unreported: dict[messages.PermitKey, Request] = {}
        # Requests sent to the current scheduler.
        self.sent_keys: set[messages.PermitKey] = set()
        self.not_live: set[types.UpstreamId] = set()
        self.request_count = 0
        self.max_slots = dict.fromkeys(policy.runners_by_id, SLOTS)

    # Steps.

    def request(
        self, profile, organisation, ingress, remaining=30.0, excluded=()
    ) -> None:
        """Request a permit."""
        self.request_count += 1
        key = messages.PermitKey(
            request_id=types.RequestId(f"q{self.request_count}"),
            attempt_id=types.AttemptId(1),
        )
        event = messages.PermitRequested(
            key=key,
            ingress=types.EntryVmId(ingress),
            profile=types.ProfileName(profile),
            organisation=types.OrganisationId(organisation),
            remaining_seconds=remaining,
            remaining_target_seconds=remaining / 4,
            excluded=tuple(types.UpstreamId(e) for e in excluded),
        )
        self.waiting[key] = Request(event=event, deadline=self.now + remaining)
        self.send(event)

    def repeat(self, key) -> None:
        """Repeat a request whose answer was lost."""
        request = self.waiting.get(key) or self.running[key]
        self.send(request.event)

    def end(self, key, *, lost=False, failed=False) -> None:
        """End a running request; its report may be lost."""
        request = self.running.pop(key)
        if lost:
            self.unreported[key] = request
            return
        self.finished.append(request)
        self.send(self._ended(request, failed))

    def end_late(self, request: Request) -> None:
        """Report an end late, possibly for the second time."""
        self.unreported.pop(request.key, None)
        self.send(self._ended(request, False))

    def return_permit(self, key) -> None:
        """Withdraw a waiting request or return a grant."""
        request = self.waiting.pop(key, None) or self.running.pop(key)
        request.answered = True
        self.finished.append(request)
        self.send(messages.PermitReturned(key=key))

    def send_digest(self, ingress) -> None:
        """Send a digest of the ingress's requests."""
        running = [
            messages.InFlight(
                key=r.key,
                upstream=r.upstream,
                profile=r.event.profile,
                organisation=r.event.organisation,
                running_seconds=self.now - r.started_at,
                tokens=1,
            )
            for r in self.running.values()
            if r.event.ingress == ingress
        ]
        waiting = [
            r.key for r in self.waiting.values() if r.event.ingress == ingress
        ]
        self.send(
            messages.InFlightDigest(
                ingress=types.EntryVmId(ingress),
                running=tuple(running),
                waiting=tuple(waiting),
            )
        )

    def hand_over(self, subject) -> None:
        """Replace the scheduler; the ingresses register their requests."""
        self.subject = subject
        self.sent_keys.clear()
        for upstream in self.not_live:
            self.send(
                messages.UpstreamChanged(
                    upstream=upstream, state=messages.UpstreamState.LEAVING
                )
            )
        for ingress in ("vm0", "vm1", "vm2"):
            self.send_digest(ingress)
        for request in list(self.waiting.values()):
            remaining = request.deadline - self.now
            event = dataclasses.replace(
                request.event, remaining_seconds=remaining
            )
            self.send(event)

    def ingress_gone(self, ingress) -> None:
        """Crash an entry VM with all its requests."""
        for requests in (self.waiting, self.running, self.unreported):
            for request in list(requests.values()):
                if request.event.ingress == ingress:
                    del requests[request.key]
                    self.finished.append(request)
        self.send(messages.IngressGone(ingress=types.EntryVmId(ingress)))

    def set_upstream_state(self, upstream, state) -> None:
        """Change a runner's state."""
        if state is messages.UpstreamState.LIVE:
            self.not_live.discard(upstream)
        else:
            self.not_live.add(upstream)
        event = messages.UpstreamChanged(upstream=upstream, state=state)
        self.send(event)

    def configure(self, policy: messages.ShardPolicy) -> None:
        """Apply another configuration."""
        self.policy = policy
        self.send(messages.PolicyChanged(policy=policy))

    def pass_time(self, seconds) -> None:
        """Advance the time, with a tick whenever the scheduler wants one."""
        until = self.now + seconds
        for _ in range(1000):
            wake = self.subject.next_wake(now=self.now)
            if wake is None or wake > until:
                break
            self.now = max(self.now + 1e-6, wake)
            self.send(messages.Ticked())
        self.now = max(self.now, until)
        self.send(messages.Ticked())

    def check_all_slots_free(self) -> None:
        """End all requests and check that every slot can be granted again."""
        for key in list(self.running):
            self.end(key)
        self.pass_time(_GRACE_SECONDS)
        for _ in range(2):
            for ingress in ("vm0", "vm1", "vm2"):
                self.send_digest(ingress)
        while self.running:
            for key in list(self.running):
                self.end(key)
        self.unreported.clear()
        self.pass_time(100.0)
        expect("every request is answered", not self.waiting, self.waiting)
        usable = [
            u for u in self.policy.runners_by_id if u not in self.not_live
        ]
        top = min(self.policy.classes_by_name.values(), key=lambda c: c.tier)
        for _ in range(SLOTS * len(usable)):
            self.request(top.name, "house", "vm0")
        expect(
            "no slot is leaked",
            len(self.running) == SLOTS * len(usable),
            f"{len(self.running)} of {SLOTS * len(usable)} slots are left",
        )

    # Checks.

    def send(self, event) -> None:
        """Send one event and check the resulting actions."""
        if isinstance(event, messages.PermitRequested):
            self.sent_keys.add(event.key)
        for action in self.subject.handle(event, now=self.now):
            match action:
                case messages.Grant():
                    self._check_grant(action)
                case messages.Refuse():
                    self._check_refusal(action)
                case messages.Cut():
                    self._check_cut(action)
        self._check_state()

    def _ended(self, request, failed) -> messages.PermitEnded:
        reason = outcomes.Reason.NONE
        outcome = outcomes.Outcome.COMPLETE
        if failed:
            reason = outcomes.Reason.UPSTREAM_CLOSED
            outcome = outcomes.Outcome.PARTIAL
        return messages.PermitEnded(
            key=request.key,
            upstream=request.upstream or types.UpstreamId("r0"),
            outcome=outcome,
            reason=reason,
            first_token_seconds=0.0,
            total_seconds=SERVICE_SECONDS,
            tokens=10,
        )

    def _tier(self, request: Request) -> int:
        declared = self.policy.classes_by_name.get(request.event.profile)
        return declared.tier if declared else 99

    def _check_grant(self, grant: messages.Grant) -> None:
        expect(
            "a record reproduces its decision",
            decision.check(grant.record).agrees,
            grant,
        )
        if grant.key in self.running:
            same = self.running[grant.key].upstream == grant.upstream
            expect("no request is granted two slots", same, grant)
            return
        expect(
            "only waiting requests are granted",
            grant.key in self.waiting,
            grant,
        )
        expect(
            "a leaving runner gets no requests",
            grant.upstream not in self.not_live
            and grant.upstream in self.policy.runners_by_id,
            grant,
        )
        request = self.waiting.pop(grant.key)
        excluded = grant.upstream in request.event.excluded
        expect("no runner is granted that failed before", not excluded, grant)
        if not grant.record.floor_grant:
            self._check_no_higher_tier(request, grant)
        request.upstream = grant.upstream
        request.started_at = self.now
        request.answered = True
        self.running[grant.key] = request

    def _check_no_higher_tier(self, request, grant) -> None:
        for other in self.waiting.values():
            expect(
                "no lower tier is granted what a higher one could use",
                self._tier(other) >= self._tier(request)
                or other.key not in self.sent_keys
                or grant.upstream in other.event.excluded
                or other.deadline - self.now <= 1.1 * SERVICE_SECONDS,
                f"{grant.key} before {other.key}",
            )

    def _check_refusal(self, refusal: messages.Refuse) -> None:
        agreement = decision.check(refusal.record)
        expect("a record reproduces its decision", agreement.agrees, agreement)
        expect(
            "granted requests are not refused",
            refusal.key not in self.running,
            refusal,
        )
        expect(
            "a refusal has a retry time",
            refusal.retry_after_seconds > 0,
            refusal,
        )
        request = self.waiting.pop(refusal.key, None)
        if request is None:
            return
        request.answered = True
        self.finished.append(request)
        if refusal.reason in (
            outcomes.Reason.QUEUE_FULL,
            outcomes.Reason.SHED_FOR_HIGHER_TIER,
        ):
            self._check_capacity(request, refusal)

    def _check_cut(self, cut: messages.Cut) -> None:
        # A request whose end was not reported may be cut, without effect.
        known = self.running | self.unreported
        expect("only running requests are cut", cut.key in known, cut)
        victim = known[cut.key]
        expect(
            "requests that are not idempotent are not cut",
            self.declared[victim.event.profile].idempotent,
            cut,
        )
        expect(
            "requests are cut for a higher tier only",
            any(self._tier(r) < self._tier(victim) for r in self._waiting()),
            cut,
        )
        expect(
            "no request is cut while a lower tier runs",
            all(self._tier(r) <= self._tier(victim) for r in self._running()),
            cut,
        )

    def _waiting(self):
        return [r for r in self.waiting.values() if r.key in self.sent_keys]

    def _running(self):
        """Return the running requests of classes still configured."""
        classes = self.policy.classes_by_name
        return [r for r in self.running.values() if r.event.profile in classes]

    def _check_capacity(self, request, refusal) -> None:
        below = collections.Counter(
            r.event.profile
            for r in self.waiting.values()
            if self._tier(r) > self._tier(request)
        )
        # The request that the floor serves next is protected.
        expect(
            "no request is refused for capacity while a lower tier waits",
            all(count <= 1 for count in below.values()),
            f"{refusal.reason} of {refusal.key} with {below}",
        )

    def _check_state(self) -> None:
        for request in self.waiting.values():
            expect(
                "refusals are immediate",
                request.deadline > self.now,
                f"{request.key} waits past its limit",
            )
        counts = collections.Counter(r.upstream for r in self.running.values())
        for upstream, count in counts.items():
            expect(
                "no slot is granted twice",
                count <= self.max_slots.get(upstream, SLOTS),
                f"{upstream} has {count}",
            )


def walk(simulation: Simulation, *, seed: int, steps: int, successor) -> None:
    """Do random steps; `successor` creates the scheduler at a handover."""
    rng = random.Random(seed)
    profiles = list(simulation.policy.classes_by_name)
    full = simulation.policy
    upstreams = list(full.runners_by_id)
    for _ in range(steps):
        step = rng.random()
        running = list(simulation.running)
        if step < 0.5:
            simulation.request(
                rng.choice(profiles),
                rng.choice(["large", "large", "small"]),
                rng.choice(["vm0", "vm1", "vm2"]),
                rng.choice([0.0, 1.05, 5.0, 30.0]),
                rng.sample(upstreams, rng.choice([0, 0, 0, 1, 3])),
            )
        elif step < 0.72 and running:
            simulation.pass_time(rng.choice([0.0, 0.01, 0.3]))
            key = rng.choice(running)
            if key in simulation.running:
                simulation.end(
                    key, lost=rng.random() < 0.1, failed=rng.random() < 0.1
                )
        elif step < 0.78:
            simulation.send_digest(rng.choice(["vm0", "vm1", "vm2"]))
        elif step < 0.81 and simulation.finished:
            simulation.end_late(rng.choice(simulation.finished))
        elif step < 0.84 and simulation.waiting | simulation.running:
            simulation.repeat(
                rng.choice(list(simulation.waiting | simulation.running))
            )
        elif step < 0.88 and simulation.waiting | simulation.running:
            simulation.return_permit(
                rng.choice(list(simulation.waiting | simulation.running))
            )
        elif step < 0.90:
            simulation.ingress_gone(rng.choice(["vm1", "vm2"]))
        elif step < 0.92:
            simulation.set_upstream_state(
                rng.choice(upstreams), rng.choice(_STATES)
            )
        elif step < 0.94:
            simulation.configure(_subset(full, rng))
        elif step < 0.95:
            simulation.hand_over(successor(simulation.policy))
        else:
            simulation.pass_time(rng.choice([0.1, 1.0, 6.0]))
    simulation.configure(full)
    simulation.check_all_slots_free()


_STATES = [
    messages.UpstreamState.LIVE,
    messages.UpstreamState.LIVE,
    messages.UpstreamState.LEAVING,
    messages.UpstreamState.GONE,
]


def _subset(full: messages.ShardPolicy, rng) -> messages.ShardPolicy:
    classes = list(full.classes_by_name)
    runners = list(full.runners_by_id)
    kept_classes = rng.sample(classes, rng.randint(1, len(classes)))
    kept_runners = rng.sample(runners, rng.randint(1, len(runners)))
    return dataclasses.replace(
        full,
        classes_by_name={n: full.classes_by_name[n] for n in kept_classes},
        runners_by_id={i: full.runners_by_id[i] for i in kept_runners},
    )
