"""Relays one generation's event stream to its caller.

If the engine that runs the generation fails or terminates, the relay resumes
the stream at another engine, from a copy or a backup of the run's KV cache or
as a new run, so that the caller sees one uninterrupted stream.
"""

from __future__ import annotations

import eventlet

from dandelionlead.core import clock
from dandelionlead.core import errors
from dandelionlead.core import events
from dandelionlead.gateway import runs
from dandelionlead.gateway import sending
from dandelionlead.gateway import supervisor
from dandelionlead.http import client
from dandelionlead.http import server
from dandelionlead.http import sse
from dandelionlead.routing import calls
from dandelionlead.routing import loads
from dandelionlead.routing import model
from dandelionlead.routing import scheduling

# A run whose KV cache is also on another engine resumes there once its engine
# has sent nothing for this multiple of the mean gap between writes, clamped to
# the two limits below. The lower limit keeps the whole gap shorter than what
# callers count as a stall.
SILENCE_GAP_FACTOR = 3.0
MIN_SILENCE_S = 0.12
MAX_SILENCE_S = 0.8
# Weight of the newest gap in the moving average of gaps.
_GAP_WEIGHT = 0.1
# The engine's response to the request for the final copy and the end of the
# stream arrive within a short time of each other.
_STOP_WAIT_S = 1.0
_RESUME_LIMIT_S = 1.5
# Attempts to resume one run.
_MAX_RESUMPTIONS = 12


