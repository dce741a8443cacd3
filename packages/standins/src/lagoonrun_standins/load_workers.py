"""Load from several processes, for rates that one process cannot sustain.

A worker is `python -m lagoonrun_standins.load_workers`: it reads a pickled
job from standard input and writes the pickled results to standard output.
"""

import asyncio
import dataclasses
import pickle
import sys
from collections.abc import Sequence

from lagoonrun_config import settings
from lagoonrun_core import clock as clock_lib
from lagoonrun_standins import load, load_summary, traffic


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Job:
    """The arrivals that one worker sends, and how.

    Parameters
    ----------
    start_at
        Reading of the monotonic clock at which the arrivals start. All
        processes of a machine share this clock.
    """

    addresses: tuple[settings.Address, ...]
    retry_mode: load.RetryMode
    arrivals: tuple[traffic.Arrival, ...]
    start_at: float


class WorkerError(RuntimeError):
    """A worker exited without results."""


async def run(
    arrivals: Sequence[traffic.Arrival],
    *,
    addresses: Sequence[settings.Address],
    worker_count: int,
    retry_mode: load.RetryMode = load.RetryMode.NEVER,
    start_delay_seconds: float = 1.0,
) -> list[load_summary.Result]:
    """Send the arrivals from several processes, each sending every n-th one.

    Parameters
    ----------
    start_delay_seconds
        Time for the workers to start; a later start counts as send lag.

    Raises
    ------
    WorkerError
        If a worker exits without results; all workers have exited by then.
    """
    start_at = clock_lib.SystemClock().monotonic() + start_delay_seconds
    jobs = [
        _Job(
            addresses=tuple(addresses),
            retry_mode=retry_mode,
            arrivals=tuple(arrivals[number::worker_count]),
            start_at=start_at,
        )
        for number in range(worker_count)
    ]
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(_run_worker(job)) for job in jobs]
    return [result for task in tasks for result in task.result()]


async def _run_worker(job: _Job) -> list[load_summary.Result]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "lagoonrun_standins.load_workers",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        output, _ = await process.communicate(pickle.dumps(job))
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode:
        raise WorkerError(
            f"a load worker exited with code {process.returncode}"
        )
    return pickle.loads(output)


async def _run_job(job: _Job) -> list[load_summary.Result]:
    generator = load.LoadGenerator(
        addresses=job.addresses, retry_mode=job.retry_mode
    )
    try:
        return await generator.run(job.arrivals, start_at=job.start_at)
    finally:
        await generator.close()


def main() -> None:
    """Run the job on standard input; write its results to standard output."""
    job = pickle.load(sys.stdin.buffer)
    results = asyncio.run(_run_job(job))
    pickle.dump(results, sys.stdout.buffer)


if __name__ == "__main__":
    main()
