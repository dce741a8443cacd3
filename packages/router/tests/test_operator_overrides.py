"""Overrides of operators: values, state, writing, and a router over loopback."""

import asyncio
import json

import pytest

from lagoonrun_cli import admin_client
from lagoonrun_core import events, logs
from lagoonrun_platform import memory_store
from lagoonrun_router import (
    format_error,
    operator_overrides,
    override_writer,
    settings,
)
from lagoonrun_standins.router_upstream import answer_whole, marked
from lagoonrun_standins.router_world import wait_for

HELD = b'{"held": true}'
PREFIX = "overrides/"


@pytest.fixture
def overrides():
    return operator_overrides.OperatorOverrides()


@pytest.fixture
def lines(monkeypatch):
    """Return the log lines that are written, as pairs of event and fields."""
    written = []

    def emit(event, *, level=0, exc_info=None, **fields):
        del level, exc_info
        written.append((event, fields))

    monkeypatch.setattr(logs, "emit", emit)
    return written


@pytest.mark.parametrize(
    ("key", "value"),
    [("weight/acme", 0.01), ("weight/a/b c=ü", 100.0), ("held/u-1", True)],
)
def test_stored_value_is_read_as_written(key, value):
    """Guards against values that another entry VM reads differently."""
    kind, name = operator_overrides.parse_key(key)
    made = operator_overrides.Override(kind=kind, name=name, value=value)
    assert made.key == key
    encoded = operator_overrides.encode(made)
    assert operator_overrides.decode(key, encoded) == made


@pytest.mark.parametrize(
    ("key", "value", "valid"),
    [
        ("weight/acme", b'{"weight": 0.009}', "0.01 to 100"),
        ("weight/acme", b'{"weight": 100.1}', "0.01 to 100"),
        ("weight/acme", b'{"weight": NaN}', "0.01 to 100"),
        ("weight/acme", b'{"weight": true}', "0.01 to 100"),
        ("weight/acme", b'{"weight": "3"}', "0.01 to 100"),
        ("weight/acme", b"3", "0.01 to 100"),
        ("weight/acme", b"\xff", "0.01 to 100"),
        ("weight/acme", b"[" * 100_000, "0.01 to 100"),
        ("held/u-1", b'{"held": 1}', "true"),
        ("held/u-1", b'{"weight": 1}', "true"),
        ("held/", HELD, "1 to 256 bytes"),
        ("held/" + "u" * 257, HELD, "1 to 256 bytes"),
        ("held/u\n1", HELD, "printable"),
        ("heft/acme", b"{}", "weight/ORGANISATION"),
        ("held", HELD, "1 to 256 bytes"),
        ("", HELD, "held/UPSTREAM"),
    ],
)
def test_invalid_entry_is_rejected_with_what_is_valid(key, value, valid):
    """Guards against an invalid value that takes effect, or a bare error."""
    with pytest.raises(format_error.FormatError, match=valid):
        operator_overrides.decode(key, value)


def test_changes_take_effect_and_are_logged_once(overrides, lines):
    """Guards against changes that are not recorded, or at each listing."""
    overrides.apply_stored("weight/acme", b'{"weight": 3}')
    overrides.apply_stored("weight/acme", b'{"weight":3.0}')
    overrides.apply_stored("held/u-1", HELD, source="peer")
    assert overrides.weight_of("acme") == 3.0
    assert overrides.weight_of("other") is None
    assert overrides.is_held("u-1")
    assert [one.key for one in overrides.rows()] == ["held/u-1", "weight/acme"]
    overrides.apply_removed("held/u-1")
    overrides.apply_removed("held/u-1")
    assert not overrides.is_held("u-1")
    assert lines == [
        (
            events.LogEvent.OVERRIDE_CHANGED,
            {
                "key": "weight/acme",
                "value": {"weight": 3.0},
                "source": "store",
            },
        ),
        (
            events.LogEvent.OVERRIDE_CHANGED,
            {"key": "held/u-1", "value": {"held": True}, "source": "peer"},
        ),
        (
            events.LogEvent.OVERRIDE_CHANGED,
            {"key": "held/u-1", "value": None, "source": "store"},
        ),
    ]


def test_upstream_with_a_false_value_is_not_held(overrides):
    """Guards against a key whose mere presence holds an upstream."""
    overrides.apply_stored("held/u-1", HELD)
    overrides.apply_stored("held/u-1", b'{"held": false}')
    assert not overrides.is_held("u-1")


def test_unreadable_value_keeps_the_previous_one(overrides, lines):
    """Guards against a damaged entry that ends an override, or fills the log."""
    overrides.apply_stored("weight/acme", b'{"weight": 3.0}')
    lines.clear()
    for _ in range(3):
        overrides.apply_stored("weight/acme", b'{"weight": -1}')
    overrides.apply_stored("unknown/acme", b"{}")
    assert overrides.weight_of("acme") == 3.0
    assert [event for event, _ in lines] == [
        events.LogEvent.CONFIGURATION_REJECTED
    ] * 2
    assert lines[0][1]["key"] == "weight/acme"


