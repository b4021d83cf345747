"""One streamed generation, resumed at other entries until it is complete."""

from __future__ import annotations

import json
from collections.abc import Callable
from collections.abc import Iterator

import urllib3

from dandelionlead.client import answers
from dandelionlead.client import sse

DONE = "[DONE]"
# The system keeps a generation without a reader for 15 s; later resumes are
# pointless.
RESUME_WINDOW_S = 15.0
# An entry sends a comment every 10 s when it has nothing else to send.
SILENCE_S = 12.0
PAUSE_S = 0.1
# Resumed connections in a row that bring no event.
IDLE_RESUMES_LIMIT = 8
_READ_BYTES = 65536

Open = Callable[[dict[str, str]], "urllib3.BaseHTTPResponse | answers.Failure"]


class Stream:
    """Iterates over the events of one generation, each once and in order.

    After the loop, `failure` is None if the generation is complete.

    Attributes:
        failure: Why the stream ended early; None otherwise.
        complete: Whether the last event was received.
        resumes: How often the stream was resumed.
    """

    def __init__(
        self,
        first: urllib3.BaseHTTPResponse,
        resume: Open,
        *,
        clock: Callable[[], float],
        sleep: Callable[[float], None],
    ) -> None:
        self.failure: answers.Failure | None = None
        self.complete = False
        self.resumes = 0
        self._response = first
        self._resume = resume
        self._clock = clock
        self._sleep = sleep
        self._token = first.headers.get("X-Resume-Token", "")
        self._last_id = ""
        self._generation = ""
        self._position = 0
        self._idle_resumes = 0

    def __iter__(self) -> Iterator[sse.Event]:
        try:
            while True:
                yield from self._read()
                if self.complete or self.failure is not None:
                    return
                if not self._reconnect():
                    return
        finally:
            self.close()

    def close(self) -> None:
        """Closes the connection; the system then cancels the generation."""
        self._response.close()

    def _read(self) -> Iterator[sse.Event]:
        """Yields events of one connection, up to its end, cut or silence."""
        parser = sse.Parser()
        try:
            while True:
                data = self._response.read1(_READ_BYTES)
                if not data:
                    return
                events = parser.feed(data)
                if events is None:
                    return
                for event in events:
                    if event.name == "handover":
                        return
                    if event.name == "error":
                        self.failure = _failure(event)
                        return
                    if not self._is_next(event):
                        if self._is_repeat(event):
                            continue
                        return
                    self._accept(event)
                    if self.complete:
                        return
                    yield event
        except (urllib3.exceptions.HTTPError, OSError):
            # Cut or silent; the caller of this method resumes.
            return
        finally:
            self._response.close()

    def _is_next(self, event: sse.Event) -> bool:
        same = not self._generation or event.generation == self._generation
        return same and event.position == self._position + 1

    def _is_repeat(self, event: sse.Event) -> bool:
        same = event.generation == self._generation
        return same and 0 < event.position <= self._position

    def _accept(self, event: sse.Event) -> None:
        self._generation = event.generation
        self._position = event.position
        self._idle_resumes = 0
        self._last_id = event.id
        self.complete = event.data == DONE

    def _reconnect(self) -> bool:
        self._idle_resumes += 1
        if not self._token or self._idle_resumes > IDLE_RESUMES_LIMIT:
            self.failure = answers.Failure(
                "connection_lost",
                answers.UNKNOWN,
                "The stream was cut and could not be resumed.",
            )
            return False
        headers = {"X-Resume-Token": self._token}
        if self._last_id:
            headers["Last-Event-ID"] = self._last_id
        ends_at = self._clock() + RESUME_WINDOW_S
        while True:
            found = self._resume(headers)
            if not isinstance(found, answers.Failure):
                self._response = found
                self._token = found.headers.get("X-Resume-Token", self._token)
                self.resumes += 1
                return True
            refused = found.run == answers.NOT_RUN and found.retry_after_s
            final = found.status and not refused
            if final or self._clock() >= ends_at:
                self.failure = found
                return False
            self._sleep(min(1.0, found.retry_after_s or PAUSE_S))


def _failure(event: sse.Event) -> answers.Failure:
    try:
        problem = json.loads(event.data)
    except ValueError:
        problem = {}
    if not isinstance(problem, dict):
        problem = {}
    return answers.Failure(
        str(problem.get("kind", "bad_answer")),
        str(problem.get("run", answers.UNKNOWN)),
        str(problem.get("detail") or problem.get("title") or ""),
        request_id=str(problem.get("request_id", "")),
    )
