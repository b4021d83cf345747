"""WSGI server whose parser errors come from the error table as well."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet import wsgi

from dandelionlead.core import errors
from dandelionlead.entry import problems

# Bounds on a caller that sends its headers slowly or not at all.
HEADER_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 30.0
# A caller that takes no bytes for this long loses its connection; it can
# resume the stream.
WRITE_TIMEOUT_S = 20.0
MAX_REQUEST_LINE_BYTES = 8192
MAX_CONNECTIONS = 4096


class Protocol(wsgi.HttpProtocol):
    """Parses requests; replaces the library's own error answers."""

    _parser_output: _ParserOutput | None = None

    def handle_one_request(self) -> None:
        """Serves one request or answers why it could not be parsed."""
        wfile = self.wfile
        self._parser_output = _ParserOutput(wfile)
        self.wfile = self._parser_output
        try:
            super().handle_one_request()
        except eventlet.Timeout:
            self._answer(
                wfile,
                errors.Kind.REQUEST_TIMEOUT,
                f"the headers did not arrive within {HEADER_TIMEOUT_S:g} s",
            )
        finally:
            self.wfile = wfile
        if self._parser_output.written:
            self._answer(
                wfile,
                errors.Kind.BAD_HEADER,
                "the request line or a header is malformed or too long",
            )

    def parse_request(self) -> bool:
        """Parses the headers within a bound of time."""
        with eventlet.Timeout(HEADER_TIMEOUT_S):
            parsed = super().parse_request()
        if parsed and self.headers.defects:
            # The library drops all headers after a malformed line.
            self.send_error(400)
            return False
        return parsed

    def handle_one_response(self) -> None:
        """Runs the application with the real output."""
        if self._parser_output is not None:
            self.wfile = self._parser_output.real
        super().handle_one_response()

    def _answer(self, wfile: Any, kind: errors.Kind, reason: str) -> None:
        self.close_connection = 1
        failure = errors.Failure(kind, reason)
        status, headers, body = problems.render(failure, request_id="")
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        try:
            wfile.write("\r\n".join(lines).encode() + body)
            wfile.flush()
        except OSError:
            return


class _ParserOutput:
    """Stands for the output while a request is parsed; keeps errors back."""

    def __init__(self, real: Any) -> None:
        self.real = real
        self.written = False

    def write(self, data: bytes) -> int:
        self.written = True
        return len(data)

    def writelines(self, lines: list[bytes]) -> None:
        self.written = bool(lines)

    def flush(self) -> None:
        return

    def __getattr__(self, name: str) -> Any:
        return getattr(self.real, name)


def serve(
    listener: socket.socket, application: Callable[..., Any], pool: Any
) -> None:
    """Serves callers until the calling green thread is killed."""
    wsgi.server(
        listener,
        application,
        log_output=False,
        log=_SilentLog(),
        debug=False,
        protocol=Protocol,
        custom_pool=pool,
        minimum_chunk_size=1,
        keepalive=IDLE_TIMEOUT_S,
        socket_timeout=WRITE_TIMEOUT_S,
        url_length_limit=MAX_REQUEST_LINE_BYTES,
    )


class _SilentLog:
    """Drops the server's own lines; events are logged by the application."""

    def write(self, _: str) -> None:
        return
