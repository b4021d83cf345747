"""Connections of callers: requests are read strictly, answers written once."""

from __future__ import annotations

import abc
import contextlib
import json
import socket

import eventlet.green.socket as green_socket
import eventlet.hubs
import greenlet
import h11

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.http import channel
from dandelionlead.http import limits

_READ_BYTES = 65_536
# After a refusal, what the caller still sends is read for so long, since a
# close over unread bytes would reset the connection and lose the answer.
_DRAIN_S = 1.0


class CallerGoneError(Exception):
    """Raised in the greenlet of a call whose caller closed its connection."""


class Request:
    """A request as it was read: head and whole body."""

    __slots__ = ("method", "target", "headers", "body", "arrived_s")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: channel.Headers,
        body: bytes,
        arrived_s: float,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_s = arrived_s


class Handler(abc.ABC):
    """Answers requests."""

    @abc.abstractmethod
    def handle(self, request: Request, reply: Reply) -> None:
        """Answers one request; `reply` must be started, or it is aborted."""

    @abc.abstractmethod
    def limits(self) -> limits.Limits:
        """Returns the limits in force."""

    @abc.abstractmethod
    def closing(self) -> bool:
        """Whether connections are closed after their present request."""


class Reply:
    """The answer to one request."""

    __slots__ = ("_conn", "started", "ended")

    def __init__(self, conn: CallerConnection) -> None:
        self._conn = conn
        self.started = False
        self.ended = False

    def whole(self, status: int, headers: channel.Headers, body: bytes) -> None:
        """Sends a complete answer."""
        kept = [(k, v) for k, v in headers if k.lower() != b"content-length"]
        kept.append((b"Content-Length", b"%d" % len(body)))
        self.started = True
        data = self._conn.response(status, kept)
        if body and self._conn.method != b"HEAD":
            data += self._conn.encode(h11.Data(data=body))
        data += self._conn.encode(h11.EndOfMessage())
        self.ended = True
        self._conn.write(data)

    def start(self, status: int, headers: channel.Headers) -> None:
        """Starts an answer of unknown length."""
        kept = [(k, v) for k, v in headers if k.lower() != b"content-length"]
        self.started = True
        self._conn.write(self._conn.response(status, kept))

    def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        self._conn.write(self._conn.encode(h11.Data(data=data)))

    def end(self) -> None:
        """Ends the answer as complete."""
        self.ended = True
        self._conn.write(self._conn.encode(h11.EndOfMessage()))

    def write_limit(self, until_s: float) -> None:
        """Sets the instant up to which a slow caller is waited for."""
        self._conn.write_until_s = until_s


