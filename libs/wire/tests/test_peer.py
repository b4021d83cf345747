"""Guards against calls from processes without the key and endless waits."""

import socket
import time
import unittest

import eventlet

from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.wire import client
from dandelionlead.wire import server
from dandelionlead.wire.gen import ttypes

eventlet.monkey_patch()
_KEY = b"k" * 32


class _Handler:
    def dump(self):
        return "{}"

    def exchange(self, gossip):
        return gossip

    def get_parts(self, digests):
        return dict.fromkeys(digests, b"\x00\xff")

    def trace(self, request_id):
        eventlet.sleep(5)
        return []


class PeerTest(unittest.TestCase):
    def setUp(self):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.log = events.Log("test")
        peer_server = server.Server(self.listener, _KEY, _Handler(), self.log)
        self.thread = eventlet.spawn(peer_server.serve)

    def tearDown(self):
        self.thread.kill()
        self.listener.close()

    def test_messages_arrive_unchanged(self):
        pool = client.Pool(_KEY)
        gossip = ttypes.Gossip(
            sender="a",
            members=[ttypes.MemberState(name="b", incarnation=7)],
            head=ttypes.ConfigHead(version=3, parts={"zones": "abc"}),
        )
        self.assertEqual(pool.call(self.address, "exchange", gossip), gossip)
        parts = pool.call(self.address, "get_parts", ["x"])
        self.assertEqual(parts, {"x": b"\x00\xff"})

    def test_wrong_key_is_refused(self):
        result = client.connect(self.address, b"other")
        self.assertIsInstance(result, errors.Failure)
        self.assertEqual(self.log.latest(1)[0].line.count("peer_refused"), 1)

    def test_bytes_that_are_no_peer_are_dropped(self):
        for data in (b"GET / HTTP/1.1\r\n\r\n" * 8, b"\0" * 64):
            with self.subTest(data=data[:3]):
                conn = socket.create_connection(
                    self.listener.getsockname(), timeout=2
                )
                conn.recv(16)
                conn.sendall(data)
                try:
                    answer = conn.recv(64)
                except ConnectionResetError:
                    answer = b""
                self.assertEqual(answer, b"")
                conn.close()

    def test_call_that_is_not_answered_ends_in_time(self):
        pool = client.Pool(_KEY, timeout_s=0.3)
        started = time.monotonic()
        result = pool.call(self.address, "trace", "r")
        self.assertEqual(result.kind, errors.Kind.PEER_UNREACHABLE)
        self.assertLess(time.monotonic() - started, 1.0)

    def test_oversized_frame_is_refused(self):
        conn = client.connect(self.address, _KEY)
        conn.transport._conn.sendall(b"\xff\xff\xff\xff")
        with self.assertRaises(client.PeerError):
            conn.dump()


if __name__ == "__main__":
    unittest.main()
