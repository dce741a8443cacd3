"""Messages are decoded as they were encoded."""

import pytest

from lagoonrun_core import errors, outcomes
from lagoonrun_protocol import codec, messages

_END = messages.PermitEnd(
    request_id="r-1",
    attempt_id=2,
    shard="p@d/0",
    upstream="u-1",
    outcome=outcomes.Outcome.COMPLETE,
    reason=outcomes.Reason.NONE,
    first_token_seconds=0.25,
    total_seconds=1.5,
    tokens=40,
)
_PING = messages.Ping(
    sequence=7,
    source="vm-1",
    members=(
        messages.MemberUpdate(
            entry_vm="vm-2",
            domain="north",
            incarnation=3,
            state=messages.MemberState.SUSPECT,
            peer_host="127.0.0.1",
            peer_port=9000,
            admin_port=9001,
            revision=12,
            digest="ab",
        ),
    ),
)


@pytest.mark.parametrize(
    "message",
    [
        _END,
        _PING,
        messages.SnapshotReply(revision=3, digest="ff", body=b"\x00\x01"),
        messages.PermitRequest(
            request_id="r",
            attempt_id=1,
            shard="p@d/0",
            profile="lookup",
            organisation="house",
            remaining_seconds=2.0,
            remaining_target_seconds=-0.5,
            prefix_hash=2**64 - 1,
            excluded=("u-1", "u-2"),
        ),
    ],
    ids=lambda message: type(message).__name__,
)
def test_round_trip(message):
    assert codec.decode(codec.encode(message)) == message


@pytest.mark.parametrize("body", [b"", b"\xff" * 40, b"\x00"])
def test_garbage_is_refused_with_the_peer(body):
    with pytest.raises(errors.LagoonrunError) as caught:
        codec.decode(body, peer="vm-9")
    assert caught.value.peer == "vm-9"
