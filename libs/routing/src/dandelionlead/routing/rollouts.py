"""Decides how many calls a new version receives and whether it is good.

Until the verdict, all processes together limit the calls to the new version to
a share of the service's calls plus a fixed number. Each process counts the
calls that it sent and their outcomes, and sends its counts to its peers in
messages. The verdict is based on the counts of all processes and is final:
the rollout is completed or rolled back. The module uses no clock and no I/O.
"""

from __future__ import annotations

import collections
import enum

from dandelionlead.routing import model
from dandelionlead.routing import rollout_counts
from dandelionlead.routing import version_comparison

# Share of a service's calls, and number of additional calls, that the new
# version may receive before the verdict. Both are below the operator's limit
# for a bad version, because the counts of peers are slightly out of date.
EXPOSURE_SHARE = 0.07
EXPOSURE_EXTRA_CALLS = 30
# Fraction of EXPOSURE_EXTRA_CALLS that is available at once. The rest becomes
# available over time, so that a version that starts to fail later still
# receives calls, which reveal the failures.
_INITIAL_EXTRA_FRACTION = 0.3
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


class RolloutState(enum.Enum):
    """State of a rollout; all states but RUNNING are verdicts."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


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
        self.own_counts = {
            True: rollout_counts.CallCounts(),
            False: rollout_counts.CallCounts(),
        }
        # Counts of the peers, by name and incarnation of the peer.
        self._peer_counts: dict[str, dict[bool, rollout_counts.CallCounts]] = {}
        # Times in seconds and the totals of the new version at these times.
        self._history: collections.deque[
            tuple[float, rollout_counts.CallCounts]
        ] = collections.deque()

    def replace_peer_counts(
        self, peer: str, counts: dict[bool, rollout_counts.CallCounts]
    ) -> None:
        """Replaces the stored counts of a peer with newer counts.

        Args:
            peer: Name and incarnation of the peer, so that the calls of an
                earlier incarnation still count.
            counts: Counts of the peer, with the same keys as `own_counts`.
        """
        self._peer_counts[peer] = counts

    def sum_counts(self, *, new: bool) -> rollout_counts.CallCounts:
        """Returns the sum of the counts of all processes.

        Args:
            new: True for the calls to the new version, False for the calls to
                all other versions.
        """
        total = rollout_counts.CallCounts()
        for counts in (self.own_counts, *self._peer_counts.values()):
            total.add(counts.get(new) or rollout_counts.CallCounts())
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

    def _update_history(
        self, now_s: float, new: rollout_counts.CallCounts
    ) -> rollout_counts.CallCounts:
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
            version_comparison.is_failing(new, old)
            or version_comparison.is_failing(recent, old)
            or version_comparison.is_slow(new, old, is_due=is_due)
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
