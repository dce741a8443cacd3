"""Factories of the router's declarations, upstreams and calls, for tests."""

import dataclasses
import hashlib

from lagoonrun_config import model
from lagoonrun_http import messages as http_messages
from lagoonrun_router import call, declarations, upstreams

HOST = "127.0.0.1"
KEY = "key-of-house"


def make_profile(**changes) -> model.Profile:
    """Return a profile whose requests may run at most once."""
    values = {
        "name": "lookup",
        "tier": 1,
        "target_seconds": 0.5,
        "limit_seconds": 3.0,
        "idempotent": False,
        "maximum_attempts": 1,
    }
    return model.Profile(**{**values, **changes})


def make_route(**changes) -> declarations.Route:
    """Return a route to the pool `portal`.

    `changes` may name fields of the route and of its profile.
    """
    fields = {one.name for one in dataclasses.fields(model.Profile)} - {"name"}
    profile = {key: changes.pop(key) for key in fields & changes.keys()}
    values = {
        "name": "lookups",
        "host": "portal.test",
        "path_prefix": "/lookups/",
        "profile": make_profile(**profile),
        "destinations": (declarations.Destination(pool="portal"),),
    }
    return declarations.Route(**{**values, **changes})


def make_stream_route(**changes) -> declarations.Route:
    """Return a route whose answers are event streams."""
    values = {
        "answer_kind": declarations.AnswerKind.EVENTS,
        "longest_pause_seconds": 0.5,
    }
    return make_route(**{**values, **changes})


def make_declarations(*routes, **changes) -> declarations.Declarations:
    """Return declarations with the given routes and one organisation."""
    values = {
        "revision": 1,
        "routes": routes or (make_route(),),
        "pools_by_name": {
            "portal": declarations.Pool(name="portal", maximum_connections=64)
        },
        "organisations_by_id": {
            "house": declarations.RankedOrganisation(
                id="house",
                key_digests=(hashlib.sha256(KEY.encode()).hexdigest(),),
            )
        },
        "caller_limits": declarations.CallerLimits(
            header_bytes=16384,
            body_bytes=100_000,
            header_read_seconds=3.0,
            idle_seconds=15.0,
        ),
    }
    return declarations.Declarations(**{**values, **changes})


def make_registration(id: str = "u-1", **changes) -> upstreams.Registration:
    """Return the registration of an upstream of the pool `portal`."""
    values = {
        "pool": "portal",
        "domain": "north",
        "host": HOST,
        "port": 9000,
        "slots": 8,
        "version": "v1",
    }
    return upstreams.Registration(id=id, **{**values, **changes})


def make_call(**changes) -> call.Call:
    """Return a resolved call; `changes` name fields of `call.Call`."""
    values = {
        "attributes": call.CallAttributes(request_id="r-1", host="portal.test"),
        "head": http_messages.RequestHead(method="GET", target="/lookups/1"),
        "body": b"",
        "route": make_route(),
        "pool": declarations.Pool(name="portal", maximum_connections=64),
        "organisation": None,
        "urgency": 0,
        "last_urgency": 1,
        "pool_tiers": (1,),
        "tightest_pause_seconds": None,
        "arrived_at": 1000.0,
        "limit_at": 1003.0,
        "revision": 1,
    }
    return call.Call(**{**values, **changes})
