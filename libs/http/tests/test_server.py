"""Guards the HTTP server against request smuggling, overload and wasted work.

If two HTTP parsers find different ends of a request, a caller can hide a second
request in it. Requests that are too large or never end occupy memory and
connections.
"""

from __future__ import annotations

import gc
import re
import socket
import unittest

import eventlet
import eventlet.green.socket as green_socket
import h11

from dandelionlead.http import disconnect_watcher
from dandelionlead.http import limits
from dandelionlead.http import listener
from dandelionlead.http import request_reader
from dandelionlead.http import server

_HOST_HEADER = b"Host: a\r\n"


class _EchoHandler(server.Handler):
    """Sends the body of each request back.

    Attributes:
        handled_requests: Requests that reached the handler.
        handle_duration_s: Seconds before the response to each request.
        disconnect_count: Number of requests whose caller disconnected before
            the response.
    """

    def __init__(self) -> None:
        self.handled_requests: list[request_reader.Request] = []
        self.handle_duration_s = 0.0
        self.disconnect_count = 0

    def handle(
        self,
        request: request_reader.Request,
        response_writer: server.ResponseWriter,
    ) -> None:
        self.handled_requests.append(request)
        try:
            eventlet.sleep(self.handle_duration_s)
        except disconnect_watcher.CallerDisconnectedError:
            self.disconnect_count += 1
            raise
        response_writer.send_response(200, [], request.body)

    def get_request_limits(self) -> limits.RequestLimits:
        return limits.RequestLimits(1_024, 2_048, 0.3, 0.6)

    def is_closing(self) -> bool:
        return False


class _ListenerTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.handler = _EchoHandler()
        self.listener = listener.Listener(("127.0.0.1", 0), self.handler)
        eventlet.spawn_n(self.listener.serve_forever)
        self.address = self.listener.address

    def tearDown(self) -> None:
        self.listener.close()

    def connect_and_send(self, data: bytes) -> green_socket.GreenSocket:
        sock = green_socket.create_connection(self.address)
        sock.settimeout(3.0)
        sock.sendall(data)
        return sock

    def send_and_read_statuses(self, data: bytes) -> list[int]:
        """Sends bytes; returns the status of each response until the close."""
        sock = self.connect_and_send(data)
        received = b""
        while chunk := sock.recv(65_536):
            received += chunk
        return [
            int(status) for status in re.findall(rb"HTTP/1\.1 (\d+)", received)
        ]


class FramingTest(_ListenerTestCase):
    """Guards against smuggled requests and requests without limits.

    An invalid request must get an error response, and its bytes must never
    reach the handler as a request.
    """

    SMUGGLED_REQUEST = b"POST /x HTTP/1.1\r\n" + _HOST_HEADER + b"\r\n"
    # Name, bytes sent, and the expected status of each response.
    CASES = (
        (
            "Content-Length and Transfer-Encoding",
            b"POST / HTTP/1.1\r\n" + _HOST_HEADER + b"Content-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
            [400],
        ),
        (
            "two Content-Length headers",
            b"POST / HTTP/1.1\r\n" + _HOST_HEADER + b"Content-Length: 5\r\n"
            b"Content-Length: 6\r\n\r\nabcdef" + SMUGGLED_REQUEST,
            [400],
        ),
        (
            "an unknown transfer coding",
            b"POST / HTTP/1.1\r\n"
            + _HOST_HEADER
            + b"Transfer-Encoding: xchunked"
            b"\r\n\r\n" + SMUGGLED_REQUEST,
            [501],
        ),
        (
            "a Content-Length that is not a number",
            b"POST / HTTP/1.1\r\n"
            + _HOST_HEADER
            + b"Content-Length: +5\r\n\r\nabcde",
            [400],
        ),
        (
            "two Host headers",
            b"GET / HTTP/1.1\r\n" + _HOST_HEADER + _HOST_HEADER + b"\r\n",
            [400],
        ),
        ("no Host header", b"GET / HTTP/1.1\r\n\r\n", [400]),
        (
            "a head larger than the limit",
            b"GET / HTTP/1.1\r\n"
            + _HOST_HEADER
            + b"X: "
            + b"a" * 2_000
            + b"\r\n\r\n",
            [431],
        ),
        (
            "a body larger than the limit",
            b"POST / HTTP/1.1\r\n"
            + _HOST_HEADER
            + b"Content-Length: 3000\r\n\r\n"
            + b"a" * 3_000,
            [413],
        ),
        ("an incomplete head", b"GET / HTTP/1.1\r\nHo", [408]),
        (
            "an incomplete body",
            b"POST / HTTP/1.1\r\n"
            + _HOST_HEADER
            + b"Content-Length: 9\r\n\r\nab",
            [408],
        ),
        ("a connection without a request", b"", []),
    )

    def test_invalid_request_is_rejected_and_not_handled(self) -> None:
        for name, data, statuses in self.CASES:
            with self.subTest(name):
                self.assertEqual(self.send_and_read_statuses(data), statuses)
        self.assertEqual(self.handler.handled_requests, [])

    def test_pipelined_requests_are_served_in_order(self) -> None:
        first_request = (
            b"POST /1 HTTP/1.1\r\n"
            + _HOST_HEADER
            + b"Content-Length: 1\r\n\r\na"
        )
        second_request = (
            b"POST /2 HTTP/1.1\r\n"
            + _HOST_HEADER
            + b"Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"
        )
        self.assertEqual(
            self.send_and_read_statuses(first_request + second_request),
            [200, 200],
        )
        bodies = [request.body for request in self.handler.handled_requests]
        self.assertEqual(bodies, [b"a", b"b"])


