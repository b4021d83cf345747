"""One HTTP/1.1 connection to an endpoint or to the platform.

The parser is h11, which rejects bytes that are not a response. Failures are
returned, not raised. Each wait has a limit.
"""

from __future__ import annotations

import contextlib
import socket
import struct

import eventlet.green.socket as green_socket
import eventlet.hubs as hubs
import h11

from dandelionlead.core import clock
from dandelionlead.core import errors

_READ_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536
# An answer that came late for an earlier request is read up to this size.
_MAX_SKIPPED_BYTES = 1_048_576
# The kernel gives up on a peer that acknowledges nothing for so long.
_UNACKNOWLEDGED_MS = 3_000
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
_HARD_CLOSE = struct.pack("ii", 1, 0)

Headers = list[tuple[bytes, bytes]]


class Head:
    """Status and headers of a response; names are in lower case."""

    __slots__ = ("status", "headers", "raw_headers", "framed")

    def __init__(
        self, status: int, headers: Headers, raw_headers: Headers, framed: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self.raw_headers = raw_headers
        self.framed = framed

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class End:
    """The response is complete."""

    __slots__ = ()


END = End()


class AskLimits:
    """Limits of one exchange: seconds in all, bytes of the response's body."""

    __slots__ = ("seconds", "body_bytes")

    def __init__(self, seconds: float, body_bytes: int) -> None:
        self.seconds = seconds
        self.body_bytes = body_bytes


class Channel:
    """A connection that carries one request at a time.

    Attributes:
        address: IP address and port of the peer.
        opened_s: When it was opened.
        idle_since_s: When its last response was complete.
        idle_limit_s: How long the peer keeps it open while idle.
        rested_s: How long it had been idle before the present request; 0 if
            it was new.
    """

    __slots__ = (
        "address",
        "opened_s",
        "idle_since_s",
        "idle_limit_s",
        "rested_s",
        "_sock",
        "_http",
        "_closed",
    )

    def __init__(
        self, address: tuple[str, int], sock: green_socket.GreenSocket
    ) -> None:
        self.address = address
        self.opened_s = clock.boottime()
        self.idle_since_s = self.opened_s
        self.idle_limit_s = 5.0
        self.rested_s = 0.0
        self._sock = sock
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._closed = False

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        timeout_s: float,
    ) -> errors.Failure | None:
        """Sends a whole request; returns None when all bytes have left."""
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            self._sock.settimeout(max(0.01, timeout_s))
            self._sock.sendall(data)
        except TimeoutError:
            return _silent("the request could not be sent in time")
        except OSError as exc:
            return _broken(f"sending failed: {exc}")
        return None

    def read_head(self, until_s: float) -> Head | errors.Failure:
        """Reads the head of the response, up to an instant."""
        while True:
            event = self._next_event(until_s)
            if isinstance(event, errors.Failure):
                return event
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                return _head(event)
            return _broken("the connection was closed before a response")

    def read(self, until_s: float) -> bytes | End | errors.Failure:
        """Reads what has arrived of the body; `END` after its last byte."""
        while True:
            event = self._next_event(until_s)
            if isinstance(event, errors.Failure):
                return event
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return END
            return _broken("the response is torn")

    def read_all(
        self, until_s: float, max_bytes: int
    ) -> bytes | errors.Failure:
        """Reads the whole body."""
        parts: list[bytes] = []
        size = 0
        while True:
            data = self.read(until_s)
            if data is END:
                return b"".join(parts)
            if not isinstance(data, bytes):
                return data
            size += len(data)
            if size > max_bytes:
                return _broken("the response is too large")
            parts.append(data)

    def ask(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        limits: AskLimits,
    ) -> tuple[Head, bytes] | errors.Failure:
        """Sends a request and reads the whole response.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: All headers.
            body: The whole body.
            limits: On the time and the size of the response.
        """
        until_s = clock.boottime() + limits.seconds
        failure = self.send(method, target, headers, body, limits.seconds)
        if failure is not None:
            return failure
        head = self.read_head(until_s)
        if isinstance(head, errors.Failure):
            return head
        data = self.read_all(until_s, limits.body_bytes)
        if isinstance(data, errors.Failure):
            return data
        return head, data

    def skip_answer(self, method: bytes, until_s: float) -> bool:
        """Passes over a response that belongs to an earlier request.

        Returns whether the next response can be read.
        """
        body = self.read_all(until_s, _MAX_SKIPPED_BYTES)
        if isinstance(body, errors.Failure):
            return False
        if self._http.their_state is not h11.DONE:
            return False
        rest, ended = self._http.trailing_data
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        asked = h11.Request(
            method=method, target=b"/", headers=[(b"Host", b"-")]
        )
        self._http.send(asked)
        self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)
        return not ended

    def finish(self) -> bool:
        """Ends an exchange; returns whether another one may follow."""
        if self._closed or self._http.trailing_data != (b"", False):
            return False
        states = {self._http.our_state, self._http.their_state}
        if states != {h11.DONE}:
            return False
        self._http.start_next_cycle()
        self.idle_since_s = clock.boottime()
        return True

    def quiet(self) -> bool:
        """Whether nothing came while the connection was idle."""
        if self._closed:
            return False
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            self._sock.fd.recv(1, flags)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self, *, hard: bool = False) -> None:
        """Closes the connection; `hard` resets it."""
        if self._closed:
            return
        self._closed = True
        with contextlib.suppress(OSError):
            if hard:
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _HARD_CLOSE
                )
        with contextlib.suppress(OSError):
            self._sock.close()

    def _next_event(self, until_s: float) -> h11.Event | errors.Failure:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                return _broken(f"the response is not valid: {exc}")
            if event is not h11.NEED_DATA:
                return event
            failure = self._receive(until_s)
            if failure is not None:
                return failure

    def _receive(self, until_s: float) -> errors.Failure | None:
        left_s = until_s - clock.boottime()
        if left_s <= 0:
            return _silent("no response in time")
        try:
            data = receive(self._sock, _READ_BYTES, left_s)
        except TimeoutError:
            return _silent("no response in time")
        except OSError as exc:
            return _broken(f"the connection failed: {exc}")
        try:
            self._http.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as exc:
            return _broken(f"the response is not valid: {exc}")
        return None


