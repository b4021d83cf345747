"""Set of named faults, as `POST /faults` of each stand-in sets them."""

from __future__ import annotations

import copy
from typing import Any

_RESET = "reset"


class Faults:
    """Values by name; a name keeps the type of its default value."""

    def __init__(self, defaults: dict[str, Any]) -> None:
        self._defaults = defaults
        self._values = copy.deepcopy(defaults)

    def __getitem__(self, name: str) -> Any:
        return self._values[name]

    def update(self, changes: dict[str, Any]) -> None:
        """Sets the given faults; `{"reset": true}` first resets all.

        Raises:
            ValueError: A name is unknown or a value has the wrong type; then
                nothing was changed.
        """
        changes = dict(changes)
        reset = changes.pop(_RESET, False)
        if reset not in (True, False):
            raise ValueError("The fault reset is not a boolean.")
        for name, value in changes.items():
            self._check(name, value)
        if reset:
            self._values = copy.deepcopy(self._defaults)
        self._values.update(changes)

    def take(self, name: str) -> bool:
        """Counts a fault down; returns whether it was above zero."""
        if self._values[name] <= 0:
            return False
        self._values[name] -= 1
        return True

    def values(self) -> dict[str, Any]:
        """Returns a copy of all values."""
        return copy.deepcopy(self._values)

    def _check(self, name: str, value: Any) -> None:
        if name not in self._defaults:
            known = ", ".join(sorted(self._defaults))
            raise ValueError(f"The fault {name} is unknown; known: {known}.")
        wanted = type(self._defaults[name])
        if wanted is float and type(value) is int:
            return
        if type(value) is not wanted:
            raise ValueError(
                f"The fault {name} is {value!r}, but it takes a value of type "
                f"{wanted.__name__}."
            )
