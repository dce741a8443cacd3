"""Snapshots are canonical, verified and small enough for the store."""

import dataclasses
import hashlib
import json
import random
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonrun_config import draft, model, snapshot
from lagoonrun_core import types

names = st.text("abcxyz", min_size=1, max_size=4)
fractions = st.floats(0.0, 100.0)
profiles = st.builds(
    model.Profile,
    name=names,
    tier=st.integers(1, 6),
    target_kind=st.sampled_from(model.TargetKind),
    target_seconds=fractions,
    limit_seconds=fractions,
    idempotent=st.booleans(),
)
organisations = st.builds(
    model.Organisation,
    id=names,
    key_digests=st.lists(names).map(tuple),
    weight=fractions,
)
services = st.builds(
    model.Service,
    name=names,
    kind=st.sampled_from(model.ServiceKind),
    pool=names,
    profile=names,
    models=st.lists(names).map(tuple),
    organisations=st.lists(names).map(tuple),
)
upstreams = st.builds(
    model.Upstream,
    id=names,
    pool=names,
    domain=names,
    address=names,
    port=st.integers(1, 65535),
)
placements = st.builds(
    model.Placement,
    pool=names,
    domain=names,
    model=names,
    count=st.integers(0, 9),
)
domains = st.builds(
    model.Domain, name=names, region=st.one_of(st.just(""), names)
)
entries = st.lists(
    st.one_of(profiles, organisations, services, upstreams, placements, domains)
)


def _draft(values) -> draft.Draft:
    kinds = dict(
        zip(
            (
                model.Profile,
                model.Organisation,
                model.Service,
                model.Upstream,
            ),
            draft.EntryKind,
            strict=False,
        )
    )
    by_name = {}
    for value in values:
        if isinstance(value, model.Placement):
            by_name[draft.placement_name(value)] = value
            continue
        name = getattr(value, "name", None) or value.id
        kind = kinds.get(type(value), draft.EntryKind.DOMAIN)
        key = draft.EntryName(kind=kind, name=name)
        by_name[key] = value
    return draft.from_entries(by_name)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(entries, st.randoms(use_true_random=False))
def test_round_trip_and_order_do_not_change_it(values, rng):
    original = _draft(values)
    encoded = snapshot.encode_snapshot(original)
    assert snapshot.decode_snapshot(encoded) == original
    shuffled = list(original.entries_by_name().items())
    rng.shuffle(shuffled)
    again = snapshot.encode_snapshot(draft.from_entries(dict(shuffled)))
    assert again == encoded


def test_snapshots_without_domains_are_those_of_older_builds(small_draft):
    """Guards against a new section that splits the fleet during an upgrade.

    While no domains are declared, entry VMs with builds that support domains
    and older ones must compute the same digest and read each other's
    snapshots.
    """
    encoded = snapshot.encode_snapshot(small_draft)
    tables = json.loads(zlib.decompress(encoded.content))
    assert set(tables) == {
        "format",
        "profiles",
        "organisations",
        "services",
        "upstreams",
        "placements",
    }
    assert snapshot.decode_snapshot(encoded) == small_draft


@pytest.mark.parametrize(
    "damage",
    [
        lambda content: content[:-3],
        lambda content: b"not compressed",
        lambda content: content[:20] + b"\x00" + content[21:],
    ],
)
def test_damaged_bytes_are_refused(small_draft, damage):
    encoded = snapshot.encode_snapshot(small_draft)
    damaged = dataclasses.replace(encoded, content=damage(encoded.content))
    with pytest.raises(snapshot.SnapshotError, match="peer-1"):
        snapshot.decode_snapshot(damaged, peer="peer-1")


def test_content_of_another_digest_is_refused(small_draft):
    other = snapshot.encode_snapshot(draft.EMPTY_DRAFT)
    mixed = dataclasses.replace(
        other, digest=snapshot.encode_snapshot(small_draft).digest
    )
    with pytest.raises(snapshot.SnapshotError, match="digest"):
        snapshot.decode_snapshot(mixed)


def _fleet(small_draft, *, count) -> draft.Draft:
    rng = random.Random(5)
    fleet = {}
    for index in range(count):
        name = types.UpstreamId(f"runner-{index:05d}-{rng.getrandbits(24)}")
        fleet[name] = model.Upstream(
            id=name,
            pool=types.PoolName(f"pool-{index % 40}"),
            domain=types.FailureDomain(f"domain-{index % 12}"),
            address=f"10.{index // 62500}.{index // 250 % 250}.{index % 250}",
            port=9000 + rng.randrange(4),
            slots=rng.choice((8, 16, 32)),
        )
    return dataclasses.replace(small_draft, upstreams_by_id=fleet)


def test_fleet_of_eleven_thousand_fits_one_value(small_draft):
    encoded = snapshot.encode_snapshot(_fleet(small_draft, count=11_000))
    assert snapshot.check_size(encoded) == ()
    assert len(encoded.content) < 250_000


def test_snapshot_over_the_limit_is_a_fault():
    oversized = snapshot.Snapshot(
        digest=snapshot.Digest("00"),
        content=bytes(snapshot.MAXIMUM_SNAPSHOT_BYTES + 1),
    )
    (fault,) = snapshot.check_size(oversized)
    assert "900001 bytes" in fault.value


@pytest.mark.parametrize("place", ["section", "field"])
def test_content_of_a_newer_build_is_not_read_in_part(small_draft, place):
    """Guards against the silent loss of a change by an operator's older build.

    It would merge the part that it can read and write it back without the
    rest.
    """
    encoded = snapshot.encode_snapshot(small_draft)
    tables = json.loads(zlib.decompress(encoded.content))
    if place == "section":
        tables["quotas"] = {"name": ["a"]}
    else:
        tables["profiles"]["colour"] = ["blue"] * len(tables["profiles"])
    text = json.dumps(tables, sort_keys=True, separators=(",", ":")).encode()
    newer = snapshot.Snapshot(
        digest=snapshot.Digest(hashlib.sha256(text).hexdigest()),
        content=zlib.compress(text),
    )
    with pytest.raises(snapshot.SnapshotError, match="valid: format"):
        snapshot.decode_snapshot(newer)
