"""Workers of the soak run, and the proxies that disturb their connections."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Callable

import eventlet
import eventlet.green.socket as green_socket
import fakes
import harness

from dandelionlead.http import client
from dandelionlead.http import request_reader
from dandelionlead.http import server

# `l_onoff` and `l_linger` of a socket whose close resets its connection.
_NO_LINGER = struct.pack("ii", 1, 0)
# One of so many streams of a worker has neither a length nor chunks.
_UNFRAMED_EVERY = 3


class FaultProxy:
    """Forwards TCP connections to a target and injects network faults.

    Args:
        target: IP address and port to forward to.

    Attributes:
        address: IP address and port that the proxy listens on.
        mode: `pass` (forwards), `delay` (forwards late), `refuse` (closes new
            connections), `silent` (reads bytes and forwards none) or `reset`
            (closes all connections).
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.address = (harness.next_ip(), target[1])
        self.mode = "pass"
        self._target = target
        self._sock = eventlet.listen(self.address)
        eventlet.spawn_n(self._accept_connections)

    def _accept_connections(self) -> None:
        while True:
            conn, _ = self._sock.accept()
            if self.mode in ("refuse", "reset"):
                conn.close()
                continue
            try:
                target_conn = green_socket.create_connection(self._target)
            except OSError:
                conn.close()
                continue
            eventlet.spawn_n(self._forward_both_ways, conn, target_conn)

    def _forward_both_ways(
        self,
        client_sock: green_socket.GreenSocket,
        target_sock: green_socket.GreenSocket,
    ) -> None:
        """Forwards bytes in both directions until both have ended.

        If bytes to the client were dropped, it does not see the end either.
        """
        backward = eventlet.spawn(
            self._forward, target_sock, client_sock, hides_end=True
        )
        self._forward(client_sock, target_sock, hides_end=False)
        backward.wait()
        client_sock.close()
        target_sock.close()

    def _forward(
        self,
        source: green_socket.GreenSocket,
        target: green_socket.GreenSocket,
        *,
        hides_end: bool,
    ) -> None:
        """Forwards bytes in one direction and applies the current mode.

        Args:
            source: Where the bytes come from.
            target: Where they go to.
            hides_end: Whether the target does not see the end of the source
                once bytes were dropped.
        """
        is_silent = False
        try:
            while data := source.recv(65_536):
                if self.mode == "reset":
                    _reset(source, target)
                    return
                if self.mode == "delay":
                    eventlet.sleep(0.2)
                # After bytes were dropped, later bytes must not be forwarded.
                is_silent = is_silent or self.mode == "silent"
                if not is_silent:
                    target.sendall(data)
        except (OSError, EOFError):
            pass  # One of the sockets has ended; both are shut down below.
        finally:
            is_end_hidden = is_silent and hides_end
            for sock in (source,) if is_end_hidden else (source, target):
                with contextlib.suppress(OSError, EOFError):
                    sock.shutdown(socket.SHUT_RDWR)


def _reset(*socks: green_socket.GreenSocket) -> None:
    """Closes sockets so that their peers see a reset, and not an end."""
    for sock in socks:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            sock.close()


class SoakWorker(fakes.FakeWorker):
    """A worker behind a proxy; it reports each request to the soak run.

    Attributes:
        zone: Availability zone.
        leaving_since_s: When the worker began to leave, in seconds of
            `clock.boottime`; infinite while it stays.
        proxy: The proxy through which entries reach the worker.
    """

    def __init__(
        self,
        record_arrival: Callable[[SoakWorker, str, bytes], None],
        service: str,
        zone: str,
        number: int,
        stream_length: int,
    ) -> None:
        """Starts a worker.

        Args:
            record_arrival: Called with the worker, and with id and target of
                each request that the worker begins to run.
            service: Name of its service.
            zone: Availability zone.
            number: Number for its id.
            stream_length: Number of events in a stream.
        """
        self.zone = zone
        self.leaving_since_s = float("inf")
        self._record_arrival = record_arrival
        self._stream_count = 0
        super().__init__((harness.next_ip(), 9000), f"w{number}", service)
        self.stream_length = stream_length
        self.proxy = FaultProxy(self.address)
        fakes.WORKERS_BY_ADDRESS[f"{self.proxy.address[0]}:9000"] = self

    def make_entry(self, state: str = "ready", **fields: object) -> dict:
        """Returns the value of the worker's row in the table `servers`."""
        address = f"{self.proxy.address[0]}:9000"
        proxy_fields = {"address": address, "zone": self.zone}
        return super().make_entry(state, **(proxy_fields | fields))

    def _send_response(
        self,
        request: request_reader.Request,
        request_id: str,
        headers: dict[str, str],
        response_writer: server.ResponseWriter,
    ) -> None:
        self._record_arrival(self, request_id, request.target)
        if b"/stream/" in request.target:
            self._stream_count += 1
            if self._stream_count % _UNFRAMED_EVERY == 0:
                response_writer = _UnframedWriter(response_writer)
        super()._send_response(request, request_id, headers, response_writer)


class _UnframedWriter:
    """Writes a response that ends with its connection.

    Args:
        response_writer: Writer of the response; its framing is not used.
    """

    def __init__(self, response_writer: server.ResponseWriter) -> None:
        self._response_writer = response_writer
        self._conn = response_writer._conn
        self.has_started = False

    def send_response(
        self, status: int, headers: client.Headers, body: bytes
    ) -> None:
        """Sends a whole response with its length."""
        self._response_writer.send_response(status, headers, body)

    def start_response(self, status: int, headers: client.Headers) -> None:
        """Sends the head of a response without a length."""
        self.has_started = True
        lines = [b"HTTP/1.1 %d Status" % status]
        lines += [b"%s: %s" % pair for pair in headers]
        self._conn.write(b"\r\n".join([*lines, b"Connection: close", b"", b""]))

    def send_data(self, data: bytes) -> None:
        """Sends bytes of the body."""
        self._conn.write(data)

    def end_response(self) -> None:
        """Does nothing: the connection is closed when the handler returns."""
