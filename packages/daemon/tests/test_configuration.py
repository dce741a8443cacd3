"""Configuration changes in running daemons: outages, races, lost replies."""

import asyncio
import contextlib
import dataclasses
import random

import pytest

from lagoonrun_config import (
    change_outcomes,
    configuration_store,
    declarations,
    settings,
)
from lagoonrun_core import clock as clock_module
from lagoonrun_core import types
from lagoonrun_daemon import daemon as daemons
from lagoonrun_platform import etcd_gateway
from lagoonrun_standins import fleet, platform_store

_LOOPBACK = "127.0.0.1"
_BOUND_SECONDS = 20
_ANY_PORT = settings.Address(host=_LOOPBACK, port=0)
_TEXT = """
[profiles.lookup]
tier = 1
target_seconds = 0.5
limit_seconds = 2.0

[profiles.digest]
tier = 5
target_seconds = 60
limit_seconds = 600
"""


@pytest.fixture
def content():
    file = declarations.DeclarationFile(name="test", text=_TEXT)
    draft = declarations.parse_declarations([file])
    assert not isinstance(draft, declarations.InvalidDeclarations)
    return draft


@pytest.fixture
async def platform():
    stand_in = platform_store.PlatformStore()
    await stand_in.start()
    yield stand_in
    await stand_in.close()


@pytest.fixture
async def make_store(platform):
    async with contextlib.AsyncExitStack() as stack:

        def make(*, call_timeout_seconds=3.0):
            gateway = etcd_gateway.EtcdGateway(
                addresses=[
                    settings.Address(host=_LOOPBACK, port=platform.port)
                ],
                clock=clock_module.SystemClock(),
                rng=random.Random(1),
                call_timeout_seconds=call_timeout_seconds,
            )
            stack.push_async_callback(gateway.close)
            return configuration_store.ConfigurationStore(
                store=gateway,
                rng=random.Random(1),
                first_delay_seconds=0.001,
            )

        yield make


@pytest.fixture
async def start_daemon(platform):
    async with contextlib.AsyncExitStack() as stack:

        async def start(name, *, seeds=()):
            configured = settings.Settings(
                entry_vm=types.EntryVmId(name),
                domain=types.FailureDomain("north"),
                caller=_ANY_PORT,
                admin=_ANY_PORT,
                peer=fleet.free_peer_address(),
                platform=(
                    settings.Address(host=_LOOPBACK, port=platform.port),
                ),
                seeds=tuple(seeds),
                inner_key=b"k" * 32,
                readiness_grace_seconds=0.0,
            )
            daemon = daemons.Daemon(configured=configured)
            await daemon.start()
            stack.push_async_callback(daemon.close)
            return daemon

        yield start


def _changed(content, name, seconds):
    profile = dataclasses.replace(
        content.profiles_by_name[name], target_seconds=seconds
    )
    profiles = {**content.profiles_by_name, name: profile}
    return dataclasses.replace(content, profiles_by_name=profiles)


async def _apply(store, content, *, base, change_id):
    return await store.apply(
        content, base=base, change_id=change_id, operator=change_id
    )


async def _wait_for(daemon, revision):
    queue = daemon.follower.subscribe()
    async with asyncio.timeout(_BOUND_SECONDS):
        while (await queue.get()).revision < revision:
            pass
    return daemon.follower.in_force.configuration


async def test_new_daemon_starts_from_a_peer_while_the_platform_is_down(
    platform, make_store, start_daemon, content
):
    """A VM is replaced during an outage of the platform.

    Its settings name a seed and the platform; only the seed replies. It must
    apply the configuration in force, and follow changes after the outage.
    """
    store = make_store()
    await _apply(store, content, base=0, change_id="c1")
    old = await start_daemon("north-1")
    await _wait_for(old, 1)
    platform.control({"outage": "close"})
    new = await start_daemon("north-2", seeds=[old.settings.peer])
    assert (await _wait_for(new, 1)).revision == 1
    assert not new.follower.platform_reachable
    platform.control({"outage": "none"})
    changed = _changed(content, "lookup", 0.4)
    # The operator's own calls are backing off shortly after the outage.
    accepted = await _apply(store, changed, base=1, change_id="c2")
    assert accepted.revision == 2
    for daemon in (old, new):
        in_force = await _wait_for(daemon, 2)
        assert in_force.profiles_by_name == changed.profiles_by_name


