"""Play one day for each kind of fault and print a table of the results.

On each day a fault occurs alone, together with stops of entry VMs, during an
outage of the platform's store, and twice. The users' bench plays the days:

    FLEETBENCH=path/of/the/bench python tests/days/play.py SITE [KIND ...]
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys
import tempfile

FAULTS = {
    "answer_lost": 'share = 0.5, x = 0.1, how = "reset"',
    "big_config": "count = 350",
    "burst": "x = 2.0",
    "clock_step": 'share = 0.5, x = 2400.0, how = "back"',
    "clock_step-ahead": 'share = 0.5, x = 3000.0, how = "ahead"',
    "config_change-route": 'how = "route"',
    "config_change-weights": 'how = "weights"',
    "config_change-timeout": 'how = "timeout"',
    "config_change-tenant": 'how = "tenant"',
    "config_storm": "gap_s = 0.2, for_s = 6.0",
    "core_cut": 'count = 2, how = "reset"',
    "core_cut-one": 'count = 2, how = "one_way"',
    "garble": 'share = 0.5, x = 0.1, how = "extra late"',
    "garble-unframed": 'share = 0.5, x = 0.1, how = "unframed"',
    "garble-early": 'share = 0.5, x = 0.1, how = "early"',
    "give_up": "share = 0.3",
    "herd_kill": "share = 0.6",
    "herd_kill-off": 'on = "core", how = "off"',
    "after_ack_kill": 'how = "kill"',
    "after_ack_kill-timed": 'how = "timed"',
    "hot_key": "share = 0.4",
    "hot_tenant": "x = 8.0",
    "hup": "share = 1.0",
    "lossy": "x = 0.05",
    "node_cut": "share = 0.3",
    "node_cut-meet": 'share = 0.3, how = "reset meet"',
    "node_freeze": "share = 0.3, for_s = 3.0",
    "node_kill": "share = 0.3",
    "node_kill-power": 'share = 0.3, how = "power"',
    "node_kill-leader": 'on = "core", count = 1, how = "leader race drain"',
    "node_slow": "share = 0.3, x = 6.0",
    "platform_compact": 'x = 5.0, for_s = 6.0, how = "drain"',
    "platform_down": 'how = "silent lapse"',
    "platform_down-busy": 'how = "busy"',
    "platform_down-reset": 'how = "reset lapse", for_s = 8.0',
    "platform_down-nodes": 'share = 0.4, how = "nodes busy revoke meet"',
    "platform_down-many": 'share = 0.4, how = "nodes many revoke meet drain"',
    "platform_lost": 'x = 0.4, how = "late"',
    "platform_slow": "x = 60.0",
    "release": "share = 0.6, x = 2.0",
    "replace_with_reuse": "share = 0.3",
    "replace_with_reuse-drain": 'share = 0.3, how = "drain"',
    "replace_with_reuse-dark": 'share = 0.3, how = "dark"',
    "reset_conns": "share = 0.5, x = 0.6",
    "retry_abuse": "share = 0.4, x = 4.0",
    "revoke": 'count = 3, how = "last"',
    "roll_term": "share = 1.0, gap_s = 1.0",
    "roll_term-busy": 'share = 0.6, how = "busy"',
    "roll_term-remove": 'share = 0.3, how = "remove"',
    "scale_in": "share = 0.3",
    "scale_in-spot": 'share = 0.25, how = "spot"',
    "scale_out": "share = 0.4",
    "srv_crash": "share = 0.3",
    "srv_crash-dark": 'share = 0.3, how = "dark"',
    "srv_crash-gone": 'share = 0.2, how = "gone"',
    "srv_cut": "share = 0.3",
    "srv_cut-fronts": 'share = 0.3, how = "fronts"',
    "srv_cut-reborn": 'share = 0.3, how = "reborn"',
    "srv_grey": 'share = 0.3, how = "errors"',
    "srv_grey-shed": 'share = 0.3, how = "shed"',
    "srv_grey-mute": 'share = 0.3, how = "mute"',
    "srv_grey-hang": 'share = 0.3, how = "hang"',
    "srv_grey-reset": 'share = 0.3, how = "reset"',
    "srv_slow": "share = 0.3, x = 4.0",
    "zone_cut": 'how = "reset"',
    "zone_cut-drop": 'how = "drop meet"',
}
PLANNED = frozenset(
    (
        "big_config",
        "config_change",
        "config_storm",
        "hup",
        "release",
        "replace_with_reuse-drain",
        "revoke",
        "roll_term",
        "scale_in",
        "scale_out",
    )
)
_RESULT = re.compile(r"^(\S+) +\d+/\d+ +([\d.]+) +(-?[\d.]+) +([\d.]+)(.*)$")


def fault_line(name: str, at: float) -> str:
    """Return the line of one fault at a time in seconds."""
    kind = name.partition("-")[0]
    options = FAULTS[name]
    if "for_s" not in options:
        options += ", for_s = 5.0"
    return f'  {{ at = {at}, kind = "{kind}", {options} }},\n'


def day(name: str) -> str:
    """Return a day of one fault: alone, beside a stop, in an outage, twice."""
    lines_by_list = {"plan": "", "faults": ""}
    kind = name.partition("-")[0]
    own = "plan" if {name, kind} & PLANNED else "faults"
    for at in (2.0, 12.0, 22.0, 30.0, 31.0):
        lines_by_list[own] += fault_line(name, at)
    lines_by_list["plan"] += (
        '  { at = 11.5, kind = "roll_term", share = 0.4, gap_s = 1.0 },\n'
        '  { at = 31.5, kind = "config_change", how = "idle" },\n'
    )
    lines_by_list["faults"] += (
        '  { at = 21.0, kind = "platform_down", for_s = 4.0, '
        'how = "silent lapse" },\n'
    )
    lists = "".join(
        f"{key} = [\n{lines}]\n" for key, lines in lines_by_list.items()
    )
    seed = sum(name.encode()) * 7919
    return (
        f'name = "{name}"\nslot = "trouble"\nseed = {seed}\n'
        f"length_s = 40.0\none = 0.9\nzero = 0.4\n"
        f"goal = {{ floor = 0.3 }}\n{lists}"
    )


def play(bench: str, site: str, name: str, folder: str) -> str:
    """Play one day; return its row of the table."""
    path = pathlib.Path(folder) / f"{name}.toml"
    path.write_text(day(name), encoding="utf-8")
    done = subprocess.run(
        [bench, "run", site, str(path), "--why", f"own day of {name}"],
        capture_output=True,
        text=True,
        check=False,
    )
    output = done.stdout + done.stderr
    (pathlib.Path(folder) / f"{name}.txt").write_text(output, encoding="utf-8")
    for line in output.splitlines():
        match = _RESULT.match(line)
        if match and match[1] in (name, path.stem):
            broken = re.search(r"BROKEN.*", match[5])
            served, worth = match[4], match[3]
            rules = broken[0] if broken else "kept"
            return f"{name:26} {rules:40} worth {worth}  served {served}"
    last = output.strip().splitlines()[-1:] or ["no output"]
    return f"{name:26} not played: {last[0][:120]}"


def main(arguments: list[str]) -> int:
    """Play the days of the given kinds, or of all."""
    bench, site = os.environ["FLEETBENCH"], arguments[0]
    folder = os.environ.get("DAYS_FOLDER") or tempfile.mkdtemp()
    names = arguments[1:] or sorted(FAULTS)
    jobs = int(os.environ.get("JOBS", "4"))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        rows = pool.map(lambda name: play(bench, site, name, folder), names)
        bad = 0
        for row in rows:
            bad += " kept " not in row
            print(row, flush=True)
    print(f"{len(names)} days, {bad} with a broken rule; logs in {folder}")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
