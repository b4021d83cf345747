"""Resumes a generation whose engine failed, fell silent or was left.

A run is resumed from a copy or a backup of its KV cache, or as a new run where
its route allows this.
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
from dandelionlead.routing import calls
from dandelionlead.routing import loads
from dandelionlead.routing import model
from dandelionlead.routing import scheduling

# Longest wait for the response to the request for the final copy once the
# stream has ended. The engine ends the stream and responds at nearly the same
# time.
_STOP_TIMEOUT_S = 1.0
# Longest wait for the response head of an engine that resumes a run.
_RESUME_TIMEOUT_S = 1.5
# Time for which the connection to a silent engine that cannot be reached is
# kept while another engine is asked to resume the run.
_MAX_OVERLAP_S = 0.35
# Longest wait for an engine's statement that it does not stop a run. An engine
# that can be reached and stops the run is busy with the final copy after that.
# Callers give a stream up after a gap of 2 s: up to 0.8 s of silence, this, and
# the first event of the other engine.
_REFUSAL_TIMEOUT_S = 0.6
# Limit on the attempts to resume one run.
_MAX_RESUMPTIONS = 12


class Resumption:
    """Resumes one run at other engines.

    Args:
        sender: Sends calls to engines.
        scheduler: Chooses engines and tracks their load and health.
        run_supervisor: Assigns backups to the run and migrates it.
        log: Receives one line for each attempt.
        run: The run.
        checks: Checks of the stream, which know the last event.
        request_crashes: Evidence on whether the call crashes engines.
        progress: Receives the engines that may have run the call.
        limit: Limits the engines on which the call may run.
    """

    def __init__(
        self,
        sender: sending.Sender,
        scheduler: scheduling.Scheduler,
        run_supervisor: supervisor.RunSupervisor,
        log: events.Log,
        run: runs.Run,
        checks: stream_checks.StreamChecks,
        request_crashes: crash_detection.RequestCrashes,
        progress: call_progress.CallProgress,
        limit: attempt_limit.AttemptLimit,
    ) -> None:
        self._sender = sender
        self._scheduler = scheduler
        self._run_supervisor = run_supervisor
        self._log = log
        self._run = run
        self._stream_checks = checks
        self._request_crashes = request_crashes
        self._progress = progress
        self._attempt_limit = limit
        # Ids of the engines whose responses broke off or that could not resume
        # the run. No new run is started on them.
        self._failed_ids: set[str] = set()

    def resume(
        self, failure: errors.Failure
    ) -> sending.EndpointResponse | None:
        """Resumes the run after its engine's response broke off.

        Args:
            failure: How the response broke off.

        Returns:
            The response that continues the stream; None if the run cannot be
            resumed.
        """
        run = self._run
        if clock.boottime() >= run.admitted.deadline_s:
            return None
        self._stream_checks.drop_incomplete_event()
        self._failed_ids.add(run.endpoint.endpoint_id)
        if run.stop_event is not None:
            self._await_stop_or_backup()
        elif failure.kind is not errors.Kind.ENDPOINT_SILENT:
            now_s = clock.boottime()
            self._scheduler.health_tracker.record_unreachable(
                run.endpoint.endpoint_id, now_s
            )
            self._stop_broken_run()
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

    def may_return_to_source(self, failure: errors.Failure) -> bool:
        """Whether a run may go on at its engine after its response failed.

        This is the case if the engine is only silent.
        """
        return (
            failure.kind is errors.Kind.ENDPOINT_SILENT
            and clock.boottime() < self._run.admitted.deadline_s
        )

    def resume_silent_run(
        self, source_response: sending.EndpointResponse
    ) -> sending.EndpointResponse | None:
        """Resumes a run from its copy or backup after its engine fell silent.

        The engine may be alive: the link of this process may be busy, the
        connection dead, or the run preempted. Therefore the engine is asked to
        stop the run first, over a new connection. The run stays where it is if
        the engine responds that it has not stopped it.

        If the engine cannot be reached, its connection is kept until another
        engine responds, but no longer than `_MAX_OVERLAP_S`.

        Args:
            source_response: The response of the silent engine.

        Returns:
            The response that continues the stream, which may be the one that
            was passed in. None if no engine does, and the run is not at its
            engine any more.
        """
        result = self._stop_at_engine()
        if result in (runs.StopResult.NOT_STOPPED, runs.StopResult.UNKNOWN):
            self._log_kept_run(result.value)
            return source_response
        source = self._run.endpoint
        closing = eventlet.spawn_after(_MAX_OVERLAP_S, source_response.close)
        response = self._resume_from_copy() or self._resume_from_backup()
        closing.cancel()
        if response is not None:
            source_response.close()
            self._stream_checks.drop_incomplete_event()
            return response
        if (
            source_response.is_closed
            or result is runs.StopResult.STOPPED
            or self._run.admitted.route.resumable
        ):
            return None
        self._assign(source)
        self._run_supervisor.register(self._run)
        self._log_kept_run("no other engine resumes it")
        return source_response

    def await_stop(self) -> runs.StopResult:
        """Waits until it is known whether the final copy stopped the run.

        Returns:
            The result; `UNKNOWN` also if there is none in time.
        """
        return self._await_stop_result(_STOP_TIMEOUT_S) or (
            runs.StopResult.UNKNOWN
        )

    def _stop_broken_run(self) -> None:
        """Stops a run whose response broke off, if it may go on elsewhere.

        The engine may be alive and go on with the run. A run that had neither a
        copy nor a backup goes on as a new one, which its route limits.
        """
        run = self._run
        had_copy = run.copy_target is not None or run.backup_engine is not None
        self._stop_at_engine()
        if not had_copy:
            self._run_supervisor.drop_copy(run)

    def _stop_at_engine(self) -> runs.StopResult | None:
        """Requests that the run's engine stops it, if it may go on elsewhere.

        Returns:
            The result. None if there is none yet: either the engine cannot be
            reached, or it has stopped the run and makes the final copy. None
            also if no other engine can take the run.
        """
        run = self._run
        if not run.is_stop_pending:
            target = self._find_stop_target()
            if target is None:
                return None
            self._run_supervisor.run_stopper.begin_stop(run, target)
        return self._await_stop_or_backup()

    def _find_stop_target(self) -> model.Endpoint | None:
        """Returns the engine that receives the final copy of the run."""
        run = self._run
        target = run.copy_target or run.backup_engine
        if target is not None or not run.admitted.route.resumable:
            return target
        return self._scheduler.choose_endpoint(
            run.admitted.service,
            run.memory_tokens,
            clock.boottime(),
            excluded_ids=self._failed_ids,
        )

    def _await_stop_or_backup(self) -> runs.StopResult | None:
        """Waits for the result of a stop while the run needs it.

        A run that can only go on from a copy needs the final one. Any other
        run may resume before the final copy is made.
        """
        run = self._run
        needs_copy = run.copy_target is not None and run.backup_engine is None
        return self._await_stop_result(
            _STOP_TIMEOUT_S if needs_copy else _REFUSAL_TIMEOUT_S
        )

    def _await_stop_result(self, timeout_s: float) -> runs.StopResult | None:
        """Waits for the result of a stop; None if there is none in time."""
        with eventlet.Timeout(timeout_s, False):
            return self._run.stop_event.wait()
        return None

    def _log_kept_run(self, reason: str) -> None:
        """Logs that a run stays at its silent engine."""
        self._log.event(
            "run_kept",
            req=self._run.request_id,
            endpoint=self._run.endpoint.endpoint_id,
            after=self._stream_checks.last_event_id,
            reason=reason,
        )

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
        was_stopped = run.may_be_stopped
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
