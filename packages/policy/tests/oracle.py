"""Reference scheduler built on sorted lists, for differential tests.

It implements the order of service without optimisation: every step sorts all
waiting requests. Service times are unknown to it, so it refuses none early.
"""

import dataclasses

from lagoonrun_core import outcomes
from lagoonrun_policy import jitter, messages


@dataclasses.dataclass
class Item:
    """A waiting request."""

    request: messages.PermitRequested
    deadline: float
    target: float
    sequence: int


class OracleScheduler:
    """Scheduler that derives the order of service by sorting lists."""

    def __init__(self, *, policy: messages.ShardPolicy) -> None:
        self.policy = policy
        self.waiting: list[Item] = []
        self.running: dict = {}
        self.virtual_time: dict = {}
        self.system_time: dict = {}
        self.credit: dict = dict.fromkeys(policy.classes_by_name, 0.0)
        self.last_grant: dict = dict.fromkeys(policy.classes_by_name, 0)
        self.sequence = 0
        self.grants = 0

    def handle(self, event, *, now):
        """Return (verdict, key, upstream or reason) for each action."""
        actions = []
        if isinstance(event, messages.PermitRequested):
            self._arrive(event, now, actions)
        elif isinstance(event, messages.PermitEnded):
            self._end(event)
        self._expire(now, actions)
        self._grant(now, actions)
        return actions

    def _class(self, item):
        return self.policy.classes_by_name[item.request.profile]

    def _queue(self, name):
        return [i for i in self.waiting if i.request.profile == name]

    def _arrive(self, event, now, actions):
        self.sequence += 1
        item = Item(
            event,
            now + event.remaining_seconds,
            now + event.remaining_target_seconds,
            self.sequence,
        )
        if event.remaining_seconds <= 0:
            actions.append(("refuse", event.key, outcomes.Reason.DEADLINE))
            return
        own_class = self.policy.classes_by_name[event.profile]
        if len(self._queue(own_class.name)) >= own_class.queue_capacity:
            lower = [
                c
                for c in self.policy.classes_by_name.values()
                if c.tier > own_class.tier and len(self._queue(c.name)) > 1
            ]
            if not lower:
                actions.append(
                    ("refuse", event.key, outcomes.Reason.QUEUE_FULL)
                )
                return
            lowest = max(lower, key=lambda c: (c.tier, c.name))
            queue = self._queue(lowest.name)
            shed = max(
                queue,
                key=lambda i: (self._backlog(queue, i), i.sequence),
            )
            self.waiting.remove(shed)
            reason = outcomes.Reason.SHED_FOR_HIGHER_TIER
            actions.append(("refuse", shed.request.key, reason))
        account = (own_class.name, event.organisation)
        if not any(
            i.request.organisation == event.organisation
            for i in self._queue(own_class.name)
        ):
            self.virtual_time[account] = max(
                self.virtual_time.get(
                    account, self.system_time.get(own_class.name, 0.0)
                ),
                self.system_time.get(own_class.name, 0.0),
            )
        self.waiting.append(item)

    def _backlog(self, queue, item):
        organisation = item.request.organisation
        count = sum(i.request.organisation == organisation for i in queue)
        return count / self._weight(organisation)

    def _weight(self, organisation):
        return self.policy.weights_by_organisation.get(organisation, 1.0)

    def _charge(self, account, tokens):
        start = self.virtual_time.get(
            account, self.system_time.get(account[0], 0.0)
        )
        self.virtual_time[account] = start + tokens / self._weight(account[1])

    def _end(self, event):
        ended = self.running.pop(event.key, None)
        if ended is None:
            self.waiting = [
                i for i in self.waiting if i.request.key != event.key
            ]
            return
        _, account, _ = ended
        self._charge(account, max(event.tokens, 1) - 1)

    def _expire(self, now, actions):
        for item in sorted(
            self.waiting,
            key=lambda i: (self._class(i).tier, i.deadline, i.sequence),
        ):
            if item.deadline <= now:
                self.waiting.remove(item)
                reason = outcomes.Reason.DEADLINE
                actions.append(("refuse", item.request.key, reason))

    def _grant(self, now, actions):
        while self.waiting:
            counts = dict.fromkeys(self.policy.runners_by_id, 0)
            for upstream, *_ in self.running.values():
                counts[upstream] += 1
            if all(counts[r] >= s for r, s in self._slots().items()):
                return
            item, floor = self._next(now)
            runner = self._runner(counts, item.request.key.request_id)
            self.waiting.remove(item)
            name = item.request.profile
            account = (name, item.request.organisation)
            self.system_time[name] = max(
                self.system_time.get(name, 0.0), self.virtual_time[account]
            )
            self._charge(account, 1)
            self.running[item.request.key] = (
                runner,
                account,
                floor,
            )
            self._earn(name, floor)
            actions.append(("grant", item.request.key, runner))

    def _slots(self):
        return {r.id: r.slots for r in self.policy.runners_by_id.values()}

    def _runner(self, counts, request_id):
        """Return the least loaded runner; ties go to a hashed offset."""
        ids = list(self.policy.runners_by_id)
        start = int(jitter.fraction(request_id) * len(ids))
        slots = self._slots()
        return min(
            (i for i in ids[start:] + ids[:start] if counts[i] < slots[i]),
            key=lambda i: (counts[i] + 1) / slots[i],
        )

    def _earn(self, name, floor):
        self.grants += 1
        self.last_grant[name] = self.grants
        if floor:
            self.credit[name] = max(0.0, self.credit[name] - 1.0)
            return
        tier = self.policy.classes_by_name[name].tier
        for other in self.policy.classes_by_name.values():
            if (
                other.name != name
                and other.tier >= tier
                and self._queue(other.name)
            ):
                earned = self.credit[other.name] + other.floor_share
                self.credit[other.name] = min(1.0, earned)

    def _next(self, now):
        in_order = sorted(
            {i.request.profile for i in self.waiting},
            key=lambda n: (
                self.policy.classes_by_name[n].tier,
                self.last_grant[n],
            ),
        )
        for name in in_order[1:]:
            on_credit = sum(
                account[0] == name and floor
                for _, account, floor in self.running.values()
            )
            if self.credit[name] >= 1.0 - 1e-9 and on_credit < 1:
                return self._first_of(name, now), True
        return self._first_of(in_order[0], now), False

    def _first_of(self, name, now):
        queue = self._queue(name)
        organisation = min(
            (i.request.organisation for i in queue),
            key=lambda o: (self.virtual_time[(name, o)], o),
        )
        return min(
            (i for i in queue if i.request.organisation == organisation),
            key=lambda i: (
                i.target < now,
                i.deadline if i.target < now else i.target,
                i.sequence,
            ),
        )
