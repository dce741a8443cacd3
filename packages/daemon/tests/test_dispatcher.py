"""Tests of the dispatcher: messages of ingresses and shard ownership."""

import dataclasses

import pytest

from lagoonrun_config import draft as drafts
from lagoonrun_core import clock
from lagoonrun_daemon import dispatcher, explanations
from lagoonrun_protocol import messages

from .conftest import declare

SHARD = "writers@north/0"


class KeptMessages:
    """Transport that records the sent messages."""

    def __init__(self):
        self.sent = []

    def send(self, to, message):
        """Record a message."""
        self.sent.append((to, message))
        return True

    def take(self, kind):
        """Return the recorded messages of `kind` and clear the record."""
        found = [m for _, m in self.sent if isinstance(m, kind)]
        self.sent.clear()
        return found


class FixedView:
    """View in which one entry VM owns all shards and no upstream leaves."""

    def __init__(self, owner):
        self.owner = owner

    def owner_of(self, shard):
        """Return the fixed owner."""
        del shard
        return self.owner

    def leaving_upstreams(self):
        """Return no upstream."""
        return frozenset()


def configuration(*, revision=1, without_profile=None):
    draft = declare(writer_port=1001, portal_port=1002)
    profiles = dict(draft.profiles_by_name)
    services = dict(draft.services_by_name)
    if without_profile:
        del profiles[without_profile]
        services = {
            name: service
            for name, service in services.items()
            if service.profile != without_profile
        }
    changed = dataclasses.replace(
        draft, profiles_by_name=profiles, services_by_name=services
    )
    return drafts.configuration_of(changed, revision=revision, digest="d")


@pytest.fixture
def sent():
    return KeptMessages()


@pytest.fixture
def view():
    return FixedView("vm-1")


@pytest.fixture
async def subject(sent, view):
    made = dispatcher.Dispatcher(
        entry_vm="vm-1",
        view=view,
        transport=sent,
        explanations=explanations.ExplanationRing(capacity=10),
        clock=clock.ManualClock(),
    )
    made.set_configuration(configuration())
    yield made
    made.close()


def request(number, **fields):
    return messages.PermitRequest(
        **{
            "request_id": f"r-{number}",
            "attempt_id": 1,
            "shard": SHARD,
            "profile": "answer",
            "organisation": "house",
            "remaining_seconds": 20.0,
            "remaining_target_seconds": 5.0,
            "revision": 1,
        }
        | fields
    )


async def fill(subject, sent, count):
    """Request `count` permits; return the ids of the waiting requests."""
    for number in range(count):
        subject.on_message("vm-2", request(number))
    granted = {m.request_id for m in sent.take(messages.PermitGranted)}
    everyone = {f"r-{number}" for number in range(count)}
    return sorted(everyone - granted)


async def test_request_of_an_ingress_that_was_taken_for_dead_is_asked_again(
    subject, sent
):
    """A live ingress is considered dead; its waiting requests are dropped.

    Its next digest lists them. The dispatcher must report them as unknown, or
    they would wait until their limit.
    """
    (waiting,) = await fill(subject, sent, 9)
    subject.on_ingress_gone("vm-2")
    named = messages.WaitingWork(request_id=waiting, attempt_id=1)
    subject.on_message(
        "vm-2", messages.WorkDigest(shard=SHARD, waiting=(named,))
    )
    (answer,) = sent.take(messages.DigestAcknowledged)
    assert answer.unknown == (named,)


async def test_waiting_request_is_known_to_the_digest(subject, sent):
    (waiting,) = await fill(subject, sent, 9)
    named = messages.WaitingWork(request_id=waiting, attempt_id=1)
    subject.on_message(
        "vm-2", messages.WorkDigest(shard=SHARD, waiting=(named,))
    )
    (answer,) = sent.take(messages.DigestAcknowledged)
    assert answer.unknown == ()


@pytest.mark.parametrize(
    ("revision", "kind"),
    [(2, messages.PermitNotMine), (1, messages.PermitRefused)],
)
async def test_class_of_a_newer_revision_is_not_refused(
    subject, sent, revision, kind
):
    """An ingress has a new profile in force before the dispatcher.

    Its callers were refused because the dispatcher did not know the class
    yet, although the change had been accepted.
    """
    subject.set_configuration(
        configuration(revision=1, without_profile="answer")
    )
    subject.on_message("vm-2", request(1, revision=revision))
    assert [type(m) for _, m in sent.sent if not _is_acknowledgement(m)] == [
        kind
    ]


def _is_acknowledgement(message):
    return isinstance(message, messages.PermitAcknowledged)


async def test_release_sends_all_that_wait_to_the_new_owner(
    subject, sent, view
):
    (waiting,) = await fill(subject, sent, 9)
    view.owner = "vm-3"
    subject.on_ranking_changed()
    (redirect,) = sent.take(messages.PermitNotMine)
    assert (redirect.request_id, redirect.owner) == (waiting, "vm-3")
    assert subject.owned_shards == ()


async def test_last_entry_vm_goes_on_dispatching_while_it_stops(subject, sent):
    subject.stop_owning()
    subject.on_message("vm-1", request(1))
    assert sent.take(messages.PermitGranted)


async def test_stopping_entry_vm_takes_no_handover(subject, sent, view):
    view.owner = "vm-3"
    subject.stop_owning()
    subject.on_message("vm-2", request(1, handover=True))
    (redirect,) = sent.take(messages.PermitNotMine)
    assert redirect.owner == "vm-3"


async def test_only_what_waits_is_acknowledged(subject, sent):
    """A grant implies the acknowledgement, which saves a message."""
    subject.on_message("vm-2", request(0))
    assert [type(m) for _, m in sent.sent] == [messages.PermitGranted]
    waiting = await fill(subject, sent, 20)
    assert waiting
    sent.sent.clear()
    subject.on_message("vm-2", request(99))
    assert [type(m) for _, m in sent.sent] == [messages.PermitAcknowledged]
