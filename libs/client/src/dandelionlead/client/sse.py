"""Parser of server-sent events; it returns only complete events."""

from __future__ import annotations

# A token event has some hundred bytes; a longer one is a broken stream.
EVENT_BYTES_LIMIT = 1024 * 1024


class Event:
    """One event of a stream.

    Attributes:
        id: Id as received, `<generation id>:<position>`; empty if none.
        name: Event name; `message` if none was given.
        data: Data lines, joined by line feeds.
    """

    __slots__ = ("id", "name", "data")

    def __init__(self, id: str, name: str, data: str) -> None:
        self.id = id
        self.name = name
        self.data = data

    @property
    def generation(self) -> str:
        """Generation id; empty if the id has no position."""
        return self.id.rpartition(":")[0]

    @property
    def position(self) -> int:
        """Position from 1; 0 if the id has none."""
        text = self.id.rpartition(":")[2]
        return int(text) if text.isascii() and text.isdigit() else 0


class Parser:
    """Collects bytes of one connection and returns its complete events."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, data: bytes) -> list[Event] | None:
        """Returns the events that end in this data; None if one is too long."""
        # A lone carriage return at the end may belong to the next read.
        text = (self._rest + data).replace(b"\r\n", b"\n")
        *whole, self._rest = text.split(b"\n\n")
        if len(self._rest) > EVENT_BYTES_LIMIT:
            return None
        events = [_event(block) for block in whole]
        return [event for event in events if event is not None]


def _event(block: bytes) -> Event | None:
    id_, name, data = "", "message", []
    for line in block.decode("utf-8", "replace").split("\n"):
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "id":
            id_ = value
        elif field == "event":
            name = value
        elif field == "data":
            data.append(value)
    if not data and name == "message":
        # Only comments, which keep the connection alive.
        return None
    return Event(id_, name, "\n".join(data))
