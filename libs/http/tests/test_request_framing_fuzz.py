"""Guards against readers that disagree on where a request ends.

Review case 6: what stood before the parser took the middle of a chunk for its
size line, so that a request could be smuggled out of a body. Pipelined requests
that are valid, or nearly so, are read whole and in pieces. There are two
oracles: the parser alone, and a strict reader of the grammar of RFC 9112.
"""

from __future__ import annotations

import re
import unittest

import framing_messages
import h11
import hypothesis
from hypothesis import strategies

from dandelionlead.http import intake
from dandelionlead.http import limits
from dandelionlead.http import request_reader

_LIMITS = limits.RequestLimits(max_header_bytes=4_096, max_body_bytes=100_000)
_REQUEST_LINE = re.compile(rb"([A-Z]+) ([!-~]+) HTTP/1\.1\r\n")

_FIELDS = strategies.lists(
    strategies.sampled_from(
        (
            b"X-A: 1\r\n",
            b"X-B:2 \r\n",
            b"X-C:\r\n",
            b"X-D : 3\r\n",
            b"X-E: 4\r\n folded\r\n",
            b" X-F: 5\r\n",
            b"X-G: 6\n",
            b"Content-Length: 3\r\n",
            b"Content-Length : 3\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: identity\r\n",
            b"Transfer-Encoding: gzip, chunked\r\n",
            b"Host: b\r\n",
        )
    ),
    max_size=2,
)


@strategies.composite
def _requests(
    draw: strategies.DrawFn,
    *,
    is_valid: bool,
    framings: tuple[str, ...] = ("none", "length", "chunks"),
) -> bytes:
    """Draws one request."""
    number = draw(strategies.integers(0, 9))
    head = b"POST /r%d HTTP/1.1\r\nHost: a\r\n" % number
    fields = [] if is_valid else draw(_FIELDS)
    framing = draw(strategies.sampled_from(framings))
    body = b""
    if framing == "length":
        body = draw(framing_messages.CONTENTS)
        values = (b"%d", b"0%d")
        if not is_valid:
            values += (b"+%d", b"%d,%d")
        value = draw(strategies.sampled_from(values))
        sizes = (len(body),) * value.count(b"%d")
        fields.append(b"Content-Length: " + value % sizes + b"\r\n")
    elif framing == "chunks":
        body = draw(framing_messages.chunked_bodies(is_valid=is_valid))
        fields.append(b"Transfer-Encoding: chunked\r\n")
    return head + b"".join(fields) + b"\r\n" + body


_ALL_CONNECTIONS = strategies.lists(
    strategies.one_of(_requests(is_valid=True), _requests(is_valid=False)),
    min_size=1,
    max_size=4,
).flatmap(framing_messages.cut)
_VALID_CHUNKED_CONNECTIONS = strategies.lists(
    _requests(is_valid=True, framings=("chunks",)), min_size=2, max_size=3
).flatmap(framing_messages.cut)


class _Message:
    """What one reader has made of a request."""

    def __init__(self, method: bytes, target: bytes, body: bytes) -> None:
        self.method = method
        self.target = target
        self.body = body

    def __eq__(self, other: object) -> bool:
        return repr(self) == repr(other)

    def __repr__(self) -> str:
        return f"{self.method} {self.target} {self.body}"


def _answer(conn: h11.Connection) -> bool:
    """Answers a request; returns whether another one may follow."""
    conn.send(
        h11.Response(status_code=200, headers=[(b"Content-Length", b"0")])
    )
    conn.send(h11.EndOfMessage())
    if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
        return False
    conn.start_next_cycle()
    return True


def _read_by_product(pieces: list[bytes]) -> tuple[list[_Message], bool]:
    """Returns the requests, and whether all was accepted."""
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=4_096)
    callers = intake.Intake()
    reader = request_reader.RequestReader(
        framing_messages.PieceSocket(pieces),
        conn,
        callers.open_account("a", lambda: None),
        callers.pacer,
    )
    messages: list[_Message] = []
    try:
        while (request := reader.read_head(_LIMITS)) is not None:
            reader.read_body(request, _LIMITS, must_keep=True)
            messages.append(
                _Message(request.method, request.target, request.body)
            )
            if not _answer(conn):
                break
    except h11.RemoteProtocolError:
        return messages, False
    return messages, True


