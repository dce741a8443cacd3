"""Decoding of the operators' configuration and of the upstreams' entries."""

import copy
import hashlib
import json

import pytest

from lagoonrun_core import types
from lagoonrun_router import declarations, format_error
from lagoonrun_users_platform import layout

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Ask.example",
            "prefix": "/ask/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 400,
            "priority": 0,
            "traffic_split": [
                {"service": "pool-a", "weight": 90},
                {"service": "pool-b", "weight": 10},
            ],
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 300,
        },
        {
            "name": "r-2",
            "host": "ask.example",
            "prefix": "/check/",
            "kind": "safe",
            "timeout_ms": 1000,
            "target_latency_ms": 125,
            "priority": 2,
            "service": "pool-b",
            "max_attempts": 2,
            "public": True,
        },
    ],
    "services": [
        {
            "name": "pool-a",
            "health_path": "/health",
            "max_connections": 360,
            "engine": {"slots": 64, "kv_capacity_tokens": 485596},
        },
        {"name": "pool-b", "health_path": "/h", "max_connections": 100},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {"name": "house", "api_keys": ["one", "two"], "priority": 1},
        {"name": "other", "api_keys": []},
    ],
}
ENTRY = {
    "service": "pool-a",
    "address": "10.128.0.9:8080",
    "zone": "hall",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "seq_no": 4,
    "born": 1_790_000_000_123,
    "something_new": 1,
}
LAYOUT = layout.PlatformLayout()


def decode(config=CONFIG):
    return LAYOUT.decode_declarations(json.dumps(config).encode())


def decode_entry(**changes):
    value = json.dumps({**ENTRY, **changes}).encode()
    return LAYOUT.decode_upstream("servers/i-7", value)


def test_streaming_route_is_decoded():
    route = decode().routes[0]
    assert route.host == "ask.example"
    assert route.path_prefix == "/ask/"
    assert route.answer_kind is declarations.AnswerKind.EVENTS
    assert route.resumable
    assert route.longest_pause_seconds == 0.3
    assert [(one.pool, one.weight) for one in route.destinations] == [
        ("pool-a", 90.0),
        ("pool-b", 10.0),
    ]
    profile = route.profile
    assert (profile.tier, profile.maximum_attempts) == (1, 2)
    assert (profile.target_seconds, profile.limit_seconds) == (0.4, 8.0)
    assert not profile.idempotent


def test_safe_route_is_decoded():
    route = decode().routes[1]
    assert route.profile.idempotent
    assert route.profile.tier == 3
    assert route.public
    assert route.answer_kind is declarations.AnswerKind.WHOLE
    assert route.longest_pause_seconds is None


def test_pools_organisations_and_limits_are_decoded():
    declared = decode()
    assert declared.revision == 7
    assert declared.pools_by_name["pool-a"].engine.slots == 64
    assert declared.pools_by_name["pool-b"].engine is None
    house = declared.organisations_by_id["house"]
    assert house.tier == 2
    assert hashlib.sha256(b"two").hexdigest() in house.key_digests
    assert declared.organisations_by_id["other"].tier is None
    assert declared.caller_limits.header_read_seconds == 3.0


def test_only_routes_that_changed_are_decoded_anew():
    """Operators change one of 1,900 routes ten times a second.

    An entry VM with a tenth of a core that decoded all of them each time would
    fall seconds behind.
    """
    reading = layout.PlatformLayout()
    first = reading.decode_declarations(json.dumps(CONFIG).encode())
    changed = copy.deepcopy(CONFIG)
    changed["version"] = 8
    changed["routes"][0]["priority"] = 1
    second = reading.decode_declarations(json.dumps(changed).encode())
    assert second.routes[1] is first.routes[1]
    assert second.routes[0].profile.tier == 2
    assert second == decode(changed)


def test_routes_of_one_name_are_all_kept():
    config = copy.deepcopy(CONFIG)
    config["routes"][1]["name"] = config["routes"][0]["name"]
    reading = layout.PlatformLayout()
    for _ in range(2):
        declared = reading.decode_declarations(json.dumps(config).encode())
        assert declared == decode(config)
        assert len(declared.routes) == 2


