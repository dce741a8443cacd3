"""The examples of both users are valid and have the expected sizes."""

import collections
import pathlib

import pytest

from lagoonrun_config import declarations, draft, settings_file

_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
_CONSORTIUM = "shared-archive-reading-platform"
_TRUST = "vatu-waters-reservoir-report-router"


def _read(name):
    paths = sorted((_EXAMPLES / name / "declarations").glob("*.toml"))
    return declarations.parse_declarations(
        [
            declarations.DeclarationFile(
                name=path.name, text=path.read_text(encoding="utf-8")
            )
            for path in paths
        ]
    )


@pytest.mark.parametrize(
    ("name", "domains", "runners_by_pool", "once_only"),
    [
        (
            _CONSORTIUM,
            3,
            {"transcription": 5, "archive-portal": 3},
            {"volume-summaries"},
        ),
        (
            _TRUST,
            4,
            {"report-writing": 9, "gauge-and-alert": 4},
            {"spill-warnings"},
        ),
    ],
)
def test_declarations_are_valid_and_have_the_expected_sizes(
    name, domains, runners_by_pool, once_only
):
    result = _read(name)
    assert isinstance(result, draft.Draft), result
    upstreams = result.upstreams_by_id.values()
    assert len({one.domain for one in upstreams}) == domains
    pools = collections.Counter(one.pool for one in upstreams)
    assert pools == runners_by_pool
    assert len(result.organisations_by_id) == 10
    profiles = result.profiles_by_name.values()
    assert {one.name for one in profiles if not one.idempotent} == once_only


@pytest.mark.parametrize("name", [_CONSORTIUM, _TRUST])
def test_settings_are_valid(name):
    (path,) = (_EXAMPLES / name / "settings").glob("*.toml")
    loaded = settings_file.load_settings(path)
    result = _read(name)
    domains = {one.domain for one in result.upstreams_by_id.values()}
    assert loaded.domain in domains
