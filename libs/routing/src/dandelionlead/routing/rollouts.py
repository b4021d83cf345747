"""Rolls a service out to a new version with limited exposure.

Until the verdict, all processes together limit the calls to the new version to
a share of the service's calls plus a fixed number. Each process counts the
calls that it sent and their outcomes, and sends its counts to its peers in
heartbeats. The counts of all processes lead to a verdict, which is final: the
rollout is completed or rolled back. The module uses no clock and no I/O.
"""

from __future__ import annotations

import collections
import enum
import random
from collections.abc import Iterable

from dandelionlead.routing import model

# Share of the calls, and number of calls on top, that the new version may get
# before the verdict. Both are below the operator's limit for a bad version,
# because the counts of peers are slightly out of date.
EXPOSED_SHARE = 0.07
EXPOSED_EXTRA = 30
# Fraction of EXPOSED_EXTRA that is available at once. The rest becomes
# available over time, so that a version that starts to fail later still
# receives calls, which reveal the failures.
_INITIAL_EXTRA_FRACTION = 0.3
# Share of the calls that is sent to the new version while its limit allows it.
TRIAL_SHARE = 0.25
# Minimum number of responses for completing the rollout of a version that was
# not found bad, in general and if none of its calls failed.
ENOUGH_ANSWERS = 40
FEWEST_ANSWERS = 6
# Fraction of the rollout's duration after which the rollout is completed, or
# rolled back for lack of responses. The rest of the duration remains for moving
# all calls to the version.
LATEST_PART = 0.7
# Failures within this most recent period are also evaluated separately.
_RECENT_S = 3.0
# Minimum time between two records of the totals.
_HISTORY_STEP_S = 0.5
# A version is bad if it has at least this many failures and its failure share
# exceeds that of the old version times the factor plus the margin.
_MIN_FAILURES = 3
_FAILURE_FACTOR = 2.0
_FAILURE_SHARE_MARGIN = 0.08
# A version is slow if it has at least this many responses and its mean duration
# exceeds that of the old version times the factor plus the margin.
_SLOW_FACTOR = 2.5
_MIN_TIMED_ANSWERS = 8
_SLOW_MARGIN_S = 0.05


class State(enum.Enum):
    """State of a rollout; all states but RUNNING are verdicts."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Count:
    """Call counts of one version at one process, or at all processes.

    Attributes:
        sent: Number of calls that were sent.
        answers: Number of calls that ended, with success or failure.
        failures: Number of calls that failed.
        total_s: Sum of the durations of the ended calls in seconds.
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
        """Returns the difference to an earlier state of the same counts."""
        return Count(
            self.sent - earlier.sent,
            self.answers - earlier.answers,
            self.failures - earlier.failures,
            self.total_s - earlier.total_s,
        )

    def mean_s(self) -> float:
        """Returns the mean duration in seconds; 0 if no call has ended."""
        return self.total_s / self.answers if self.answers else 0.0

    def failure_share(self) -> float:
        """Returns the share of failures, as if two more calls had succeeded."""
        return self.failures / (self.answers + 2)


