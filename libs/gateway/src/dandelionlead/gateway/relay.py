"""Relays one generation's event stream to its caller.

If the engine that runs the generation fails or is leaving, the run is resumed
at another engine, so that the caller receives one uninterrupted stream.
"""

from __future__ import annotations

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import attempt_limit
from dandelionlead.gateway import call_progress
from dandelionlead.gateway import crash_detection
from dandelionlead.gateway import resumption
from dandelionlead.gateway import runs
from dandelionlead.gateway import sending
from dandelionlead.gateway import stream_checks
from dandelionlead.gateway import stream_pace
from dandelionlead.gateway import supervisor
from dandelionlead.http import client
from dandelionlead.http import server
from dandelionlead.routing import calls
from dandelionlead.routing import model
from dandelionlead.routing import scheduling

# Shortest wait of one read, so that what has arrived already is read even if
# the engine counts as silent.
_MIN_READ_S = 0.01


class Outcome:
    """Progress and end of a relayed generation.

    Attributes:
        is_complete: Whether the caller received the stream up to its end.
        ended_with_connection: Whether the last engine's stream had no other end
            than that of its connection.
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
        "ended_with_connection",
        "failure",
        "event_count",
        "first_event_s",
        "longest_gap_s",
        "resumption_count",
        "last_endpoint_id",
    )

    def __init__(self) -> None:
        self.is_complete = False
        self.ended_with_connection = False
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
        self._stream_checks = stream_checks.StreamChecks(
            run.admitted.call.last_event_id, run.admitted.call.max_output_tokens
        )
        self._pace = stream_pace.StreamPace()
        self._resumption = resumption.Resumption(
            sender,
            scheduler,
            run_supervisor,
            log,
            run,
            self._stream_checks,
            request_crashes,
            progress,
            limit,
        )
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
            CallerDisconnectedError: The caller closed its connection.
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
                if self._resumption.may_return_to_source(failure):
                    current_response = self._resumption.resume_silent_run(
                        ended_response
                    )
                    if current_response is ended_response:
                        self._pace.record_kept()
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
                # Not reset if the run is resumed.
                self.outcome.failure = failure
                current_response = self._resumption.resume(failure)
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
        self.outcome.longest_gap_s = self._pace.longest_gap_s
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
        self._pace.record_progress()
        while True:
            data = self._read(current_response)
            if isinstance(data, errors.Failure):
                return data
            if data is client.BODY_END:
                self.outcome.ended_with_connection = (
                    current_response.head.ends_with_connection
                )
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
            self._pace.record_progress()
            if not self._response_writer.has_started:
                self._request_crashes.record_first_event()
            self._start_response(head)
            self._write(complete_events)

    def _find_truncation(
        self, ended_response: sending.EndpointResponse
    ) -> errors.Failure | None:
        """Returns why a response that ended is incomplete; None if it is not.

        A body that ends with the connection also ends so if the engine crashes,
        or if the final copy for a migration stops the run.
        """
        ends_with_connection = ended_response.head.ends_with_connection
        failure = self._stream_checks.find_truncation(
            ends_with_connection=ends_with_connection
        )
        if failure is None:
            failure = self._find_stop(has_end_mark=not ends_with_connection)
        if failure is not None:
            return failure
        return self._sender.find_broken_end(
            ended_response,
            self._run.admitted,
            self._count_arrived_events(),
        )

    def _find_stop(self, *, has_end_mark: bool) -> errors.Failure | None:
        """Returns why the final copy may have ended the stream, or None.

        Once the final copy was requested, a stream without an end mark is
        complete only if the engine states that it did not stop the run. The
        HTTP server of an engine may mark the end of a stopped stream, too.

        Args:
            has_end_mark: Whether the stream itself marked its end.
        """
        run = self._run
        if run.stop_event is None:
            return None
        was_pending = run.is_stop_pending
        stop_result = self._resumption.await_stop()
        ruling_out_a_stop = {runs.StopResult.NOT_STOPPED}
        if has_end_mark:
            ruling_out_a_stop.add(runs.StopResult.UNREACHABLE)
            if not was_pending:
                # The stream went on after the engine's unclear response.
                ruling_out_a_stop.add(runs.StopResult.UNKNOWN)
        if stop_result in ruling_out_a_stop:
            return None
        return errors.Failure(
            errors.Kind.ENDPOINT_FAILED,
            f"the run may have been stopped to migrate it: {stop_result.value}",
        )

    def _count_arrived_events(self) -> int:
        """Returns how many events of the generation have arrived.

        Engines number the events of a generation, also of one that is resumed,
        so that the last id is the number of all events.
        """
        checks = self._stream_checks
        return max(checks.last_event_id, checks.event_count)

    def _start_response(self, head: calls.EndpointResponseHead) -> None:
        """Sends the response head to the caller unless it was sent already.

        Records the time to the first event.
        """
        if not self._response_writer.has_started:
            self.outcome.first_event_s = clock.boottime()
            self._pace.record_start(self.outcome.first_event_s)
            run = self._run
            self._progress.record_begun(self.outcome.first_event_s)
            if not run.resumption_count:
                first_event_delay_s = self.outcome.first_event_s - run.sent_s
                self._scheduler.prefill_rate.add_measurement(
                    run.prefill_backlog_tokens, first_event_delay_s
                )
                self._scheduler.endpoint_paces.measure(
                    run.endpoint.endpoint_id,
                    run.prefill_backlog_tokens,
                    first_event_delay_s,
                    self.outcome.first_event_s,
                )
            # This tells the peers the measurement, too.
            self._scheduler.load_tracker.mark_prompt_read(run.reservation)
            self._response_writer.start_response(head.status, head.headers)

    def _write(self, complete_events: bytes) -> None:
        """Sends events to the caller and updates the mean gap."""
        self._pace.record_write()
        self._response_writer.send_data(complete_events)

    def _read(
        self, current_response: sending.EndpointResponse
    ) -> bytes | client.BodyEnd | errors.Failure:
        """Reads the next part of a response.

        If the engine is silent, as `StreamPace` defines it, the read fails,
        provided that a copy or backup exists on another engine, that the
        response to the caller has started, and that no large body fills the
        link of this process. Otherwise it fails at the call's deadline. Bytes
        of an event that is never complete are no progress.
        """
        run = self._run
        deadline_s = run.admitted.deadline_s
        while True:
            can_fail_early = self._can_fail_early()
            now_s = clock.boottime()
            wait_until_s = now_s + stream_pace.MAX_SILENCE_S
            if can_fail_early:
                wait_until_s = max(
                    now_s + _MIN_READ_S,
                    self._pace.last_progress_s
                    + self._pace.compute_silence_timeout_s(),
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
                self._pace.record_progress()
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
        return self._can_fail_early() and self._pace.is_silent()
