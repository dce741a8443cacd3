"""Declarations are parsed into a draft or rejected with their faults."""

import pytest

from lagoonrun_config import declarations, draft, model, rebase, rendering


def _keys(result) -> set[str]:
    assert isinstance(result, declarations.InvalidDeclarations)
    return {fault.key for fault in result.faults}


def test_small_declarations_are_parsed(small_draft):
    assert isinstance(small_draft, draft.Draft)
    summary = small_draft.profiles_by_name["summary"]
    assert (summary.retry_ratio, summary.maximum_attempts) == (0.0, 1)
    lookups = small_draft.services_by_name["page-lookups"]
    assert lookups.kind is model.ServiceKind.PLAIN
    first, second = (
        small_draft.upstreams_by_id[name] for name in ("writer-1", "writer-2")
    )
    assert (first.port, first.slots) == (9100, 16)
    assert (second.port, second.slots) == (9100, 8)
    assert small_draft.placements[0].count == 1


def test_files_together_equal_one_file(parse, small_text, small_draft):
    head, mark, tail = small_text.partition("[services.page-lookups]")
    assert parse(mark + tail, head) == small_draft


def test_entry_in_two_files_names_both(parse, small_text):
    extra = "[profiles.lookup]\ntier=1\ntarget_seconds=1\nlimit_seconds=1\n"
    result = parse(small_text, extra)
    assert _keys(result) == {"profiles.lookup"}
    (fault,) = result.faults
    assert fault.source == "1.toml"
    assert "0.toml" in fault.valid


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ("tier = 1", "tier = 7", "profiles.lookup.tier"),
        ("tier = 1", "tier = 0", "profiles.lookup.tier"),
        ("tier = 1", "tier = true", "profiles.lookup.tier"),
        ("tier = 1", "teir = 1", "profiles.lookup.teir"),
        ("tier = 1", "", "profiles.lookup.tier"),
        ("= 2.0", "= 0.1", "profiles.lookup.limit_seconds"),
        ("= 0.5", "= -1", "profiles.lookup.target_seconds"),
        ("= 0.5", "= inf", "profiles.lookup.target_seconds"),
        (
            "idempotent = false",
            "idempotent = false\nretry_ratio = 0.1",
            "profiles.summary.retry_ratio",
        ),
        (
            "idempotent = false",
            "idempotent = false\nmaximum_attempts = 2",
            "profiles.summary.maximum_attempts",
        ),
        ('pool = "portal"', 'pool = "port"', "services.page-lookups.pool"),
        ('"lookup"', '"look"', "services.page-lookups.profile"),
        ('"plain"', '"simple"', "services.page-lookups.kind"),
        ('"/portal/lookups"', '"portal"', "services.page-lookups.path_prefix"),
        ('"/portal/lookups"', '"/v1/x"', "services.page-lookups.path_prefix"),
        (
            '"/portal/lookups"',
            '"/lagoonrun"',
            "services.page-lookups.path_prefix",
        ),
        ('["summariser"]', "[]", "services.volume-summaries.models"),
        (
            'organisations = ["house-a"]',
            'organisations = ["house-b"]',
            "services.volume-summaries.organisations",
        ),
        ("ab" * 32, "secret-key", "organisations.house-a.key_digests"),
        (
            '"10.0.1.1"',
            '"portal.local"',
            "pools.portal.upstreams.portal-1.address",
        ),
        (
            '"10.0.2.2"',
            '"10.0.2.1"',
            "pools.writers.upstreams.writer-2.address",
        ),
        ('"writer-2"', '"portal-1"', "pools.writers.upstreams.portal-1.id"),
        (
            "count = 1",
            "count = 2",
            "placements.writers/tunis-a/summariser/serve.count",
        ),
    ],
)
def test_each_fault_is_named(parse, small_text, old, new, key):
    assert old in small_text
    result = parse(small_text.replace(old, new, 1))
    assert key in _keys(result)
    assert all(fault.valid for fault in result.faults)
    assert all(fault.source == "0.toml" for fault in result.faults)


def test_all_faults_are_listed_at_once(parse, small_text):
    text = small_text
    for old, new in [
        ("tier = 1", "tier = 9"),
        ('pool = "portal"', 'pool = "absent"'),
        ('"10.0.2.2"', '"10.0.2.1"'),
        ("port = 9000", "prot = 9000"),
    ]:
        text = text.replace(old, new, 1)
    assert _keys(parse(text)) == {
        "profiles.lookup.tier",
        "services.page-lookups.pool",
        "pools.writers.upstreams.writer-2.address",
        "pools.portal.upstreams.portal-1.prot",
        "pools.portal.upstreams.portal-1.port",
    }


def test_key_shared_by_two_organisations_is_refused(parse, small_text):
    # With a shared key, one organisation could read the answers of the other.
    extra = f'[organisations.house-b]\nkey_digests = ["{"ab" * 32}"]\n'
    assert _keys(parse(small_text, extra)) == {
        "organisations.house-b.key_digests"
    }


def test_model_and_path_of_two_services_are_refused(parse, small_text):
    extra = """
    [services.other-summaries]
    kind = "model"
    pool = "writers"
    profile = "summary"
    models = ["summariser"]

    [services.other-lookups]
    kind = "plain"
    pool = "portal"
    profile = "lookup"
    path_prefix = "/portal/lookups"
    """
    keys = _keys(parse(small_text, extra))
    assert {key.split(".")[-1] for key in keys} == {"models", "path_prefix"}


def test_floors_above_half_a_pool_are_refused(parse, small_text):
    text = small_text.replace("= 2.0", "= 2.0\nfloor_share = 0.3")
    text = text.replace("= 600", "= 600\nfloor_share = 0.3")
    assert isinstance(parse(text), draft.Draft)
    extra = """
    [services.titles]
    kind = "model"
    pool = "writers"
    profile = "lookup"
    models = ["titles"]
    """
    assert _keys(parse(text, extra)) == {"pools.writers"}


REGIONS = """
[domains.tunis-a]
region = "tunis"

[domains.tunis-b]
"""


def test_domains_give_their_regions(parse, small_text):
    declared = parse(small_text, REGIONS)
    assert isinstance(declared, draft.Draft)
    accepted = draft.configuration_of(declared, revision=1, digest="")
    regions = {
        name: accepted.region_of(name)
        for name in ("tunis-a", "tunis-b", "elsewhere")
    }
    assert regions == {"tunis-a": "tunis", "tunis-b": "", "elsewhere": ""}
    assert draft.draft_of(accepted) == declared
    assert parse(rendering.render_declarations(declared)) == declared


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ('[domains.tunis-a]\nregion = "a b"', "domains.tunis-a.region"),
        ('[domains.tunis-a]\nregoin = "tunis"', "domains.tunis-a.regoin"),
        ('[domains.tunnis-a]\nregion = "tunis"', "domains.tunnis-a"),
    ],
)
def test_faults_of_domains(parse, small_text, text, key):
    assert _keys(parse(small_text, text)) == {key}


def test_regions_of_two_domains_rebase_and_of_one_conflict(parse, small_text):
    base = parse(small_text)
    first, second, third = (
        parse(small_text, f'[domains.{domain}]\nregion = "{region}"')
        for domain, region in (
            ("tunis-a", "tunis"),
            ("tunis-b", "tunis"),
            ("tunis-a", "sfax"),
        )
    )
    merged = rebase.rebase(base=base, head=first, mine=second)
    assert set(merged.domains_by_name) == {"tunis-a", "tunis-b"}
    conflict = rebase.rebase(base=base, head=first, mine=third)
    assert [str(name) for name in conflict.names] == ["domain:tunis-a"]
