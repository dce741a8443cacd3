"""Interfaces of the adapter for a platform's wire and storage formats.

The router makes the decisions; the adapter reads and writes the names on the
wire and in the store.
"""

from typing import Protocol

from lagoonrun_http import messages as http_messages
from lagoonrun_router import call as calls
from lagoonrun_router import declarations, upstream_notice, upstreams


class Dialect(Protocol):
    """The format of requests and answers of callers and upstreams."""

    def read_attributes(
        self, head: http_messages.RequestHead
    ) -> calls.CallAttributes:
        """Return what a caller states of its request; raises `FormatError`."""

    def upstream_head(
        self,
        call: calls.Call,
        *,
        upstream: upstreams.Registration,
        remaining_seconds: float,
        resume_after: str,
        urgency: int,
    ) -> http_messages.RequestHead:
        """Return the request head with which a call is sent to `upstream`.

        Parameters
        ----------
        remaining_seconds
            Remaining time limit, after which the upstream stops the request.
        resume_after
            Id of the event after which a broken stream is resumed; empty for
            the whole stream.
        urgency
            Position in the order of service, 0 for the most urgent.
        """

    def says_not_run(self, head: http_messages.ResponseHead) -> bool:
        """Return whether the upstream states that the request did not run."""

    def is_misdirected(self, head: http_messages.ResponseHead) -> bool:
        """Return whether a process other than the intended one has answered."""

    def names_version(self, head: http_messages.RequestHead) -> bool:
        """Return whether a request is for upstreams of one version only.

        An upstream of another one answers it as a misdirected request.
        """

    def is_genuine(self, head: http_messages.ResponseHead) -> bool:
        """Return whether the answer carries the signature of an upstream."""

    def read_notice(
        self, head: http_messages.ResponseHead
    ) -> upstream_notice.UpstreamNotice:
        """Return what the upstream states about itself; never raises."""


class StoreLayout(Protocol):
    """Keys and value formats of what the router reads from the store."""

    declarations_key: str
    """Key of the active declarations."""

    upstreams_prefix: str
    """Prefix of the keys of upstreams."""

    entry_vms_prefix: str
    """Prefix of the keys of entry VMs; each writes its own."""

    blocked_requests_prefix: str
    """Prefix of the keys of blocked requests; entry VMs write one for each."""

    overrides_prefix: str
    """Prefix of the keys of operators' overrides."""

    def decode_declarations(self, value: bytes) -> declarations.Declarations:
        """Return the declarations in `value`; raises `FormatError`."""

    def decode_upstream(self, key: str, value: bytes) -> upstreams.Registration:
        """Return the upstream that an entry encodes; raises `FormatError`."""
