"""HTTP serving that the stand-in programs share, on eventlet's WSGI server."""

from __future__ import annotations

import json
import sys
import traceback
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import eventlet
from eventlet import wsgi

from dandelionlead.standins import listening

SOCKET_TIMEOUT_S = 120.0
MAX_CONNECTIONS = 10_000
MAX_BODY_BYTES = 64 * 1024 * 1024
_JSON = "application/json"
_REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class BadRequestError(Exception):
    """The request cannot be served; the text goes into the answer."""


class AbortError(Exception):
    """Closes the connection in the middle of an answer."""


class Request:
    """One request.

    Attributes:
        method: HTTP method.
        path: Decoded path.
        query: First value of each query parameter.
        sock: Socket of the connection.
    """

    __slots__ = ("method", "path", "query", "sock", "_environ")

    def __init__(self, environ: dict[str, Any]) -> None:
        self._environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]
        pairs = urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""))
        self.query = dict(reversed(pairs))
        self.sock = environ["eventlet.input"].get_socket()

    def header(self, name: str, default: str = "") -> str:
        """Returns a header's value."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return self._environ.get(key, default)

    def body(self) -> bytes:
        """Reads the whole body.

        Raises:
            BadRequestError: The body is too large.
        """
        if int(self._environ.get("CONTENT_LENGTH") or 0) > MAX_BODY_BYTES:
            raise BadRequestError("The body is too large.")
        return self._environ["wsgi.input"].read()

    def json(self) -> dict[str, Any]:
        """Reads the body as a JSON object.

        Raises:
            BadRequestError: The body is something else.
        """
        try:
            value = json.loads(self.body() or b"{}")
        except ValueError as exc:
            raise BadRequestError(f"The body is not JSON: {exc}.") from exc
        if not isinstance(value, dict):
            raise BadRequestError("The body is not a JSON object.")
        return value

    def number(self, name: str, default: int) -> int:
        """Returns a query parameter that is a whole number.

        Raises:
            BadRequestError: The parameter is something else.
        """
        text = self.query.get(name, str(default))
        try:
            return int(text)
        except ValueError:
            message = f"The parameter {name} is not a number: {text}."
            raise BadRequestError(message) from None


class Response:
    """One answer; a body of bytes is sent with its length, others chunked."""

    __slots__ = ("status", "headers", "body")

    def __init__(
        self,
        status: int,
        body: bytes | Iterable[bytes],
        headers: dict[str, str] | None = None,
    ) -> None:
        self.status = status
        self.body = body
        self.headers = headers or {}


class _NoAnswer:
    __slots__ = ()


# Returned by a handler to close the connection without an answer.
NO_ANSWER = _NoAnswer()

Handler = Callable[[Request], Response | _NoAnswer]


def json_response(
    status: int, value: Any, headers: dict[str, str] | None = None
) -> Response:
    """Returns a response whose body is JSON."""
    return Response(
        status,
        json.dumps(value).encode(),
        {"Content-Type": _JSON} | (headers or {}),
    )


def error(status: int, message: str) -> Response:
    """Returns an error response with a message for people."""
    return json_response(status, {"error": message})


def first_half(data: bytes) -> Iterator[bytes]:
    """Yields the first half of a body, then closes the connection."""
    yield data[: len(data) // 2]
    raise AbortError


def application(handler: Handler) -> Callable[..., Iterable[bytes]]:
    """Wraps a handler as a WSGI application."""

    def serve(environ: dict[str, Any], start: Callable) -> Iterable[bytes]:
        try:
            response = handler(Request(environ))
        except BadRequestError as exc:
            response = error(400, str(exc))
        except Exception:
            # The server's own log is off; a fault of the stand-in itself must
            # not pass for one that a test asked for.
            traceback.print_exc()
            response = error(500, "The stand-in has an internal error.")
        if isinstance(response, _NoAnswer):
            wsgi.WSGI_LOCAL.already_handled = True
            return []
        reason = _REASONS.get(response.status, "Unknown")
        start(f"{response.status} {reason}", list(response.headers.items()))
        if isinstance(response.body, bytes):
            return [response.body]
        return response.body

    return serve


def serve(
    handler: Handler,
    listener: listening.Listener,
    *,
    socket_timeout_s: float = SOCKET_TIMEOUT_S,
) -> None:
    """Announces the address on standard output and serves until killed."""
    address = "{}:{}".format(*listener.getsockname()[:2])
    sys.stdout.write(f"listening address={address}\n")
    sys.stdout.flush()
    wsgi.server(
        listener,
        application(handler),
        custom_pool=eventlet.GreenPool(MAX_CONNECTIONS),
        log_output=False,
        debug=False,
        minimum_chunk_size=1,
        socket_timeout=socket_timeout_s,
    )