def test_number_of_overrides_is_bounded(overrides):
    """Guards against memory that grows with the keys in the store."""
    for number in range(operator_overrides.MAX_OVERRIDES):
        overrides.apply_stored(f"held/u-{number}", HELD)
    overrides.apply_stored("held/one-more", HELD)
    assert not overrides.is_held("one-more")
    overrides.apply_stored("held/u-0", b'{"held": false}')
    assert not overrides.is_held("u-0")
    assert len(overrides.rows()) == operator_overrides.MAX_OVERRIDES


# Writing.


def make_writer(store):
    return override_writer.OverrideWriter(store=store, prefix=PREFIX)


HOLD = operator_overrides.decode("held/u-1", HELD)


async def test_lost_reply_is_repeated():
    """Guards against a change that is reported as failed but was stored."""
    store = memory_store.MemoryStore()
    store.lost_replies = 1
    result = await make_writer(store).write(HOLD)
    assert result.outcome is override_writer.WriteOutcome.STORED


async def test_lost_replies_are_reported_as_unknown():
    """Guards against a report of no change although it was stored."""
    store = memory_store.MemoryStore()
    store.lost_replies = 2
    result = await make_writer(store).write(HOLD)
    assert result.outcome is override_writer.WriteOutcome.UNKNOWN
    assert (await store.get(f"{PREFIX}held/u-1")).found is not None


async def test_silent_store_is_given_up_in_time(monkeypatch):
    """Guards against a command that waits for a store that does not answer."""
    monkeypatch.setattr(override_writer, "_LIMIT_SECONDS", 0.05)
    store = memory_store.MemoryStore()
    store.gate = asyncio.Event()
    async with asyncio.timeout(5.0):
        written = await make_writer(store).write(HOLD)
        removed = await make_writer(store).remove("held/u-1")
    assert written.outcome is override_writer.WriteOutcome.UNKNOWN
    assert removed.outcome is override_writer.WriteOutcome.NOT_STORED


async def test_removal_tells_whether_there_was_an_override():
    """Guards against a mistyped key that seems to have been removed."""
    store = memory_store.MemoryStore()
    writer = make_writer(store)
    absent = await writer.remove("held/u-1")
    assert absent.outcome is override_writer.WriteOutcome.NOT_FOUND
    await writer.write(HOLD)
    removed = await writer.remove("held/u-1")
    assert removed.outcome is override_writer.WriteOutcome.STORED
    assert (await store.get(f"{PREFIX}held/u-1")).found is None


# A router over loopback.


def address_of(world) -> settings.Address:
    return world.settings.metrics


CLIENT = admin_client.AdminClient(token="")


async def put(world, key, value):
    return await CLIENT.put(address_of(world), f"/overrides/{key}", value)


async def listed(world):
    response = await CLIENT.get(address_of(world), "/overrides")
    return {row["key"]: row["value"] for row in response.value["overrides"]}


async def hold(world, id):
    assert (await put(world, f"held/{id}", {"held": True})).status == 200
    await wait_for(lambda: world.router.overrides.is_held(id))


async def ask_some(world, count=12):
    for number in range(count):
        # The request id breaks ties between idle upstreams.
        got = await world.ask(f"/lookups/{number}", id=f"r-{number}")
        assert got.status == 200


async def test_held_upstream_gets_no_new_requests(world):
    """Guards against requests at an upstream that an operator holds."""
    held = await world.add_upstream(id="u-1")
    other = await world.add_upstream(id="u-2")
    await world.ready()
    await hold(world, "u-1")
    await ask_some(world)
    assert (len(held.bodies), len(other.bodies)) == (0, 12)
    removed = await CLIENT.delete(address_of(world), "/overrides/held/u-1")
    assert removed.status == 200
    await wait_for(lambda: not world.router.overrides.is_held("u-1"))
    await ask_some(world)
    assert held.bodies


async def test_pool_whose_upstreams_are_all_held_is_served(world):
    """Guards against an outage by holding the last upstream of a pool."""
    upstreams = [await world.add_upstream(id=id) for id in ("u-1", "u-2")]
    await world.ready()
    for one in upstreams:
        await hold(world, one.id)
    await ask_some(world)
    assert sum(len(one.bodies) for one in upstreams) == 12


async def test_held_upstream_does_not_replace_a_resting_one(world):
    """Guards against requests at a held upstream while the others rest."""

    async def rest(exchange):
        await exchange.respond(
            status=503, headers=marked(exchange, Retry_After="5"), body=b""
        )

    held = await world.add_upstream(id="u-1")
    resting = await world.add_upstream(rest, id="u-2")
    await world.ready()
    await hold(world, "u-1")
    for number in range(3):
        got = await world.ask(id=f"r-{number}")
        assert got.status == 503
    assert got.headers["lagoonrun-reason"] == "upstreams-resting"
    assert (len(held.bodies), len(resting.bodies)) == (0, 1)