def test_upstream_is_decoded_and_new_fields_are_ignored():
    upstream = decode_entry()
    assert (upstream.id, upstream.pool) == ("i-7", "pool-a")
    assert (upstream.host, upstream.port) == ("10.128.0.9", 8080)
    assert upstream.cold_seconds == 1.5
    assert upstream.start == 1_790_000_000_123
    assert upstream.version == "v1"
    assert not upstream.leaving
    assert decode_entry(state="draining").leaving


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (("version",), "7", "config.version"),
        (("routes", 0, "host"), "", "config.routes[0].host"),
        (("routes", 1, "service"), None, "config.routes[1].traffic_split"),
        (("limits", "idle_timeout_ms"), -1, "config.limits.idle_timeout_ms"),
        (("tenants", 0, "api_keys"), "one", "config.tenants[0].api_keys"),
        (("services", 0, "max_connections"), True, "max_connections"),
    ],
)
def test_error_names_the_field_the_value_and_what_is_valid(path, value, named):
    config = copy.deepcopy(CONFIG)
    inner = config
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    with pytest.raises(format_error.FormatError) as raised:
        decode(config)
    assert named in raised.value.detail
    assert "valid:" in raised.value.detail


@pytest.mark.parametrize(
    "value",
    [b"", b"[]", b"{", b"\xff", b"[" * 100_000],
    ids=["empty", "list", "open", "no-text", "deep"],
)
def test_malformed_value_is_an_error(value):
    with pytest.raises(format_error.FormatError):
        LAYOUT.decode_declarations(value)
    with pytest.raises(format_error.FormatError):
        LAYOUT.decode_upstream("servers/x", value)


@pytest.mark.parametrize("field", sorted(ENTRY.keys() - {"something_new"}))
@pytest.mark.parametrize(
    "value", [None, "", True, [], {}, -1, 1.5, "1"], ids=repr
)
def test_entry_of_another_writer_is_an_error(field, value):
    """Something else overwrites an upstream's entry.

    A field is missing, or has another type. If it were replaced by a default,
    requests would be sent to a wrong address or pool.
    """
    fitting = {"service", "zone", "version"} if value == "1" else set()
    if field in fitting or (field == "cold_remaining_ms" and value == 1.5):
        decode_entry(**{field: value})
        return
    with pytest.raises(format_error.FormatError):
        decode_entry(**{field: value})


def _entry_without(field):
    return {key: value for key, value in ENTRY.items() if key != field}


def test_entry_without_a_start_has_an_unknown_one():
    value = json.dumps(_entry_without("born")).encode()
    upstream = LAYOUT.decode_upstream("servers/i-7", value)
    assert upstream.start == types.UNKNOWN_UPSTREAM_START


@pytest.mark.parametrize(
    "field", sorted(ENTRY.keys() - {"something_new", "born"})
)
def test_entry_without_a_field_is_an_error(field):
    entry = _entry_without(field)
    with pytest.raises(format_error.FormatError):
        LAYOUT.decode_upstream("servers/i-7", json.dumps(entry).encode())


@pytest.mark.parametrize("state", ["Ready", "starting", "gone", "ready "])
def test_unknown_state_is_an_error(state):
    with pytest.raises(format_error.FormatError):
        decode_entry(state=state)


@pytest.mark.parametrize(
    "address",
    ["", "10.0.0.1", ":80", "10.0.0.1:x", "host:80", "10.0.0.1:0", "1.2:70000"],
)
def test_address_without_host_or_port_is_an_error(address):
    with pytest.raises(format_error.FormatError):
        decode_entry(address=address)


def test_scaling_of_a_pool_is_decoded():
    config = copy.deepcopy(CONFIG)
    config["services"][0]["scaling"] = {
        "min": 1,
        "max": 47,
        "boot_time_s": 4.0,
        "spot_price": 0.18,
        "zone_prices": {"north": 0.85, "south": 1.2},
    }
    pools = decode(config).pools_by_name
    scaling = pools["pool-a"].scaling
    assert (scaling.minimum, scaling.maximum) == (1, 47)
    assert scaling.boot_seconds == 4.0
    assert scaling.reclaimable_price == 0.18
    assert scaling.price_by_domain == {"north": 0.85, "south": 1.2}
    assert pools["pool-b"].scaling is None


def test_scaling_without_prices_names_no_domain():
    """The configuration is valid; without a price no runner is ordered."""
    config = copy.deepcopy(CONFIG)
    config["services"][0]["scaling"] = {"max": 5}
    scaling = decode(config).pools_by_name["pool-a"].scaling
    assert not scaling.price_by_domain


def test_entry_says_whether_the_platform_may_reclaim_the_upstream():
    made = layout.PlatformLayout()
    entry = {**ENTRY, "spot": True}
    value = json.dumps(entry).encode()
    assert made.decode_upstream("servers/a", value).reclaimable
    value = json.dumps(ENTRY).encode()
    assert not made.decode_upstream("servers/a", value).reclaimable
