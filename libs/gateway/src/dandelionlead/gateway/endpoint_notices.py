"""Handles what endpoints state about themselves in their responses."""

from __future__ import annotations

from dandelionlead.core import clock
from dandelionlead.core import events
from dandelionlead.routing import calls
from dandelionlead.routing import endpoint_limits
from dandelionlead.routing import model


class EndpointNotices:
    """Handles the notices in the response heads of endpoints.

    Args:
        limits: Receives the limits that endpoints name.
        log: Receives a line for each limit that an endpoint names anew.
    """

    def __init__(
        self, limits: endpoint_limits.EndpointLimits, log: events.Log
    ) -> None:
        self._limits = limits
        self._log = log

    def handle(
        self, endpoint: model.Endpoint, head: calls.EndpointResponseHead
    ) -> None:
        """Handles the notices in a response to a call.

        Args:
            endpoint: The endpoint that the call was sent to.
            head: Head of its response.
        """
        limit = head.max_requests_per_s
        has_changed = self._limits.record_named(
            endpoint.endpoint_id, limit, clock.boottime()
        )
        if has_changed:
            self._log.event(
                "endpoint_limit",
                endpoint=endpoint.endpoint_id,
                per_s="none" if limit is None else limit,
            )
