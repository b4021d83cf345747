"""Counts of the calls to the new version and to all others in a rollout."""

from __future__ import annotations

from dandelionlead.routing import call_durations

# Number of routes whose durations a process sends to its peers. It bounds the
# size of a message.
_MAX_SHARED_ROUTES = 8


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
        durations: dict[str, call_durations.LogDurations] | None = None,
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
            self.durations.setdefault(route, call_durations.LogDurations()).add(
                durations
            )

    def list_shared_durations(self) -> dict[str, call_durations.LogDurations]:
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
