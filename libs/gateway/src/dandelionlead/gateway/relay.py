"""Relays one generation's event stream to its caller.

If the engine that runs the generation fails or is leaving, the relay resumes
the run at another engine, from a copy or a backup of its KV cache or as a new
run, so that the caller receives one uninterrupted stream.
"""

from __future__ import annotations

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import attempt_limit
from dandelionlead.gateway import call_progress
from dandelionlead.gateway import crash_detection
from dandelionlead.gateway import runs
from dandelionlead.gateway import sending
from dandelionlead.gateway import stream_checks
from dandelionlead.gateway import supervisor
from dandelionlead.http import client
from dandelionlead.http import server
from dandelionlead.routing import calls
from dandelionlead.routing import loads
from dandelionlead.routing import model
from dandelionlead.routing import scheduling

# A run whose KV cache is also on another engine is resumed there once its
# present engine has sent nothing for this multiple of the mean gap between
# writes, clamped to the two limits below. MIN_SILENCE_S is low enough that the
# whole gap stays shorter than what callers count as a stall.
SILENCE_GAP_FACTOR = 3.0
MIN_SILENCE_S = 0.12
MAX_SILENCE_S = 0.8
# Shortest wait of one read, so that what has arrived already is read even if
# the engine counts as silent.
_MIN_READ_S = 0.01
# Weight of the newest gap in the moving average of gaps.
_GAP_WEIGHT = 0.1
# Longest wait for the response to the request for the final copy once the
# stream has ended. The engine ends the stream and responds at nearly the same
# time.
_STOP_TIMEOUT_S = 1.0
# Longest wait for the response head of an engine that resumes a run.
_RESUME_TIMEOUT_S = 1.5
# Time for which a silent engine keeps its run while another engine is asked to
# resume it. It is shorter than the time for which both may work on the run.
_MAX_OVERLAP_S = 0.35
# Limit on the attempts to resume one run.
_MAX_RESUMPTIONS = 12


class Outcome:
    """Progress and end of a relayed generation.

    Attributes:
        is_complete: Whether the caller received the stream up to its end.
        failure: Why an engine's response last broke off; None if no response
            broke off.
        event_count: Number of events that were forwarded.
        first_event_s: Instant at which the first event was forwarded, in
            seconds; 0 if there was none.
        longest_gap_s: Longest time between two writes to the caller, in
            seconds.
        resumption_count: Number of attempts to resume the run at an engine,
            including those that failed.
        last_endpoint_id: Id of the last engine that the generation was assigned
            to; empty until the generation ends.
    """

    __slots__ = (
        "is_complete",
        "failure",
        "event_count",
        "first_event_s",
        "longest_gap_s",
        "resumption_count",
        "last_endpoint_id",
    )

    def __init__(self) -> None:
        self.is_complete = False
        self.failure: errors.Failure | None = None
        self.event_count = 0
        self.first_event_s = 0.0
        self.longest_gap_s = 0.0
        self.resumption_count = 0
        self.last_endpoint_id = ""


