"""`make docs`: generates the pages under docs/reference from the code.

It also updates the fields column in the catalogue of log events.

The pages are generated from the typed models, the readers of the TOML files,
the registry of subcommands and the registry of metrics. A test compares the
committed pages with the output of this module.
"""

import dataclasses
import inspect
import pathlib
import re
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from lagoonrun_cli import command, command_line, exit_codes, registry
from lagoonrun_config import model, settings
from lagoonrun_daemon import metrics
from lagoonrun_standins import log_fields, value_rules

_DIRECTORY = pathlib.Path("docs/reference")
_NOTE = "<!-- Written by `make docs` from the code; edit the code instead. -->"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Section:
    """One table of keys.

    Parameters
    ----------
    introduction
        Text between the heading and the table.
    kind
        Dataclass whose fields are the keys.
    excluded_fields
        Fields that are not keys.
    probe
        Returns the faults of a table of this section.
    """

    heading: str
    introduction: str
    kind: type
    excluded_fields: tuple[str, ...]
    probe: value_rules.Probe


_DECLARATION_SECTIONS = (
    _Section(
        heading="`[profiles.NAME]`",
        introduction="A class of requests. Where `idempotent` is false, "
        "`retry_ratio` is 0 and `maximum_attempts` is 1 by default, and "
        "nothing else is valid.",
        kind=model.Profile,
        excluded_fields=("name",),
        probe=value_rules.probe_named("profiles"),
    ),
    _Section(
        heading="`[organisations.ID]`",
        introduction="A customer. `lagoonrun keys` makes a key and its digest.",
        kind=model.Organisation,
        excluded_fields=("id",),
        probe=value_rules.probe_named("organisations"),
    ),
    _Section(
        heading="`[services.NAME]`",
        introduction="What callers ask for. A `model` service has `models` "
        "and no "
        "`path_prefix`; a `plain` one the other way round.",
        kind=model.Service,
        excluded_fields=("name",),
        probe=value_rules.probe_service,
    ),
    _Section(
        heading="`[[pools.NAME.upstreams]]`",
        introduction="One upstream of a pool. `[pools.NAME]` itself may hold "
        "`port`, `slots`, `resumes`, `cancels` and `checks_fencing` for all "
        "its upstreams that do not say otherwise.",
        kind=model.Upstream,
        excluded_fields=("pool",),
        probe=value_rules.probe_upstream,
    ),
    _Section(
        heading="`[[placements]]`",
        introduction="How many upstreams of a pool in a domain hold a model.",
        kind=model.Placement,
        excluded_fields=(),
        probe=value_rules.probe_placement,
    ),
    _Section(
        heading="`[domains.NAME]`",
        introduction="A failure domain. It need not be declared; "
        "without "
        "declarations all domains are one region. "
        "See [regions](../how-to/declare-regions.md).",
        kind=model.Domain,
        excluded_fields=("name",),
        probe=value_rules.probe_named("domains"),
    ),
)


def pages_by_name() -> dict[str, str]:
    """Return the text of each page by its file name."""
    return {
        "settings.md": settings_page(),
        "declarations.md": declarations_page(),
        "command-line.md": command_line_page(),
        "metrics.md": metrics_page(),
    }


def settings_page() -> str:
    """Return the page on the settings file of a daemon."""
    section = _Section(
        heading="Keys",
        introduction="",
        kind=settings.Settings,
        excluded_fields=("experiment",),
        probe=value_rules.probe_settings,
    )
    lines = [
        "# Settings of `lagoonrund`",
        "",
        _NOTE,
        "",
        "One TOML file for each process, given by `--settings=PATH`. It says",
        "what the process cannot learn from others: its name, addresses and",
        "failure domain, and where the platform is. All keys stand at the top",
        "level. A fault ends the process with exit code 2 and names each key,",
        "its value and what would be valid; secrets are never shown.",
        "",
        *_key_table(section),
        "",
        "A table `[experiment]` changes the order of service for",
        "measurements; it has no place in service.",
        "",
        "`examples/` holds a whole file for each of the two deployments.",
        "The operators' own settings are on the page of the",
        "[command line](command-line.md).",
    ]
    return "\n".join(lines) + "\n"


def declarations_page() -> str:
    """Return the page on the declarations."""
    lines = [
        "# Declarations",
        "",
        _NOTE,
        "",
        "Operators declare the whole system in TOML files, kept under version",
        "control. Several files make one set; an entry stands in one of them.",
        "Names are 1 to 63 letters, digits, `.`, `_` or `-`, the first a",
        "letter or digit. `lagoonrun validate FILE...` shows all faults at",
        "once, and `lagoonrun apply FILE...` brings the files into force.",
        "The comment `# lagoonrun-base: REVISION` in a file, which",
        "`lagoonrun get` writes, says what the files started from.",
    ]
    for section in _DECLARATION_SECTIONS:
        lines += ["", f"## {section.heading}", "", section.introduction, ""]
        lines += _key_table(section)
    return "\n".join(lines) + "\n"


