"""What an upstream states about itself in the head of an answer."""

import dataclasses

from lagoonrun_router import load_report


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamNotice:
    """The statements of one answer about the upstream that sent it.

    Parameters
    ----------
    requests_per_second
        Rate limit of the upstream for all entry VMs together; None if it
        states no limit.
    leaving
        Whether it is about to shut down and accepts no new requests soon.
    rest_seconds
        Back-off that it asks this entry VM for; None for none.
    load
        Its load; None if it states none.
    refusals_per_second
        Refusals a second above which it crashes; None if it states none.
    refused
        Whether it has refused the request for lack of room.
    unreadable
        Header fields that can't be parsed, as they were received.
    """

    requests_per_second: float | None = None
    leaving: bool = False
    rest_seconds: float | None = None
    load: load_report.LoadReport | None = None
    refusals_per_second: float | None = None
    refused: bool = False
    unreadable: tuple[str, ...] = ()


NO_NOTICE = UpstreamNotice()
