"""Measures the CPU time of two HTTP layers that forward requests.

One layer is `dandelionlead.http` (h11 on eventlet's sockets), the other is
eventlet's WSGI server with urllib3. Both forward the same requests to the same
kind of endpoint; callers and endpoint run in processes of their own. Prints the
CPU time in microseconds per short request and per event of a stream. The
command `log` prints the CPU time in microseconds per log line.
"""

from __future__ import annotations

import socket
import subprocess
import sys
import time
import warnings
from collections.abc import Callable
from typing import Literal

# Eventlet is deprecated; docs/style.md explains why this project uses it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import cyclopts  # noqa: E402
import eventlet  # noqa: E402
import eventlet.green.socket as green_socket  # noqa: E402
import eventlet.green.subprocess as green_subprocess  # noqa: E402
import eventlet.wsgi as wsgi  # noqa: E402

from dandelionlead.core import clock  # noqa: E402
from dandelionlead.core import events  # noqa: E402
from dandelionlead.http import client  # noqa: E402
from dandelionlead.http import limits  # noqa: E402
from dandelionlead.http import listener  # noqa: E402
from dandelionlead.http import request_reader  # noqa: E402
from dandelionlead.http import server  # noqa: E402

_REQUEST_COUNT = 3_000
_STREAM_COUNT = 20
_EVENT_COUNT = 150
_EVENT_PAUSE_S = 0.01
_CALLER_COUNT = 8
_TIMEOUT_S = 30.0
_HOST = "127.0.0.1"
_BODY = b"x" * 800
_EVENT = b"id: 1\ndata: " + b"t" * 40 + b"\n\n"

# Fields of the log line of a call, besides its request id.
_LOG_FIELDS = {
    "route": "r-xebxshi",
    "cfg": 20,
    "status": 200,
    "endpoint": "i-ca1f9e5f14",
    "took_ms": 24,
    "tries": 1,
}

_app = cyclopts.App(name="measure_path", help=__doc__, version_flags=())