def connect(
    address: tuple[str, int], timeout_s: float
) -> Channel | errors.Failure:
    """Opens a connection."""
    sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        tune(sock)
        sock.settimeout(max(0.01, timeout_s))
        sock.connect(address)
    except OSError as exc:
        sock.close()
        return errors.Failure(
            errors.Kind.ENDPOINT_UNREACHABLE,
            f"no connection to {address[0]}:{address[1]}: {exc}",
        )
    return Channel(address, sock)


def receive(
    sock: green_socket.GreenSocket, size: int, timeout_s: float
) -> bytes:
    """Reads what has arrived; raises `TimeoutError` or `OSError`.

    eventlet's own `recv` turns a reset into an end of the stream, and so a
    torn body without a length into a whole one.
    """
    late = False
    while True:
        try:
            return sock.fd.recv(size)
        except BlockingIOError:
            if late:
                raise TimeoutError from None
        try:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=timeout_s,
                timeout_exc=TimeoutError,
            )
        except TimeoutError:
            # After a pause of this process the bytes may be here by now.
            late = True


def tune(sock: green_socket.GreenSocket) -> None:
    """Sets options that find silent peers and send small writes at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def _head(event: h11.Response) -> Head:
    names = {name for name, _ in event.headers}
    framed = b"content-length" in names or b"transfer-encoding" in names
    return Head(
        event.status_code,
        [(bytes(key), bytes(value)) for key, value in event.headers],
        [(bytes(k), bytes(v)) for k, v in event.headers.raw_items()],
        framed or event.status_code in (204, 304),
    )


def _broken(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.ENDPOINT_FAILED, reason)


def _silent(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.ENDPOINT_SILENT, reason)
