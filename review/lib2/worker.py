"""Stand-in of a worker, for model runs and for plain requests.

    worker.py IP:PORT ID OPTIONS

OPTIONS is a JSON object:
  framing       "chunked", or "connection": a stream that ends with its channel
  events        events of a whole stream
  interval_s    time between two events
  pause_at      number of the event before which a run is preempted; 0: never
  pause_s       time until it has been read in again
  drops         whether a run ends when its channel closes
  failing       prefix of the paths whose requests it fails, and their share
  work_s        time that a plain request takes

It writes one line for each request that arrives, begins and ends to its
standard output, with the seconds of the monotonic clock.
"""

from __future__ import annotations

import hashlib
import json
import random
import socket
import sys
import threading
import time

_lock = threading.Lock()


def log(*words: object) -> None:
    """Writes a line with the time."""
    with _lock:
        print(f"{time.monotonic():.4f}", *words, flush=True)


class WorkerServer:
    """Serves the channels of one worker."""

    def __init__(self, address: str, worker_id: str, options: dict) -> None:
        self.address = address
        self.worker_id = worker_id
        self.options = options
        # Events that have arrived of each run whose memory is copied here.
        self.copies: dict[str, int] = {}
        host, _, port = address.partition(":")
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind((host, int(port)))
        self._sock.listen(256)

    def serve(self) -> None:
        """Accepts channels without end."""
        while True:
            sock, _ = self._sock.accept()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=_Channel(self, sock).serve, daemon=True
            ).start()


