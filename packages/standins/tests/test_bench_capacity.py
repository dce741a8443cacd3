"""Tests of the parts of `bench_capacity` that do not measure."""

import pytest

from lagoonrun_config import snapshot
from lagoonrun_protocol import codec
from lagoonrun_standins import bench_capacity


@pytest.mark.parametrize("upstreams", [1, 40])
def test_declared_configurations_can_be_accepted(upstreams):
    """The measured configurations are valid and within the size limit."""
    draft = bench_capacity._declared(upstreams)
    encoded = snapshot.encode_snapshot(draft)
    assert snapshot.decode_snapshot(encoded) == draft
    assert not snapshot.check_size(encoded)


def test_measured_messages_survive_the_wire():
    """The measured messages are valid: each decodes to what was encoded."""
    sent = [*bench_capacity._permit_messages().values()]
    sent.append(bench_capacity._digest(3))
    assert [codec.decode(codec.encode(m)) for m in sent] == sent
