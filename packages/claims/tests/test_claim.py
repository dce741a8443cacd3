"""Store keys, digests and encoding of claims."""

import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from lagoonrun_claims import claim as claim_module
from lagoonrun_core import errors, outcomes, types

_RECORD = claim_module.ClaimRecord(
    organisation=types.OrganisationId("house"),
    key_digest=claim_module.digest_key(types.OrganisationId("house"), "k"),
    attempt=claim_module.ClaimAttemptId("a"),
    entry_vm=types.EntryVmId("vm"),
    request_id=types.RequestId("r"),
    body_digest=claim_module.BodyDigest("b"),
    claimed_wall=1.5,
)


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    one=strategies.tuples(strategies.text(), strategies.text(min_size=1)),
    other=strategies.tuples(strategies.text(), strategies.text(min_size=1)),
)
def test_store_keys_are_unique_per_organisation_and_key(one, other):
    hypothesis.assume(len(one[1].encode()) < 200 > len(other[1].encode()))
    found = []
    for organisation, key in (one, other):
        digest = claim_module.digest_key(organisation, key)
        found.append(claim_module.store_key(organisation, digest))
    assert (found[0] == found[1]) == (one == other)


def test_key_text_is_not_stored():
    key = "order-17-of-the-archive"
    digest = claim_module.digest_key(types.OrganisationId("house"), key)
    record = dataclasses.replace(_RECORD, key_digest=digest)
    assert key.encode() not in claim_module.encode(record)
    assert key not in claim_module.store_key(record.organisation, digest)


@pytest.mark.parametrize("key", ["", "k" * 256, "é" * 128])
def test_key_with_an_invalid_length_is_refused(key):
    with pytest.raises(errors.LagoonrunError, match="valid: 1 to 255"):
        claim_module.digest_key(types.OrganisationId("house"), key)


@pytest.mark.parametrize(
    ("state", "outcome"),
    [
        (claim_module.ClaimState.CLAIMED, None),
        (claim_module.ClaimState.RELEASED, None),
        (claim_module.ClaimState.ENDED, outcomes.Outcome.PARTIAL),
    ],
)
def test_record_survives_encoding(state, outcome):
    record = dataclasses.replace(_RECORD, state=state, outcome=outcome)
    assert claim_module.decode(claim_module.encode(record)) == record


@pytest.mark.parametrize(
    "value", [b"", b"[]", b"{}", b'{"version":2}', b'{"version":1}', b"\xff"]
)
def test_unreadable_record_is_an_error(value):
    with pytest.raises(errors.LagoonrunError, match="record unreadable"):
        claim_module.decode(value)
