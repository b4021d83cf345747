"""Guards against a merger of chunks that changes a body or hides an error.

The oracle is the parser alone: with the merger before it, it must find the same
body, the same rest and the same errors, however the bytes are split.
"""

from __future__ import annotations

import unittest

import h11
import hypothesis
from hypothesis import strategies

from dandelionlead.http import chunk_merging

_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
_CHUNKS = strategies.lists(
    strategies.one_of(
        strategies.binary(min_size=1, max_size=40).map(
            lambda data: b"%x\r\n%b\r\n" % (len(data), data)
        ),
        strategies.sampled_from(
            (b"3;ext=1\r\nabc\r\n", b"0003\r\nabc\r\n", b"A\r\n0123456789\r\n")
        ),
    ),
    max_size=12,
)
_ENDS = strategies.sampled_from(
    (
        b"0\r\n\r\n",
        b"0\r\n\r\nGET / HTTP/1.1\r\n",
        b"0\r\nTrailer: x\r\n\r\n",
        b"0;ext\r\n\r\n",
        b"",
        b"2\r\nabc\r\n0\r\n\r\n",
        b"zz\r\n",
        b"-1\r\n\r\n",
        b"5\r\nab",
    )
)


def _parse(pieces: list[bytes], *, is_merging: bool) -> tuple[object, ...]:
    """Returns the body, how it ends, and the bytes that follow it."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(_HEAD)
    conn.next_event()
    merger = chunk_merging.ChunkMerger()
    body = b""
    rest = b""
    end = "open"
    for piece in pieces:
        if end == "complete":
            rest += piece
            continue
        data = merger.feed(piece) if is_merging else piece
        rest += merger.rest
        merger.rest = b""
        if data:
            conn.receive_data(data)
        try:
            while isinstance(event := conn.next_event(), h11.Data):
                body += event.data
        except h11.RemoteProtocolError:
            return body, "error", b""
        if isinstance(event, h11.EndOfMessage):
            end = "complete"
    return body, end, (conn.trailing_data[0] + rest) if end != "open" else b""


class ChunkMergerFuzzTest(unittest.TestCase):
    """Guards against different bodies with and without the merger."""

    @hypothesis.given(_CHUNKS, _ENDS, strategies.integers(1, 60))
    def test_parser_finds_the_same_body(
        self, chunks: list[bytes], end: bytes, piece_bytes: int
    ) -> None:
        data = b"".join(chunks) + end
        pieces = [
            data[start : start + piece_bytes]
            for start in range(0, len(data), piece_bytes)
        ]
        expected = _parse(pieces, is_merging=False)
        actual = _parse(pieces, is_merging=True)
        if expected[1] == "error":
            self.assertEqual(actual[1], "error")
        else:
            self.assertEqual(actual, expected)


class ChunkMergerTest(unittest.TestCase):
    """Guards against small chunks that reach the parser one by one."""

    def test_small_chunks_are_merged(self) -> None:
        merger = chunk_merging.ChunkMerger()
        merged = merger.feed(b"1\r\nx\r\n" * 1_000 + b"0\r\n\r\nrest")
        self.assertEqual(merged, b"3e8\r\n" + b"x" * 1_000 + b"\r\n0\r\n\r\n")
        self.assertEqual(merger.rest, b"rest")


if __name__ == "__main__":
    unittest.main()
