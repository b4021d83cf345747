"""Counters and faults of the plain service stand-in; no sockets."""

from __future__ import annotations

import enum
import hashlib
from typing import Any

from dandelionlead.standins import faults

_FAULTS = {
    # Fails before it runs: 503.
    "fail_before": 0,
    # Runs, then closes the connection without an answer.
    "lose_answers": 0,
    # Runs, and sends only the first part of the answer.
    "truncate": 0,
    # Runs, and sends the answer of another request.
    "cross": 0,
    # Waits before it runs.
    "delay": 0,
    "delay_s": 1.0,
    # Closes the listener for this time; set once for each request.
    "refuse_s": 0.0,
}


class Ending(enum.Enum):
    """How a request ends."""

    FAIL_BEFORE = "fail_before"
    LOSE_ANSWER = "lose_answers"
    TRUNCATE = "truncate"
    CROSS = "cross"
    ANSWER = "answer"


_FAULTY_ENDINGS = (
    Ending.FAIL_BEFORE,
    Ending.LOSE_ANSWER,
    Ending.TRUNCATE,
    Ending.CROSS,
)


class Call:
    """One request as the service sees it."""

    __slots__ = ("method", "path", "request_id", "idempotency_key", "body")

    def __init__(
        self,
        method: str,
        path: str,
        request_id: str,
        idempotency_key: str,
        body: bytes,
    ) -> None:
        self.method = method
        self.path = path
        self.request_id = request_id
        self.idempotency_key = idempotency_key
        self.body = body


class Answer:
    """Content of one answer."""

    __slots__ = ("request_id", "content")

    def __init__(self, request_id: str, content: dict[str, Any]) -> None:
        self.request_id = request_id
        self.content = content


class Core:
    """Runs calls and counts how often each idempotency key ran.

    Attributes:
        faults: Active faults, each with its number of requests left.
    """

    def __init__(self, name: str) -> None:
        self.faults = faults.Faults(_FAULTS)
        self._name = name
        self._runs: dict[str, int] = {}
        self._requests = 0
        self._total_runs = 0
        self._previous: Answer | None = None

    def begin(self) -> Ending:
        """Counts a request and takes the fault that it meets."""
        self._requests += 1
        for ending in _FAULTY_ENDINGS:
            if self.faults.take(ending.value):
                return ending
        return Ending.ANSWER

    def execute(self, call: Call) -> Answer:
        """Runs a call and returns its own answer."""
        self._total_runs += 1
        key = call.idempotency_key
        if key:
            self._runs[key] = self._runs.get(key, 0) + 1
        content = {
            "service": self._name,
            "method": call.method,
            "path": call.path,
            "request_id": call.request_id,
            "idempotency_key": key,
            "run": self._total_runs,
            "body_sha256": hashlib.sha256(call.body).hexdigest(),
        }
        return Answer(call.request_id, content)

    def crossed(self, own: Answer) -> Answer:
        """Returns an answer of another request than this one."""
        if self._previous is not None:
            return self._previous
        other = f"other-{own.request_id}"
        return Answer(other, own.content | {"request_id": other})

    def answered(self, own: Answer) -> None:
        """Remembers an answer, to be crossed with a later one."""
        self._previous = own

    def counts(self) -> dict[str, Any]:
        """Returns the counters; `keys` maps idempotency keys to runs."""
        return {
            "requests": self._requests,
            "runs": self._total_runs,
            "keys": dict(self._runs),
        }
