"""Command-line entry point of `lagoonrund`."""

import asyncio
import signal
import sys

from absl import app, flags

from lagoonrun_config import settings_file
from lagoonrun_core import logs
from lagoonrun_daemon import daemon as daemons
from lagoonrun_daemon import experiment

_SETTINGS = flags.DEFINE_string(
    "settings", None, "Path of the TOML file with the settings.", required=True
)

EXIT_SETTINGS = 2
EXIT_CUT_REQUESTS = 3


async def _serve(daemon: daemons.Daemon) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await daemon.start()
    _print_addresses(daemon)
    await stop.wait()
    cut = await daemon.stop()
    return EXIT_CUT_REQUESTS if cut else 0


def _print_addresses(daemon: daemons.Daemon) -> None:
    """Print the listening addresses for the parent process."""
    configured = daemon.settings
    caller = f"{configured.caller.host}:{daemon.caller_server.port}"
    operators = f"{configured.admin.host}:{daemon.admin_server.port}"
    peer = f"{configured.peer.host}:{daemon.hub.port}"
    print(f"READY caller={caller} admin={operators} peer={peer}", flush=True)


def _main(arguments: list[str]) -> int:
    if len(arguments) > 1:
        print(f"unexpected: {arguments[1:]}; valid: flags", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        configured = settings_file.load_settings(_SETTINGS.value)
    except settings_file.SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    try:
        experiment.switches_of(configured.experiment)
    except experiment.UnknownSwitchError as error:
        print(error, file=sys.stderr)
        return EXIT_SETTINGS
    logs.configure(entry_vm=configured.entry_vm)
    return asyncio.run(_serve(daemons.Daemon(configured=configured)))


def run() -> None:
    """Run `lagoonrund`; entry point of the console script."""
    app.run(_main)


if __name__ == "__main__":
    run()
