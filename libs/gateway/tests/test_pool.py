"""Guards against requests on connections that the endpoint has dropped.

Failure: some endpoints drop connections that were idle for 300 ms without
closing them. The next request on such a connection is reset, and a call that
must not be sent twice is lost.
"""

from __future__ import annotations

import time
import unittest
from unittest import mock

import eventlet
import eventlet.green.socket as green_socket

from dandelionlead.core import errors
from dandelionlead.gateway import connection_pool
from dandelionlead.http import client
from dandelionlead.routing import model


class PoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self._server_sock = green_socket.socket()
        self._server_sock.bind(("127.0.0.1", 0))
        self._server_sock.listen(8)
        self.accepted = []
        eventlet.spawn_n(self._accept)
        host, port = self._server_sock.getsockname()
        self.endpoint = model.Endpoint("e", "s", host, port, "a")
        self.pool = connection_pool.ConnectionPool(lambda _: 50)

    def _accept(self) -> None:
        while True:
            self.accepted.append(self._server_sock.accept())

    def _add_idle_conn(self, idle_s: float) -> client.ClientConnection:
        """Adds a connection to the pool that has been idle for `idle_s`."""
        conn = client.connect(self.endpoint.address, 1.0)
        self.assertNotIsInstance(conn, errors.Failure)
        idle_conns = self.pool._idle_conns.setdefault("e", [])
        conn.idle_since_s = time.clock_gettime(time.CLOCK_BOOTTIME) - idle_s
        idle_conns.append(conn)
        return conn

    def test_connection_is_reused_up_to_its_idle_limit(self) -> None:
        # Idle seconds, whether the request must be sent only once, whether the
        # connection is reused.
        cases = (
            (0.1, True, True),
            (0.4, True, False),
            (0.4, False, True),
            (3.5, False, False),
        )
        for idle_s, must_send_once, is_reused in cases:
            with self.subTest(idle_s=idle_s, must_send_once=must_send_once):
                self.pool = connection_pool.ConnectionPool(lambda _: 50)
                conn = self._add_idle_conn(idle_s)
                acquired = self.pool.acquire(
                    self.endpoint, 1.0, must_send_once=must_send_once
                )
                self.assertEqual(acquired is conn, is_reused)
                self.assertEqual(acquired.idle_before_request_s > 0, is_reused)

    def test_idle_connections_are_limited_by_the_share_of_this_process(
        self,
    ) -> None:
        # Share of this process, connections returned, connections kept.
        cases = ((50, 12, 8), (9, 12, 4), (1, 3, 1), (0, 3, 1))
        for share, returned_count, kept_count in cases:
            with self.subTest(share=share):
                self.pool = connection_pool.ConnectionPool(
                    lambda _, share=share: share
                )
                for _ in range(returned_count):
                    conn = client.connect(self.endpoint.address, 1.0)
                    with mock.patch.object(
                        client.ClientConnection,
                        "try_prepare_reuse",
                        return_value=True,
                    ):
                        self.pool.release(self.endpoint, conn)
                self.assertEqual(len(self.pool._idle_conns["e"]), kept_count)

    def test_connection_without_a_request_may_be_put_back(self) -> None:
        conn = self.pool.acquire(self.endpoint, 1.0, must_be_new=True)
        self.pool.put_back(self.endpoint, conn)
        self.assertIs(
            self.pool.acquire(self.endpoint, 1.0, must_send_once=True), conn
        )

    def test_dropped_connection_lowers_the_idle_limit(self) -> None:
        self.pool.lower_idle_limit(self.endpoint, 0.4)
        conn = self._add_idle_conn(0.3)
        self.assertIsNot(self.pool.acquire(self.endpoint, 1.0), conn)
        conn = self._add_idle_conn(0.1)
        self.assertIs(self.pool.acquire(self.endpoint, 1.0), conn)
        self.pool.close_unusable(())
        conn = self._add_idle_conn(0.3)
        self.assertIs(self.pool.acquire(self.endpoint, 1.0), conn)


if __name__ == "__main__":
    unittest.main()
