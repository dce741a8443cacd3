"""The platform stand-in through its HTTP interface."""

import asyncio
import base64
import json

import pytest

from lagoonrun_standins import http_client, platform_store


def encoded(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


@pytest.fixture
async def store(clock):
    store = platform_store.PlatformStore(clock=clock, progress_seconds=0.01)
    await store.start()
    yield store
    await store.close()


@pytest.fixture
def call(store):
    async def call(path, value=None):
        return await http_client.fetch_json(store.host, store.port, path, value)

    return call


def put_if_absent(key, value):
    return {
        "compare": [
            {
                "key": encoded(key),
                "target": "CREATE",
                "result": "EQUAL",
                "create_revision": "0",
            }
        ],
        "success": [
            {"request_put": {"key": encoded(key), "value": encoded(value)}}
        ],
        "failure": [{"request_range": {"key": encoded(key)}}],
    }


async def test_responses_have_the_published_format(call):
    await call("/v3/kv/put", {"key": encoded("a/1"), "value": encoded("x")})
    await call("/v3/kv/put", {"key": encoded("a/1"), "value": encoded("y")})
    await call("/v3/kv/put", {"key": encoded("a/2"), "value": encoded("z")})

    answer = await call(
        "/v3/kv/range",
        {"key": encoded("a/"), "rangeEnd": encoded("a0"), "limit": "1"},
    )

    assert answer["header"]["revision"] == "4"
    assert answer["count"] == "2"
    assert answer["more"] is True
    assert answer["kvs"] == [
        {
            "key": encoded("a/1"),
            "value": encoded("y"),
            "create_revision": "2",
            "mod_revision": "3",
            "version": "2",
        }
    ]


@pytest.mark.parametrize(
    ("target", "field", "operand", "succeeds"),
    [
        ("MOD", "mod_revision", "2", True),
        ("MOD", "mod_revision", "3", False),
        ("CREATE", "create_revision", "2", True),
        ("VERSION", "version", "1", True),
        ("VALUE", "value", encoded("x"), True),
        ("VALUE", "value", encoded("y"), False),
    ],
)
async def test_transaction_compares(call, target, field, operand, succeeds):
    key = encoded("k")
    await call("/v3/kv/put", {"key": key, "value": encoded("x")})

    answer = await call(
        "/v3/kv/txn",
        {
            "compare": [{"key": key, "target": target, field: operand}],
            "success": [{"request_delete_range": {"key": key}}],
            "failure": [{"request_range": {"key": key}}],
        },
    )

    assert answer.get("succeeded", False) is succeeds
    kind = "response_delete_range" if succeeds else "response_range"
    assert kind in answer["responses"][0]


async def test_transaction_is_atomic(call, store):
    put = {"key": encoded("k"), "value": encoded("x")}
    operations = [
        {"request_put": put},
        {"request_put": put | {"lease": "77"}},
    ]

    with pytest.raises(ValueError, match="lease 77"):
        await call("/v3/kv/txn", {"success": operations})

    assert "kvs" not in await call("/v3/kv/range", {"key": encoded("k")})
    assert store.state.revision == 1


async def test_write_with_a_lost_response_takes_effect(call, store):
    """The connection drops after a write took effect.

    The client can't tell whether its claim was written; a repeated call must
    find the first value.
    """
    await call("/control", {"lose_replies": 1})

    with pytest.raises(http_client.ClosedError):
        await call("/v3/kv/txn", put_if_absent("claim", "first"))
    again = await call("/v3/kv/txn", put_if_absent("claim", "second"))

    assert "succeeded" not in again
    (found,) = again["responses"][0]["response_range"]["kvs"]
    assert found["value"] == encoded("first")


async def test_expired_lease_deletes_its_keys(call, clock):
    lease = await call("/v3/lease/grant", {"TTL": "5", "ID": "0"})
    put = {"key": encoded("k"), "value": encoded("x"), "lease": lease["ID"]}
    await call("/v3/kv/put", put)
    clock.advance(4)
    kept = await call("/v3/lease/keepalive", {"ID": lease["ID"]})
    clock.advance(4)
    left = await call("/v3/lease/timetolive", {"ID": lease["ID"], "keys": True})
    clock.advance(1)
    found = await call("/v3/kv/range", {"key": encoded("k")})
    late = await call("/v3/lease/keepalive", {"ID": lease["ID"]})

    assert kept["result"]["TTL"] == "5"
    assert (left["TTL"], left["keys"]) == ("1", [encoded("k")])
    assert "kvs" not in found
    assert "TTL" not in late["result"]


async def test_watch_from_a_revision_then_live_with_progress(call, store):
    key = encoded("k")
    await call("/v3/kv/put", {"key": key, "value": encoded("1")})
    connection = http_client.ClientConnection(host=store.host, port=store.port)
    await connection.start()
    create = {"key": key, "start_revision": "2", "progress_notify": True}
    body = json.dumps({"create_request": create}).encode()
    await connection.send("POST", "/v3/watch", body=body)
    await connection.read_head()
    lines = []

    async def read_until(wanted):
        async with asyncio.timeout(5):
            while not any(wanted(line) for line in lines):
                data = await connection.read_data()
                lines.extend(
                    json.loads(line)["result"]
                    for line in data.decode().splitlines()
                )

    await read_until(lambda line: "events" in line)
    await call("/v3/kv/deleterange", {"key": key})
    await read_until(
        lambda line: line.get("events", [{}])[0].get("type") == "DELETE"
    )
    await read_until(lambda line: line.keys() == {"header"})
    await connection.close()

    assert lines[0]["created"] is True
    assert lines[1]["events"][0]["kv"]["value"] == encoded("1")
    counters = await call("/control/counters")
    assert counters["calls_by_kind"] == {
        "put": 1,
        "watch": 1,
        "deleterange": 1,
    }


async def test_watch_from_a_compacted_revision_is_cancelled(call):
    for number in range(3):
        put = {"key": encoded("k"), "value": encoded(str(number))}
        await call("/v3/kv/put", put)
    await call("/v3/kv/compaction", {"revision": "3"})
    create = {"key": encoded("k"), "start_revision": "2"}

    with pytest.raises(json.JSONDecodeError) as error:
        await call("/v3/watch", {"create_request": create})

    last = json.loads(error.value.doc.splitlines()[-1])["result"]
    assert (last["canceled"], last["compact_revision"]) == (True, "4")


async def test_value_above_a_megabyte_is_refused(call):
    put = {"key": encoded("k"), "value": encoded("x" * 1_000_001)}

    with pytest.raises(ValueError, match="1000001 bytes"):
        await call("/v3/kv/put", put)


async def test_outages_and_lagging_reads(call, store):
    key = encoded("k")
    await call("/v3/kv/put", {"key": key, "value": encoded("old")})
    await call("/v3/kv/put", {"key": key, "value": encoded("new")})
    await call("/control", {"outage": "close"})
    with pytest.raises(ConnectionError):
        await call("/v3/kv/range", {"key": key})
    await call("/control", {"outage": "hang"})
    hanging = asyncio.create_task(
        call("/v3/kv/put", {"key": key, "value": encoded("lost")})
    )
    async with asyncio.timeout(5):
        while (await call("/control/counters"))["calls_in_outage"] < 2:
            pass
    await call("/control", {"outage": "none", "read_lag_revisions": 1})
    with pytest.raises(ConnectionError):
        await asyncio.wait_for(hanging, 5)

    stale = await call("/v3/kv/range", {"key": key})
    await call("/control", {"read_lag_revisions": 0})
    fresh = await call("/v3/kv/range", {"key": key})

    assert stale["kvs"][0]["value"] == encoded("old")
    assert stale["header"]["revision"] == "2"
    assert fresh["kvs"][0]["value"] == encoded("new")


async def test_list_of_vms_lags(call, clock):
    await call("/vms/v1", {"state": "live", "address": "10.0.0.1"})
    await call("/control", {"vm_list_delay_seconds": 3})
    before = await call("/vms")
    clock.advance(3)
    after = await call("/vms")

    assert before == {"vms": []}
    assert after["vms"] == [
        {"id": "v1", "state": "live", "address": "10.0.0.1"}
    ]


@pytest.mark.parametrize(
    "body", [{"outage": "often"}, {"unheard": 1}, {"lose_replies": "1"}]
)
async def test_control_rejects_unknown_fields_and_values(call, body):
    with pytest.raises(ValueError, match="400"):
        await call("/control", body)
