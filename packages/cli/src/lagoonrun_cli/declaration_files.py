"""Reads operators' declaration files and their base revision."""

import dataclasses
import pathlib
import re
from collections.abc import Sequence

from lagoonrun_cli import errors
from lagoonrun_config import declarations
from lagoonrun_config import draft as draft_module
from lagoonrun_core import types

IN_FORCE = "in-force"
_BASE_PATTERN = re.compile(r"^# lagoonrun-base: (\d+)$", re.MULTILINE)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Declared:
    """Declarations of all files together.

    Parameters
    ----------
    base
        Revision that the files are based on; None if no file has a base line.
    """

    draft: draft_module.Draft
    base: types.Revision | None


def base_line(revision: types.Revision) -> str:
    """Return the comment line that names a file's base revision."""
    return f"# lagoonrun-base: {revision}"


def load(paths: Sequence[str]) -> Declared | declarations.InvalidDeclarations:
    """Return the declarations of the files at `paths`, or all their faults.

    Raises
    ------
    errors.CommandError
        If a file cannot be read, or the files name different bases.
    """
    files = [_read(pathlib.Path(path)) for path in paths]
    draft = declarations.parse_declarations(files)
    if isinstance(draft, declarations.InvalidDeclarations):
        return draft
    return Declared(draft=draft, base=_base_of(files))


def move_base(paths: Sequence[str], revision: types.Revision) -> list[str]:
    """Set the base lines to `revision`; return the files that have one."""
    moved = []
    for path in map(pathlib.Path, paths):
        text = path.read_text(encoding="utf-8")
        changed, count = _BASE_PATTERN.subn(base_line(revision), text)
        if count:
            path.write_text(changed, encoding="utf-8")
            moved.append(str(path))
    return moved


def _read(path: pathlib.Path) -> declarations.DeclarationFile:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.usage_error(
            f"{path}: {error}; valid: a readable TOML file in UTF-8"
        ) from error
    return declarations.DeclarationFile(name=str(path), text=text)


def _base_of(
    files: Sequence[declarations.DeclarationFile],
) -> types.Revision | None:
    bases = {
        int(number)
        for file in files
        for number in _BASE_PATTERN.findall(file.text)
    }
    if len(bases) > 1:
        raise errors.usage_error(
            f"the files name several bases, {sorted(bases)}; valid: one "
            "revision that all of them started from"
        )
    return types.Revision(bases.pop()) if bases else None
