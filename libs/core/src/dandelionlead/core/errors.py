"""Error kinds of the whole system and the answer that each one gives."""

from __future__ import annotations

import enum


class Run(enum.Enum):
    """Whether a call ran, as far as the system can know."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Kind(enum.Enum):
    """Closed list of error kinds; every kind has a row in `ANSWERS`."""

    BAD_JSON = "bad_json"
    BAD_REQUEST = "bad_request"
    BAD_HEADER = "bad_header"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    UNKNOWN_ROUTE = "unknown_route"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    REQUEST_TIMEOUT = "request_timeout"
    BODY_TOO_LARGE = "body_too_large"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    ORDER_IN_PROGRESS = "order_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVER_SHARE = "over_share"
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
    GENERATION_UNKNOWN = "generation_unknown"
    TOKEN_INVALID = "token_invalid"
    TOKEN_EXPIRED = "token_expired"
    REQUEST_QUARANTINED = "request_quarantined"
    CONFLICT = "conflict"
    BAD_CONFIG = "bad_config"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_REFUSED = "peer_refused"
    INTERNAL = "internal"


class Answer:
    """What a caller is told for one kind of error.

    Attributes:
        status: HTTP status code.
        run: Whether the call ran.
        retry_after_s: Seconds for `Retry-After`; 0 where a retry is pointless.
        title: Short sentence for people.
    """

    __slots__ = ("status", "run", "retry_after_s", "title")

    def __init__(
        self, status: int, run: Run, retry_after_s: int, title: str
    ) -> None:
        self.status = status
        self.run = run
        self.retry_after_s = retry_after_s
        self.title = title


_NOT_RUN, _RAN, _UNKNOWN = Run.NOT_RUN, Run.RAN, Run.UNKNOWN

ANSWERS: dict[Kind, Answer] = {
    Kind.BAD_JSON: Answer(400, _NOT_RUN, 0, "The body is not valid JSON."),
    Kind.BAD_REQUEST: Answer(400, _NOT_RUN, 0, "The request is not valid."),
    Kind.BAD_HEADER: Answer(400, _NOT_RUN, 0, "A header is not valid."),
    Kind.UNAUTHORIZED: Answer(401, _NOT_RUN, 0, "The API key is not known."),
    Kind.FORBIDDEN: Answer(403, _NOT_RUN, 0, "The team may not do this."),
    Kind.UNKNOWN_ROUTE: Answer(404, _NOT_RUN, 0, "The route does not exist."),
    Kind.METHOD_NOT_ALLOWED: Answer(
        405, _NOT_RUN, 0, "The route does not take this method."
    ),
    Kind.REQUEST_TIMEOUT: Answer(
        408, _NOT_RUN, 0, "The request did not arrive in time."
    ),
    Kind.BODY_TOO_LARGE: Answer(413, _NOT_RUN, 0, "The body is too large."),
    Kind.KEY_MISSING: Answer(
        400, _NOT_RUN, 0, "This route requires an Idempotency-Key header."
    ),
    Kind.KEY_REUSED: Answer(
        422, _NOT_RUN, 0, "The idempotency key was used with another body."
    ),
    Kind.ORDER_IN_PROGRESS: Answer(
        409, _UNKNOWN, 2, "The first call with this key has not ended."
    ),
    Kind.OUTCOME_UNKNOWN: Answer(
        502, _UNKNOWN, 0, "The call was sent; its outcome is not known."
    ),
    Kind.OVER_SHARE: Answer(
        429, _NOT_RUN, 2, "The team is over its share of a busy system."
    ),
    Kind.OVERLOADED: Answer(503, _NOT_RUN, 2, "The system is overloaded."),
    Kind.DEADLINE_EXCEEDED: Answer(
        504, _NOT_RUN, 1, "The deadline passed before the call was started."
    ),
    Kind.NO_ENDPOINT: Answer(
        503, _NOT_RUN, 2, "No endpoint can take the call now."
    ),
    Kind.STALE_RULES: Answer(
        503, _NOT_RUN, 1, "This entry cannot confirm its configuration."
    ),
    Kind.NOT_READY: Answer(503, _NOT_RUN, 1, "This entry is not ready."),
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
    Kind.GENERATION_UNKNOWN: Answer(
        410, _RAN, 0, "The generation is no longer available."
    ),
    Kind.TOKEN_INVALID: Answer(
        403, _NOT_RUN, 0, "The resume token is not valid."
    ),
    Kind.TOKEN_EXPIRED: Answer(410, _NOT_RUN, 0, "The resume token expired."),
    Kind.REQUEST_QUARANTINED: Answer(
        422, _NOT_RUN, 0, "Endpoints that ran this request crashed."
    ),
    Kind.CONFLICT: Answer(409, _NOT_RUN, 0, "Another change came first."),
    Kind.BAD_CONFIG: Answer(422, _NOT_RUN, 0, "The settings are not valid."),
    Kind.PEER_UNREACHABLE: Answer(
        503, _UNKNOWN, 1, "Another process of the system did not answer."
    ),
    Kind.PEER_REFUSED: Answer(
        403, _NOT_RUN, 0, "Another process of the system refused the call."
    ),
    Kind.INTERNAL: Answer(500, _UNKNOWN, 1, "An internal error occurred."),
}


class Failure:
    """Sentinel that is returned in place of a result, with the reason.

    It is false in a boolean context, so that `if not result` reads well where
    results are never false themselves.

    Attributes:
        kind: What went wrong.
        reason: One sentence with the particulars, for logs and callers.
        retry_after_s: Seconds after which a retry makes sense.
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
    def run(self) -> Run:
        """Whether the call ran, from the table."""
        return ANSWERS[self.kind].run

    def __bool__(self) -> bool:
        return False

    def __repr__(self) -> str:
        return f"Failure({self.kind.value}: {self.reason})"
