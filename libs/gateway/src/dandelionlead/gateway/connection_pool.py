"""Pools idle connections to endpoints for reuse by later requests."""

from __future__ import annotations

import abc
import typing
from collections.abc import Callable
from collections.abc import Collection

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.http import client
from dandelionlead.http import intake
from dandelionlead.routing import model

# A connection can permanently stop delivering data without being closed.
# Connections older than this are closed instead of being reused.
MAX_AGE_S = 20.0
# Fraction of the endpoint's keep-alive timeout after which an idle connection
# is not reused, since the endpoint could close it while the next request is on
# its way.
IDLE_TIMEOUT_FRACTION = 0.6
MAX_IDLE_S = 4.0
MAX_IDLE_CONNS_PER_ENDPOINT = 8
# Some endpoints drop idle connections without closing them. A call that must
# not be sent twice reuses only a connection that was idle no longer than this.
MAX_IDLE_NON_REPEATABLE_S = 0.25
# Once an endpoint has dropped a connection, connections to it are reused only
# up to this fraction of that connection's idle time, but at least
# _MIN_IDLE_LIMIT_S.
_DROPPED_IDLE_FRACTION = 0.5
_MIN_IDLE_LIMIT_S = 0.05
CONNECT_TIMEOUT_S = 0.5
# A failure to connect within less time may be that of a call whose deadline is
# near, and does not count as a failed connection.
_MIN_TELLING_TIMEOUT_S = 0.2

# Opens a connection to an address within some seconds; the bodies that it reads
# are counted by the given intake, or by an account of its own.
Connector = Callable[
    [tuple[str, int], float, intake.Intake | None],
    client.ClientConnection | errors.Failure,
]


class ConnectionListener(abc.ABC):
    """Receives which new connections could be opened."""

    @abc.abstractmethod
    def handle_opened(self, endpoint: model.Endpoint) -> None:
        """A new connection to an endpoint was opened."""

    @abc.abstractmethod
    def handle_failed(self, endpoint: model.Endpoint) -> None:
        """A new connection to an endpoint could not be opened."""

    @abc.abstractmethod
    def handle_silent(self, endpoint: model.Endpoint) -> None:
        """A request on a pooled connection got no response in time."""


class Destination(typing.Protocol):
    """Endpoint or peer that connections lead to.

    Attributes:
        endpoint_id: Id of one start of the endpoint or peer.
        address: IP address and port.
    """

    endpoint_id: str
    address: tuple[str, int]


