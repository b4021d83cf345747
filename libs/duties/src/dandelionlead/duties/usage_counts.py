"""Counts the runs that began in each time window, by team, in one process."""

from __future__ import annotations

import collections

# Number of windows that are kept.
_MAX_WINDOWS = 8


class UsageCounts:
    """Counts of begun runs.

    Args:
        window_s: Length of a window in seconds. Window k begins k times this
            length after the Unix epoch.
    """

    __slots__ = ("window_s", "_windows")

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._windows: dict[int, collections.Counter[str]] = {}

    def compute_window(self, unix_s: float) -> int:
        """Returns the number of the window that an instant belongs to."""
        return int(unix_s // self.window_s)

    def record(self, team: str, unix_s: float) -> None:
        """Counts a run.

        Args:
            team: Name of the team.
            unix_s: Start of the run, in Unix seconds.
        """
        window = self.compute_window(unix_s)
        if window not in self._windows:
            self._windows[window] = collections.Counter()
            while len(self._windows) > _MAX_WINDOWS:
                del self._windows[min(self._windows)]
        self._windows[window][team] += 1

    def get(self, window: int) -> dict[str, int]:
        """Returns the counts of a window by name of the team."""
        return dict(self._windows.get(window, ()))
