"""Compares the calls to a new version with those to the old one."""

from __future__ import annotations

import math

from dandelionlead.routing import call_durations
from dandelionlead.routing import rollout_counts

# A version is bad if it has at least this many failures and its failure share
# exceeds that of the old version times the factor plus the margin.
_MIN_FAILURES = 3
_FAILURE_FACTOR = 2.0
_FAILURE_SHARE_MARGIN = 0.08
# A version is slow if at least `_MIN_TIMED_CALLS` of its calls ended and their
# mean duration exceeds that of the old version times the factor plus the
# margin.
_SLOW_FACTOR = 2.5
_MIN_TIMED_CALLS = 8
_SLOW_MARGIN_S = 0.05
# A version is also slow if the geometric mean duration of its successful calls
# exceeds that of the old version by this factor, and if the difference of the
# mean logarithms exceeds its standard error by a second factor. Calls are
# compared with those of the same route. The second factor is lower when the
# verdict is due, since the counts are compared once then.
_SLOW_GEOMETRIC_FACTOR = 1.4
_MIN_STANDARD_ERRORS = 3.0
_MIN_STANDARD_ERRORS_WHEN_DUE = 2.0


def is_failing(
    new: rollout_counts.CallCounts, old: rollout_counts.CallCounts
) -> bool:
    """Whether the failure share of the new version is too high."""
    limit = (
        _FAILURE_FACTOR * old.compute_failure_share() + _FAILURE_SHARE_MARGIN
    )
    return (
        new.failure_count >= _MIN_FAILURES
        and new.compute_failure_share() > limit
    )


def is_slow(
    new: rollout_counts.CallCounts,
    old: rollout_counts.CallCounts,
    *,
    is_due: bool,
) -> bool:
    """Whether the calls to the new version take too long.

    Args:
        new: Counts of the new version.
        old: Counts of the old version.
        is_due: Whether the verdict is due.
    """
    if new.ended_count >= _MIN_TIMED_CALLS and old.ended_count:
        limit_s = _SLOW_FACTOR * old.compute_mean_s() + _SLOW_MARGIN_S
        if new.compute_mean_s() > limit_s:
            return True
    comparison = _RouteComparison(new.durations, old.durations)
    if min(comparison.new_count, comparison.old_count) < _MIN_TIMED_CALLS:
        return False
    min_errors = (
        _MIN_STANDARD_ERRORS_WHEN_DUE if is_due else _MIN_STANDARD_ERRORS
    )
    return comparison.compute_difference() > max(
        math.log(_SLOW_GEOMETRIC_FACTOR),
        min_errors * comparison.compute_standard_error(),
    )


class _RouteComparison:
    """Compares the durations of two versions, each route with itself.

    The routes of a service differ far more in duration than two versions do, so
    that a comparison of all calls would hide a slow version.

    Attributes:
        new_count: Number of calls of the new version that are compared.
        old_count: The same for the old version.
    """

    __slots__ = (
        "new_count",
        "old_count",
        "_weight",
        "_difference_total",
        "_square_deviation",
        "_mean_count",
    )

    def __init__(
        self,
        new: dict[str, call_durations.LogDurations],
        old: dict[str, call_durations.LogDurations],
    ) -> None:
        self.new_count = self.old_count = 0
        self._weight = self._difference_total = self._square_deviation = 0.0
        # Number of means that are estimated, two for each route.
        self._mean_count = 0
        for route in new.keys() & old.keys():
            self._add_route(new[route], old[route])

    def _add_route(
        self, new: call_durations.LogDurations, old: call_durations.LogDurations
    ) -> None:
        weight = new.count * old.count / (new.count + old.count)
        self.new_count += new.count
        self.old_count += old.count
        self._weight += weight
        self._difference_total += weight * (
            new.compute_mean() - old.compute_mean()
        )
        self._square_deviation += (
            new.compute_square_deviation() + old.compute_square_deviation()
        )
        self._mean_count += 2

    def compute_difference(self) -> float:
        """Returns the mean difference of the logarithms of the durations."""
        return self._difference_total / self._weight

    def compute_standard_error(self) -> float:
        """Returns the standard error of the mean difference."""
        call_count = self.new_count + self.old_count
        degrees = max(1, call_count - self._mean_count)
        return math.sqrt(self._square_deviation / degrees / self._weight)
