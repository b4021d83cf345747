"""Queues calls that wait for room on an engine, in order of urgency.

The queues inside engines are first in, first out, which makes every call late
in an overload. In this queue, calls that can still be on time come first,
ordered by priority and then by the latest time to send them. Late calls use the
remaining capacity.
"""

from __future__ import annotations

from dandelionlead.routing import calls

# Minimum time for which a call may wait, unless its deadline is earlier. Runs
# end often, so that room is likely to become free within this time.
MIN_WAIT_S = 0.3


class QueueEntry:
    """Entry of one call in a queue.

    Attributes:
        latest_start_s: Latest time in seconds at which the call can be sent
            to have its first event within the latency objective.
        reject_at_s: Time in seconds at which the call is rejected.
        priority: Priority of the call; 0 is the most urgent.
    """

    __slots__ = ("latest_start_s", "reject_at_s", "priority")

    def __init__(
        self,
        admitted: calls.AdmittedCall,
        expected_first_event_s: float,
        now_s: float,
        wait_fraction: float,
    ) -> None:
        """Computes the times of the entry.

        Args:
            admitted: The call.
            expected_first_event_s: Expected seconds from sending the call to
                its first event.
            now_s: Current time in seconds.
            wait_fraction: Fraction of the time left until the call's deadline
                that the call may wait. After that, the call is rejected, so
                that the caller still has time for another attempt.
        """
        on_time_until_s = (
            admitted.call.arrived_s + admitted.route.latency_objective_s
        )
        self.latest_start_s = on_time_until_s - expected_first_event_s
        remaining_s = admitted.deadline_s - now_s
        max_wait_s = max(MIN_WAIT_S, wait_fraction * remaining_s)
        self.reject_at_s = now_s + min(remaining_s, max_wait_s)
        self.priority = admitted.priority

    def sort_key(self, now_s: float) -> tuple[bool, int, float]:
        """Returns the sort key of the entry; the lowest key is sent next."""
        is_late = now_s > self.latest_start_s
        return is_late, self.priority, self.latest_start_s


class WaitQueue:
    """Calls of this process that wait for room on an engine of one service."""

    def __init__(self) -> None:
        self._entries: set[QueueEntry] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, entry: QueueEntry) -> None:
        """Adds an entry."""
        self._entries.add(entry)

    def discard(self, entry: QueueEntry) -> None:
        """Removes an entry, if it is in the queue."""
        self._entries.discard(entry)

    def is_next(self, entry: QueueEntry, now_s: float) -> bool:
        """Whether no other entry comes before this one."""
        key = entry.sort_key(now_s)
        return all(key <= other.sort_key(now_s) for other in self._entries)
