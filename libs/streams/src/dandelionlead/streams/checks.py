"""Checks that a byte stream holds one generation's events once, in order."""

from __future__ import annotations

import re

# Larger than any event of a few tokens; bounds the memory of one stream.
MAX_EVENT_BYTES = 64 * 1024
EVENT_END = b"\n\n"
LAST_EVENT_END = b"data: [DONE]\n\n"


class Checked:
    """Result of one read.

    Attributes:
        data: Whole events that may be passed on; empty if there are none.
        fault: What was wrong with the bytes after `data`; empty if nothing.
        finished: Whether `data` ends with the last event of the generation.
    """

    __slots__ = ("data", "fault", "finished")

    def __init__(self, data: bytes, fault: str, finished: bool) -> None:
        self.data = data
        self.fault = fault
        self.finished = finished


class EventChecker:
    """Checks one connection's bytes and holds back an incomplete event.

    The checker outlives connections: `restart` drops the held bytes, and the
    position of the last event that was passed on is kept.
    """

    def __init__(self, generation_id: str, position: int = 0) -> None:
        self.generation_id = generation_id
        self.position = position
        self.finished = False
        self._held = b""
        prefix = re.escape(generation_id.encode())
        self._event = re.compile(
            b"id: " + prefix + rb":(\d{1,12})\ndata: [^\n]*\n\n"
        )

    def restart(self) -> None:
        """Forgets the incomplete event of a connection that was dropped."""
        self._held = b""

    def feed(self, data: bytes) -> Checked:
        """Takes the bytes of one read."""
        if self._held:
            data = self._held + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            return self._hold(data)
        block, self._held = data[:end], data[end:]
        found = self._event.findall(block)
        first = self.position + 1
        if block.count(EVENT_END) != len(found) or not _consecutive(
            found, first
        ):
            return self._good_prefix(block)
        self.position += len(found)
        self.finished = block.endswith(LAST_EVENT_END)
        if len(self._held) > MAX_EVENT_BYTES:
            return Checked(block, "an event is too large", self.finished)
        return Checked(block, "", self.finished)

    def _hold(self, data: bytes) -> Checked:
        if len(data) > MAX_EVENT_BYTES:
            return Checked(b"", "an event is too large", False)
        self._held = data
        return Checked(b"", "", False)

    def _good_prefix(self, block: bytes) -> Checked:
        at = 0
        self._held = b""
        while at < len(block):
            match = self._event.match(block, at)
            if match is None:
                fault = f"bytes that are no event follow {self.position}"
                break
            if int(match.group(1)) != self.position + 1:
                fault = f"event {int(match.group(1))} follows {self.position}"
                break
            at = match.end()
            self.position += 1
            if match.group(0).endswith(LAST_EVENT_END):
                self.finished = True
                return Checked(block[:at], "", True)
        else:
            fault = ""
        return Checked(block[:at], fault, False)


def _consecutive(found: list[bytes], first: int) -> bool:
    if len(found) == 1:
        return int(found[0]) == first
    return all(
        int(number) == first + index for index, number in enumerate(found)
    )
