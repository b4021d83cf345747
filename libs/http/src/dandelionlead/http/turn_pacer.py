"""Keeps the parsing of large request bodies from occupying the event loop.

The greenlets of all connections share one loop. A body in very many small
chunks costs far more time for each byte than others, and its sender may never
pause.
"""

from __future__ import annotations

import eventlet

from dandelionlead.core import clock

# Share of the time of the loop that all paced turns together may take.
_MAX_SHARE = 0.5
# Shorter sleeps than this, in seconds, are saved up.
_MIN_SLEEP_S = 0.002


class TurnPacer:
    """Spaces the turns of all connections that are reading a body."""

    __slots__ = ("_free_s",)

    def __init__(self) -> None:
        # Instant from which a further turn keeps to the share, in seconds.
        self._free_s = 0.0

    def end_turn(self, started_s: float) -> None:
        """Lets other greenlets run after a turn of parsing.

        Args:
            started_s: Start of the turn, in seconds of `clock.boottime`.
        """
        now_s = clock.boottime()
        self._free_s = compute_free_s(self._free_s, started_s, now_s)
        sleep_s = self._free_s - now_s
        eventlet.sleep(sleep_s if sleep_s >= _MIN_SLEEP_S else 0)


def compute_free_s(free_s: float, started_s: float, now_s: float) -> float:
    """Returns the instant from which a further turn keeps to the share.

    Args:
        free_s: This instant before the turn, in seconds.
        started_s: Start of the turn, in seconds.
        now_s: End of the turn, in seconds.
    """
    return max(free_s, started_s) + (now_s - started_s) / _MAX_SHARE
