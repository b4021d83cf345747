"""Rolls a service out to a new version with limited exposure.

Until the verdict, all processes together limit the calls to the new version to
a share of the service's calls plus a fixed number. Each process counts the
calls that it sent and their outcomes, and sends its counts to its peers in
messages. The verdict is based on the counts of all processes and is final:
the rollout is completed or rolled back. The module uses no clock and no I/O.
"""

from __future__ import annotations

import collections
import enum
import math
import random
from collections.abc import Iterable

from dandelionlead.routing import model

# Share of a service's calls, and number of additional calls, that the new
# version may receive before the verdict. Both are below the operator's limit
# for a bad version, because the counts of peers are slightly out of date.
EXPOSURE_SHARE = 0.07
EXPOSURE_EXTRA_CALLS = 30
# Fraction of EXPOSURE_EXTRA_CALLS that is available at once. The rest becomes
# available over time, so that a version that starts to fail later still
# receives calls, which reveal the failures.
_INITIAL_EXTRA_FRACTION = 0.3
# Share of a service's calls that each process sends to the new version while
# the limit allows it.
TRIAL_SHARE = 0.25
# Minimum number of ended calls for completing the rollout of a version that was
# not found bad, and the lower minimum that applies if none of them failed.
MIN_ENDED_CALLS = 40
MIN_ENDED_CALLS_WITHOUT_FAILURE = 6
# Fraction of the rollout's duration after which the rollout is completed, or
# rolled back for lack of ended calls. The rest of the duration remains for
# sending all calls to the version.
VERDICT_DUE_FRACTION = 0.7
# Length of the most recent period, whose failures are also evaluated separately
# from those of the whole rollout.
_RECENT_S = 3.0
# Minimum time between two records of the totals.
_HISTORY_STEP_S = 0.5
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
# Number of routes whose durations a process sends to its peers. It bounds the
# size of a message.
_MAX_SHARED_ROUTES = 8
# Shortest duration that is told apart from shorter ones.
_MIN_DURATION_S = 0.001


