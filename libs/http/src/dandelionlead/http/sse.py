"""Splits a server-sent event stream into whole events."""

from __future__ import annotations

import re

_END = b"\n\n"
_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Holds back the event that has not arrived whole.

    Attributes:
        last_id: Id of the last whole event; 0 before the first.
        events: Whole events that were passed on.
    """

    __slots__ = ("last_id", "events", "_tail")

    def __init__(self, last_id: int = 0) -> None:
        self.last_id = last_id
        self.events = 0
        self._tail = b""

    @property
    def tail(self) -> bytes:
        """Bytes after the last whole event."""
        return self._tail

    def feed(self, data: bytes) -> bytes:
        """Takes bytes; returns all events that are now whole."""
        if self._tail:
            data = self._tail + data
        end = data.rfind(_END) + len(_END)
        if end < len(_END):
            self._tail = data
            return b""
        self._tail = data[end:]
        whole = data[:end]
        ids = _ID.findall(whole)
        if ids:
            self.last_id = int(ids[-1])
            self.events += len(ids)
        return whole

    def drop_tail(self) -> None:
        """Forgets an event that will come again from another endpoint."""
        self._tail = b""


def first_id(events: bytes) -> int | None:
    """Returns the id of the first event that has one, or None."""
    found = _ID.search(events)
    return int(found.group(1)) if found else None
