"""The reference pages of settings and metrics match the code."""

import pathlib
import re
import tomllib

from lagoonrun_router import metrics
from lagoonrun_users_platform import fields, settings_file

REFERENCE = pathlib.Path(__file__).parents[2] / "docs" / "reference"

SETTINGS = tomllib.loads(
    """
node = "entry-1"
zone = "hall"
ip = "10.1.0.40"
internal_ports = [7340, 7355]
seed_nodes = ["10.1.0.40:8229"]
[listen]
front = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
[limits]
cpu_share = 0.5
[platform]
address = "10.200.1.7:8223"
[cloud_api]
address = "10.200.0.113:8424"
duties = ["usage_report", "autoscale"]
"""
)


class RecordingTable(dict):
    """A table that records which names are read."""

    def __init__(self, table, prefix, names):
        super().__init__(table)
        self._prefix = prefix
        self._names = names

    def get(self, name, default=None):
        """Return a value; nested tables record their names as well."""
        value = super().get(name, default)
        path = f"{self._prefix}{name}"
        if isinstance(value, dict):
            return RecordingTable(value, f"{path}.", self._names)
        self._names.add(path)
        return value


def first_column(page):
    text = (REFERENCE / page).read_text(encoding="utf-8")
    return set(re.findall(r"^\| `([^`]+)` \|", text, re.M))


def test_page_of_settings_names_exactly_what_is_read():
    names = set()
    table = RecordingTable(SETTINGS, "", names)
    settings_file.parse(fields.Fields(table=table, where=""))
    assert first_column("router-settings.md") == names


def test_page_of_metrics_names_exactly_what_is_served():
    served = {
        family.name + ("_total" if family.type == "counter" else "")
        for family in metrics.RouterMetrics().registry.collect()
    }
    assert first_column("router-metrics.md") == served
