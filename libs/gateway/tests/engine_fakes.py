"""Fakes of engines, of the sender to them and of a caller, without a network.

The engines queue calls, run them, fall silent, stop runs for a final copy, and
end, as a test says. Times are those of the event loop.
"""

from __future__ import annotations

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.gateway import sending
from dandelionlead.http import client
from dandelionlead.http import link_activity
from dandelionlead.routing import calls
from dandelionlead.routing import model

EVENT_INTERVAL_S = 0.1
# Longest time for which an engine may work on a run that goes on elsewhere.
MAX_OVERLAP_S = 0.4
_COPY_S = 0.05
_POLL_S = 0.02
_NOT_RUN_STATUS = 503


def make_event(number: int) -> bytes:
    """Returns one event of a generation."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


class EngineRun:
    """One run at an engine.

    Attributes:
        request_id: Id of the call.
        next_event: Number of the next event.
        event_count: Number of the last event.
        begun_s: Time in seconds at which it began here.
        is_stopped: Whether a final copy has stopped the run.
        is_over: Whether the run has ended.
    """

    __slots__ = (
        "request_id",
        "next_event",
        "event_count",
        "begun_s",
        "is_stopped",
        "is_over",
    )

    def __init__(
        self, request_id: str, next_event: int, event_count: int
    ) -> None:
        self.request_id = request_id
        self.next_event = next_event
        self.event_count = event_count
        self.begun_s = clock.boottime()
        self.is_stopped = False
        self.is_over = False


class FakeEngine:
    """One engine.

    Attributes:
        endpoint: Its entry.
        busy_until_s: Time until which it begins no run, in seconds.
        silent_until_s: Time until which its runs send nothing, in seconds.
        is_gone: Whether it has ended.
        sends_length: Whether the end of its streams is explicit; otherwise they
            end with their connections.
        rejects: Whether it rejects calls.
        drops: Whether a run ends when its connection closes.
        final_copy: What becomes of the request for a final copy, which stops
            the run in any case: `answered`, `refused` (503 with the copy),
            `late` (after the time limit) or `lost` (the engine ends). The run
            goes on if it is `unknown` to the engine (404): it was preempted.
        copy: What becomes of the request for a copy that does not stop the
            run: `answered`, `refused` (503), or `late` (after the time limit).
        begun_ids: Ids of the calls that it began to run without a copy.
        runs: Its runs, by request id.
    """

    def __init__(self, endpoint: model.Endpoint) -> None:
        self.endpoint = endpoint
        self.busy_until_s = 0.0
        self.silent_until_s = 0.0
        self.is_gone = False
        self.sends_length = True
        self.rejects = False
        self.drops = True
        self.final_copy = "answered"
        self.copy = "answered"
        self.begun_ids: list[str] = []
        self.runs: dict[str, EngineRun] = {}


class EngineConn:
    """Connection on which an engine sends the events of one run."""

    def __init__(self, engine: FakeEngine, run: EngineRun) -> None:
        self._engine = engine
        self._run = run
        self._next_s = clock.boottime() + EVENT_INTERVAL_S
        self._is_closed = False

    def read_body_part(
        self, deadline_s: float
    ) -> bytes | client.BodyEnd | errors.Failure:
        """Waits for the next event, or for the end of the run."""
        engine, run = self._engine, self._run
        while True:
            now_s = clock.boottime()
            if engine.is_gone and not engine.sends_length:
                # A process that is killed closes its connections in order.
                return client.BODY_END
            if engine.is_gone:
                return _fail("the connection was reset")
            if run.is_stopped:
                if engine.sends_length:
                    return _fail("the connection was closed")
                return client.BODY_END
            if run.next_event > run.event_count:
                run.is_over = True
                return client.BODY_END
            if now_s >= max(self._next_s, engine.silent_until_s):
                data = make_event(run.next_event)
                run.next_event += 1
                self._next_s = now_s + EVENT_INTERVAL_S
                return data
            if now_s >= deadline_s:
                return errors.Failure(errors.Kind.ENDPOINT_SILENT, "silent")
            eventlet.sleep(min(_POLL_S, max(0.001, deadline_s - now_s)))

    def read_body(self, *_: object) -> bytes:
        """Returns the body of a rejection."""
        return b""

    def close(self) -> None:
        """Closes the connection, which ends the run if the engine drops it."""
        if self._engine.drops or self._run.next_event > self._run.event_count:
            self._run.is_over = True


class FakeSender:
    """Sends calls and control requests to fake engines.

    Args:
        engines: The engines by id of their endpoint.
        event_counts: Number of events of each generation, by request id.

    Attributes:
        activity: Records large bodies; there are none.
        sent_ids: Ids of the calls that were sent to an engine.
        overlaps: What two engines have worked on for too long.
    """

    def __init__(
        self, engines: dict[str, FakeEngine], event_counts: dict[str, int]
    ) -> None:
        self.activity = link_activity.LinkActivity()
        self._engines = engines
        self._event_counts = event_counts
        self.sent_ids: set[str] = set()
        self.overlaps: list[str] = []

    def find_absence(
        self, endpoint: model.Endpoint, *_: object
    ) -> errors.Failure | None:
        """Returns a failure if an engine is gone."""
        if self._engines[endpoint.endpoint_id].is_gone:
            return errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, "gone")
        return None

    def send_call(
        self,
        admitted: calls.AdmittedCall,
        endpoint: model.Endpoint,
        head_deadline_s: float,
        *,
        resumption: calls.ResumePoint | None = None,
        backup_engine: model.Endpoint | None = None,
    ) -> sending.EndpointResponse | errors.Failure:
        """Queues a call at an engine until it begins to run."""
        engine = self._engines[endpoint.endpoint_id]
        request_id = admitted.call.request_id
        if engine.is_gone:
            return errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, "gone")
        self.sent_ids.add(request_id)
        if engine.rejects:
            head = calls.EndpointResponseHead(
                _NOT_RUN_STATUS, [], states_not_run=True, implies_not_run=True
            )
            run = EngineRun(request_id, 1, 0)
            return sending.EndpointResponse(
                endpoint, EngineConn(engine, run), head
            )
        while clock.boottime() < engine.busy_until_s:
            if clock.boottime() >= head_deadline_s:
                return errors.Failure(errors.Kind.ENDPOINT_SILENT, "queued")
            eventlet.sleep(_POLL_S)
            if engine.is_gone:
                return _fail("the connection was reset")
        first_event = 1
        if resumption is not None:
            first_event = max(0, resumption.last_event_id) + 1
        if resumption is None or resumption.handle_address is None:
            engine.begun_ids.append(request_id)
        run = EngineRun(request_id, first_event, self._event_counts[request_id])
        engine.runs[request_id] = run
        eventlet.spawn_after(MAX_OVERLAP_S, self._check_overlap, engine, run)
        head = calls.EndpointResponseHead(
            200, [], ends_with_connection=not engine.sends_length
        )
        return sending.EndpointResponse(endpoint, EngineConn(engine, run), head)

    def _check_overlap(self, engine: FakeEngine, run: EngineRun) -> None:
        """Records engines that still work on a run that goes on elsewhere."""
        for other in self._engines.values():
            earlier = other.runs.get(run.request_id)
            if (
                earlier is not None
                and other is not engine
                and not other.is_gone
                and not (earlier.is_over or earlier.is_stopped)
                and earlier.begun_s < run.begun_s
            ):
                self.overlaps.append(
                    f"{run.request_id} at {other.endpoint.endpoint_id}"
                )

    def find_broken_end(
        self, response: sending.EndpointResponse, *_: object, **__: object
    ) -> errors.Failure | None:
        """Returns a failure if the engine has ended and named no length."""
        engine = self._engines[response.endpoint.endpoint_id]
        if response.head.ends_with_connection and engine.is_gone:
            return _fail("the engine has ended")
        return None

    def return_conn(self, response: sending.EndpointResponse) -> None:
        """Does nothing: each call has a connection of its own."""
        response.is_pooled = True

    def send_control_request(
        self,
        endpoint: model.Endpoint,
        request: tuple[str, str, bool],
        timeout_s: float,
        *,
        new_connection_timeout_s: float | None = None,
    ) -> tuple[int, bytes] | errors.Failure:
        """Copies a run, or stops it with a final copy."""
        engine = self._engines[endpoint.endpoint_id]
        request_id, _, stops_source = request
        run = engine.runs.get(request_id)
        if engine.is_gone:
            return errors.Failure(errors.Kind.ENDPOINT_UNREACHABLE, "gone")
        if run is None or run.is_over or run.is_stopped:
            return 404, b""
        if not stops_source:
            if engine.copy == "late":
                eventlet.sleep(timeout_s)
                return errors.Failure(errors.Kind.ENDPOINT_SILENT, "late")
            eventlet.sleep(_COPY_S)
            if engine.copy == "refused":
                return 503, b""
            return (404, b"") if run.is_over else (200, b"copied")
        if engine.final_copy == "unknown":
            return 404, b""
        run.is_stopped = True
        if engine.final_copy == "late":
            eventlet.sleep(timeout_s)
            return errors.Failure(errors.Kind.ENDPOINT_SILENT, "late")
        eventlet.sleep(_COPY_S)
        if engine.final_copy == "lost":
            engine.is_gone = True
            return _fail("the connection was reset")
        return (503 if engine.final_copy == "refused" else 200), b"copied"


class FakeCodec:
    """Encodes control requests as tuples of id, target and purpose."""

    def __init__(self, prepared_calls: dict[bytes, calls.Call]) -> None:
        self._prepared_calls = prepared_calls

    def decode_call(
        self,
        method: bytes,
        target: bytes,
        headers: client.Headers,
        arrived_s: float,
    ) -> calls.Call:
        """Returns the call that a test has prepared for a target."""
        return self._prepared_calls[target]

    def encode_failure_headers(
        self, failure: errors.Failure, request_id: str
    ) -> client.Headers:
        """Returns no headers."""
        return []

    def encode_copy_request(
        self,
        source: model.Endpoint,
        target: model.Endpoint,
        request_id: str,
        *,
        stops_source: bool,
    ) -> tuple[str, str, bool]:
        """Returns the request that the fake sender understands."""
        return request_id, target.endpoint_id, stops_source

    def decode_copy_response(self, body: bytes) -> calls.MemoryCopy | None:
        """Returns a copy if the body names one."""
        return calls.MemoryCopy("handle") if body else None

    def encode_free_copy_request(
        self, source: model.Endpoint, handle: str
    ) -> tuple[str, str, bool]:
        """Returns a request for a run that no engine has."""
        return "", "", False


class FakeResponseWriter:
    """Records what one caller receives.

    Attributes:
        has_started: Whether the head was sent.
        has_ended: Whether the end was sent.
        status: HTTP status; 0 for none.
        body: What was sent of the body.
        ended_s: Time in seconds of the end; 0 for none.
    """

    def __init__(self) -> None:
        self.has_started = False
        self.has_ended = False
        self.status = 0
        self.body = b""
        self.ended_s = 0.0

    def set_write_deadline(self, deadline_s: float) -> None:
        """Does nothing."""

    def send_response(
        self, status: int, headers: client.Headers, body: bytes
    ) -> None:
        """Records a whole response."""
        self.start_response(status, headers)
        self.body = body
        self.end_response()

    def start_response(self, status: int, headers: client.Headers) -> None:
        """Records the head."""
        self.has_started = True
        self.status = status

    def send_data(self, data: bytes) -> None:
        """Records a part of the body."""
        self.body += data

    def end_response(self) -> None:
        """Records the end."""
        self.has_ended = True
        self.ended_s = clock.boottime()


class FakeListener:
    """Counts the calls that are being served as connections.

    Attributes:
        connections: The greenlets that serve calls.
        last_request_s: Time in seconds at which a call was last active.
        is_accepting: Whether new calls can arrive.
    """

    def __init__(self) -> None:
        self.connections: set[object] = set()
        self.last_request_s = clock.boottime()
        self.is_accepting = True

    def count_active_connections(self) -> int:
        """Returns the number of calls that are being served."""
        if self.connections:
            self.last_request_s = clock.boottime()
        return len(self.connections)

    def close_idle_connections(self) -> None:
        """Does nothing: no connection is idle."""

    def abort_connections(self) -> None:
        """Does nothing: the green threads end with the process."""

    def stop_accepting(self) -> None:
        """Lets no more calls arrive."""
        self.is_accepting = False


class FakeLog:
    """Keeps the names of the events."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def event(self, name: str, **_: object) -> None:
        """Records an event."""
        self.names.append(name)


def _fail(reason: str) -> errors.Failure:
    return errors.Failure(errors.Kind.ENDPOINT_FAILED, reason)
