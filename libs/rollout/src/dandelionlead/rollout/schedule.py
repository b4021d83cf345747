"""Share of the next version over time."""

from __future__ import annotations

MAX_UNJUDGED_SHARE = 0.05
# Shares after the version was judged good on every route. The old version
# keeps a quarter of the traffic until the end, because without it there is
# nothing to compare with at the same time and load.
STEPS = (0.1, 0.25, 0.5, 0.75)
FIRST_SHARE = 0.01
# Part of the time to the deadline that is spent at FIRST_SHARE.
FIRST_PART = 0.02
# A step ends early once it lasted this long and brought enough evidence.
STEP_S = 60.0
STEP_REQUESTS = 100
# Part of the remaining time that the steps may use, so that the last step
# begins before the deadline.
USABLE_PART = 0.8
# A judgement is waited for until so much of the time is left, in steps.
SHORTEST_STEP_S = 15.0


class State:
    """Progress of one rollout; the value of its row.

    Attributes:
        share: Share of the next version, 0 to 1.
        state: `under_way`, `done` or `rolled_back`.
        reason: One sentence for operators.
        judged: Whether the version was judged good.
        step_at: Time at which the present share began.
    """

    __slots__ = ("share", "state", "reason", "judged", "step_at")

    def __init__(
        self,
        share: float,
        state: str,
        reason: str,
        judged: bool,
        step_at: float,
    ) -> None:
        self.share = share
        self.state = state
        self.reason = reason
        self.judged = judged
        self.step_at = step_at


class Schedule:
    """Plans the share of one rollout between its start and its deadline.

    All times are seconds of one clock. A version that is not judged when too
    little time is left for the steps is rolled back: without a judgement its
    share may not rise, and the rollout must end.
    """

    def __init__(
        self,
        start: float,
        deadline: float,
        *,
        max_unjudged_share: float = MAX_UNJUDGED_SHARE,
    ) -> None:
        self._start = start
        self._deadline = deadline
        self._max_unjudged = max_unjudged_share

    def begin(self) -> State:
        """Returns the first state."""
        share = min(FIRST_SHARE, self._max_unjudged)
        return State(share, "under_way", "started", False, self._start)

    def next(
        self,
        state: State,
        now: float,
        *,
        bad: str = "",
        good: bool = False,
        requests: int = 0,
    ) -> State:
        """Returns the state to write now.

        Args:
            state: The present state.
            now: Present time.
            bad: Why the version is bad; empty if it is not known to be.
            good: Whether every route with traffic is judged good at present.
            requests: Requests of the next version since `state.step_at`.
        """
        if state.state != "under_way":
            return state
        if bad:
            return State(0.0, "rolled_back", bad, state.judged, now)
        judged = state.judged or good
        if not judged:
            return self._unjudged(state, now)
        if state.share >= STEPS[-1]:
            return self._last(state, now, requests)
        if now >= self._deadline:
            reason = "the deadline passed before the last step"
            return State(0.0, "rolled_back", reason, judged, now)
        if not state.judged or self._step_over(state, now, requests):
            share = min(step for step in STEPS if step > state.share)
            reason = f"judged good, share {share:g}"
            return State(share, "under_way", reason, True, now)
        return state

    def _unjudged(self, state: State, now: float) -> State:
        shortest_s = SHORTEST_STEP_S * len(STEPS)
        if now + shortest_s >= self._deadline:
            reason = "too little traffic to judge the version by the deadline"
            return State(0.0, "rolled_back", reason, False, now)
        first_s = FIRST_PART * (self._deadline - self._start)
        first = min(FIRST_SHARE, self._max_unjudged)
        if now - self._start < first_s or state.share > first:
            return state
        share = self._max_unjudged
        return State(share, "under_way", f"share {share:g}", False, now)

    def _last(self, state: State, now: float, requests: int) -> State:
        if not self._step_over(state, now, requests) and now < self._deadline:
            return state
        return State(1.0, "done", "all traffic", True, now)

    def _step_over(self, state: State, now: float, requests: int) -> bool:
        """Whether the present share was kept long enough.

        Thin evidence holds the share, but not longer than an equal part of
        the time that was left when the share began.
        """
        lasted_s = now - state.step_at
        left = 1 + sum(step > state.share for step in STEPS)
        longest_s = USABLE_PART * (self._deadline - state.step_at) / left
        if lasted_s >= max(0.0, longest_s):
            return True
        shortest_s = min(STEP_S, longest_s)
        return lasted_s >= shortest_s and requests >= STEP_REQUESTS
