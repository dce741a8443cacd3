"""Reload the settings file when it changes, on a signal or by polling."""

import dataclasses
import logging
import os
from collections.abc import Callable

from lagoonrun_core import events, logs, supervised_task, ticks
from lagoonrun_router import format_error, settings

_POLL_SECONDS = 1.0
"""Interval at which the file is checked: a change without a signal is applied
within about this time, at the cost of one system call a second."""

LoadSettings = Callable[[str], settings.RouterSettings]
"""Reads and validates a settings file; raises `FormatError`."""

ApplySettings = Callable[[settings.RouterSettings], frozenset[str]]
"""Applies settings; returns the names of those that need a restart."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _FileStamp:
    """File metadata that changes whenever a file is written or replaced."""

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
        Active settings.
    load
        Reads the file.
    use
        Applies changed settings.
    """

    def __init__(
        self,
        *,
        path: str,
        current: settings.RouterSettings,
        load: LoadSettings,
        use: ApplySettings,
    ) -> None:
        self._path = path
        self._current = current
        self._load = load
        self._use = use
        self._stamp = _stamp_of(path)
        self._task = supervised_task.SupervisedTask(
            name="settings-watch", function=self._run
        )

    async def start(self) -> None:
        """Start checking the file."""
        self._task.start()

    async def close(self) -> None:
        """Stop checking the file."""
        await self._task.close()

    async def _run(self) -> None:
        while True:
            await ticks.sleep_to_tick(_POLL_SECONDS)
            stamp = _stamp_of(self._path)
            if stamp is not None and stamp != self._stamp:
                self.reload(source="file")

    def reload(self, *, source: str) -> None:
        """Reload the file now.

        An invalid file changes nothing: the process continues with its last
        valid settings and logs the error.

        Parameters
        ----------
        source
            Why the file is reloaded, for the log.
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


def _stamp_of(path: str) -> _FileStamp | None:
    """Return a file's stamp; None while it is being replaced."""
    try:
        stat = os.stat(path)
    except OSError:
        return None
    return _FileStamp(
        inode=stat.st_ino, size=stat.st_size, modified_ns=stat.st_mtime_ns
    )