class _Channel:
    """One channel, which carries one request at a time."""

    def __init__(self, server: WorkerServer, sock: socket.socket) -> None:
        self._server = server
        self._options = server.options
        self._sock = sock
        self._unread = b""

    def serve(self) -> None:
        try:
            while self._serve_request():
                pass
        except OSError:
            pass
        finally:
            self._sock.close()

    def _serve_request(self) -> bool:
        """Serves one request; returns whether the channel stays open."""
        while b"\r\n\r\n" not in self._unread:
            data = self._sock.recv(65_536)
            if not data:
                return False
            self._unread += data
        head, _, self._unread = self._unread.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        size = int(headers.get("content-length", "0"))
        while len(self._unread) < size:
            data = self._sock.recv(65_536)
            if not data:
                return False
            self._unread += data
        body, self._unread = self._unread[:size], self._unread[size:]
        return self._answer(method, path, headers, body)

    def _answer(
        self, method: str, path: str, headers: dict, body: bytes
    ) -> bool:
        if path == "/report":
            return self._send_json(200, {"stage": "both", "queued": 0})
        if path == "/health":
            return self._send_json(200, {})
        if path == "/standin-memory":
            fields = json.loads(body)
            self._server.copies[fields["id"]] = fields["events"]
            return self._send_json(200, {})
        if path.startswith("/kv-"):
            return self._send_json(404, {})
        request_id = headers.get("x-dandelionlead-request-id", "")
        if headers.get("x-dandelionlead-expect-instance") not in (
            None,
            self._server.worker_id,
        ):
            log("other", request_id)
            return self._reject(421, request_id)
        digest = hashlib.sha256(body).hexdigest()
        log("arrives", request_id, method, path, digest, body.hex() or "-")
        if "x-dandelionlead-token-usage" in headers:
            return self._stream(request_id, headers)
        return self._answer_plain(request_id, path)

    def _answer_plain(self, request_id: str, path: str) -> bool:
        log("begins", request_id)
        time.sleep(self._options.get("work_s", 0.02))
        failing_prefix, share = self._options.get("failing", ("", 0.0))
        fails = (
            bool(failing_prefix)
            and path.startswith(failing_prefix)
            and random.random() < share
        )
        status = 500 if fails else 200
        log("ends", request_id, status)
        body = b"x" * 800
        self._sock.sendall(
            _make_head(
                status,
                *self._make_signature(request_id),
                f"Content-Length: {len(body)}",
            )
            + body
        )
        return True

    def _stream(self, request_id: str, headers: dict) -> bool:
        first = int(headers.get("last-event-id", "0")) + 1
        if "kv-from" in headers and request_id not in self._server.copies:
            return self._reject(503, request_id)
        is_chunked = self._options.get("framing", "chunked") == "chunked"
        total = self._options.get("events", 60)
        framing = ("Transfer-Encoding: chunked",) if is_chunked else ()
        log("begins", request_id, first)
        self._sock.sendall(
            _make_head(
                200,
                "Content-Type: text/event-stream",
                *self._make_signature(request_id),
                *framing,
            )
        )
        is_channel_open = True
        event = first - 1
        backup = headers.get("x-dandelionlead-kv-backup")
        for event in range(first, total + 1):
            self._generate(request_id, event, first)
            if backup and event % 2 == 0:
                self._copy_memory(backup, request_id, event)
            text = b"id: %d\ndata: token %d\n\n" % (event, event)
            if is_chunked:
                text = b"%x\r\n%b\r\n" % (len(text), text)
            if is_channel_open:
                is_channel_open = self._send_event(text)
                if not is_channel_open:
                    log("channel-closed", request_id, event)
            if not is_channel_open and self._options.get("drops", True):
                break
        log("ends", request_id, event)
        if not is_channel_open:
            return False
        if is_chunked:
            self._sock.sendall(b"0\r\n\r\n")
        return is_chunked

    def _generate(self, request_id: str, event: int, first: int) -> None:
        """Takes the time of the next event."""
        time.sleep(self._options.get("interval_s", 0.05))
        if event == self._options.get("pause_at", 0) and event != first:
            log("preempted", request_id, event)
            time.sleep(self._options.get("pause_s", 0.0))
            log("read-in-again", request_id, event)

    def _send_event(self, text: bytes) -> bool:
        """Sends an event; returns False if the requester closed the channel."""
        try:
            self._sock.setblocking(False)
            is_closed = self._sock.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            is_closed = False
        except OSError:
            is_closed = True
        finally:
            self._sock.setblocking(True)
        if is_closed:
            return False
        try:
            self._sock.sendall(text)
        except OSError:
            return False
        return True

    def _copy_memory(self, target: str, request_id: str, event: int) -> None:
        """Sends the memory of a run to the worker that keeps its backup."""
        body = json.dumps({"id": request_id, "events": event}).encode()
        head = (
            f"POST /standin-memory HTTP/1.1\r\nHost: {target}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        host, _, port = target.partition(":")
        try:
            with socket.create_connection((host, int(port)), 0.5) as sock:
                sock.sendall(head.encode() + body)
                sock.recv(4_096)
        except OSError:
            pass  # The worker with the backup has ended.

    def _reject(self, status: int, request_id: str) -> bool:
        log("rejects", request_id, status)
        self._sock.sendall(
            _make_head(
                status,
                "X-Dandelionlead-Not-Executed: 1",
                f"X-Dandelionlead-Request-Id: {request_id}",
                "Content-Length: 0",
            )
        )
        return True

    def _make_signature(self, request_id: str) -> tuple[str, str]:
        return (
            f"X-Dandelionlead-Request-Id: {request_id}",
            f"X-Dandelionlead-Response-Signature: {self._server.worker_id}",
        )

    def _send_json(self, status: int, fields: dict) -> bool:
        body = json.dumps(fields).encode()
        self._sock.sendall(
            _make_head(
                status,
                "Content-Type: application/json",
                f"Content-Length: {len(body)}",
            )
            + body
        )
        return True


def _make_head(status: int, *lines: str) -> bytes:
    text = [f"HTTP/1.1 {status} Status", *lines]
    return "\r\n".join(text).encode() + b"\r\n\r\n"


if __name__ == "__main__":
    WorkerServer(sys.argv[1], sys.argv[2], json.loads(sys.argv[3])).serve()
