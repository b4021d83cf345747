"""Limits the number of engines that one stream may run on."""

from __future__ import annotations

from collections.abc import Callable

from dandelionlead.core import errors
from dandelionlead.gateway import call_progress
from dandelionlead.http import client
from dandelionlead.routing import model
from dandelionlead.routing import routing_view

_CONNECT_TIMEOUT_S = 0.3


def can_connect(endpoint: model.Endpoint) -> bool:
    """Returns whether an endpoint accepts a connection now."""
    conn = client.connect(endpoint.address, _CONNECT_TIMEOUT_S)
    if isinstance(conn, errors.Failure):
        return False
    conn.close()
    return True


class AttemptLimit:
    """Compares the engines that may have run a call with its route's limit.

    Engines that have ended, are leaving or cannot be reached do not count: a
    stream that has begun goes on although it has lost them.

    Args:
        progress: Holds the endpoints that may have run the call.
        view: Holds the entries of the endpoints and which of them are leaving.
        connects: Returns whether an endpoint accepts a connection. It is called
            only if the endpoint decides whether the limit is reached.
    """

    def __init__(
        self,
        progress: call_progress.CallProgress,
        view: routing_view.RoutingView,
        connects: Callable[[model.Endpoint], bool] = can_connect,
    ) -> None:
        self._progress = progress
        self._view = view
        self._connects = connects

    def allows_another(self) -> bool:
        """Returns whether one more endpoint may run the call."""
        max_attempts = self._progress.admitted.route.max_attempts
        listed = [
            endpoint
            for endpoint in self._progress.possible_run_endpoints
            if self._is_listed(endpoint)
        ]
        if len(listed) < max_attempts:
            return True
        return sum(map(self._connects, listed)) < max_attempts

    def _is_listed(self, endpoint: model.Endpoint) -> bool:
        """Returns whether the same start of an endpoint has an entry."""
        entry = self._view.endpoints.get(endpoint.endpoint_id)
        return (
            entry is not None
            and entry.is_same_start(endpoint)
            and not self._view.is_leaving(endpoint.endpoint_id)
        )
