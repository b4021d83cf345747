"""Records when a process receives large bodies, which fill its link.

While a large body arrives, other connections of the process may receive nothing
although their peers send.
"""

from __future__ import annotations

from dandelionlead.core import clock

# Bodies of at least this size are large: they take more than 25 ms on a link of
# 5 Mbit/s.
LARGE_BODY_BYTES = 16_384


class LinkActivity:
    """Last arrival of a part of a large body, at one process."""

    __slots__ = ("_last_large_part_s",)

    def __init__(self) -> None:
        self._last_large_part_s = float("-inf")

    def record_part(self, received_byte_count: int) -> None:
        """Records that a part of a body has arrived.

        Args:
            received_byte_count: Size in bytes of the body up to this part.
        """
        if received_byte_count >= LARGE_BODY_BYTES:
            self._last_large_part_s = clock.boottime()

    def was_busy_since(self, instant_s: float) -> bool:
        """Whether a part of a large body has arrived since an instant.

        Args:
            instant_s: The instant, in seconds of `clock.boottime`.
        """
        return self._last_large_part_s >= instant_s
