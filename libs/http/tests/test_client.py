"""Guards the HTTP client against returning a wrong response to a request.

The received bytes may be an incomplete response, the response to another
request, or surplus bytes after a response.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import time
import unittest

import eventlet
import eventlet.green.socket as green_socket
import eventlet.patcher

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.http import client
from dandelionlead.http import intake

_socket = eventlet.patcher.original("socket")
_threading = eventlet.patcher.original("threading")
_TIMEOUT_S = 2.0
_COMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
_LINGER_RESET = struct.pack("ii", 1, 0)


class _ScriptedEndpoint:
    """Accepts one connection, sends fixed bytes and then ends the connection.

    Args:
        response: Bytes to send.
        ending: How the connection ends: `keep` (stays open), `close` or
            `reset`.

    Attributes:
        address: IP address and port that the endpoint listens on.
        conn: The accepted connection, or None.
    """

    def __init__(self, response: bytes, *, ending: str) -> None:
        self._response = response
        self._ending = ending
        self._sock = green_socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(1)
        self.address = self._sock.getsockname()
        self.conn = None
        eventlet.spawn_n(self._serve)

    def _serve(self) -> None:
        self.conn, _ = self._sock.accept()
        self.conn.recv(65_536)
        self.conn.sendall(self._response)
        if self._ending == "keep":
            return
        eventlet.sleep(0.05)
        if self._ending == "reset":
            self.conn.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
            )
        self.conn.close()


def _request(
    endpoint: _ScriptedEndpoint,
) -> tuple[client.ClientConnection, object, object]:
    """Sends a request; returns the connection, and the head and the body.

    The head or the body is a failure if it could not be read; the body is None
    if the head is a failure.
    """
    conn = client.connect(endpoint.address, _TIMEOUT_S)
    headers = [(b"Host", b"endpoint")]
    conn.send_request(b"GET", b"/", headers, b"", _TIMEOUT_S)
    deadline_s = clock.boottime() + _TIMEOUT_S
    head = conn.read_head(deadline_s)
    if isinstance(head, errors.Failure):
        return conn, head, None
    return conn, head, conn.read_body(deadline_s, 1_000_000)


class _EndlessEndpoint:
    """Sends a head and then the same bytes until the client closes.

    It sends from a thread, so that the client always finds bytes to read.

    Attributes:
        address: IP address and port that the endpoint listens on.
        sent_byte_count: Number of bytes that were sent.
        has_ended: Whether the client has closed the connection.
    """

    def __init__(self, head: bytes, repeated: bytes) -> None:
        self._head = head
        self._repeated = repeated * (65_536 // len(repeated) + 1)
        self._sock = _socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(1)
        self.address = self._sock.getsockname()
        self.sent_byte_count = 0
        self.has_ended = False
        self._thread = _threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def _serve(self) -> None:
        conn, _ = self._sock.accept()
        conn.recv(65_536)
        with contextlib.suppress(OSError):
            conn.sendall(self._head)
            while True:
                self.sent_byte_count += conn.send(self._repeated)
        conn.close()
        self.has_ended = True

    def close(self) -> None:
        self._sock.close()
        self._thread.join(2.0)


class EndlessResponseTest(unittest.TestCase):
    """Guards against bytes without end, which are no response.

    They must be cut off early, and other requests of the process must be served
    while they arrive.
    """

    MAX_BYTES = 16_777_216
    # A stream of tokens may pause for 180 ms.
    MAX_PAUSE_S = 0.15

    CASES = (
        ("head", b"HTTP/1.1 200 OK\r\n", b"x"),
        ("headers", b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
        ("interim responses", b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        ("body", b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
        (
            "chunks",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n",
        ),
        (
            "chunk size",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"0",
        ),
    )

    def test_endless_bytes_are_cut_off_and_do_not_block_the_loop(self) -> None:
        for name, head, repeated in self.CASES:
            with self.subTest(name):
                endpoint = _EndlessEndpoint(head, repeated)
                pauses_s = [0.0]
                ticker = eventlet.spawn(self._measure_pauses, pauses_s)
                started_s = clock.boottime()
                conn, read_head, body = _request(endpoint)
                took_s = clock.boottime() - started_s
                conn.close()
                ticker.kill()
                endpoint.close()
                last = read_head if body is None else body
                self.assertIsInstance(last, errors.Failure)
                self.assertIs(last.kind, errors.Kind.ENDPOINT_FAILED)
                self.assertLess(took_s, _TIMEOUT_S)
                self.assertTrue(endpoint.has_ended)
                self.assertLess(endpoint.sent_byte_count, self.MAX_BYTES)
                self.assertLess(max(pauses_s), self.MAX_PAUSE_S)

    def _measure_pauses(self, pauses_s: list[float]) -> None:
        while True:
            started_s = clock.boottime()
            eventlet.sleep(0.005)
            pauses_s.append(clock.boottime() - started_s)


class IncompleteResponseTest(unittest.TestCase):
    """Guards against an incomplete response that is treated as complete.

    A body without a length is complete if the endpoint closes the connection,
    and incomplete if the endpoint resets the connection.
    """

    CASES = (
        # Name, bytes sent, how the connection ends, and whether the body is
        # complete; None if there is no valid head.
        ("sized", _COMPLETE_RESPONSE, "keep", True),
        ("sized, cut off", _COMPLETE_RESPONSE[:-2], "close", False),
        (
            "without a length, closed",
            b"HTTP/1.1 200 OK\r\n\r\nwhole",
            "close",
            True,
        ),
        (
            "without a length, reset",
            b"HTTP/1.1 200 OK\r\n\r\nwho",
            "reset",
            False,
        ),
        (
            "chunked, without the last chunk",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nwhole\r\n",
            "close",
            False,
        ),
        (
            "bytes that are not HTTP",
            b"\x00\x01 garbage\r\n\r\n",
            "close",
            None,
        ),
        ("closed without a response", b"", "close", None),
    )

    def test_incomplete_response_is_a_failure(self) -> None:
        for name, data, ending, is_complete in self.CASES:
            with self.subTest(name):
                conn, head, body = _request(
                    _ScriptedEndpoint(data, ending=ending)
                )
                if is_complete is None:
                    self.assertIsInstance(head, errors.Failure)
                    continue
                self.assertEqual(head.status, 200)
                self.assertEqual(isinstance(body, bytes), is_complete)
                conn.close()


class _HeldLink:
    """Takes one connection; passes on what it holds when the cut heals.

    Attributes:
        address: IP address and port that the link listens on.
    """

    def __init__(self) -> None:
        self._sock = green_socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(1)
        self.address = self._sock.getsockname()

    def accept(self, response: bytes) -> None:
        """Accepts the connection and sends the start of a response."""
        self._conn, _ = self._sock.accept()
        self._conn.sendall(response)

    def heal(self) -> bytes | None:
        """Returns what the endpoint gets; None if it was reset meanwhile."""
        held = b""
        try:
            while part := client.receive_bytes(self._conn, 65_536, _TIMEOUT_S):
                held += part
        except ConnectionResetError:
            return None
        return held


class AbandonedRequestTest(unittest.TestCase):
    """Guards against requests that arrive long after they were given up.

    A cut held a request back; when it healed, the request reached a worker that
    had said seconds before that it leaves (DRAIN).
    """

    # What of the response has arrived when the connection is closed, and
    # whether the request still arrives.
    CASES = (
        (b"", False),
        (b"HTTP/1.1 100 Continue\r\n\r\n", False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", True),
        (_COMPLETE_RESPONSE, True),
    )

    def test_request_without_a_response_is_lost_with_its_connection(
        self,
    ) -> None:
        for response, arrives in self.CASES:
            with self.subTest(response=response):
                link = _HeldLink()
                conn = client.connect(link.address, _TIMEOUT_S)
                conn.send_request(
                    b"POST", b"/x", [(b"Host", b"a")], b"", _TIMEOUT_S
                )
                link.accept(response)
                head = conn.read_head(clock.boottime() + 0.1)
                self.assertEqual(isinstance(head, errors.Failure), not arrives)
                conn.close()
                self.assertEqual(link.heal() is not None, arrives)

    def test_connection_without_a_request_ends_in_order(self) -> None:
        link = _HeldLink()
        conn = client.connect(link.address, _TIMEOUT_S)
        link.accept(b"")
        conn.close()
        self.assertEqual(link.heal(), b"")


class StatusTest(unittest.TestCase):
    """Guards against a status outside the protocol that passes as an answer.

    All responses are read here: of endpoints, first ones and those of resumed
    streams, of the store and to control requests.
    """

    def test_only_statuses_of_the_protocol_are_answers(self) -> None:
        faulty = ("000", "001", "099", "199", "600", "999", "20", "+20", "2000")
        for status in (*faulty, "200", "404", "599"):
            with self.subTest(status):
                endpoint = _ScriptedEndpoint(
                    b"HTTP/1.1 %b X\r\nContent-Length: 5\r\n\r\nwhole"
                    % status.encode(),
                    ending="close",
                )
                conn, head, _ = _request(endpoint)
                conn.close()
                is_failure = isinstance(head, errors.Failure)
                self.assertEqual(is_failure, status in faulty)
                if is_failure:
                    self.assertIs(head.kind, errors.Kind.ENDPOINT_FAILED)


class ReuseTest(unittest.TestCase):
    """Guards against a response that reaches the caller of another request."""

    def test_surplus_response_prevents_reuse(self) -> None:
        conn, _, body = _request(
            _ScriptedEndpoint(
                _COMPLETE_RESPONSE + _COMPLETE_RESPONSE, ending="keep"
            )
        )
        self.assertEqual(body, b"whole")
        self.assertFalse(conn.try_prepare_reuse())

    def test_surplus_response_while_idle_is_detected(self) -> None:
        endpoint = _ScriptedEndpoint(_COMPLETE_RESPONSE, ending="keep")
        conn, _, _ = _request(endpoint)
        self.assertTrue(conn.try_prepare_reuse())
        self.assertTrue(conn.is_open_without_unread_data())
        endpoint.conn.sendall(_COMPLETE_RESPONSE)
        eventlet.sleep(0.05)
        self.assertFalse(conn.is_open_without_unread_data())

    def test_response_to_earlier_request_is_skipped(self) -> None:
        conn, head, _ = _request(
            _ScriptedEndpoint(_COMPLETE_RESPONSE, ending="keep")
        )
        self.assertEqual(head.status, 200)
        conn = client.connect(
            _ScriptedEndpoint(
                _COMPLETE_RESPONSE
                + _COMPLETE_RESPONSE.replace(b"whole", b"later"),
                ending="keep",
            ).address,
            _TIMEOUT_S,
        )
        conn.send_request(b"GET", b"/", [(b"Host", b"e")], b"", _TIMEOUT_S)
        deadline_s = clock.boottime() + _TIMEOUT_S
        conn.read_head(deadline_s)
        self.assertTrue(conn.skip_response(b"GET", deadline_s))
        conn.read_head(deadline_s)
        self.assertEqual(conn.read_body(deadline_s, 1_000), b"later")


class SharedMemoryTest(unittest.TestCase):
    """Guards against bodies that are limited one by one, but not together."""

    BODY = b"x" * 200_000
    LIMITS = client.ExchangeLimits(_TIMEOUT_S, 1_000_000)

    # How the body of a response is read.
    READS = (
        lambda conn, deadline_s: conn.receive_body(deadline_s, 1_000_000),
        lambda conn, deadline_s: conn.read_body(deadline_s, 1_000_000),
        lambda conn, deadline_s: conn.skip_response(b"GET", deadline_s),
    )

    def _connect(
        self, memory: intake.Intake, sent_bytes: int = len(BODY)
    ) -> client.ClientConnection:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        # Its connection lives as long as the endpoint.
        self.endpoint = _ScriptedEndpoint(
            head % len(self.BODY) + self.BODY[:sent_bytes], ending="keep"
        )
        return client.connect(self.endpoint.address, _TIMEOUT_S, memory)

    def test_each_way_to_read_a_body_takes_room_and_returns_it(self) -> None:
        # Memory of the process, and whether a quarter of it bears the body.
        for memory_bytes, is_read in ((1_000_000, True), (400_000, False)):
            for read in self.READS:
                memory = intake.Intake(memory_bytes)
                conn = self._connect(memory)
                conn.send_request(
                    b"GET", b"/", [(b"Host", b"e")], b"", _TIMEOUT_S
                )
                deadline_s = clock.boottime() + _TIMEOUT_S
                conn.read_head(deadline_s)
                result = read(conn, deadline_s)
                has_failed = isinstance(result, errors.Failure) or not result
                self.assertEqual(has_failed, not is_read)
                self.assertEqual(memory.held_bytes, 0)
            memory = intake.Intake(memory_bytes)
            result = self._connect(memory).request(
                b"GET", b"/", [(b"Host", b"e")], b"", self.LIMITS
            )
            self.assertEqual(isinstance(result, errors.Failure), not is_read)
            self.assertEqual(memory.held_bytes, 0)

    def test_body_that_must_make_room_ends_at_once(self) -> None:
        memory = intake.Intake(1_000_000)
        conn = self._connect(memory, 150_000)
        conn.send_request(b"GET", b"/", [(b"Host", b"e")], b"", _TIMEOUT_S)
        started_s = clock.boottime()
        conn.read_head(started_s + _TIMEOUT_S)
        body = eventlet.spawn(
            conn.receive_body, started_s + _TIMEOUT_S, 1_000_000
        )
        eventlet.sleep(0.2)
        self.assertEqual(memory.held_bytes, 150_000)
        memory.open_response(lambda: None).hold(140_000)
        self.assertEqual(memory.held_bytes, 140_000)
        self.assertIsInstance(body.wait(), errors.Failure)
        self.assertLess(clock.boottime() - started_s, 1.0)


class TimeoutTest(unittest.TestCase):
    """Guards against an endpoint that blocks a request without a time limit."""

    def test_silent_endpoint_fails_at_the_deadline(self) -> None:
        endpoint = _ScriptedEndpoint(b"", ending="keep")
        conn = client.connect(endpoint.address, _TIMEOUT_S)
        conn.send_request(b"GET", b"/", [(b"Host", b"e")], b"", _TIMEOUT_S)
        started_s = clock.boottime()
        head = conn.read_head(started_s + 0.2)
        self.assertEqual(head.kind, errors.Kind.ENDPOINT_SILENT)
        self.assertLess(clock.boottime() - started_s, 1.0)

    def test_connection_that_opened_while_the_loop_was_blocked_is_used(
        self,
    ) -> None:
        """Guards against a sound endpoint that counts as unreachable.

        Timers run before sockets are looked at if the event loop was blocked
        while it handled a socket.
        """
        listener = _socket.socket()
        self.addCleanup(listener.close)
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        listener.settimeout(10.0)
        # While the queue of the listener is full, no connection opens.
        with _socket.create_connection(listener.getsockname()):
            sock, peer_sock = green_socket.socketpair()
            self.addCleanup(sock.close)
            self.addCleanup(peer_sock.close)
            timeout_s = 1.5
            deadline_s = clock.boottime() + timeout_s

            def block_loop() -> None:
                sock.recv(1)
                for _ in range(2):
                    accepted, _ = listener.accept()
                    self.addCleanup(accepted.close)
                time.sleep(max(0.0, deadline_s + 0.3 - clock.boottime()))

            eventlet.spawn_n(block_loop)
            eventlet.spawn_after(0.1, peer_sock.send, b"x")
            conn = client.connect(listener.getsockname(), timeout_s)
        self.assertGreater(clock.boottime(), deadline_s)
        self.assertIsInstance(conn, client.ClientConnection)
        conn.close()

    def test_refused_connection_counts_as_not_run(self) -> None:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        address = sock.getsockname()
        sock.close()
        failure = client.connect(address, _TIMEOUT_S)
        self.assertEqual(failure.run_state, errors.RunState.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
