"""Proxy that disturbs the connections to a part of the soak run's system."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct

import eventlet
import eventlet.green.socket as green_socket
import harness

# `l_onoff` and `l_linger` of a socket whose close resets its connection.
_NO_LINGER = struct.pack("ii", 1, 0)


class Acceptance(enum.Enum):
    """What a proxy does with a new connection."""

    FORWARD = "forwards it"
    REFUSE = "refuses it"
    CLOSE = "accepts and closes it"
    SILENT = "accepts it and stays silent"
    RESET = "accepts and resets it"


class Cut(enum.Enum):
    """How a path through a proxy is cut."""

    SILENT = "nothing passes"
    REFUSE = "new connections are refused, old ones are reset"
    REFUSE_NEW = "new connections are refused, old ones go on"


class FaultProxy:
    """Forwards TCP connections to a target and injects network faults.

    Args:
        target: IP address and port to forward to.
        path_count: Number of further ports that the proxy listens on, which
            follow the port of the target. Each is a path that can be cut by
            itself.

    Attributes:
        address: IP address and port that the proxy listens on.
        acceptance: What happens to new connections, whatever the mode is.
        mode: `pass` (forwards), `delay` (forwards late), `refuse` (closes new
            connections), `silent` (reads bytes and forwards none) or `reset`
            (closes all connections).
    """

    def __init__(self, target: tuple[str, int], path_count: int = 0) -> None:
        self.address = (harness.next_ip(), target[1])
        self.acceptance = Acceptance.FORWARD
        self.mode = "pass"
        self._target = target
        self._ports = range(target[1], target[1] + path_count + 1)
        self._cuts: dict[int, Cut] = {}
        # Listening socket of each port, with what fills its queue.
        self._socks: dict[int, list[green_socket.GreenSocket]] = {}
        self._silent_conns: list[green_socket.GreenSocket] = []
        for port in self._ports:
            self._listen(port)

    @property
    def is_passing(self) -> bool:
        """Whether all bytes of open connections are forwarded."""
        return self.mode not in ("silent", "reset") and not self._cuts

    def set_acceptance(self, acceptance: Acceptance) -> None:
        """Changes what happens to new connections; open ones are left as is.

        Connections that were accepted and kept silent are closed.
        """
        self.acceptance = acceptance
        while self._silent_conns:
            self._silent_conns.pop().close()
        for port in self._ports:
            self._listen(port)

    def set_cuts(self, cuts: dict[int, Cut]) -> None:
        """Replaces the cuts of the paths.

        Args:
            cuts: The cuts by port; ports that are not in it forward.
        """
        changed_ports = [
            port
            for port in self._ports
            if self._cuts.get(port) is not cuts.get(port)
        ]
        self._cuts = dict(cuts)
        for port in changed_ports:
            self._listen(port)

    def _listen(self, port: int) -> None:
        """Opens the listening socket of a port anew, as its faults require."""
        for sock in self._socks.pop(port, ()):
            sock.close()
        address = (self.address[0], port)
        cut = self._cuts.get(port)
        if cut is Cut.SILENT:
            self._socks[port] = _open_full_listener(address)
        elif cut is None and self.acceptance is not Acceptance.REFUSE:
            sock = eventlet.listen(address)
            self._socks[port] = [sock]
            eventlet.spawn_n(self._accept_connections, sock, port)

    def _accept_connections(
        self, sock: green_socket.GreenSocket, port: int
    ) -> None:
        while True:
            try:
                conn, _ = sock.accept()
            except OSError:
                if sock.fileno() < 0:
                    return  # Another socket has replaced it, or none.
                raise
            self._open_connection(conn, port)

    def _open_connection(
        self, conn: green_socket.GreenSocket, port: int
    ) -> None:
        if self.acceptance is Acceptance.SILENT:
            self._silent_conns.append(conn)
        elif self.acceptance is Acceptance.RESET:
            _reset(conn)
        elif self.acceptance is Acceptance.CLOSE or self.mode in (
            "refuse",
            "reset",
        ):
            conn.close()
        else:
            eventlet.spawn_n(self._forward_connection, conn, port)

    def _forward_connection(
        self, conn: green_socket.GreenSocket, port: int
    ) -> None:
        try:
            target_conn = green_socket.create_connection(self._target)
        except OSError:
            conn.close()
            return
        self._forward_both_ways(conn, target_conn, port)

    def _forward_both_ways(
        self,
        client_sock: green_socket.GreenSocket,
        target_sock: green_socket.GreenSocket,
        port: int,
    ) -> None:
        """Forwards bytes in both directions until both have ended.

        If bytes to the client were dropped, it does not see the end either.
        """
        backward = eventlet.spawn(
            self._forward, target_sock, client_sock, port, hides_end=True
        )
        self._forward(client_sock, target_sock, port, hides_end=False)
        backward.wait()
        client_sock.close()
        target_sock.close()

    def _forward(
        self,
        source: green_socket.GreenSocket,
        target: green_socket.GreenSocket,
        port: int,
        *,
        hides_end: bool,
    ) -> None:
        """Forwards bytes in one direction and applies the current mode.

        Args:
            source: Where the bytes come from.
            target: Where they go to.
            port: Port at which the connection was accepted.
            hides_end: Whether the target does not see the end of the source
                once bytes were dropped.
        """
        is_silent = False
        try:
            while data := source.recv(65_536):
                cut = self._cuts.get(port)
                if self.mode == "reset" or cut is Cut.REFUSE:
                    _reset(source, target)
                    return
                if self.mode == "delay":
                    eventlet.sleep(0.2)
                # After bytes were dropped, later bytes must not be forwarded.
                is_silent = (
                    is_silent or self.mode == "silent" or cut is Cut.SILENT
                )
                if not is_silent:
                    target.sendall(data)
        except (OSError, EOFError):
            pass  # One of the sockets has ended; both are shut down below.
        finally:
            is_end_hidden = is_silent and hides_end
            for sock in (source,) if is_end_hidden else (source, target):
                with contextlib.suppress(OSError, EOFError):
                    sock.shutdown(socket.SHUT_RDWR)


def _open_full_listener(
    address: tuple[str, int],
) -> list[green_socket.GreenSocket]:
    """Opens a listening socket whose queue is full.

    The kernel drops what arrives for it, so that a peer that connects gets no
    response. The second socket that is returned fills the queue.
    """
    sock = eventlet.listen(address, backlog=0)
    return [sock, green_socket.create_connection(address)]


def _reset(*socks: green_socket.GreenSocket) -> None:
    """Closes sockets so that their peers see a reset, and not an end."""
    for sock in socks:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            sock.close()