class Outcome:
    """How a relayed generation ended.

    Attributes:
        is_complete: Whether the caller received the stream up to its end.
        failure: Why the stream broke off; None if it is complete.
        event_count: Number of events that were forwarded.
        first_event_s: Instant at which the first event was forwarded, in
            seconds; 0 if there was none.
        longest_gap_s: Longest time between two writes to the caller, in
            seconds.
        resumption_count: Number of attempts to resume the run at an engine,
            including those that failed.
        last_endpoint_id: Id of the last engine that ran the generation.
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
        places: Chooses engines and tracks their load and health.
        run_supervisor: Creates backups of the run and migrates it.
        log: Receives one line for each resumption and each lost run.
        run: The generation; its call has been sent to `run.endpoint`.
        reply: Writes the response to the caller.

    Attributes:
        outcome: How the generation has gone so far.
    """

    def __init__(
        self,
        sender: sending.Sender,
        scheduler: scheduling.Scheduler,
        run_supervisor: supervisor.RunSupervisor,
        log: events.Log,
        run: runs.Run,
        response_writer: server.ResponseWriter,
    ) -> None:
        self._sender = sender
        self._placement = scheduler
        self._supervisor = run_supervisor
        self._log = log
        self._run = run
        self._reply = response_writer
        self._splitter = sse.EventSplitter(run.admitted.call.last_event_id)
        self._must_check_order = False
        self._failed_ids: set[str] = set()
        self._last_write_s = 0.0
        self._mean_gap_s = MIN_SILENCE_S / SILENCE_GAP_FACTOR
        self.outcome = Outcome()

    def forward_stream(self, response: sending.EndpointResponse) -> Outcome:
        """Forwards events until the stream ends or cannot be resumed.

        A stream that cannot be resumed is not terminated towards the caller,
        so that the caller can tell that it is truncated.

        Args:
            response: Response of the first engine. The connection is closed or
                returned to the pool in every case.

        Returns:
            How the generation ended.

        Raises:
            server.CallerDisconnectedError: The caller closed its connection.
        """
        run = self._run
        run.is_active = True
        head = response.head
        current: sending.EndpointResponse | None = response
        self._supervisor.register(run)
        try:
            while current is not None:
                failure = self._forward_events(current, head)
                ended, current = current, None
                if failure is None:
                    self._sender.return_conn(ended)
                    self.outcome.is_complete = True
                    return self.outcome
                ended.close()
                cache_location = self._describe_cache_location()
                current = self._resume(failure)
                if current is None and self._reply.has_started:
                    self._log_lost_run(ended.endpoint, failure, cache_location)
            return self.outcome
        finally:
            if current is not None:
                current.close()
            self._release_run()

    def _release_run(self) -> None:
        """Removes the run's load, copy and backup; completes the outcome."""
        run = self._run
        run.is_active = False
        self._supervisor.unregister(run)
        self._supervisor.drop_copy(run)
        self._supervisor.drop_backup(run)
        self._placement.load_tracker.release(run.reservation)
        self.outcome.event_count = self._splitter.event_count
        self.outcome.resumption_count = run.resumption_count
        self.outcome.last_endpoint_id = run.endpoint.endpoint_id

    def _describe_cache_location(self) -> str:
        """Returns which other engine holds the run's KV cache, for the log."""
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
            cache_location: Which other engine held the run's KV cache then.
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
        current: sending.EndpointResponse,
        head: calls.EndpointResponseHead,
    ) -> errors.Failure | None:
        """Forwards the events of one engine's response.

        Args:
            current: The engine's response.
            head: Head of the first engine's response, for the caller.

        Returns:
            Why the response broke off; None if it is complete.
        """
        while True:
            data = self._read(current)
            if isinstance(data, errors.Failure):
                return data
            if data is client.BODY_END:
                self._start_reply(head)
                if self._splitter.incomplete_event:
                    self._reply.send_data(self._splitter.incomplete_event)
                self._reply.end_response()
                return None
            previous_id = self._splitter.last_event_id
            complete_events = self._splitter.feed(data)
            if not complete_events:
                continue
            if self._must_check_order and not self._is_next_event(
                complete_events, previous_id
            ):
                return errors.Failure(
                    errors.Kind.GENERATION_LOST,
                    "the resumed stream does not continue after the last"
                    " forwarded event",
                )
            self._start_reply(head)
            self._write(complete_events)

    def _is_next_event(self, complete_events: bytes, previous_id: int) -> bool:
        """Returns whether a resumed stream continues after an event id.

        Only the first events after a resumption are checked.
        """
        self._must_check_order = False
        event_id = sse.find_first_event_id(complete_events)
        return event_id is None or event_id == previous_id + 1

    def _start_reply(self, head: calls.EndpointResponseHead) -> None:
        """Sends the response head to the caller before the first event."""
        if not self._reply.has_started:
            self.outcome.first_event_s = clock.boottime()
            self._last_write_s = self.outcome.first_event_s
            run = self._run
            self._placement.load_tracker.mark_prompt_read(run.reservation)
            if not run.resumption_count:
                first_s = self.outcome.first_event_s - run.sent_s
                self._placement.prefill_rate.add_measurement(
                    run.prefill_backlog_tokens, first_s
                )
            self._reply.start_response(head.status, head.headers)

    def _write(self, complete_events: bytes) -> None:
        """Sends events to the caller and updates the mean gap."""
        now_s = clock.boottime()
        gap_s = now_s - self._last_write_s
        self.outcome.longest_gap_s = max(self.outcome.longest_gap_s, gap_s)
        self._last_write_s = now_s
        self._mean_gap_s += _GAP_WEIGHT * (gap_s - self._mean_gap_s)
        self._reply.send_data(complete_events)

    def _read(
        self, current: sending.EndpointResponse
    ) -> bytes | client.BodyEnd | errors.Failure:
        """Reads from an engine; gives up early if another has the KV cache.

        An engine that sends nothing is abandoned after `_silence_limit_s` if a
        copy or backup exists on another engine, and else at the deadline.
        """
        run = self._run
        until_s = run.admitted.deadline_s
        while True:
            is_saved = (
                run.memory_copy is not None or run.backup_engine is not None
            )
            is_saved = is_saved and self._reply.has_started
            limit_s = self._silence_limit_s() if is_saved else MAX_SILENCE_S
            now_s = clock.boottime()
            data = current.conn.read_body_part(min(until_s, now_s + limit_s))
            is_silent = (
                isinstance(data, errors.Failure)
                and data.kind is errors.Kind.ENDPOINT_SILENT
            )
            if not is_silent or is_saved or clock.boottime() >= until_s:
                return data

    def _silence_limit_s(self) -> float:
        """Returns the seconds of silence after which an engine has failed."""
        limit_s = SILENCE_GAP_FACTOR * self._mean_gap_s
        return min(MAX_SILENCE_S, max(MIN_SILENCE_S, limit_s))

    def _resume(
        self, failure: errors.Failure
    ) -> sending.EndpointResponse | None:
        """Resumes the run after its engine's response broke off.

        Sets the outcome's failure, which stands if the run is not resumed.

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
        self._splitter.drop_incomplete_event()
        self._failed_ids.add(run.endpoint.endpoint_id)
        if run.stop_event is not None:
            self._await_stop()
        elif failure.kind is not errors.Kind.ENDPOINT_SILENT:
            now_s = clock.boottime()
            self._placement.health_tracker.record_unreachable(
                run.endpoint.endpoint_id, now_s
            )
        for _ in range(_MAX_RESUMPTIONS):
            if run.resumption_count >= _MAX_RESUMPTIONS:
                return None
            response = (
                self._resume_from_copy()
                or self._resume_from_backup()
                or self._resume_as_new_run()
            )
            if response is not None or not self._may_resume_again():
                return response
        return None

    def _await_stop(self) -> None:
        """Waits until the request for the final copy has been answered."""
        with eventlet.Timeout(_STOP_WAIT_S, False):
            self._run.stop_event.wait()

    def _may_resume_again(self) -> bool:
        """Returns whether another resumption may be tried after a failure."""
        if clock.boottime() >= self._run.admitted.deadline_s:
            return False
        return self._run.admitted.route.resumable

    def _resume_from_copy(self) -> sending.EndpointResponse | None:
        """Resumes the run at the engine that holds its newest copy.

        A run that was stopped for its migration resumes at its own engine if
        the engine with the copy cannot continue it.
        """
        run = self._run
        copy, target, source = run.memory_copy, run.copy_target, run.endpoint
        if copy is None or target is None:
            return None
        resumption = calls.ResumePoint(
            source.address, copy.handle, self._splitter.last_event_id
        )
        ticket, run.copy_reservation = run.copy_reservation, None
        run.memory_copy = run.copy_target = None
        was_stopped = run.stop_event is not None
        response = None
        if self._supervisor.can_resume_at(target):
            response = self._resume_at(target, resumption, ticket)
        else:
            self._placement.load_tracker.release(ticket)
        if (
            response is None
            and was_stopped
            and self._supervisor.can_resume_at(source)
        ):
            # The source still has the KV cache of a run that was stopped for
            # its migration, so that the run can resume there.
            ticket = self._placement.load_tracker.reserve(
                source.endpoint_id, run.memory_tokens, 0
            )
            response = self._resume_at(source, resumption, ticket)
        return response

    def _resume_from_backup(self) -> sending.EndpointResponse | None:
        """Resumes the run at the engine that holds its backup."""
        run = self._run
        target = run.backup_engine
        if target is None:
            return None
        resumption = calls.ResumePoint(
            target.address, run.request_id, self._splitter.last_event_id
        )
        self._supervisor.drop_backup(run)
        if not self._supervisor.can_resume_at(target):
            return None
        ticket = self._placement.load_tracker.reserve(
            target.endpoint_id, run.memory_tokens, 0
        )
        return self._resume_at(target, resumption, ticket)

    def _resume_as_new_run(self) -> sending.EndpointResponse | None:
        """Starts a new run after the last event, if the route allows it.

        The new run counts as an attempt of the route and as a retry of the
        service's retry budget.
        """
        run = self._run
        admitted = run.admitted
        now_s = clock.boottime()
        if not admitted.route.resumable:
            return None
        if run.resumption_count + 1 >= admitted.route.max_attempts + len(
            self._failed_ids
        ):
            return None
        target = self._placement.choose_endpoint(
            admitted.service,
            run.memory_tokens,
            now_s,
            excluded=self._failed_ids,
        )
        service = admitted.service.name
        if target is None or not self._placement.try_consume_retry(
            service, now_s
        ):
            return None
        resumption = calls.ResumePoint(None, "", self._splitter.last_event_id)
        ticket = self._placement.load_tracker.reserve(
            target.endpoint_id, run.memory_tokens, admitted.call.prompt_tokens
        )
        return self._resume_at(target, resumption, ticket)

    def _resume_at(
        self,
        target: model.Endpoint,
        resumption: calls.ResumePoint,
        ticket: loads.LoadReservation,
    ) -> sending.EndpointResponse | None:
        """Assigns the run to an engine and asks it to continue the stream.

        Args:
            target: The engine.
            resumption: Where the KV cache is and after which event the stream
                continues.
            ticket: The run's share of the engine's load. The run owns it
                afterwards.

        Returns:
            The engine's response; None if the engine failed or refused.
        """
        run = self._run
        self._supervisor.unregister(run)
        self._supervisor.drop_backup(run)
        self._placement.load_tracker.release(run.reservation)
        run.endpoint, run.reservation = target, ticket
        run.is_migration_queued, run.stop_event = False, None
        run.resumption_count += 1
        start_s = clock.boottime()
        until_s = min(run.admitted.deadline_s, start_s + _RESUME_LIMIT_S)
        self._placement.count_sent(target, start_s)
        self._supervisor.assign_backup(run)
        response = self._sender.send_call(
            run.admitted,
            target,
            until_s,
            resumption=resumption,
            backup=run.backup_engine,
        )
        failure = None
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
            took_ms=int((clock.boottime() - start_s) * 1e3),
            reason=failure or "",
        )
        if failure is not None:
            self._failed_ids.add(target.endpoint_id)
            return None
        self._must_check_order = self._splitter.event_count > 0
        self._supervisor.register(run)
        return response
