"""Settings of a process are read, or rejected with all faults at once."""

import pytest

from lagoonrun_config import settings, settings_file

SECRET = "0123456789abcdef0123456789abcdef"
GOOD = f"""
entry_vm = "tunis-a-1"
domain = "tunis-a"
caller = "10.0.0.1:8080"
admin = "[fd00::1]:8081"
peer = "10.0.0.1:0"
platform = ["10.0.9.1:2379", "10.0.9.2:2379"]
inner_key = "{SECRET}"
"""


@pytest.fixture
def load(tmp_path):
    def load_text(text: str) -> settings.Settings:
        path = tmp_path / "settings.toml"
        path.write_text(text, encoding="utf-8")
        return settings_file.load_settings(path)

    return load_text


def test_reads_every_value(load):
    result = load(GOOD + "drain_timeout_seconds = 30\n")
    assert result.entry_vm == "tunis-a-1"
    assert str(result.admin) == "[fd00::1]:8081"
    assert result.peer == settings.Address(host="10.0.0.1", port=0)
    assert [str(one) for one in result.platform] == [
        "10.0.9.1:2379",
        "10.0.9.2:2379",
    ]
    assert result.inner_key == bytes.fromhex(SECRET)
    assert result.drain_timeout_seconds == 30.0


def test_lists_every_fault_at_once(load):
    text = f"""
    entry_vm = 7
    domain = "tunis a"
    caller = "localhost:8080"
    admin = "10.0.0.1:99999"
    platform = ["10.0.9.1:0"]
    seeds = "10.0.0.2:1"
    inner_key = "{SECRET[:30]}"
    admin_token_digest = "letmein"
    drain_timeout_seconds = nan
    explain_capacity = true
    platform_calls_per_second = 0
    port = 1
    """
    with pytest.raises(settings_file.SettingsError) as caught:
        load(text)
    keys = [fault.key for fault in caught.value.faults]
    assert keys == [
        "entry_vm",
        "domain",
        "caller",
        "admin",
        "peer",
        "platform",
        "seeds",
        "inner_key",
        "admin_token_digest",
        "drain_timeout_seconds",
        "explain_capacity",
        "platform_calls_per_second",
        "port",
    ]
    assert all(fault.valid for fault in caught.value.faults)


def test_reads_an_experiment(load):
    result = load(
        GOOD
        + """
        [experiment]
        policy = "naive"
        switched_off = ["affinity"]
        """
    )
    assert result.experiment == settings.Experiment(
        policy=settings.ExperimentPolicy.NAIVE, switched_off=("affinity",)
    )


def test_default_experiment(load):
    result = load(GOOD)
    assert result.experiment == settings.Experiment()


def test_lists_faults_of_an_experiment(load):
    with pytest.raises(settings_file.SettingsError) as caught:
        load(GOOD + '[experiment]\npolicy = "none"\noff = []\n')
    keys = [fault.key for fault in caught.value.faults]
    assert keys == ["experiment.policy", "experiment.off"]


def test_faults_never_show_secrets(load):
    with pytest.raises(settings_file.SettingsError) as caught:
        load(GOOD.replace(SECRET, SECRET[:30]) + 'admin_token_digest = "pw"')
    assert SECRET[:30] not in str(caught.value)
    assert "'pw'" not in str(caught.value)


@pytest.mark.parametrize("text", ["entry_vm = ", "\x00"])
def test_text_that_is_not_toml_is_one_fault(load, text):
    with pytest.raises(settings_file.SettingsError) as caught:
        load(text)
    assert [fault.key for fault in caught.value.faults] == ["(file)"]


def test_missing_file_names_its_path(tmp_path):
    path = tmp_path / "absent.toml"
    with pytest.raises(settings_file.SettingsError, match=r"absent\.toml"):
        settings_file.load_settings(path)


def test_lease_shorter_than_two_order_timeouts_is_refused(load):
    text = GOOD + "order_timeout_seconds = 20\n"
    assert load(text).order_lease_seconds == 40.0
    with pytest.raises(settings_file.SettingsError) as caught:
        load(text + "order_lease_seconds = 30\n")
    assert [one.key for one in caught.value.faults] == ["order_lease_seconds"]
