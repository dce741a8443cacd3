"""What upstreams are asked and told, behind a `Protocol`."""

import dataclasses
import enum
from collections.abc import Callable, Mapping
from typing import Protocol

from lagoonrun_config import model
from lagoonrun_core import types


class OrderKind(enum.Enum):
    """What an order asks for; the value is that of the wire."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """One change of one upstream. Orders are idempotent.

    Parameters
    ----------
    model, version
        Subject of a load or unload; empty for a change of role.
    role
        Role that the upstream is to have.
    """

    upstream: types.UpstreamId
    kind: OrderKind
    model: str = ""
    version: str = ""
    role: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamState:
    """What an upstream says of itself.

    Parameters
    ----------
    version_by_model
        Loaded models and adapters.
    """

    version_by_model: Mapping[str, str]
    role: str
    leaving: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class StateUnknown:
    """The upstream did not say what state it is in."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Done:
    """The upstream carried the order out."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefusedOldFencing:
    """The upstream has seen a higher fencing number; nothing changed."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderUnknown:
    """Sent without a usable answer: only the upstream's state tells."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte of the order left."""

    detail: str


OrderResult = Done | RefusedOldFencing | OrderUnknown | NotSent
StateResult = UpstreamState | StateUnknown


class UpstreamOrders(Protocol):
    """Reads states of upstreams and sends orders. No method raises."""

    async def state(self, upstream: model.Upstream) -> StateResult:
        """Read one upstream's state."""

    async def send(
        self,
        upstream: model.Upstream,
        order: Order,
        *,
        fencing: types.FencingNumber,
        timeout_seconds: float,
        may_send: Callable[[], bool],
    ) -> OrderResult:
        """Send one order.

        Parameters
        ----------
        timeout_seconds
            After it from the first byte the connection is closed.
        may_send
            Asked on an open connection right before the first byte, without
            an await in between; when it says no, the result is `NotSent`.
        """
