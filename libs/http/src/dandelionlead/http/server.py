"""Server side of HTTP/1.1: reads requests of callers and writes responses.

A caller is an HTTP client of this process. Each connection is served by one
greenlet, which reads a whole request, passes it to a `Handler` and writes one
response before it reads the next request. A request whose framing is ambiguous
is rejected, since another HTTP parser on the path could take a different byte
for the end of the body (request smuggling).
"""

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
from dandelionlead.http import client
from dandelionlead.http import limits

_RECV_BYTES = 65_536
# Seconds for writing the response to an invalid request, and again for reading
# what the caller still sends afterwards. Closing a socket with unread bytes
# would reset the connection, and the caller could lose the response.
_REJECTION_TIMEOUT_S = 1.0


class CallerDisconnectedError(Exception):
    """Raised in the greenlet of a request whose caller has disconnected."""


class Request:
    """One HTTP request, read completely.

    Attributes:
        method: HTTP method.
        target: Request target (path and query), not decoded.
        headers: Header names as the caller wrote them, with their values.
        body: The whole body, without chunked encoding; empty if there is none.
        arrived_s: When the head of the request was complete, in seconds of
            `clock.boottime`.
    """

    __slots__ = ("method", "target", "headers", "body", "arrived_s")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: client.Headers,
        body: bytes,
        arrived_s: float,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived_s = arrived_s


class Handler(abc.ABC):
    """Interface of an application that serves requests."""

    @abc.abstractmethod
    def handle(self, request: Request, response_writer: ResponseWriter) -> None:
        """Serves one request.

        `CallerDisconnectedError` is raised inside this method if the caller
        disconnects while the method runs. If the method returns without having
        ended the response, the connection is closed.

        Args:
            request: The request.
            response_writer: Writes the response.
        """

    @abc.abstractmethod
    def get_request_limits(self) -> limits.RequestLimits:
        """Returns the limits that apply to the next request."""

    @abc.abstractmethod
    def is_closing(self) -> bool:
        """Returns whether connections close after their current request."""


class ResponseWriter:
    """Writes the response to one request.

    Args:
        conn: Connection on which the request arrived.

    Attributes:
        has_started: Whether the head of the response was passed to the encoder.
        has_ended: Whether the end of the response was passed to the encoder.
    """

    __slots__ = ("_conn", "has_started", "has_ended")

    def __init__(self, conn: ServerConnection) -> None:
        self._conn = conn
        self.has_started = False
        self.has_ended = False

    def send_response(
        self, status: int, headers: client.Headers, body: bytes
    ) -> None:
        """Sends a complete response.

        Sets Content-Length to the length of `body`; leaves the body out if the
        request method is HEAD.

        Args:
            status: HTTP status code.
            headers: Headers; a Content-Length among them is replaced.
            body: The whole body.

        Raises:
            CallerDisconnectedError: The response could not be written.
            h11.LocalProtocolError: The response was already started, or the
                headers are not valid.
        """
        response_headers = [
            (k, v) for k, v in headers if k.lower() != b"content-length"
        ]
        response_headers.append((b"Content-Length", b"%d" % len(body)))
        self.has_started = True
        data = self._conn.encode_head(status, response_headers)
        if body and self._conn.method != b"HEAD":
            data += self._conn.encode_event(h11.Data(data=body))
        data += self._conn.encode_event(h11.EndOfMessage())
        self.has_ended = True
        self._conn.write(data)

    def start_response(self, status: int, headers: client.Headers) -> None:
        """Sends the head of a response whose length is not known yet.

        Args:
            status: HTTP status code.
            headers: Headers; a Content-Length among them is left out.

        Raises:
            CallerDisconnectedError: The head could not be written.
            h11.LocalProtocolError: The response was already started, or the
                headers are not valid.
        """
        response_headers = [
            (k, v) for k, v in headers if k.lower() != b"content-length"
        ]
        self.has_started = True
        self._conn.write(self._conn.encode_head(status, response_headers))

    def send_data(self, data: bytes) -> None:
        """Sends a part of the body of a response that was started.

        Args:
            data: The next bytes of the body.

        Raises:
            CallerDisconnectedError: The data could not be written.
            h11.LocalProtocolError: The response was not started or has ended.
        """
        self._conn.write(self._conn.encode_event(h11.Data(data=data)))

    def end_response(self) -> None:
        """Ends the body of a response that was started.

        Raises:
            CallerDisconnectedError: The end could not be written.
            h11.LocalProtocolError: The response was not started or has ended.
        """
        self.has_ended = True
        self._conn.write(self._conn.encode_event(h11.EndOfMessage()))

    def set_write_deadline(self, deadline_s: float) -> None:
        """Sets the deadline of all further writes of this response.

        Args:
            deadline_s: Deadline in seconds of `clock.boottime`.
        """
        self._conn.write_deadline_s = deadline_s


