"""Error answers to callers, from the one table of error kinds."""

from __future__ import annotations

import http
import json
import math

from dandelionlead.core import errors

MAX_REASON_CHARS = 500


def render(
    failure: errors.Failure, *, request_id: str
) -> tuple[str, list[tuple[str, str]], bytes]:
    """Returns status line, headers and body of a problem+json answer."""
    answer = errors.ANSWERS[failure.kind]
    body = json.dumps(as_dict(failure, request_id=request_id)).encode()
    headers = [
        ("Content-Type", "application/problem+json"),
        ("X-Request-Id", request_id),
    ]
    retry_after_s = _retry_after(failure)
    if retry_after_s:
        headers.append(("Retry-After", str(retry_after_s)))
    return status_line(answer.status), headers, body


def as_dict(
    failure: errors.Failure, *, request_id: str
) -> dict[str, str | int]:
    """Returns the members of the problem object."""
    answer = errors.ANSWERS[failure.kind]
    return {
        "type": f"urn:dandelionlead:error:{failure.kind.value}",
        "title": answer.title,
        "status": answer.status,
        "detail": failure.reason[:MAX_REASON_CHARS],
        "kind": failure.kind.value,
        "request_id": request_id,
        "run": answer.run.value,
    }


def error_event(failure: errors.Failure, *, request_id: str) -> bytes:
    """Returns the event that ends a stream which cannot be completed."""
    data = json.dumps(as_dict(failure, request_id=request_id))
    return f"event: error\ndata: {data}\n\n".encode()


def status_line(status: int) -> str:
    """Returns the code and its phrase, for example `404 Not Found`."""
    return f"{status} {http.HTTPStatus(status).phrase}"


def _retry_after(failure: errors.Failure) -> int:
    return math.ceil(failure.retry_after_s)
