"""Queue of requests for engines, and their placement on endpoints."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import eventlet
from eventlet import event

from dandelionlead.admission import fairness
from dandelionlead.admission import lengths
from dandelionlead.admission import overload
from dandelionlead.core import clock
from dandelionlead.core import errors

if TYPE_CHECKING:
    from collections.abc import Callable

    from dandelionlead.admission import grants
    from dandelionlead.config import model
    from dandelionlead.entry import capacity

# Running generations grow, so that plans are made anew this often.
PLAN_S = 1.0
# Requests that wait are looked at again this often even if nothing changed.
PUMP_PERIOD_S = 0.1


class Placed:
    """Endpoint and units for one request."""

    __slots__ = ("endpoint", "lease")

    def __init__(self, endpoint: model.Endpoint, lease: grants.Lease) -> None:
        self.endpoint = endpoint
        self.lease = lease


class Wish:
    """What a request needs.

    Attributes:
        request_id: Id of the request.
        model: Name of the model.
        work: Its memory.
        candidates: Returns the endpoints that may run it now, the best first.
        alone: Whether it needs all units of an endpoint.
        placed: Set with a `Placed` or a failure.
    """

    __slots__ = ("request_id", "model", "work", "candidates", "alone", "placed")

    def __init__(
        self,
        request_id: str,
        model_name: str,
        work: lengths.Work,
        candidates: Callable[[], list[model.Endpoint]],
        *,
        alone: bool = False,
    ) -> None:
        self.request_id = request_id
        self.model = model_name
        self.work = work
        self.candidates = candidates
        self.alone = alone
        self.reset()

    def reset(self) -> None:
        """Makes it wait again."""
        self.placed: event.Event = event.Event()


class Running:
    """A generation of this entry on an endpoint.

    Attributes:
        work: Its memory.
        lease: Its units.
        position: Returns the tokens that it has generated.
    """

    __slots__ = ("work", "lease", "position")

    def __init__(
        self,
        work: lengths.Work,
        lease: grants.Lease,
        position: Callable[[], int],
    ) -> None:
        self.work = work
        self.lease = lease
        self.position = position


class Placement:
    """Places requests on endpoints in fair order.

    Attributes:
        lengths: Learned output lengths.
    """

    def __init__(
        self, source: capacity.Capacity, entries: Callable[[], int]
    ) -> None:
        """Starts without a configuration.

        Args:
            source: Units that this entry may use.
            entries: Returns the number of entries that reserve together.
        """
        self.lengths = lengths.Lengths()
        self._policy: lengths.ReservationPolicy = lengths.ByLength(self.lengths)
        self._capacity = source
        self._entries = entries
        self._queues: dict[str, fairness.FairQueue] = {}
        self._overload: dict[str, overload.Overload] = {}
        self._weights: dict[str, float] = {}
        self._running: dict[str, list[Running]] = {}
        self._plans: dict[str, tuple[float, lengths.Plan]] = {}
        self._pumping = False

    def configure(self, operators: model.Operators) -> None:
        """Puts another configuration in force."""
        self._weights = {
            name: team.weight for name, team in operators.teams.items()
        }
        for queue in self._queues.values():
            queue.set_weights(self._weights)
        self._policy = lengths.ByLength(
            self.lengths,
            k=operators.admission.deviations,
            entries=max(1, self._entries()),
        )
        self._plans.clear()

    def wait(
        self, wish: Wish, team: str, priority: int, deadline: float
    ) -> Placed | errors.Failure:
        """Waits until the request is placed or refused."""
        now = clock.boottime()
        item = fairness.Waiting(
            team,
            self._units(wish.work),
            priority,
            deadline,
            now,
            wish,
            route=wish.work.route,
        )
        queue = self._queue(wish.model)
        refusal = self._overload[wish.model].refusal(queue, item, now)
        if refusal is None:
            refusal = queue.push(item, now)
        if refusal is not None:
            return refusal
        self.pump()
        try:
            with eventlet.Timeout(max(0.0, deadline - now), False):
                return wish.placed.wait()
        finally:
            queue.remove(item)
        if wish.placed.ready():
            return wish.placed.wait()
        return errors.Failure(
            errors.Kind.DEADLINE_EXCEEDED,
            f"no endpoint had {item.units} units free in time",
        )

    def started(self, endpoint: str, running: Running) -> None:
        """Notes that a generation runs on an endpoint."""
        self._running.setdefault(endpoint, []).append(running)
        known = self._plans.get(endpoint)
        if known is not None:
            made_at, plan = known
            self._plans[endpoint] = made_at, plan.with_new(running.work)

    def ended(self, endpoint: str, running: Running) -> None:
        """Notes that a generation no longer runs on an endpoint."""
        listed = self._running.get(endpoint, [])
        if running in listed:
            listed.remove(running)
            self._plans.pop(endpoint, None)
        self.pump()

    def reserved(self, endpoint: str) -> int:
        """Returns the units kept for confirmed generations together."""
        return self._policy.reserve(
            [
                item.work
                for item in self._grown(endpoint)
                if item.lease.confirmed
            ]
        )

    def pump_forever(self) -> None:
        """Looks after requests that wait, for ever."""
        while True:
            eventlet.sleep(PUMP_PERIOD_S)
            now = clock.boottime()
            for name, queue in self._queues.items():
                for item, failure in self._overload[name].shed(queue, now):
                    self._answer(item.payload, failure)
            self.pump()

    def pump(self) -> None:
        """Places as many waiting requests as there are units for."""
        if self._pumping:
            return
        self._pumping = True
        try:
            for name, queue in self._queues.items():
                self._pump_queue(name, queue)
        finally:
            self._pumping = False

    def dump(self) -> dict[str, Any]:
        """Returns queue lengths and running requests."""
        return {
            "waiting": {name: len(que) for name, que in self._queues.items()},
            "running": {name: len(lst) for name, lst in self._running.items()},
        }

    def _pump_queue(self, name: str, queue: fairness.FairQueue) -> None:
        while len(queue):
            now = clock.boottime()
            found: list[Placed] = []

            def fits(
                item: fairness.Waiting, found: list[Placed] = found
            ) -> bool:
                placed = self._place(item.payload)
                if placed is not None:
                    found.append(placed)
                return placed is not None

            item = queue.pop(now, fits)
            if item is None:
                return
            self._overload[name].started(item.units, now, item=item)
            self._answer(item.payload, found.pop())

    def _place(self, wish: Wish) -> Placed | None:
        now = clock.boottime()
        candidates = wish.candidates()
        asked = False
        for endpoint in candidates:
            if not self._capacity.accepts_work(endpoint.name):
                continue
            units = self._units_at(wish, endpoint)
            here = self._capacity.pool.unused(endpoint.name, now)
            if here < units and asked:
                continue
            # Taking notes the miss, so that units of the best endpoint are
            # asked for even if another one takes this request. Otherwise an
            # endpoint that comes back would never get work again.
            asked = True
            lease = self._capacity.pool.take(endpoint.name, units, now)
            if lease is not None:
                return Placed(endpoint, lease)
        return None

    def _units_at(self, wish: Wish, endpoint: model.Endpoint) -> int:
        if wish.alone:
            return max(1, self._capacity.limit_units(endpoint.name))
        units = self._plan(endpoint.name).needed(wish.work)
        return min(units, endpoint.memory_tokens)

    def _plan(self, endpoint: str) -> lengths.Plan:
        now = clock.boottime()
        made_at, plan = self._plans.get(endpoint, (0.0, None))
        if plan is None or now - made_at > PLAN_S:
            works = [item.work for item in self._grown(endpoint)]
            plan = self._policy.plan(works)
            self._plans[endpoint] = now, plan
        return plan

    def _grown(self, endpoint: str) -> list[Running]:
        """Returns the generations with their present lengths."""
        listed = self._running.get(endpoint, [])
        for item in listed:
            item.work.generated = item.position()
        return listed

    def _units(self, work: lengths.Work) -> int:
        return self._policy.plan([]).needed(work)

    def _answer(self, wish: Wish, result: Placed | errors.Failure) -> None:
        if not wish.placed.ready():
            wish.placed.send(result)

    def _queue(self, name: str) -> fairness.FairQueue:
        queue = self._queues.get(name)
        if queue is None:
            queue = fairness.FairQueue(self._weights)
            self._queues[name] = queue
            self._overload[name] = overload.Overload()
        return queue
