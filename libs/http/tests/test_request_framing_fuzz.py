"""Guards against readers that disagree on where a request ends.

Review case 6: what stood before the parser took the middle of a chunk for its
size line, so that a request could be smuggled out of a body. Pipelined requests
that are valid, or nearly so, are read whole and in pieces. There are two
oracles: the parser alone, and a strict reader of the grammar of RFC 9112.
"""

from __future__ import annotations

import re
import unittest

import h11
import hypothesis
from hypothesis import strategies

from dandelionlead.http import intake
from dandelionlead.http import limits
from dandelionlead.http import request_reader

_LIMITS = limits.RequestLimits(max_header_bytes=4_096, max_body_bytes=100_000)
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_REQUEST_LINE = re.compile(rb"(" + _TOKEN + rb") ([!-~]+) HTTP/1\.1\r\n")
_FIELD_LINE = re.compile(
    rb"(" + _TOKEN + rb"):[ \t]*([!-~](?:[ \t!-~]*[!-~])?)?[ \t]*\r\n"
)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:;[!-~]*)?\r\n")

# Bodies whose content looks like framing.
_CONTENTS = strategies.one_of(
    strategies.binary(max_size=30),
    strategies.sampled_from(
        (
            b"A\r\n0123456789\r\n",
            b"x\r\nA\r\n0123456789\r\n",
            b"x\r\n3\r\nabc\r\n0\r\n\r\n"
            b"POST /inner HTTP/1.1\r\nHost: a\r\n\r\n",
            b"0\r\n\r\n",
            b"0\r\n\r\nPOST /inner HTTP/1.1\r\nHost: a\r\n\r\n",
            b"POST /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab",
        )
    ),
)
_VALID_SIZE_LINES = (b"%x\r\n", b"%X\r\n", b"0%x\r\n", b"%x;ext=1\r\n")
_SIZE_LINES = (
    *_VALID_SIZE_LINES,
    b"%x \r\n",
    b"%x\n",
    b"+%x\r\n",
    b"-%x\r\n",
    b"0x%x\r\n",
    b"%xg\r\n",
)
_VALID_LAST_CHUNKS = (
    b"0\r\n\r\n",
    b"0\r\nTrailer: x\r\n\r\n",
    b"0;ext\r\n\r\n",
    b"00\r\n\r\n",
)
_LAST_CHUNKS = (
    *_VALID_LAST_CHUNKS,
    b"0\r\nContent-Length: 5\r\n\r\n",
    b"0\n\n",
    b"0\r\n",
    b"",
)
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
def _chunked_bodies(draw: strategies.DrawFn, *, is_valid: bool) -> bytes:
    """Draws a body in chunks."""
    size_lines = _VALID_SIZE_LINES if is_valid else _SIZE_LINES
    last_chunks = _VALID_LAST_CHUNKS if is_valid else _LAST_CHUNKS
    ends = (b"\r\n",) if is_valid else (b"\r\n",) * 9 + (b"\n", b"")
    body = b""
    for content in draw(strategies.lists(_CONTENTS, max_size=3)):
        if content:
            size_line = draw(strategies.sampled_from(size_lines)) % len(content)
            body += size_line + content + draw(strategies.sampled_from(ends))
    return body + draw(strategies.sampled_from(last_chunks))


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
        body = draw(_CONTENTS)
        values = (b"%d", b"0%d")
        if not is_valid:
            values += (b"+%d", b"%d,%d")
        value = draw(strategies.sampled_from(values))
        sizes = (len(body),) * value.count(b"%d")
        fields.append(b"Content-Length: " + value % sizes + b"\r\n")
    elif framing == "chunks":
        body = draw(_chunked_bodies(is_valid=is_valid))
        fields.append(b"Transfer-Encoding: chunked\r\n")
    return head + b"".join(fields) + b"\r\n" + body


@strategies.composite
def _cut(draw: strategies.DrawFn, requests: list[bytes]) -> list[bytes]:
    """Draws the pieces in which pipelined requests arrive."""
    data = b"".join(requests)
    line_ends = [match.end() for match in re.finditer(rb"\n", data)]
    cut = strategies.one_of(
        strategies.integers(0, len(data)), strategies.sampled_from(line_ends)
    )
    cuts = draw(strategies.lists(cut, max_size=4))
    borders = [0, *sorted(cuts), len(data)]
    return [data[i:j] for i, j in zip(borders, borders[1:], strict=False)]


_ALL_CONNECTIONS = strategies.lists(
    strategies.one_of(_requests(is_valid=True), _requests(is_valid=False)),
    min_size=1,
    max_size=4,
).flatmap(_cut)
_VALID_CHUNKED_CONNECTIONS = strategies.lists(
    _requests(is_valid=True, framings=("chunks",)), min_size=2, max_size=3
).flatmap(_cut)


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


class _PieceSocket:
    """Returns the bytes of a connection in pieces, and then its end."""

    def __init__(self, pieces: list[bytes]) -> None:
        self._pieces = [piece for piece in pieces if piece]

    def settimeout(self, timeout_s: float) -> None:
        """Does nothing."""

    def recv(self, size: int) -> bytes:
        """Returns the next piece, or a part of it."""
        if not self._pieces:
            return b""
        piece = self._pieces.pop(0)
        if len(piece) > size:
            self._pieces.insert(0, piece[size:])
        return piece[:size]


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
        _PieceSocket(pieces),
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


class _StrictReader:
    """Reads requests by the grammar of RFC 9112, and nothing beside it."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    def read_all(self) -> list[_Message]:
        """Returns the requests up to the first that is not strictly valid."""
        messages = []
        while (message := self._read_request()) is not None:
            messages.append(message)
        return messages

    def _match(self, pattern: re.Pattern[bytes]) -> re.Match[bytes] | None:
        match = pattern.match(self._data, self._position)
        if match:
            self._position = match.end()
        return match

    def _take(self, size: int) -> bytes | None:
        data = self._data[self._position : self._position + size]
        self._position += size
        return data if len(data) == size else None

    def _read_fields(self) -> list[tuple[bytes, bytes]] | None:
        fields = []
        while match := self._match(_FIELD_LINE):
            fields.append((match[1].lower(), match[2] or b""))
        return fields if self._take(2) == b"\r\n" else None

    def _read_request(self) -> _Message | None:
        line = self._match(_REQUEST_LINE)
        fields = self._read_fields() if line else None
        if fields is None:
            return None
        names = [name for name, _ in fields]
        if names.count(b"host") != 1:
            return None
        framing = [
            (name, value)
            for name, value in fields
            if name in (b"content-length", b"transfer-encoding")
        ]
        body = self._read_body(framing)
        return None if body is None else _Message(line[1], line[2], body)

    def _read_body(self, framing: list[tuple[bytes, bytes]]) -> bytes | None:
        if not framing:
            return b""
        name, value = framing[0]
        if len(framing) > 1:
            return None
        if name == b"content-length":
            return self._take(int(value)) if value.isdigit() else None
        return self._read_chunks() if value.lower() == b"chunked" else None

    def _read_chunks(self) -> bytes | None:
        body = b""
        while match := self._match(_CHUNK_LINE):
            size = int(match[1], 16)
            if not size:
                return None if self._read_fields() is None else body
            data = self._take(size)
            if data is None or self._take(2) != b"\r\n":
                return None
            body += data
        return None


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
