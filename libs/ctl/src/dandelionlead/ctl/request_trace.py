"""Collects the log lines of all processes that explain one request."""

from __future__ import annotations

import pathlib
import re
from collections.abc import Iterable
from collections.abc import Iterator

# A log collector may have put a prefix before each line.
_LOG_LINE = re.compile(r"ts=(\d+\.\d+) (event=.*)")
_ENDPOINT_FIELD = re.compile(r"(?: |^)(?:endpoint|source|target)=(\S+)")
# Names of the events that belong to an endpoint, not to a request, and that
# explain the outcome of the requests that this endpoint was serving.
_ENDPOINT_EVENT_NAMES = ("endpoint_leaves", "engine_says_it_leaves")


class LogEvent:
    """One event of a log file.

    Attributes:
        timestamp_s: Time of the event in seconds since the Unix epoch.
        text: The log line from `event=` on, without its prefix and its time.
    """

    __slots__ = ("timestamp_s", "text")

    def __init__(self, timestamp_s: float, text: str) -> None:
        self.timestamp_s = timestamp_s
        self.text = text


class RequestTrace:
    """Events that explain one request.

    Attributes:
        events: Events of the request, and the events of its endpoints between
            the first and the last event of the request; ordered by time.
        read_errors: One line for each file that could not be read, with the
            reason.
    """

    __slots__ = ("events", "read_errors")

    def __init__(self, events: list[LogEvent], read_errors: list[str]) -> None:
        self.events = events
        self.read_errors = read_errors


def trace_request(
    request_id: str, log_paths: Iterable[pathlib.Path]
) -> RequestTrace:
    """Collects the events of a request and of the endpoints that served it.

    Args:
        request_id: Request id of the caller's attempt.
        log_paths: Log files of all processes.

    Returns:
        The events, and a line for each file that could not be read.
    """
    request_pattern = re.compile(rf"(?: |^)req={re.escape(request_id)}(?: |$)")
    read_errors: list[str] = []
    request_events: list[LogEvent] = []
    endpoint_events: list[LogEvent] = []
    for path in log_paths:
        try:
            for event in _read_events(path):
                if request_pattern.search(event.text):
                    request_events.append(event)
                elif _strip_event_prefix(event).startswith(
                    _ENDPOINT_EVENT_NAMES
                ):
                    endpoint_events.append(event)
        except OSError as exc:
            read_errors.append(f"{path}: cannot be read: {exc.strerror}")
    endpoint_ids = {
        endpoint_id
        for event in request_events
        for endpoint_id in _ENDPOINT_FIELD.findall(event.text)
    }
    if request_events:
        first_s = min(event.timestamp_s for event in request_events)
        last_s = max(event.timestamp_s for event in request_events)
        request_events += [
            event
            for event in endpoint_events
            if first_s <= event.timestamp_s <= last_s
            and endpoint_ids & set(_ENDPOINT_FIELD.findall(event.text))
        ]
    return RequestTrace(_sort_unique(request_events), read_errors)


def format_trace(request_trace: RequestTrace) -> list[str]:
    """Returns one line per event, with the seconds since the first event."""
    if not request_trace.events:
        return []
    first_s = request_trace.events[0].timestamp_s
    return [
        f"{event.timestamp_s - first_s:+.3f} s {event.text}"
        for event in request_trace.events
    ]


def _read_events(path: pathlib.Path) -> Iterator[LogEvent]:
    """Yields the events of a log file; skips lines that are not events."""
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            match = _LOG_LINE.search(text.rstrip("\r\n"))
            if match is not None:
                yield LogEvent(float(match[1]), match[2])


def _strip_event_prefix(event: LogEvent) -> str:
    """Returns the text of an event without `event=` at its start."""
    return event.text.removeprefix("event=")


def _sort_unique(events: list[LogEvent]) -> list[LogEvent]:
    """Sorts events by time and drops repeated ones; log files may overlap."""
    unique_events = {(event.timestamp_s, event.text): event for event in events}
    return [unique_events[key] for key in sorted(unique_events)]
