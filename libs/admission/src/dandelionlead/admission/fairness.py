"""Queue of an entry: weighted fair shares between teams, by units.

Start-time fair queueing: each team has a virtual time that advances by units
over weight for what it was given, and the team that is furthest behind is next.
Within a team, higher priority comes first, then the earlier deadline. Priority
does not cross teams, so that no team takes another team's share by it.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from dandelionlead.core import errors

# Requests that one entry keeps waiting. At 37.5 requests a second it is a
# queue of 14 s, longer than any deadline that could still be met.
MAX_WAITING = 512
# A team may fill this part of the queue beyond its weight's share.
_SLACK_FRACTION = 1 / 8


class Waiting:
    """A request that waits for units.

    Attributes:
        team: Team of the request.
        units: Units that it needs.
        priority: Higher is served first within the team.
        deadline: Time by which it must be dispatched.
        enqueued_at: Time at which it was queued.
        payload: Whatever the caller needs to start it.
        route: Route, by which `overload` learns how well it estimates.
        estimated_s: Wait that `overload` estimated; 0 without an estimate.
    """

    __slots__ = (
        "team",
        "units",
        "priority",
        "deadline",
        "enqueued_at",
        "payload",
        "route",
        "estimated_s",
        "_queued",
    )

    def __init__(
        self,
        team: str,
        units: int,
        priority: int,
        deadline: float,
        enqueued_at: float,
        payload: Any = None,
        *,
        route: str = "",
    ) -> None:
        self.team = team
        self.units = units
        self.priority = priority
        self.deadline = deadline
        self.enqueued_at = enqueued_at
        self.payload = payload
        self.route = route
        self.estimated_s = 0.0
        self._queued = False


class FairQueue:
    """Bounded queue that serves teams by weighted fair shares."""

    def __init__(
        self,
        weights: Mapping[str, float] | None = None,
        *,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        """Starts empty.

        Args:
            weights: Weight of each team; 1 for those not named.
            max_waiting: Requests that may wait together.
        """
        self._weights = dict(weights or {})
        self._max_waiting = max_waiting
        self._teams: dict[str, _Team] = {}
        self._order = itertools.count()
        self._virtual = 0.0
        self._size = 0
        self._units = 0

    def __len__(self) -> int:
        return self._size

    @property
    def units(self) -> int:
        """Units of all requests that wait."""
        return self._units

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Puts other weights in force for what is served from now on."""
        self._weights = dict(weights)

    def waiting(self, team: str) -> int:
        """Returns the number of a team's requests that wait."""
        state = self._teams.get(team)
        return len(state) if state else 0

    def units_ahead(self, team: str, units: int) -> float:
        """Returns the units that are served before a new request of a team.

        Every other team gets at most its weight's share for what the team
        itself has waiting, and never more than it has waiting.
        """
        own = self._teams.get(team)
        own_units = units + (own.units if own else 0)
        own_share = own_units / self._weight(team)
        ahead = float(own_units - units)
        for name, state in self._teams.items():
            if name != team:
                ahead += min(state.units, own_share * self._weight(name))
        return ahead

    def push(self, item: Waiting, now: float) -> errors.Failure | None:
        """Queues a request, or says why not."""
        if now >= item.deadline:
            return errors.Failure(
                errors.Kind.DEADLINE_EXCEEDED,
                "The deadline has passed already.",
            )
        if self._size >= self._max_waiting:
            return self._full(item)
        state = self._teams.get(item.team)
        if state is None:
            state = _Team()
            self._teams[item.team] = state
        if not len(state):
            # Idle time earns no credit.
            state.virtual = max(state.virtual, self._virtual)
        item._queued = True
        key = (-item.priority, item.deadline, next(self._order))
        heapq.heappush(state.heap, (key, item))
        self._count(state, item, 1)
        return None

    def pop(
        self, now: float, fits: Callable[[Waiting], bool] = lambda _: True
    ) -> Waiting | None:
        """Returns the next request, or None if there is none that fits.

        Args:
            now: Time; requests beyond their deadline are not returned.
            fits: Whether a request could be started now. If the first request
                of the team that is next does not fit, later teams are tried,
                so that one large request does not stop the others; the team
                stays first.
        """
        ranked = sorted(
            (state.virtual, name, state)
            for name, state in self._teams.items()
            if len(state)
        )
        for virtual, name, state in ranked:
            item = state.first(now)
            if item is None or not fits(item):
                continue
            self._take(state, item)
            self._virtual = max(self._virtual, virtual)
            state.virtual = virtual + item.units / self._weight(name)
            return item
        return None

    def settle(self, team: str, reserved: int, used: int) -> None:
        """Charges what a generation used instead of what was reserved."""
        state = self._teams.get(team)
        if state is not None:
            state.virtual += (used - reserved) / self._weight(team)

    def remove(self, item: Waiting) -> bool:
        """Removes a request, for example when its caller has gone."""
        if not item._queued:
            return False
        self._take(self._teams[item.team], item)
        return True

    def expired(self, now: float, least_s: float = 0.0) -> list[Waiting]:
        """Removes and returns requests that miss their deadline.

        Args:
            now: Time.
            least_s: Seconds that a request must have left to be of use.
        """
        late = []
        for state in self._teams.values():
            for _, item in state.heap:
                if item._queued and now + least_s >= item.deadline:
                    late.append(item)
        for item in late:
            self._take(self._teams[item.team], item)
        return late

    def is_over_share(self, team: str) -> bool:
        """Returns whether a team fills more than its share of the queue."""
        busy = {name for name, state in self._teams.items() if len(state)}
        total = sum(self._weight(name) for name in busy | {team})
        share = self._weight(team) / total
        allowed = self._size * share + self._max_waiting * _SLACK_FRACTION
        return self.waiting(team) > allowed

    def _full(self, item: Waiting) -> errors.Failure:
        if self.is_over_share(item.team):
            return errors.Failure(
                errors.Kind.OVER_SHARE,
                f"Team {item.team} fills more than its share of a full queue.",
            )
        return errors.Failure(
            errors.Kind.OVERLOADED,
            f"The queue is full with {self._size} requests.",
        )

    def _weight(self, team: str) -> float:
        return self._weights.get(team, 1.0)

    def _take(self, state: _Team, item: Waiting) -> None:
        item._queued = False
        self._count(state, item, -1)
        state.tidy()

    def _count(self, state: _Team, item: Waiting, sign: int) -> None:
        state.size += sign
        state.units += sign * item.units
        self._size += sign
        self._units += sign * item.units


class _Team:
    """Requests of one team; removed ones stay in the heap until on top."""

    __slots__ = ("heap", "virtual", "size", "units")

    def __init__(self) -> None:
        self.heap: list[tuple[tuple[int, float, int], Waiting]] = []
        self.virtual = 0.0
        self.size = 0
        self.units = 0

    def __len__(self) -> int:
        return self.size

    def __bool__(self) -> bool:
        return True

    def first(self, now: float) -> Waiting | None:
        self.tidy()
        if self.heap and now < self.heap[0][1].deadline:
            return self.heap[0][1]
        live = [
            entry
            for entry in self.heap
            if entry[1]._queued and now < entry[1].deadline
        ]
        return min(live)[1] if live else None

    def tidy(self) -> None:
        while self.heap and not self.heap[0][1]._queued:
            heapq.heappop(self.heap)
        if len(self.heap) > 2 * self.size + 16:
            self.heap = [item for item in self.heap if item[1]._queued]
            heapq.heapify(self.heap)
