"""The reference pages are generated from the current code."""

import pathlib
import re

import pytest

from lagoonrun_config import declarations, model
from lagoonrun_core import events, outcomes
from lagoonrun_standins import log_fields, reference_pages

_ROOT = pathlib.Path(__file__).parents[3]
_DOCS = _ROOT / "docs"
_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def read(name: str) -> str:
    return (_DOCS / name).read_text(encoding="utf-8")


@pytest.fixture(scope="module")
def pages():
    return reference_pages.pages_by_name()


@pytest.mark.parametrize(
    "name", ["settings.md", "declarations.md", "command-line.md", "metrics.md"]
)
def test_committed_page_matches_the_generated_one(pages, name):
    assert read(f"reference/{name}") == pages[name], "run `make docs`"


def test_catalogue_and_code_have_the_same_events():
    rows = log_fields.ROW.findall(read("log-events.md"))
    written = [(int(number), label) for number, label, _, _ in rows]
    assert written == sorted((e.number, e.label) for e in events.LogEvent)


def test_catalogue_names_the_fields_that_are_logged():
    text = log_fields.updated_catalogue(_ROOT)
    assert read("log-events.md") == text, "run `make docs`"


def test_event_numbers_are_given_once():
    numbers = {event.number for event in events.LogEvent}
    assert len(numbers) == len(events.LogEvent)


@pytest.mark.parametrize("kind", [outcomes.Outcome, outcomes.Reason])
def test_http_page_names_every_outcome_and_reason(kind):
    text = read("reference/http-interface.md")
    missing = [one.value for one in kind if f"`{one.value}`" not in text]
    assert missing == []


def test_runbook_names_existing_metrics_and_events():
    text = read("runbook.md")
    families = {one.name for one in reference_pages.metric_families()}
    suffixed = {
        f"{name}{suffix}"
        for name in families
        for suffix in ("", "_bucket", "_count", "_sum")
    }
    named = set(re.findall(r"lagoonrun_[a-z_]+", text))
    assert named - suffixed == set()
    labels = {event.label for event in events.LogEvent}
    numbered = re.findall(r"(\d{3}) `([a-z-]+)`", text)
    known = {(str(event.number), event.label) for event in events.LogEvent}
    assert numbered
    assert set(numbered) - known == set()
    assert labels


@pytest.mark.parametrize(
    "page",
    sorted(
        str(path.relative_to(_ROOT))
        for path in (*_DOCS.rglob("*.md"), _ROOT / "README.md")
    ),
)
def test_links_between_pages_resolve(page):
    path = _ROOT / page
    targets = _LINK.findall(path.read_text(encoding="utf-8"))
    broken = [one for one in targets if not (path.parent / one).exists()]
    assert broken == []


def test_default_values_of_types_and_files_are_the_same():
    file = declarations.DeclarationFile(
        name="least",
        text="[profiles.x]\ntier = 1\ntarget_seconds = 1\nlimit_seconds = 1\n",
    )
    draft = declarations.parse_declarations([file])
    assert draft.profiles_by_name["x"] == model.Profile(
        name="x", tier=1, target_seconds=1.0, limit_seconds=1.0
    )