class CallerConnection:
    """One connection of a caller."""

    def __init__(
        self, sock: green_socket.GreenSocket, handler: Handler
    ) -> None:
        self._sock = sock
        self._handler = handler
        limits = handler.limits()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self.idle = True
        self.method = b""
        self.write_until_s = 0.0

    def run(self) -> None:
        """Serves requests until the connection ends."""
        try:
            while self._one_request():
                self._http.start_next_cycle()
        except (OSError, CallerGoneError, h11.LocalProtocolError):
            pass  # The caller is gone; the access line has the outcome.
        finally:
            self.close()

    def close(self) -> None:
        """Closes the socket."""
        with contextlib.suppress(OSError):
            self._sock.close()

    def close_if_idle(self) -> None:
        """Ends the connection unless a request is under way."""
        if self.idle:
            self.shut()

    def shut(self) -> None:
        """Ends the connection; a request under way is cut."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def response(self, status: int, headers: channel.Headers) -> bytes:
        """Encodes the head of an answer."""
        if self._handler.closing():
            headers = [*headers, (b"Connection", b"close")]
        return self.encode(h11.Response(status_code=status, headers=headers))

    def encode(self, event: h11.Event) -> bytes:
        """Encodes a part of an answer."""
        return self._http.send(event) or b""

    def write(self, data: bytes) -> None:
        """Writes to the caller; raises `CallerGoneError` if that fails."""
        if not data:
            return
        left_s = max(0.05, self.write_until_s - clock.boottime())
        try:
            self._sock.settimeout(left_s)
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerGoneError(str(exc)) from exc

    def _one_request(self) -> bool:
        limits = self._handler.limits()
        self.idle = self._http.trailing_data[0] == b""
        try:
            request = self._read_request(limits)
        except h11.RemoteProtocolError as exc:
            self._refuse(exc.error_status_hint, str(exc))
            return False
        except TimeoutError:
            if not self.idle:
                self._refuse(408, "the request did not arrive in time")
            return False
        if request is None:
            return False
        self.idle = False
        self.write_until_s = clock.boottime() + limits.idle_timeout_s
        reply = Reply(self)
        with _Watch(self._sock, bool(self._http.trailing_data[0])):
            self._handler.handle(request, reply)
        done = self._http.our_state is h11.DONE
        return reply.ended and done and self._http.their_state is h11.DONE

    def _read_request(self, limits: limits.Limits) -> Request | None:
        event = self._next_event(limits.idle_timeout_s, limits.header_timeout_s)
        if not isinstance(event, h11.Request):
            return None
        self.idle = False
        arrived_s = clock.boottime()
        self.method = bytes(event.method)
        headers = [(bytes(k), bytes(v)) for k, v in event.headers.raw_items()]
        _check_framing(headers)
        _check_size(headers, limits.max_header_bytes)
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.write_until_s = arrived_s + limits.header_timeout_s
            self.write(self.encode(go_on))
        body = self._read_body(limits)
        target = bytes(event.target)
        return Request(self.method, target, headers, body, arrived_s)

    def _read_body(self, limits: limits.Limits) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            wait_s = limits.header_timeout_s
            event = self._next_event(wait_s, wait_s)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("the body is torn")
            size += len(event.data)
            if size > limits.max_body_bytes:
                raise h11.RemoteProtocolError(
                    "the body is too large", error_status_hint=413
                )
            parts.append(bytes(event.data))

    def _next_event(self, first_wait_s: float, wait_s: float) -> h11.Event:
        """Reads up to the next event.

        Args:
            first_wait_s: Longest wait for the first byte.
            wait_s: Longest wait from the first byte to the whole event.
        """
        until_s = clock.boottime() + first_wait_s
        begun = False
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not begun and self._http.trailing_data[0]:
                begun = True
                until_s = clock.boottime() + wait_s
            left_s = until_s - clock.boottime()
            if left_s <= 0:
                raise TimeoutError
            self._sock.settimeout(left_s)
            data = self._sock.recv(_READ_BYTES)
            if data:
                self.idle = False
            self._http.receive_data(data)

    def _refuse(self, status: int, reason: str) -> None:
        """Answers a request that cannot be read, then closes."""
        self.write_until_s = clock.boottime() + _DRAIN_S
        body = json.dumps({"error": reason}).encode()
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
        ]
        try:
            data = self.encode(
                h11.Response(status_code=status, headers=headers)
            )
            data += self.encode(h11.Data(data=body))
            data += self.encode(h11.EndOfMessage())
        except h11.LocalProtocolError:
            return  # An answer was begun already; closing ends it torn.
        self.write(data)
        self._drain()

    def _drain(self) -> None:
        until_s = clock.boottime() + _DRAIN_S
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
            while (left_s := until_s - clock.boottime()) > 0:
                self._sock.settimeout(left_s)
                if not self._sock.recv(_READ_BYTES):
                    return


class _Watch:
    """Raises `CallerGoneError` in the present greenlet when the caller closes.

    The connection is watched while its request is served. Bytes of a next
    request end the watch; they are read after the present one.
    """

    def __init__(self, sock: green_socket.GreenSocket, more_came: bool) -> None:
        self._sock = sock
        self._more_came = more_came
        self._greenlet = greenlet.getcurrent()
        self._listener = None
        self._active = True

    def __enter__(self) -> None:
        if not self._more_came:
            hub = eventlet.hubs.get_hub()
            self._listener = hub.add(
                hub.READ, self._sock.fileno(), self._readable, self._stop, None
            )

    def __exit__(self, *exc_info: object) -> None:
        self._active = False
        self._stop()

    def _stop(self, *_: object) -> None:
        if self._listener is not None:
            eventlet.hubs.get_hub().remove(self._listener)
            self._listener = None

    def _readable(self, _: int) -> None:
        if self._listener is None:
            return
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            closed = self._sock.fd.recv(1, flags) == b""
        except BlockingIOError:
            return
        except OSError:
            closed = True
        self._stop()
        if closed:
            hub = eventlet.hubs.get_hub()
            hub.schedule_call_global(0, self._raise)

    def _raise(self) -> None:
        if self._active:
            self._greenlet.throw(CallerGoneError("the caller closed"))


def problem(failure: errors.Failure) -> bytes:
    """Returns the body of an answer that tells of a failure."""
    fields = {"error": failure.kind.value, "run": failure.run.value}
    return json.dumps(fields).encode()


def _check_framing(headers: channel.Headers) -> None:
    """Refuses a request whose end two readers could see differently."""
    names = [name.lower() for name, _ in headers]
    coded = names.count(b"transfer-encoding")
    if coded > 1 or (coded and b"content-length" in names):
        raise h11.RemoteProtocolError("the length of the body is ambiguous")
    if names.count(b"content-length") > 1 or names.count(b"host") > 1:
        raise h11.RemoteProtocolError("a header stands twice")


def _check_size(headers: channel.Headers, max_bytes: int) -> None:
    """Refuses a head that came whole at once and is too large."""
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size > max_bytes:
        raise h11.RemoteProtocolError(
            "the head is too large", error_status_hint=431
        )
