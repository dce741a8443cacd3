"""The client of the store, with the same cases as the in-memory store."""

import asyncio
import base64
import contextlib
import json
import logging

import pytest

from lagoonrun_core import clock as clocks
from lagoonrun_platform import store
from lagoonrun_router import settings
from lagoonrun_users_platform import store_client


async def put(any_store, key, value=b"v", **changes):
    result = await any_store.transact(
        comparisons=(), puts=[store.Put(key=key, value=value, **changes)]
    )
    assert isinstance(result, store.Committed)
    return result.revision


async def test_written_value_is_read_back(any_store):
    revision = await put(any_store, "a/ä?&=1", b"\x00\xff")
    item = await any_store.get("a/ä?&=1")
    assert item.found.value == b"\x00\xff"
    assert item.found.modified == revision


async def test_missing_key_is_not_found(any_store):
    assert (await any_store.get("nothing")).found is None


async def test_listing_has_all_pages_in_order(any_store):
    for number in range(8):
        await put(any_store, f"p/{number}")
    await put(any_store, "q/0")
    listing = await any_store.list_prefix("p/")
    assert [one.key for one in listing.items] == [f"p/{n}" for n in range(8)]


async def test_empty_prefix_lists_everything(any_store):
    await put(any_store, "a")
    await put(any_store, "b")
    assert len((await any_store.list_prefix("")).items) == 2


async def test_comparison_that_does_not_hold_writes_nothing(any_store):
    await put(any_store, "a", b"1")
    result = await any_store.transact(
        comparisons=[store.Comparison(key="a", modified=store.ABSENT)],
        puts=[store.Put(key="a", value=b"2")],
    )
    assert isinstance(result, store.Rejected)
    assert result.item("a").value == b"1"
    assert (await any_store.get("a")).found.value == b"1"


async def test_watch_brings_changes_since_a_revision(any_store):
    revision = await put(any_store, "a/1")
    watch = any_store.watch("a/", prefix=True, from_revision=revision + 1)
    await put(any_store, "a/2", b"new")
    await put(any_store, "b/1")
    await any_store.transact(comparisons=(), deletes=["a/1"])
    events = []
    async with asyncio.timeout(10):
        async for message in watch:
            events += message.events
            if len(events) >= 2:
                break
    await watch.aclose()
    assert [(one.key, one.value) for one in events] == [
        ("a/2", b"new"),
        ("a/1", None),
    ]


async def test_lease_deletes_its_keys(any_store):
    granted = await any_store.grant_lease(ttl_seconds=30.0)
    await put(any_store, "a", lease=granted.lease)
    kept = await any_store.renew_lease(granted.lease)
    assert isinstance(kept, store.LeaseGranted)
    ended = await any_store.revoke_lease(granted.lease)
    assert isinstance(ended, store.LeaseRevoked)
    assert (await any_store.get("a")).found is None
    lost = await any_store.renew_lease(granted.lease)
    assert isinstance(lost, store.LeaseLost)


@pytest.mark.parametrize("status", [429, 503])
async def test_refused_call_did_nothing(stand_in, client, status):
    stand_in.status = status
    written = await client.transact(
        comparisons=(), puts=[store.Put(key="a", value=b"")]
    )
    assert isinstance(written, store.Unreachable)
    assert isinstance(await client.get("a"), store.Unreachable)
    assert isinstance(await client.list_prefix(""), store.Unreachable)
    watch = client.watch("", from_revision=1)
    assert isinstance(await anext(watch), store.Unreachable)


async def test_write_without_a_response_may_have_been_applied(
    stand_in, client, monkeypatch
):
    """The store does not respond after a write was sent.

    The write may take effect seconds later; it must not count as failed.
    """
    monkeypatch.setattr(store_client, "_CALL_SECONDS", 0.05)
    stand_in.silent = True
    result = await client.transact(
        comparisons=(), puts=[store.Put(key="a", value=b"")]
    )
    assert isinstance(result, store.Unknown)


async def test_stopped_store_is_unreachable(stand_in, client):
    await stand_in.close()
    result = await client.transact(
        comparisons=(), puts=[store.Put(key="a", value=b"")]
    )
    assert isinstance(result, store.Unreachable)
    assert isinstance(await client.list_prefix(""), store.Unreachable)


async def test_lost_history_is_distinguished_from_an_outage(stand_in, client):
    stand_in.compacted = True
    watch = client.watch("", from_revision=1)
    assert isinstance(await anext(watch), store.WatchCompacted)


async def test_silent_watch_ends(stand_in, client, monkeypatch):
    """A connection to the store becomes silent without a reset."""
    monkeypatch.setattr(store_client, "_WATCH_SECONDS", 0.05)
    monkeypatch.setattr(store_client, "_WATCH_SLACK_SECONDS", 0.05)
    stand_in.silent = True
    watch = client.watch("", from_revision=1)
    async with asyncio.timeout(10):
        assert isinstance(await anext(watch), store.Unreachable)


async def test_calls_are_counted_by_kind(client):
    await client.get("a")
    await client.list_prefix("")
    assert client.calls_by_kind == {"kv-key": 1, "kv-range": 1}


