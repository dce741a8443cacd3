"""Validity of the files and commands of the tutorial."""

import hashlib
import pathlib
import re

import pytest

from lagoonrun_cli import command_line, declaration_files, registry
from lagoonrun_config import declarations, settings_file

_ROOT = pathlib.Path(__file__).parents[3]
_FILES = _ROOT / "examples/tutorial"
_COMMAND = re.compile(r"^ {4,}lagoonrun (.+)$", re.M)


def test_declarations_are_valid():
    declared = declaration_files.load([str(_FILES / "declarations.toml")])
    assert not isinstance(declared, declarations.InvalidDeclarations)
    (house,) = declared.draft.organisations_by_id.values()
    digest = hashlib.sha256(b"tutorial-key").hexdigest()
    assert house.key_digests == (digest,)


def test_settings_are_valid():
    loaded = settings_file.load_settings(_FILES / "entry-1.toml")
    digest = hashlib.sha256(b"tutorial-token").hexdigest()
    assert loaded.admin_token_digest == digest


@pytest.mark.parametrize(
    "page",
    sorted(
        str(path.relative_to(_ROOT))
        for path in (
            _ROOT / "README.md",
            _ROOT / "docs/tutorial.md",
            _ROOT / "docs/runbook.md",
            *(_ROOT / "docs/how-to").glob("*.md"),
        )
    ),
)
def test_commands_on_the_page_parse(page):
    text = (_ROOT / page).read_text(encoding="utf-8")
    for line in _COMMAND.findall(text):
        words = line.split("#")[0].split(">")[0].split()
        parsed = command_line.parse(words, registry.COMMANDS_BY_NAME)
        assert isinstance(parsed, command_line.Parsed)
