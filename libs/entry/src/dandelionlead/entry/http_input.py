"""Reading and checking what callers send."""

from __future__ import annotations

import hashlib
import json
import re
import uuid
from typing import Any

import eventlet
from eventlet import wsgi

from dandelionlead.core import errors

# A body at the size limit over a slow mobile link still arrives in this time.
BODY_TIMEOUT_S = 10.0
MAX_KEY_CHARS = 128
_REQUEST_ID = re.compile(r"[A-Za-z0-9_.:-]{1,64}")
_VISIBLE = re.compile(r"[\x21-\x7e]+")


def request_id(environ: dict[str, Any]) -> str:
    """Returns the caller's request id if it is usable, else a new one."""
    given = environ.get("HTTP_X_REQUEST_ID", "")
    if _REQUEST_ID.fullmatch(given):
        return given
    return uuid.uuid4().hex


def read_body(
    environ: dict[str, Any], max_bytes: int
) -> bytes | errors.Failure:
    """Reads the body within bounds on its size and its time.

    Returns:
        The body, or a failure of kind BODY_TOO_LARGE, REQUEST_TIMEOUT or
        BAD_REQUEST.
    """
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > max_bytes:
        return _too_large(max_bytes)
    body = errors.Failure(
        errors.Kind.REQUEST_TIMEOUT,
        f"the body did not arrive within {BODY_TIMEOUT_S:g} s",
    )
    with eventlet.Timeout(BODY_TIMEOUT_S, False):
        body = _read_all(environ["wsgi.input"], max_bytes)
    if isinstance(body, bytes) and len(body) < length:
        return errors.Failure(
            errors.Kind.BAD_REQUEST,
            f"the body ended after {len(body)} of {length} bytes",
        )
    return body


def parse_object(body: bytes) -> dict[str, Any] | errors.Failure:
    """Parses a JSON object.

    Returns:
        The object, or a failure of kind BAD_JSON or BAD_REQUEST.
    """
    try:
        value = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as exc:
        return errors.Failure(errors.Kind.BAD_JSON, f"the body: {exc}")
    if not isinstance(value, dict):
        return errors.Failure(
            errors.Kind.BAD_REQUEST, "the body must be a JSON object"
        )
    return value


def bearer_digest(environ: dict[str, Any]) -> str | errors.Failure:
    """Returns the SHA-256 digest of the caller's API key."""
    value = environ.get("HTTP_AUTHORIZATION", "")
    scheme, _, key = value.partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not _VISIBLE.fullmatch(key):
        return errors.Failure(
            errors.Kind.UNAUTHORIZED,
            "the Authorization header must be `Bearer` and an API key",
        )
    return hashlib.sha256(key.encode()).hexdigest()


def idempotency_key(environ: dict[str, Any]) -> str | errors.Failure:
    """Returns the caller's idempotency key; empty if there is none."""
    key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if not key:
        return ""
    if len(key) > MAX_KEY_CHARS or not _VISIBLE.fullmatch(key):
        return errors.Failure(
            errors.Kind.BAD_HEADER,
            f"Idempotency-Key must be 1 to {MAX_KEY_CHARS} visible ASCII "
            "characters",
        )
    return key


def try_number(environ: dict[str, Any]) -> int | errors.Failure:
    """Returns the number of the caller's try of its key; 0 if not given."""
    value = environ.get("HTTP_X_ORDER_TRY", "")
    if not value:
        return 0
    if not re.fullmatch(r"[1-9]\d{0,8}", value):
        return errors.Failure(
            errors.Kind.BAD_HEADER,
            "X-Order-Try must be a whole number of at least 1",
        )
    return int(value)


def last_event(
    environ: dict[str, Any], generation_id: str
) -> int | errors.Failure:
    """Returns the position in Last-Event-ID; 0 if the header is absent."""
    value = environ.get("HTTP_LAST_EVENT_ID", "")
    if not value:
        return 0
    given, _, position = value.rpartition(":")
    if given != generation_id or not re.fullmatch(r"\d{1,12}", position):
        return errors.Failure(
            errors.Kind.BAD_HEADER,
            "Last-Event-ID must be the id of the last event of this stream",
        )
    return int(position)


def _read_all(source: wsgi.Input, max_bytes: int) -> bytes | errors.Failure:
    parts = []
    size = 0
    while size <= max_bytes:
        try:
            part = source.read(min(65536, max_bytes + 1 - size))
        except (OSError, ValueError) as exc:
            return errors.Failure(
                errors.Kind.BAD_REQUEST, f"the body cannot be read: {exc}"
            )
        if not part:
            return b"".join(parts)
        parts.append(part)
        size += len(part)
    return _too_large(max_bytes)


def _too_large(max_bytes: int) -> errors.Failure:
    return errors.Failure(
        errors.Kind.BODY_TOO_LARGE, f"the limit is {max_bytes} bytes"
    )


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")