class ConnectionPool:
    """Pool of idle connections, by endpoint id.

    A restarted endpoint has a new id, so that connections to its earlier
    incarnation are never reused.

    Args:
        get_share: Returns how many of the connections that an endpoint accepts
            this process may hold. At most half of them, but at least one, may
            be idle.
        memory: Counts the bodies that all connections read; None for an account
            of each.

    Attributes:
        connector: Opens all connections to endpoints. Tests replace it to cut
            the paths of one process.
        listener: Receives which connections could be opened; may be None.
    """

    def __init__(
        self,
        get_share: Callable[[Destination], int],
        memory: intake.Intake | None = None,
    ) -> None:
        self.connector: Connector = client.connect
        self.listener: ConnectionListener | None = None
        self._get_share = get_share
        self._memory = memory
        self._idle_conns: dict[str, list[client.ClientConnection]] = {}
        self._idle_limits_s: dict[str, float] = {}
        # Times in seconds of the last complete responses, by endpoint id.
        self._responded_s: dict[str, float] = {}

    def acquire(
        self,
        endpoint: Destination,
        timeout_s: float,
        *,
        must_send_once: bool = False,
        must_be_new: bool = False,
    ) -> client.ClientConnection | errors.Failure:
        """Removes an idle connection from the pool, or opens a new one.

        Args:
            endpoint: The endpoint to connect to.
            timeout_s: Longest time for opening a connection, in seconds;
                `CONNECT_TIMEOUT_S` applies as well.
            must_send_once: Whether the request must not be sent a second time.
            must_be_new: Whether no idle connection may be used.

        Returns:
            The connection, or an `ENDPOINT_UNREACHABLE` failure.
        """
        now_s = clock.boottime()
        idle_limit_s = self._idle_limits_s.get(endpoint.endpoint_id, MAX_IDLE_S)
        if must_send_once:
            idle_limit_s = min(idle_limit_s, MAX_IDLE_NON_REPEATABLE_S)
        idle_conns = self._idle_conns.get(endpoint.endpoint_id, [])
        if must_be_new:
            idle_conns = []
        # The connection with the shortest idle time is last.
        while (
            idle_conns and now_s - idle_conns[-1].idle_since_s <= idle_limit_s
        ):
            conn = idle_conns.pop()
            if conn.address == endpoint.address and _is_usable(conn, now_s):
                conn.idle_before_request_s = now_s - conn.idle_since_s
                return conn
            conn.close()
        return self._open(endpoint, min(CONNECT_TIMEOUT_S, timeout_s))

    def try_connect(
        self, endpoint: model.Endpoint, timeout_s: float
    ) -> errors.Failure | None:
        """Opens a connection, closes it, and returns why it failed, or None.

        Args:
            endpoint: The endpoint to connect to.
            timeout_s: Longest time for opening the connection, in seconds.
        """
        conn = self._open(endpoint, timeout_s)
        if isinstance(conn, errors.Failure):
            return conn
        conn.close()
        return None

    def _open(
        self, endpoint: model.Endpoint, timeout_s: float
    ) -> client.ClientConnection | errors.Failure:
        """Opens a connection to an endpoint."""
        conn = self.connector(endpoint.address, timeout_s, self._memory)
        if self.listener is None:
            return conn
        if not isinstance(conn, errors.Failure):
            self.listener.handle_opened(endpoint)
        elif timeout_s >= _MIN_TELLING_TIMEOUT_S:
            self.listener.handle_failed(endpoint)
        return conn

    def get_last_response_s(self, endpoint_id: str) -> float:
        """Returns when an endpoint last responded, in seconds."""
        return self._responded_s.get(endpoint_id, float("-inf"))

    def note_silent(self, endpoint: model.Endpoint) -> None:
        """Notes that a request on a pooled connection got no response."""
        if self.listener is not None:
            self.listener.handle_silent(endpoint)

    def release(
        self, endpoint: Destination, conn: client.ClientConnection
    ) -> None:
        """Returns a connection to the pool after an exchange.

        Closes the connection if it cannot carry another request or if the pool
        holds enough idle connections to the endpoint.

        Args:
            endpoint: The endpoint that the connection leads to.
            conn: The connection, whose last response has been read completely.
        """
        if conn.try_prepare_reuse():
            self.put_back(endpoint, conn)
        else:
            conn.close()

    def put_back(
        self, endpoint: Destination, conn: client.ClientConnection
    ) -> None:
        """Adds a connection that is ready for a request.

        Closes the connection if the pool holds enough idle ones.

        Args:
            endpoint: The endpoint that the connection leads to.
            conn: The connection.
        """
        self._responded_s[endpoint.endpoint_id] = clock.boottime()
        idle_conns = self._idle_conns.setdefault(endpoint.endpoint_id, [])
        max_idle_conns = min(
            MAX_IDLE_CONNS_PER_ENDPOINT, self._get_share(endpoint) // 2
        )
        if len(idle_conns) >= max(1, max_idle_conns):
            conn.close()
            return
        idle_conns.append(conn)

    def lower_idle_limit(self, endpoint: Destination, idle_s: float) -> None:
        """Lowers an endpoint's idle limit after it dropped a connection.

        Args:
            endpoint: The endpoint.
            idle_s: Seconds for which the connection had been idle.
        """
        idle_limit_s = max(_MIN_IDLE_LIMIT_S, idle_s * _DROPPED_IDLE_FRACTION)
        previous_limit_s = self._idle_limits_s.get(
            endpoint.endpoint_id, MAX_IDLE_S
        )
        self._idle_limits_s[endpoint.endpoint_id] = min(
            previous_limit_s, idle_limit_s
        )

    def close_unusable(self, endpoint_ids: Collection[str]) -> None:
        """Closes unusable connections and deletes obsolete idle limits.

        Args:
            endpoint_ids: Ids of the endpoints that exist; the idle limits of
                all others are deleted.
        """
        now_s = clock.boottime()
        for removed_id in set(self._idle_limits_s) - set(endpoint_ids):
            del self._idle_limits_s[removed_id]
        for removed_id in set(self._responded_s) - set(endpoint_ids):
            del self._responded_s[removed_id]
        for endpoint_id, idle_conns in list(self._idle_conns.items()):
            usable_conns = []
            for conn in idle_conns:
                if _is_usable(conn, now_s):
                    usable_conns.append(conn)
                else:
                    conn.close()
            if usable_conns:
                self._idle_conns[endpoint_id] = usable_conns
            else:
                del self._idle_conns[endpoint_id]


def _is_usable(conn: client.ClientConnection, now_s: float) -> bool:
    """Returns whether an idle connection may carry another request."""
    idle_limit_s = min(
        MAX_IDLE_S, conn.keep_alive_timeout_s * IDLE_TIMEOUT_FRACTION
    )
    if (
        now_s - conn.idle_since_s > idle_limit_s
        or now_s - conn.opened_s > MAX_AGE_S
    ):
        return False
    return conn.is_open_without_unread_data()
