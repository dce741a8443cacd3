"""Signals that reach the program while it starts."""

import os
import pathlib
import signal
import subprocess
import sys

import pytest

from lagoonrun_standins import reserved_ports

_WAIT_SECONDS = 20.0
_SETTINGS = """\
ip = "127.0.0.1"
node = "vm-1"
zone = "north"
internal_ports = [{0}, {1}]
seed_nodes = []
contracts = []
[listen]
front = "127.0.0.1:{2}"
readiness = "127.0.0.1:{3}"
[platform]
address = "127.0.0.1:{4}"
[bounds]
grace_s = 2
retry_budget_ratio = 0.1
budget_window_s = 10
budget_slack = 5
"""

_REPORTS_IMPORT = """\
import os, runpy, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name == sys.argv[1]:
            print("importing", flush=True)
            sys.stdin.readline()

sys.meta_path.insert(0, Finder())
runpy.run_module("lagoonrun_users_platform.main", run_name="__main__")
"""


@pytest.mark.parametrize(
    "module", ["lagoonrun_router", "lagoonrun_users_platform.process"]
)
def test_hangup_while_the_program_is_imported_does_not_end_it(
    tmp_path: pathlib.Path, module: str
):
    """Guards against SIGHUP in the first 0.4 s, which ended the process."""
    ports = sorted(reserved_ports.reserve("127.0.0.1") for _ in range(5))
    path = tmp_path / "settings.toml"
    path.write_text(_SETTINGS.format(*ports))
    process = subprocess.Popen(
        [sys.executable, "-c", _REPORTS_IMPORT, module],
        env={**os.environ, "LAGOONRUN_SETTINGS": str(path)},
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    with process:
        try:
            assert process.stdout.readline() == "importing\n"
            process.send_signal(signal.SIGHUP)
            process.stdin.write("\n")
            process.stdin.flush()
            while "process-started" not in process.stdout.readline():
                assert process.poll() is None, process.returncode
            process.send_signal(signal.SIGTERM)
            process.stdout.close()
            assert process.wait(_WAIT_SECONDS) == 0
        finally:
            process.kill()
