"""Head of the configuration: which parts are in force, as the row holds it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from dandelionlead.core import errors

TABLE = "config"
KEY = "head"
# Row with the head's version only, written in the same transaction. Processes
# read this row each second: the head of 10,000 teams has 8 KB, which would be
# half of a node's 17 KB/s for control.
VERSION_KEY = "version"

# An `apply` whose answer was lost finds its id here although others have
# followed. Each id adds 19 bytes to a row that all processes read each second.
HISTORY_LENGTH = 16


class Head:
    """One accepted version of the configuration.

    Attributes:
        version: Number of the version, from 1; rises by one.
        apply_id: Identifies the `apply` that wrote it.
        parts: Digest of each part by its name.
        history: Apply ids of the versions before it, the newest first.
    """

    __slots__ = ("version", "apply_id", "parts", "history")

    def __init__(
        self,
        version: int,
        apply_id: str,
        parts: Mapping[str, str],
        history: tuple[str, ...] = (),
    ) -> None:
        self.version = version
        self.apply_id = apply_id
        self.parts = dict(parts)
        self.history = history

    def __repr__(self) -> str:
        return f"Head(version={self.version}, apply_id={self.apply_id})"

    def to_plain(self) -> dict[str, Any]:
        """Returns the value of the row."""
        return {
            "version": self.version,
            "apply_id": self.apply_id,
            "parts": self.parts,
            "history": list(self.history),
        }

    def version_row(self) -> dict[str, int]:
        """Returns the value of the row with the version only."""
        return {"version": self.version}

    def winner_of(self, version: int) -> str | None:
        """Returns the apply id of a version; None if it is not known here."""
        if version == self.version:
            return self.apply_id
        index = self.version - version - 1
        if 0 <= index < len(self.history):
            return self.history[index]
        return None

    def version_of(self, apply_id: str) -> int | None:
        """Returns the version of an apply id; None if it is not known here."""
        if apply_id == self.apply_id:
            return self.version
        if apply_id in self.history:
            return self.version - 1 - self.history.index(apply_id)
        return None


# Stands for the absent row before the first `apply`.
NONE_YET = Head(0, "", {})


def from_plain(value: Mapping[str, Any] | None) -> Head | errors.Failure:
    """Returns the head that a row's value holds; `NONE_YET` without a row.

    Returns:
        The head, or a failure of kind `bad_config`.
    """
    if value is None:
        return NONE_YET
    try:
        version = value["version"]
        parts = {str(name): str(dig) for name, dig in value["parts"].items()}
        history = tuple(str(item) for item in value.get("history", ()))
        head = Head(version, str(value["apply_id"]), parts, history)
    except (AttributeError, KeyError, TypeError) as exc:
        return _failure(f"the configuration head has another format: {exc}")
    if not isinstance(version, int) or version < 1:
        return _failure(f"the configuration head has version {version!r}")
    return head


def version_from_plain(value: Mapping[str, Any] | None) -> int:
    """Returns the version of a version row's value; 0 without a row."""
    version = value.get("version") if value else 0
    return version if isinstance(version, int) else 0


def follow(base: Head, apply_id: str, parts: Mapping[str, str]) -> Head:
    """Returns the head that comes after `base`."""
    history = (base.apply_id, *base.history) if base.version else ()
    return Head(base.version + 1, apply_id, parts, history[:HISTORY_LENGTH])


def _failure(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.BAD_CONFIG, reason)
