"""Runs green threads in simulated time, which passes only while all wait.

A test that uses this module needs a process of its own, since the event loop of
the process is replaced.
"""

from __future__ import annotations

from unittest import mock

import eventlet.hubs
import eventlet.hubs.hub

from dandelionlead.core import clock


class VirtualHub(eventlet.hubs.hub.BaseHub):
    """Event loop without I/O, whose clock jumps to the next timer."""

    def __init__(self) -> None:
        self.now_s = 1_000.0
        super().__init__(lambda: self.now_s)

    @classmethod
    def is_available(cls) -> bool:
        return True

    def wait(self, seconds: float | None = None) -> None:
        """Lets time pass instead of waiting for I/O."""
        self.now_s += seconds or 0.0


def install() -> VirtualHub:
    """Replaces the event loop and the clock of this process."""
    eventlet.hubs.use_hub(VirtualHub)
    hub = eventlet.hubs.get_hub()
    mock.patch.object(clock, "boottime", lambda: hub.now_s).start()
    return hub
