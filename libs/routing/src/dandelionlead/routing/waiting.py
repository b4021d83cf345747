"""Queues calls that wait for room on an engine, ordered by deadline.

The queues of engines are first in, first out, which makes every call late in an
overload. In this queue, calls that can still be on time come first, ordered by
priority and then by the time left. Late calls use the remaining capacity.
"""

from __future__ import annotations

from dandelionlead.routing import calls

# Minimum wait in seconds, unless less time is left until the call is due. Runs
# end often, so that room is likely to become free within it.
LEAST_WAIT_S = 0.3


class Place:
    """Entry of one call in a queue.

    Attributes:
        on_time_until_s: Latest time in seconds at which the call can be sent
            to have its first event within the latency objective.
        give_up_s: Time in seconds at which the call is refused.
        priority: Priority of the call; 0 is the most urgent.
    """

    __slots__ = ("on_time_until_s", "give_up_s", "priority")

    def __init__(
        self,
        admitted: calls.Admitted,
        expected_first_s: float,
        now_s: float,
        wait_part: float,
    ) -> None:
        """Computes the times of the entry.

        Args:
            admitted: The call.
            expected_first_s: Expected seconds from sending the call to its
                first event.
            now_s: Current time in seconds.
            wait_part: Fraction of the time left until the call is due that it
                may wait. The call is then refused, while the caller still has
                time for another attempt.
        """
        due_s = admitted.call.arrived_s + admitted.route.objective_s
        self.on_time_until_s = due_s - expected_first_s
        left_s = admitted.until_s - now_s
        wait_s = max(LEAST_WAIT_S, wait_part * left_s)
        self.give_up_s = now_s + min(left_s, wait_s)
        self.priority = admitted.priority

    def rank(self, now_s: float) -> tuple[bool, int, float]:
        """Returns the sort key of the entry; the next call has the lowest."""
        is_late = now_s > self.on_time_until_s
        return is_late, self.priority, self.on_time_until_s


class Queue:
    """Calls of this process that wait for room on an engine of one service."""

    def __init__(self) -> None:
        self._entries: set[Place] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def enter(self, place: Place) -> None:
        """Adds an entry."""
        self._entries.add(place)

    def leave(self, place: Place) -> None:
        """Removes an entry, if it is in the queue."""
        self._entries.discard(place)

    def is_next(self, place: Place, now_s: float) -> bool:
        """Whether no other entry comes before this one."""
        rank = place.rank(now_s)
        return all(rank <= other.rank(now_s) for other in self._entries)
