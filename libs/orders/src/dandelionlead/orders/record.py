"""States of an order's record, and rows of the table service that hold them.

Pure functions: nothing here reads a clock or calls a service.

A key is bound to the body of its first recorded attempt for as long as its
row exists. Rows are never deleted by this project: a deleted row would let the
order run again, and its row versions could repeat, so that a late write of an
old attempt would meet the condition of a new one. The table contract has no
scan, so cleaning old rows is the operators' task; `at` (seconds since the
epoch) is in the row for this. A row should be kept for at least 30 days, and a
caller must never use a key again.
"""

from __future__ import annotations

import base64
import binascii
import enum
import hashlib
import json
from typing import Any

from dandelionlead.platform import api

TABLE = "orders"
# A row is read and written in groups of 100; with this limit a transaction
# stays below 10 MB even when each record holds the largest answer.
ANSWER_BYTES_LIMIT = 64 * 1024
HEADER_BYTES_LIMIT = 4 * 1024
# Headers that describe the body; all others belong to one connection or to
# one sending and are not repeated to later callers.
STORED_HEADERS = frozenset(
    {"content-type", "content-language", "content-encoding", "location"}
)


class State(enum.Enum):
    """State of an order; a row that is absent has none of them."""

    STARTED = "started"
    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


# Who may make a move: any attempt may start from an absent row or `not_run`,
# all other moves belong to the attempt that the row names. Absent to
# `not_run` makes a late arrival of the attempt's `started` fail.
_MOVES: dict[State | None, frozenset[State]] = {
    None: frozenset({State.STARTED, State.NOT_RUN}),
    State.NOT_RUN: frozenset({State.STARTED, State.NOT_RUN}),
    State.STARTED: frozenset({State.NOT_RUN, State.DONE, State.UNKNOWN}),
    State.UNKNOWN: frozenset({State.DONE}),
    State.DONE: frozenset(),
}
_OPEN_TO_ALL = frozenset({None, State.NOT_RUN})


class Answer:
    """A service's answer to an order.

    Attributes:
        status: HTTP status code.
        headers: Name and value pairs.
        body: Body; empty if `omitted`.
        sha256: Digest of the whole body, in hexadecimal.
        size: Size of the whole body in bytes.
        omitted: The body was larger than the record's limit, so that only its
            digest and size are known to later callers.
        replayed: The answer comes from the record and not from the service.
    """

    __slots__ = (
        "status",
        "headers",
        "body",
        "sha256",
        "size",
        "omitted",
        "replayed",
    )

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        *,
        sha256: str | None = None,
        size: int | None = None,
        omitted: bool = False,
        replayed: bool = False,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.sha256 = sha256 or hashlib.sha256(body).hexdigest()
        self.size = len(body) if size is None else size
        self.omitted = omitted
        self.replayed = replayed

    def __repr__(self) -> str:
        return f"Answer({self.status}, {self.size} B, {self.replayed=})"


class Record:
    """One state of an order's record.

    Attributes:
        state: The state.
        attempt: Id of the attempt that wrote the state.
        body_sha256: Digest of the order's body.
        entry: Name of the entry that made the attempt.
        request_id: Request of the attempt.
        at_unix_s: When the state was written, in seconds since the epoch.
        try_number: Highest number of a caller's try so far; 0 if none is known.
        answer: The service's answer; None unless the state is `done`.
    """

    __slots__ = (
        "state",
        "attempt",
        "body_sha256",
        "entry",
        "request_id",
        "at_unix_s",
        "try_number",
        "answer",
    )

    def __init__(
        self,
        state: State,
        attempt: str,
        body_sha256: str,
        *,
        entry: str = "",
        request_id: str = "",
        at_unix_s: float = 0.0,
        try_number: int = 0,
        answer: Answer | None = None,
    ) -> None:
        self.state = state
        self.attempt = attempt
        self.body_sha256 = body_sha256
        self.entry = entry
        self.request_id = request_id
        self.at_unix_s = at_unix_s
        self.try_number = try_number
        self.answer = answer

    def __repr__(self) -> str:
        return f"Record({self.state.value} by {self.attempt})"


def key(team: str, route: str, idempotency_key: str) -> api.Key:
    """Returns the row's key; distinct triples give distinct digests."""
    text = json.dumps([team, route, idempotency_key])
    return api.Key(TABLE, hashlib.sha256(text.encode()).hexdigest())


def may_move(before: Record | None, after: Record) -> bool:
    """Returns whether a record may follow another one (None: absent)."""
    state = before.state if before else None
    if after.state not in _MOVES[state]:
        return False
    if before and before.body_sha256 != after.body_sha256:
        return False
    return state in _OPEN_TO_ALL or before.attempt == after.attempt


def to_row(rec: Record) -> dict[str, Any]:
    """Returns the record as a JSON object, with a limited answer."""
    row: dict[str, Any] = {
        "state": rec.state.value,
        "attempt": rec.attempt,
        "body": rec.body_sha256,
        "entry": rec.entry,
        "request": rec.request_id,
        "at": round(rec.at_unix_s, 3),
        "try": rec.try_number,
    }
    if rec.answer is not None:
        row["answer"] = _answer_to_row(rec.answer)
    return row


def from_row(row: dict[str, Any]) -> Record | None:
    """Returns the record of a row, or None if the row is not a record.

    A row that is not a record was written by something else; callers treat
    the order as unknown and never run it.
    """
    try:
        answer = row.get("answer")
        return Record(
            State(row["state"]),
            str(row["attempt"]),
            str(row["body"]),
            entry=str(row.get("entry", "")),
            request_id=str(row.get("request", "")),
            at_unix_s=float(row.get("at", 0)),
            try_number=int(row.get("try", 0)),
            answer=_answer_from_row(answer) if answer else None,
        )
    except (KeyError, TypeError, ValueError, binascii.Error):
        return None


def _answer_to_row(answer: Answer) -> dict[str, Any]:
    kept = []
    size = 0
    for name, value in answer.headers:
        size += len(name) + len(value)
        if name.lower() in STORED_HEADERS and size <= HEADER_BYTES_LIMIT:
            kept.append([name, value])
    row: dict[str, Any] = {
        "status": answer.status,
        "headers": kept,
        "sha256": answer.sha256,
        "size": answer.size,
    }
    if not answer.omitted and len(answer.body) <= ANSWER_BYTES_LIMIT:
        row["body"] = base64.b64encode(answer.body).decode()
    return row


def _answer_from_row(row: dict[str, Any]) -> Answer:
    body = row.get("body")
    return Answer(
        int(row["status"]),
        [(str(name), str(value)) for name, value in row["headers"]],
        base64.b64decode(body) if body is not None else b"",
        sha256=str(row["sha256"]),
        size=int(row["size"]),
        omitted=body is None,
        replayed=True,
    )
