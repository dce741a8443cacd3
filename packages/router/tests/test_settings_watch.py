"""Settings are reloaded on a signal and after a change without one."""

import dataclasses
import json
import logging

import pytest

from lagoonrun_core import errors
from lagoonrun_router import (
    format_error,
    retry_budget,
    settings,
    settings_watch,
)
from lagoonrun_standins.router_world import wait_for

ADDRESS = settings.Address(host="10.0.0.1", port=1)
BEFORE = settings.RouterSettings(
    entry_vm="vm-1",
    domain="north",
    caller=ADDRESS,
    readiness=ADDRESS,
    peer=ADDRESS,
    metrics=None,
    seeds=(),
    store=ADDRESS,
    stop_seconds=8.0,
    retry_allowance=retry_budget.Allowance(
        ratio=0.2, window_seconds=10.0, fixed=50.0
    ),
    reuse_seconds=10.0,
)


def load(path):
    """Read settings from a file that holds `stop_seconds` and the domain."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    try:
        stop_seconds, domain = json.loads(text)
    except ValueError as error:
        raise format_error.FormatError(
            step=errors.Step.SETTINGS, detail=text
        ) from error
    return dataclasses.replace(BEFORE, stop_seconds=stop_seconds, domain=domain)


class AppliedSettings:
    """Records the settings that were applied."""

    def __init__(self):
        self.settings = []

    def __call__(self, changed):
        """Record applied settings."""
        self.settings.append(changed)
        names = settings.changed_names(BEFORE, changed)
        return names - settings.CHANGEABLE_NAMES


@pytest.fixture
def applied():
    return AppliedSettings()


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "node.toml"
    file.write_text('[8.0, "north"]', encoding="utf-8")
    return file


@pytest.fixture
async def watch(path, applied, monkeypatch):
    monkeypatch.setattr(settings_watch, "_POLL_SECONDS", 0.02)
    settings_watcher = settings_watch.SettingsWatch(
        path=str(path), current=BEFORE, load=load, use=applied
    )
    await settings_watcher.start()
    yield settings_watcher
    await settings_watcher.close()


async def test_change_of_the_file_without_a_signal_is_noticed(
    watch, path, applied
):
    path.write_text('[5.5, "north"]', encoding="utf-8")
    await wait_for(lambda: applied.settings)
    assert applied.settings[0].stop_seconds == 5.5


async def test_signal_without_a_change_applies_nothing(watch, applied):
    watch.reload(source="signal")
    assert applied.settings == []


async def test_invalid_file_changes_nothing(watch, path, applied, caplog):
    """An operator writes an invalid file and corrects it.

    The process keeps its settings, logs the error, and applies the next file.
    """
    with caplog.at_level(logging.ERROR, logger="lagoonrun"):
        path.write_text("nonsense", encoding="utf-8")
        await wait_for(lambda: caplog.records)
    assert caplog.records[0].reason == "nonsense"
    assert applied.settings == []
    path.write_text('[6.25, "north"]', encoding="utf-8")
    await wait_for(lambda: applied.settings)


async def test_settings_that_need_a_restart_are_logged(
    watch, path, applied, caplog
):
    path.write_text('[5.5, "south"]', encoding="utf-8")
    with caplog.at_level(logging.INFO, logger="lagoonrun"):
        watch.reload(source="signal")
    record = caplog.records[0]
    assert record.changed == ["stop_seconds"]
    assert record.needs_restart == ["domain"]


async def test_running_router_applies_what_it_can(world):
    changed = dataclasses.replace(
        world.settings, stop_seconds=1.5, domain="elsewhere"
    )
    assert world.router.apply_settings(changed) == {"domain"}
    assert world.router.apply_settings(world.settings) == frozenset()