def command_line_page() -> str:
    """Return the page on the command line of operators."""
    lines = [
        "# Command line",
        "",
        _NOTE,
        "",
        "Results go to standard output: tables on a terminal, tab-separated",
        "lines in a pipe, one JSON object with `--json`. Progress, errors and",
        "the command to run next go to standard error.",
        "",
        "The settings file that `--settings` names may hold the keys",
        "`platform`, `entry_vms`, `admin_token_file` (or `admin_token`) and",
        "`operator`, each as the flag of the same name; flags go first.",
        "",
        "## Exit codes",
        "",
        "| code | name | meaning |",
        "|---|---|---|",
    ]
    lines += [
        f"| {int(code)} | {code.name.lower()} | {exit_codes.describe(code)} |"
        for code in exit_codes.ExitCode
    ]
    for subcommand in registry.COMMANDS:
        lines += _command_lines(subcommand)
    return "\n".join(lines) + "\n"


def metrics_page() -> str:
    """Return the page on the metrics of a daemon."""
    lines = [
        "# Metrics",
        "",
        _NOTE,
        "",
        "`GET /metrics` of the admin address, in the Prometheus text format.",
        "Counters have the suffix `_total`, histograms `_bucket`, `_count`",
        "and `_sum`. The [runbook](../runbook.md) says what to watch.",
        "",
        "| metric | type | labels | meaning |",
        "|---|---|---|---|",
    ]
    for family in metric_families():
        labels = ", ".join(family.labels) or "–"
        lines.append(
            f"| `{family.name}` | {family.kind} | {labels} | {family.text} |"
        )
    return "\n".join(lines) + "\n"


@dataclasses.dataclass(frozen=True, kw_only=True)
class MetricFamily:
    """One metric of a daemon."""

    name: str
    kind: str
    labels: tuple[str, ...]
    text: str


def metric_families() -> Sequence[MetricFamily]:
    """Return all metrics of a daemon, sorted by name."""
    found = []
    for value in vars(metrics.DaemonMetrics()).values():
        if hasattr(value, "describe"):
            (family,) = value.describe()
            suffix = "_total" if family.type == "counter" else ""
            found.append(
                MetricFamily(
                    name=f"{family.name}{suffix}",
                    kind=family.type,
                    labels=_labels_of(value),
                    text=family.documentation,
                )
            )
    return sorted(found, key=lambda family: family.name)


def _labels_of(value: Any) -> tuple[str, ...]:
    own = getattr(value, "label_names", None)
    # prometheus_client has no public attribute for the labels of its metrics.
    return tuple(own if own is not None else value._labelnames)


def _command_lines(subcommand: command.Command) -> list[str]:
    return [
        "",
        f"## `lagoonrun {subcommand.name}`",
        "",
        "```",
        command_line.help_text(subcommand).rstrip(),
        "```",
    ]


def _key_table(section: _Section) -> list[str]:
    fields = [
        field
        for field in dataclasses.fields(section.kind)
        if field.name not in section.excluded_fields
    ]
    rules = value_rules.rules_by_key(
        [field.name for field in fields], section.probe
    )
    texts = parameter_texts(section.kind)
    lines = ["| key | default | valid | meaning |", "|---|---|---|---|"]
    for field in fields:
        lines.append(
            f"| `{field.name}` | {_default(field)} | "
            f"{_cell(rules.get(field.name, ''))} | "
            f"{_cell(texts.get(field.name, ''))} |"
        )
    return lines


def parameter_texts(kind: type) -> Mapping[str, str]:
    """Return the description of each parameter of a NumPy-style docstring."""
    doc = inspect.getdoc(kind) or ""
    _, _, section = doc.partition("Parameters\n----------\n")
    texts: dict[str, str] = {}
    for match in re.finditer(r"^(\S.*)\n((?:    .*\n?)+)", section, re.M):
        description = " ".join(match.group(2).split())
        for name in match.group(1).split(", "):
            texts[name] = description
    return texts


def _default(field: dataclasses.Field) -> str:
    if field.default is dataclasses.MISSING:
        return "required"
    value = getattr(field.default, "value", field.default)
    if value == ():
        return "empty"
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else f"{value}"


def _cell(text: str) -> str:
    return text.replace("|", "\\|")


def main() -> None:
    """Write all pages below the current directory."""
    _DIRECTORY.mkdir(parents=True, exist_ok=True)
    for name, text in pages_by_name().items():
        (_DIRECTORY / name).write_text(text, encoding="utf-8")
        sys.stdout.write(f"{_DIRECTORY / name}\n")
    root = pathlib.Path()
    text = log_fields.updated_catalogue(root)
    (root / log_fields.CATALOGUE).write_text(text, encoding="utf-8")
    sys.stdout.write(f"{log_fields.CATALOGUE}\n")


if __name__ == "__main__":
    main()
