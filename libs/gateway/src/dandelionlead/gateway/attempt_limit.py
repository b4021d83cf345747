"""Limits the number of engines that one stream may run on."""

from __future__ import annotations

from collections.abc import Callable

from dandelionlead.core import errors
from dandelionlead.gateway import call_progress
from dandelionlead.routing import model
from dandelionlead.routing import routing_view

_CONNECT_TIMEOUT_S = 0.3


class AttemptLimit:
    """Compares the engines that may have run a call with its route's limit.

    Engines that have ended, are leaving or cannot be reached do not count: a
    stream that has begun goes on although it has lost them.

    Args:
        progress: Holds the endpoints that may have run the call.
        view: Holds the entries of the endpoints and which of them are leaving.
        find_absence: Returns why an endpoint of a service has ended or cannot
            be reached within some seconds, or None. It is called only if the
            endpoint decides whether the limit is reached.
    """

    def __init__(
        self,
        progress: call_progress.CallProgress,
        view: routing_view.RoutingView,
        find_absence: Callable[
            [model.Endpoint, model.Service, float], errors.Failure | None
        ],
    ) -> None:
        self._progress = progress
        self._view = view
        self._find_absence = find_absence

    def allows_another(self) -> bool:
        """Returns whether one more endpoint may run the call."""
        admitted = self._progress.admitted
        max_attempts = admitted.route.max_attempts
        listed = [
            endpoint
            for endpoint in self._progress.possible_run_endpoints
            if self._is_listed(endpoint)
        ]
        if len(listed) < max_attempts:
            return True
        present_count = sum(
            self._find_absence(endpoint, admitted.service, _CONNECT_TIMEOUT_S)
            is None
            for endpoint in listed
        )
        return present_count < max_attempts

    def _is_listed(self, endpoint: model.Endpoint) -> bool:
        """Returns whether the same start of an endpoint has an entry."""
        entry = self._view.endpoints.get(endpoint.endpoint_id)
        return (
            entry is not None
            and entry.is_same_start(endpoint)
            and not self._view.is_leaving(endpoint.endpoint_id)
        )
