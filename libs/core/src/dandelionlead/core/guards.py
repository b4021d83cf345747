"""Keeps endless loops running when one of their turns fails unexpectedly.

An exception that no code expected costs one turn of a loop. It is counted, and
logged with the place where it was raised.
"""

from __future__ import annotations

import contextlib
import traceback
from collections.abc import Callable
from collections.abc import Iterator

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import events
from dandelionlead.core import metrics

# Shortest time between two log lines about the same kind of exception.
LOG_INTERVAL_S = 1.0
# Pause before a loop that ended with an exception is started again.
RESTART_PAUSE_S = 0.1
# Metric that counts the exceptions, by name of the loop.
ERRORS_METRIC = "loop_errors_total"


class LoopGuard:
    """Catches, counts and logs the unexpected exceptions of loops.

    Args:
        log: Receives a line for each kind of exception, at most one within
            `LOG_INTERVAL_S`.
        metrics_registry: Counts the exceptions.
    """

    def __init__(
        self, log: events.Log, metrics_registry: metrics.Registry
    ) -> None:
        self._log = log
        self._metrics_registry = metrics_registry
        # Times of the last log lines, by name of the loop and kind.
        self._logged_s: dict[tuple[str, str], float] = {}

    def run(self, name: str, loop: Callable[[], None]) -> None:
        """Runs a loop, and starts it again if it ends with an exception."""
        while True:
            with self.turn(name):
                loop()
                return
            eventlet.sleep(RESTART_PAUSE_S)

    @contextlib.contextmanager
    def turn(self, name: str) -> Iterator[None]:
        """Returns a context that an unexpected exception ends quietly.

        Timeouts and the end of the green thread pass, since they are no
        subclasses of `Exception`.

        Args:
            name: Name of the loop, for log and metric.
        """
        try:
            yield
        except Exception as exc:  # noqa: BLE001
            self._record(name, exc)

    def _record(self, name: str, exc: Exception) -> None:
        self._metrics_registry.count(ERRORS_METRIC, loop=name)
        kind = type(exc).__name__
        now_s = clock.boottime()
        last_s = self._logged_s.get((name, kind), float("-inf"))
        if now_s - last_s < LOG_INTERVAL_S:
            return
        self._logged_s[name, kind] = now_s
        frame = traceback.extract_tb(exc.__traceback__)[-1]
        self._log.event(
            "loop_error",
            loop=name,
            kind=kind,
            reason=str(exc)[:200],
            place=f"{frame.filename.rpartition('/')[2]}:{frame.lineno}",
        )
