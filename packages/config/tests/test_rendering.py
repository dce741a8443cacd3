"""What is in force is written as declarations that mean the same."""

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


def test_written_declarations_read_back_as_the_same(example):
    assert read([rendering.render_declarations(example)]) == example


def test_examples_hold_every_kind_of_entry(example):
    """A kind that is added later must come through `get` as well."""
    kinds = {name.kind for name in example.entries_by_name()}
    assert kinds == set(draft.EntryKind)


def test_nothing_is_written_for_nothing():
    assert rendering.render_declarations(draft.EMPTY_DRAFT) == ""
