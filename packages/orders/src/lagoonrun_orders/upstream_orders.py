"""Orders to upstreams and states of upstreams, as a `Protocol`."""

import dataclasses
import enum
from collections.abc import Callable, Mapping
from typing import Protocol

from lagoonrun_config import model
from lagoonrun_core import types


class OrderKind(enum.Enum):
    """What an order asks for; the value is that on the wire."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """One change of one upstream. Orders are idempotent.

    Parameters
    ----------
    model, version
        What is loaded or unloaded; empty for a change of role.
    role
        Desired role of the upstream.
    """

    upstream: types.UpstreamId
    kind: OrderKind
    model: str = ""
    version: str = ""
    role: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UpstreamState:
    """State that an upstream reports.

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
    """The upstream did not report a readable state."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Done:
    """The upstream executed the order."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RefusedOldFencing:
    """The upstream has seen a higher fencing number; nothing changed."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class OrderUnknown:
    """Sent without a usable response: only the upstream's state tells."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotSent:
    """No byte of the order was sent."""

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
            Time from the first byte after which the connection is closed.
        may_send
            Called on an open connection right before the first byte, without an
            await in between; if it returns False, the result is `NotSent`.
        """
