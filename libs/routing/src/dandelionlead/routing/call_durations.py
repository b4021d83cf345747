"""Statistics of the durations of calls."""

from __future__ import annotations

import math

# Shortest duration that is told apart from shorter ones.
_MIN_DURATION_S = 0.001


class LogDurations:
    """Statistics of the logarithms of durations in seconds.

    The logarithm makes the statistics independent of how long the calls of a
    service take, and of single calls that take very long.

    Attributes:
        count: Number of durations.
        total: Sum of the natural logarithms.
        square_total: Sum of the squares of the natural logarithms.
    """

    __slots__ = ("count", "total", "square_total")

    def __init__(
        self, count: int = 0, total: float = 0.0, square_total: float = 0.0
    ) -> None:
        self.count = count
        self.total = total
        self.square_total = square_total

    def record(self, duration_s: float) -> None:
        """Adds a duration in seconds."""
        logarithm = math.log(max(_MIN_DURATION_S, duration_s))
        self.add(LogDurations(1, logarithm, logarithm**2))

    def add(self, other: LogDurations) -> None:
        """Adds the durations of another object."""
        self.count += other.count
        self.total += other.total
        self.square_total += other.square_total

    def compute_mean(self) -> float:
        """Returns the mean logarithm; `count` must not be 0."""
        return self.total / self.count

    def compute_square_deviation(self) -> float:
        """Returns the sum of the squared deviations from the mean."""
        return max(0.0, self.square_total - self.total * self.compute_mean())
