"""What a call of the library returns: a whole answer or a failure."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

NOT_RUN = "not_run"
RAN = "ran"
UNKNOWN = "unknown"

_PROBLEM = "application/problem+json"


class Answer:
    """A whole answer.

    Attributes:
        status: HTTP status code.
        headers: Headers; names are compared without regard to case.
        body: The whole body.
        address: Entry that gave the answer, `ip:port`.
    """

    __slots__ = ("status", "headers", "body", "address")

    def __init__(
        self, status: int, headers: Mapping[str, str], body: bytes, address: str
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.address = address

    def json(self) -> Any:
        """Returns the body as JSON; raises ValueError if it is none."""
        return json.loads(self.body)


class Failure:
    """Sentinel that is returned in place of an answer; it is false.

    Attributes:
        kind: Kind of error as the system names it, or `connection_refused`,
            `connection_lost`, `no_entry` or `bad_answer` of this library.
        run: `not_run`, `ran` or `unknown`.
        reason: One sentence.
        status: HTTP status code; 0 without an answer.
        request_id: Request id of the system; empty if none.
        retry_after_s: Seconds after which a retry makes sense; None if the
            system did not say.
    """

    __slots__ = (
        "kind",
        "run",
        "reason",
        "status",
        "request_id",
        "retry_after_s",
    )

    def __init__(
        self,
        kind: str,
        run: str,
        reason: str,
        *,
        status: int = 0,
        request_id: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        self.kind = kind
        self.run = run
        self.reason = reason
        self.status = status
        self.request_id = request_id
        self.retry_after_s = retry_after_s

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"Failure({self.kind}, {self.run}: {self.reason})"


def failure_in(answer: Answer) -> Failure | None:
    """Returns the system's failure in an answer, or None.

    A service's own error answers are no failures: they are passed on as they
    are, since the call ran.
    """
    kind = answer.headers.get("Content-Type") or ""
    if not kind.startswith(_PROBLEM):
        return None
    try:
        problem = answer.json()
    except ValueError:
        problem = None
    if not isinstance(problem, dict) or "run" not in problem:
        return None
    run = problem["run"]
    return Failure(
        str(problem.get("kind", "bad_answer")),
        run if run in (NOT_RUN, RAN) else UNKNOWN,
        str(problem.get("detail") or problem.get("title") or ""),
        status=answer.status,
        request_id=str(problem.get("request_id", "")),
        retry_after_s=_retry_after_s(answer.headers.get("Retry-After")),
    )


def _retry_after_s(text: str | None) -> float | None:
    if text is None or not text.strip().isdigit():
        return None
    # The system gives 0 where a retry is pointless.
    return float(text) or None
