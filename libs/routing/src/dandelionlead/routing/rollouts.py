"""Moves of a service to another version: exposure, judgement, verdict.

Until a verdict, all processes together send the new version no more than a
part of the service's calls and some more. Each counts what it sent and what
came back; the counts of all are told by heartbeat. A verdict is final. Pure
code.
"""

from __future__ import annotations

import collections
import enum
import random
from collections.abc import Iterable

from dandelionlead.routing import model

# The operator's bound on what a bad version may get is a share of the calls
# and some more; these stay below, since counts of peers are a little old.
EXPOSED_SHARE = 0.07
EXPOSED_EXTRA = 30
# Part of these that is open at once; the rest opens as time goes on, so that
# a version which fails later is seen to.
_OPEN_AT_ONCE = 0.3
# Share of the calls that are offered to the new version within that.
TRIAL_SHARE = 0.25
# Answers after which a version without findings is good.
ENOUGH_ANSWERS = 40
FEWEST_ANSWERS = 6
# Part of the time after which a version is judged good, or for want of
# answers taken back. It has the rest to get all calls.
LATEST_PART = 0.7
# Failures of so many last seconds are also looked at alone.
_RECENT_S = 3.0
_HISTORY_STEP_S = 0.5
# A version is bad from so many failures on, if its share of failures is over
# the old one's by this factor and difference.
_FAILURES = 3
_FAILURE_FACTOR = 2.0
_FAILURE_MORE = 0.08
# It is slow if its mean is over the old one's by this factor.
_SLOW_FACTOR = 2.5
_SLOW_ANSWERS = 8
_SLOW_MORE_S = 0.05


class State(enum.Enum):
    """Progress of a rollout."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Count:
    """Calls of one version at one process, or at all of them.

    Attributes:
        sent: Calls that were sent.
        answers: Calls that ended, well or not.
        failures: Those of them that failed.
        total_s: Sum of their durations.
    """

    __slots__ = ("sent", "answers", "failures", "total_s")

    def __init__(
        self,
        sent: int = 0,
        answers: int = 0,
        failures: int = 0,
        total_s: float = 0.0,
    ) -> None:
        self.sent = sent
        self.answers = answers
        self.failures = failures
        self.total_s = total_s

    def add(self, other: Count) -> None:
        """Adds another count to this one."""
        self.sent += other.sent
        self.answers += other.answers
        self.failures += other.failures
        self.total_s += other.total_s

    def since(self, earlier: Count) -> Count:
        """Returns what came after an earlier state of the same counts."""
        return Count(
            self.sent - earlier.sent,
            self.answers - earlier.answers,
            self.failures - earlier.failures,
            self.total_s - earlier.total_s,
        )

    def mean_s(self) -> float:
        """Returns the mean duration; 0 without answers."""
        return self.total_s / self.answers if self.answers else 0.0

    def failure_share(self) -> float:
        """Returns the share of failures, with a weak prior towards none."""
        return self.failures / (self.answers + 2)


class Rollout:
    """One order of the operator, and what was seen since.

    Attributes:
        order: The order.
        order_version: Version of the store at which it was given.
        received_s: When this process learnt of it.
        state: Its verdict, or running.
        own: Counts of this process; by whether the version is the new one.
    """

    __slots__ = (
        "order",
        "order_version",
        "received_s",
        "state",
        "own",
        "_peers",
        "_history",
    )

    def __init__(
        self, order: model.RolloutOrder, order_version: int, received_s: float
    ) -> None:
        self.order = order
        self.order_version = order_version
        self.received_s = received_s
        self.state = State.RUNNING
        self.own = {True: Count(), False: Count()}
        self._peers: dict[str, dict[bool, Count]] = {}
        # Earlier totals of the new version, and when they were read.
        self._history: collections.deque[tuple[float, Count]] = (
            collections.deque()
        )

    def hear(self, peer: str, counts: dict[bool, Count]) -> None:
        """Takes a peer's counts; they replace its last ones."""
        self._peers[peer] = counts

    def total(self, *, new: bool) -> Count:
        """Returns the counts of all processes."""
        total = Count()
        for counts in (self.own, *self._peers.values()):
            total.add(counts.get(new) or Count())
        return total

    def may_expose(self, now_s: float) -> bool:
        """Whether the new version may get one more call."""
        new, old = self.total(new=True), self.total(new=False)
        part = min(1.0, _OPEN_AT_ONCE + (1 - _OPEN_AT_ONCE) * self._gone(now_s))
        allowed = EXPOSED_SHARE * (new.sent + old.sent) + EXPOSED_EXTRA * part
        return new.sent < allowed

    def _gone(self, now_s: float) -> float:
        """Returns the part that has gone of the time until the judgement."""
        until_s = LATEST_PART * self.order.duration_s
        return (now_s - self.received_s) / max(0.001, until_s)

    def _recent(self, now_s: float, new: Count) -> Count:
        """Returns what the new version did in the last seconds."""
        history = self._history
        if not history or now_s - history[-1][0] >= _HISTORY_STEP_S:
            history.append((now_s, new))
        while len(history) > 1 and now_s - history[1][0] >= _RECENT_S:
            history.popleft()
        return new.since(history[0][1])

    def judge(self, now_s: float) -> State:
        """Returns the verdict that the evidence bears now."""
        if self.state is not State.RUNNING:
            return self.state
        new, old = self.total(new=True), self.total(new=False)
        recent = self._recent(now_s, new)
        if _is_bad(new, old) or _fails(recent, old):
            return State.ROLLED_BACK
        if self._gone(now_s) < 1.0:
            return State.RUNNING
        if new.answers >= ENOUGH_ANSWERS:
            return State.COMPLETED
        if new.answers >= FEWEST_ANSWERS and not new.failures:
            return State.COMPLETED
        return State.ROLLED_BACK