def _read_by_parser(data: bytes) -> list[_Message]:
    """Returns the whole requests that the parser alone finds."""
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=4_096)
    conn.receive_data(data)
    conn.receive_data(b"")
    messages: list[_Message] = []
    try:
        while isinstance(head := conn.next_event(), h11.Request):
            body = b""
            while isinstance(event := conn.next_event(), h11.Data):
                body += event.data
            if not isinstance(event, h11.EndOfMessage):
                break
            messages.append(
                _Message(bytes(head.method), bytes(head.target), body)
            )
            if not _answer(conn):
                break
    except h11.RemoteProtocolError:
        pass
    return messages


class _StrictReader(framing_messages.StrictReader):
    """Reads requests strictly."""

    def read_all(self) -> list[_Message]:
        """Returns the requests up to the first that is not strictly valid."""
        messages = []
        while (message := self._read_request()) is not None:
            messages.append(message)
        return messages

    def _read_request(self) -> _Message | None:
        line = self.match(_REQUEST_LINE)
        fields = self.read_fields() if line else None
        if fields is None:
            return None
        if [name for name, _ in fields].count(b"host") != 1:
            return None
        body = self.read_body(fields)
        return None if body is None else _Message(line[1], line[2], body)


class PipelinedChunksTest(unittest.TestCase):
    """Guards against a request that is smuggled out of a body (case 6).

    The second request is sent ahead behind a trailer; its body looks like
    chunks, and the connection is cut inside it.
    """

    FIRST = (
        b"POST /r1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\nTrailer: x\r\n\r\n"
    )
    CONTENT = (
        b"log\r\nA\r\n0123456789\r\n0\r\n\r\n"
        b"POST /inner HTTP/1.1\r\nHost: a\r\n\r\n"
    )
    SECOND = (
        b"POST /r2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"%x\r\n%b\r\n0\r\n\r\n" % (len(CONTENT), CONTENT)
    )

    def test_requests_are_the_same_wherever_they_are_cut(self) -> None:
        data = self.FIRST + self.SECOND
        expected = [
            _Message(b"POST", b"/r1", b"abc"),
            _Message(b"POST", b"/r2", self.CONTENT),
        ]
        for cut in range(len(data)):
            pieces = [data[:cut], data[cut:]]
            with self.subTest(cut=cut):
                self.assertEqual(_read_by_product(pieces), (expected, True))


class RequestFramingFuzz(unittest.TestCase):
    """Guards against a request that ends elsewhere than its caller meant."""

    @hypothesis.given(_ALL_CONNECTIONS)
    def test_all_readers_find_the_same_requests(
        self, pieces: list[bytes]
    ) -> None:
        self._check(pieces)

    @hypothesis.given(_VALID_CHUNKED_CONNECTIONS)
    def test_all_readers_find_the_same_chunked_requests(
        self, pieces: list[bytes]
    ) -> None:
        messages = self._check(pieces)
        self.assertEqual(messages, _StrictReader(b"".join(pieces)).read_all())

    def _check(self, pieces: list[bytes]) -> list[_Message]:
        """Compares all readers; returns what the product has read."""
        data = b"".join(pieces)
        messages, is_accepted = _read_by_product([data])
        self.assertEqual(_read_by_product(pieces), (messages, is_accepted))
        by_parser = _read_by_parser(data)
        self.assertEqual(messages, by_parser[: len(messages)])
        if is_accepted:
            self.assertEqual(messages, by_parser)
        strict = _StrictReader(data).read_all()
        shorter = min(len(strict), len(messages))
        self.assertEqual(messages[:shorter], strict[:shorter])
        self.assertGreaterEqual(len(messages), len(strict))
        return messages


if __name__ == "__main__":
    unittest.main()
