"""Client side of HTTP/1.1: one connection to an endpoint or the platform.

Responses are parsed by h11, which rejects bytes that are not a valid response.
The methods of `ClientConnection` do not raise an exception if the network or
the peer fails, but return an `errors.Failure`. Each read has a deadline and
each write has a timeout.
"""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import struct

import eventlet
import eventlet.green.socket as green_socket
import eventlet.hubs as hubs
import h11

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.http import body_buffer
from dandelionlead.http import intake
from dandelionlead.http import intake_memory
from dandelionlead.http import link_activity

_RECV_BYTES = 65_536
# The parser rejects statuses below 100, and skips those below 200.
_MAX_STATUS = 599
# Bodies from this size on are sent apart from the head.
_LARGE_BODY_BYTES = 65_536
_MAX_HEAD_BYTES = 65_536
# Maximum number of 1xx responses before a response.
_MAX_INTERIM_RESPONSES = 8
# Maximum number of parts in which a body may arrive. More take too much
# processor time, even if they are small.
_MAX_BODY_PARTS = 8_192
# Number of parser events after which other green threads run, because a peer
# that sends without end never makes a read wait.
_EVENTS_PER_YIELD = 64
# Largest body of a response to an earlier request that `skip_response` reads.
_MAX_STALE_BODY_BYTES = 1_048_576
_NO_ROOM = "the response body was cut off to make room for others"
# The kernel closes a connection whose sent data stay unacknowledged this long.
_TCP_USER_TIMEOUT_MS = 3_000
_TCP_KEEPALIVE_IDLE_S = 2
_TCP_KEEPALIVE_INTERVAL_S = 1
_TCP_KEEPALIVE_PROBES = 3
# SO_LINGER with a timeout of 0 s: closing sends a TCP reset.
LINGER_RESET = struct.pack("ii", 1, 0)

# Header names and values, in the order in which they are on the wire.
Headers = list[tuple[bytes, bytes]]


