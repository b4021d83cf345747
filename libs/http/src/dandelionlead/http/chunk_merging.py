"""Merges the small chunks of a chunked request body before it is parsed.

The parser makes an event of each chunk. A body in chunks of one byte would cost
a hundred times as much as the same body in one piece. Merging changes nothing
but the borders of chunks; what is not recognised is passed on as it is, so that
the parser alone decides what is valid.
"""

from __future__ import annotations

import re

# Size of a chunk without extensions; longer sizes are left to the parser.
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")
_MAX_SIZE_LINE_BYTES = 10
_LINE_END = b"\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class ChunkMerger:
    """Merges the chunks of one request body.

    Attributes:
        rest: Bytes that follow the end of the body.
    """

    __slots__ = ("rest", "_held", "_raw_bytes_left", "_is_passing_on")

    def __init__(self) -> None:
        self.rest = b""
        # Start of a size line, or of the last chunk, whose end is missing.
        self._held = b""
        # Bytes of a chunk, with its line end, that are passed on unchanged.
        self._raw_bytes_left = 0
        self._is_passing_on = False

    def feed(self, data: bytes) -> bytes:
        """Returns the next bytes for the parser.

        Args:
            data: Bytes of the body as they arrived.
        """
        if self._is_passing_on:
            return data
        data = self._held + data
        self._held = b""
        output: list[bytes] = []
        position = self._pass_raw_bytes(data, output)
        while position < len(data) and not self._raw_bytes_left:
            next_position = self._merge_chunks(data, position, output)
            if next_position == position:
                position = self._handle_special(data, position, output)
                break
            position = next_position
        return b"".join(output)

    def _pass_raw_bytes(self, data: bytes, output: list[bytes]) -> int:
        """Passes on the rest of a chunk; returns the position after it."""
        count = min(self._raw_bytes_left, len(data))
        self._raw_bytes_left -= count
        output.append(data[:count])
        return count

    def _merge_chunks(
        self, data: bytes, position: int, output: list[bytes]
    ) -> int:
        """Merges whole chunks from a position on; returns the one after them.

        A chunk that is not complete in `data` is passed on with its size line.
        """
        parts: list[bytes] = []
        while match := _CHUNK_SIZE_LINE.match(data, position):
            start = match.end()
            size = int(match[1], 16)
            end = start + size
            if size == 0 or data[end : end + 2] != _LINE_END:
                break
            parts.append(data[start:end])
            position = end + 2
        if parts:
            merged = b"".join(parts)
            output.append(b"%x\r\n%b\r\n" % (len(merged), merged))
        return position

    def _handle_special(
        self, data: bytes, position: int, output: list[bytes]
    ) -> int:
        """Handles what is no whole chunk; returns the position after it."""
        rest = data[position:]
        match = _CHUNK_SIZE_LINE.match(rest)
        if rest.startswith(_LAST_CHUNK):
            output.append(_LAST_CHUNK)
            self.rest = rest[len(_LAST_CHUNK) :]
            self._is_passing_on = True
        elif _LAST_CHUNK.startswith(rest) or (
            match is None
            and len(rest) < _MAX_SIZE_LINE_BYTES
            and b"\n" not in rest
        ):
            self._held = rest
        elif match is not None and int(match[1], 16):
            chunk_bytes = match.end() + int(match[1], 16) + len(_LINE_END)
            self._raw_bytes_left = max(0, chunk_bytes - len(rest))
            self._is_passing_on = not self._raw_bytes_left
            output.append(rest)
        else:
            self._is_passing_on = True
            output.append(rest)
        return len(data)
