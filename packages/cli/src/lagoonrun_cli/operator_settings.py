"""Settings of the command line, from flags and a TOML file."""

import dataclasses
import getpass
import os
import pathlib
import tomllib
from collections.abc import Mapping, Sequence

from absl import flags

from lagoonrun_cli import errors
from lagoonrun_config import faults, settings

SETTINGS_VARIABLE = "LAGOONRUN_SETTINGS"
DEFAULT_SETTINGS_FILE = "lagoonrun.toml"


@dataclasses.dataclass(frozen=True, kw_only=True)
class OperatorSettings:
    """Settings of the command line.

    Parameters
    ----------
    platform
        Addresses of the platform's gateway, tried in order.
    entry_vms
        Admin addresses of some entry VMs; the others are discovered from them.
    admin_token
        Bearer token of the admin addresses; empty for none. Never printed.
    operator
        Name that the history records with each change.
    """

    platform: tuple[settings.Address, ...] = ()
    entry_vms: tuple[settings.Address, ...] = ()
    admin_token: str = dataclasses.field(default="", repr=False)
    operator: str = ""


def define_flags(values: flags.FlagValues) -> None:
    """Add the flags that override the settings file."""
    flags.DEFINE_string(
        "settings",
        None,
        f"Path of the operator's TOML file; by default ${SETTINGS_VARIABLE}, "
        f"then ./{DEFAULT_SETTINGS_FILE}.",
        flag_values=values,
    )
    flags.DEFINE_list(
        "platform",
        None,
        "Addresses of the platform's gateway, IP:PORT,...",
        flag_values=values,
    )
    flags.DEFINE_list(
        "entry_vms",
        None,
        "Admin addresses of some entry VMs, IP:PORT,...; the others are "
        "learnt from them.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "admin_token_file",
        None,
        "File that holds the admin token.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "operator",
        None,
        "Name under which changes stand in the history; by default the user's.",
        flag_values=values,
    )


def load(
    values: flags.FlagValues, *, environment: Mapping[str, str] | None = None
) -> OperatorSettings:
    """Return the settings of the file, overridden by flags.

    Raises
    ------
    errors.CommandError
        With every fault of the file and the flags.
    """
    environment = os.environ if environment is None else environment
    path = _path(values, environment)
    table = _read_table(path) if path else {}
    overrides = {
        "platform": values["platform"].value,
        "entry_vms": values["entry_vms"].value,
        "admin_token_file": values["admin_token_file"].value,
        "operator": values["operator"].value,
    }
    given = {key: value for key, value in overrides.items() if value}
    found: list[faults.Fault] = []
    reader = faults.TableReader(
        table={**table, **given},
        path="",
        source=str(path or "flags"),
        faults=found,
    )
    result = OperatorSettings(
        platform=_addresses(reader, "platform"),
        entry_vms=_addresses(reader, "entry_vms"),
        admin_token=_admin_token(reader),
        operator=reader.text("operator", default="") or _user_name(),
    )
    reader.finish()
    if found:
        raise errors.usage_error("\n".join(map(str, found)))
    return result


def _path(
    values: flags.FlagValues, environment: Mapping[str, str]
) -> pathlib.Path | None:
    named = values["settings"].value or environment.get(SETTINGS_VARIABLE)
    if named:
        return pathlib.Path(named)
    default = pathlib.Path(DEFAULT_SETTINGS_FILE)
    return default if default.exists() else None


def _read_table(path: pathlib.Path) -> dict[str, object]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise errors.usage_error(
            f"settings file {path}: {error}; valid: TOML in UTF-8"
        ) from error


def _addresses(
    reader: faults.TableReader, key: str
) -> tuple[settings.Address, ...]:
    written: Sequence[str] = reader.texts(key)
    split = [reader.split_address(key, one, lowest_port=1) for one in written]
    return tuple(settings.Address(host=host, port=port) for host, port in split)


def _admin_token(reader: faults.TableReader) -> str:
    token = reader.text("admin_token", default="")
    path = reader.text("admin_token_file", default="")
    if not path:
        return token
    try:
        return pathlib.Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        reader.add_redacted_fault(
            "admin_token_file", str(error), "a readable file"
        )
        return ""


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
