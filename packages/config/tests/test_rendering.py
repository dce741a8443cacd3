"""Rendered declarations are equivalent to the draft."""

import pathlib

import pytest

from lagoonrun_config import declarations, draft, rendering

_EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
_DIRECTORIES = (
    "shared-archive-reading-platform/declarations",
    "vatu-waters-reservoir-report-router/declarations",
)


def read(texts):
    return declarations.parse_declarations(
        [
            declarations.DeclarationFile(name=str(number), text=text)
            for number, text in enumerate(texts)
        ]
    )


@pytest.fixture(params=_DIRECTORIES)
def example(request):
    paths = sorted((_EXAMPLES / request.param).glob("*.toml"))
    return read(path.read_text(encoding="utf-8") for path in paths)


def test_rendered_declarations_parse_to_the_same_draft(example):
    assert read([rendering.render_declarations(example)]) == example


def test_examples_contain_all_kinds_of_entries(example):
    """Otherwise a kind that is added later would not be tested here."""
    kinds = {name.kind for name in example.entries_by_name()}
    assert kinds == set(draft.EntryKind)


def test_empty_draft_is_rendered_as_empty_text():
    assert rendering.render_declarations(draft.EMPTY_DRAFT) == ""
