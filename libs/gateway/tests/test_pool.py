"""Guards against requests on connections that the endpoint has forgotten.

Fault: endpoints drop connections that rested for 300 ms, without a notice;
whatever is sent next is reset, and an order can then not be sent again.
"""

from __future__ import annotations

import time
import unittest
from unittest import mock

import eventlet
import eventlet.green.socket as green_socket

from dandelionlead.core import errors
from dandelionlead.gateway import pool
from dandelionlead.http import channel
from dandelionlead.routing import model


class PoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self._sock = green_socket.socket()
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(8)
        self.accepted = []
        eventlet.spawn_n(self._accept)
        host, port = self._sock.getsockname()
        self.endpoint = model.Endpoint("e", "s", host, port, "a")
        self.pool = pool.Pool(lambda _: 50)

    def _accept(self) -> None:
        while True:
            self.accepted.append(self._sock.accept())

    def _rested(self, seconds: float) -> channel.Channel:
        """Puts a connection into the pool that has rested."""
        conn = channel.connect(self.endpoint.address, 1.0)
        self.assertNotIsInstance(conn, errors.Failure)
        idle = self.pool._idle.setdefault("e", [])
        conn.idle_since_s = time.clock_gettime(time.CLOCK_BOOTTIME) - seconds
        idle.append(conn)
        return conn

    def test_table(self) -> None:
        # rested, must not be sent twice, whether the connection is used
        table = (
            (0.1, True, True),
            (0.4, True, False),
            (0.4, False, True),
            (3.5, False, False),
        )
        for rested_s, once, used in table:
            with self.subTest(rested_s=rested_s, once=once):
                self.pool = pool.Pool(lambda _: 50)
                conn = self._rested(rested_s)
                taken = self.pool.take(self.endpoint, 1.0, once=once)
                self.assertEqual(taken is conn, used)
                self.assertEqual(taken.rested_s > 0, used)

    def test_idle_ones_are_bounded_by_the_share_of_this_process(self) -> None:
        # share of this process, connections given back, kept
        table = ((50, 12, 8), (9, 12, 4), (1, 3, 1), (0, 3, 1))
        for share, given, kept in table:
            with self.subTest(share=share):
                self.pool = pool.Pool(lambda _, share=share: share)
                for _ in range(given):
                    conn = channel.connect(self.endpoint.address, 1.0)
                    with mock.patch.object(
                        channel.Channel, "finish", return_value=True
                    ):
                        self.pool.give_back(self.endpoint, conn)
                self.assertEqual(len(self.pool._idle["e"]), kept)

    def test_learns_how_long_connections_are_kept(self) -> None:
        self.pool.forgotten(self.endpoint, 0.4)
        conn = self._rested(0.3)
        self.assertIsNot(self.pool.take(self.endpoint, 1.0), conn)
        conn = self._rested(0.1)
        self.assertIs(self.pool.take(self.endpoint, 1.0), conn)
        self.pool.sweep(())
        conn = self._rested(0.3)
        self.assertIs(self.pool.take(self.endpoint, 1.0), conn)


if __name__ == "__main__":
    unittest.main()
