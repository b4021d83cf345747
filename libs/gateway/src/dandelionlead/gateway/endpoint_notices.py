"""Handles what endpoints state about themselves in their responses."""

from __future__ import annotations

from dandelionlead.core import clock
from dandelionlead.core import events
from dandelionlead.routing import calls
from dandelionlead.routing import endpoint_limits
from dandelionlead.routing import model
from dandelionlead.routing import routing_view


class EndpointNotices:
    """Handles the notices in the response heads of endpoints.

    Args:
        view: Records which endpoints are leaving.
        limits: Receives the limits that endpoints name.
        log: Receives a line for each new notice.
    """

    def __init__(
        self,
        view: routing_view.RoutingView,
        limits: endpoint_limits.EndpointLimits,
        log: events.Log,
    ) -> None:
        self._view = view
        self._limits = limits
        self._log = log

    def is_leaving(self, endpoint: model.Endpoint) -> bool:
        """Whether this start of an endpoint has announced that it leaves."""
        return self._view.is_exit_announced(endpoint, clock.boottime())

    def handle(
        self, endpoint: model.Endpoint, head: calls.EndpointResponseHead
    ) -> None:
        """Handles the notices in a response to a call.

        Args:
            endpoint: The endpoint that the call was sent to.
            head: Head of its response.
        """
        if head.is_leaving:
            self._mark_leaving(endpoint)
        now_s = clock.boottime()
        if head.pause_s:
            self._limits.pause(endpoint.endpoint_id, now_s + head.pause_s)
            self._log.event(
                "endpoint_pause",
                endpoint=endpoint.endpoint_id,
                pause_s=head.pause_s,
            )
        limit = head.max_requests_per_s
        has_changed = self._limits.record_named(
            endpoint.endpoint_id, limit, now_s
        )
        if has_changed:
            self._log.event(
                "endpoint_limit",
                endpoint=endpoint.endpoint_id,
                per_s="none" if limit is None else limit,
            )

    def _mark_leaving(self, endpoint: model.Endpoint) -> None:
        """Marks the start of an endpoint that has responded as leaving."""
        endpoint_id = endpoint.endpoint_id
        if not self._view.is_leaving(endpoint_id):
            self._log.event("endpoint_says_it_leaves", endpoint=endpoint_id)
        self._view.mark_leaving(endpoint_id, incarnation=endpoint.incarnation)
