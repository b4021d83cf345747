"""Guards against a lost or refused call that is reported as something else.

A wrong mapping would run an order twice (`Unavailable` for a write that took
effect) or refuse one for ever.
"""

import contextlib
import hashlib
import json
import socket
import threading
import unittest
from unittest import mock

from dandelionlead.core import errors
from dandelionlead.platform import api
from dandelionlead.platform import http

_KEY = api.Key("t", "k")
_OPS = [api.Write(_KEY, 0, {"a": 1})]
_TIMEOUT_S = 0.3


class _Server:
    """Answers each connection with one prepared action."""

    def __init__(self, actions):
        self.received = []
        self._actions = actions
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self._open = []
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self):
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        self._thread.join()
        for conn in self._open:
            conn.close()

    def _serve(self):
        for action in self._actions:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            self._open.append(conn)
            self.received.append(conn.recv(65536))
            action(conn)


def _answer(status, body, headers=()):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    return lambda conn: conn.sendall(data)


def _truncated(conn):
    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{")
    conn.shutdown(socket.SHUT_RDWR)


def _hang_up(conn):
    conn.shutdown(socket.SHUT_RDWR)


def _silent(conn):
    pass


@contextlib.contextmanager
def _serving(*actions):
    server = _Server(actions)
    transport = http.Transport(server.address, timeout_s=_TIMEOUT_S)
    try:
        yield server, transport
    finally:
        transport.close()
        server.close()


class TransactTest(unittest.TestCase):
    def test_responses_and_outcomes(self):
        cases = [
            ("commit", _answer(200, {"versions": [1]}), api.Committed),
            ("conflict", _answer(409, {"failed": [0]}), api.Conflict),
            ("outage", _answer(503, {}), api.Unavailable),
            ("refused", _answer(400, {}), api.Unavailable),
            ("error", _answer(500, {}), api.OutcomeUnknown),
            ("gateway", _answer(504, {}), api.OutcomeUnknown),
            ("no JSON", _answer(200, b"x"), api.OutcomeUnknown),
            ("no object", _answer(200, [1]), api.OutcomeUnknown),
            ("count", _answer(200, {"versions": []}), api.OutcomeUnknown),
            ("index", _answer(409, {"failed": [1]}), api.OutcomeUnknown),
            ("no index", _answer(409, {"failed": []}), api.OutcomeUnknown),
            ("truncated", _truncated, api.OutcomeUnknown),
            ("hung up", _hang_up, api.OutcomeUnknown),
            ("silent", _silent, api.OutcomeUnknown),
        ]
        for name, action, outcome_type in cases:
            with self.subTest(name), _serving(action) as (server, transport):
                outcome = http.HttpTable(transport).transact(_OPS)
                self.assertIsInstance(outcome, outcome_type)
                self.assertEqual(len(server.received), 1)

    def test_refused_connection_is_unavailable(self):
        with _serving(_silent) as (server, _):
            address = server.address
        table = http.HttpTable(http.Transport(address, timeout_s=_TIMEOUT_S))
        self.assertIsInstance(table.transact(_OPS), api.Unavailable)
        self.assertIsInstance(table.read([_KEY]), errors.Failure)

    def test_connection_lost_while_idle_is_not_used_again(self):
        close = _answer(200, {"versions": [1]})
        hung_up = threading.Event()

        def answer_and_hang_up(conn):
            close(conn)
            conn.shutdown(socket.SHUT_RDWR)
            hung_up.set()

        with _serving(answer_and_hang_up, close) as (server, transport):
            table = http.HttpTable(transport)
            self.assertIsInstance(table.transact(_OPS), api.Committed)
            # A call sent before the end of the connection arrives is lost.
            self.assertTrue(hung_up.wait(5))
            self.assertIsInstance(table.transact(_OPS), api.Committed)
            self.assertEqual(len(server.received), 2)

    def test_connection_idle_for_too_long_is_replaced(self):
        commit = _answer(200, {"versions": [1]})
        with _serving(commit, commit) as (server, transport):
            table = http.HttpTable(transport)
            table.transact(_OPS)
            with mock.patch.object(http, "IDLE_LIMIT_S", -1.0):
                outcome = table.transact(_OPS)
            # The second answer comes only over a second connection.
            self.assertIsInstance(outcome, api.Committed)


class ReadsTest(unittest.TestCase):
    def test_rows(self):
        body = {"rows": [{"version": 3, "value": {"a": 1}}, None]}
        with _serving(_answer(200, body)) as (_, transport):
            rows = http.HttpTable(transport).read([_KEY, _KEY])
        self.assertEqual((rows[0].version, rows[0].value), (3, {"a": 1}))
        self.assertIsNone(rows[1])

    def test_bad_answers_fail(self):
        digest = hashlib.sha256(b"data").hexdigest()
        cases = [
            ("rows", _answer(200, {"rows": []}), lambda t: _read(t)),
            ("row", _answer(200, {"rows": [{}]}), lambda t: _read(t)),
            ("read outage", _answer(503, {}), lambda t: _read(t)),
            ("other data", _answer(200, b"x"), lambda t: _get(t, digest)),
            ("absent", _answer(404, {}), lambda t: _get(t, digest)),
            ("put lost", _hang_up, lambda t: http.HttpObjects(t).put(b"d")),
            ("list", _answer(200, {"instances": [{}]}), _list),
            ("list outage", _answer(503, {}), _list),
            ("weights cut", _truncated, _weigh),
            ("weights silent", _silent, _weigh),
        ]
        for name, action, call in cases:
            with self.subTest(name), _serving(action) as (_, transport):
                failure = call(transport)
                self.assertIsInstance(failure, errors.Failure)
                kind = errors.Kind.PLATFORM_UNAVAILABLE
                self.assertEqual(failure.kind, kind)

    def test_malformed_digest_is_not_sent(self):
        transport = http.Transport("127.0.0.1:1")
        failure = _get(transport, "../counts")
        self.assertEqual(failure.kind, errors.Kind.BAD_REQUEST)

    def test_rate_limit_carries_the_wait(self):
        action = _answer(429, {}, ["Retry-After: 7"])
        with _serving(action) as (_, transport):
            failure = _weigh(transport)
        self.assertEqual(failure.kind, errors.Kind.OVERLOADED)
        self.assertEqual(failure.retry_after_s, 7.0)

    def test_weights_are_counted(self):
        with _serving(_answer(200, b"x" * 1000)) as (_, transport):
            self.assertEqual(_weigh(transport), 1000)


def _read(transport):
    return http.HttpTable(transport).read([_KEY])


def _get(transport, digest):
    return http.HttpObjects(transport).get(digest)


def _list(transport):
    return http.HttpInstances(transport).fetch()


def _weigh(transport):
    return http.HttpWeights(transport).fetch("m")


if __name__ == "__main__":
    unittest.main()
