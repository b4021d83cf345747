"""Calls that wait for room on an engine, and which of them goes next.

Engines would queue them in the order in which they came, and in an overload
that makes all of them late. Here those that can still be on time go first,
the one with the least time left before the others; late ones use what is left.
"""

from __future__ import annotations

from dandelionlead.routing import calls

# A call waits at least so long, since runs end all the time.
LEAST_WAIT_S = 0.3


class Place:
    """One call's place among those that wait.

    Attributes:
        on_time_until_s: Last instant at which it can be sent and be on time.
        give_up_s: When it is refused.
        priority: 0 is the most urgent.
    """

    __slots__ = ("on_time_until_s", "give_up_s", "priority")

    def __init__(
        self,
        admitted: calls.Admitted,
        expected_first_s: float,
        now_s: float,
        wait_part: float,
    ) -> None:
        """Takes a place.

        Args:
            admitted: The call.
            expected_first_s: Seconds from sending to the first event.
            now_s: Present instant.
            wait_part: Part of the time that is left that it may wait. After
                that its caller is told to come back, while there is time for
                another try.
        """
        due_s = admitted.call.arrived_s + admitted.route.objective_s
        self.on_time_until_s = due_s - expected_first_s
        left_s = admitted.until_s - now_s
        wait_s = max(LEAST_WAIT_S, wait_part * left_s)
        self.give_up_s = now_s + min(left_s, wait_s)
        self.priority = admitted.priority

    def rank(self, now_s: float) -> tuple[bool, int, float]:
        """Returns what the places are ordered by, the next one least."""
        late = now_s > self.on_time_until_s
        return late, self.priority, self.on_time_until_s


class Queue:
    """The calls of this process that wait for room on one service."""

    def __init__(self) -> None:
        self._places: set[Place] = set()

    def __len__(self) -> int:
        return len(self._places)

    def enter(self, place: Place) -> None:
        """Adds a place."""
        self._places.add(place)

    def leave(self, place: Place) -> None:
        """Removes a place."""
        self._places.discard(place)

    def is_next(self, place: Place, now_s: float) -> bool:
        """Whether no other place comes before this one."""
        own = place.rank(now_s)
        return all(own <= other.rank(now_s) for other in self._places)
