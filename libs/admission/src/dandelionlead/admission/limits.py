"""Limits of the work on an endpoint: how far one may load it now."""

from __future__ import annotations

import abc
from collections.abc import Sequence

# First-token time that the service promises at p95.
FIRST_TOKEN_TARGET_S = 0.58
# A cold endpoint starts with this part of its memory.
FIRST_STEP_FRACTION = 1 / 16
# An observation proves something about a limit only if at least this part of
# the limit was at work; otherwise an idle endpoint would raise its limit.
_BUSY_FRACTION = 0.7
# First tokens that must all be within the target before the limit rises.
_SAMPLES_TO_RISE = 4
# First tokens beyond the target, of the last `_WINDOW`, that halve the limit.
# One alone may be a long prompt.
_LATE_TO_FALL = 2
_WINDOW = 16
# Reports are sent once a second, so that a first token may be this old.
_REPORT_PERIOD_S = 1.0


class LimitPolicy(abc.ABC):
    """Decides the limit of one endpoint, in units of engine memory.

    Attributes:
        memory_total: Units that the endpoint has.
        first_step: Limit of an endpoint that has just started.
    """

    def __init__(self, memory_total: int, *, first_step: int = 0) -> None:
        self.memory_total = memory_total
        default = int(memory_total * FIRST_STEP_FRACTION)
        self.first_step = max(1, first_step or default)

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Units that may be granted and in use together."""

    @abc.abstractmethod
    def reset(self, now: float) -> None:
        """Starts again: the endpoint has a new incarnation."""

    @abc.abstractmethod
    def resume(self, units_at_work: int, now: float) -> None:
        """Takes over an endpoint that already runs this many units."""

    @abc.abstractmethod
    def observe(
        self, first_token_s: Sequence[float], units_at_work: int, now: float
    ) -> None:
        """Learns from measured first-token times.

        Args:
            first_token_s: Times of requests that got their first token since
                the last report, in seconds from dispatch.
            units_at_work: Units known to be granted or in use.
            now: Time of the observation.
        """


class FixedLimit(LimitPolicy):
    """Baseline: the whole memory at any time, also for a cold endpoint."""

    @property
    def limit(self) -> int:
        """Units that may be granted and in use together."""
        return self.memory_total

    def reset(self, now: float) -> None:
        """Does nothing."""

    def resume(self, units_at_work: int, now: float) -> None:
        """Does nothing."""

    def observe(
        self, first_token_s: Sequence[float], units_at_work: int, now: float
    ) -> None:
        """Does nothing."""


class ClockRamp(LimitPolicy):
    """Baseline: doubles once per period, whatever the endpoint shows."""

    def __init__(
        self, memory_total: int, *, first_step: int = 0, period_s: float = 5.0
    ) -> None:
        super().__init__(memory_total, first_step=first_step)
        self._period_s = period_s
        self._started_at: float | None = None
        self._now = 0.0

    @property
    def limit(self) -> int:
        """Units that may be granted and in use together."""
        if self._started_at is None:
            return self.first_step
        doublings = int((self._now - self._started_at) / self._period_s)
        return min(self.memory_total, self.first_step << min(doublings, 30))

    def reset(self, now: float) -> None:
        """Starts the clock again."""
        self._started_at = now
        self._now = now

    def resume(self, units_at_work: int, now: float) -> None:
        """Starts the clock if it does not run."""
        del units_at_work
        if self._started_at is None:
            self.reset(now)

    def observe(
        self, first_token_s: Sequence[float], units_at_work: int, now: float
    ) -> None:
        """Notes the time only."""
        del first_token_s, units_at_work
        if self._started_at is None:
            self._started_at = now
        self._now = now


class FirstTokenRamp(LimitPolicy):
    """Raises the limit one step when first tokens show that it is borne.

    The limit doubles until the first late first token, then rises by
    `first_step`. Only requests that were granted at the present step while
    most of the limit was at work count. Late first tokens halve the limit.
    """

    def __init__(
        self,
        memory_total: int,
        *,
        first_step: int = 0,
        target_s: float = FIRST_TOKEN_TARGET_S,
    ) -> None:
        super().__init__(memory_total, first_step=first_step)
        self._target_s = target_s
        self._limit = self.first_step
        self._saturated = False
        self._step_at = float("-inf")
        self._window: list[bool] = []

    @property
    def limit(self) -> int:
        """Units that may be granted and in use together."""
        return self._limit

    def reset(self, now: float) -> None:
        """Goes back to the first step."""
        self._saturated = False
        self._set(self.first_step, now)

    def resume(self, units_at_work: int, now: float) -> None:
        """Takes the units at work as borne: they were granted before."""
        self._set(max(self._limit, units_at_work), now)

    def observe(
        self, first_token_s: Sequence[float], units_at_work: int, now: float
    ) -> None:
        """Raises or lowers the limit by at most one step."""
        busy = units_at_work >= self._limit * _BUSY_FRACTION
        for waited_s in first_token_s:
            if now - waited_s - _REPORT_PERIOD_S < self._step_at:
                continue
            in_time = waited_s <= self._target_s
            if busy or not in_time:
                self._window.append(in_time)
        del self._window[:-_WINDOW]
        late = self._window.count(False)
        if late >= _LATE_TO_FALL:
            self._saturated = True
            self._set(max(self.first_step, self._limit // 2), now)
        elif len(self._window) >= _SAMPLES_TO_RISE and not late:
            self._rise(now)

    def _rise(self, now: float) -> None:
        step = self.first_step if self._saturated else self._limit
        self._set(min(self.memory_total, self._limit + step), now)

    def _set(self, limit: int, now: float) -> None:
        self._limit = min(limit, self.memory_total)
        self._step_at = now
        self._window.clear()
