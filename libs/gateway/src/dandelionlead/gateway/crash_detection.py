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
# socket of an endpoint closes as soon as its process ends, and it is open
# again some seconds later, after the restart.
_DELAYS_S = (0.05, 0.4)
_CONNECT_TIMEOUT_S = 0.3


class CrashDetector:
    """Connects to endpoints whose connections broke, one check per endpoint.

    Args:
        places: Receives the suspected requests and the crashes.
        known: Holds which endpoints terminate.
        log: Receives one line for each crash.
    """

    def __init__(
        self,
        scheduler: scheduling.Scheduler,
        view: routing_view.RoutingView,
        log: events.Log,
    ) -> None:
        self._placement = scheduler
        self._view = view
        self._log = log
        self._checked_ids: set[str] = set()

    def record_broken_connection(
        self, fingerprint: str, endpoint: model.Endpoint
    ) -> None:
        """Records a broken connection and starts a check in the background.

        Args:
            fingerprint: Fingerprint of the request that the connection carried.
            endpoint: The endpoint. It is not checked if it terminates, since
                its end is expected then.
        """
        endpoint_id = endpoint.endpoint_id
        if self._view.is_leaving(endpoint_id):
            return
        now_s = clock.boottime()
        self._placement.crash_tracker.record_broken_connection(
            fingerprint, endpoint_id, now_s
        )
        if endpoint_id not in self._checked_ids:
            self._checked_ids.add(endpoint_id)
            eventlet.spawn_n(self._check, endpoint)

    def _check(self, endpoint: model.Endpoint) -> None:
        """Tries to connect until that fails or all attempts have succeeded."""
        try:
            for delay_s in _DELAYS_S:
                eventlet.sleep(delay_s)
                if self._record_if_crashed(endpoint):
                    return
        finally:
            self._checked_ids.discard(endpoint.endpoint_id)

    def _record_if_crashed(self, endpoint: model.Endpoint) -> bool:
        """Records and returns whether an endpoint cannot be connected to."""
        conn = client.connect(endpoint.address, _CONNECT_TIMEOUT_S)
        if not isinstance(conn, errors.Failure):
            conn.close()
            return False
        self._placement.record_unreachable(endpoint, clock.boottime())
        self._log.event(
            "endpoint_crashed",
            endpoint=endpoint.endpoint_id,
            reason=conn.reason,
        )
        return True
