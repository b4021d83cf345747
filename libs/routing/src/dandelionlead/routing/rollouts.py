"""Moves of a service to another version: exposure, judgement, verdict.

Until a verdict, all processes together send the new version no more than a
part of the service's calls and some more. Each counts what it sent and what
came back; the counts of all are told by heartbeat. A verdict is final. Pure
code.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable

from dandelionlead.routing import model

# The operator's bound on what a bad version may get is a share of the calls
# and some more; these stay below, since counts of peers are a little old.
EXPOSED_SHARE = 0.07
EXPOSED_EXTRA = 30
# Share of the calls that are offered to the new version within that.
TRIAL_SHARE = 0.25
# Answers after which a version without findings is good.
ENOUGH_ANSWERS = 40
FEWEST_ANSWERS = 6
# Part of the time after which fewer answers must do.
LATEST_PART = 0.7
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

    def hear(self, peer: str, counts: dict[bool, Count]) -> None:
        """Takes a peer's counts; they replace its last ones."""
        self._peers[peer] = counts

    def total(self, *, new: bool) -> Count:
        """Returns the counts of all processes."""
        total = Count()
        for counts in (self.own, *self._peers.values()):
            total.add(counts.get(new) or Count())
        return total

    def may_expose(self) -> bool:
        """Whether the new version may get one more call."""
        new, old = self.total(new=True), self.total(new=False)
        allowed = EXPOSED_SHARE * (new.sent + old.sent) + EXPOSED_EXTRA
        return new.sent < allowed

    def judge(self, now_s: float) -> State:
        """Returns the verdict that the evidence bears now."""
        if self.state is not State.RUNNING:
            return self.state
        new, old = self.total(new=True), self.total(new=False)
        if _is_bad(new, old):
            return State.ROLLED_BACK
        if new.answers >= ENOUGH_ANSWERS:
            return State.COMPLETED
        if now_s - self.received_s < LATEST_PART * self.order.duration_s:
            return State.RUNNING
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
        if not rollout.may_expose():
            return old
        return new if not old or rng.random() < TRIAL_SHARE else old

    def _count(self, endpoint: model.Endpoint) -> Count | None:
        found = self._running.get(endpoint.service)
        if found is None:
            return None
        return found.own[endpoint.version == found.order.target_version]


def _is_bad(new: Count, old: Count) -> bool:
    limit = _FAILURE_FACTOR * old.failure_share() + _FAILURE_MORE
    if new.failures >= _FAILURES and new.failure_share() > limit:
        return True
    if new.answers < _SLOW_ANSWERS or not old.answers:
        return False
    return new.mean_s() > _SLOW_FACTOR * old.mean_s() + _SLOW_MORE_S
