"""Workers of the soak run."""

from __future__ import annotations

import contextlib
import json
import time
from collections.abc import Callable

import eventlet
import fakes
import h11
import harness
import soak_leaving
import soak_proxy

from dandelionlead.core import clock
from dandelionlead.http import client
from dandelionlead.http import disconnect_watcher
from dandelionlead.http import listener
from dandelionlead.http import request_reader
from dandelionlead.http import server

# Port of all workers.
PORT = 9000
_JSON_CONTENT_TYPE = (b"Content-Type", b"application/json")
_NOT_EXECUTED = (b"X-Dandelionlead-Not-Executed", b"1")
# Priority of each run in a report; calls that name none have this one.
_PRIORITY = 5
_LEAVING = (b"Server-Leaving", b"1")
# Shortest time from the first notice that an engine leaves until it exits.
_NOTICE_S = 1.5
# One of so many streams of a worker has neither a length nor chunks.
UNFRAMED_EVERY = 3


class SoakWorker(fakes.FakeWorker):
    """A worker behind a proxy; it reports each request to the soak run.

    Attributes:
        zone: Availability zone.
        leaving_since_s: When the worker began to leave, in seconds of
            `clock.boottime`; infinite while it stays.
        proxy: The proxy through which entries reach the worker.
        born_ms: When its process started, in milliseconds of Unix time.
        is_dead: Whether its process has ended and has not started again.
        is_leaving: Whether it ends its open runs and exits with the last one.
        rejects_copies: Whether it rejects calls to copy a run that goes on.
    """

    def __init__(
        self,
        record_arrival: Callable[[SoakWorker, str, bytes], None],
        service: str,
        zone: str,
        number: int,
        stream_length: int,
        path_count: int = 0,
    ) -> None:
        """Starts a worker.

        Args:
            record_arrival: Called with the worker, and with id and target of
                each request that the worker begins to run.
            service: Name of its service.
            zone: Availability zone.
            number: Number for its id.
            stream_length: Number of events in a stream.
            path_count: Number of further paths through its proxy.
        """
        self.zone = zone
        self.leaving_since_s = float("inf")
        self._record_arrival = record_arrival
        self._stream_count = 0
        self._open_streams: dict[str, _StreamWriter] = {}
        # Both are set while the worker leaves.
        self._record_end: _EndRecorder | None = None
        self._exit: Callable[[], None] | None = None
        self._exit_text = ""
        self._exits_after_s = float("inf")
        self._leaving_ends: list[soak_leaving.StreamEnd] = []
        self.is_leaving = False
        self.rejects_copies = False
        self.born_ms = _read_unix_ms()
        self.is_dead = False
        super().__init__((harness.next_ip(), PORT), f"w{number}", service)
        self.stream_length = stream_length
        self.proxy = soak_proxy.FaultProxy(self.address, path_count)
        fakes.WORKERS_BY_ADDRESS[f"{self.proxy.address[0]}:{PORT}"] = self

    @property
    def is_busy(self) -> bool:
        """Whether it has a stream that has not ended."""
        return bool(self._open_streams)

    def make_entry(self, state: str = "ready", **fields: object) -> dict:
        """Returns the value of the worker's row in the table `servers`."""
        own_fields = {
            "address": f"{self.proxy.address[0]}:{PORT}",
            "zone": self.zone,
            "born": self.born_ms,
        }
        return super().make_entry(state, **(own_fields | fields))

    def end_process(
        self, acceptance: soak_proxy.Acceptance, *, must_end_chunks: bool
    ) -> dict[str, str]:
        """Ends as a process that dies: its connections are closed in order.

        So each stream without a length ends like a complete one.

        Args:
            acceptance: What its address does with new connections afterwards.
            must_end_chunks: Whether each stream in chunks gets its last chunk
                before the connection is closed.

        Returns:
            How each of its streams has ended, by request id.
        """
        self.is_dead = True
        for end in self._leaving_ends:
            end.excuse = end.excuse or "a crash of the engine"
        self._leaving_ends.clear()
        ends: dict[str, str] = {}
        for request_id, response_writer in self._open_streams.items():
            end = "with its connection"
            if isinstance(response_writer, server.ResponseWriter):
                end = _end_chunks(response_writer, must_end=must_end_chunks)
            ends[request_id] = (
                f"{self.worker_id} ended it early, {end}; its address then:"
                f" {acceptance.value}"
            )
        self._listener.close()
        self.proxy.set_acceptance(acceptance)
        return ends

    def leave(
        self,
        acceptance: soak_proxy.Acceptance,
        record_end: _EndRecorder,
        record_exit: Callable[[], None],
        *,
        has_row_notice: bool,
    ) -> None:
        """Leaves in the ordinary course: exits when its last run has ended.

        Args:
            acceptance: What its address does with new connections afterwards.
            record_end: Called with the request id and the end of each stream
                that it ends until then.
            record_exit: Called after its process has ended.
            has_row_notice: Whether its row states that it leaves. Otherwise,
                the head of its next stream is the first notice.
        """

        def end_process() -> None:
            self._leaving_ends.clear()
            self.end_process(acceptance, must_end_chunks=False)
            record_exit()

        self.is_leaving = True
        self.notice_headers = [_LEAVING]
        self._record_end = record_end
        self._exit = end_process
        self._exit_text = f"{self.worker_id} left; then: {acceptance.value}"
        if has_row_notice:
            self.leaving_since_s = clock.boottime()
            self._start_notice()
        else:
            eventlet.spawn_n(self._wait_for_notice, set(self._open_streams))

    def start_process(self, worker_id: str) -> None:
        """Starts again after its end, without anything of before."""
        self.worker_id = worker_id
        self.born_ms = _read_unix_ms()
        self.is_dead = False
        self.behaviour = "ok"
        self.is_leaving = self.rejects_copies = False
        self.leaving_since_s = self._exits_after_s = float("inf")
        self.notice_headers = []
        self.event_interval_s = fakes.EVENT_INTERVAL_S
        self.copied_events.clear()
        self.migrated_request_ids.clear()
        self._listener = listener.Listener(self.address, self)
        eventlet.spawn_n(self._listener.serve_forever)
        self.proxy.mode = "pass"
        self.proxy.set_acceptance(soak_proxy.Acceptance.FORWARD)

    def handle(
        self,
        request: request_reader.Request,
        response_writer: server.ResponseWriter,
    ) -> None:
        headers = {name.lower(): value for name, value in request.headers}
        own_id = self.worker_id.encode()
        expected_id = headers.get(b"x-dandelionlead-expect-instance", own_id)
        if request.target == b"/kv-move" and self._is_copy_rejected(request):
            response_writer.send_response(503, [_JSON_CONTENT_TYPE], b"{}")
        elif request.target not in (b"/report", b"/health"):
            super().handle(request, response_writer)
        elif expected_id != own_id:
            response_writer.send_response(421, [_NOT_EXECUTED], b"")
        elif request.target == b"/report":
            response_writer.send_response(
                200, [_JSON_CONTENT_TYPE], self._make_report()
            )
        else:
            identity = (b"X-Dandelionlead-Instance-Id", own_id)
            response_writer.send_response(
                503 if self._has_state_draining() else 200, [identity], b""
            )

    def is_closing(self) -> bool:
        return self.is_leaving

    def _is_copy_rejected(self, request: request_reader.Request) -> bool:
        return self.rejects_copies and not json.loads(request.body)["last"]

    def _has_state_draining(self) -> bool:
        return self.is_leaving or self.leaving_since_s < float("inf")

    def _make_report(self) -> bytes:
        runs = [
            [request_id, event_count, event_count, _PRIORITY]
            for request_id, event_count in self.events_sent.items()
        ]
        fields = {
            "born": self.born_ms,
            "state": "draining" if self._has_state_draining() else "ready",
            "running": len(runs),
            "runs": runs,
        }
        return json.dumps(fields).encode()

    def _send_response(
        self,
        request: request_reader.Request,
        request_id: str,
        headers: dict[str, str],
        response_writer: server.ResponseWriter,
    ) -> None:
        self._record_arrival(self, request_id, request.target)
        if b"/stream/" not in request.target:
            super()._send_response(
                request, request_id, headers, response_writer
            )
            return
        self._stream_count += 1
        if self._stream_count % UNFRAMED_EVERY == 0:
            response_writer = _UnframedWriter(response_writer)
        self._open_streams[request_id] = response_writer
        try:
            super()._send_response(
                request, request_id, headers, response_writer
            )
            if self.is_leaving and not self.is_dead:
                end = self._make_stream_end(request_id, response_writer)
                self._leaving_ends.append(end)
                self._record_end(request_id, end)
        finally:
            self._open_streams.pop(request_id, None)
            self._exit_if_idle()

    def _wait_for_notice(self, earlier_ids: set[str]) -> None:
        """Waits until the response to a later stream has stated the notice."""
        while not self.is_dead:
            has_stated = any(
                response_writer.has_started and request_id not in earlier_ids
                for request_id, response_writer in self._open_streams.items()
            )
            if has_stated and self.proxy.is_passing:
                self._start_notice()
                return
            eventlet.sleep(fakes.EVENT_INTERVAL_S)

    def _start_notice(self) -> None:
        self._exits_after_s = clock.boottime() + _NOTICE_S
        eventlet.spawn_after(_NOTICE_S, self._exit_if_idle)

    def _exit_if_idle(self) -> None:
        """Ends the process if it leaves and has no run any more."""
        is_due = clock.boottime() >= self._exits_after_s
        if is_due and not self.is_busy and not self.is_dead:
            self._exit()

    def _make_stream_end(
        self, request_id: str, response_writer: _StreamWriter
    ) -> soak_leaving.StreamEnd:
        excuse = ""
        if request_id in self.migrated_request_ids:
            excuse = "a final copy"
        elif not self.proxy.is_passing:
            excuse = "a fault on the path"
        return soak_leaving.StreamEnd(
            self._exit_text,
            clock.boottime(),
            header_notice_s=(
                self._exits_after_s - _NOTICE_S
                if self.leaving_since_s == float("inf")
                else float("inf")
            ),
            is_whole=self.events_sent[request_id] == self.stream_length,
            has_last_chunk=isinstance(response_writer, server.ResponseWriter)
            and response_writer.has_ended,
            excuse=excuse,
        )


