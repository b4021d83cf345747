"""Orders to an engine: versions, models, adapters, role; with fencing."""

from __future__ import annotations

from typing import Any


class OldFence:
    """The order has an older fencing number than one that was followed."""

    __slots__ = ("newest",)

    def __init__(self, newest: int) -> None:
        self.newest = newest


class Control:
    """State that orders change.

    Attributes:
        version: Version that new generations run on.
        role: Role of the engine.
        models: Loaded models.
        adapters: Loaded adapters.
        orders: Orders that were followed, the oldest first.
    """

    def __init__(self, *, version: str, role: str, checks_fence: bool) -> None:
        self.version = version
        self.role = role
        self.models: list[str] = []
        self.adapters: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self._checks_fence = checks_fence
        self._newest_fence = 0
        self._kinds = {
            "load": self._load,
            "adapter": self._adapter,
            "version": self._set_version,
            "role": self._set_role,
        }

    def check(self, order: dict[str, Any]) -> OldFence | None:
        """Returns `OldFence` if the order has to be refused.

        Raises:
            ValueError: The order is malformed.
        """
        if order.get("order") not in self._kinds:
            kinds = ", ".join(self._kinds)
            raise ValueError(f"The order is not one of {kinds}.")
        if not isinstance(order.get("name"), str) or not order["name"]:
            raise ValueError("The order has no name.")
        if type(order.get("fence")) is not int:
            raise ValueError("The order's fence is not a whole number.")
        if self._checks_fence and order["fence"] < self._newest_fence:
            return OldFence(self._newest_fence)
        return None

    def follow(self, order: dict[str, Any]) -> OldFence | None:
        """Follows an order.

        Raises:
            ValueError: The order is malformed.
        """
        refused = self.check(order)
        if refused is not None:
            return refused
        self._newest_fence = max(self._newest_fence, order["fence"])
        self._kinds[order["order"]](order["name"])
        fields = ("order", "name", "fence")
        self.orders.append({field: order[field] for field in fields})
        return None

    def state(self) -> dict[str, Any]:
        """Returns the state that orders change."""
        return {
            "version": self.version,
            "role": self.role,
            "models": list(self.models),
            "adapters": list(self.adapters),
        }

    def _load(self, name: str) -> None:
        if name not in self.models:
            self.models.append(name)

    def _adapter(self, name: str) -> None:
        if name not in self.adapters:
            self.adapters.append(name)

    def _set_version(self, name: str) -> None:
        self.version = name

    def _set_role(self, name: str) -> None:
        self.role = name
