"""Checks whether an endpoint crashed after a connection to it broke.

The result feeds the detection of requests that crash their endpoints: a broken
connection counts as a crash only if the endpoint cannot be reached any more.
"""

from __future__ import annotations

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.http import client
from dandelionlead.routing import model
from dandelionlead.routing import routing_view
from dandelionlead.routing import scheduling

# Pauses before the first and the second connection attempt. The listening
# socket of an endpoint closes as soon as its process ends. It opens again some
# seconds later, after the restart.
_DELAYS_S = (0.05, 0.4)
_CONNECT_TIMEOUT_S = 0.3


class CrashDetector:
    """Checks endpoints whose connections broke.

    At most one check of each endpoint is in progress at a time.

    Args:
        scheduler: Records the suspected requests and the crashes.
        view: Holds which endpoints are leaving.
        log: Receives one line for each crash.
    """

    def __init__(
        self,
        scheduler: scheduling.Scheduler,
        view: routing_view.RoutingView,
        log: events.Log,
    ) -> None:
        self._scheduler = scheduler
        self._view = view
        self._log = log
        self._endpoint_ids_in_check: set[str] = set()

    def record_broken_connection(
        self, fingerprint: str, endpoint: model.Endpoint
    ) -> None:
        """Records a broken connection and starts a check in the background.

        Args:
            fingerprint: Fingerprint of the request that the connection carried.
            endpoint: The endpoint. Nothing is recorded for a leaving endpoint,
                since its connections are expected to break.
        """
        endpoint_id = endpoint.endpoint_id
        if self._view.is_leaving(endpoint_id):
            return
        now_s = clock.boottime()
        self._scheduler.crash_tracker.record_broken_connection(
            fingerprint, endpoint_id, now_s
        )
        if endpoint_id not in self._endpoint_ids_in_check:
            self._endpoint_ids_in_check.add(endpoint_id)
            eventlet.spawn_n(self._check, endpoint)

    def _check(self, endpoint: model.Endpoint) -> None:
        """Tries to connect twice; records a crash if an attempt fails."""
        try:
            for delay_s in _DELAYS_S:
                eventlet.sleep(delay_s)
                if self._record_if_crashed(endpoint):
                    return
        finally:
            self._endpoint_ids_in_check.discard(endpoint.endpoint_id)

    def _record_if_crashed(self, endpoint: model.Endpoint) -> bool:
        """Records a crash and returns True if a connection attempt fails."""
        conn = client.connect(endpoint.address, _CONNECT_TIMEOUT_S)
        if not isinstance(conn, errors.Failure):
            conn.close()
            return False
        self._scheduler.record_unreachable(endpoint, clock.boottime())
        self._log.event(
            "endpoint_crashed",
            endpoint=endpoint.endpoint_id,
            reason=conn.reason,
        )
        return True