class Rollout:
    """One rollout, with the call counts since its order.

    Attributes:
        order: The operator's order.
        order_version: Version of the store at which the order was written.
        received_s: Time in seconds at which this process received the order.
        state: Verdict of the rollout, or RUNNING.
        own: Counts of this process: True is the key of the new version, False
            that of all other versions.
    """

    __slots__ = (
        "order",
        "order_version",
        "received_s",
        "state",
        "own",
        "_peer_counts",
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
        self._peer_counts: dict[str, dict[bool, Count]] = {}
        # Times in seconds and totals of the new version at these times.
        self._history: collections.deque[tuple[float, Count]] = (
            collections.deque()
        )

    def hear(self, peer: str, counts: dict[bool, Count]) -> None:
        """Replaces the stored counts of a peer with newer counts.

        Args:
            peer: Name of the peer.
            counts: Counts of the peer, with the same keys as `own`.
        """
        self._peer_counts[peer] = counts

    def total(self, *, new: bool) -> Count:
        """Returns the sum of the counts of all processes.

        Args:
            new: True for the calls to the new version, False for the calls to
                all other versions.
        """
        total = Count()
        for counts in (self.own, *self._peer_counts.values()):
            total.add(counts.get(new) or Count())
        return total

    def may_expose(self, now_s: float) -> bool:
        """Whether the limit leaves one more call for the new version."""
        new, old = self.total(new=True), self.total(new=False)
        extra_fraction = min(
            1.0,
            _INITIAL_EXTRA_FRACTION
            + (1 - _INITIAL_EXTRA_FRACTION)
            * self._compute_elapsed_fraction(now_s),
        )
        allowed = (
            EXPOSED_SHARE * (new.sent + old.sent)
            + EXPOSED_EXTRA * extra_fraction
        )
        return new.sent < allowed

    def _compute_elapsed_fraction(self, now_s: float) -> float:
        """Returns the elapsed fraction of the time until a verdict is due."""
        until_s = LATEST_PART * self.order.duration_s
        return (now_s - self.received_s) / max(0.001, until_s)

    def _update_history(self, now_s: float, new: Count) -> Count:
        """Records the totals; returns the new version's recent counts.

        Args:
            now_s: Current time in seconds.
            new: Present totals of the new version.
        """
        history = self._history
        if not history or now_s - history[-1][0] >= _HISTORY_STEP_S:
            history.append((now_s, new))
        while len(history) > 1 and now_s - history[1][0] >= _RECENT_S:
            history.popleft()
        return new.since(history[0][1])

    def judge(self, now_s: float) -> State:
        """Returns the state that the counts justify now.

        The rollout itself changes only by `Rollouts.settle`.
        """
        if self.state is not State.RUNNING:
            return self.state
        new, old = self.total(new=True), self.total(new=False)
        recent = self._update_history(now_s, new)
        if _is_regression(new, old) or _is_failing(recent, old):
            return State.ROLLED_BACK
        if self._compute_elapsed_fraction(now_s) < 1.0:
            return State.RUNNING
        if new.answers >= ENOUGH_ANSWERS:
            return State.COMPLETED
        if new.answers >= FEWEST_ANSWERS and not new.failures:
            return State.COMPLETED
        return State.ROLLED_BACK


class Rollouts:
    """The latest rollout of each service, including those with a verdict."""

    def __init__(self) -> None:
        self._rollouts: dict[str, Rollout] = {}

    def order(
        self, order: model.RolloutOrder, order_version: int, now_s: float
    ) -> None:
        """Starts a rollout, which replaces an older one of the same service.

        An order that is not newer than the stored rollout is ignored.

        Args:
            order: The operator's order.
            order_version: Version of the store at which it was written.
            now_s: Current time in seconds.
        """
        current = self._rollouts.get(order.service)
        if current is None or current.order_version < order_version:
            rollout = Rollout(order, order_version, now_s)
            self._rollouts[order.service] = rollout

    def drop(self, service: str) -> None:
        """Removes the rollout of a service whose order was deleted."""
        self._rollouts.pop(service, None)

    def get(self, service: str) -> Rollout | None:
        """Returns the rollout of a service, or None."""
        return self._rollouts.get(service)

    def all(self) -> list[Rollout]:
        """Returns all rollouts."""
        return list(self._rollouts.values())

    def sent(self, endpoint: model.Endpoint) -> None:
        """Counts a call that is sent to an endpoint, if a rollout exists."""
        count = self._get_count(endpoint)
        if count is not None:
            count.sent += 1

    def answered(
        self, endpoint: model.Endpoint, seconds: float, *, failed: bool
    ) -> None:
        """Counts the outcome of a call at an endpoint, if a rollout exists.

        Args:
            endpoint: Endpoint that the call was sent to.
            seconds: Duration of the call.
            failed: Whether the call failed.
        """
        count = self._get_count(endpoint)
        if count is not None:
            count.answers += 1
            count.failures += failed
            count.total_s += seconds

    def settle(self, service: str, order_version: int, state: State) -> bool:
        """Stores a verdict on a rollout that has none yet.

        Args:
            service: Name of the service.
            order_version: Version of the order that the verdict is about; a
                verdict on another order is ignored.
            state: The verdict.

        Returns:
            Whether the state of the rollout changed.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.order_version != order_version:
            return False
        is_changed = (
            rollout.state is State.RUNNING and state is not State.RUNNING
        )
        if is_changed:
            rollout.state = state
        return is_changed

    def usable(
        self,
        service: str,
        endpoints: Iterable[model.Endpoint],
        rng: random.Random,
        now_s: float,
    ) -> list[model.Endpoint]:
        """Returns the endpoints that the next call may be sent to.

        During a rollout these are the endpoints of the new version or those of
        the others, drawn at random for each call.

        Args:
            service: Name of the service.
            endpoints: Endpoints of the service that may receive work.
            rng: Random generator for the draw.
            now_s: Current time in seconds.
        """
        all_endpoints = list(endpoints)
        rollout = self._rollouts.get(service)
        if rollout is None:
            return all_endpoints
        target = rollout.order.target_version
        new = [item for item in all_endpoints if item.version == target]
        old = [item for item in all_endpoints if item.version != target]
        if rollout.state is State.COMPLETED:
            return new or old
        if rollout.state is State.ROLLED_BACK or not new:
            return old
        if not rollout.may_expose(now_s):
            return old
        return new if not old or rng.random() < TRIAL_SHARE else old

    def _get_count(self, endpoint: model.Endpoint) -> Count | None:
        """Returns this process's count for the version of an endpoint.

        The result is None if its service has no rollout.
        """
        rollout = self._rollouts.get(endpoint.service)
        if rollout is None:
            return None
        return rollout.own[endpoint.version == rollout.order.target_version]


def _is_failing(new: Count, old: Count) -> bool:
    """Whether the failure share of the new version is too high."""
    limit = _FAILURE_FACTOR * old.failure_share() + _FAILURE_SHARE_MARGIN
    return new.failures >= _MIN_FAILURES and new.failure_share() > limit


def _is_regression(new: Count, old: Count) -> bool:
    """Whether the new version fails too often or is too slow."""
    if _is_failing(new, old):
        return True
    if new.answers < _MIN_TIMED_ANSWERS or not old.answers:
        return False
    return new.mean_s() > _SLOW_FACTOR * old.mean_s() + _SLOW_MARGIN_S
