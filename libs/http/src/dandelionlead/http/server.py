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
import itertools
import json
import socket
import traceback
from collections.abc import Iterable
from collections.abc import Iterator

import eventlet
import eventlet.green.socket as green_socket
import h11

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.http import body_buffer
from dandelionlead.http import caller_accounts
from dandelionlead.http import client
from dandelionlead.http import disconnect_watcher
from dandelionlead.http import intake_memory
from dandelionlead.http import limits
from dandelionlead.http import request_reader
from dandelionlead.http import turn_pacer

# Seconds for writing the response to an invalid request, and again for reading
# what the caller still sends afterwards. Closing a socket with unread bytes
# would reset the connection, and the caller could lose the response.
_REJECTION_TIMEOUT_S = 1.0
# Seconds for `Retry-After` if callers hold too much memory: their requests end
# or are refused within this time.
_RETRY_AFTER_S = 1.0
# Parts of a response from this size on are counted until they are written.
_LARGE_WRITE_BYTES = 65_536


class Handler(abc.ABC):
    """Interface of an application that serves requests."""

    @abc.abstractmethod
    def handle(
        self, request: request_reader.Request, response_writer: ResponseWriter
    ) -> None:
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

    def needs_body(self, request: request_reader.Request) -> bool:
        """Returns whether the body of a request is kept for `handle`.

        Args:
            request: The request, whose body has not been read yet.
        """
        del request
        return True


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
        self.has_started = True
        data = self._conn.encode_head(status, _set_length(headers, len(body)))
        if body and self._conn.method != b"HEAD":
            data += self._conn.encode_event(h11.Data(data=body))
        data += self._conn.encode_event(h11.EndOfMessage())
        self.has_ended = True
        self._conn.write(data)

    def send_buffered_response(
        self, status: int, headers: client.Headers, body: body_buffer.BodyBuffer
    ) -> None:
        """Sends a complete response; frees the blocks of its body meanwhile.

        Args:
            status: HTTP status code.
            headers: Headers; a Content-Length among them is replaced.
            body: The whole body; empty afterwards.

        Raises:
            CallerDisconnectedError: The response could not be written.
            h11.LocalProtocolError: The response was already started, or the
                headers are not valid.
        """
        if body.size < _LARGE_WRITE_BYTES or self._conn.method == b"HEAD":
            self.send_response(status, headers, body.take())
            return
        self.has_started = True
        head = self._conn.encode_head(status, _set_length(headers, body.size))
        self._conn.write_large(
            body.size, itertools.chain([head], self._encode_blocks(body))
        )

    def _encode_blocks(self, body: body_buffer.BodyBuffer) -> Iterator[bytes]:
        """Yields the encoded blocks of a body up to the end of the response."""
        for block in body.pop_blocks():
            yield self._conn.encode_event(h11.Data(data=block))
        yield self._conn.encode_event(h11.EndOfMessage())
        self.has_ended = True

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


class _Rejection:
    """Why a request was not passed on.

    Attributes:
        status: HTTP status code.
        message: What is wrong, for the caller.
        retry_after_s: Seconds after which the caller may come again; None if
            that would not help.
    """

    __slots__ = ("status", "message", "retry_after_s")

    def __init__(
        self, status: int, message: str, retry_after_s: float | None = None
    ) -> None:
        self.status = status
        self.message = message
        self.retry_after_s = retry_after_s


