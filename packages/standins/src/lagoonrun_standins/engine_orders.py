"""Models and role of an engine, and the orders that change them."""

import asyncio
import dataclasses
import enum
from collections.abc import Iterable
from typing import Any


class OrderKind(enum.Enum):
    """Action that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class OldFencingNumberError(Exception):
    """The order's fencing number is lower than one seen before."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Order:
    """One order, as posted to `/orders`."""

    kind: OrderKind
    model: str
    role: str
    version: str
    fencing: int

    @classmethod
    def from_json(cls, body: Any) -> "Order":
        """Return the order that a JSON object describes.

        Raises
        ------
        ValueError
            If it is not of the form
            `{kind: load|unload|role, model, role, version, fencing}`.
        """
        if not isinstance(body, dict) or type(body.get("fencing")) is not int:
            raise ValueError(f"{body!r} holds no integer `fencing`")
        order = cls(
            kind=OrderKind(body.get("kind")),
            model=str(body.get("model", "")),
            role=str(body.get("role", "")),
            version=str(body.get("version", "")),
            fencing=body["fencing"],
        )
        if order.kind is OrderKind.ROLE and not order.role:
            raise ValueError("an order of kind 'role' needs `role`")
        if order.kind is not OrderKind.ROLE and not order.model:
            raise ValueError(f"an order of kind {body['kind']!r} needs `model`")
        return order


class EngineOrders:
    """Models and role of an engine, changed by orders.

    Parameters
    ----------
    models
        Models loaded at the start; if empty, any model is served.
    role
        Role at the start.
    checks_fencing
        Whether an order with an old fencing number is refused.
    load_seconds
        Time that a load order takes.
    """

    def __init__(
        self,
        *,
        models: Iterable[str] = (),
        role: str = "serve",
        checks_fencing: bool = True,
        load_seconds: float = 0.0,
    ) -> None:
        self.version_by_model = dict.fromkeys(models, "")
        self.role = role
        self.checks_fencing = checks_fencing
        self.fencing_seen = 0
        self.applied: list[Order] = []
        self.refused: list[Order] = []
        self._serves_any = not self.version_by_model
        self._load_seconds = load_seconds

    def loaded_models(self) -> tuple[str, ...] | None:
        """Return the loaded models; None if any model is served."""
        if self._serves_any:
            return None
        return tuple(sorted(self.version_by_model))

    def serves(self, model: str) -> bool:
        """Return whether requests for `model` are accepted."""
        return self._serves_any or model in self.version_by_model

    async def apply(self, order: Order) -> None:
        """Apply an order.

        Raises
        ------
        OldFencingNumberError
            If fencing numbers are checked and a higher one was seen, before
            the order or while it was being applied.
        """
        self._check(order)
        self.fencing_seen = max(self.fencing_seen, order.fencing)
        if order.kind is OrderKind.LOAD and self._load_seconds:
            await asyncio.sleep(self._load_seconds)
            self._check(order)
        self.applied.append(order)
        if order.kind is OrderKind.ROLE:
            self.role = order.role
            return
        self._serves_any = False
        if order.kind is OrderKind.LOAD:
            self.version_by_model[order.model] = order.version
            if order.role:
                self.role = order.role
        else:
            self.version_by_model.pop(order.model, None)

    def _check(self, order: Order) -> None:
        if self.checks_fencing and order.fencing < self.fencing_seen:
            self.refused.append(order)
            raise OldFencingNumberError(
                f"fencing number {order.fencing}; valid: at least"
                f" {self.fencing_seen}"
            )