class Relay:
    """Forwards one generation from its first response head to its end.

    Args:
        sender: Sends calls to engines.
        scheduler: Chooses engines and tracks their load and health.
        run_supervisor: Assigns backups to the run and migrates it.
        log: Receives one line for each resumption and each lost run.
        run: The generation; its call has been sent to `run.endpoint`.
        response_writer: Writes the response to the caller.
        request_crashes: Receives evidence on whether the call crashes engines.
        progress: Receives the engines that may have run the call.
        limit: Limits the engines on which the call may run.

    Attributes:
        outcome: Progress of the generation so far.
    """

    def __init__(
        self,
        sender: sending.Sender,
        scheduler: scheduling.Scheduler,
        run_supervisor: supervisor.RunSupervisor,
        log: events.Log,
        run: runs.Run,
        response_writer: server.ResponseWriter,
        request_crashes: crash_detection.RequestCrashes,
        progress: call_progress.CallProgress,
        limit: attempt_limit.AttemptLimit,
    ) -> None:
        self._sender = sender
        self._scheduler = scheduler
        self._run_supervisor = run_supervisor
        self._log = log
        self._run = run
        self._response_writer = response_writer
        self._request_crashes = request_crashes
        self._progress = progress
        self._attempt_limit = limit
        self._stream_checks = stream_checks.StreamChecks(
            run.admitted.call.last_event_id, run.admitted.call.max_output_tokens
        )
        # Ids of the engines whose responses broke off or that could not resume
        # the run. No new run is started on them.
        self._failed_ids: set[str] = set()
        self._last_write_s = 0.0
        # Instant of the last complete event of the present engine, or of the
        # start of its response, in seconds.
        self._last_progress_s = 0.0
        self._mean_gap_s = MIN_SILENCE_S / SILENCE_GAP_FACTOR
        self.outcome = Outcome()

    def forward_stream(self, response: sending.EndpointResponse) -> Outcome:
        """Forwards events until the stream ends or cannot be resumed.

        If the stream cannot be resumed, the response to the caller is left
        incomplete, so that the caller can detect the truncation.

        Args:
            response: Response of the first engine. Its connection is always
                closed or returned to the pool.

        Returns:
            How the generation ended.

        Raises:
            server.CallerDisconnectedError: The caller closed its connection.
        """
        run = self._run
        run.is_active = True
        self._progress.record_possible_run(run.endpoint)
        head = response.head
        current_response: sending.EndpointResponse | None = response
        self._run_supervisor.register(run)
        try:
            while current_response is not None:
                failure = self._forward_events(current_response, head)
                ended_response, current_response = current_response, None
                if failure is None:
                    self._sender.return_conn(ended_response)
                    self.outcome.is_complete = True
                    return self.outcome
                cache_location = self._describe_cache_location()
                if self._may_return_to_source(failure):
                    current_response = self._resume_silent_run(ended_response)
                    if current_response is not None:
                        continue
                ended_response.close()
                if (
                    failure.kind is errors.Kind.ENDPOINT_FAILED
                    and not self._response_writer.has_started
                ):
                    self._request_crashes.record_broken_connection(
                        ended_response.endpoint
                    )
                current_response = self._resume(failure)
                if (
                    current_response is None
                    and self._response_writer.has_started
                ):
                    self._log_lost_run(
                        ended_response.endpoint, failure, cache_location
                    )
            return self.outcome
        finally:
            if current_response is not None:
                current_response.close()
            self._release_run()

    def _release_run(self) -> None:
        """Removes the run's load, copy and backup; fills in the outcome."""
        run = self._run
        run.is_active = False
        self._run_supervisor.unregister(run)
        self._run_supervisor.drop_copy(run)
        self._run_supervisor.drop_backup(run)
        self._scheduler.load_tracker.release(run.reservation)
        self.outcome.event_count = self._stream_checks.event_count
        self.outcome.resumption_count = run.resumption_count
        self.outcome.last_endpoint_id = run.endpoint.endpoint_id

    def _describe_cache_location(self) -> str:
        """Describes for the log which other engine holds the run's KV cache."""
        run = self._run
        if run.memory_copy is not None:
            return f"copy at {run.copy_target.endpoint_id}"
        if run.backup_engine is not None:
            return f"backup at {run.backup_engine.endpoint_id}"
        return "nowhere"

    def _log_lost_run(
        self,
        source: model.Endpoint,
        failure: errors.Failure,
        cache_location: str,
    ) -> None:
        """Logs that a caller's stream is truncated, and why.

        Args:
            source: The engine whose response broke off.
            failure: How the response broke off.
            cache_location: Which other engine held the run's KV cache when the
                response broke off.
        """
        run = self._run
        self._log.event(
            "run_lost",
            req=run.request_id,
            endpoint=source.endpoint_id,
            memory=cache_location,
            moving=run.is_migration_queued,
            moves=run.resumption_count,
            kind=failure.kind.value,
            reason=failure.reason,
        )

    def _forward_events(
        self,
        current_response: sending.EndpointResponse,
        head: calls.EndpointResponseHead,
    ) -> errors.Failure | None:
        """Forwards the events of one engine's response.

        Args:
            current_response: The engine's response.
            head: Head of the first engine's response, for the caller.

        Returns:
            Why the response broke off; None if it is complete.
        """
        self._last_progress_s = clock.boottime()
        while True:
            data = self._read(current_response)
            if isinstance(data, errors.Failure):
                return data
            if data is client.BODY_END:
                failure = self._find_truncation(current_response)
                if failure is None:
                    self._start_response(head)
                    self._response_writer.end_response()
                return failure
            complete_events = self._stream_checks.accept(data)
            if isinstance(complete_events, errors.Failure):
                return complete_events
            if not complete_events:
                if self._is_stalled():
                    return errors.Failure(
                        errors.Kind.ENDPOINT_SILENT,
                        "the engine sends bytes but completes no event",
                    )
                continue
            self._last_progress_s = clock.boottime()
            if not self._response_writer.has_started:
                self._request_crashes.record_first_event()
            self._start_response(head)
            self._write(complete_events)

    def _find_truncation(
        self, ended_response: sending.EndpointResponse
    ) -> errors.Failure | None:
        """Returns why a response that ended is incomplete; None if it is not.

        A body that ends with the connection also ends so if the engine breaks
        it off, or if the final copy for a migration stops the run. Once the
        final copy was requested, such a body is complete only if the engine
        states that it did not stop the run.
        """
        failure = self._stream_checks.find_truncation(
            ends_with_connection=ended_response.head.ends_with_connection
        )
        if failure is not None or not ended_response.head.ends_with_connection:
            return failure
        if self._run.stop_event is None:
            return None
        stop_result = self._await_stop()
        if stop_result is runs.StopResult.NOT_STOPPED:
            return None
        return errors.Failure(
            errors.Kind.ENDPOINT_FAILED,
            f"the run may have been stopped to migrate it: {stop_result.value}",
        )

    def _start_response(self, head: calls.EndpointResponseHead) -> None:
        """Sends the response head to the caller unless it was sent already.

        Records the time to the first event.
        """
        if not self._response_writer.has_started:
            self.outcome.first_event_s = clock.boottime()
            self._last_write_s = self.outcome.first_event_s
            run = self._run
            self._scheduler.load_tracker.mark_prompt_read(run.reservation)
            if not run.resumption_count:
                first_event_delay_s = self.outcome.first_event_s - run.sent_s
                self._scheduler.prefill_rate.add_measurement(
                    run.prefill_backlog_tokens, first_event_delay_s
                )
            self._response_writer.start_response(head.status, head.headers)

    def _write(self, complete_events: bytes) -> None:
        """Sends events to the caller and updates the mean gap."""
        now_s = clock.boottime()
        gap_s = now_s - self._last_write_s
        self.outcome.longest_gap_s = max(self.outcome.longest_gap_s, gap_s)
        self._last_write_s = now_s
        self._mean_gap_s += _GAP_WEIGHT * (gap_s - self._mean_gap_s)
        self._response_writer.send_data(complete_events)

    def _read(
        self, current_response: sending.EndpointResponse
    ) -> bytes | client.BodyEnd | errors.Failure:
        """Reads the next part of a response.

        If the engine completes no event for `_silence_timeout_s`, the read
        fails, provided that a copy or backup exists on another engine, that the
        response to the caller has started, and that no large body fills the
        link of this process. Otherwise it fails at the call's deadline. Bytes
        of an event that is never complete are no progress.
        """
        run = self._run
        deadline_s = run.admitted.deadline_s
        while True:
            can_fail_early = self._can_fail_early()
            now_s = clock.boottime()
            wait_until_s = now_s + MAX_SILENCE_S
            if can_fail_early:
                wait_until_s = max(
                    now_s + _MIN_READ_S,
                    self._last_progress_s + self._silence_timeout_s(),
                )
            data = current_response.conn.read_body_part(
                min(deadline_s, wait_until_s)
            )
            is_silent = (
                isinstance(data, errors.Failure)
                and data.kind is errors.Kind.ENDPOINT_SILENT
            )
            if is_silent and self._sender.activity.was_busy_since(now_s):
                can_fail_early = False
                self._last_progress_s = clock.boottime()
            if (
                not is_silent
                or can_fail_early
                or clock.boottime() >= deadline_s
            ):
                return data

    def _can_fail_early(self) -> bool:
        """Returns whether the run may be resumed if its engine is silent."""
        run = self._run
        return self._response_writer.has_started and (
            run.memory_copy is not None or run.backup_engine is not None
        )

    def _is_stalled(self) -> bool:
        """Returns whether to resume the run although bytes arrive."""
        silent_s = clock.boottime() - self._last_progress_s
        return self._can_fail_early() and silent_s > self._silence_timeout_s()

    def _silence_timeout_s(self) -> float:
        """Returns after how many seconds without data a run is resumed."""
        timeout_s = SILENCE_GAP_FACTOR * self._mean_gap_s
        return min(MAX_SILENCE_S, max(MIN_SILENCE_S, timeout_s))

    def _resume(
        self, failure: errors.Failure
    ) -> sending.EndpointResponse | None:
        """Resumes the run after its engine's response broke off.

        Sets `outcome.failure`, which is not reset if the run is resumed.

        Args:
            failure: How the response broke off.

        Returns:
            The response that continues the stream; None if the run cannot be
            resumed.
        """
        run = self._run
        self.outcome.failure = failure
        if clock.boottime() >= run.admitted.deadline_s:
            return None
        self._stream_checks.drop_incomplete_event()
        self._failed_ids.add(run.endpoint.endpoint_id)
        if run.stop_event is not None:
            self._await_stop()
        elif failure.kind is not errors.Kind.ENDPOINT_SILENT:
            now_s = clock.boottime()
            self._scheduler.health_tracker.record_unreachable(
                run.endpoint.endpoint_id, now_s
            )
        for _ in range(_MAX_RESUMPTIONS):
            if run.resumption_count >= _MAX_RESUMPTIONS:
                return None
            if self._request_crashes.find_failure() is not None:
                return None
            response = (
                self._resume_from_copy()
                or self._resume_from_backup()
                or self._resume_as_new_run()
            )
            if response is not None or not self._may_resume_again():
                return response
        return None

    def _may_return_to_source(self, failure: errors.Failure) -> bool:
        """Whether a run may go on at its engine if it cannot be resumed.

        This is the case if the engine is only silent and was not asked to stop
        the run. A resumable run is started anew at another engine instead.
        """
        run = self._run
        return (
            failure.kind is errors.Kind.ENDPOINT_SILENT
            and run.stop_event is None
            and not run.admitted.route.resumable
            and clock.boottime() < run.admitted.deadline_s
        )

    def _resume_silent_run(
        self, source_response: sending.EndpointResponse
    ) -> sending.EndpointResponse | None:
        """Resumes a run from its copy or backup after its engine fell silent.

        The engine may be alive, for example if the link of this process is
        busy. Its connection is therefore kept until another engine responds,
        but no longer than `_MAX_OVERLAP_S`.

        Args:
            source_response: The response of the silent engine.

        Returns:
            The response that continues the stream, which is the one that was
            passed in if no other engine can resume the run. None if its
            connection was closed meanwhile.
        """
        source = self._run.endpoint
        closing = eventlet.spawn_after(_MAX_OVERLAP_S, source_response.close)
        response = self._resume_from_copy() or self._resume_from_backup()
        closing.cancel()
        if response is not None:
            source_response.close()
            self._stream_checks.drop_incomplete_event()
            return response
        if source_response.is_closed:
            return None
        self._assign(source)
        self._run_supervisor.register(self._run)
        self._log.event(
            "run_kept",
            req=self._run.request_id,
            endpoint=source.endpoint_id,
            after=self._stream_checks.last_event_id,
        )
        return source_response

    def _assign(
        self,
        engine: model.Endpoint,
        reservation: loads.LoadReservation | None = None,
    ) -> None:
        """Assigns the run to an engine instead of its present one.

        Args:
            engine: The engine.
            reservation: The run's share of the engine's load; made here if
                None.
        """
        run = self._run
        self._run_supervisor.unregister(run)
        self._run_supervisor.drop_backup(run)
        self._scheduler.load_tracker.release(run.reservation)
        run.endpoint = engine
        run.reservation = reservation or self._scheduler.load_tracker.reserve(
            engine.endpoint_id, run.memory_tokens, 0
        )
        run.is_migration_queued, run.stop_event = False, None

    def _await_stop(self) -> runs.StopResult:
        """Waits until it is known whether the final copy stopped the run.

        Returns:
            The result; `UNKNOWN` also if there is none in time.
        """
        with eventlet.Timeout(_STOP_TIMEOUT_S, False):
            return self._run.stop_event.wait()
        return runs.StopResult.UNKNOWN

    def _may_resume_again(self) -> bool:
        """Returns whether to try again after a failed resumption."""
        if clock.boottime() >= self._run.admitted.deadline_s:
            return False
        return self._run.admitted.route.resumable

    def _resume_from_copy(self) -> sending.EndpointResponse | None:
        """Resumes the run at the engine that holds its newest copy.

        A run that was stopped for its migration resumes at its present engine
        if the engine with the copy cannot continue it.
        """
        run = self._run
        copy, target, source = run.memory_copy, run.copy_target, run.endpoint
        if copy is None or target is None:
            return None
        resumption = calls.ResumePoint(
            source.address, copy.handle, self._stream_checks.last_event_id
        )
        reservation, run.copy_reservation = run.copy_reservation, None
        run.memory_copy = run.copy_target = None
        was_stopped = run.stop_event is not None
        response = None
        if self._run_supervisor.can_resume_at(target):
            response = self._resume_at(target, resumption, reservation)
        else:
            self._scheduler.load_tracker.release(reservation)
        if (
            response is None
            and was_stopped
            and self._run_supervisor.can_resume_at(source)
        ):
            # The source keeps the KV cache of a run that was stopped for its
            # migration, so that the run can resume there.
            reservation = self._scheduler.load_tracker.reserve(
                source.endpoint_id, run.memory_tokens, 0
            )
            response = self._resume_at(source, resumption, reservation)
        return response

    def _resume_from_backup(self) -> sending.EndpointResponse | None:
        """Resumes the run at the engine that holds its backup."""
        run = self._run
        target = run.backup_engine
        if target is None:
            return None
        resumption = calls.ResumePoint(
            target.address, run.request_id, self._stream_checks.last_event_id
        )
        self._run_supervisor.drop_backup(run)
        if not self._run_supervisor.can_resume_at(target):
            return None
        reservation = self._scheduler.load_tracker.reserve(
            target.endpoint_id, run.memory_tokens, 0
        )
        return self._resume_at(target, resumption, reservation)

    def _resume_as_new_run(self) -> sending.EndpointResponse | None:
        """Starts a new run that continues after the last forwarded event.

        Does nothing if the route is not resumable. The new run counts towards
        the route's attempts and the service's retry budget.
        """
        run = self._run
        admitted = run.admitted
        now_s = clock.boottime()
        if not admitted.route.resumable:
            return None
        if not self._attempt_limit.allows_another():
            return None
        target = self._scheduler.choose_endpoint(
            admitted.service,
            run.memory_tokens,
            now_s,
            excluded_ids=self._failed_ids,
        )
        service_name = admitted.service.name
        if target is None or not self._scheduler.try_consume_retry(
            service_name, now_s
        ):
            return None
        resumption = calls.ResumePoint(
            None, "", self._stream_checks.last_event_id
        )
        reservation = self._scheduler.load_tracker.reserve(
            target.endpoint_id, run.memory_tokens, admitted.call.prompt_tokens
        )
        return self._resume_at(target, resumption, reservation)

    def _resume_at(
        self,
        target: model.Endpoint,
        resumption: calls.ResumePoint,
        reservation: loads.LoadReservation,
    ) -> sending.EndpointResponse | None:
        """Assigns the run to an engine and requests the rest of the stream.

        Args:
            target: The engine.
            resumption: Where the KV cache is, and the event after which the
                stream continues.
            reservation: The run's share of the engine's load; becomes
                `run.reservation`.

        Returns:
            The engine's response; None if the engine failed or rejected the
            call.
        """
        run = self._run
        self._assign(target, reservation)
        run.resumption_count += 1
        started_s = clock.boottime()
        deadline_s = min(run.admitted.deadline_s, started_s + _RESUME_TIMEOUT_S)
        self._scheduler.count_sent(target, started_s)
        self._run_supervisor.assign_backup(run)
        response = self._sender.send_call(
            run.admitted,
            target,
            deadline_s,
            resumption=resumption,
            backup_engine=run.backup_engine,
        )
        failure = None
        if resumption.handle_address is None and _may_have_run(response):
            self._progress.record_possible_run(target)
        if isinstance(response, errors.Failure):
            failure = response.reason
        elif response.head.status != 200:
            failure = f"status {response.head.status}"
            response.close()
        self._log.event(
            "run_resumed" if failure is None else "resume_failed",
            req=run.request_id,
            endpoint=target.endpoint_id,
            after=resumption.last_event_id,
            from_copy=resumption.handle_address is not None,
            took_ms=int((clock.boottime() - started_s) * 1e3),
            reason=failure or "",
        )
        if failure is not None:
            self._failed_ids.add(target.endpoint_id)
            return None
        self._stream_checks.begin_resumed_stream()
        self._run_supervisor.register(run)
        return response


def _may_have_run(response: sending.EndpointResponse | errors.Failure) -> bool:
    """Returns whether an engine may have run the call that it was sent."""
    if isinstance(response, errors.Failure):
        return response.run_state is not errors.RunState.NOT_RUN
    return not response.head.states_not_run