class Rollouts:
    """All rollouts that the operator has ordered, by service."""

    def __init__(self) -> None:
        self._running: dict[str, Rollout] = {}

    def order(
        self, order: model.RolloutOrder, order_version: int, now_s: float
    ) -> None:
        """Takes an order; a newer one of its service replaces an older one."""
        known = self._running.get(order.service)
        if known is None or known.order_version < order_version:
            found = Rollout(order, order_version, now_s)
            self._running[order.service] = found

    def drop(self, service: str) -> None:
        """Forgets the order of a service that the operator took away."""
        self._running.pop(service, None)

    def get(self, service: str) -> Rollout | None:
        """Returns the rollout of a service, or None."""
        return self._running.get(service)

    def all(self) -> list[Rollout]:
        """Returns all rollouts."""
        return list(self._running.values())

    def sent(self, endpoint: model.Endpoint) -> None:
        """Counts a call that is sent to an endpoint."""
        count = self._count(endpoint)
        if count is not None:
            count.sent += 1

    def answered(
        self, endpoint: model.Endpoint, seconds: float, *, failed: bool
    ) -> None:
        """Counts how a call at an endpoint ended."""
        count = self._count(endpoint)
        if count is not None:
            count.answers += 1
            count.failures += failed
            count.total_s += seconds

    def settle(self, service: str, order_version: int, state: State) -> bool:
        """Takes a verdict; returns whether it is news."""
        found = self._running.get(service)
        if found is None or found.order_version != order_version:
            return False
        news = found.state is State.RUNNING and state is not State.RUNNING
        if news:
            found.state = state
        return news

    def usable(
        self,
        service: str,
        endpoints: Iterable[model.Endpoint],
        rng: random.Random,
        now_s: float,
    ) -> list[model.Endpoint]:
        """Returns the endpoints that the next call may go to."""
        found = list(endpoints)
        rollout = self._running.get(service)
        if rollout is None:
            return found
        target = rollout.order.target_version
        new = [item for item in found if item.version == target]
        old = [item for item in found if item.version != target]
        if rollout.state is State.COMPLETED:
            return new or old
        if rollout.state is State.ROLLED_BACK or not new:
            return old
        if not rollout.may_expose(now_s):
            return old
        return new if not old or rng.random() < TRIAL_SHARE else old

    def _count(self, endpoint: model.Endpoint) -> Count | None:
        found = self._running.get(endpoint.service)
        if found is None:
            return None
        return found.own[endpoint.version == found.order.target_version]


def _fails(new: Count, old: Count) -> bool:
    limit = _FAILURE_FACTOR * old.failure_share() + _FAILURE_MORE
    return new.failures >= _FAILURES and new.failure_share() > limit


def _is_bad(new: Count, old: Count) -> bool:
    if _fails(new, old):
        return True
    if new.answers < _SLOW_ANSWERS or not old.answers:
        return False
    return new.mean_s() > _SLOW_FACTOR * old.mean_s() + _SLOW_MORE_S
