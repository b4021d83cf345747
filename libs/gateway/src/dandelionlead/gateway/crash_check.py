"""Finds out whether an endpoint ended when its connection broke off."""

from __future__ import annotations

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.http import channel
from dandelionlead.routing import model
from dandelionlead.routing import placement
from dandelionlead.routing import view

# An endpoint that ends takes its listening socket with it at once; it is back
# after some seconds.
_DELAYS_S = (0.05, 0.4)
_CONNECT_LIMIT_S = 0.3


class CrashCheck:
    """Connects to endpoints whose connection broke off, one check at a time."""

    def __init__(
        self, places: placement.Placement, known: view.View, log: events.Log
    ) -> None:
        self._places = places
        self._view = known
        self._log = log
        self._running: set[str] = set()

    def broke_off(self, print_: str, endpoint: model.Endpoint) -> None:
        """Takes a request whose connection to an endpoint broke off.

        Args:
            print_: Fingerprint of the request.
            endpoint: The endpoint. One that said that it leaves is passed
                over, as its end was to come.
        """
        endpoint_id = endpoint.endpoint_id
        if self._view.is_leaving(endpoint_id):
            return
        now_s = clock.boottime()
        self._places.crashes.broke_off(print_, endpoint_id, now_s)
        if endpoint_id not in self._running:
            self._running.add(endpoint_id)
            eventlet.spawn_n(self._check, endpoint)

    def _check(self, endpoint: model.Endpoint) -> None:
        try:
            for delay_s in _DELAYS_S:
                eventlet.sleep(delay_s)
                if self._has_ended(endpoint):
                    return
        finally:
            self._running.discard(endpoint.endpoint_id)

    def _has_ended(self, endpoint: model.Endpoint) -> bool:
        conn = channel.connect(endpoint.address, _CONNECT_LIMIT_S)
        if not isinstance(conn, errors.Failure):
            conn.close()
            return False
        self._places.unreachable(endpoint, clock.boottime())
        self._log.event(
            "endpoint_crashed",
            endpoint=endpoint.endpoint_id,
            reason=conn.reason,
        )
        return True