class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: HTTP status code.
        headers: Header names in lower case, with their values.
        raw_headers: Header names as the peer wrote them, with their values.
        has_body_framing: Whether the response itself marks the end of its
            body, by Content-Length, Transfer-Encoding or a status that has no
            body. The body of any other response ends when the connection is
            closed.
    """

    __slots__ = ("status", "headers", "raw_headers", "has_body_framing")

    def __init__(
        self,
        status: int,
        headers: Headers,
        raw_headers: Headers,
        has_body_framing: bool,
    ) -> None:
        self.status = status
        self.headers = headers
        self.raw_headers = raw_headers
        self.has_body_framing = has_body_framing

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None.

        Args:
            name: Name of the header in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


class RefusedFailure(errors.Failure):
    """Failure to connect because nothing listens at the address."""

    __slots__ = ()


class BodyEnd:
    """Type of `BODY_END`, which marks the end of a body."""

    __slots__ = ()


BODY_END = BodyEnd()


class BodyTimeouts:
    """Limits on the time in which a body arrives.

    Attributes:
        idle_s: Seconds within which each next part must arrive.
        total_s: Seconds for the whole body.
    """

    __slots__ = ("idle_s", "total_s")

    def __init__(self, idle_s: float, total_s: float) -> None:
        self.idle_s = idle_s
        self.total_s = total_s


class ExchangeLimits:
    """Limits of one request and its response.

    Attributes:
        timeout_s: Seconds from the start of the request to the end of the
            response, or to the end of its head if the body has limits of its
            own.
        max_body_bytes: Largest size of the response body.
        body_timeouts: Limits on the time of the body, for bodies that may be
            large; None if `timeout_s` includes the body.
        activity: Receives the size of the body while it arrives; may be None.
    """

    __slots__ = ("timeout_s", "max_body_bytes", "body_timeouts", "activity")

    def __init__(
        self,
        timeout_s: float,
        max_body_bytes: int,
        body_timeouts: BodyTimeouts | None = None,
        activity: link_activity.LinkActivity | None = None,
    ) -> None:
        self.timeout_s = timeout_s
        self.max_body_bytes = max_body_bytes
        self.body_timeouts = body_timeouts
        self.activity = activity


class ClientConnection:
    """A client connection that carries one request at a time.

    Args:
        address: IP address and port of the peer.
        sock: Connected socket; the connection closes it.
        memory: Counts the bodies that the connection reads; None for an account
            of its own.

    Attributes:
        address: IP address and port of the peer.
        opened_s: When the connection was opened, in seconds of
            `clock.boottime`.
        idle_since_s: When `try_prepare_reuse` last made the connection ready
            for another request, in seconds of `clock.boottime`; initially
            `opened_s`.
        keep_alive_timeout_s: Seconds for which the peer keeps an idle
            connection open.
        idle_before_request_s: Seconds that the connection was idle before the
            current request; 0 if the connection was new.
    """

    __slots__ = (
        "address",
        "opened_s",
        "idle_since_s",
        "keep_alive_timeout_s",
        "idle_before_request_s",
        "_sock",
        "_http",
        "_closed",
        "_events_since_yield",
        "_memory",
    )

    def __init__(
        self,
        address: tuple[str, int],
        sock: green_socket.GreenSocket,
        memory: intake.Intake | None = None,
    ) -> None:
        self.address = address
        self.opened_s = clock.boottime()
        self.idle_since_s = self.opened_s
        self.keep_alive_timeout_s = 5.0
        self.idle_before_request_s = 0.0
        self._sock = sock
        self._memory = memory or intake.Intake()
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._closed = False
        self._events_since_yield = 0

    @property
    def is_reused(self) -> bool:
        """Whether the connection has carried an earlier request."""
        return self.idle_since_s > self.opened_s

    def send_request(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        timeout_s: float,
    ) -> errors.Failure | None:
        """Sends a whole request.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: All headers.
            body: The whole body.
            timeout_s: Seconds within which all bytes must be sent.

        Returns:
            None when all bytes were passed to the kernel, or the failure.

        Raises:
            h11.LocalProtocolError: The request is not valid, or the connection
                is not ready for another request.
        """
        request = h11.Request(method=method, target=target, headers=headers)
        head = self._http.send(request) or b""
        data = (self._http.send(h11.Data(data=body)) or b"") if body else b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            self._sock.settimeout(max(0.01, timeout_s))
            if len(data) < _LARGE_BODY_BYTES:
                self._sock.sendall(head + data)
            else:  # The body is not copied.
                self._sock.sendall(head)
                self._sock.sendall(memoryview(data))
        except TimeoutError:
            return _endpoint_silent(
                "the request was not sent before the timeout"
            )
        except OSError as exc:
            return _endpoint_failed(f"the request could not be sent: {exc}")
        return None

    def read_head(self, deadline_s: float) -> ResponseHead | errors.Failure:
        """Reads the head of the response and skips 1xx responses.

        Args:
            deadline_s: Deadline in seconds of `clock.boottime`.

        Returns:
            The head, or the failure.
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = self._next_event(deadline_s)
            if isinstance(event, errors.Failure):
                return event
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, h11.Response):
                if event.status_code > _MAX_STATUS:
                    return _endpoint_failed(
                        f"the protocol has no status {event.status_code}"
                    )
                return _make_head(event)
            return _endpoint_failed(
                "the peer closed the connection before a response"
            )
        return _endpoint_failed("the peer sent too many interim responses")

    def read_body_part(
        self, deadline_s: float
    ) -> bytes | BodyEnd | errors.Failure:
        """Reads the next part of the response body.

        Args:
            deadline_s: Deadline in seconds of `clock.boottime`.

        Returns:
            The bytes that have arrived, `BODY_END` after the last byte of the
            body, or the failure.
        """
        while True:
            event = self._next_event(deadline_s)
            if isinstance(event, errors.Failure):
                return event
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return BODY_END
            return _endpoint_failed("the response body is incomplete")

    def read_body(
        self,
        deadline_s: float,
        max_bytes: int,
        idle_timeout_s: float = float("inf"),
        activity: link_activity.LinkActivity | None = None,
    ) -> bytes | errors.Failure:
        """Reads the rest of the response body as one piece.

        Takes the arguments of `receive_body`.
        """
        body = self.receive_body(
            deadline_s, max_bytes, idle_timeout_s, activity
        )
        return body if isinstance(body, errors.Failure) else body.take()

    def receive_body(
        self,
        deadline_s: float,
        max_bytes: int,
        idle_timeout_s: float = float("inf"),
        activity: link_activity.LinkActivity | None = None,
    ) -> body_buffer.BodyBuffer | errors.Failure:
        """Reads the rest of the response body.

        Args:
            deadline_s: Deadline in seconds of `clock.boottime`.
            max_bytes: Largest size of the rest of the body; a larger one is a
                failure.
            idle_timeout_s: Seconds within which each next part must arrive.
            activity: Receives the size of the body while it arrives.

        Returns:
            The rest of the body, or the failure. It is also a failure if the
            body has to make room for others.
        """
        body = body_buffer.BodyBuffer()
        account = self._memory.open_response(lambda: self._abandon_body(body))
        try:
            for _ in range(_MAX_BODY_PARTS + 1):
                data = self.read_body_part(
                    min(deadline_s, clock.boottime() + idle_timeout_s)
                )
                if account.is_evicted:
                    return _endpoint_failed(_NO_ROOM)
                if data is BODY_END:
                    return body
                if not isinstance(data, bytes):
                    return data
                size = body.size + len(data)
                if size > max_bytes:
                    return _endpoint_failed(
                        "the response body exceeds the size limit"
                    )
                if activity is not None:
                    activity.record_part(size)
                account.hold(size)
                body.append(data)
        except intake_memory.IntakeFullError:
            return _endpoint_failed(_NO_ROOM)
        finally:
            account.close()
        return _endpoint_failed("the response body has too many parts")

    def _abandon_body(self, body: body_buffer.BodyBuffer) -> None:
        """Drops a body that makes room for others; its reading fails."""
        body.clear()
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)

    def request(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        limits: ExchangeLimits,
    ) -> tuple[ResponseHead, bytes] | errors.Failure:
        """Sends a request and reads the whole response.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: All headers.
            body: The whole body.
            limits: Limits on the time and on the size of the response.

        Returns:
            The head and the body of the response, or the failure.
        """
        deadline_s = clock.boottime() + limits.timeout_s
        failure = self.send_request(
            method, target, headers, body, limits.timeout_s
        )
        if failure is not None:
            return failure
        head = self.read_head(deadline_s)
        if isinstance(head, errors.Failure):
            return head
        idle_timeout_s = float("inf")
        if limits.body_timeouts is not None:
            idle_timeout_s = limits.body_timeouts.idle_s
            deadline_s = clock.boottime() + limits.body_timeouts.total_s
        data = self.read_body(
            deadline_s, limits.max_body_bytes, idle_timeout_s, limits.activity
        )
        if isinstance(data, errors.Failure):
            return data
        return head, data

    def skip_response(self, method: bytes, deadline_s: float) -> bool:
        """Skips the body of a response that belongs to an earlier request.

        Must be called after the current request was sent and `read_head` has
        returned the head of the response to the earlier request.

        Args:
            method: HTTP method of the current request.
            deadline_s: Deadline in seconds of `clock.boottime`.

        Returns:
            Whether the response to the current request can be read next.
        """
        body = self.read_body(deadline_s, _MAX_STALE_BODY_BYTES)
        if isinstance(body, errors.Failure):
            return False
        if self._http.their_state is not h11.DONE:
            return False
        unread_data, is_eof = self._http.trailing_data
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        # The current request was sent with the old parser. The new parser
        # accepts a response only after a request; the method of the request
        # decides whether the response has a body.
        placeholder_request = h11.Request(
            method=method, target=b"/", headers=[(b"Host", b"-")]
        )
        self._http.send(placeholder_request)
        self._http.send(h11.EndOfMessage())
        if unread_data:
            self._http.receive_data(unread_data)
        return not is_eof

    def try_prepare_reuse(self) -> bool:
        """Prepares the connection for the next request, if it can be reused.

        Returns:
            Whether the connection can be reused. It cannot be reused if it is
            closed, if the request or the response is incomplete, or if more
            bytes were read after the end of the response.
        """
        if self._closed or self._http.trailing_data != (b"", False):
            return False
        states = {self._http.our_state, self._http.their_state}
        if states != {h11.DONE}:
            return False
        self._http.start_next_cycle()
        self.idle_since_s = clock.boottime()
        return True

    def is_open_without_unread_data(self) -> bool:
        """Returns whether the connection is open and has no unread bytes.

        Does not wait, and leaves unread bytes in the socket. A connection that
        the peer has closed or reset does not count as open.
        """
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

    def close(self) -> None:
        """Closes the connection.

        One whose request has no response is reset: a network that holds the
        request back then loses it, where an orderly close would let it arrive
        long after it was given up.
        """
        if self._closed:
            return
        self._closed = True
        with contextlib.suppress(OSError):
            if self._awaits_response():
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
                )
        with contextlib.suppress(OSError):
            self._sock.close()

    def _awaits_response(self) -> bool:
        """Returns whether a request was sent whose response has not begun."""
        return (
            self._http.our_state is not h11.IDLE
            and self._http.their_state is h11.SEND_RESPONSE
        )

    def _next_event(self, deadline_s: float) -> h11.Event | errors.Failure:
        """Reads until the parser returns an event, or until the deadline."""
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as exc:
                return _endpoint_failed(f"the response is not valid: {exc}")
            if event is not h11.NEED_DATA:
                self._count_event()
                return event
            failure = self._receive(deadline_s)
            if failure is not None:
                return failure

    def _count_event(self) -> None:
        """Lets other green threads run after every `_EVENTS_PER_YIELD`."""
        self._events_since_yield += 1
        if self._events_since_yield >= _EVENTS_PER_YIELD:
            self._events_since_yield = 0
            eventlet.sleep(0)

    def _receive(self, deadline_s: float) -> errors.Failure | None:
        """Reads bytes from the socket and passes them to the parser."""
        remaining_s = deadline_s - clock.boottime()
        if remaining_s <= 0:
            return _endpoint_silent("no response before the deadline")
        try:
            data = receive_bytes(self._sock, _RECV_BYTES, remaining_s)
        except TimeoutError:
            return _endpoint_silent("no response before the deadline")
        except OSError as exc:
            return _endpoint_failed(f"the connection failed: {exc}")
        try:
            self._http.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError) as exc:
            return _endpoint_failed(f"the response is not valid: {exc}")
        return None


