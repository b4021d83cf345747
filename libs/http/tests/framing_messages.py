"""Draws bytes of HTTP messages, and reads them by the grammar of RFC 9112."""

from __future__ import annotations

import re

from hypothesis import strategies

_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_FIELD_LINE = re.compile(
    rb"(" + _TOKEN + rb"):[ \t]*([!-~](?:[ \t!-~]*[!-~])?)?[ \t]*\r\n"
)
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})(?:;[!-~]*)?\r\n")

# Bodies whose content looks like framing.
CONTENTS = strategies.one_of(
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


@strategies.composite
def chunked_bodies(draw: strategies.DrawFn, *, is_valid: bool) -> bytes:
    """Draws a body in chunks."""
    size_lines = _VALID_SIZE_LINES if is_valid else _SIZE_LINES
    last_chunks = _VALID_LAST_CHUNKS if is_valid else _LAST_CHUNKS
    ends = (b"\r\n",) if is_valid else (b"\r\n",) * 9 + (b"\n", b"")
    body = b""
    for content in draw(strategies.lists(CONTENTS, max_size=3)):
        if content:
            size_line = draw(strategies.sampled_from(size_lines)) % len(content)
            body += size_line + content + draw(strategies.sampled_from(ends))
    return body + draw(strategies.sampled_from(last_chunks))


@strategies.composite
def cut(draw: strategies.DrawFn, messages: list[bytes]) -> list[bytes]:
    """Draws the pieces in which messages arrive."""
    data = b"".join(messages)
    line_ends = [match.end() for match in re.finditer(rb"\n", data)]
    cut = strategies.one_of(
        strategies.integers(0, len(data)), strategies.sampled_from(line_ends)
    )
    cuts = draw(strategies.lists(cut, max_size=4))
    borders = [0, *sorted(cuts), len(data)]
    return [data[i:j] for i, j in zip(borders, borders[1:], strict=False)]


class PieceSocket:
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


class StrictReader:
    """Reads messages by the grammar of RFC 9112, and nothing beside it."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._position = 0

    def match(self, pattern: re.Pattern[bytes]) -> re.Match[bytes] | None:
        """Matches and takes the next bytes."""
        match = pattern.match(self._data, self._position)
        if match:
            self._position = match.end()
        return match

    def take_rest(self) -> bytes:
        """Returns all bytes that are left."""
        rest = self._data[self._position :]
        self._position = len(self._data)
        return rest

    def _take(self, size: int) -> bytes | None:
        data = self._data[self._position : self._position + size]
        self._position += size
        return data if len(data) == size else None

    def read_fields(self) -> list[tuple[bytes, bytes]] | None:
        """Returns the fields of a head or a trailer; None if invalid."""
        fields = []
        while match := self.match(_FIELD_LINE):
            fields.append((match[1].lower(), match[2] or b""))
        return fields if self._take(2) == b"\r\n" else None

    def read_body(self, fields: list[tuple[bytes, bytes]]) -> bytes | None:
        """Returns the body of a message with these fields; None if invalid."""
        framing = [
            (name, value)
            for name, value in fields
            if name in (b"content-length", b"transfer-encoding")
        ]
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
        while match := self.match(_CHUNK_LINE):
            size = int(match[1], 16)
            if not size:
                return None if self.read_fields() is None else body
            data = self._take(size)
            if data is None or self._take(2) != b"\r\n":
                return None
            body += data
        return None
