"""Finds endpoints for calls; generations wait until an engine has room."""

from __future__ import annotations

from collections.abc import Collection

import eventlet

from dandelionlead.core import clock
from dandelionlead.routing import calls
from dandelionlead.routing import model
from dandelionlead.routing import placement
from dandelionlead.routing import waiting

_POLL_S = 0.02


class Rooms:
    """The calls of one process that look for an endpoint."""

    def __init__(self, places: placement.Placement) -> None:
        self._places = places
        self._queues: dict[str, waiting.Queue] = {}

    def find(
        self, admitted: calls.Admitted, tokens: int, tried: Collection[str]
    ) -> model.Endpoint | None:
        """Returns an endpoint for a call, or None if it is to be refused.

        Args:
            admitted: The call.
            tokens: Engine memory that it will take.
            tried: Ids of endpoints that it was sent to before.
        """
        service = admitted.service
        if service.engine is None or not self._places.any_open(service.name):
            return self._choose(admitted, tokens, tried, None)
        return self._await_room(admitted, tokens, tried)

    def _await_room(
        self, admitted: calls.Admitted, tokens: int, tried: Collection[str]
    ) -> model.Endpoint | None:
        policy = self._places.policy
        repeatable = admitted.route.repeatable
        fill = policy.short_run_fill if repeatable else policy.run_fill
        name = admitted.service.name
        queue = self._queues.setdefault(name, waiting.Queue())
        place = waiting.Place(
            admitted,
            self._places.pace.expected_s(admitted.call.prompt_tokens),
            clock.boottime(),
            policy.wait_part,
        )
        queue.enter(place)
        try:
            while (now_s := clock.boottime()) < place.give_up_s:
                if queue.is_next(place, now_s):
                    found = self._choose(admitted, tokens, tried, fill)
                    if found is not None:
                        return found
                eventlet.sleep(_POLL_S)
            return None
        finally:
            queue.leave(place)

    def _choose(
        self,
        admitted: calls.Admitted,
        tokens: int,
        tried: Collection[str],
        fill: float | None,
    ) -> model.Endpoint | None:
        return self._places.choose(
            admitted.service,
            tokens,
            clock.boottime(),
            excluded=tried,
            fill=fill,
        )
