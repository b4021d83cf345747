"""Splits a server-sent event stream (text/event-stream) into events."""

from __future__ import annotations

import re

_EVENT_END = b"\n\n"
_ID_LINE = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Passes on complete events and buffers the incomplete last one.

    Attributes:
        last_event_id: Id of the last complete event that has an id; initially
            the value passed to the constructor.
        event_count: Number of complete events with an id that were returned.
    """

    __slots__ = ("last_event_id", "event_count", "_incomplete")

    def __init__(self, last_id: int = 0) -> None:
        self.last_event_id = last_id
        self.event_count = 0
        self._incomplete = b""

    @property
    def incomplete_event(self) -> bytes:
        """Bytes of the incomplete event after the last complete one."""
        return self._incomplete

    def feed(self, data: bytes) -> bytes:
        """Adds bytes of the stream.

        Args:
            data: The next bytes, cut at any point.

        Returns:
            The bytes of all events that are now complete; may be empty.
        """
        if self._incomplete:
            data = self._incomplete + data
        end = data.rfind(_EVENT_END) + len(_EVENT_END)
        if end < len(_EVENT_END):
            self._incomplete = data
            return b""
        self._incomplete = data[end:]
        complete = data[:end]
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_event_id = int(ids[-1])
            self.event_count += len(ids)
        return complete

    def drop_incomplete_event(self) -> None:
        """Drops an incomplete event that another endpoint will send again."""
        self._incomplete = b""


def find_first_event_id(events: bytes) -> int | None:
    """Returns the id of the first event that has one, or None."""
    match = _ID_LINE.search(events)
    return int(match.group(1)) if match else None
