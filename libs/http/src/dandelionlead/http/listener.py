"""Listening socket that accepts connections and serves each in a greenlet."""

from __future__ import annotations

import contextlib
import functools
import socket

import eventlet
import eventlet.green.socket as green_socket

from dandelionlead.core import clock
from dandelionlead.http import caller_accounts
from dandelionlead.http import client
from dandelionlead.http import intake
from dandelionlead.http import server

_BACKLOG = 512
# Other greenlets run after this many accepted connections.
_ACCEPTS_PER_TURN = 16


class Listener:
    """Accepts connections of callers and passes their requests to a handler.

    The constructor opens the listening socket.

    Args:
        address: IP address and port; port 0 lets the kernel choose one.
        handler: Serves the requests of all connections.
        callers_intake: Limits what callers make the process hold; shared by the
            listeners of a process. None for one of its own.

    Attributes:
        connections: Connections that are open.
        accepted_count: Number of connections accepted so far.
        last_request_s: Time in seconds at which the last connection was
            accepted, or the last request that is not over was seen by
            `count_active_connections`.

    Raises:
        OSError: The address cannot be bound.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: server.Handler,
        callers_intake: intake.Intake | None = None,
    ) -> None:
        self._handler = handler
        self._intake = callers_intake or intake.Intake()
        self._sock = open_listening_socket(address)
        self.connections: set[server.ServerConnection] = set()
        self.accepted_count = 0
        self.last_request_s = float("-inf")

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port that the socket is bound to."""
        return self._sock.getsockname()

    def serve_forever(self) -> None:
        """Accepts connections until the listening socket is closed."""
        while True:
            try:
                sock, (host, _) = self._sock.accept()
            except OSError:
                if self._sock.fileno() < 0:
                    return
                # Probably no file descriptor is free; retry a little later.
                eventlet.sleep(0.05)
                continue
            self.accepted_count += 1
            self.last_request_s = clock.boottime()
            self._open_connection(sock, host)
            if self.accepted_count % _ACCEPTS_PER_TURN == 0:
                eventlet.sleep(0)

    def close_idle_connections(self) -> None:
        """Shuts down the connections that have no request in progress."""
        for conn in list(self.connections):
            conn.close_if_idle()

    def close(self) -> None:
        """Closes the listening socket and shuts down all connections."""
        self._sock.close()
        for conn in list(self.connections):
            conn.shutdown()

    def count_active_connections(self) -> int:
        """Returns the number of connections with a request in progress."""
        count = sum(not conn.is_idle for conn in self.connections)
        if count:
            self.last_request_s = clock.boottime()
        return count

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections are still served."""
        self._sock.close()

    def abort_connections(self) -> None:
        """Closes all connections at once, even those with a request."""
        for conn in list(self.connections):
            conn.abort()

    def _open_connection(
        self, sock: green_socket.GreenSocket, host: str
    ) -> None:
        """Serves a connection in a greenlet, or closes it if there is no room.

        Args:
            sock: The accepted socket.
            host: IP address of the caller.
        """
        self._intake.allow_request_size(
            self._handler.get_request_limits().max_body_bytes
        )
        account = self._intake.open_account(
            host, functools.partial(_shut_down, sock)
        )
        if account is None:
            sock.close()
            return
        eventlet.spawn_n(self._serve, sock, account)

    def _serve(
        self,
        sock: green_socket.GreenSocket,
        account: caller_accounts.CallerAccount,
    ) -> None:
        with contextlib.suppress(OSError):
            client.set_socket_options(sock)
        conn = server.ServerConnection(
            sock, self._handler, account, self._intake.pacer
        )
        self.connections.add(conn)
        try:
            conn.run()
        finally:
            account.close()
            self.connections.discard(conn)


def _shut_down(sock: green_socket.GreenSocket) -> None:
    """Shuts a socket down, which wakes the greenlet that waits for it."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def open_listening_socket(address: tuple[str, int]) -> green_socket.GreenSocket:
    """Opens a listening TCP socket.

    Args:
        address: IP address and port; port 0 lets the kernel choose one.

    Returns:
        The socket.

    Raises:
        OSError: The address cannot be bound.
    """
    sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen(_BACKLOG)
    return sock
