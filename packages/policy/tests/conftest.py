"""Shared builders of policies and events, and a scheduler driver."""

import dataclasses
import itertools
from collections.abc import Callable, Sequence

import pytest

from lagoonrun_core import outcomes, types
from lagoonrun_policy import decision, features, messages, scheduler


def class_policy(name: str, tier: int, **changes) -> messages.ClassPolicy:
    fields = {
        "name": types.ProfileName(name),
        "tier": types.Tier(tier),
        "target_seconds": 1.0,
        "limit_seconds": 10.0,
    }
    return messages.ClassPolicy(**(fields | changes))


def shard_policy(
    classes: Sequence[messages.ClassPolicy],
    *,
    runners: int = 2,
    slots: int = 2,
    weights: dict[str, float] | None = None,
) -> messages.ShardPolicy:
    ids = [types.UpstreamId(f"r{i}") for i in range(runners)]
    return messages.ShardPolicy(
        shard=types.ShardId("pool@domain/0"),
        revision=types.Revision(7),
        classes_by_name={c.name: c for c in classes},
        runners_by_id={i: messages.Runner(id=i, slots=slots) for i in ids},
        weights_by_organisation=weights or {},
    )


@dataclasses.dataclass
class Driver:
    """Sends events to a scheduler and collects its actions."""

    subject: messages.Scheduler
    now: float = 100.0
    actions: list[messages.Action] = dataclasses.field(default_factory=list)
    upstream_by_key: dict = dataclasses.field(default_factory=dict)
    _numbers: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )

    def send(self, event: messages.Event) -> Sequence[messages.Action]:
        """Send one event; check that replaying each record agrees."""
        actions = list(self.subject.handle(event, now=self.now))
        self.actions += actions
        for action in actions:
            if isinstance(action, messages.Grant):
                self.upstream_by_key[action.key] = action.upstream
            if getattr(action, "record", None) and action.record.candidates:
                assert decision.check(action.record).agrees
        return actions

    def request(self, profile: str, **changes) -> messages.PermitKey:
        """Request a permit; return its key."""
        key = messages.PermitKey(
            request_id=types.RequestId(f"q{next(self._numbers)}"),
            attempt_id=types.AttemptId(1),
        )
        fields = {
            "key": key,
            "ingress": types.EntryVmId("vm0"),
            "profile": types.ProfileName(profile),
            "organisation": types.OrganisationId("house"),
            "remaining_seconds": 10.0,
            "remaining_target_seconds": 1.0,
        }
        self.send(messages.PermitRequested(**(fields | changes)))
        return key

    def end(self, key: messages.PermitKey, **changes):
        """Report the end of a granted request."""
        fields = {
            "key": key,
            "upstream": self.upstream_by_key.get(key, types.UpstreamId("r0")),
            "outcome": outcomes.Outcome.COMPLETE,
            "reason": outcomes.Reason.NONE,
            "first_token_seconds": 0.01,
            "total_seconds": 0.1,
            "tokens": 10,
        }
        return self.send(messages.PermitEnded(**(fields | changes)))

    def granted(self) -> list[messages.PermitKey]:
        """Return the keys of the grants, in order."""
        return [a.key for a in self.actions if isinstance(a, messages.Grant)]

    def refused(self) -> dict[messages.PermitKey, messages.Refuse]:
        """Return the refusals by key."""
        return {
            a.key: a for a in self.actions if isinstance(a, messages.Refuse)
        }


@pytest.fixture
def drive() -> Callable[..., Driver]:
    """Return a factory of drivers of a `ShardScheduler`."""

    def make(
        *classes: messages.ClassPolicy,
        switches: features.Features | None = None,
        **shape,
    ) -> Driver:
        policy = shard_policy(classes, **shape)
        return Driver(
            subject=scheduler.ShardScheduler(policy=policy, switches=switches)
        )

    return make