class _UnframedWriter:
    """Writes a response that ends with its connection.

    Args:
        response_writer: Writer of the response; its framing is not used.
    """

    def __init__(self, response_writer: server.ResponseWriter) -> None:
        self._response_writer = response_writer
        self._conn = response_writer._conn
        self.has_started = False

    def send_response(
        self, status: int, headers: client.Headers, body: bytes
    ) -> None:
        """Sends a whole response with its length."""
        self._response_writer.send_response(status, headers, body)

    def start_response(self, status: int, headers: client.Headers) -> None:
        """Sends the head of a response without a length."""
        self.has_started = True
        lines = [b"HTTP/1.1 %d Status" % status]
        lines += [b"%s: %s" % pair for pair in headers]
        self._conn.write(b"\r\n".join([*lines, b"Connection: close", b"", b""]))

    def send_data(self, data: bytes) -> None:
        """Sends bytes of the body."""
        self._conn.write(data)

    def end_response(self) -> None:
        """Does nothing: the connection is closed when the handler returns."""


_StreamWriter = server.ResponseWriter | _UnframedWriter
_EndRecorder = Callable[[str, soak_leaving.StreamEnd], None]


def _end_chunks(
    response_writer: server.ResponseWriter, *, must_end: bool
) -> str:
    """Sends the last chunk if it must; returns how the stream has ended."""
    if not must_end or not response_writer.has_started:
        return "without a last chunk"
    # The caller may have disconnected, or the stream may be whole.
    with contextlib.suppress(
        disconnect_watcher.CallerDisconnectedError, h11.LocalProtocolError
    ):
        response_writer.end_response()
    return "with a last chunk"


def _read_unix_ms() -> int:
    return int(time.time() * 1e3)