class ServerConnection:
    """One accepted connection and its HTTP parser.

    Args:
        sock: The accepted socket; the connection closes it.
        handler: Serves the requests of the connection.

    Attributes:
        is_idle: Whether no request is being read or served.
        method: HTTP method of the current or last request; empty before the
            first one.
        write_deadline_s: Deadline of writes, in seconds of `clock.boottime`.
    """

    def __init__(
        self, sock: green_socket.GreenSocket, handler: Handler
    ) -> None:
        self._sock = sock
        self._handler = handler
        request_limits = handler.get_request_limits()
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=request_limits.max_header_bytes,
        )
        self.is_idle = True
        self.method = b""
        self.write_deadline_s = 0.0

    def run(self) -> None:
        """Serves requests one after another until the connection ends."""
        try:
            while self._serve_request():
                self._http.start_next_cycle()
        except (OSError, CallerDisconnectedError, h11.LocalProtocolError):
            # The caller has disconnected, or the response is invalid or cut
            # short. The handler logs the outcome of the request.
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Closes the socket."""
        with contextlib.suppress(OSError):
            self._sock.close()

    def close_if_idle(self) -> None:
        """Shuts the connection down if no request is being read or served."""
        if self.is_idle:
            self.shutdown()

    def shutdown(self) -> None:
        """Shuts the connection down, even while a request is being served."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def encode_head(self, status: int, headers: client.Headers) -> bytes:
        """Returns the encoded head of a response.

        Adds `Connection: close` if `Handler.is_closing` returns true.

        Raises:
            h11.LocalProtocolError: The response was already started, or the
                headers are not valid.
        """
        if self._handler.is_closing():
            headers = [*headers, (b"Connection", b"close")]
        return self.encode_event(
            h11.Response(status_code=status, headers=headers)
        )

    def encode_event(self, event: h11.Event) -> bytes:
        """Returns the bytes of an h11 event of the response.

        Raises:
            h11.LocalProtocolError: The event is not allowed at this point of
                the response.
        """
        return self._http.send(event) or b""

    def write(self, data: bytes) -> None:
        """Writes all bytes to the caller.

        Raises:
            CallerDisconnectedError: The connection failed, or the caller did
                not read the bytes before `write_deadline_s`.
        """
        if not data:
            return
        remaining_s = max(0.05, self.write_deadline_s - clock.boottime())
        try:
            self._sock.settimeout(remaining_s)
            self._sock.sendall(data)
        except OSError as exc:
            raise CallerDisconnectedError(str(exc)) from exc

    def _serve_request(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        request_limits = self._handler.get_request_limits()
        self.is_idle = self._http.trailing_data[0] == b""
        try:
            request = self._read_request(request_limits)
        except h11.RemoteProtocolError as exc:
            self._reject_request(exc.error_status_hint, str(exc))
            return False
        except TimeoutError:
            if not self.is_idle:
                self._reject_request(
                    408, "the request was not complete in time"
                )
            return False
        if request is None:
            return False
        self.is_idle = False
        self.write_deadline_s = clock.boottime() + request_limits.idle_timeout_s
        response_writer = ResponseWriter(self)
        with _DisconnectWatcher(self._sock, bool(self._http.trailing_data[0])):
            self._handler.handle(request, response_writer)
        is_response_sent = self._http.our_state is h11.DONE
        return (
            response_writer.has_ended
            and is_response_sent
            and self._http.their_state is h11.DONE
        )

    def _read_request(
        self, request_limits: limits.RequestLimits
    ) -> Request | None:
        """Reads one request; returns None if the caller closes first."""
        event = self._next_event(
            request_limits.idle_timeout_s, request_limits.header_timeout_s
        )
        if not isinstance(event, h11.Request):
            return None
        self.is_idle = False
        arrived_s = clock.boottime()
        self.method = bytes(event.method)
        headers = [(bytes(k), bytes(v)) for k, v in event.headers.raw_items()]
        _check_framing(headers)
        _check_size(headers, request_limits.max_header_bytes)
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self.write_deadline_s = arrived_s + request_limits.header_timeout_s
            self.write(self.encode_event(continue_response))
        body = self._read_body(request_limits)
        target = bytes(event.target)
        return Request(self.method, target, headers, body, arrived_s)

    def _read_body(self, request_limits: limits.RequestLimits) -> bytes:
        """Reads the whole body of the current request."""
        chunks: list[bytes] = []
        size = 0
        while True:
            event_timeout_s = request_limits.header_timeout_s
            event = self._next_event(event_timeout_s, event_timeout_s)
            if isinstance(event, h11.EndOfMessage):
                return b"".join(chunks)
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("the request body is incomplete")
            size += len(event.data)
            if size > request_limits.max_body_bytes:
                raise h11.RemoteProtocolError(
                    "the request body exceeds the size limit",
                    error_status_hint=413,
                )
            chunks.append(bytes(event.data))

    def _next_event(
        self, first_byte_timeout_s: float, event_timeout_s: float
    ) -> h11.Event:
        """Reads from the socket until the parser has an event.

        Args:
            first_byte_timeout_s: Seconds to wait for the first byte.
            event_timeout_s: Seconds from the first byte to the whole event.

        Raises:
            TimeoutError: One of the waits has expired.
            OSError: The connection failed.
            h11.RemoteProtocolError: The bytes are not a valid request.
        """
        deadline_s = clock.boottime() + first_byte_timeout_s
        has_started = False
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if not has_started and self._http.trailing_data[0]:
                has_started = True
                deadline_s = clock.boottime() + event_timeout_s
            remaining_s = deadline_s - clock.boottime()
            if remaining_s <= 0:
                raise TimeoutError
            self._sock.settimeout(remaining_s)
            data = self._sock.recv(_RECV_BYTES)
            if data:
                self.is_idle = False
            self._http.receive_data(data)

    def _reject_request(self, status: int, message: str) -> None:
        """Rejects an invalid request with an error response."""
        self.write_deadline_s = clock.boottime() + _REJECTION_TIMEOUT_S
        body = json.dumps({"error": message}).encode()
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
        ]
        try:
            data = self.encode_event(
                h11.Response(status_code=status, headers=headers)
            )
            data += self.encode_event(h11.Data(data=body))
            data += self.encode_event(h11.EndOfMessage())
        except h11.LocalProtocolError:
            return  # A response was started; it stays incomplete.
        self.write(data)
        self._discard_input()

    def _discard_input(self) -> None:
        """Reads and discards what the caller sends, for a limited time."""
        deadline_s = clock.boottime() + _REJECTION_TIMEOUT_S
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
            while (remaining_s := deadline_s - clock.boottime()) > 0:
                self._sock.settimeout(remaining_s)
                if not self._sock.recv(_RECV_BYTES):
                    return


