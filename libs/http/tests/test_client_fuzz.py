"""Guards against an incomplete response that is treated as complete.

Oracle: if the endpoint has sent the whole response, its body must be returned
unchanged; otherwise the request must fail.

The source of the function under `hypothesis.given` decides which examples are
drawn without DANDELION_FUZZ_SEED: renaming in it changes the examples.
"""

from __future__ import annotations

import socket
import struct
import unittest

import eventlet
import eventlet.green.socket as green_socket
import hypothesis
from hypothesis import strategies

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.http import client

_TIMEOUT_S = 2.0
_HEAD = b"HTTP/1.1 200 OK\r\n"
_LINGER_RESET = struct.pack("ii", 1, 0)


def _sized(body: bytes) -> bytes:
    """Returns a response whose body has a Content-Length."""
    return _HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def _chunked(body: bytes) -> bytes:
    """Returns a response whose body is split into chunks of 7 bytes."""
    chunks = b"".join(
        b"%x\r\n%s\r\n"
        % (len(body[start : start + 7]), body[start : start + 7])
        for start in range(0, len(body), 7)
    )
    return _HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


class _ScriptedEndpoint:
    """Sends the current parts on each connection, then closes or resets it.

    Attributes:
        parts: Bytes to send, each part with a write of its own.
        reset: Whether connections are reset instead of closed.
        address: IP address and port that the endpoint listens on.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []
        self.reset = False
        self._sock = green_socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(8)
        self.address = self._sock.getsockname()
        eventlet.spawn_n(self._serve)

    def _serve(self) -> None:
        while True:
            conn, _ = self._sock.accept()
            conn.recv(65_536)
            for part in self.parts:
                conn.sendall(part)
                eventlet.sleep(0)
            if self.reset:
                conn.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                )
            conn.close()


class IncompleteResponseFuzz(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.endpoint = _ScriptedEndpoint()

    @hypothesis.given(
        strategies.binary(max_size=60),
        strategies.sampled_from((_sized, _chunked)),
        strategies.floats(0.0, 1.0),
        strategies.integers(1, 30),
        strategies.booleans(),
    )
    def test_whole_or_failure(
        self,
        body: bytes,
        frame: object,
        part: float,
        step: int,
        reset: bool,
    ) -> None:
        sent = frame(body)
        size = int(len(sent) * part) if part < 0.7 else len(sent)
        self.endpoint.parts = [
            sent[at : min(size, at + step)] for at in range(0, size, step)
        ]
        self.endpoint.reset = reset and size < len(sent)
        got = self._ask()
        if size == len(sent):
            self.assertEqual(got, body)
        else:
            self.assertIsInstance(got, errors.Failure)

    def _ask(self) -> bytes | errors.Failure:
        """Sends a request; returns the body of the response, or the failure."""
        conn = client.connect(self.endpoint.address, _TIMEOUT_S)
        deadline_s = clock.boottime() + _TIMEOUT_S
        try:
            conn.send_request(b"GET", b"/", [(b"Host", b"e")], b"", _TIMEOUT_S)
            head = conn.read_head(deadline_s)
            if isinstance(head, errors.Failure):
                return head
            return conn.read_body(deadline_s, 1_000_000)
        finally:
            conn.close()


if __name__ == "__main__":
    unittest.main()
