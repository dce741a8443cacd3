"""One request of a caller during its execution at the ingress."""

import dataclasses

from lagoonrun_claims import claim
from lagoonrun_config import model
from lagoonrun_core import types
from lagoonrun_daemon import resolution
from lagoonrun_http import messages as http_messages
from lagoonrun_http import server as http_server

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Call:
    """A resolved request and its deadlines.

    Parameters
    ----------
    arrived_at, target_at, limit_at
        Readings of the monotonic clock.
    idempotency_key
        Sent by the caller; None if it sent none.
    """

    request_id: types.RequestId
    exchange: http_server.Exchange
    body: bytes
    resolved: resolution.Resolved
    configuration: model.Configuration
    arrived_at: float
    target_at: float
    limit_at: float
    idempotency_key: str | None

    @property
    def head(self) -> http_messages.RequestHead:
        """The caller's request line and headers."""
        return self.exchange.head

    @property
    def idempotent(self) -> bool:
        """Whether the call may be sent more than once."""
        return self.resolved.profile.idempotent


def is_valid_key(key: str) -> bool:
    """Return whether a caller's idempotency key can be claimed."""
    return 0 < len(key.encode()) <= claim.MAXIMUM_KEY_BYTES
