"""Headers, hop-by-hop removal and the error body."""

import json

import pytest

from lagoonrun_core import errors as core_errors
from lagoonrun_http import errors, hop_by_hop, messages


def test_header_names_are_case_insensitive_and_headers_immutable():
    headers = messages.Headers(pairs=[("A", "1"), ("b", "2"), ("a", "3")])
    assert headers.get("a") == "1"
    assert headers.get_all("A") == ("1", "3")
    assert headers.get("c", "none") == "none"
    assert list(headers.without(["A"])) == [("b", "2")]
    assert list(headers.with_added("c", "4"))[-1] == ("c", "4")
    assert len(headers) == 3


@pytest.mark.parametrize(
    "name", ["Connection", "Keep-Alive", "TE", "Upgrade", "X-Listed"]
)
def test_hop_by_hop_headers_are_removed(name):
    headers = messages.Headers(
        pairs=[(name, "v"), ("Connection", "close, x-listed"), ("Keep", "k")]
    )
    assert list(hop_by_hop.strip(headers)) == [("Keep", "k")]


def test_error_body_has_step_field_message_and_valid_values():
    body = errors.error_body(
        step=core_errors.Step.AUTHENTICATE,
        field="Authorization",
        message="unknown key",
        valid="a bearer key",
    )
    assert json.loads(body)["error"] == {
        "step": "authenticate",
        "field": "Authorization",
        "message": "unknown key",
        "valid": "a bearer key",
    }