class ServerConnection:
    """One accepted connection and its HTTP parser.

    Args:
        sock: The accepted socket; the connection closes it.
        handler: Serves the requests of the connection.
        account: Counts what the connection holds.
        pacer: Spaces the parsing of bodies.

    Attributes:
        write_deadline_s: Deadline of writes, in seconds of `clock.boottime`.
    """

    def __init__(
        self,
        sock: green_socket.GreenSocket,
        handler: Handler,
        account: caller_accounts.CallerAccount,
        pacer: turn_pacer.TurnPacer,
    ) -> None:
        self._sock = sock
        self._handler = handler
        self._account = account
        request_limits = handler.get_request_limits()
        self._http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=request_limits.max_header_bytes,
        )
        self._reader = request_reader.RequestReader(
            sock, self._http, account, pacer
        )
        self.write_deadline_s = 0.0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served."""
        return self._reader.is_idle

    @property
    def method(self) -> bytes:
        """HTTP method of the current or last request; empty before it."""
        return self._reader.method

    def run(self) -> None:
        """Serves requests one after another until the connection ends."""
        try:
            while self._serve_request():
                self._http.start_next_cycle()
                if self._reader.has_unread_bytes:
                    # A caller that sends requests ahead waits for its turn.
                    eventlet.sleep(0)
        except (
            OSError,
            EOFError,
            disconnect_watcher.CallerDisconnectedError,
            h11.LocalProtocolError,
        ):
            # The caller has disconnected, or the response is invalid or cut
            # short. The handler logs the outcome of the request. eventlet
            # raises EOFError in a read that `abort` interrupts.
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Closes the socket.

        To a caller of HTTP/1.0 the orderly end of the connection is the end of
        a body without a length. One that was cut short is reset.
        """
        with contextlib.suppress(OSError):
            if (
                self._http.our_state is h11.SEND_BODY
                and self._http.their_http_version == b"1.0"
            ):
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, client.LINGER_RESET
                )
            self._sock.close()

    def abort(self) -> None:
        """Closes the socket at once; resets it if a request has no response.

        The caller of such a request could otherwise still send its body, and
        would take the orderly end of the connection for the response.
        """
        if self._http.our_state is h11.SEND_RESPONSE:
            with contextlib.suppress(OSError):
                self._sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, client.LINGER_RESET
                )
        self.close()

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
        if len(data) >= _LARGE_WRITE_BYTES:
            self.write_large(len(data), [data])
        elif data:
            self._write(data)

    def write_large(self, byte_count: int, parts: Iterable[bytes]) -> None:
        """Writes parts that count as held until they are written.

        Args:
            byte_count: Number of bytes of all parts.
            parts: The parts.

        Raises:
            CallerDisconnectedError: As for `write`.
        """
        self._account.start_write(byte_count)
        try:
            for part in parts:
                self._write(part)
        finally:
            self._account.end_write(byte_count)

    def _write(self, data: bytes) -> None:
        remaining_s = max(0.05, self.write_deadline_s - clock.boottime())
        try:
            self._sock.settimeout(remaining_s)
            self._sock.sendall(memoryview(data))
        except OSError as exc:
            raise disconnect_watcher.CallerDisconnectedError(str(exc)) from exc

    def _serve_request(self) -> bool:
        """Serves one request; returns whether the connection stays open."""
        request_limits = self._handler.get_request_limits()
        request = self._read_request(request_limits)
        if request is None:
            return False
        self.write_deadline_s = clock.boottime() + request_limits.idle_timeout_s
        response_writer = ResponseWriter(self)
        with disconnect_watcher.DisconnectWatcher(
            self._sock, self._reader.has_unread_bytes
        ):
            self._handler.handle(request, response_writer)
        is_response_sent = self._http.our_state is h11.DONE
        return (
            response_writer.has_ended
            and is_response_sent
            and self._http.their_state is h11.DONE
        )

    def _read_request(
        self, request_limits: limits.RequestLimits
    ) -> request_reader.Request | None:
        """Reads one request; rejects it if it is invalid or cannot be held.

        Returns:
            The request; None if there is none, and the connection must close.
        """
        self._account.start_waiting()
        try:
            request = self._receive_request(request_limits)
        except (
            h11.RemoteProtocolError,
            TimeoutError,
            intake_memory.IntakeFullError,
        ) as exc:
            # What has arrived must not stay in memory with the exception.
            traceback.clear_frames(exc.__traceback__)
            rejection = self._find_rejection(exc)
        else:
            if request is not None:
                self._account.stop_waiting()
                self._account.served_count += 1
            return request
        if rejection is not None:
            self._reject_request(rejection)
        return None

    def _find_rejection(self, exc: Exception) -> _Rejection | None:
        """Returns why a request is rejected; None if nobody waits for that."""
        if isinstance(exc, h11.RemoteProtocolError):
            return _Rejection(exc.error_status_hint, str(exc))
        if isinstance(exc, TimeoutError):
            message = "the request was not complete in time"
            return None if self.is_idle else _Rejection(408, message)
        if self._account.is_evicted:
            return None
        return _Rejection(503, str(exc), _RETRY_AFTER_S)

    def _receive_request(
        self, request_limits: limits.RequestLimits
    ) -> request_reader.Request | None:
        """Receives one request; returns None if the caller closes first.

        Raises:
            TimeoutError, OSError, intake_memory.IntakeFullError,
                h11.RemoteProtocolError: As for `RequestReader.read_body`.
        """
        request = self._reader.read_head(request_limits)
        if request is None:
            return None
        self._send_continue(request_limits)
        self._reader.read_body(
            request,
            request_limits,
            must_keep=self._handler.needs_body(request),
        )
        return request

    def _send_continue(self, request_limits: limits.RequestLimits) -> None:
        """Asks for the body of a request if its caller waits for that."""
        if not self._http.they_are_waiting_for_100_continue:
            return
        continue_response = h11.InformationalResponse(
            status_code=100, headers=[]
        )
        self.write_deadline_s = (
            clock.boottime() + request_limits.header_timeout_s
        )
        self.write(self.encode_event(continue_response))

    def _reject_request(self, rejection: _Rejection) -> None:
        """Rejects a request that was not passed on with an error response."""
        self._account.release()
        self.write_deadline_s = clock.boottime() + _REJECTION_TIMEOUT_S
        body = json.dumps({"error": rejection.message}).encode()
        headers = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", b"%d" % len(body)),
            (b"Connection", b"close"),
        ]
        if rejection.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % rejection.retry_after_s))
        try:
            data = self.encode_event(
                h11.Response(status_code=rejection.status, headers=headers)
            )
            data += self.encode_event(h11.Data(data=body))
            data += self.encode_event(h11.EndOfMessage())
        except h11.LocalProtocolError:
            return  # A response was started; it stays incomplete.
        # The parser keeps what has arrived; no request follows a rejected one.
        self._http = h11.Connection(h11.SERVER)
        self._reader.drop_input(self._http)
        self.write(data)
        self._discard_input()

    def _discard_input(self) -> None:
        """Reads and discards what the caller sends, for a limited time."""
        deadline_s = clock.boottime() + _REJECTION_TIMEOUT_S
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
            while (remaining_s := deadline_s - clock.boottime()) > 0:
                self._sock.settimeout(remaining_s)
                if not self._sock.recv(request_reader.RECV_BYTES):
                    return
                # A caller that never pauses must not occupy the loop.
                eventlet.sleep(0)


def _set_length(headers: client.Headers, length: int) -> client.Headers:
    """Returns headers with a Content-Length in place of any other."""
    return [
        *((k, v) for k, v in headers if k.lower() != b"content-length"),
        (b"Content-Length", b"%d" % length),
    ]


def encode_failure(failure: errors.Failure) -> bytes:
    """Returns a failure as the JSON body of an error response.

    The body has the fields `error` (kind of the failure) and `run` (whether the
    request ran).
    """
    fields = {"error": failure.kind.value, "run": failure.run_state.value}
    return json.dumps(fields).encode()
