"""Handles what endpoints state about themselves in their responses."""

from __future__ import annotations

from dandelionlead.core import events
from dandelionlead.routing import calls
from dandelionlead.routing import model


class EndpointNotices:
    """Handles the notices in the response heads of endpoints.

    Args:
        log: Receives a line for each limit that an endpoint names anew.
    """

    def __init__(self, log: events.Log) -> None:
        self._log = log
        self._limits: dict[str, float] = {}

    def handle(
        self, endpoint: model.Endpoint, head: calls.EndpointResponseHead
    ) -> None:
        """Handles the notices in a response to a call.

        Args:
            endpoint: The endpoint that the call was sent to.
            head: Head of its response.
        """
        endpoint_id = endpoint.endpoint_id
        limit = head.max_requests_per_s
        if self._limits.get(endpoint_id) == limit:
            return
        if limit is None:
            del self._limits[endpoint_id]
        else:
            self._limits[endpoint_id] = limit
        self._log.event(
            "endpoint_limit",
            endpoint=endpoint_id,
            per_s="none" if limit is None else limit,
        )
