"""Errors with the step and the peer at which they occurred."""

import enum


class Step(enum.Enum):
    """Step of the processing at which an error occurred."""

    SETTINGS = "settings"
    DECLARATION = "declaration"
    CALLER_READ = "caller-read"
    CALLER_WRITE = "caller-write"
    AUTHENTICATE = "authenticate"
    RESOLVE_SERVICE = "resolve-service"
    PERMIT = "permit"
    CLAIM = "claim"
    UPSTREAM_CONNECT = "upstream-connect"
    UPSTREAM_WRITE = "upstream-write"
    UPSTREAM_READ = "upstream-read"
    PLATFORM_CALL = "platform-call"
    PEER_CONNECT = "peer-connect"
    PEER_FRAME = "peer-frame"
    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"
    ORDER = "order"
    EXPLAIN = "explain"


class LagoonrunError(Exception):
    """Base class of the errors that lagoonrun raises.

    Parameters
    ----------
    step
        Step that failed.
    peer
        Name or address of the peer; empty if there is none.
    detail
        Description with the invalid value and what would be valid.
    """

    def __init__(self, *, step: Step, peer: str = "", detail: str) -> None:
        self.step = step
        self.peer = peer
        self.detail = detail
        where = f"{step.value} with {peer}" if peer else step.value
        super().__init__(f"{where}: {detail}")


UNREADABLE_RECORD = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What reading a JSON record raises if somebody else wrote its value."""
