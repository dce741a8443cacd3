"""What an upstream says of itself in the head of an answer."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamNotice:
    """All that one answer says of the upstream that made it.

    Parameters
    ----------
    requests_per_second
        Most requests a second that it takes from all entry VMs together; None
        where it names no limit.
    leaving
        Whether it takes no more work soon.
    rest_seconds
        Time for which it wants nothing more from this entry VM; None where it
        asks for no rest.
    unreadable
        Header fields that make no sense, as they were written.
    """

    requests_per_second: float | None = None
    leaving: bool = False
    rest_seconds: float | None = None
    unreadable: tuple[str, ...] = ()


NO_NOTICE = UpstreamNotice()
