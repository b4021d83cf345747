"""Guards against requests that arrive at the end of a stop and stay open."""

from __future__ import annotations

import time
import unittest

import eventlet
import eventlet.green.socket as green_socket

from dandelionlead.core import events
from dandelionlead.gateway import open_calls
from dandelionlead.gateway import serving
from dandelionlead.gateway import shutdown
from dandelionlead.http import limits
from dandelionlead.http import listener
from dandelionlead.http import request_reader
from dandelionlead.http import server

_TIMEOUT_S = 5.0
_PART_OF_REQUEST = (
    b"POST /order/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n"
)


class _RejectingHandler(server.Handler):
    """Rejects every request."""

    def handle(
        self,
        request: request_reader.Request,
        response_writer: server.ResponseWriter,
    ) -> None:
        response_writer.send_response(503, [], b"")

    def get_request_limits(self) -> limits.RequestLimits:
        return limits.RequestLimits()

    def is_closing(self) -> bool:
        return True


class UnfinishedRequestTest(unittest.TestCase):
    """Guards against a request that is read in part when its process ends.

    The connections stayed open while the interpreter exited, for about 0.1 s. A
    body that became whole in this time got no response, and the orderly end of
    its connection did not show that the process had not read it.
    """

    def test_connections_are_reset_when_run_returns(self) -> None:
        for sent in (_PART_OF_REQUEST, _PART_OF_REQUEST + b"12345678"):
            with self.subTest(sent=sent):
                http_listener = listener.Listener(
                    ("127.0.0.1", 0), _RejectingHandler()
                )
                eventlet.spawn_n(http_listener.serve_forever)
                sock = green_socket.create_connection(http_listener.address)
                self.addCleanup(sock.close)
                sock.sendall(sent)
                _wait_until_active(http_listener)
                log = events.Log("test")
                process_shutdown = shutdown.Shutdown(
                    serving.ServingState(),
                    open_calls.OpenCalls(log),
                    http_listener,
                    log,
                )
                process_shutdown.request(0.0)
                process_shutdown.run()
                # Blocks the loop, as the exit of the interpreter does.
                plain_sock = sock.fd
                plain_sock.setblocking(True)
                plain_sock.settimeout(_TIMEOUT_S)
                with self.assertRaises(ConnectionResetError):
                    plain_sock.recv(1)


def _wait_until_active(http_listener: listener.Listener) -> None:
    """Waits until a request has been read in part.

    Raises:
        TimeoutError: None was read within `_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + _TIMEOUT_S
    while not http_listener.count_active_connections():
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"no request was read within {_TIMEOUT_S} s")
        eventlet.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