def connect(
    address: tuple[str, int],
    timeout_s: float,
    memory: intake.Intake | None = None,
) -> ClientConnection | errors.Failure:
    """Opens a connection.

    Args:
        address: IP address and port of the peer.
        timeout_s: Seconds to wait for the TCP handshake.
        memory: Counts the bodies that the connection reads; None for an account
            of its own.

    Returns:
        The connection, or a failure of kind `ENDPOINT_UNREACHABLE`.
    """
    sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        set_socket_options(sock)
        _connect_socket(sock, address, timeout_s)
    except OSError as exc:
        sock.close()
        is_refused = isinstance(exc, ConnectionRefusedError)
        failure_type = RefusedFailure if is_refused else errors.Failure
        return failure_type(
            errors.Kind.ENDPOINT_UNREACHABLE,
            f"cannot connect to {address[0]}:{address[1]}: {exc}",
        )
    return ClientConnection(address, sock, memory)


def _connect_socket(
    sock: green_socket.GreenSocket, address: tuple[str, int], timeout_s: float
) -> None:
    """Connects a socket.

    Raises:
        TimeoutError: The connection was not opened in time.
        OSError: The connection failed.
    """
    sock.settimeout(max(0.01, timeout_s))
    try:
        sock.connect(address)
    except TimeoutError:
        # The handshake may have ended in time while the event loop was
        # blocked, so its result is read once more.
        result = sock.fd.connect_ex(address)
        if result in (errno.EALREADY, errno.EINPROGRESS):
            raise
        if result not in (0, errno.EISCONN):
            raise OSError(result, os.strerror(result)) from None


