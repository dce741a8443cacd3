"""Reading and validating the platform's settings file."""

import subprocess
import sys

import pytest

from lagoonrun_duties import platform_calls
from lagoonrun_router import format_error, settings
from lagoonrun_users_platform import settings_file

TEXT = """
node = "entry-1"
zone = "hall"
ip = "10.1.0.40"
internal_ports = [7340,7355]
seed_nodes = ["10.1.0.40:8229","10.2.0.29:8229"]
something_new = { a = 1 }
[listen]
front = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
[platform]
address = "10.200.1.7:8223"
"""


@pytest.fixture
def load(tmp_path):
    def write(text):
        path = tmp_path / "node.toml"
        path.write_text(text, encoding="utf-8")
        return settings_file.load(str(path))

    return write


def test_settings_are_read_and_new_keys_ignored(load):
    configured = load(TEXT)
    assert configured.entry_vm == "entry-1"
    assert configured.domain == "hall"
    assert configured.caller == settings.Address(host="10.1.0.40", port=8227)
    assert configured.store.port == 8223
    assert configured.stop_seconds == 8.0
    assert configured.retry_allowance.fixed == 54.0
    assert configured.metrics.port == settings_file.METRICS_PORT
    assert configured.reuse_seconds == 10.0


def test_reuse_window_is_configurable(load):
    text = TEXT.replace("[bounds]", "[bounds]\nreuse_window_s = 6.7")
    assert load(text).reuse_seconds == 6.7


def test_processor_cores_are_the_share_times_the_speed(load):
    assert load(TEXT).processor_cores == 1.0
    limits = "[limits]\ncpu_share = 0.717\ncpu_cores = 3\n[platform]"
    configured = load(TEXT.replace("[platform]", limits))
    assert configured.processor_cores == pytest.approx(2.151)


def test_seeds_are_the_other_vms_at_the_peer_port(load):
    assert load(TEXT).seeds == (settings.Address(host="10.2.0.29", port=7340),)


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('zone = "hall"', "", "zone"),
        ("grace_s = 8", 'grace_s = "8"', "bounds.grace_s"),
        ("[7340,7355]", "[7355,7340]", "internal_ports"),
        ('front = "10.1.0.40:8227"', 'front = "8227"', "listen.front"),
        ('address = "10.200.1.7:8223"', "", "platform.address"),
    ],
)
def test_error_names_key_value_and_what_is_valid(load, old, new, named):
    with pytest.raises(format_error.FormatError) as raised:
        load(TEXT.replace(old, new))
    assert named in raised.value.detail
    assert "valid:" in raised.value.detail


def test_bad_settings_end_the_program_with_one_line(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text("node = 7", encoding="utf-8")
    done = subprocess.run(
        [sys.executable, "-m", "lagoonrun_users_platform.main"],
        env={settings_file.PATH_VARIABLE: str(path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2
    assert len(done.stderr.strip().splitlines()) == 1
    assert "ip" in done.stderr or "node" in done.stderr
    assert done.stdout == ""


DUTIES = """
[cloud_api]
address = "10.200.0.113:8424"
duties = ["usage_report", "autoscale", "something_new"]
"""
BOUNDS = "[bounds]\nreport_window_s = 5\nusage_late_s = 9\nlease_ms = 3000"


def test_deployment_without_duties_has_none(load):
    configured = load(TEXT)
    assert configured.duties is None
    assert configured.duty_platform is None


def test_duties_of_the_platform_are_read(load):
    configured = load(TEXT.replace("[bounds]", BOUNDS) + DUTIES)
    assert configured.duty_platform.port == 8424
    duties = configured.duties
    assert duties.duties == frozenset(platform_calls.Duty)
    assert (duties.window_seconds, duties.report_deadline_seconds) == (5.0, 9.0)
    assert duties.reacquire_delay_seconds == 3.0


def test_duties_that_are_not_known_are_left_out(load):
    text = TEXT + DUTIES.replace('"usage_report", "autoscale", ', "")
    assert load(text).duties is None
