"""Guards against torn, foreign or extra bytes that pass for an answer."""

from __future__ import annotations

import socket
import struct
import unittest

import eventlet
import eventlet.green.socket as green_socket

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.http import channel

_LIMIT_S = 2.0
_WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
_RESET = struct.pack("ii", 1, 0)


class _Endpoint:
    """Accepts one connection, answers with fixed bytes, then ends it."""

    def __init__(self, answer: bytes, *, end: str) -> None:
        self._answer = answer
        self._end = end
        self._sock = green_socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(1)
        self.address = self._sock.getsockname()
        self.conn = None
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        self.conn, _ = self._sock.accept()
        self.conn.recv(65_536)
        self.conn.sendall(self._answer)
        if self._end == "keep":
            return
        eventlet.sleep(0.05)
        if self._end == "reset":
            self.conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.conn.close()


def _ask(endpoint: _Endpoint) -> tuple[channel.Channel, object, object]:
    conn = channel.connect(endpoint.address, _LIMIT_S)
    headers = [(b"Host", b"endpoint")]
    conn.send(b"GET", b"/", headers, b"", _LIMIT_S)
    until_s = clock.boottime() + _LIMIT_S
    head = conn.read_head(until_s)
    if isinstance(head, errors.Failure):
        return conn, head, None
    return conn, head, conn.read_all(until_s, 1_000_000)


class TornTest(unittest.TestCase):
    """An answer that was cut must not pass for a whole one."""

    TABLE = (
        # name, bytes, how the connection ends, whether the answer is whole
        ("sized", _WHOLE, "keep", True),
        ("sized and cut", _WHOLE[:-2], "close", False),
        (
            "without length, closed",
            b"HTTP/1.1 200 OK\r\n\r\nwhole",
            "close",
            True,
        ),
        (
            "without length, reset",
            b"HTTP/1.1 200 OK\r\n\r\nwho",
            "reset",
            False,
        ),
        (
            "chunked without its last chunk",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nwhole\r\n",
            "close",
            False,
        ),
        (
            "no answer in the protocol",
            b"\x00\x01 garbage\r\n\r\n",
            "close",
            None,
        ),
        ("closed at once", b"", "close", None),
    )

    def test_table(self) -> None:
        for name, data, end, whole in self.TABLE:
            with self.subTest(name):
                conn, head, body = _ask(_Endpoint(data, end=end))
                if whole is None:
                    self.assertIsInstance(head, errors.Failure)
                    continue
                self.assertEqual(head.status, 200)
                self.assertEqual(isinstance(body, bytes), whole)
                conn.close()


class ReuseTest(unittest.TestCase):
    """A connection with bytes left over must not serve the next call."""

    def test_second_answer_after_the_first_ends_the_reuse(self) -> None:
        conn, _, body = _ask(_Endpoint(_WHOLE + _WHOLE, end="keep"))
        self.assertEqual(body, b"whole")
        self.assertFalse(conn.finish())

    def test_second_answer_that_comes_late_is_noticed(self) -> None:
        endpoint = _Endpoint(_WHOLE, end="keep")
        conn, _, _ = _ask(endpoint)
        self.assertTrue(conn.finish())
        self.assertTrue(conn.quiet())
        endpoint.conn.sendall(_WHOLE)
        eventlet.sleep(0.05)
        self.assertFalse(conn.quiet())

    def test_foreign_answer_is_passed_over(self) -> None:
        conn, head, _ = _ask(_Endpoint(_WHOLE, end="keep"))
        self.assertEqual(head.status, 200)
        conn = channel.connect(
            _Endpoint(
                _WHOLE + _WHOLE.replace(b"whole", b"later"), end="keep"
            ).address,
            _LIMIT_S,
        )
        conn.send(b"GET", b"/", [(b"Host", b"e")], b"", _LIMIT_S)
        until_s = clock.boottime() + _LIMIT_S
        conn.read_head(until_s)
        self.assertTrue(conn.skip_answer(b"GET", until_s))
        conn.read_head(until_s)
        self.assertEqual(conn.read_all(until_s, 1_000), b"later")


class LimitTest(unittest.TestCase):
    """A silent endpoint must not hold a call for ever."""

    def test_silence_ends_at_the_limit(self) -> None:
        endpoint = _Endpoint(b"", end="keep")
        conn = channel.connect(endpoint.address, _LIMIT_S)
        conn.send(b"GET", b"/", [(b"Host", b"e")], b"", _LIMIT_S)
        started_s = clock.boottime()
        head = conn.read_head(started_s + 0.2)
        self.assertEqual(head.kind, errors.Kind.ENDPOINT_SILENT)
        self.assertLess(clock.boottime() - started_s, 1.0)

    def test_no_listener_means_that_nothing_was_sent(self) -> None:
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        address = sock.getsockname()
        sock.close()
        failure = channel.connect(address, _LIMIT_S)
        self.assertEqual(failure.run, errors.Run.NOT_RUN)


if __name__ == "__main__":
    unittest.main()
