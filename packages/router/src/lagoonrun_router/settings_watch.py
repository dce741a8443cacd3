"""Read the settings file again when it changes, with a signal or without."""

import dataclasses
import logging
import os
from collections.abc import Callable

from lagoonrun_core import events, logs, standing_task, ticks
from lagoonrun_router import format_error, settings

_LOOK_SECONDS = 1.0
"""Time between two looks at the file: a file that changes silently is in force
in about this time, for one system call a second."""

Load = Callable[[str], settings.RouterSettings]
"""Reads and checks a settings file; raises `FormatError`."""

Use = Callable[[settings.RouterSettings], frozenset[str]]
"""Puts settings into force; returns the names of those that need a restart."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Stamp:
    """What changes whenever a file is written or replaced."""

    inode: int
    size: int
    modified_ns: int


class SettingsWatch:
    """Keeps a process's settings up to date with their file.

    Parameters
    ----------
    path
        The file.
    current
        Settings in force.
    load
        Reads the file.
    use
        Puts changed settings into force.
    """

    def __init__(
        self,
        *,
        path: str,
        current: settings.RouterSettings,
        load: Load,
        use: Use,
    ) -> None:
        self._path = path
        self._current = current
        self._load = load
        self._use = use
        self._stamp = _stamp_of(path)
        self._task = standing_task.StandingTask(
            name="settings-watch", function=self._run
        )

    async def start(self) -> None:
        """Begin to look at the file."""
        self._task.start()

    async def close(self) -> None:
        """Stop looking."""
        await self._task.close()

    async def _run(self) -> None:
        while True:
            await ticks.sleep_to_tick(_LOOK_SECONDS)
            stamp = _stamp_of(self._path)
            if stamp is not None and stamp != self._stamp:
                self.reload(source="file")

    def reload(self, *, source: str) -> None:
        """Read the file now.

        What is not valid changes nothing: a process with its last good
        settings serves on, and says what is wrong.

        Parameters
        ----------
        source
            Why it is read, for the log.
        """
        self._stamp = _stamp_of(self._path)
        try:
            loaded = self._load(self._path)
        except format_error.FormatError as error:
            logs.emit(
                events.LogEvent.SETTINGS_REJECTED,
                level=logging.ERROR,
                source=source,
                reason=error.detail,
            )
            return
        changed = settings.changed_names(self._current, loaded)
        needs_restart = self._use(loaded) if changed else frozenset()
        self._current = loaded
        logs.emit(
            events.LogEvent.SETTINGS_RELOADED,
            source=source,
            changed=sorted(changed - needs_restart),
            needs_restart=sorted(needs_restart),
        )


def _stamp_of(path: str) -> _Stamp | None:
    """Return a file's stamp; None while it is being replaced."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return _Stamp(
        inode=found.st_ino, size=found.st_size, modified_ns=found.st_mtime_ns
    )
