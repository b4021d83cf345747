"""Idle connections to endpoints, kept for the next request."""

from __future__ import annotations

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.http import channel
from dandelionlead.routing import model

# Connections can go silent for good; an old one is not worth the risk.
MAX_AGE_S = 20.0
# Part of the peer's idle timeout after which a connection is not used again,
# since its close could cross the next request.
IDLE_PART = 0.6
MAX_IDLE_S = 4.0
MAX_IDLE_PER_ENDPOINT = 8
CONNECT_TIMEOUT_S = 0.5


class Pool:
    """Connections by endpoint; an incarnation never inherits another's."""

    def __init__(self) -> None:
        self._idle: dict[str, list[channel.Channel]] = {}

    def take(
        self, endpoint: model.Endpoint, timeout_s: float
    ) -> channel.Channel | errors.Failure:
        """Returns a connection that is idle, or opens one.

        Args:
            endpoint: Where to.
            timeout_s: Longest time for opening one.
        """
        now = clock.boottime()
        idle = self._idle.get(endpoint.endpoint_id, [])
        while idle:
            conn = idle.pop()
            if conn.address == endpoint.address and _usable(conn, now):
                return conn
            conn.close()
        return channel.connect(
            endpoint.address, min(CONNECT_TIMEOUT_S, timeout_s)
        )

    def give_back(
        self, endpoint: model.Endpoint, conn: channel.Channel
    ) -> None:
        """Takes a connection after an exchange; closes it if it is spent."""
        idle = self._idle.setdefault(endpoint.endpoint_id, [])
        full = len(idle) >= MAX_IDLE_PER_ENDPOINT
        if full or not conn.finish():
            conn.close()
            return
        idle.append(conn)

    def sweep(self) -> None:
        """Closes connections that will not be used again."""
        now = clock.boottime()
        for endpoint_id, idle in list(self._idle.items()):
            kept = []
            for conn in idle:
                if _usable(conn, now):
                    kept.append(conn)
                else:
                    conn.close()
            if kept:
                self._idle[endpoint_id] = kept
            else:
                del self._idle[endpoint_id]


def _usable(conn: channel.Channel, now: float) -> bool:
    limit_s = min(MAX_IDLE_S, conn.idle_limit_s * IDLE_PART)
    if now - conn.idle_since_s > limit_s or now - conn.opened_s > MAX_AGE_S:
        return False
    return conn.quiet()
