"""Reads the requests of one connection, one after another.

The parser alone decides where a message ends: all bytes pass to it in the order
and the form in which they arrive, and it keeps those of a later request until
the present one has been answered. What is held is counted in the account of the
connection as it arrives.
"""

from __future__ import annotations

import eventlet.green.socket as green_socket
import h11

from dandelionlead.core import clock
from dandelionlead.http import body_buffer
from dandelionlead.http import caller_accounts
from dandelionlead.http import client
from dandelionlead.http import limits
from dandelionlead.http import turn_pacer

RECV_BYTES = 65_536
# Smaller reads bound what the parser holds of a body in chunks while the
# connection waits for its turn.
_CHUNKED_RECV_BYTES = 16_384
# Events of a body that are taken from the parser in one turn. They bound the
# time of a turn in which very many small chunks are parsed.
_EVENTS_PER_TURN = 100
# Memory of a header field beside its text.
_FIELD_BYTES = 320


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


class RequestReader:
    """Reads requests from one connection.

    Args:
        sock: Socket of the connection.
        http: Parser of the connection, on the side of the server.
        account: Counts what the connection holds.
        pacer: Spaces the parsing of bodies.

    Attributes:
        is_idle: Whether no byte of a further request has arrived.
        method: HTTP method of the current or last request; empty before the
            first one.
    """

    __slots__ = (
        "is_idle",
        "method",
        "_sock",
        "_http",
        "_account",
        "_pacer",
        "_unparsed_bytes",
    )

    def __init__(
        self,
        sock: green_socket.GreenSocket,
        http: h11.Connection,
        account: caller_accounts.CallerAccount,
        pacer: turn_pacer.TurnPacer,
    ) -> None:
        self.is_idle = True
        self.method = b""
        self._sock = sock
        self._http = http
        self._account = account
        self._pacer = pacer
        # Bytes that the parser holds at most.
        self._unparsed_bytes = 0

    @property
    def has_unread_bytes(self) -> bool:
        """Whether bytes of a further request have already been received."""
        return bool(self._http.trailing_data[0])

    def read_head(self, request_limits: limits.RequestLimits) -> Request | None:
        """Reads the head of a request.

        Returns:
            The request without its body; None if the caller closes first.

        Raises:
            TimeoutError: The head was not complete in time.
            OSError: The connection failed.
            intake_memory.IntakeFullError: There is no room for the request.
            h11.RemoteProtocolError: The bytes are not a valid request.
        """
        self.is_idle = not self.has_unread_bytes
        self._unparsed_bytes = len(self._http.trailing_data[0])
        self._account.hold(self._unparsed_bytes)
        event = self._read_head_event(request_limits)
        if not isinstance(event, h11.Request):
            return None
        self.is_idle = False
        self.method = bytes(event.method)
        headers = [(bytes(k), bytes(v)) for k, v in event.headers.raw_items()]
        _check_framing(headers)
        _check_size(headers, request_limits.max_header_bytes)
        _check_length(event, request_limits.max_body_bytes)
        return Request(
            self.method, bytes(event.target), headers, b"", clock.boottime()
        )

    def read_body(
        self,
        request: Request,
        request_limits: limits.RequestLimits,
        *,
        must_keep: bool,
    ) -> None:
        """Reads the whole body of a request.

        Args:
            request: The request whose head was read last; gets the body.
            request_limits: Limits on the request.
            must_keep: Whether the body is needed; it is discarded if not.

        Raises:
            TimeoutError: A part of the body was not complete in time.
            OSError: The connection failed.
            intake_memory.IntakeFullError: There is no room for the request.
            h11.RemoteProtocolError: The bytes are not a valid request.
        """
        head_bytes = _estimate_head_bytes(request)
        recv_bytes = _CHUNKED_RECV_BYTES if _is_chunked(request) else RECV_BYTES
        body = body_buffer.BodyBuffer()
        size = 0
        event_count = 0
        has_waited = False
        turn_started_s = clock.boottime()
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.EndOfMessage):
                break
            if isinstance(event, h11.Data):
                size += len(event.data)
                _check_body_size(size, request_limits.max_body_bytes)
                if must_keep:
                    body.append(event.data)
                event_count += 1
                if event_count % _EVENTS_PER_TURN:
                    continue
            elif event is h11.NEED_DATA:
                if has_waited:
                    self._pacer.end_turn(turn_started_s)
                has_waited = True
                self._account.hold(head_bytes + body.size)
                data = self._receive(
                    clock.boottime() + request_limits.header_timeout_s,
                    recv_bytes,
                )
                self._account.hold(head_bytes + body.size + len(data))
                # What `hold` waits is no time of parsing.
                turn_started_s = clock.boottime()
                self._http.receive_data(data)
                continue
            else:
                raise h11.RemoteProtocolError("the request body is incomplete")
            self._pacer.end_turn(turn_started_s)
            turn_started_s = clock.boottime()
        unread_bytes = len(self._http.trailing_data[0])
        self._account.hold(head_bytes + body.size + unread_bytes)
        request.body = body.take()

    def drop_input(self, http: h11.Connection) -> None:
        """Drops what has arrived with the parser that holds it.

        Args:
            http: The parser that takes its place.
        """
        self._http = http

    def _read_head_event(
        self, request_limits: limits.RequestLimits
    ) -> h11.Event:
        """Reads until the parser has the head of a request.

        The first byte may take the idle timeout; from then on the head must be
        complete within the header timeout.
        """
        timeout_s = (
            request_limits.idle_timeout_s
            if self.is_idle
            else request_limits.header_timeout_s
        )
        deadline_s = clock.boottime() + timeout_s
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = self._receive(deadline_s)
            if data and self.is_idle:
                self.is_idle = False
                deadline_s = clock.boottime() + request_limits.header_timeout_s
            self._unparsed_bytes += len(data)
            self._account.hold(self._unparsed_bytes)
            self._http.receive_data(data)

    def _receive(
        self, deadline_s: float, byte_count: int = RECV_BYTES
    ) -> bytes:
        """Returns the next bytes; none at the end of the connection.

        Args:
            deadline_s: Deadline in seconds of `clock.boottime`.
            byte_count: Largest number of bytes.

        Raises:
            TimeoutError: Nothing arrived before the deadline.
            OSError: The connection failed.
        """
        remaining_s = deadline_s - clock.boottime()
        if remaining_s <= 0:
            raise TimeoutError
        self._sock.settimeout(remaining_s)
        return self._sock.recv(byte_count)


def _is_chunked(request: Request) -> bool:
    """Returns whether the body of a request comes in chunks."""
    return any(
        name.lower() == b"transfer-encoding" for name, _ in request.headers
    )


def _estimate_head_bytes(request: Request) -> int:
    """Returns the memory that the head of a request takes, in bytes."""
    text_bytes = sum(len(name) + len(value) for name, value in request.headers)
    return text_bytes + _FIELD_BYTES * len(request.headers)


def _check_length(event: h11.Request, max_bytes: int) -> None:
    """Checks that a request does not declare a body above the size limit.

    Raises:
        h11.RemoteProtocolError: The declared length is larger than `max_bytes`.
    """
    for name, value in event.headers:
        if name == b"content-length":
            _check_body_size(int(value), max_bytes)


def _check_body_size(size: int, max_bytes: int) -> None:
    """Checks that a body does not exceed the size limit.

    Raises:
        h11.RemoteProtocolError: The size is larger than `max_bytes`.
    """
    if size > max_bytes:
        raise h11.RemoteProtocolError(
            "the request body exceeds the size limit", error_status_hint=413
        )


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