class DisconnectTest(_ListenerTestCase):
    """Guards against work that continues after its caller has disconnected."""

    def test_handler_is_stopped_when_caller_disconnects(self) -> None:
        self.handler.handle_duration_s = 2.0
        sock = self.connect_and_send(
            b"GET / HTTP/1.1\r\n" + _HOST_HEADER + b"\r\n"
        )
        eventlet.sleep(0.1)
        sock.close()
        eventlet.sleep(0.1)
        self.assertEqual(self.handler.disconnect_count, 1)


class RejectionTest(_ListenerTestCase):
    """Guards against refused requests that stay in memory until the close."""

    def test_refused_request_is_dropped_before_the_caller_closes(self) -> None:
        # Bytes sent before the body and the status of the refusal.
        cases = (
            (b"Content-Length: 2000\r\n\r\n" + b"x" * 1_999, 408),
            (b"Content-Length: 3000\r\n\r\n" + b"x" * 2_999, 413),
            (
                b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\nnot a size\r\n",
                400,
            ),
        )
        for data, status in cases:
            with self.subTest(status=status):
                earlier = self.list_held()
                sock = self.connect_and_send(
                    b"POST / HTTP/1.1\r\n" + _HOST_HEADER + data
                )
                self.assertIn(b"%d" % status, sock.recv(65_536))
                self.assertEqual(self.list_held() - earlier, set())
                sock.close()

    def list_held(self) -> set[object]:
        """Returns the objects that hold what callers have sent."""
        return {
            item
            for item in gc.get_objects()
            if isinstance(item, request_reader.Request)
            or (isinstance(item, h11.Connection) and item.trailing_data[0])
        }


class SplitRequestTest(_ListenerTestCase):
    """Guards against a body that depends on how its request was split.

    The content of the chunks looks like sizes of chunks.
    """

    def test_body_is_the_same_wherever_the_request_is_split(self) -> None:
        chunks = (b"1\r\nx\r\n1\r\ny\r\n", b"3\r\n", b"0\r\n\r\n")
        body = b"".join(chunks)
        data = (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        head_end = len(data)
        data += b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks)
        data += b"0\r\n\r\n"
        for first in range(head_end - 5, len(data)):
            for second in (first + 4, first + 9):
                with self.subTest(first=first, second=second):
                    sock = green_socket.socket()
                    sock.settimeout(2.0)
                    sock.connect(self.listener.address)
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    for piece in (
                        data[:first],
                        data[first:second],
                        data[second:],
                    ):
                        sock.sendall(piece)
                        eventlet.sleep(0.001)
                    status = sock.recv(4_096)[9:12]
                    sock.close()
                    self.assertEqual(status, b"200")
                    self.assertEqual(
                        self.handler.handled_requests[-1].body, body
                    )


if __name__ == "__main__":
    unittest.main()
