"""Stops runs at their engines, so that they may go on at other engines.

Both engines would work on a run that goes on elsewhere while its present engine
has it. The close of a connection proves nothing: an engine may go on with a run
whose caller is gone. The request for the final copy of a run stops it before
the copy is made, and its response tells whether the engine has the run.
"""

from __future__ import annotations

import eventlet
import eventlet.event

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import platform_codec
from dandelionlead.gateway import runs
from dandelionlead.gateway import sending
from dandelionlead.routing import calls
from dandelionlead.routing import model
from dandelionlead.routing import scheduling

# Longest wait for the response to the request for the final copy.
FINAL_COPY_TIMEOUT_S = 1.0
# An engine that accepts no connection in this time cannot be reached.
_CONNECT_TIMEOUT_S = 0.3
_FREE_COPY_TIMEOUT_S = 0.5
# Statuses of the response to the request for the final copy: the engine runs no
# such run now, or another copy of the run is still in progress.
_NOT_STOPPED_STATUSES = (404, 409)
# Another instance has the address of the engine, which has ended.
_OTHER_INSTANCE_STATUS = 421


class RunStopper:
    """Requests final copies of runs, and frees copies that are not used.

    Args:
        sender: Sends control requests.
        codec: Encodes control requests for the platform.
        scheduler: Tracks the load of the engines.
        log: Receives one line for each stop of a run.
    """

    def __init__(
        self,
        sender: sending.Sender,
        codec: platform_codec.PlatformCodec,
        scheduler: scheduling.Scheduler,
        log: events.Log,
    ) -> None:
        self._sender = sender
        self._codec = codec
        self._scheduler = scheduler
        self._log = log

    def begin_stop(self, run: runs.Run, target: model.Endpoint) -> None:
        """Requests in the background that a run's engine stops the run.

        Sets `run.stop_event`, unless a request for a final copy is in progress.
        The connection is a new one: pooled ones may be as silent as that of the
        run.

        Args:
            run: The run.
            target: Engine that receives the final copy.
        """
        if run.is_stop_pending:
            return
        stop_event = run.stop_event = eventlet.event.Event()
        eventlet.spawn_n(
            self._stop,
            run,
            target,
            stop_event,
            new_connection_timeout_s=_CONNECT_TIMEOUT_S,
        )

    def stop(
        self, run: runs.Run, target: model.Endpoint, **log_fields: object
    ) -> None:
        """Requests that a run's engine stops the run; waits for the response.

        Args:
            run: The run; its `stop_event` is set.
            target: Engine that receives the final copy.
            **log_fields: Further fields of the log line.
        """
        if run.is_stop_pending:
            run.stop_event.wait()
            return
        stop_event = run.stop_event = eventlet.event.Event()
        self._stop(run, target, stop_event, **log_fields)

    def free_copy(self, source: model.Endpoint, handle: str) -> None:
        """Requests in the background that an engine frees an unused copy.

        Args:
            source: Engine that the copy was requested from.
            handle: Identifies the copy at that engine.
        """
        eventlet.spawn_n(self._free_copy, source, handle)

    def _stop(
        self,
        run: runs.Run,
        target: model.Endpoint,
        stop_event: eventlet.event.Event,
        *,
        new_connection_timeout_s: float | None = None,
        **log_fields: object,
    ) -> None:
        """Requests the final copy of a run and sends the result to an event."""
        result = runs.StopResult.UNKNOWN
        try:
            result = self._request_final_copy(
                run, target, new_connection_timeout_s, log_fields
            )
        finally:
            stop_event.send(result)

    def _request_final_copy(
        self,
        run: runs.Run,
        target: model.Endpoint,
        new_connection_timeout_s: float | None,
        log_fields: dict[str, object],
    ) -> runs.StopResult:
        """Sends the request for a final copy and evaluates the response."""
        source = run.endpoint
        started_s = clock.boottime()
        response = self._sender.send_control_request(
            source,
            self._codec.encode_copy_request(
                source, target, run.request_id, stops_source=True
            ),
            FINAL_COPY_TIMEOUT_S,
            new_connection_timeout_s=new_connection_timeout_s,
        )
        status, copy, reason = 0, None, ""
        if isinstance(response, errors.Failure):
            reason = response.reason
            result = _find_result_of_failure(response)
        else:
            status, body = response
            copy = self._codec.decode_copy_response(body)
            result = _find_result(status, copy)
        if copy is not None:
            self._keep_copy(run, source, target, copy)
        self._log.event(
            "run_stopped",
            req=run.request_id,
            source=source.endpoint_id,
            target=target.endpoint_id,
            status=status,
            result=result.value,
            reason=reason,
            stop_ms=int((clock.boottime() - started_s) * 1e3),
            **log_fields,
        )
        return result

    def _keep_copy(
        self,
        run: runs.Run,
        source: model.Endpoint,
        target: model.Endpoint,
        copy: calls.MemoryCopy,
    ) -> None:
        """Sets a run's newest copy; frees it if the run needs it no more."""
        if not run.is_active or not source.is_same_start(run.endpoint):
            self.free_copy(source, copy.handle)
            return
        if run.copy_target is not target:
            run.clear_copy(self._scheduler.load_tracker)
            run.copy_target = target
            run.copy_reservation = self._scheduler.load_tracker.reserve(
                target.endpoint_id, run.memory_tokens, 0
            )
        run.memory_copy = copy

    def _free_copy(self, source: model.Endpoint, handle: str) -> None:
        """Requests that an engine frees a copy; logs a failure."""
        request = self._codec.encode_free_copy_request(source, handle)
        result = self._sender.send_control_request(
            source, request, _FREE_COPY_TIMEOUT_S
        )
        if isinstance(result, errors.Failure):
            self._log.event(
                "copy_not_freed",
                endpoint=source.endpoint_id,
                reason=result.reason,
            )


def _find_result(status: int, copy: calls.MemoryCopy | None) -> runs.StopResult:
    """Returns what the response to the request for the final copy shows.

    Args:
        status: HTTP status of the response.
        copy: The copy that the response names; None if it names none. An engine
            that has stopped the run names its copy even if the other engine
            had no room for it.
    """
    if status == 200 or copy is not None:
        return runs.StopResult.STOPPED
    if status in _NOT_STOPPED_STATUSES:
        return runs.StopResult.NOT_STOPPED
    if status == _OTHER_INSTANCE_STATUS:
        return runs.StopResult.UNREACHABLE
    return runs.StopResult.UNKNOWN


def _find_result_of_failure(failure: errors.Failure) -> runs.StopResult:
    """Returns what is known if there is no response."""
    if failure.kind is errors.Kind.ENDPOINT_UNREACHABLE:
        return runs.StopResult.UNREACHABLE
    return runs.StopResult.UNKNOWN
