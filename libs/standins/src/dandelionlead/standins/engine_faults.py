"""Faults that the engine stand-in shows, and whom they meet; no sockets."""

from __future__ import annotations

import enum
import random
from typing import Any

from dandelionlead.standins import faults

_FAULTS = {
    # Factor on the duration of steps, ...
    "slow_factor": 1.0,
    # ... while more than this number of generations run ...
    "slow_above_running": -1,
    # ... and the engine has this version; empty: any.
    "slow_version": "",
    # Share of requests that fail, ...
    "failure_share": 0.0,
    # ... by an answer 500 (`status`) or after the first half of the tokens
    # (`mid_stream`), ...
    "failure_kind": "status",
    # ... only for this X-Route (empty: any), ...
    "failure_route": "",
    # ... while more than this number of generations run ...
    "failure_above_running": -1,
    # ... and the engine has this version; empty: any.
    "failure_version": "",
    # What happens to the next streams at a position: `duplicate`, `skip`,
    # `cross` or `truncate`.
    "protocol": "",
    "protocol_position": 1,
    "protocol_count": 0,
    # The next streams go silent after so many tokens of their connection.
    "silent_after": 0,
    "silent_count": 0,
    # Shown in load reports; requests are still served.
    "draining": False,
    # Nothing is received or sent for this time; set once.
    "stall_s": 0.0,
    # Connections are refused for this time; set once.
    "refuse_s": 0.0,
    # The engine is cold for this time; set once.
    "turn_cold_s": 0.0,
    # Whether turning cold shows a new X-Engine-Start.
    "turn_cold_new_start": True,
    # The process exits after this time; set once.
    "exit_after_s": 0.0,
}
_PROTOCOL_KINDS = ("", "duplicate", "skip", "cross", "truncate")
_FAILURE_KINDS = ("status", "mid_stream")


class Doom(enum.Enum):
    """How a request fails."""

    NONE = "none"
    STATUS = "status"
    MID_STREAM = "mid_stream"


class Script:
    """Faults of one connection.

    Attributes:
        protocol: Kind of the protocol fault; empty for none.
        position: Position of the protocol fault.
        silent_after: Tokens after which nothing more is sent; None for never.
        fails_at: Position that is not sent because the engine fails; 0 for
            none.
    """

    __slots__ = ("protocol", "position", "silent_after", "fails_at")

    def __init__(
        self,
        *,
        protocol: str = "",
        position: int = 0,
        silent_after: int | None = None,
        fails_at: int = 0,
    ) -> None:
        self.protocol = protocol
        self.position = position
        self.silent_after = silent_after
        self.fails_at = fails_at

    @property
    def empty(self) -> bool:
        """Whether the connection shows no fault."""
        return (
            not self.protocol
            and self.silent_after is None
            and not self.fails_at
        )


class EngineFaults:
    """Active faults of one engine."""

    def __init__(self, seed: int) -> None:
        self.active = faults.Faults(_FAULTS)
        self._random = random.Random(seed)

    def update(self, changes: dict[str, Any]) -> None:
        """Sets the given faults.

        Raises:
            ValueError: A fault is unknown or a value is wrong.
        """
        _check_choice(changes, "protocol", _PROTOCOL_KINDS)
        _check_choice(changes, "failure_kind", _FAILURE_KINDS)
        self.active.update(changes)

    def take_once(self, name: str) -> float:
        """Returns the seconds of a fault that is set once, and clears it."""
        seconds = self.active[name]
        if seconds > 0:
            self.active.update({name: 0.0})
        return seconds

    def slow_factor(self, *, running: int, version: str) -> float:
        """Returns the factor on the duration of the next step."""
        if not _matches(self.active["slow_version"], version):
            return 1.0
        if running <= self.active["slow_above_running"]:
            return 1.0
        return self.active["slow_factor"]

    def doom(self, *, route: str, running: int, version: str) -> Doom:
        """Draws whether and how a request fails."""
        if not _matches(self.active["failure_route"], route):
            return Doom.NONE
        if not _matches(self.active["failure_version"], version):
            return Doom.NONE
        if running <= self.active["failure_above_running"]:
            return Doom.NONE
        if self._random.random() >= self.active["failure_share"]:
            return Doom.NONE
        return Doom(self.active["failure_kind"])

    def script(
        self, *, silent_after: int | None = None, fails_at: int = 0
    ) -> Script:
        """Takes the faults of the next connection.

        Args:
            silent_after: Silence that the request itself asks for.
            fails_at: Position at which the engine fails; 0 for none.
        """
        if self.active.take("silent_count"):
            silent_after = self.active["silent_after"]
        script = Script(silent_after=silent_after, fails_at=fails_at)
        if self.active["protocol"] and self.active.take("protocol_count"):
            script.protocol = self.active["protocol"]
            script.position = self.active["protocol_position"]
        return script


def _matches(wanted: str, actual: str) -> bool:
    return not wanted or wanted == actual


def _check_choice(
    changes: dict[str, Any], name: str, choices: tuple[str, ...]
) -> None:
    if name in changes and changes[name] not in choices:
        raise ValueError(f"The fault {name} is not one of {choices}.")
