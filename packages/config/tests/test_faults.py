"""Any input results in faults and never in another exception."""

import datetime
import math

import tomlkit
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonrun_config import (
    checks,
    declarations,
    draft,
    settings_file,
    snapshot,
)

_NAMES = st.sampled_from(["a", "b", "c d", "", "x" * 70, "é"])
_KEYS = st.sampled_from(
    [
        "address",
        "checks_fencing",
        "count",
        "domain",
        "floor_share",
        "id",
        "idempotent",
        "key_digests",
        "kind",
        "limit_seconds",
        "model",
        "models",
        "organisations",
        "path_prefix",
        "pool",
        "port",
        "profile",
        "region",
        "slots",
        "target_kind",
        "target_seconds",
        "tier",
        "unheard-of",
        "upstreams",
        "weight",
    ]
)
_VALUES = st.recursive(
    st.one_of(
        st.booleans(),
        st.integers(-3, 70_000),
        st.sampled_from([2**62, -(2**62), 0.5, 1e308, math.inf, math.nan]),
        st.sampled_from(
            ["a", "b", "", "model", "plain", "/a", "10.0.0.1", "ab" * 32]
        ),
        st.just(datetime.date(2020, 1, 1)),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(_KEYS, inner, max_size=3),
    ),
    max_leaves=6,
)
_SECTIONS = st.sampled_from(
    [
        "domains",
        "organisations",
        "placements",
        "pools",
        "profiles",
        "services",
        "unheard-of",
    ]
)
_ENTRIES = st.one_of(
    _VALUES,
    st.dictionaries(_NAMES, st.dictionaries(_KEYS, _VALUES, max_size=8)),
    st.lists(st.dictionaries(_KEYS, _VALUES, max_size=8), max_size=3),
)


def _check(text):
    file = declarations.DeclarationFile(name="any.toml", text=text)
    result = declarations.parse_declarations([file])
    if isinstance(result, declarations.InvalidDeclarations):
        assert result.faults
        assert all(fault.key and fault.valid for fault in result.faults)
        return
    assert isinstance(result, draft.Draft)
    assert checks.check_draft(result) == ()
    encoded = snapshot.encode_snapshot(result)
    assert snapshot.decode_snapshot(encoded) == result


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.dictionaries(_SECTIONS, _ENTRIES, max_size=5))
def test_any_declarations_give_a_draft_or_faults(tables):
    _check(tomlkit.dumps(tables))


@settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 60),
            st.sampled_from(["drop", "repeat", "swap", "cut", "negate"]),
        ),
        min_size=1,
        max_size=3,
    )
)
def test_damaged_declarations_give_a_draft_or_faults(small_text, damages):
    lines = small_text.splitlines()
    for index, damage in damages:
        number = index % len(lines)
        line = lines[number]
        damaged = {
            "drop": [],
            "repeat": [line, line],
            "swap": [lines[number - 1]],
            "cut": [line[: len(line) // 2]],
            "negate": [line.replace("= ", "= -")],
        }
        lines[number : number + 1] = damaged[damage]
    _check("\n".join(lines))


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.dictionaries(
        st.sampled_from(
            [
                "admin",
                "caller",
                "domain",
                "drain_timeout_seconds",
                "entry_vm",
                "explain_capacity",
                "inner_key",
                "peer",
                "platform",
                "seeds",
                "experiment",
            ]
        ),
        _VALUES,
    )
)
def test_any_settings_are_refused_with_faults(tmp_path_factory, tables):
    path = tmp_path_factory.mktemp("settings") / "any.toml"
    path.write_text(tomlkit.dumps(tables), encoding="utf-8")
    try:
        settings_file.load_settings(path)
    except settings_file.SettingsError as error:
        assert error.faults
        return
    raise AssertionError(f"accepted: {tables}")
