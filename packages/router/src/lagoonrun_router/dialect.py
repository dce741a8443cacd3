"""What a platform's manner of speaking must tell, as `Protocol` types.

The router decides; an adapter reads and writes the names on the wire.
"""

from typing import Protocol

from lagoonrun_http import messages as http_messages
from lagoonrun_router import call as calls
from lagoonrun_router import declarations, upstream_notice, upstreams


class Dialect(Protocol):
    """Requests and answers as callers and upstreams write them."""

    def read_attributes(
        self, head: http_messages.RequestHead
    ) -> calls.CallAttributes:
        """Return what a caller says; raises `FormatError`."""

    def upstream_head(
        self,
        call: calls.Call,
        *,
        upstream: upstreams.Registration,
        remaining_seconds: float,
        resume_after: str,
        urgency: int,
    ) -> http_messages.RequestHead:
        """Return the head with which a call goes to `upstream`.

        Parameters
        ----------
        remaining_seconds
            Time that is left to the caller; the upstream stops work then.
        resume_after
            Event after which a broken stream is to go on; empty for all.
        urgency
            Place in the order of service, 0 for the most urgent.
        """

    def says_not_run(self, head: http_messages.ResponseHead) -> bool:
        """Return whether the upstream promises that it ran nothing."""

    def is_misdirected(self, head: http_messages.ResponseHead) -> bool:
        """Return whether another process than the one meant has answered."""

    def is_genuine(self, head: http_messages.ResponseHead) -> bool:
        """Return whether an upstream, and not something else, made this."""

    def read_notice(
        self, head: http_messages.ResponseHead
    ) -> upstream_notice.UpstreamNotice:
        """Return what the upstream says of itself; never raises."""


class StoreLayout(Protocol):
    """Where the store keeps what the router reads, and in which format."""

    declarations_key: str
    """Key of the declarations in force."""

    upstreams_prefix: str
    """Keys of the upstreams begin so."""

    entry_vms_prefix: str
    """Keys that entry VMs may write, one each, begin so."""

    blocked_requests_prefix: str
    """Keys that entry VMs may write, one for a blocked request, begin so."""

    def decode_declarations(self, value: bytes) -> declarations.Declarations:
        """Return the declarations in a value; raises `FormatError`."""

    def decode_upstream(self, key: str, value: bytes) -> upstreams.Registration:
        """Return the upstream in an entry; raises `FormatError`."""
