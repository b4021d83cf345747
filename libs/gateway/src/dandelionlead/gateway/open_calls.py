"""Holds the calls of one process that were accepted and have not ended."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from dandelionlead.core import events
from dandelionlead.gateway import call_progress


class OpenCalls:
    """The calls that a process still owes an answer.

    Args:
        log: Receives one line for each open call when the process stops.
    """

    def __init__(self, log: events.Log) -> None:
        self._log = log
        self._calls: set[call_progress.CallProgress] = set()

    def __len__(self) -> int:
        return len(self._calls)

    @contextlib.contextmanager
    def track(self, progress: call_progress.CallProgress) -> Iterator[None]:
        """Holds a call while the `with` block runs, which serves the call."""
        self._calls.add(progress)
        try:
            yield
        finally:
            progress.end()
            self._calls.discard(progress)

    def log_all(self, event: str) -> None:
        """Writes one log line for each open call.

        Args:
            event: Name of the event, such as `open_at_stop`.
        """
        for progress in self._calls:
            self._log.event(event, **progress.to_log_fields())
