"""Idle connections to endpoints, kept for the next request."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection

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
# Some endpoints forget connections that rested, without a word. A call that
# may not be sent twice goes only over one that rested no longer than this.
MAX_IDLE_ONCE_S = 0.25
# Once an endpoint forgot a connection, others to it count for this part of
# the time that it had rested.
_FORGOTTEN_PART = 0.5
_LEAST_IDLE_S = 0.05
CONNECT_TIMEOUT_S = 0.5


class Pool:
    """Connections by endpoint; an incarnation never inherits another's.

    Args:
        share: Returns how many of the connections that an endpoint accepts
            this process may have. Half of them may be idle.
    """

    def __init__(self, share: Callable[[model.Endpoint], int]) -> None:
        self._share = share
        self._idle: dict[str, list[channel.Channel]] = {}
        self._rest_limits_s: dict[str, float] = {}

    def take(
        self,
        endpoint: model.Endpoint,
        timeout_s: float,
        *,
        once: bool = False,
    ) -> channel.Channel | errors.Failure:
        """Returns a connection that is idle, or opens one.

        Args:
            endpoint: Where to.
            timeout_s: Longest time for opening one.
            once: Whether the request must not be sent a second time.
        """
        now = clock.boottime()
        limit_s = self._rest_limits_s.get(endpoint.endpoint_id, MAX_IDLE_S)
        if once:
            limit_s = min(limit_s, MAX_IDLE_ONCE_S)
        idle = self._idle.get(endpoint.endpoint_id, [])
        # The one that rested least is last.
        while idle and now - idle[-1].idle_since_s <= limit_s:
            conn = idle.pop()
            if conn.address == endpoint.address and _usable(conn, now):
                conn.rested_s = now - conn.idle_since_s
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
        most = min(MAX_IDLE_PER_ENDPOINT, self._share(endpoint) // 2)
        full = len(idle) >= max(1, most)
        if full or not conn.finish():
            conn.close()
            return
        idle.append(conn)

    def forgotten(self, endpoint: model.Endpoint, rested_s: float) -> None:
        """Notes that an endpoint did not know a connection that had rested."""
        limit_s = max(_LEAST_IDLE_S, rested_s * _FORGOTTEN_PART)
        known_s = self._rest_limits_s.get(endpoint.endpoint_id, MAX_IDLE_S)
        self._rest_limits_s[endpoint.endpoint_id] = min(known_s, limit_s)

    def sweep(self, endpoint_ids: Collection[str]) -> None:
        """Closes connections that will not be used again.

        Args:
            endpoint_ids: Endpoints that exist.
        """
        now = clock.boottime()
        for gone in set(self._rest_limits_s) - set(endpoint_ids):
            del self._rest_limits_s[gone]
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
