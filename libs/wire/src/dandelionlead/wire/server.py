"""Server for calls from other processes of the system."""

from __future__ import annotations

import socket

import eventlet
from thrift.transport import TTransport

from dandelionlead.core import events
from dandelionlead.wire import auth
from dandelionlead.wire import framing
from dandelionlead.wire.gen import Peer

_HANDSHAKE_TIMEOUT_S = 2.0
# Longer than the second between two heartbeats, so that a kept connection
# survives a quiet spell, and short enough to free those of dead peers.
_IDLE_TIMEOUT_S = 30.0
_MAX_CONNECTIONS = 2048


class Server:
    """Accepts peers on the control address, one green thread for each."""

    def __init__(
        self,
        listener: socket.socket,
        key: bytes,
        handler: Peer.Iface,
        log: events.Log,
    ) -> None:
        self._listener = listener
        self._key = key
        self._processor = Peer.Processor(handler)
        self._log = log
        self._pool = eventlet.GreenPool(_MAX_CONNECTIONS)

    def serve(self) -> None:
        """Accepts connections until the listener is closed."""
        while True:
            try:
                conn, remote = self._listener.accept()
            except OSError:
                return
            self._pool.spawn_n(self._serve_connection, conn, remote)

    def _serve_connection(
        self, conn: socket.socket, remote: tuple[str, int]
    ) -> None:
        try:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with eventlet.Timeout(_HANDSHAKE_TIMEOUT_S):
                known = auth.authenticate_server(conn, self._key)
            if not known:
                self._log.event(
                    "peer_refused", remote=remote[0], reason="wrong peer key"
                )
                return
            conn.settimeout(_IDLE_TIMEOUT_S)
            self._serve_calls(conn)
        except eventlet.Timeout:
            self._log.event(
                "peer_refused",
                remote=remote[0],
                reason="no proof of the peer key in time",
            )
        except OSError as exc:
            self._log.event(
                "peer_connection_lost", remote=remote[0], reason=str(exc)
            )
        finally:
            conn.close()

    def _serve_calls(self, conn: socket.socket) -> None:
        transport = framing.FrameTransport(conn)
        proto = framing.protocol(transport)
        try:
            while True:
                self._processor.process(proto, proto)
        except (EOFError, TTransport.TTransportException):
            return
        except framing.MESSAGE_FAULTS as exc:
            self._log.event("peer_message_refused", reason=str(exc))