async def test_daemon_alone_in_an_outage_is_ready_only_after_it(
    platform, make_store, start_daemon, content
):
    await _apply(make_store(), content, base=0, change_id="c1")
    platform.control({"outage": "close"})
    daemon = await start_daemon("north-1")
    assert not daemon.ready
    platform.control({"outage": "none"})
    await _wait_for(daemon, 1)


async def test_operators_race_and_every_daemon_agrees(
    make_store, start_daemon, content
):
    """Two operators concurrently change two profiles, then the same one.

    Changes to different profiles are both applied. Of two changes to the same
    profile, one is applied and the other is rejected with its name.
    """
    first, second = make_store(), make_store()
    await _apply(first, content, base=0, change_id="c1")
    old = await start_daemon("north-1")
    new = await start_daemon("north-2", seeds=[old.settings.peer])
    lookup = _changed(content, "lookup", 0.4)
    digest = _changed(content, "digest", 50.0)
    both = await asyncio.gather(
        _apply(first, lookup, base=1, change_id="c2"),
        _apply(second, digest, base=1, change_id="c3"),
    )
    assert {one.revision for one in both} == {2, 3}
    merged = _changed(lookup, "digest", 50.0)
    for daemon in (old, new):
        in_force = await _wait_for(daemon, 3)
        assert in_force.profiles_by_name == merged.profiles_by_name
    outcomes = await asyncio.gather(
        _apply(first, _changed(merged, "lookup", 0.3), base=3, change_id="c4"),
        _apply(second, _changed(merged, "lookup", 0.2), base=3, change_id="c5"),
    )
    kinds = {type(one) for one in outcomes}
    assert kinds == {change_outcomes.Accepted, change_outcomes.ChangeConflict}
    clash = next(
        one
        for one in outcomes
        if isinstance(one, change_outcomes.ChangeConflict)
    )
    assert [str(name) for name in clash.names] == ["profile:lookup"]


async def test_lost_replies_accept_a_change_once(
    platform, make_store, start_daemon, content
):
    """The replies to the writes of the snapshot and of the head are lost.

    The change must be reported as accepted, and the daemon sees one revision.
    """
    store = make_store()
    platform.control({"lose_replies": 2})
    accepted = await _apply(store, content, base=0, change_id="c1")
    assert accepted.revision == 1
    daemon = await start_daemon("north-1")
    await _wait_for(daemon, 1)
    history = await store.history()
    assert [change.change_id for change in history.changes] == ["c1"]


async def test_change_lost_in_an_outage_is_settled_when_it_ends(
    platform, make_store, content
):
    """The platform hangs and the operator's calls time out.

    The outcome of the change is unknown at first. After the outage it is
    settled, and the reported outcome must agree with the history.
    """
    store = make_store(call_timeout_seconds=0.05)
    await _apply(store, content, base=0, change_id="c1")
    platform.control({"outage": "hang"})
    lost = await _apply(
        store, _changed(content, "lookup", 0.4), base=1, change_id="c2"
    )
    assert isinstance(
        lost, change_outcomes.Unknown | change_outcomes.Unavailable
    )
    platform.control({"outage": "none"})
    fresh = make_store()
    settled = await fresh.settle(types.ChangeId("c2"), base=types.Revision(1))
    history = await fresh.history()
    ids = [change.change_id for change in history.changes]
    assert ("c2" in ids) == isinstance(settled, change_outcomes.Accepted)