def receive_bytes(
    sock: green_socket.GreenSocket, size: int, timeout_s: float
) -> bytes:
    """Returns the bytes that have arrived, or waits for the first ones.

    `GreenSocket.recv` of eventlet is not used: it reports a connection reset as
    the end of the stream, so that an incomplete body without a length would
    look complete.

    Args:
        sock: The socket to read from.
        size: Largest number of bytes to return.
        timeout_s: Seconds to wait.

    Returns:
        The bytes; empty if the peer has ended the stream.

    Raises:
        TimeoutError: No bytes arrived in time.
        OSError: The connection failed.
    """
    has_timed_out = False
    while True:
        try:
            return sock.fd.recv(size)
        except BlockingIOError:
            if has_timed_out:
                raise TimeoutError from None
        try:
            hubs.trampoline(
                sock.fd,
                read=True,
                timeout=timeout_s,
                timeout_exc=TimeoutError,
            )
        except TimeoutError:
            # Bytes may have arrived in time while this process was suspended,
            # so the socket is read once more.
            has_timed_out = True


def set_socket_options(sock: green_socket.GreenSocket) -> None:
    """Sets socket options for a connection to a peer that may fail silently.

    Small writes are sent at once (TCP_NODELAY). The kernel ends the connection
    if the peer acknowledges neither data nor keepalive probes.

    Args:
        sock: A TCP socket.

    Raises:
        OSError: The socket is closed, or the kernel rejects an option.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _TCP_KEEPALIVE_IDLE_S
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _TCP_KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _TCP_KEEPALIVE_PROBES
    )


def _make_head(event: h11.Response) -> ResponseHead:
    names = {name for name, _ in event.headers}
    has_body_framing = (
        b"content-length" in names or b"transfer-encoding" in names
    )
    return ResponseHead(
        event.status_code,
        [(bytes(key), bytes(value)) for key, value in event.headers],
        [(bytes(k), bytes(v)) for k, v in event.headers.raw_items()],
        has_body_framing or event.status_code in (204, 304),
    )


def _endpoint_failed(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.ENDPOINT_FAILED, reason)


def _endpoint_silent(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.ENDPOINT_SILENT, reason)