class _Forwarder(server.Handler):
    """Forwards each request to one endpoint with `dandelionlead.http`."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._idle_connections: list[client.ClientConnection] = []

    def handle(
        self,
        request: request_reader.Request,
        response_writer: server.ResponseWriter,
    ) -> None:
        deadline_s = clock.boottime() + _TIMEOUT_S
        conn = (
            self._idle_connections.pop()
            if self._idle_connections
            else self._connect()
        )
        headers = [(b"Host", b"e")]
        conn.send_request(
            request.method, request.target, headers, b"", _TIMEOUT_S
        )
        head = conn.read_head(deadline_s)
        if request.target == b"/stream":
            response_writer.start_response(
                200, [(b"Content-Type", b"text/event-stream")]
            )
            while (
                data := conn.read_body_part(deadline_s)
            ) is not client.BODY_END:
                response_writer.send_data(data)
            response_writer.end_response()
        else:
            body = conn.read_body(deadline_s, 10_000)
            response_writer.send_response(head.status, [], body)
        if conn.try_prepare_reuse():
            self._idle_connections.append(conn)

    def _connect(self) -> client.ClientConnection:
        return client.connect(self._target, _TIMEOUT_S)

    def get_request_limits(self) -> limits.RequestLimits:
        return limits.RequestLimits()

    def is_closing(self) -> bool:
        return False


def _serve_h11(sock: socket.socket, target: tuple[str, int]) -> None:
    """Closes a listening socket and serves on its address.

    `Listener` opens a listening socket of its own.
    """
    address = sock.getsockname()
    sock.close()
    listener.Listener(address, _Forwarder(target)).serve_forever()


def _serve_wsgi(sock: socket.socket, target: tuple[str, int]) -> None:
    """Serves on a listening socket."""
    urllib3 = eventlet.import_patched("urllib3")
    pool = urllib3.HTTPConnectionPool(*target, maxsize=64, retries=False)

    def app(environ: dict[str, object], start_response: Callable) -> object:
        path = environ["PATH_INFO"]
        response = pool.request("GET", path, preload_content=False)
        if path == "/stream":
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            return response.stream(65_536)
        body = response.read()
        response.release_conn()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    wsgi.server(sock, app, log_output=False)


# Functions that serve on a listening socket and forward to a target address.
_LAYERS = {"h11": _serve_h11, "wsgi": _serve_wsgi}


@_app.command(show=False)
def endpoint(port: int) -> None:
    """Runs an endpoint that sends fixed responses.

    Args:
        port: Port to listen on.
    """
    sock = eventlet.listen((_HOST, port))
    plain_response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(
        _BODY
    )
    plain_response += _BODY
    event_chunk = b"%x\r\n%s\r\n" % (len(_EVENT), _EVENT)
    while True:
        conn, _ = sock.accept()
        eventlet.spawn_n(_serve_connection, conn, plain_response, event_chunk)


def _serve_connection(
    conn: socket.socket, plain_response: bytes, event_chunk: bytes
) -> None:
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    while data := conn.recv(65_536):
        if b"/stream" not in data:
            conn.sendall(plain_response)
            continue
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(_EVENT_COUNT):
            conn.sendall(event_chunk)
            eventlet.sleep(_EVENT_PAUSE_S)
        conn.sendall(b"0\r\n\r\n")


@_app.command(show=False)
def call(port: int, path: str, count: int) -> None:
    """Sends requests from several concurrent callers.

    Each stream has a caller of its own.

    Args:
        port: Port of the HTTP layer.
        path: Path of the requests.
        count: Number of requests of all callers together; rounded down to a
            multiple of the number of callers.
    """
    pool = eventlet.GreenPool(_CALLER_COUNT if path != "/stream" else count)
    request_counts = [count // pool.size] * pool.size
    for request_count in request_counts:
        pool.spawn_n(_send_requests, port, path, request_count)
    pool.waitall()


def _send_requests(port: int, path: str, count: int) -> None:
    conn = green_socket.create_connection((_HOST, port))
    request = b"GET %s HTTP/1.1\r\nHost: e\r\n\r\n" % path.encode()
    for _ in range(count):
        conn.sendall(request)
        data = b""
        while not _is_response_complete(data, path):
            data += conn.recv(65_536)


def _is_response_complete(data: bytes, path: str) -> bool:
    if path == "/stream":
        return data.endswith(b"0\r\n\r\n")
    return data.endswith(_BODY)


@_app.command(show=False)
def layer(name: Literal["h11", "wsgi"]) -> None:
    """Runs one HTTP layer in this process and prints its CPU time.

    Args:
        name: Name of the layer: `h11` (`dandelionlead.http`) or `wsgi`.
    """
    target = (_HOST, _find_free_port())
    sock = eventlet.listen((_HOST, 0))
    port = sock.getsockname()[1]
    child = subprocess.Popen(
        [sys.executable, __file__, "endpoint", str(target[1])]
    )
    try:
        eventlet.spawn_n(_LAYERS[name], sock, target)
        eventlet.sleep(1.5)
        _measure_cpu_us(port, "/warm", 200)
        plain_us = (
            _measure_cpu_us(port, "/plain", _REQUEST_COUNT) / _REQUEST_COUNT
        )
        stream_us = _measure_cpu_us(port, "/stream", _STREAM_COUNT) / (
            _STREAM_COUNT * _EVENT_COUNT
        )
        print(
            f"{name}: {plain_us:.0f} us per request, "
            f"{stream_us:.0f} us per event"
        )
    finally:
        child.kill()
        child.wait()


@_app.command
def log(lines: int = 50_000) -> None:
    """Measures the CPU time per log line while a reader empties the pipe.

    Args:
        lines: Number of lines to write.
    """
    reader = subprocess.Popen(
        ["cat"], stdin=subprocess.PIPE, stdout=subprocess.DEVNULL
    )
    handler = events.PipeHandler(
        reader.stdin.fileno(), max_lines_per_s=1e9, max_burst_lines=1e9
    )
    event_log = events.Log("measured")
    try:
        with handler.applicationbound():
            cpu_start_s = time.process_time()
            for number in range(lines):
                event_log.event("call", req=f"{number:016x}", **_LOG_FIELDS)
            cpu_s = time.process_time() - cpu_start_s
        print(
            f"log: {cpu_s * 1e6 / lines:.1f} us per line, "
            f"{handler.dropped_total} of {lines} dropped"
        )
    finally:
        reader.stdin.close()
        reader.wait()


def _measure_cpu_us(port: int, path: str, count: int) -> float:
    """Returns the CPU time of this process while a child sends requests.

    Args:
        port: Port of the HTTP layer in this process.
        path: Path of the requests.
        count: Number of requests.

    Returns:
        The CPU time in microseconds.
    """
    cpu_start_s = time.process_time()
    args = [sys.executable, __file__, "call", str(port), path, str(count)]
    process = green_subprocess.Popen(args)
    process.wait()
    return (time.process_time() - cpu_start_s) * 1e6


def _find_free_port() -> int:
    with socket.socket() as sock:
        sock.bind((_HOST, 0))
        return sock.getsockname()[1]


@_app.default
def run(runs: int = 3) -> None:
    """Measures both layers in turn, each time in a new process.

    Args:
        runs: Number of measurements per layer.
    """
    for _ in range(runs):
        for name in _LAYERS:
            subprocess.run([sys.executable, __file__, "layer", name])


if __name__ == "__main__":
    _app()