class RolloutState(enum.Enum):
    """State of a rollout; all states but RUNNING are verdicts."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


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
        self, new: dict[str, LogDurations], old: dict[str, LogDurations]
    ) -> None:
        self.new_count = self.old_count = 0
        self._weight = self._difference_total = self._square_deviation = 0.0
        # Number of means that are estimated, two for each route.
        self._mean_count = 0
        for route in new.keys() & old.keys():
            self._add_route(new[route], old[route])

    def _add_route(self, new: LogDurations, old: LogDurations) -> None:
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


class CallCounts:
    """Counts of calls to the new version, or to all other versions.

    The calls are those of one process or of all processes.

    Attributes:
        sent_count: Number of calls that were sent.
        ended_count: Number of calls that ended, with success or failure.
        failure_count: Number of ended calls that failed.
        total_s: Sum of the durations of the ended calls in seconds.
        durations: Durations of the calls that ended with success, by name of
            the route; empty names stand for all routes that are not named.
    """

    __slots__ = (
        "sent_count",
        "ended_count",
        "failure_count",
        "total_s",
        "durations",
    )

    def __init__(
        self,
        sent_count: int = 0,
        ended_count: int = 0,
        failure_count: int = 0,
        total_s: float = 0.0,
        durations: dict[str, LogDurations] | None = None,
    ) -> None:
        self.sent_count = sent_count
        self.ended_count = ended_count
        self.failure_count = failure_count
        self.total_s = total_s
        self.durations = durations or {}

    def add(self, other: CallCounts) -> None:
        """Adds other counts to these."""
        self.sent_count += other.sent_count
        self.ended_count += other.ended_count
        self.failure_count += other.failure_count
        self.total_s += other.total_s
        for route, durations in other.durations.items():
            self.durations.setdefault(route, LogDurations()).add(durations)

    def list_shared_durations(self) -> dict[str, LogDurations]:
        """Returns the durations of the most used routes, for peers."""
        most_used = sorted(
            self.durations, key=lambda route: -self.durations[route].count
        )
        return {
            route: self.durations[route]
            for route in most_used[:_MAX_SHARED_ROUTES]
        }

    def subtract(self, earlier: CallCounts) -> CallCounts:
        """Returns the difference from earlier values of the same counts.

        The result has no `durations`.
        """
        return CallCounts(
            self.sent_count - earlier.sent_count,
            self.ended_count - earlier.ended_count,
            self.failure_count - earlier.failure_count,
            self.total_s - earlier.total_s,
        )

    def compute_mean_s(self) -> float:
        """Returns the mean duration in seconds; 0 if no call has ended."""
        return self.total_s / self.ended_count if self.ended_count else 0.0

    def compute_failure_share(self) -> float:
        """Returns the share of ended calls that failed.

        Two successful calls are added, so that the share is low while few calls
        have ended.
        """
        return self.failure_count / (self.ended_count + 2)


class Rollout:
    """One rollout, with the call counts since its order.

    Attributes:
        order: The operator's order.
        order_version: Version in the store with which the order was written.
        received_s: Time in seconds at which this process received the order.
        state: Verdict of the rollout, or RUNNING.
        own_counts: Counts of this process: True is the key of the new version,
            False that of all other versions.
    """

    __slots__ = (
        "order",
        "order_version",
        "received_s",
        "state",
        "own_counts",
        "_peer_counts",
        "_history",
    )

    def __init__(
        self, order: model.RolloutOrder, order_version: int, received_s: float
    ) -> None:
        self.order = order
        self.order_version = order_version
        self.received_s = received_s
        self.state = RolloutState.RUNNING
        self.own_counts = {True: CallCounts(), False: CallCounts()}
        # Counts of the peers, by name and incarnation of the peer.
        self._peer_counts: dict[str, dict[bool, CallCounts]] = {}
        # Times in seconds and the totals of the new version at these times.
        self._history: collections.deque[tuple[float, CallCounts]] = (
            collections.deque()
        )

    def replace_peer_counts(
        self, peer: str, counts: dict[bool, CallCounts]
    ) -> None:
        """Replaces the stored counts of a peer with newer counts.

        Args:
            peer: Name and incarnation of the peer, so that the calls of an
                earlier incarnation still count.
            counts: Counts of the peer, with the same keys as `own_counts`.
        """
        self._peer_counts[peer] = counts

    def sum_counts(self, *, new: bool) -> CallCounts:
        """Returns the sum of the counts of all processes.

        Args:
            new: True for the calls to the new version, False for the calls to
                all other versions.
        """
        total = CallCounts()
        for counts in (self.own_counts, *self._peer_counts.values()):
            total.add(counts.get(new) or CallCounts())
        return total

    def may_send_to_new(self, now_s: float) -> bool:
        """Whether the limit allows one more call to the new version."""
        new_sent_count = self._sum_sent_count(new=True)
        sent_count = new_sent_count + self._sum_sent_count(new=False)
        extra_fraction = min(
            1.0,
            _INITIAL_EXTRA_FRACTION
            + (1 - _INITIAL_EXTRA_FRACTION)
            * self._compute_elapsed_fraction(now_s),
        )
        allowed = (
            EXPOSURE_SHARE * sent_count + EXPOSURE_EXTRA_CALLS * extra_fraction
        )
        return new_sent_count < allowed

    def _sum_sent_count(self, *, new: bool) -> int:
        """Returns the calls that all processes sent to a version.

        Each choice of an endpoint needs this number alone.
        """
        return sum(
            counts[new].sent_count
            for counts in (self.own_counts, *self._peer_counts.values())
            if new in counts
        )

    def _compute_elapsed_fraction(self, now_s: float) -> float:
        """Returns the elapsed fraction of the time until a verdict is due.

        The result exceeds 1 once the verdict is overdue.
        """
        verdict_due_after_s = VERDICT_DUE_FRACTION * self.order.duration_s
        return (now_s - self.received_s) / max(0.001, verdict_due_after_s)

    def _update_history(self, now_s: float, new: CallCounts) -> CallCounts:
        """Records the totals; returns the counts of the last `_RECENT_S`.

        Args:
            now_s: Current time in seconds.
            new: Current totals of the new version.
        """
        history = self._history
        if not history or now_s - history[-1][0] >= _HISTORY_STEP_S:
            history.append((now_s, new))
        while len(history) > 1 and now_s - history[1][0] >= _RECENT_S:
            history.popleft()
        return new.subtract(history[0][1])

    def evaluate(self, now_s: float) -> RolloutState:
        """Returns the state that follows from the counts.

        The result is not stored; `RolloutRegistry.store_verdict` stores a
        verdict.
        """
        if self.state is not RolloutState.RUNNING:
            return self.state
        new, old = self.sum_counts(new=True), self.sum_counts(new=False)
        recent = self._update_history(now_s, new)
        is_due = self._compute_elapsed_fraction(now_s) >= 1.0
        if (
            _is_failing(new, old)
            or _is_failing(recent, old)
            or _is_slow(new, old, is_due=is_due)
        ):
            return RolloutState.ROLLED_BACK
        if not is_due:
            return RolloutState.RUNNING
        if new.ended_count >= MIN_ENDED_CALLS:
            return RolloutState.COMPLETED
        if (
            new.ended_count >= MIN_ENDED_CALLS_WITHOUT_FAILURE
            and not new.failure_count
        ):
            return RolloutState.COMPLETED
        return RolloutState.ROLLED_BACK


class RolloutRegistry:
    """The latest rollout of each service, including those with a verdict."""

    def __init__(self) -> None:
        # Rollouts by name of the service.
        self._rollouts: dict[str, Rollout] = {}

    def start(
        self, order: model.RolloutOrder, order_version: int, now_s: float
    ) -> None:
        """Starts a rollout, which replaces an older one of the same service.

        An order that is not newer than the stored rollout is ignored.

        Args:
            order: The operator's order.
            order_version: Version in the store with which it was written.
            now_s: Current time in seconds.
        """
        current = self._rollouts.get(order.service)
        if current is None or current.order_version < order_version:
            rollout = Rollout(order, order_version, now_s)
            self._rollouts[order.service] = rollout

    def renew(self, service: str, order_version: int) -> None:
        """Gives a rollout the version of its order after it was written again.

        The rollout keeps its counts and its verdict.

        Args:
            service: Name of the service, which must have a rollout.
            order_version: Version with which the same order was written again.
        """
        self._rollouts[service].order_version = order_version

    def remove(self, service: str) -> None:
        """Removes the rollout of a service whose order was deleted."""
        self._rollouts.pop(service, None)

    def get(self, service: str) -> Rollout | None:
        """Returns the rollout of a service, or None."""
        return self._rollouts.get(service)

    def list_all(self) -> list[Rollout]:
        """Returns all rollouts."""
        return list(self._rollouts.values())

    def count_sent(self, endpoint: model.Endpoint) -> None:
        """Counts a call to an endpoint if its service has a rollout."""
        counts = self._get_own_counts(endpoint)
        if counts is not None:
            counts.sent_count += 1

    def record_outcome(
        self,
        endpoint: model.Endpoint,
        route: str,
        duration_s: float,
        *,
        failed: bool,
    ) -> None:
        """Counts the outcome of a call if the service has a rollout.

        Args:
            endpoint: Endpoint that the call was sent to.
            route: Name of the route of the call.
            duration_s: Duration of the call in seconds; for a stream, the time
                to its first event.
            failed: Whether the call failed.
        """
        counts = self._get_own_counts(endpoint)
        if counts is not None:
            counts.ended_count += 1
            counts.failure_count += failed
            counts.total_s += duration_s
            if not failed:
                durations = counts.durations.setdefault(route, LogDurations())
                durations.record(duration_s)

    def store_verdict(
        self, service: str, order_version: int, state: RolloutState
    ) -> bool:
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
            rollout.state is RolloutState.RUNNING
            and state is not RolloutState.RUNNING
        )
        if is_changed:
            rollout.state = state
        return is_changed

    def filter_endpoints(
        self,
        service: str,
        endpoints: Iterable[model.Endpoint],
        rng: random.Random,
        now_s: float,
    ) -> list[model.Endpoint]:
        """Returns the endpoints that the next call may be sent to.

        Until the verdict, these are either the endpoints of the new version or
        those of all other versions, drawn at random for each call. After a
        completed rollout, they are the endpoints of the new version, or those
        of all other versions if it has none. After a rollback, they are those
        of all other versions.

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
        if rollout.state is RolloutState.COMPLETED:
            return new or old
        if rollout.state is RolloutState.ROLLED_BACK or not new:
            return old
        if not rollout.may_send_to_new(now_s):
            return old
        return new if not old or rng.random() < TRIAL_SHARE else old

    def _get_own_counts(self, endpoint: model.Endpoint) -> CallCounts | None:
        """Returns this process's counts for the version of an endpoint.

        The result is None if the service has no rollout.
        """
        rollout = self._rollouts.get(endpoint.service)
        if rollout is None:
            return None
        return rollout.own_counts[
            endpoint.version == rollout.order.target_version
        ]


def _is_failing(new: CallCounts, old: CallCounts) -> bool:
    """Whether the failure share of the new version is too high."""
    limit = (
        _FAILURE_FACTOR * old.compute_failure_share() + _FAILURE_SHARE_MARGIN
    )
    return (
        new.failure_count >= _MIN_FAILURES
        and new.compute_failure_share() > limit
    )


def _is_slow(new: CallCounts, old: CallCounts, *, is_due: bool) -> bool:
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