async def test_running_request_of_a_held_upstream_ends(world):
    """Guards against holds that break off requests in progress."""
    begun, released = asyncio.Event(), asyncio.Event()

    async def answer(exchange):
        begun.set()
        await released.wait()
        await answer_whole(exchange)

    await world.add_upstream(answer, id="u-1")
    await world.ready()
    running = asyncio.create_task(world.ask())
    await begun.wait()
    await world.add_upstream(id="u-2")
    await hold(world, "u-1")
    released.set()
    assert (await running).status == 200


async def test_change_that_cannot_be_stored_changes_nothing(world):
    """Guards against an override at one entry VM that the others don't have."""
    await put(world, "weight/acme", {"weight": 2.0})
    await wait_for(lambda: world.router.overrides.weight_of("acme") == 2.0)
    world.store.stop()
    refused = await put(world, "weight/acme", {"weight": 3.0})
    assert refused.status == 503
    assert refused.value["error"]["outcome"] == "not-stored"
    refused = await CLIENT.delete(address_of(world), "/overrides/weight/acme")
    assert refused.status == 503
    assert await listed(world) == {"weight/acme": {"weight": 2.0}}
    world.store.resume()
    found = await world.store.get(f"{PREFIX}weight/acme")
    assert json.loads(found.found.value) == {"weight": 2.0}


async def test_invalid_change_is_rejected_with_what_is_valid(world):
    """Guards against invalid changes that reach the store."""
    too_large = await put(world, "weight/acme", {"weight": 101})
    assert too_large.status == 400
    assert "0.01 to 100" in too_large.value["error"]["message"]
    assert (await put(world, "heft/acme", {})).status == 400
    assert (await put(world, "weight/%ff", {"weight": 1})).status == 400
    assert (
        await CLIENT.get(address_of(world), "/overrides/held/u")
    ).status == (405)
    assert (
        await CLIENT.delete(address_of(world), "/overrides/held/u")
    ).status == 404
    assert await world.keys(PREFIX) == ()


async def test_names_may_be_unknown_and_hold_any_character(world):
    """Guards against organisations that can't be named in a path."""
    assert (
        await put(world, "weight/a%2Fb%20%C3%BC", {"weight": 0.5})
    ).status == 200
    await wait_for(lambda: world.router.overrides.weight_of("a/b ü") == 0.5)


async def test_override_reaches_entry_vms_that_do_not_read_the_store(world_of):
    """Guards against overrides known only to the readers of a large fleet."""
    worlds = [await world_of(name=f"vm-{number}") for number in range(14)]
    await worlds[0].declare(revision=2)
    await worlds[0].add_upstream()
    for world in worlds:
        await world.ready()
        await wait_for(lambda w=world: w.router.peer_count == 13)
    await wait_for(lambda: any(not follows(world) for world in worlds))
    await put(worlds[3], "held/u-1", {"held": True})
    for world in worlds:
        await wait_for(lambda w=world: w.router.overrides.is_held("u-1"))
    late = await world_of(name="vm-late")
    await wait_for(lambda: late.router.overrides.is_held("u-1"))
    await CLIENT.delete(address_of(worlds[5]), "/overrides/held/u-1")
    for world in (*worlds, late):
        await wait_for(lambda w=world: not w.router.overrides.is_held("u-1"))


def follows(world):
    return world.router.replica.follows_store


async def test_outage_and_unreadable_value_keep_overrides(world):
    """Guards against holds that end when the store fails or is damaged."""
    await world.add_upstream(id="u-1")
    await world.ready()
    await hold(world, "u-1")
    await world.put(f"{PREFIX}held/u-1", b"damaged")
    await hold(world, "u-2")
    assert world.router.overrides.is_held("u-1")
    world.store.stop()
    await wait_for(lambda: not follows(world))
    assert world.router.overrides.held == {"u-1", "u-2"}


async def test_overrides_cost_no_calls_of_the_store(world_of, store):
    """Guards against reads of the store for overrides that are not set."""
    world = await world_of()
    await world.declare()
    await world.add_upstream()
    await world.ready()
    assert store.calls_by_kind["list"] == 1
    assert store.calls_by_kind["watch"] <= 2
    assert store.calls_by_kind["get"] == 0


async def test_load_without_adaptive_pools_is_empty(world):
    """Guards against the text of the metrics in place of the load.

    Pools that are not adaptive have no speeds, shares, room or invitations.
    """
    response = await CLIENT.get(address_of(world), "/load")
    assert response.status == 200
    assert response.value == {
        "upstreams": [],
        "shares": [],
        "room": [],
        "invitations": [],
    }
