"""Settings are read again after a signal and after a silent change."""

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
    """Read settings whose file holds the time to stop and the domain."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    try:
        stop_seconds, domain = json.loads(text)
    except ValueError as error:
        raise format_error.FormatError(
            step=errors.Step.SETTINGS, detail=text
        ) from error
    return dataclasses.replace(BEFORE, stop_seconds=stop_seconds, domain=domain)


class Used:
    """Notes what was put into force."""

    def __init__(self):
        self.settings = []

    def __call__(self, changed):
        """Put settings into force."""
        self.settings.append(changed)
        names = settings.changed_names(BEFORE, changed)
        return names - settings.CHANGEABLE_NAMES


@pytest.fixture
def used():
    return Used()


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "node.toml"
    file.write_text('[8.0, "north"]', encoding="utf-8")
    return file


@pytest.fixture
async def watch(path, used, monkeypatch):
    monkeypatch.setattr(settings_watch, "_POLL_SECONDS", 0.02)
    made = settings_watch.SettingsWatch(
        path=str(path), current=BEFORE, load=load, use=used
    )
    await made.start()
    yield made
    await made.close()


async def test_silent_change_of_the_file_is_noticed(watch, path, used):
    path.write_text('[5.5, "north"]', encoding="utf-8")
    await wait_for(lambda: used.settings)
    assert used.settings[0].stop_seconds == 5.5


async def test_signal_without_a_change_puts_nothing_into_force(watch, used):
    watch.reload(source="signal")
    assert used.settings == []


async def test_file_that_makes_no_sense_changes_nothing(
    watch, path, used, caplog
):
    """An operator writes a broken file and mends it.

    The process serves on with what it had, says so, and takes the next one.
    """
    with caplog.at_level(logging.ERROR, logger="lagoonrun"):
        path.write_text("nonsense", encoding="utf-8")
        await wait_for(lambda: caplog.records)
    assert caplog.records[0].reason == "nonsense"
    assert used.settings == []
    path.write_text('[6.25, "north"]', encoding="utf-8")
    await wait_for(lambda: used.settings)


async def test_what_needs_a_restart_is_said(watch, path, used, caplog):
    path.write_text('[5.5, "south"]', encoding="utf-8")
    with caplog.at_level(logging.INFO, logger="lagoonrun"):
        watch.reload(source="signal")
    record = caplog.records[0]
    assert record.changed == ["stop_seconds"]
    assert record.needs_restart == ["domain"]


async def test_running_router_takes_over_what_it_can(world):
    changed = dataclasses.replace(
        world.settings, stop_seconds=1.5, domain="elsewhere"
    )
    assert world.router.apply_settings(changed) == {"domain"}
    assert world.router.apply_settings(world.settings) == frozenset()
