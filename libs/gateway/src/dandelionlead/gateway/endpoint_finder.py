"""Chooses endpoints for calls; queues generations until an engine has room.

Calls to plain services get an endpoint at once. Generations wait until an
engine has enough room in its KV cache, in one queue for each service.
"""

from __future__ import annotations

from collections.abc import Collection

import eventlet

from dandelionlead.core import clock
from dandelionlead.gateway import serving
from dandelionlead.routing import calls
from dandelionlead.routing import model
from dandelionlead.routing import scheduling
from dandelionlead.routing import wait_queue

_POLL_INTERVAL_S = 0.02


class EndpointFinder:
    """Chooses endpoints; holds one queue of calls for each engine service.

    Args:
        scheduler: Chooses endpoints.
        serving_state: Decides which calls may wait while this process stops.
    """

    def __init__(
        self,
        scheduler: scheduling.Scheduler,
        serving_state: serving.ServingState,
    ) -> None:
        self._scheduler = scheduler
        self._serving_state = serving_state
        self._queues: dict[str, wait_queue.WaitQueue] = {}

    def find(
        self,
        admitted: calls.AdmittedCall,
        memory_tokens: int,
        tried_ids: Collection[str],
    ) -> model.Endpoint | None:
        """Returns an endpoint for a call; may wait for room on an engine.

        Calls to plain services do not wait, and neither do calls to a service
        that has no open endpoint.

        Args:
            admitted: The call.
            memory_tokens: KV cache tokens that the call occupies when it ends.
            tried_ids: Ids of endpoints that the call was already sent to.

        Returns:
            The endpoint; None if no endpoint can take the call, if no engine
            had room in time, or if this process stops before the call may end.
        """
        service = admitted.service
        if service.engine is None or not self._scheduler.has_open_endpoint(
            service.name
        ):
            return self._choose_endpoint(
                admitted, memory_tokens, tried_ids, None
            )
        return self._await_room(admitted, memory_tokens, tried_ids)

    def _await_room(
        self,
        admitted: calls.AdmittedCall,
        memory_tokens: int,
        tried_ids: Collection[str],
    ) -> model.Endpoint | None:
        """Queues a call until an engine has room or the call is rejected."""
        policy = self._scheduler.operator_policy
        is_repeatable = admitted.route.is_repeatable
        max_fill = policy.short_run_fill if is_repeatable else policy.run_fill
        service_name = admitted.service.name
        queue = self._queues.setdefault(service_name, wait_queue.WaitQueue())
        entry = wait_queue.QueueEntry(
            admitted,
            self._scheduler.estimate_read_s(
                "", admitted.call.prompt_tokens, clock.boottime()
            ),
            clock.boottime(),
            policy.wait_part,
        )
        queue.add(entry)
        try:
            while (now_s := clock.boottime()) < entry.reject_at_s:
                if not self._serving_state.can_finish(admitted):
                    return None
                if queue.is_next(entry, now_s):
                    endpoint = self._choose_endpoint(
                        admitted, memory_tokens, tried_ids, max_fill
                    )
                    if endpoint is not None:
                        return endpoint
                    wait_s = self._scheduler.compute_limit_wait_s(
                        service_name, now_s
                    )
                    if now_s + wait_s >= entry.reject_at_s:
                        return None
                eventlet.sleep(_POLL_INTERVAL_S)
            return None
        finally:
            queue.discard(entry)

    def _choose_endpoint(
        self,
        admitted: calls.AdmittedCall,
        memory_tokens: int,
        tried_ids: Collection[str],
        max_fill: float | None,
    ) -> model.Endpoint | None:
        """Returns an endpoint with room now, or None.

        Args:
            admitted: The call.
            memory_tokens: KV cache tokens that the call occupies when it ends.
            tried_ids: Ids of endpoints that must not be chosen.
            max_fill: Fraction of an engine's KV cache that may be in use
                afterwards; None for no limit.
        """
        return self._scheduler.choose_endpoint(
            admitted.service,
            memory_tokens,
            clock.boottime(),
            excluded_ids=tried_ids,
            max_fill=max_fill,
            prompt_tokens=admitted.call.prompt_tokens,
        )
