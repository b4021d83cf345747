"""Refuses early and honestly what could not be started in time anyway.

The wait of a new request is the units that are served before it, over the rate
at which units have been started lately, times a factor that is learned for each
route: short requests overtake long ones that do not fit. A request that would
miss its deadline is refused at once, with the time after which a retry makes
sense, instead of waiting in vain while it delays others.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dandelionlead.core import errors

if TYPE_CHECKING:
    from dandelionlead.admission import fairness

# Time constant of the rate at which units are started.
_RATE_S = 4.0
# Part of the time to the deadline that the estimated wait may take. In the
# bench 0.7 answers 69% of a threefold spike whole and refuses after 1.3 s; 1
# answers 73% and refuses after 2.2 s; waiting for the deadline 79% and 5.7 s.
_PATIENCE = 1.0
# Below this wait nothing is refused.
_SHORT_WAIT_S = 0.25
# Weight that earlier waits keep with each wait that ends.
_KEPT = 0.95
# Bounds of the factor, so that refusals can never teach it to refuse all.
_FACTORS = (0.05, 1.5)
_LONGEST_RETRY_S = 30.0
_NEVER = float("-inf")


class Overload:
    """Estimates waits at one entry for one model, and refuses by them."""

    def __init__(self, *, least_run_s: float = 0.0) -> None:
        """Starts without an estimate, and refuses nothing until there is one.

        Args:
            least_run_s: Seconds before its deadline at which a request must
                be started to be of use.
        """
        self._least_run_s = least_run_s
        self._rate = 0.0
        self._rate_at = _NEVER
        self._first_at = _NEVER
        # Actual and estimated waits per route, as decaying sums.
        self._waits: dict[str, tuple[float, float]] = {}

    def started(
        self,
        units: int,
        now: float,
        *,
        item: fairness.Waiting | None = None,
    ) -> None:
        """Learns that a request of so many units was started.

        Args:
            units: Its units.
            now: Time.
            item: The request, if it came through `refusal` and waited; the
                error of its estimate is learned.
        """
        if self._first_at == _NEVER:
            self._first_at = now
        self._rate = self.rate(now) + units / _RATE_S
        self._rate_at = now
        if item is not None:
            self._learn(item, now)

    def rate(self, now: float) -> float:
        """Returns units started per second, lately."""
        if self._rate_at == _NEVER:
            return 0.0
        return self._rate * math.exp((self._rate_at - now) / _RATE_S)

    def wait_s(self, units_ahead: float, now: float) -> float:
        """Returns the estimated wait behind so many units."""
        if units_ahead <= 0 or self._first_at == _NEVER:
            return 0.0
        # The average needs some time to rise to the rate.
        warm = 1 - math.exp((self._first_at - now) / _RATE_S)
        rate = self.rate(now) / max(warm, 0.05)
        if rate <= 0:
            return math.inf
        return units_ahead / rate

    def refusal(
        self, queue: fairness.FairQueue, item: fairness.Waiting, now: float
    ) -> errors.Failure | None:
        """Returns why a request should not be queued, or None."""
        left_s = item.deadline - now - self._least_run_s
        if left_s <= 0:
            return errors.Failure(
                errors.Kind.DEADLINE_EXCEEDED,
                "The deadline leaves no time to run the request.",
            )
        ahead = queue.units_ahead(item.team, item.units)
        item.estimated_s = self.wait_s(ahead, now)
        wait_s = item.estimated_s * self._factor(item.route)
        if wait_s <= max(_SHORT_WAIT_S, left_s * _PATIENCE):
            return None
        retry_after_s = min(_LONGEST_RETRY_S, max(1.0, wait_s - left_s))
        if queue.is_over_share(item.team):
            return errors.Failure(
                errors.Kind.OVER_SHARE,
                f"Team {item.team} would wait {wait_s:.1f} s for its share, "
                f"and the deadline is in {left_s:.1f} s.",
                retry_after_s=retry_after_s,
            )
        return errors.Failure(
            errors.Kind.OVERLOADED,
            f"The wait would be {wait_s:.1f} s, and the deadline is in "
            f"{left_s:.1f} s.",
            retry_after_s=retry_after_s,
        )

    def shed(
        self, queue: fairness.FairQueue, now: float
    ) -> list[tuple[fairness.Waiting, errors.Failure]]:
        """Removes what cannot be started in time any more."""
        late = queue.expired(now, self._least_run_s)
        for item in late:
            self._learn(item, now)
        return [
            (
                item,
                errors.Failure(
                    errors.Kind.DEADLINE_EXCEEDED,
                    f"The request waited {now - item.enqueued_at:.1f} s and "
                    "was not started.",
                ),
            )
            for item in late
        ]

    def _learn(self, item: fairness.Waiting, now: float) -> None:
        if not _SHORT_WAIT_S < item.estimated_s < math.inf:
            return
        actual, estimated = self._waits.get(item.route, (0.0, 0.0))
        self._waits[item.route] = (
            actual * _KEPT + now - item.enqueued_at,
            estimated * _KEPT + item.estimated_s,
        )

    def _factor(self, route: str) -> float:
        actual, estimated = self._waits.get(route, (0.0, 0.0))
        if not estimated:
            return 1.0
        lowest, highest = _FACTORS
        return min(highest, max(lowest, actual / estimated))
