"""Splits a server-sent event stream (text/event-stream) into events."""

from __future__ import annotations

import re

# Marks the end of an event.
EVENT_END = b"\n\n"
_ID_LINE = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class EventSplitter:
    """Splits off the complete events of a stream and buffers the rest.

    Args:
        last_event_id: Id of the last event that the caller has already
            received; 0 for none.

    Attributes:
        last_event_id: Id of the last complete event that has an id; initially
            the argument of the constructor.
        event_count: Number of events with an id that `feed` has returned.
        new_event_ids: Ids of the events that the last call of `feed` returned.
    """

    __slots__ = ("last_event_id", "event_count", "new_event_ids", "_incomplete")

    def __init__(self, last_event_id: int = 0) -> None:
        self.last_event_id = last_event_id
        self.event_count = 0
        self.new_event_ids: list[int] = []
        self._incomplete = b""

    @property
    def incomplete_event(self) -> bytes:
        """Bytes of the incomplete event after the last complete one."""
        return self._incomplete

    def feed(self, data: bytes) -> bytes:
        """Adds bytes of the stream.

        Args:
            data: The next bytes; they may end in the middle of an event.

        Returns:
            The bytes of all events that are now complete; may be empty.
        """
        self.new_event_ids = []
        if self._incomplete:
            data = self._incomplete + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._incomplete = data
            return b""
        self._incomplete = data[end:]
        complete_events = data[:end]
        ids = [int(text) for text in _ID_LINE.findall(complete_events)]
        if ids:
            self.new_event_ids = ids
            self.last_event_id = ids[-1]
            self.event_count += len(ids)
        return complete_events

    def rewind(self, last_event_id: int, event_count: int) -> None:
        """Forgets the last events, which were not forwarded.

        Args:
            last_event_id: `last_event_id` before these events.
            event_count: `event_count` before these events.
        """
        self.last_event_id = last_event_id
        self.event_count = event_count

    def drop_first_event(self) -> None:
        """Does not count the first event with an id of the last `feed`."""
        self.event_count -= 1
        del self.new_event_ids[0]

    def drop_incomplete_event(self) -> None:
        """Drops the incomplete event; another endpoint will send it again."""
        self._incomplete = b""


def find_last_numbered_event(events: bytes) -> bytes:
    """Returns the bytes of the last event that has an id; empty if none has.

    Args:
        events: Bytes of complete events.
    """
    end = len(events)
    while end:
        start = events.rfind(EVENT_END, 0, end - len(EVENT_END))
        start = start + len(EVENT_END) if start >= 0 else 0
        event = events[start:end]
        if find_first_event_id(event) is not None:
            return event
        end = start
    return b""


def find_first_event_id(events: bytes) -> int | None:
    """Returns the id of the first event; None if it has none.

    Args:
        events: Bytes of complete events.
    """
    match = _ID_LINE.search(events, 0, events.find(EVENT_END) + 1)
    return int(match.group(1)) if match else None
