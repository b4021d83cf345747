"""Collects a body that arrives in parts of any size."""

from __future__ import annotations

from collections.abc import Iterator

# Blocks of one size keep the heap from being fragmented by growing buffers.
_BLOCK_BYTES = 65_536


class BodyBuffer:
    """The part of a body that has arrived.

    Attributes:
        size: Bytes that have arrived.
    """

    __slots__ = ("size", "_blocks", "_last_block")

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytes] = []
        self._last_block = bytearray()

    def append(self, part: bytes | bytearray) -> None:
        """Appends the next part of the body."""
        self.size += len(part)
        self._last_block += part
        if len(self._last_block) >= _BLOCK_BYTES:
            self._blocks.append(bytes(self._last_block))
            self._last_block.clear()

    def clear(self) -> None:
        """Drops what has arrived."""
        self.size = 0
        self._blocks.clear()
        self._last_block.clear()

    def pop_blocks(self) -> Iterator[bytes]:
        """Yields the blocks of the body, and keeps none that was yielded."""
        self._blocks.reverse()
        while self._blocks:
            yield self._blocks.pop()
        if self._last_block:
            yield bytes(self._last_block)
        self.clear()

    def take(self) -> bytes:
        """Returns the whole body and empties the buffer."""
        self._blocks.append(bytes(self._last_block))
        body = b"".join(self._blocks)
        self.clear()
        return body