async def test_calls_go_to_a_new_address(stand_in, other_stand_in, client):
    """The platform moves its store while the process runs."""
    await put(other_stand_in.memory, "moved")
    client.set_address(other_stand_in.address)
    assert (await client.get("moved")).found is not None
    assert stand_in.targets == []


PARTS = 8
PAUSE_SECONDS = 0.05


@pytest.fixture
async def slow_link():
    """Return a server that responds in parts; `stall_after` ends them early."""
    opened = []

    class Link:
        stall_after = PARTS

        async def answer(self, reader, writer):
            """Respond to one watch with a change, part by part."""
            opened.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            value = base64.b64encode(b"x" * 8000).decode()
            change = {"key": "large", "value": value, "revision": 7}
            body = json.dumps(
                {"events": [change], "store_revision": 7}
            ).encode()
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode())
            size = -(-len(body) // PARTS)
            for part in range(self.stall_after):
                writer.write(body[part * size : (part + 1) * size])
                await asyncio.sleep(PAUSE_SECONDS)

    link = Link()
    server = await asyncio.start_server(link.answer, "127.0.0.1", 0)
    link.address = settings.Address(
        host="127.0.0.1", port=server.sockets[0].getsockname()[1]
    )
    yield link
    for writer in opened:
        writer.close()
    server.close()


async def first_message(link, monkeypatch, *, stall_seconds):
    """Watch for a moment; return the first message."""
    monkeypatch.setattr(store_client, "_WATCH_SLACK_SECONDS", 0.1)
    monkeypatch.setattr(store_client, "_STALL_SECONDS", stall_seconds)
    client = store_client.StoreClient(
        address=link.address, clock=clocks.SystemClock()
    )
    watch = client.watch("", from_revision=5, max_wait_seconds=0.01)
    async with contextlib.aclosing(watch):
        return await anext(watch)


async def test_long_response_on_a_slow_link_is_waited_for(
    slow_link, monkeypatch
):
    """Guards against entry VMs that never get a large configuration.

    On slow links each response takes longer than the time limit. If it were
    requested again every time, no entry VM would get this configuration, nor
    any after it.
    """
    message = await first_message(slow_link, monkeypatch, stall_seconds=5.0)
    assert isinstance(message, store.WatchBatch)
    assert len(message.events[0].value) == 8000


async def test_response_that_stops_midway_is_abandoned(slow_link, monkeypatch):
    """The connection becomes silent without a reset."""
    slow_link.stall_after = 2
    message = await first_message(slow_link, monkeypatch, stall_seconds=0.2)
    assert isinstance(message, store.Unreachable)


# A store that is restored from a backup.


@pytest.fixture
async def backup(stand_in, client):
    """Return a backup's revision, from before two more keys were written."""
    stand_in.era = 1
    made = stand_in.memory.revision
    await put(client, "a", b"1")
    await put(client, "b", b"1")
    return made


async def test_revision_after_a_restore_is_larger(stand_in, client, backup):
    before = await put(client, "c")
    stand_in.restore(backup)
    assert (await client.get("nothing")).revision > before
    assert await put(client, "c") > before


async def test_comparison_with_a_revision_assigned_again_is_false(
    stand_in, client, backup
):
    """Another writer's value gets the revision of the lost one.

    Compared by revision alone, it would be overwritten as if it did not exist.
    """
    known = (await client.get("a")).found.modified
    stand_in.restore(backup)
    await put(stand_in.memory, "a", b"other")
    store_number = (await stand_in.memory.get("a")).found.modified
    assert store_number == client.eras.store_number(known)
    await client.get("b")
    result = await client.transact(
        comparisons=[store.Comparison(key="a", modified=known)],
        puts=[store.Put(key="a", value=b"2")],
    )
    assert isinstance(result, store.Rejected)
    assert result.item("a").value == b"other"


async def test_write_that_overlaps_a_restore_is_unknown(
    stand_in, client, backup
):
    """The client learns of the restore from the response to its own write."""
    known = (await client.get("a")).found.modified
    stand_in.restore(backup)
    await put(stand_in.memory, "a", b"other")
    result = await client.transact(
        comparisons=[store.Comparison(key="a", modified=known)],
        puts=[store.Put(key="a", value=b"2")],
    )
    assert isinstance(result, store.Unknown)


async def test_watch_from_an_older_era_starts_again(stand_in, client, backup):
    """The revision it continues from was assigned again to other changes."""
    known = (await client.list_prefix("")).revision
    stand_in.restore(backup)
    for number in range(5):
        await put(stand_in.memory, f"other-{number}")
    for _ in range(2):
        async with contextlib.aclosing(
            client.watch("", prefix=True, from_revision=known + 1)
        ) as watch:
            async for message in watch:
                assert isinstance(message, store.WatchCompacted)


async def test_lease_of_an_older_era_is_lost(stand_in, client, backup):
    """The store has assigned its number to another lease."""
    held = await client.grant_lease(ttl_seconds=5.0)
    stand_in.restore(backup)
    other = await stand_in.memory.grant_lease(ttl_seconds=5.0)
    assert other.lease.number == held.lease.number
    await client.get("a")
    assert isinstance(await client.renew_lease(held.lease), store.LeaseLost)
    assert isinstance(await client.revoke_lease(held.lease), store.LeaseLost)
    result = await client.transact(
        comparisons=(),
        puts=[store.Put(key="a", value=b"", lease=held.lease)],
    )
    assert isinstance(result, store.Unreachable)
    assert isinstance(
        await stand_in.memory.renew_lease(other.lease), store.LeaseGranted
    )


async def test_response_of_an_older_era_is_discarded(stand_in, client, backup):
    """Another path to the store still responds from before the restore."""
    stand_in.restore(backup)
    await client.get("a")
    stand_in.era -= 1
    assert isinstance(await client.get("a"), store.Unreachable)
    assert isinstance(await client.list_prefix(""), store.Unreachable)


async def test_response_without_an_era_changes_nothing(
    stand_in, client, backup
):
    """A proxy before the store rejects a call, and reports no era."""
    known = (await client.get("a")).found.modified
    stand_in.era = None
    assert (await client.get("a")).found.modified == known


async def test_listing_that_overlaps_a_restore_fails(stand_in, client, backup):
    for number in range(8):
        await put(client, f"p/{number}")
    answer = stand_in._kv_range

    async def restore_within(query, body, rest):
        if "after" in query:
            stand_in.era += 1
        return await answer(query, body, rest)

    stand_in._kv_range = restore_within
    assert isinstance(await client.list_prefix("p/"), store.Unreachable)


async def test_restore_that_loses_nothing_starts_an_era_as_well(
    stand_in, client, backup
):
    before = await put(client, "c")
    stand_in.restore(stand_in.memory.revision)
    item = await client.get("c")
    assert item.found.value == b"v"
    assert item.found.modified > before


@pytest.mark.parametrize(
    "first_lease", [1, 1 << 40, 94915384050265, 262902654149012, (1 << 63) + 1]
)
async def test_key_is_written_under_a_lease_of_any_number(
    stand_in_from, first_lease
):
    """Guards against a write that is not sent because of its lease's number."""
    _, client = await stand_in_from(first_lease=first_lease)
    granted = await client.grant_lease(ttl_seconds=30.0)
    await put(client, "a", lease=granted.lease)
    assert isinstance(
        await client.renew_lease(granted.lease), store.LeaseGranted
    )
    assert (await client.get("a")).found.lease == granted.lease
    assert not client.unsent_calls_by_kind


async def test_revision_too_large_beside_an_era_is_an_error_that_names_it(
    stand_in_from,
):
    made, client = await stand_in_from(first_revision=1 << 53)
    await put(client, "a")
    made.era = 1
    answer = await client.get("a")
    assert isinstance(answer, store.Unreachable)
    assert "the store's revision is" in answer.detail


async def test_call_that_is_not_sent_is_logged_and_counted(
    stand_in, client, backup, caplog
):
    held = await client.grant_lease(ttl_seconds=5.0)
    stand_in.restore(backup)
    await client.get("a")
    with caplog.at_level(logging.WARNING, logger="lagoonrun"):
        await client.renew_lease(held.lease)
    assert client.unsent_calls_by_kind == {"kv-keep": 1}
    assert 704 in [one.event for one in caplog.records]


@pytest.fixture
async def client_of_endless_listing():
    """Return a function that connects to a store whose listings never end."""
    opened = []

    async def connect(make_keys):
        """Make a client; each page has the keys that `make_keys` returns."""
        pages = 0

        async def answer(reader, writer):
            nonlocal pages
            opened.append(writer)
            while await reader.readuntil(b"\r\n\r\n"):
                pages += 1
                items = [
                    {"key": key, "value": "QUFB" * 25_000, "revision": 1}
                    for key in make_keys(pages)
                ]
                body = json.dumps(
                    {"items": items, "has_more": True, "store_revision": 1}
                ).encode()
                length = f"Content-Length: {len(body)}\r\n\r\n".encode()
                writer.write(b"HTTP/1.1 200 OK\r\n" + length + body)

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        opened.append(server)
        made = store_client.StoreClient(
            address=settings.Address(
                host="127.0.0.1", port=server.sockets[0].getsockname()[1]
            ),
            clock=clocks.SystemClock(),
        )
        return made

    yield connect
    for one in opened:
        one.close()


@pytest.mark.parametrize(
    "make_keys",
    [
        lambda page: ["p/1", "p/2"],
        lambda page: [],
        lambda page: [f"p/{page:09}"],
    ],
    ids=["same-page", "empty-pages", "new-pages"],
)
async def test_listing_without_end_is_given_up(
    client_of_endless_listing, make_keys, monkeypatch
):
    """Guards against a follower that reads pages for ever and keeps them."""
    monkeypatch.setattr(store_client, "_MAX_LISTING_BYTES", 1024 * 1024)
    client = await client_of_endless_listing(make_keys)
    async with asyncio.timeout(10):
        listing = await client.list_prefix("p/")
    await client.close()
    assert isinstance(listing, store.Unreachable)
    assert "valid: " in listing.detail
