"""Which requests have the same digest."""

import pytest

from lagoonrun_http import messages
from lagoonrun_router import request_digest


def digest(
    method="POST",
    host="portal.test",
    target="/ask/1",
    organisation="house",
    body=b"text",
):
    head = messages.RequestHead(method=method, target=target)
    return request_digest.digest_of(
        head, host=host, organisation=organisation, body=body
    )


def test_the_same_request_has_the_same_digest():
    assert digest() == digest()


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "PUT"},
        {"host": "other.test"},
        {"target": "/ask/2"},
        {"target": "/ask/1?a=b"},
        {"organisation": "other"},
        {"organisation": None},
        {"body": b"text "},
    ],
)
def test_another_caller_path_or_body_changes_the_digest(changes):
    assert digest(**changes) != digest()


def test_boundaries_of_fields_change_the_digest():
    assert digest(target="/ask/1h", organisation="ouse") != digest()
