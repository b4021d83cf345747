"""Holds the calls of one process that were accepted and have not ended."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import eventlet
import eventlet.hubs

from dandelionlead.core import events
from dandelionlead.gateway import call_progress

_UNANSWERED_PHASES = (call_progress.Phase.WAITING, call_progress.Phase.SENT)


class ProcessStoppingError(Exception):
    """Raised in the greenlet of an unanswered call when its process ends."""


class OpenCalls:
    """The calls that a process still owes an answer.

    Args:
        log: Receives one line for each open call when the process stops.
    """

    def __init__(self, log: events.Log) -> None:
        self._log = log
        # Greenlet that serves each call.
        self._calls: dict[
            call_progress.CallProgress, eventlet.greenthread.GreenThread
        ] = {}

    @contextlib.contextmanager
    def track(self, progress: call_progress.CallProgress) -> Iterator[None]:
        """Holds a call while the `with` block runs, which serves the call.

        Raises:
            ProcessStoppingError: `interrupt_unanswered` was called.
        """
        self._calls[progress] = eventlet.getcurrent()
        try:
            yield
        finally:
            progress.end()
            del self._calls[progress]

    def interrupt_unanswered(self) -> None:
        """Raises `ProcessStoppingError` in each call without a response.

        The code that serves the call can still send a response then.
        """
        hub = eventlet.hubs.get_hub()
        for progress in self._calls:
            hub.schedule_call_global(0, self._interrupt, progress)

    def _interrupt(self, progress: call_progress.CallProgress) -> None:
        greenlet = self._calls.get(progress)
        if greenlet is not None and progress.phase in _UNANSWERED_PHASES:
            greenlet.throw(ProcessStoppingError("the process is ending"))

    def log_all(self, event: str) -> None:
        """Writes one log line for each open call.

        Args:
            event: Name of the event, such as `open_at_stop`.
        """
        for progress in self._calls:
            self._log.event(event, **progress.to_log_fields())
