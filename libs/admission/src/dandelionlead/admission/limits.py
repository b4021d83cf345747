"""Limits of the work on an endpoint: how far one may load it now."""

from __future__ import annotations

import abc
from collections.abc import Sequence

# First-token time that the service promises at p95.
FIRST_TOKEN_TARGET_S = 0.58
# A cold endpoint starts with this part of its memory. It also bounds the units
# that are granted and not confirmed. In the bench, three entries at 0.9 of
# capacity answered 93% to 98% whole with 1/16, and 98.5% to 99.5% with 1/8.
FIRST_STEP_FRACTION = 1 / 8
# The limit falls when this part of at least `_SAMPLES_TO_FALL` first tokens, of
# the last `_WINDOW`, is beyond the target. Single ones may be long prompts.
_LATE_FRACTION = 0.25
_SAMPLES_TO_FALL = 4
_WINDOW = 32


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
        self,
        first_token_s: Sequence[float],
        units_at_work: int,
        now: float,
        since: float,
    ) -> None:
        """Learns from measured first-token times.

        Args:
            first_token_s: Times of requests that got their first token since
                the last report, in seconds from dispatch.
            units_at_work: Units in use by requests that have their first
                token, reports of all members together.
            now: Time of the observation.
            since: Time after which all these first tokens came.
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
        self,
        first_token_s: Sequence[float],
        units_at_work: int,
        now: float,
        since: float,
    ) -> None:
        """Does nothing."""


class ClockRamp(LimitPolicy):
    """Baseline: doubles once per period, whatever the endpoint shows."""

    def __init__(
        self, memory_total: int, *, first_step: int = 0, period_s: float = 5.0
    ) -> None:
        super().__init__(memory_total, first_step=first_step)
        self._period_s = period_s
        self._base = self.first_step
        self._started_at: float | None = None
        self._now = 0.0

    @property
    def limit(self) -> int:
        """Units that may be granted and in use together."""
        if self._started_at is None:
            return self.first_step
        doublings = int((self._now - self._started_at) / self._period_s)
        return min(self.memory_total, self._base << min(doublings, 30))

    def reset(self, now: float) -> None:
        """Starts the clock again."""
        self._base = self.first_step
        self._started_at = now
        self._now = now

    def resume(self, units_at_work: int, now: float) -> None:
        """Starts the clock at the units at work."""
        self.reset(now)
        self._base = max(self.first_step, units_at_work)

    def observe(
        self,
        first_token_s: Sequence[float],
        units_at_work: int,
        now: float,
        since: float,
    ) -> None:
        """Notes the time only."""
        del first_token_s, units_at_work, since
        if self._started_at is None:
            self._started_at = now
        self._now = now


class FirstTokenRamp(LimitPolicy):
    """Raises the limit one step when first tokens show that it is borne.

    First tokens within the target, of requests that were granted at the present
    step, prove the units at work. The limit may be twice of what is proven
    until first tokens are late, and `first_step` above it from then on. An idle
    endpoint proves little, so its limit stays. Late first tokens halve the
    limit. One first token is enough to rise: at the first step one long
    generation may fill the limit for half a minute, and with four required,
    limits had not recovered 100 s after a restart.
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
        # All first tokens of this incarnation came at this step.
        self._step_at = float("-inf")

    def resume(self, units_at_work: int, now: float) -> None:
        """Takes the units at work as borne: they were granted before."""
        self._set(max(self._limit, units_at_work), now)

    def observe(
        self,
        first_token_s: Sequence[float],
        units_at_work: int,
        now: float,
        since: float,
    ) -> None:
        """Raises or lowers the limit by at most one step."""
        # Others may have been granted before the present step.
        in_time = [
            waited_s <= self._target_s
            for waited_s in first_token_s
            if since - waited_s >= self._step_at
        ]
        self._window += in_time
        del self._window[:-_WINDOW]
        late = self._window.count(False)
        count = len(self._window)
        if count >= _SAMPLES_TO_FALL and late > count * _LATE_FRACTION:
            self._saturated = True
            self._set(max(self.first_step, self._limit // 2), now)
        elif in_time and not late:
            self._rise(units_at_work, now)

    def _rise(self, proven: int, now: float) -> None:
        step = self.first_step if self._saturated else proven
        limit = min(self.memory_total, proven + step)
        if limit > self._limit:
            self._set(limit, now)

    def _set(self, limit: int, now: float) -> None:
        self._limit = min(limit, self.memory_total)
        self._step_at = now
        self._window.clear()