class _DisconnectWatcher:
    """Raises `CallerDisconnectedError` in the greenlet that serves a request.

    The greenlet uses this class as a context manager; the socket is watched for
    a disconnect inside the `with` block. Watching ends as soon as bytes of a
    pipelined request arrive: these bytes are read only after the current
    request, and a disconnect that follows unread bytes cannot be detected.

    Args:
        sock: Socket of the connection.
        has_pipelined_data: Whether bytes of a pipelined request have already
            been read; the socket is then not watched at all.
    """

    def __init__(
        self, sock: green_socket.GreenSocket, has_pipelined_data: bool
    ) -> None:
        self._sock = sock
        self._has_pipelined_data = has_pipelined_data
        self._greenlet = greenlet.getcurrent()
        self._hub_listener = None
        self._is_active = True

    def __enter__(self) -> None:
        if not self._has_pipelined_data:
            hub = eventlet.hubs.get_hub()
            self._hub_listener = hub.add(
                hub.READ,
                self._sock.fileno(),
                self._on_readable,
                self._remove_hub_listener,
                None,
            )

    def __exit__(self, *exc_info: object) -> None:
        self._is_active = False
        self._remove_hub_listener()

    def _remove_hub_listener(self, *_: object) -> None:
        if self._hub_listener is not None:
            eventlet.hubs.get_hub().remove(self._hub_listener)
            self._hub_listener = None

    def _on_readable(self, _: int) -> None:
        if self._hub_listener is None:
            return
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            is_disconnected = self._sock.fd.recv(1, flags) == b""
        except BlockingIOError:
            return
        except OSError:
            is_disconnected = True
        self._remove_hub_listener()
        if is_disconnected:
            hub = eventlet.hubs.get_hub()
            hub.schedule_call_global(0, self._raise_in_greenlet)

    def _raise_in_greenlet(self) -> None:
        if self._is_active:
            self._greenlet.throw(
                CallerDisconnectedError("the caller closed the connection")
            )


def encode_failure(failure: errors.Failure) -> bytes:
    """Returns a failure as the JSON body of an error response.

    The body has the fields `error` (kind of the failure) and `run` (whether the
    request ran).
    """
    fields = {"error": failure.kind.value, "run": failure.run_state.value}
    return json.dumps(fields).encode()


def _check_framing(headers: client.Headers) -> None:
    """Checks that HTTP parsers cannot find different ends of a request.

    Raises:
        h11.RemoteProtocolError: The headers give the length of the body or the
            host more than once.
    """
    names = [name.lower() for name, _ in headers]
    transfer_encoding_count = names.count(b"transfer-encoding")
    if transfer_encoding_count > 1 or (
        transfer_encoding_count and b"content-length" in names
    ):
        raise h11.RemoteProtocolError(
            "the request gives the length of its body in two ways"
        )
    if names.count(b"content-length") > 1 or names.count(b"host") > 1:
        raise h11.RemoteProtocolError(
            "Content-Length or Host occurs more than once"
        )


def _check_size(headers: client.Headers, max_bytes: int) -> None:
    """Checks that a request head does not exceed the size limit.

    h11 enforces its limit only on a head that arrives in several reads.

    Raises:
        h11.RemoteProtocolError: The head is larger than `max_bytes`.
    """
    size = sum(len(name) + len(value) + 4 for name, value in headers)
    if size > max_bytes:
        raise h11.RemoteProtocolError(
            "the request head exceeds the size limit", error_status_hint=431
        )
