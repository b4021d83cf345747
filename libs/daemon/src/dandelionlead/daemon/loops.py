"""Loops and the end of a daemon."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

import eventlet
from eventlet import event

if TYPE_CHECKING:
    from dandelionlead.core import events

_RESTART_S = 1.0


def forever(name: str, loop: Callable[[], None], log: events.Log) -> None:
    """Runs a loop and starts it again when it fails.

    One bad message must not end a duty of the process.
    """
    while True:
        try:
            loop()
        except Exception as exc:
            log.event("loop_failed", loop=name, reason=repr(exc))
            eventlet.sleep(_RESTART_S)


class StopSignal:
    """Waits for SIGTERM or SIGINT."""

    def __init__(self) -> None:
        self._event = event.Event()

    def install(self) -> None:
        """Takes over the signals; called in the main thread."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    def wait(self) -> None:
        """Returns when one of the signals has come."""
        self._event.wait()

    def _on_signal(self, *_: object) -> None:
        # A signal handler runs between any two steps of a green thread, so
        # the event is sent from a thread of its own.
        eventlet.spawn_n(self._send)

    def _send(self) -> None:
        if not self._event.ready():
            self._event.send(None)
