"""What answers showed about the speed and the load of an upstream."""

import dataclasses

from lagoonrun_core import types


@dataclasses.dataclass(frozen=True, kw_only=True)
class SpeedObservation:
    """What one or several answers of an upstream showed.

    Parameters
    ----------
    upstream, start
        The upstream, and the start number of its process.
    tokens_per_second
        Geometric mean of the prefill speeds of `samples`, corrected for
        slowness; None without one.
    samples
        Number of measurements in the means; 0 if there are only reports.
    slowness, running, waiting
        Of the newest load report; None if it has not stated them.
    service_seconds
        Geometric mean of the service times of a plain service, corrected for
        slowness; None without one.
    age_seconds
        Age of the newest load report, or of the newest measurement if there is
        no report.
    """

    upstream: types.UpstreamId
    start: types.UpstreamStart
    tokens_per_second: float | None = None
    samples: int = 0
    slowness: float | None = None
    running: int | None = None
    waiting: int | None = None
    service_seconds: float | None = None
    age_seconds: float = 0.0
