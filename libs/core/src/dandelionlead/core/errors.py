"""Defines the error kinds and the response to the caller for each kind."""

from __future__ import annotations

import enum


class RunState(enum.Enum):
    """Whether an endpoint ran a call, as far as the system can determine.

    Attributes:
        NOT_RUN: No endpoint ran the call, so that a retry cannot repeat its
            effects.
        RAN: An endpoint ran at least a part of the call.
        UNKNOWN: An endpoint may have run the call.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Kind(enum.Enum):
    """Closed list of error kinds; `ANSWERS` has the response for each kind."""

    BAD_HEADER = "bad_header"
    UNAUTHORIZED = "unauthorized"
    UNKNOWN_ROUTE = "unknown_route"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_ENDPOINT = "no_endpoint"
    STALE_RULES = "stale_rules"
    NOT_READY = "not_ready"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_SILENT = "endpoint_silent"
    GENERATION_LOST = "generation_lost"
    REQUEST_QUARANTINED = "request_quarantined"
    PEER_UNREACHABLE = "peer_unreachable"
    INTERNAL = "internal"


class Answer:
    """Response to the caller for one kind of error.

    Attributes:
        status: HTTP status code.
        run_state: Whether an endpoint ran the call.
        retry_after_s: Value of `Retry-After` in seconds; 0 if the caller
            should not retry.
        title: Description of the error in one short sentence.
    """

    __slots__ = ("status", "run_state", "retry_after_s", "title")

    def __init__(
        self, status: int, run_state: RunState, retry_after_s: int, title: str
    ) -> None:
        self.status = status
        self.run_state = run_state
        self.retry_after_s = retry_after_s
        self.title = title


_NOT_RUN, _RAN, _UNKNOWN = RunState.NOT_RUN, RunState.RAN, RunState.UNKNOWN

# The response to the caller for each error kind.
ANSWERS: dict[Kind, Answer] = {
    Kind.BAD_HEADER: Answer(400, _NOT_RUN, 0, "A header is not valid."),
    Kind.UNAUTHORIZED: Answer(401, _NOT_RUN, 0, "The API key is unknown."),
    Kind.UNKNOWN_ROUTE: Answer(404, _NOT_RUN, 0, "The route does not exist."),
    Kind.OUTCOME_UNKNOWN: Answer(
        502, _UNKNOWN, 0, "The call was sent; its outcome is not known."
    ),
    Kind.OVERLOADED: Answer(503, _NOT_RUN, 2, "The system is overloaded."),
    Kind.DEADLINE_EXCEEDED: Answer(
        504, _NOT_RUN, 1, "The deadline passed before the call was started."
    ),
    Kind.NO_ENDPOINT: Answer(
        503, _NOT_RUN, 2, "No endpoint can take the call now."
    ),
    Kind.STALE_RULES: Answer(
        503,
        _NOT_RUN,
        1,
        "This process cannot confirm that its configuration is current.",
    ),
    Kind.NOT_READY: Answer(
        503, _NOT_RUN, 1, "This process is not ready for calls."
    ),
    Kind.PLATFORM_UNAVAILABLE: Answer(
        503, _NOT_RUN, 5, "The platform's services cannot be reached."
    ),
    Kind.ENDPOINT_UNREACHABLE: Answer(
        503, _NOT_RUN, 1, "The endpoint could not be reached."
    ),
    Kind.ENDPOINT_FAILED: Answer(
        502, _UNKNOWN, 1, "The endpoint failed while it had the call."
    ),
    Kind.ENDPOINT_SILENT: Answer(
        504, _UNKNOWN, 1, "The endpoint did not answer in time."
    ),
    Kind.GENERATION_LOST: Answer(
        502, _RAN, 1, "The endpoint lost the generation."
    ),
    Kind.REQUEST_QUARANTINED: Answer(
        422, _NOT_RUN, 0, "Endpoints that ran this request crashed."
    ),
    Kind.PEER_UNREACHABLE: Answer(
        503, _UNKNOWN, 1, "Another process of the system did not answer."
    ),
    Kind.INTERNAL: Answer(500, _UNKNOWN, 1, "An internal error occurred."),
}


class Failure:
    """Error value that a function returns in place of a result.

    A failure is false in a boolean context, so that `if not result` detects it
    for every function whose valid results are always true.

    Attributes:
        kind: The error kind.
        reason: One sentence with the details of this failure.
        retry_after_s: Seconds after which the caller should retry; 0 if it
            should not retry. By default the value in `ANSWERS`.
    """

    __slots__ = ("kind", "reason", "retry_after_s")

    def __init__(
        self, kind: Kind, reason: str, *, retry_after_s: float | None = None
    ) -> None:
        self.kind = kind
        self.reason = reason
        if retry_after_s is None:
            retry_after_s = ANSWERS[kind].retry_after_s
        self.retry_after_s = retry_after_s

    @property
    def run_state(self) -> RunState:
        """Whether an endpoint ran the call, according to `ANSWERS`."""
        return ANSWERS[self.kind].run_state

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"Failure({self.kind.value}: {self.reason})"
