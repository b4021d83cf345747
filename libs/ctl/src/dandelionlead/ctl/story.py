"""Turns log files into the story of one request."""

from __future__ import annotations

import pathlib
import re
from collections.abc import Iterable
from collections.abc import Iterator

# Logs may have been collected by a program that puts its own words before.
_LINE = re.compile(r"ts=(\d+\.\d+) (event=.*)")
_ENDPOINT = re.compile(r"(?: |^)(?:endpoint|source|target)=(\S+)")
# Lines of an endpoint that no request is named in, but that explain what
# became of the requests that it had.
_ENDPOINT_EVENTS = ("endpoint_leaves", "engine_says_it_leaves")


class Event:
    """One line of a log.

    Attributes:
        at_s: Seconds since the epoch.
        text: The line without its time.
    """

    __slots__ = ("at_s", "text")

    def __init__(self, at_s: float, text: str) -> None:
        self.at_s = at_s
        self.text = text


class Story:
    """Events of one request, by time.

    Attributes:
        events: The events.
        unread: Files that could not be read, with the reason.
    """

    __slots__ = ("events", "unread")

    def __init__(self, events: list[Event], unread: list[str]) -> None:
        self.events = events
        self.unread = unread


def tell(request_id: str, paths: Iterable[pathlib.Path]) -> Story:
    """Reads log files for a request and for the endpoints that it was at."""
    wanted = re.compile(rf"(?: |^)req={re.escape(request_id)}(?: |$)")
    unread: list[str] = []
    own: list[Event] = []
    about_endpoints: list[Event] = []
    for path in paths:
        try:
            for event in _read(path):
                if wanted.search(event.text):
                    own.append(event)
                elif _name(event).startswith(_ENDPOINT_EVENTS):
                    about_endpoints.append(event)
        except OSError as exc:
            unread.append(f"{path}: cannot be read: {exc.strerror}")
    endpoints = {
        name for event in own for name in _ENDPOINT.findall(event.text)
    }
    if own:
        first_s = min(event.at_s for event in own)
        last_s = max(event.at_s for event in own)
        own += [
            event
            for event in about_endpoints
            if first_s <= event.at_s <= last_s
            and endpoints & set(_ENDPOINT.findall(event.text))
        ]
    return Story(_by_time(own), unread)


def lines(story: Story) -> list[str]:
    """Returns the story as text; times count from its first event."""
    if not story.events:
        return []
    first_s = story.events[0].at_s
    return [
        f"{event.at_s - first_s:+.3f} s {event.text}" for event in story.events
    ]


def _read(path: pathlib.Path) -> Iterator[Event]:
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            match = _LINE.search(text.rstrip("\r\n"))
            if match is not None:
                yield Event(float(match[1]), match[2])


def _name(event: Event) -> str:
    return event.text.removeprefix("event=")


def _by_time(events: list[Event]) -> list[Event]:
    """Sorts events; one that stands in two files is told once."""
    distinct = {(event.at_s, event.text): event for event in events}
    return [distinct[key] for key in sorted(distinct)]
